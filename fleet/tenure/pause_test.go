package tenure_test

import (
	"errors"
	"testing"
	"time"

	"verbenalanding.example/fleet/store"
	"verbenalanding.example/fleet/tenure"
)

// Guards against orders of a holder that wakes after a pause, while nothing has told it yet that another node took its duty.
func TestHolderGivesNoOrdersAfterAPauseUntilItsDutyIsProven(t *testing.T) {
	const (
		pause = time.Second
		ttl   = 6 * time.Second
	)
	t.Run("duty was taken", func(t *testing.T) {
		n := newNodes(t)
		x := n.build("a", ttl)
		n.run(x)
		first := await(t, "first holder", n.began)
		n.store.mu.Lock()
		n.store.deaf = true
		n.store.mu.Unlock()
		taken := store.Write{Key: tenure.Prefix + "pool", Value: []byte(`{"node":"b"}`)}
		if _, _, err := n.store.Apply(n.ctx, store.Transaction{Put: []store.Write{taken}}); err != nil {
			t.Fatalf("take the duty: got %v, want none", err)
		}
		n.skipped.Add(int64(pause))
		if x.Valid("pool", first.fence) {
			t.Errorf("right after the pause: got valid, want not")
		}
		end := awaitWithin(t, "end of the spell", n.ended, time.Second)
		if !errors.Is(end.cause, tenure.ErrLost) {
			t.Errorf("cause: got %v, want %v", end.cause, tenure.ErrLost)
		}
	})
	t.Run("duty is still held", func(t *testing.T) {
		n := newNodes(t)
		x := n.build("a", ttl)
		n.run(x)
		first := await(t, "first holder", n.began)
		n.skipped.Add(int64(pause))
		if x.Valid("pool", first.fence) {
			t.Errorf("right after the pause: got valid, want not")
		}
		waitUntil(t, "orders are given again", func() bool { return x.Valid("pool", first.fence) })
	})
	t.Run("store does not answer", func(t *testing.T) {
		n := newNodes(t)
		w, first := startGuarded(t, n, "a", "b", "c")
		n.store.refuseAll()
		n.skipped.Add(int64(pause))
		waitUntil(t, "the other nodes confirm the duty", func() bool { return w.nodes["a"].Valid("pool", first.fence) })
	})
	t.Run("nobody answers", func(t *testing.T) {
		n := newNodes(t)
		w, first := startGuarded(t, n, "a", "b", "c")
		n.store.refuseAll()
		w.set(w.cut, "a")
		n.skipped.Add(int64(pause))
		for end := time.Now().Add(500 * time.Millisecond); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			if w.nodes["a"].Valid("pool", first.fence) {
				t.Fatalf("without any answer: got valid, want not")
			}
		}
	})
}
