package inlet_test

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"os"
	"testing"
	"time"

	"verbenalanding.example/fleet/inlet"
)

// Guards against clients whose bytes take more of the kernel's memory than a connection may: nobody reads, and the client sends all that is taken.
func TestUnreadBytesOfAConnectionAreBounded(t *testing.T) {
	const (
		size = 16 << 10
		most = 8 * size
	)
	l, err := inlet.Listen(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"), inlet.Buffers{Receive: size, Send: size})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	for _, accepted := range []bool{false, true} {
		client, err := (&net.Dialer{}).DialContext(context.Background(), "tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = client.Close() }()
		if accepted {
			conn, err := l.Accept()
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
		}
		// What the client's own kernel holds counts too, so that its buffer is small.
		if err := client.(*net.TCPConn).SetWriteBuffer(size); err != nil {
			t.Fatal(err)
		}
		if err := client.SetWriteDeadline(time.Now().Add(time.Second)); err != nil {
			t.Fatal(err)
		}
		sent, err := client.Write(make([]byte, 1<<20))
		if !errors.Is(err, os.ErrDeadlineExceeded) || sent > most {
			t.Errorf("connection that was accepted (%v): got %d bytes sent and %v, want at most %d and %v", accepted, sent, err, most, os.ErrDeadlineExceeded)
		}
	}
}
