package node

import (
	"context"
	"net"
	"net/netip"
	"time"

	"verbenalanding.example/fleet/steady"
	"verbenalanding.example/platform"
)

// Dial opens a connection, as that of a net.Dialer does.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// Surroundings are the network and the clock that a node has; fields that are unset are those of its process.
type Surroundings struct {
	Dial   Dial
	Listen func(addr netip.AddrPort) (net.Listener, error)
	// Since counts the time, suspensions included.
	Since func() time.Duration
}

func (s Surroundings) clock() *steady.Clock {
	if s.Since == nil {
		return steady.New()
	}
	return steady.From(s.Since)
}

func (s Surroundings) client() *platform.Client {
	if s.Dial == nil {
		return platform.NewClient()
	}
	return platform.NewClientWith(s.Dial)
}

func (s Surroundings) listen(addr netip.AddrPort) (net.Listener, error) {
	if s.Listen == nil {
		return net.Listen("tcp", addr.String())
	}
	return s.Listen(addr)
}
