package inlet

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"verbenalanding.example/fleet/intake"
)

// Cause names why a client was refused or its connection closed; metrics and log lines carry it.
type Cause string

// The causes of a listener.
const (
	// ConnectionClosed means that a connection waited for its client for longer than all others when there was no place for a new one.
	ConnectionClosed Cause = "connectionClosed"
	// ConnectionRefused means that all connections were in use.
	ConnectionRefused Cause = "connectionRefused"
	// AnswerNotRead means that a client did not read its answer.
	AnswerNotRead Cause = "answerNotRead"
)

// stalledWrite is the time for which a write has to be blocked before its connection makes place for a new one.
const stalledWrite = time.Second

// Listener accepts connections, of which it keeps a bounded number open. Set the exported fields before the first Accept.
type Listener struct {
	net.Listener
	// Limit is the number of open connections.
	Limit int
	// AnswerTimeout bounds the time for which a client reads nothing of an answer.
	AnswerTimeout time.Duration
	// LongestUse is the time for which a connection is busy from which on it makes place for a new one, if none waits for its client; 0 for any time.
	LongestUse time.Duration
	// OnRefusal is called, without a lock held, for each connection that was closed or refused; nil for none.
	OnRefusal func(cause Cause, remote net.Addr)

	mu          sync.Mutex
	connections intake.Connections
}

// Accept returns the next connection.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: raw, listener: l}
		c.place.Owner = c
		l.mu.Lock()
		l.connections.Limit = l.Limit
		removed := l.connections.Add(&c.place, l.givesWay)
		l.mu.Unlock()
		if removed == nil {
			return c, nil
		}
		if removed == &c.place {
			_ = raw.Close()
			l.report(ConnectionRefused, raw)
			continue
		}
		owner := removed.Owner.(*Conn)
		_ = owner.Conn.Close()
		l.report(ConnectionClosed, owner.Conn)
		return c, nil
	}
}

// Open returns the number of open connections.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.connections.Len()
}

func (l *Listener) report(cause Cause, conn net.Conn) {
	if l.OnRefusal != nil {
		l.OnRefusal(cause, conn.RemoteAddr())
	}
}

// givesWay reports whether a busy connection makes place for a new one: its client does not read its answer, or its request is handled for too long.
func (l *Listener) givesWay(n *intake.Connection) bool {
	c := n.Owner.(*Conn)
	return isPast(c.writingSince.Load(), stalledWrite) || l.LongestUse > 0 && isPast(c.busySince.Load(), l.LongestUse)
}

// isPast reports whether a time, in nanoseconds since 1970, was longer ago than a duration; 0 is none.
func isPast(since int64, d time.Duration) bool {
	return since != 0 && time.Since(time.Unix(0, since)) > d
}

// TrackState is the ConnState of a server on the listener: a connection that serves a request is busy.
func (l *Listener) TrackState(conn net.Conn, state http.ConnState) {
	if encrypted, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = encrypted.NetConn()
	}
	c, ok := conn.(*Conn)
	if !ok {
		return
	}
	switch state {
	case http.StateActive:
		c.Busy()
	case http.StateIdle:
		c.endDiscard()
		c.Quiet()
	default:
	}
}

type connKey struct{}

// ConnContext is the ConnContext of a server on the listener; a Room finds the connection of a request by it.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// connOf returns the connection of a request, or nil if it did not come through a Listener.
func connOf(r *http.Request) *Conn {
	c, _ := r.Context().Value(connKey{}).(*Conn)
	return c
}
