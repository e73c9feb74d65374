package inlet

import (
	"context"
	"net"
	"net/netip"
	"syscall"
)

// Buffers are the sizes in bytes of the kernel's buffers for each connection of a listener. The kernel may keep twice as much, and a process is charged for
// what it has not read.
type Buffers struct{ Receive, Send int }

// Listen opens a TCP listener. Connections have their buffers from their first byte on, also before they are accepted; where the system does not take a
// size, its own stays.
func Listen(ctx context.Context, addr netip.AddrPort, b Buffers) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error { return c.Control(b.set) }}
	return config.Listen(ctx, "tcp", addr.String())
}

func (b Buffers) set(fd uintptr) {
	_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, b.Receive)
	_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, b.Send)
}
