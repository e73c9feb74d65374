package node

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"verbenalanding.example/platform"
	"verbenalanding.example/platform/wire"
)

// slowConn delays what is written.
type slowConn struct {
	net.Conn
	delay time.Duration
}

func (c *slowConn) Write(b []byte) (int, error) {
	time.Sleep(c.delay)
	return c.Conn.Write(b)
}

// Guards against two orders of a node for one machine that overtake each other: the check for a newer one comes before the order is written, and
// the older one, written late, reaches the platform after the newer one.
func TestMachineOrdersArriveInTheOrderOfTheirTokens(t *testing.T) {
	const delay = 300 * time.Millisecond
	var mu sync.Mutex
	var fences []string
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		fences = append(fences, r.Header.Get(wire.HeaderFence))
	}))
	defer server.Close()
	delays := []time.Duration{delay, 0}
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		mu.Lock()
		defer mu.Unlock()
		slow := &slowConn{Conn: conn, delay: delays[0]}
		delays = delays[1:]
		return slow, err
	}
	machines := platform.Machines{Client: platform.NewClientWithDial(dial), Addr: netip.MustParseAddrPort(server.Listener.Addr().String())}
	var orders newestOrders
	var group errgroup.Group
	for _, fence := range []uint64{44, 45} {
		orders.record("m", fence)
		group.Go(func() error {
			holder := platform.Holder{Node: "n", Fence: fence, Held: func() bool { return !orders.superseded("m", fence) }}
			_, err := machines.Move(t.Context(), holder, "m", "pool")
			return err
		})
		time.Sleep(delay / 3)
	}
	if err := group.Wait(); err != nil {
		t.Fatalf("orders: got %v, want none", err)
	}
	if !slices.IsSorted(fences) {
		t.Errorf("fencing tokens in the order of their arrival: got %v, want them to rise", fences)
	}
}
