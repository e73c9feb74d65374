package node

import (
	"errors"
	"io"
	"net"
	"net/netip"
	"syscall"
	"testing"

	"golang.org/x/sync/errgroup"

	"verbenalanding.example/fleet/inlet"
	"verbenalanding.example/fleet/leadership"
	"verbenalanding.example/platform"
	"verbenalanding.example/verbenaentry/logs"
)

// Guards against a data race between the logging of one node and the start of another in the same process.
func TestNodesOfOneProcessLogWhileOthersStart(_ *testing.T) {
	var group errgroup.Group
	for range 4 {
		group.Go(func() error {
			log := newLogger(logs.NewWriter(io.Discard), Flags{LogLevel: "info"}, platform.Settings{})
			for range 100 {
				log.Info().Msg("line")
			}
			return nil
		})
	}
	_ = group.Wait()
}

// closeCounter is a listener that counts its closing.
type closeCounter struct {
	net.Listener
	closed *int
}

func (c closeCounter) Close() error {
	*c.closed++
	return nil
}

// Guards against listeners that stay open in a process that starts a node again because one of its addresses was in use.
func TestListenersAreClosedIfOneCannotBeOpened(t *testing.T) {
	opened, closed := 0, 0
	const addresses = 3
	n := &Node{Elector: &leadership.Elector{}, listenAt: func(netip.AddrPort, inlet.Buffers) (net.Listener, error) {
		if opened == addresses-1 {
			return nil, syscall.EADDRINUSE
		}
		opened++
		return closeCounter{closed: &closed}, nil
	}}
	if _, err := n.listen(); !errors.Is(err, ErrListen) || !errors.Is(err, syscall.EADDRINUSE) {
		t.Errorf("listen: got %v, want %v and %v", err, ErrListen, syscall.EADDRINUSE)
	}
	if opened != addresses-1 || closed != opened {
		t.Errorf("listeners: got %d opened and %d closed, want %d of each", opened, closed, addresses-1)
	}
}
