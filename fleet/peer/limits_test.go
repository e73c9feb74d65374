package peer_test

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"verbenalanding.example/fleet/drain"
	"verbenalanding.example/fleet/peer"
)

// drains answers questions about drains.
type drains struct{ peer.Service }

func (drains) DrainStatus(instances []string) []drain.Status {
	return []drain.Status{{Instance: instances[0]}}
}

// Guards against idle connections that take the descriptors of a process and keep its peers out.
func TestConnectionsOfStrangersAreBounded(t *testing.T) {
	const strangers, most = 700, 600
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := netip.MustParseAddrPort(l.Addr().String())
	n := &peer.Node{Self: "a", Listener: l, Service: drains{}, Peers: func() []peer.Address { return nil }}
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return n.Run(ctx) })
	defer func() {
		cancel()
		_ = group.Wait()
	}()
	var conns []net.Conn
	for range strangers {
		conn, err := net.Dial("tcp", addr.String())
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		conns = append(conns, conn)
	}
	other := &peer.Node{Self: "b"}
	status, err := other.DrainStatus(t.Context(), addr, []string{"i1"})
	if err != nil || len(status) != 1 {
		t.Errorf("call beside them: got %v and %v, want one status", status, err)
	}
	open := 0
	for _, conn := range conns {
		_ = conn.SetReadDeadline(time.Now().Add(time.Millisecond))
		var timeout net.Error
		if _, err := conn.Read(make([]byte, 1)); errors.As(err, &timeout) && timeout.Timeout() {
			open++
		}
	}
	if open > most {
		t.Errorf("open connections: got %d, want at most %d", open, most)
	}
}
