package node

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/semaphore"

	"verbenalanding.example/fleet/store"
	"verbenalanding.example/platform"
)

// Guards against calls for callers and other nodes that take all descriptors of the process while the store is silent, and against one that is said to
// be unanswered although it was not sent.
func TestCallsForOthersAreBounded(t *testing.T) {
	const slots, calls = 3, 20
	var open, most atomic.Int64
	end := make(chan struct{})
	silent := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		most.Store(max(most.Load(), open.Add(1)))
		defer open.Add(-1)
		select {
		case <-end:
		case <-r.Context().Done():
		}
	}))
	defer silent.Close()
	n := newTakeoverFixture(t).pool.node
	n.Store = &platform.Store{Client: platform.NewClient(), Addr: netip.MustParseAddrPort(silent.Listener.Addr().String())}
	n.intake.storeCalls = semaphore.NewWeighted(slots)
	var refused atomic.Int64
	call := func(timeout time.Duration) error {
		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()
		if _, err := n.directAccess().Get(ctx, "a"); errors.Is(err, store.ErrRefused) {
			refused.Add(1)
		}
		return nil
	}
	var first, others errgroup.Group
	for range slots {
		first.Go(func() error { return call(10 * time.Second) })
	}
	for open.Load() < slots {
		time.Sleep(time.Millisecond)
	}
	for range calls - slots {
		others.Go(func() error { return call(100 * time.Millisecond) })
	}
	_ = others.Wait()
	close(end)
	_ = first.Wait()
	if got := most.Load(); got > slots {
		t.Errorf("calls at a time: got %d, want at most %d", got, slots)
	}
	if got := refused.Load(); got != calls-slots {
		t.Errorf("calls that were not sent: got %d, want %d", got, calls-slots)
	}
}
