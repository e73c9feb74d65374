package leadership_test

import (
	"context"
	"errors"
	"testing"
	"time"

	"verbenalanding.example/fleet/leadership"
	"verbenalanding.example/fleet/store"
)

// unwatched is a store whose answers to watches are lost.
type unwatched struct{ *memory }

func (unwatched) Watch(ctx context.Context, _ string, _ store.Revision, _ time.Duration) (store.Batch, error) {
	<-ctx.Done()
	return store.Batch{}, store.ErrUnavailable
}

// Guards against a lost holder that gives orders for longer than its successor counts: its lease goes on when the duty was taken, and
// only a watch or another node tells it.
func TestRenewalsDoNotKeepADutyThatWasTaken(t *testing.T) {
	n := newNodes(t)
	a := n.build("a", 600*time.Millisecond)
	a.Store = unwatched{n.store}
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

// Guards against a holder that goes on although a worker or a write has met a newer one.
func TestHolderStopsWhenANewerOneIsMet(t *testing.T) {
	n := newNodes(t)
	a := n.start("a")
	first := await(t, "first holder", n.began)
	a.MarkLost("pool", first.fence+1)
	if !a.Valid("pool", first.fence) {
		t.Errorf("after the loss of another fence: got not valid, want valid")
	}
	a.MarkLost("pool", first.fence)
	if a.Valid("pool", first.fence) {
		t.Errorf("after a newer holder was met: got valid, want not")
	}
	if end := await(t, "end of the spell", n.ended); !errors.Is(end.cause, leadership.ErrLost) {
		t.Errorf("cause: got %v, want %v", end.cause, leadership.ErrLost)
	}
}

// Guards against a time at which the duty was held that no call has shown.
func TestHeldAtIsTheTimeOfAProof(t *testing.T) {
	n := newNodes(t)
	a := n.build("a", time.Minute)
	n.run(a)
	first := await(t, "first holder", n.began)
	at := a.HeldAt("pool", first.fence)
	if now := a.Clock(); at.IsZero() || at.After(now) || now.Sub(at) > 2*time.Second {
		t.Errorf("after the taking: got %v at %v, want a moment ago", at, now)
	}
	later := a.Clock()
	a.MarkHeld("pool", first.fence, later)
	if got := a.HeldAt("pool", first.fence); !got.Equal(later) {
		t.Errorf("after a proof: got %v, want %v", got, later)
	}
	if got := a.HeldAt("pool", first.fence+1); !got.IsZero() {
		t.Errorf("of another fence: got %v, want none", got)
	}
}
