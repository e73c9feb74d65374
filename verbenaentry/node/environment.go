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

// Environment is the network and the clock that a node has; fields that are unset are those of its process.
type Environment struct {
	Dial   Dial
	Listen func(addr netip.AddrPort) (net.Listener, error)
	// Since counts the time, suspensions included.
	Since func() time.Duration
}

func (e Environment) clock() *steady.Clock {
	if e.Since == nil {
		return steady.New()
	}
	return steady.From(e.Since)
}

func (e Environment) client() *platform.Client {
	if e.Dial == nil {
		return platform.NewClient()
	}
	return platform.NewClientWithDial(e.Dial)
}

func (e Environment) listen(addr netip.AddrPort) (net.Listener, error) {
	if e.Listen == nil {
		return net.Listen("tcp", addr.String())
	}
	return e.Listen(addr)
}
