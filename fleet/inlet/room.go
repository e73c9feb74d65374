package inlet

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"verbenalanding.example/fleet/intake"
)

// The errors of a message that is not taken.
var (
	// ErrNoRoom means that other messages take all room.
	ErrNoRoom = errors.New("no room for the message")
	// ErrGaveWay means that a message that arrived too slowly gave its room up to others.
	ErrGaveWay = errors.New("message arrived too slowly while others waited for its room")
	// ErrStalled means that nothing of a message arrived for too long.
	ErrStalled = errors.New("message has stalled")
	// ErrTooSlow means that a message took too long in all.
	ErrTooSlow = errors.New("message took too long")
	// ErrTooLarge means that a message exceeds its limit.
	ErrTooLarge = errors.New("message too large")
)

const (
	// firstBuffer is the size in bytes of the first buffer of a message for which not all room is taken at once, growth the factor by which it grows.
	firstBuffer = 4 << 10
	growth      = 4
	// reviewInterval is how often the messages that are being read are reviewed while others wait.
	reviewInterval = 100 * time.Millisecond
	// freeOverhead is the number of bytes beside its content that a message may have before its reading is paced, and overheadRate the rate, in
	// bytes per second, at which all such messages together are read: 2 MB/s of chunks of one byte take a fortieth of a core.
	freeOverhead = 64 << 10
	overheadRate = 2 << 20
)

// Room reads messages into buffers that hold a bounded number of bytes in all. Set the exported fields before its first use.
type Room struct {
	Settings intake.Settings
	// WaitLimit bounds the time for which a message waits for room, StallLimit the time without a byte of it and TimeLimit the time that it takes
	// in all.
	WaitLimit, StallLimit, TimeLimit time.Duration

	mu    sync.Mutex
	room  intake.Room
	paced *rate.Limiter
}

// NewRoom returns a room with the given bounds.
func NewRoom(s intake.Settings, waitLimit, stallLimit, timeLimit time.Duration) *Room {
	return &Room{
		Settings: s, WaitLimit: waitLimit, StallLimit: stallLimit, TimeLimit: timeLimit, room: intake.Room{Settings: s},
		paced: rate.NewLimiter(overheadRate, freeOverhead),
	}
}

// Held returns the bytes that all messages hold.
func (r *Room) Held() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.room.Held()
}

// past is a read deadline that ends a read at once.
var past = time.Unix(1, 0)

// review interrupts the messages that have to give their room up. The lock orders that before the end of a message, which resets the deadline.
func (r *Room) review() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.room.Overdue(time.Now()) {
		if conn := s.Owner.(*Share).conn; conn != nil {
			_ = conn.Conn.SetReadDeadline(past)
		}
	}
}

// reading is a message that is being read.
type reading struct {
	Share

	ctx     context.Context
	began   time.Time
	content []byte
	// arrivedBefore is the number of bytes that had arrived on the connection before.
	arrivedBefore int64
	// limited is true once a read of the connection has got a deadline, and ended once the message is no longer read; a server may begin to read
	// what follows a message before that. Both are guarded by the room's lock.
	limited, ended bool
}

// beforeRead bounds the time of the next read of the message.
func (m *reading) beforeRead(c *Conn) error {
	// The lock orders this deadline before that of a review and before its reset at the end of the message.
	m.room.mu.Lock()
	defer m.room.mu.Unlock()
	if m.ended {
		return nil
	}
	if m.share.Leaving() {
		return ErrGaveWay
	}
	m.limited = true
	deadline := time.Now().Add(m.room.StallLimit)
	if last := m.began.Add(m.room.TimeLimit); last.Before(deadline) {
		deadline = last
	}
	c.Quiet()
	return c.Conn.SetReadDeadline(deadline)
}

// pace delays the reading of a message if little of what arrives is content.
func (m *reading) pace() error {
	if m.conn == nil {
		return nil
	}
	content := int64(len(m.content))
	overhead := m.conn.arrived.Load() - m.arrivedBefore - content
	if overhead <= max(freeOverhead, content) {
		return nil
	}
	began := time.Now()
	if err := m.room.paced.WaitN(m.ctx, firstBuffer); err != nil {
		// The caller's deadline is shorter than the wait.
		return ErrNoRoom
	}
	m.extend(time.Since(began))
	return nil
}

// extend allows the message more time, since the process itself kept it from being read.
func (m *reading) extend(by time.Duration) {
	m.room.mu.Lock()
	defer m.room.mu.Unlock()
	m.room.room.Extend(&m.share, by)
}

// read reads a message of a declared size, or up to its end if that is negative. Room for a declared size up to atOnce is taken before it is
// read, and for others as they arrive.
func (r *Room) read(ctx context.Context, conn *Conn, src io.Reader, declared, limit, atOnce int64) ([]byte, *Share, error) {
	if declared > limit {
		return nil, nil, ErrTooLarge
	}
	if declared == 0 {
		return nil, nil, nil
	}
	m := &reading{Share: Share{room: r, conn: conn}, ctx: ctx, began: time.Now()}
	m.share.Owner = &m.Share
	first := int64(firstBuffer)
	if declared >= 0 && declared <= max(atOnce, firstBuffer) {
		first = declared
	}
	err := m.take(ctx, first, m.began)
	if err == nil {
		m.content = make([]byte, 0, first)
		if conn != nil {
			m.arrivedBefore = conn.arrived.Load()
			conn.message.Store(m)
		}
		err = m.readAll(src, declared, limit)
		if conn != nil {
			m.end()
		}
	}
	if err != nil {
		if conn != nil {
			conn.unread.Store(true)
		}
		m.Release()
		return nil, nil, err
	}
	return m.content, &m.Share, nil
}

// end ends the reading of the message.
func (m *reading) end() {
	m.conn.unread.Store(false)
	m.conn.message.Store(nil)
	m.room.mu.Lock()
	defer m.room.mu.Unlock()
	m.ended = true
	m.room.room.Complete(&m.share)
	if m.limited || m.share.Leaving() {
		m.conn.Busy()
		// The deadline of a connection that was closed cannot be set.
		_ = m.conn.Conn.SetReadDeadline(time.Time{})
	}
}

// readAll reads the message, which ends at the declared size, or at the end of the source if that is negative.
func (m *reading) readAll(src io.Reader, declared, limit int64) error {
	for declared < 0 || int64(len(m.content)) < declared {
		if len(m.content) == cap(m.content) {
			if int64(len(m.content)) == limit {
				return m.awaitEnd(src)
			}
			largest := limit
			if declared >= 0 {
				largest = declared
			}
			if err := m.grow(min(largest, int64(cap(m.content))*growth)); err != nil {
				return err
			}
		}
		if err := m.pace(); err != nil {
			return err
		}
		n, err := src.Read(m.content[len(m.content):cap(m.content)])
		m.content = m.content[:len(m.content)+n]
		if n > 0 && int64(len(m.content)) != declared {
			m.room.mu.Lock()
			m.room.room.Progress(&m.share, int64(n), time.Now())
			m.room.mu.Unlock()
		}
		if errors.Is(err, io.EOF) && (declared < 0 || int64(len(m.content)) == declared) {
			return nil
		}
		if err != nil {
			return m.explain(err)
		}
	}
	return nil
}

// awaitEnd expects the end of a message that is as large as it may be.
func (m *reading) awaitEnd(src io.Reader) error {
	var more [1]byte
	switch n, err := io.ReadFull(src, more[:]); {
	case n > 0:
		return ErrTooLarge
	case errors.Is(err, io.EOF):
		return nil
	default:
		return m.explain(err)
	}
}

// grow moves what has arrived into a larger buffer. The share holds both, since the smaller one is freed later.
func (m *reading) grow(size int64) error {
	began := time.Now()
	if err := m.take(m.ctx, size+int64(cap(m.content)), time.Time{}); err != nil {
		return err
	}
	m.extend(time.Since(began))
	larger := make([]byte, len(m.content), size)
	copy(larger, m.content)
	m.content = larger
	return nil
}

// explain returns why a message could not be read whole.
func (m *reading) explain(err error) error {
	m.room.mu.Lock()
	leaving := m.share.Leaving()
	m.room.mu.Unlock()
	var timeout interface{ Timeout() bool }
	switch {
	case leaving:
		return ErrGaveWay
	case !errors.As(err, &timeout) || !timeout.Timeout():
		return err
	case time.Since(m.began) >= m.room.TimeLimit:
		return ErrTooSlow
	}
	return ErrStalled
}
