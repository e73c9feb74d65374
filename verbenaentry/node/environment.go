package node

import (
	"context"
	"net"
	"net/netip"
	"time"

	"verbenalanding.example/fleet/inlet"
	"verbenalanding.example/fleet/monotonic"
	"verbenalanding.example/platform"
)

// Dial opens a connection; it has the signature of net.Dialer.DialContext.
type Dial func(ctx context.Context, network, addr string) (net.Conn, error)

// Environment is the network and clock of a node; unset fields default to those of the process.
type Environment struct {
	Dial   Dial
	Listen func(addr netip.AddrPort) (net.Listener, error)
	// Elapsed returns a monotonic time that also advances while the machine is suspended.
	Elapsed func() time.Duration
}

func (e Environment) clock() *monotonic.Clock {
	if e.Elapsed == nil {
		return monotonic.New()
	}
	return monotonic.From(e.Elapsed)
}

func (e Environment) client() *platform.Client {
	if e.Dial == nil {
		return platform.NewClient()
	}
	return platform.NewClientWithDial(e.Dial)
}

// listen opens a listener; the buffers of an environment's own one are its matter.
func (e Environment) listen(addr netip.AddrPort, b inlet.Buffers) (net.Listener, error) {
	if e.Listen == nil {
		return inlet.Listen(context.Background(), addr, b)
	}
	return e.Listen(addr)
}
