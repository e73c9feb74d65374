package inlet

import (
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"

	"verbenalanding.example/fleet/intake"
)

// writePiece is the size of the parts in which an answer is written, in bytes. AnswerTimeout holds for each part, so that a large answer may take
// longer on a slow link.
const writePiece = 64 << 10

// discardTime is for how long the body of a refused request is read and discarded: closing a connection with unread bytes resets it, and the
// client would lose the answer.
const discardTime = 500 * time.Millisecond

// Conn is a connection of a Listener.
type Conn struct {
	net.Conn

	listener *Listener
	place    intake.Connection
	// message is the message that is being read; nil between messages.
	message atomic.Pointer[reading]
	// arrived counts the bytes that have arrived, in all.
	arrived atomic.Int64
	// unread is true for a request with a body until that was read; the server discards what its handler has not read. Only the reader uses
	// discardBy, the time until which that may take.
	unread    atomic.Bool
	discardBy time.Time
	// writingSince is when the present write began, in nanoseconds since 1970; 0 if there is none.
	writingSince atomic.Int64
	// busySince is when the connection became busy, in the same unit.
	busySince atomic.Int64
	// writeDeadline is the deadline that was set last; only the writer uses it.
	writeDeadline time.Time
}

// Quiet notes that the connection waits for its client, or that its client has just sent something.
func (c *Conn) Quiet() {
	c.busySince.Store(0)
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.listener.connections.Quiet(&c.place)
}

// Busy notes that the connection does not wait for its client.
func (c *Conn) Busy() {
	c.busySince.CompareAndSwap(0, time.Now().UnixNano())
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.listener.connections.Busy(&c.place)
}

// Close closes the connection and frees its place.
func (c *Conn) Close() error {
	c.listener.mu.Lock()
	c.listener.connections.Remove(&c.place)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite ends what is sent, if the connection can do that by itself.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Read reads what has arrived. While a message is being read, it takes no longer than the message may; the rest of a message that nobody reads
// is discarded for discardTime at most.
func (c *Conn) Read(b []byte) (int, error) {
	if m := c.message.Load(); m != nil {
		if err := m.beforeRead(c); err != nil {
			return 0, err
		}
	} else if c.unread.Load() {
		if err := c.beforeDiscard(); err != nil {
			return 0, err
		}
	}
	n, err := c.Conn.Read(b)
	c.arrived.Add(int64(n))
	return n, err
}

// beforeDiscard bounds the next read of a message that nobody reads.
func (c *Conn) beforeDiscard() error {
	now := time.Now()
	if c.discardBy.IsZero() {
		c.discardBy = now.Add(discardTime)
	}
	if now.After(c.discardBy) {
		return os.ErrDeadlineExceeded
	}
	c.Quiet()
	return c.Conn.SetReadDeadline(c.discardBy)
}

// endDiscard ends the time for which a message is discarded.
func (c *Conn) endDiscard() {
	c.unread.Store(false)
	c.discardBy = time.Time{}
}

// SetWriteDeadline does nothing: Write bounds its own time, and a server resets the deadline after each request.
func (*Conn) SetWriteDeadline(time.Time) error { return nil }

// Write writes an answer. It fails once the client has read nothing for the listener's AnswerTimeout.
func (c *Conn) Write(b []byte) (int, error) {
	now := time.Now()
	c.writingSince.Store(now.UnixNano())
	defer c.writingSince.Store(0)
	written := 0
	for {
		c.extendWriteDeadline(now)
		n, err := c.Conn.Write(b[written:min(written+writePiece, len(b))])
		written += n
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.listener.report(AnswerNotRead, c.Conn)
		}
		if err != nil || written == len(b) {
			return written, err
		}
		now = time.Now()
		c.writingSince.Store(now.UnixNano())
	}
}

// extendWriteDeadline allows the next part of an answer at least half of AnswerTimeout. A deadline that is far enough away stays, since most
// answers are short and follow each other closely.
func (c *Conn) extendWriteDeadline(now time.Time) {
	timeout := c.listener.AnswerTimeout
	if timeout <= 0 || c.writeDeadline.Sub(now) > timeout/2 {
		return
	}
	c.writeDeadline = now.Add(timeout)
	// A connection that cannot set its deadline is closed, and the write fails.
	_ = c.Conn.SetWriteDeadline(c.writeDeadline)
}
