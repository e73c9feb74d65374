package leadership_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"verbenalanding.example/fleet/leadership"
	"verbenalanding.example/fleet/store"
)

// watchlessStore is a store that loses all answers to watches.
type watchlessStore struct{ *memory }

func (watchlessStore) Watch(ctx context.Context, _ string, _ store.Revision, _ time.Duration) (store.Batch, error) {
	<-ctx.Done()
	return store.Batch{}, store.ErrUnavailable
}

// Guards against a lost holder that gives orders for longer than its successor assumes: its lease stays valid after the takeover, and only
// a watch or another node would report the loss.
func TestRenewalsDoNotKeepADutyThatWasTakenOver(t *testing.T) {
	n := newNodes(t)
	a := n.build("a", 600*time.Millisecond)
	a.Store = watchlessStore{n.store}
	n.run(a)
	first := await(t, "first holder", n.began)
	if _, _, err := n.store.Apply(n.ctx, store.Transaction{Put: []store.Write{{Key: leadership.Prefix + "pool", Value: []byte("{}")}}}); err != nil {
		t.Fatalf("take the duty: got %v, want none", err)
	}
	time.Sleep(a.TTL)
	if a.Valid("pool", first.fence) {
		t.Errorf("lost holder: got valid a lease after its duty was taken, want not valid")
	}
}

// Guards against a holder that continues although a worker or a rejected write has shown that there is a newer one.
func TestHolderStopsWhenItIsSuperseded(t *testing.T) {
	n := newNodes(t)
	a := n.start("a")
	first := await(t, "first holder", n.began)
	a.MarkLost("pool", first.fence+1)
	if !a.Valid("pool", first.fence) {
		t.Errorf("after the loss of another fence: got not valid, want valid")
	}
	a.MarkLost("pool", first.fence)
	if a.Valid("pool", first.fence) {
		t.Errorf("after a newer holder was found: got valid, want not")
	}
	if end := await(t, "end of the term", n.ended); !errors.Is(end.cause, leadership.ErrLost) {
		t.Errorf("cause: got %v, want %v", end.cause, leadership.ErrLost)
	}
}

// Guards against a HeldAt that returns a time at which no call confirmed the duty.
func TestHeldAtIsTheTimeOfAConfirmation(t *testing.T) {
	n := newNodes(t)
	a := n.build("a", time.Minute)
	n.run(a)
	first := await(t, "first holder", n.began)
	at := a.HeldAt("pool", first.fence).At
	if now := a.Clock(); at.IsZero() || at.After(now) || now.Sub(at) > 2*time.Second {
		t.Errorf("after the duty was acquired: got %v at %v, want at most 2 s before", at, now)
	}
	later := a.Clock()
	a.MarkHeld("pool", first.fence, later)
	if got := a.HeldAt("pool", first.fence).At; !got.Equal(later) {
		t.Errorf("after a confirmation: got %v, want %v", got, later)
	}
	if got := a.HeldAt("pool", first.fence+1).At; !got.IsZero() {
		t.Errorf("of another fence: got %v, want none", got)
	}
}
