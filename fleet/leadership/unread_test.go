package leadership_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"verbenalanding.example/fleet/leadership"
	"verbenalanding.example/fleet/store"
)

// unread is a store that tells no watch anything and, from a time on, answers no read.
type unread struct {
	unwatched
	lost *atomic.Bool
}

func (u unread) Get(ctx context.Context, key string) (store.Entry, error) {
	if u.lost.Load() {
		return store.Entry{}, store.ErrUnavailable
	}
	return u.unwatched.Get(ctx, key)
}

// Guards against a lost holder that gives orders for as long as it renews its lease: nothing has told it that its duty was taken, since the
// reads of the duty's key are not answered either.
func TestRenewalsDoNotKeepADutyThatIsNotRead(t *testing.T) {
	n := newNodes(t)
	a := n.build("a", 600*time.Millisecond)
	var lost atomic.Bool
	a.Store = unread{unwatched{n.store}, &lost}
	n.run(a)
	first := await(t, "first holder", n.began)
	lost.Store(true)
	if _, _, err := n.store.Apply(n.ctx, store.Transaction{Put: []store.Write{{Key: leadership.Prefix + "pool", Value: []byte("{}")}}}); err != nil {
		t.Fatalf("take the duty: got %v, want none", err)
	}
	for end := time.Now().Add(2 * a.TTL); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end.Add(-a.TTL)) && a.Valid("pool", first.fence) {
			t.Fatalf("lost holder: got valid a lease after its duty was taken, want not valid")
		}
	}
}
