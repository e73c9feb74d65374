package inlet

import (
	"net"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"verbenalanding.example/fleet/intake"
)

// deadlineConn records the deadline of its reads.
type deadlineConn struct {
	net.Conn
	deadline time.Time
}

func (c *deadlineConn) SetReadDeadline(t time.Time) error {
	c.deadline = t
	return nil
}

// Guards against a request that is ended while it is handled, since its body was told to give way just as its last byte arrived.
func TestWholeMessageIsNotInterrupted(t *testing.T) {
	r := NewRoom(intake.Settings{Bytes: 100, Reserve: 10, Small: 1, MaxWaiting: 100, Stall: time.Nanosecond, Rate: 1 << 30}, time.Second, time.Second, time.Second)
	raw := &deadlineConn{}
	conn := &Conn{Conn: raw, listener: &Listener{}}
	waiting := r.newShare(nil)
	waiting.resumed = make(chan struct{}, 1)
	src := iotest.OneByteReader(strings.NewReader(strings.Repeat("a", 90)))
	review := readerFunc(func(b []byte) (int, error) {
		n, err := src.Read(b)
		if waiting.share.Held() == 0 && !r.room.Waiting() {
			r.room.Take(&waiting.share, 90)
		}
		r.review()
		return n, err
	})
	content, share, err := r.read(t.Context(), conn, review, 90, 90, 90)
	if err != nil || len(content) != 90 {
		t.Fatalf("message: got %d bytes and %v, want all 90", len(content), err)
	}
	r.review()
	if !share.share.Leaving() || !raw.deadline.IsZero() {
		t.Errorf("whole message: got told to give way %v, deadline %v, want true and none", share.share.Leaving(), raw.deadline)
	}
	share.Release()
}

type readerFunc func(b []byte) (int, error)

func (f readerFunc) Read(b []byte) (int, error) { return f(b) }
