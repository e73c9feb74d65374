package days

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// quiet returns a file descriptor from which nothing is ever read: the product looks at a connection that it kept by a read that does
// not wait.
var quiet = sync.OnceValues(func() (uintptr, error) {
	var ends [2]int
	err := syscall.Pipe2(ends[:], syscall.O_NONBLOCK|syscall.O_CLOEXEC)
	return uintptr(ends[0]), err
})

// SyscallConn lets callers look whether anything has arrived, so that they keep connections as they do with sockets.
func (c *conn) SyscallConn() (syscall.RawConn, error) { return rawConn{c}, nil }

type rawConn struct{ conn *conn }

// Read runs f on a descriptor without content, or fails when bytes or an end have arrived. It fails on a frozen host too, which then opens
// a connection and so waits for its thaw: an order that was decided in a freeze would else be sent after it.
func (r rawConn) Read(f func(fd uintptr) bool) error {
	c := r.conn
	n := c.local.net
	n.mu.Lock()
	some := c.broken != nil || c.local.frozen || (len(c.in.segments) > 0 && n.passes(c.remote, c.local) && !c.in.segments[0].arrives.After(time.Now()))
	n.mu.Unlock()
	if some {
		return net.ErrClosed
	}
	fd, err := quiet()
	if err == nil {
		f(fd)
	}
	return err
}

// Write is not used.
func (rawConn) Write(func(fd uintptr) bool) error { return errors.ErrUnsupported }

// Control is not used.
func (rawConn) Control(func(fd uintptr)) error { return errors.ErrUnsupported }
