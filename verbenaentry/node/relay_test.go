package node

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"verbenalanding.example/fleet/rpc"
)

// relayPeer is another node, of which the test decides which calls it answers.
type relayPeer struct {
	addr        netip.AddrPort
	peers       *Peers
	connections atomic.Int64
}

func newRelayPeer(t *testing.T, handler rpc.Handler) *relayPeer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatalf("listen: got %v, want none", err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error {
		return (&rpc.Server{Listener: listener, Handler: handler, Sentinels: peerSentinels}).Run(ctx)
	})
	t.Cleanup(func() { cancel(); _ = group.Wait() })
	p := &relayPeer{addr: netip.MustParseAddrPort(listener.Addr().String())}
	p.peers = newPeers(nil, Environment{Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
		p.connections.Add(1)
		return (&net.Dialer{}).DialContext(ctx, network, addr)
	}}, zerolog.Nop())
	return p
}

// relay makes a relayed call that gets no answer.
func (p *relayPeer) relay(t *testing.T) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if err := p.peers.callRelay(ctx, p.addr, methodGet, "key", nil); !errors.Is(err, rpc.ErrUnreachable) {
		t.Errorf("relayed call: got %v, want %v", err, rpc.ErrUnreachable)
	}
}

func (p *relayPeer) wantConnections(t *testing.T, want int64) {
	t.Helper()
	if got := p.connections.Load(); got != want {
		t.Errorf("connections: got %d, want %d", got, want)
	}
}

// Guards against hand-ins that are answered with 504 one after the other because all are relayed on a connection that is dead.
func TestRelayedCallClosesASilentConnection(t *testing.T) {
	p := newRelayPeer(t, func(ctx context.Context, _ string, _ json.RawMessage) (any, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	})
	p.relay(t)
	p.relay(t)
	p.wantConnections(t, 2)
}

// Guards against relayed calls that lose their answers beside a slow store: one call that was not answered in time closed the connection of all.
func TestRelayedCallKeepsAConnectionThatAnswers(t *testing.T) {
	p := newRelayPeer(t, func(ctx context.Context, method string, _ json.RawMessage) (any, error) {
		if method == methodGet {
			<-ctx.Done()
		}
		return "answer", nil
	})
	var group errgroup.Group
	group.Go(func() error {
		interval := time.NewTicker(5 * time.Millisecond)
		defer interval.Stop()
		for range 20 {
			<-interval.C
			if err := p.peers.call(t.Context(), p.addr, methodStatus, nil, nil); err != nil {
				return err
			}
		}
		return nil
	})
	p.relay(t)
	if err := group.Wait(); err != nil {
		t.Errorf("other calls on the connection: got %v, want none", err)
	}
	p.wantConnections(t, 1)
}
