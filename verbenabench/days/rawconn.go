package days

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// emptyPipe returns the file descriptor of an empty pipe. The HTTP client of the entry instance checks an idle connection by a non-blocking
// read, which finds nothing to read there.
var emptyPipe = sync.OnceValues(func() (uintptr, error) {
	var ends [2]int
	err := syscall.Pipe2(ends[:], syscall.O_NONBLOCK|syscall.O_CLOEXEC)
	return uintptr(ends[0]), err
})

// SyscallConn lets callers check whether anything has arrived, so that they reuse idle connections as they do with sockets.
func (c *conn) SyscallConn() (syscall.RawConn, error) { return rawConn{c}, nil }

type rawConn struct{ conn *conn }

// Read calls f with the descriptor of an empty pipe, or fails if bytes or the end of the stream have arrived. It also fails on a paused
// host, whose client then dials a new connection and waits until the host is resumed. Otherwise an order that was prepared during a pause
// would be sent after it.
func (r rawConn) Read(f func(fd uintptr) bool) error {
	c := r.conn
	n := c.local.network
	n.mu.Lock()
	readable := c.closeErr != nil || c.local.paused || (len(c.in.segments) > 0 && n.canReach(c.remote, c.local) && !c.in.segments[0].arrives.After(time.Now()))
	n.mu.Unlock()
	if readable {
		return net.ErrClosed
	}
	fd, err := emptyPipe()
	if err == nil {
		f(fd)
	}
	return err
}

// Write is not supported.
func (rawConn) Write(func(fd uintptr) bool) error { return errors.ErrUnsupported }

// Control is not supported.
func (rawConn) Control(func(fd uintptr)) error { return errors.ErrUnsupported }
