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
	local, remote *host
	addr, to      net.Addr
	peer          *conn
	in, out       *direction
	// broken ends the connection at once.
	broken      error
	read, write deadline
}

// direction holds the bytes on their way from one end to the other.
type direction struct {
	segments []segment
	// last is when the last segment arrives; segments do not overtake each other.
	last time.Time
	// finished is true once the sender has closed.
	finished bool
	wake     chan struct{}
}

type segment struct {
	sent, arrives time.Time
	content       []byte
}

func (d *direction) waiting(now time.Time) time.Duration {
	if len(d.segments) == 0 {
		return 0
	}
	return now.Sub(d.segments[0].sent)
}

// send puts bytes on their way, or the end of the connection where there are none; the network's lock must be held.
func (c *conn) send(content []byte) {
	d, now := c.out, time.Now()
	arrives := now.Add(c.local.net.latency(c.local.addr, c.remote.addr, content))
	if arrives.Before(d.last) {
		arrives = d.last
	}
	d.last = arrives
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
	close(d.wake)
	d.wake = make(chan struct{})
}

// connect makes a connection to a listener; the lock must be held.
func (n *network) connect(from *host, l *listener) *conn {
	there, back := &direction{wake: make(chan struct{})}, &direction{wake: make(chan struct{})}
	own := net.TCPAddrFromAddrPort(l.addr)
	other := &net.TCPAddr{IP: from.addr.AsSlice(), Port: 1}
	c := &conn{local: from, remote: l.host, addr: other, to: own, in: back, out: there}
	s := &conn{local: l.host, remote: from, addr: own, to: other, in: there, out: back}
	c.peer, s.peer = s, c
	for _, x := range []*conn{c, s} {
		x.read, x.write = newDeadline(), newDeadline()
		n.conns[x] = struct{}{}
	}
	select {
	case l.queue <- s:
	default:
		n.breakConn(c)
	}
	return c
}

// Read waits for bytes that have arrived.
func (c *conn) Read(b []byte) (int, error) {
	n := c.local.net
	for {
		n.mu.Lock()
		got, ready, err := c.take(b)
		wake, changed := c.in.wake, n.changed
		var arrives time.Time
		if len(c.in.segments) > 0 && n.passes(c.remote, c.local) {
			arrives = c.in.segments[0].arrives
		}
		n.mu.Unlock()
		if ready {
			return got, err
		}
		if c.read.passed() {
			return 0, os.ErrDeadlineExceeded
		}
		if !c.wait(arrives, wake, changed) {
			return 0, os.ErrDeadlineExceeded
		}
	}
}

// wait waits until there may be something to read; it reports false at the deadline.
func (c *conn) wait(arrives time.Time, wake, changed chan struct{}) bool {
	var due <-chan time.Time
	if !arrives.IsZero() {
		timer := time.NewTimer(time.Until(arrives))
		defer timer.Stop()
		due = timer.C
	}
	select {
	case <-wake:
	case <-changed:
	case <-due:
	case <-c.read.done():
		return false
	}
	return true
}

// take reads what has arrived; the lock must be held.
func (c *conn) take(b []byte) (got int, ready bool, err error) {
	if c.broken != nil {
		return 0, true, c.broken
	}
	if len(c.in.segments) == 0 || !c.local.net.passes(c.remote, c.local) || c.in.segments[0].arrives.After(time.Now()) {
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

// Write never waits, as with room in the kernel's buffer.
func (c *conn) Write(b []byte) (int, error) {
	n := c.local.net
	n.mu.Lock()
	defer n.mu.Unlock()
	if c.broken != nil {
		return 0, c.broken
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

// Close ends the connection; what was written still arrives.
func (c *conn) Close() error {
	n := c.local.net
	n.mu.Lock()
	defer n.mu.Unlock()
	if c.broken == nil {
		c.finish()
		c.broken = net.ErrClosed
		c.in.notify()
	}
	if c.peer.broken != nil {
		delete(n.conns, c)
		delete(n.conns, c.peer)
	}
	return nil
}

// LocalAddr returns the address of this end.
func (c *conn) LocalAddr() net.Addr { return c.addr }

// RemoteAddr returns the address of the other end.
func (c *conn) RemoteAddr() net.Addr { return c.to }

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

// deadline is a moment at which a channel is closed.
type deadline struct {
	mu    *sync.Mutex
	state *deadlineState
}

type deadlineState struct {
	timer *time.Timer
	over  chan struct{}
}

func newDeadline() deadline {
	return deadline{mu: &sync.Mutex{}, state: &deadlineState{over: make(chan struct{})}}
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
	case <-s.over:
		s.over = make(chan struct{})
	default:
	}
	if t.IsZero() {
		return
	}
	over := s.over
	left := time.Until(t)
	if left <= 0 {
		close(over)
		return
	}
	s.timer = time.AfterFunc(left, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		// A deadline that was set anew has another timer.
		if s.over == over && s.timer != nil {
			s.timer = nil
			close(over)
		}
	})
}

func (d deadline) done() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.state.over
}

func (d deadline) passed() bool {
	select {
	case <-d.done():
		return true
	default:
		return false
	}
}
