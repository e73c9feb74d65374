package rpc_test

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"testing"
	"time"

	"verbenalanding.example/fleet/rpc"
)

// unreadPeer returns a client whose peer reads nothing until the end of patience, and a count of the connections.
func unreadPeer(t *testing.T, patience time.Duration) (client *rpc.Client, connections func() int) {
	t.Helper()
	n := 0
	return &rpc.Client{
		Addr: netip.MustParseAddrPort("127.0.0.1:9"),
		Dial: func(context.Context, string, string) (net.Conn, error) {
			n++
			near, far := net.Pipe()
			timer := time.AfterFunc(patience, func() { _ = far.Close() })
			t.Cleanup(func() { timer.Stop(); _ = far.Close() })
			return near, nil
		},
	}, func() int { return n }
}

// Guards against a call that lasts as long as its peer reads nothing, whatever its context says, and holds up all later calls to that peer.
func TestCallEndsWithItsContextWhileAWriteBlocks(t *testing.T) {
	const timeout, patience = 50 * time.Millisecond, 3 * time.Second
	client, connections := unreadPeer(t, patience)
	for call := 1; call <= 2; call++ {
		began := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		err := client.Call(ctx, "method", "params", nil)
		cancel()
		if !errors.Is(err, rpc.ErrUnreachable) {
			t.Errorf("call %d: got %v, want %v", call, err, rpc.ErrUnreachable)
		}
		if errors.Is(err, rpc.ErrNotSent) {
			t.Errorf("call %d: got %v, although a part of it may have been sent", call, err)
		}
		if took := time.Since(began); took >= patience {
			t.Errorf("call %d with a timeout of %v took %v", call, timeout, took)
		}
		if got := connections(); got != call {
			t.Errorf("connections after call %d: got %d, want %d", call, got, call)
		}
	}
}

// Guards against a working connection that is closed by a call whose context had ended before.
func TestCallWithAnEndedContextIsNotSent(t *testing.T) {
	client, _ := unreadPeer(t, time.Second)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := client.Call(ctx, "method", "params", nil); !errors.Is(err, rpc.ErrNotSent) {
		t.Errorf("call: got %v, want %v", err, rpc.ErrNotSent)
	}
}
