package leadership_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"verbenalanding.example/fleet/leadership"
)

// withoutStore is a holder among three nodes whose store answers nobody. It lives in a bubble of synctest, whose time passes only while
// nothing is left to do, so that no load keeps a node from running.
type withoutStore struct {
	t      *testing.T
	nodes  *nodes
	holder *leadership.Elector
	fence  uint64
}

const momentTTL = 1200 * time.Millisecond

func startWithoutStore(t *testing.T) *withoutStore {
	t.Helper()
	n := newNodes(t)
	n.ttl, n.now = momentTTL, time.Now
	w, first := startGuarded(t, n, "a", "b", "c")
	n.store.refuseAll()
	return &withoutStore{t, n, w.nodes[first.node], first.fence}
}

// assertValid looks each millisecond.
func (w *withoutStore) assertValid(what string, during time.Duration) {
	w.t.Helper()
	for began := time.Now(); time.Since(began) < during; time.Sleep(time.Millisecond) {
		if !w.holder.Valid("pool", w.fence) {
			w.t.Fatalf("holder %s, after %v: got not valid, want valid", what, time.Since(began))
		}
	}
}

// Guards against a moment without the right to give orders while the store answers nobody and all other nodes confirm the duty.
func TestHolderIsValidAtEachMomentWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := startWithoutStore(t)
		w.assertValid("without store", 3*momentTTL)
		if w.nodes.paused("a") {
			t.Errorf("holder that runs: got a pause, want none")
		}
	})
}

// Guards against a duty that is lost because its holder did not run for a moment before the other nodes confirmed the duty, and against
// orders that wait for longer than until the next proof. The clock jumps instead, after which all timers are late.
func TestHolderThatDoesNotRunForAMomentWithoutStore(t *testing.T) {
	const (
		// noPause is the longest time that is not taken for a pause: the holder takes note each 0.1 s that it runs, and 0.4 s are a pause.
		noPause = 299 * time.Millisecond
		// provenWithin bounds the time from a pause to the proof that follows it: the pause is found within 0.1 s.
		provenWithin = 101 * time.Millisecond
	)
	for _, c := range []struct {
		name          string
		still, proven time.Duration
	}{
		{"no pause", noPause, 0},
		{"pause", 400 * time.Millisecond, provenWithin},
	} {
		for at := time.Duration(0); at < momentTTL; at += 50 * time.Millisecond {
			t.Run(fmt.Sprintf("%s after %v", c.name, at), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					w := startWithoutStore(t)
					w.assertValid("before it stands still", at)
					w.nodes.skipped.Add(int64(c.still))
					time.Sleep(c.proven)
					w.assertValid("after it stood still", 2*momentTTL)
					if got, want := w.nodes.paused("a"), c.proven > 0; got != want {
						t.Errorf("pause noted: got %v, want %v", got, want)
					}
				})
			})
		}
	}
}
