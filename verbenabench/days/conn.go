package days

import (
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// conn is one end of a connection.
type conn struct {
	local, remote         *host
	localAddr, remoteAddr net.Addr
	peer                  *conn
	in, out               *direction
	// closeErr is the error of all reads and writes once the connection is closed or reset.
	closeErr    error
	read, write deadline
}

// direction holds the bytes in flight from one end to the other.
type direction struct {
	segments []segment
	// lastArrival is the arrival time of the last segment. Segments do not overtake each other.
	lastArrival time.Time
	// finished is true once the sender has closed.
	finished bool
	// changed is closed and replaced when a segment is added.
	changed chan struct{}
}

type segment struct {
	sent, arrives time.Time
	content       []byte
}

func (d *direction) oldestAge(now time.Time) time.Duration {
	if len(d.segments) == 0 {
		return 0
	}
	return now.Sub(d.segments[0].sent)
}

// send sends bytes, or the end of the stream if content is nil. The network's lock must be held.
func (c *conn) send(content []byte) {
	d, now := c.out, time.Now()
	arrives := now.Add(c.local.network.latency(c.local.addr, c.remote.addr, content))
	if arrives.Before(d.lastArrival) {
		arrives = d.lastArrival
	}
	d.lastArrival = arrives
	d.segments = append(d.segments, segment{sent: now, arrives: arrives, content: content})
	d.notify()
}

func (c *conn) finish() {
	if !c.out.finished {
		c.out.finished = true
		c.send(nil)
	}
}

func (d *direction) notify() {
	close(d.changed)
	d.changed = make(chan struct{})
}

// connect opens a connection to a listener. If the listener's queue is full, it resets the connection. The lock must be held.
func (n *network) connect(from *host, l *listener) *conn {
	toServer, toCaller := &direction{changed: make(chan struct{})}, &direction{changed: make(chan struct{})}
	serverAddr := net.TCPAddrFromAddrPort(l.addr)
	callerAddr := &net.TCPAddr{IP: from.addr.AsSlice(), Port: 1}
	c := &conn{local: from, remote: l.host, localAddr: callerAddr, remoteAddr: serverAddr, in: toCaller, out: toServer}
	s := &conn{local: l.host, remote: from, localAddr: serverAddr, remoteAddr: callerAddr, in: toServer, out: toCaller}
	c.peer, s.peer = s, c
	for _, end := range []*conn{c, s} {
		end.read, end.write = newDeadline(), newDeadline()
		n.conns[end] = struct{}{}
	}
	select {
	case l.queue <- s:
	default:
		n.resetConn(c)
	}
	return c
}

// Read waits until bytes have arrived and returns them.
func (c *conn) Read(b []byte) (int, error) {
	n := c.local.network
	for {
		n.mu.Lock()
		got, ready, err := c.readArrived(b)
		segmentAdded, networkChanged := c.in.changed, n.changed
		var arrives time.Time
		if len(c.in.segments) > 0 && n.canReach(c.remote, c.local) {
			arrives = c.in.segments[0].arrives
		}
		n.mu.Unlock()
		if ready {
			return got, err
		}
		if c.read.passed() {
			return 0, os.ErrDeadlineExceeded
		}
		if !c.awaitInput(arrives, segmentAdded, networkChanged) {
			return 0, os.ErrDeadlineExceeded
		}
	}
}

// awaitInput waits until there may be bytes to read. It returns false at the deadline.
func (c *conn) awaitInput(arrives time.Time, segmentAdded, networkChanged chan struct{}) bool {
	var due <-chan time.Time
	if !arrives.IsZero() {
		timer := time.NewTimer(time.Until(arrives))
		defer timer.Stop()
		due = timer.C
	}
	select {
	case <-segmentAdded:
	case <-networkChanged:
	case <-due:
	case <-c.read.done():
		return false
	}
	return true
}

// readArrived reads the bytes that have arrived. The lock must be held.
func (c *conn) readArrived(b []byte) (got int, ready bool, err error) {
	if c.closeErr != nil {
		return 0, true, c.closeErr
	}
	if len(c.in.segments) == 0 || !c.local.network.canReach(c.remote, c.local) || c.in.segments[0].arrives.After(time.Now()) {
		return 0, false, nil
	}
	s := &c.in.segments[0]
	if s.content == nil {
		return 0, true, io.EOF
	}
	got = copy(b, s.content)
	if s.content = s.content[got:]; len(s.content) == 0 {
		c.in.segments = c.in.segments[1:]
	}
	return got, true, nil
}

// Write never blocks, as if the kernel's buffer always had free capacity.
func (c *conn) Write(b []byte) (int, error) {
	n := c.local.network
	n.mu.Lock()
	defer n.mu.Unlock()
	if c.closeErr != nil {
		return 0, c.closeErr
	}
	if c.out.finished {
		return 0, net.ErrClosed
	}
	if c.write.passed() {
		return 0, os.ErrDeadlineExceeded
	}
	if len(b) > 0 {
		c.send(append([]byte(nil), b...))
	}
	return len(b), nil
}

// Close closes the connection. Bytes that were written before still arrive.
func (c *conn) Close() error {
	n := c.local.network
	n.mu.Lock()
	defer n.mu.Unlock()
	if c.closeErr == nil {
		c.finish()
		c.closeErr = net.ErrClosed
		c.in.notify()
	}
	if c.peer.closeErr != nil {
		delete(n.conns, c)
		delete(n.conns, c.peer)
	}
	return nil
}

// LocalAddr returns the address of this end.
func (c *conn) LocalAddr() net.Addr { return c.localAddr }

// RemoteAddr returns the address of the other end.
func (c *conn) RemoteAddr() net.Addr { return c.remoteAddr }

// SetDeadline bounds reads and writes.
func (c *conn) SetDeadline(t time.Time) error {
	c.read.set(t)
	c.write.set(t)
	return nil
}

// SetReadDeadline bounds reads.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.read.set(t)
	return nil
}

// SetWriteDeadline bounds writes.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.write.set(t)
	return nil
}

// deadline closes a channel at a set time.
type deadline struct {
	mu    *sync.Mutex
	state *deadlineState
}

type deadlineState struct {
	timer   *time.Timer
	expired chan struct{}
}

func newDeadline() deadline {
	return deadline{mu: &sync.Mutex{}, state: &deadlineState{expired: make(chan struct{})}}
}

func (d deadline) set(t time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.state
	if s.timer != nil {
		s.timer.Stop()
		s.timer = nil
	}
	select {
	case <-s.expired:
		s.expired = make(chan struct{})
	default:
	}
	if t.IsZero() {
		return
	}
	expired := s.expired
	left := time.Until(t)
	if left <= 0 {
		close(expired)
		return
	}
	s.timer = time.AfterFunc(left, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		// If the deadline was set again, another timer is in force.
		if s.expired == expired && s.timer != nil {
			s.timer = nil
			close(expired)
		}
	})
}

func (d deadline) done() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.expired
}

func (d deadline) passed() bool {
	select {
	case <-d.done():
		return true
	default:
		return false
	}
}
