package leadership_test

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"verbenalanding.example/fleet/leadership"
	"verbenalanding.example/fleet/store"
)

// Guards against orders of a holder that resumes after a pause and has not yet been notified that another node took over its duty.
func TestHolderGivesNoOrdersAfterAPauseUntilItsDutyIsConfirmed(t *testing.T) {
	const (
		pause = time.Second
		ttl   = 6 * time.Second
	)
	t.Run("duty was taken", func(t *testing.T) {
		n := newNodes(t)
		a := n.build("a", ttl)
		n.run(a)
		first := await(t, "first holder", n.began)
		n.store.mu.Lock()
		n.store.watchSilent = true
		n.store.mu.Unlock()
		taken := store.Write{Key: leadership.Prefix + "pool", Value: []byte(`{"node":"b"}`)}
		if _, _, err := n.store.Apply(n.ctx, store.Transaction{Put: []store.Write{taken}}); err != nil {
			t.Fatalf("take the duty: got %v, want none", err)
		}
		n.clockOffset.Add(int64(pause))
		if a.Valid("pool", first.fence) {
			t.Errorf("right after the pause: got valid, want not")
		}
		end := awaitWithin(t, "end of the term", n.ended, time.Second)
		if !errors.Is(end.cause, leadership.ErrLost) {
			t.Errorf("cause: got %v, want %v", end.cause, leadership.ErrLost)
		}
	})
	t.Run("duty is still held", func(t *testing.T) {
		n := newNodes(t)
		a := n.build("a", ttl)
		n.run(a)
		first := await(t, "first holder", n.began)
		n.clockOffset.Add(int64(pause))
		if a.Valid("pool", first.fence) {
			t.Errorf("right after the pause: got valid, want not")
		}
		waitUntil(t, "orders are given again", func() bool { return a.Valid("pool", first.fence) })
	})
	t.Run("only the other nodes answer", func(t *testing.T) {
		n := newNodes(t)
		net, first := startWithStandbys(t, n, "a", "b", "c")
		n.store.rejectAll()
		n.clockOffset.Add(int64(pause))
		waitUntil(t, "the other nodes confirm the duty", func() bool { return net.nodes["a"].Valid("pool", first.fence) })
	})
	t.Run("neither the store nor the other nodes answer", func(t *testing.T) {
		n := newNodes(t)
		net, first := startWithStandbys(t, n, "a", "b", "c")
		n.store.rejectAll()
		net.mark(net.partitioned, "a")
		n.clockOffset.Add(int64(pause))
		for end := time.Now().Add(500 * time.Millisecond); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			if net.nodes["a"].Valid("pool", first.fence) {
				t.Fatalf("without any answer: got valid, want not")
			}
		}
	})
}

// Guards against a duty that is not valid again after a pause because the read of another duty was lost, and against a confirmation from
// before the pause that still counts.
func TestAfterAPauseEachDutyIsConfirmedSeparately(t *testing.T) {
	const (
		pause = time.Second
		// detected is the time from the pause until it has been detected and the reads are answered; repeated is the time until a lost read
		// has been repeated.
		detected = 110 * time.Millisecond
		repeated = 300 * time.Millisecond
	)
	duties := []string{"p0", "p1", "p2"}
	start := func(t *testing.T, unreadable string) (*leadership.Elector, map[string]uint64) {
		t.Helper()
		n := newNodes(t)
		n.now = time.Now
		a := n.build("a", 2500*time.Millisecond)
		s := &lossyStore{memory: n.store, key: leadership.Prefix + unreadable}
		a.Store = s
		a.SetDuties(duties)
		n.run(a)
		fences := map[string]uint64{}
		time.Sleep(time.Second)
		for _, name := range duties {
			d, _ := a.Holder(name)
			fences[name] = d.Fence
			assertOrders(t, a, name, d.Fence, true)
		}
		s.until.Store(time.Now().Add(detected).UnixNano())
		n.clockOffset.Add(int64(pause))
		return a, fences
	}
	t.Run("one read is lost", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			a, fences := start(t, "p0")
			for _, name := range duties {
				assertOrders(t, a, name, fences[name], false)
			}
			time.Sleep(detected)
			assertOrders(t, a, "p0", fences["p0"], false)
			assertOrders(t, a, "p1", fences["p1"], true)
			assertOrders(t, a, "p2", fences["p2"], true)
			time.Sleep(repeated - detected)
			assertOrders(t, a, "p0", fences["p0"], true)
		})
	})
	t.Run("a write is acknowledged", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			a, fences := start(t, "p0")
			time.Sleep(detected)
			a.MarkHeld("p0", fences["p0"], a.Clock().Add(-pause))
			assertOrders(t, a, "p0", fences["p0"], false)
			a.MarkHeld("p0", fences["p0"], a.Clock())
			assertOrders(t, a, "p0", fences["p0"], true)
		})
	})
}

func assertOrders(t *testing.T, a *leadership.Elector, name string, fence uint64, want bool) {
	t.Helper()
	if got := a.Valid(name, fence); got != want {
		t.Errorf("orders for %s: got %v, want %v", name, got, want)
	}
}

// lossyStore is a store that does not answer reads of a key until a given time.
type lossyStore struct {
	*memory
	key   string
	until atomic.Int64
}

func (l *lossyStore) Get(ctx context.Context, key string) (store.Entry, error) {
	if key == l.key && time.Now().UnixNano() < l.until.Load() {
		<-ctx.Done()
		return store.Entry{}, store.ErrUnavailable
	}
	return l.memory.Get(ctx, key)
}
