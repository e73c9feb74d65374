package leadership_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"verbenalanding.example/fleet/leadership"
	"verbenalanding.example/fleet/store"
)

// readlessStore is a store that answers no watch and, once readsLost is set, no read.
type readlessStore struct {
	watchlessStore
	readsLost *atomic.Bool
}

func (r readlessStore) Get(ctx context.Context, key string) (store.Entry, error) {
	if r.readsLost.Load() {
		return store.Entry{}, store.ErrUnavailable
	}
	return r.watchlessStore.Get(ctx, key)
}

// Guards against a lost holder that gives orders for as long as it renews its lease, since neither a watch nor a read of the duty's key
// reports the takeover.
func TestRenewalsDoNotKeepADutyWhoseReadsFail(t *testing.T) {
	n := newNodes(t)
	a := n.build("a", 600*time.Millisecond)
	var readsLost atomic.Bool
	a.Store = readlessStore{watchlessStore{n.store}, &readsLost}
	n.run(a)
	first := await(t, "first holder", n.began)
	readsLost.Store(true)
	if _, _, err := n.store.Apply(n.ctx, store.Transaction{Put: []store.Write{{Key: leadership.Prefix + "pool", Value: []byte("{}")}}}); err != nil {
		t.Fatalf("take the duty: got %v, want none", err)
	}
	for end := time.Now().Add(2 * a.TTL); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end.Add(-a.TTL)) && a.Valid("pool", first.fence) {
			t.Fatalf("lost holder: got valid a lease after its duty was taken, want not valid")
		}
	}
}
