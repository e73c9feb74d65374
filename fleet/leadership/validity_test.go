package leadership_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"verbenalanding.example/fleet/leadership"
)

// withoutStore is a holder among three nodes whose store rejects all calls. It must run in a synctest bubble, whose time advances only while
// all goroutines are blocked, so that load on the machine pauses no node.
type withoutStore struct {
	t      *testing.T
	nodes  *nodes
	holder *leadership.Elector
	fence  uint64
}

const validityTTL = 1200 * time.Millisecond

func startWithoutStore(t *testing.T) *withoutStore {
	t.Helper()
	n := newNodes(t)
	n.ttl, n.now = validityTTL, time.Now
	net, first := startWithStandbys(t, n, "a", "b", "c")
	n.store.rejectAll()
	return &withoutStore{t, n, net.nodes[first.node], first.fence}
}

// assertValid checks every millisecond that the holder may give orders.
func (w *withoutStore) assertValid(phase string, during time.Duration) {
	w.t.Helper()
	for began := time.Now(); time.Since(began) < during; time.Sleep(time.Millisecond) {
		if !w.holder.Valid("pool", w.fence) {
			w.t.Fatalf("holder %s, after %v: got not valid, want valid", phase, time.Since(began))
		}
	}
}

// Guards against a holder that is not valid at some time while the store is down and all witnesses confirm the duty.
func TestHolderStaysValidWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := startWithoutStore(t)
		w.assertValid("without store", 3*validityTTL)
		if w.nodes.paused("a") {
			t.Errorf("holder that runs: got a pause, want none")
		}
	})
}

// Guards against a duty that is lost because its holder was paused briefly before the other nodes confirmed it, and against a holder that
// is still not valid after the next confirmation. The pause is simulated by a jump of the clock, after which all timers are late.
func TestBrieflyPausedHolderWithoutStoreKeepsItsDuty(t *testing.T) {
	const (
		// noPause is the longest gap that never counts as a pause: the holder records every 0.1 s that it runs, and 0.4 s without a record
		// are a pause.
		noPause = 299 * time.Millisecond
		// confirmedWithin bounds the time from a pause to the next confirmation: the pause is detected within 0.1 s.
		confirmedWithin = 101 * time.Millisecond
	)
	for _, c := range []struct {
		name           string
		gap, confirmed time.Duration
	}{
		{"no pause", noPause, 0},
		{"pause", 400 * time.Millisecond, confirmedWithin},
	} {
		for at := time.Duration(0); at < validityTTL; at += 50 * time.Millisecond {
			t.Run(fmt.Sprintf("%s after %v", c.name, at), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w := startWithoutStore(t)
					w.assertValid("before the gap", at)
					w.nodes.clockOffset.Add(int64(c.gap))
					time.Sleep(c.confirmed)
					w.assertValid("after the gap", 2*validityTTL)
					if got, want := w.nodes.paused("a"), c.confirmed > 0; got != want {
						t.Errorf("pause detected: got %v, want %v", got, want)
					}
				})
			})
		}
	}
}
