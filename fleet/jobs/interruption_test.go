package jobs

import (
	"context"
	"fmt"
	"testing"
	"time"

	"verbenalanding.example/fleet/internal/check"
	"verbenalanding.example/fleet/standin"
	"verbenalanding.example/fleet/store"
)

// slowLink is a holder's connection to the store, which can be down and transfers a limited number of changes in the time of a call.
type slowLink struct {
	*standin.Store
	down       bool
	maxChanges int
}

func (s *slowLink) List(ctx context.Context, prefix, from string, limit int) (store.Page, error) {
	if s.down {
		return store.Page{}, store.ErrUnavailable
	}
	return s.Store.List(ctx, prefix, from, limit)
}

func (s *slowLink) Watch(ctx context.Context, prefix string, after store.Revision, wait time.Duration) (store.Batch, error) {
	batch, err := s.Store.Watch(ctx, prefix, after, wait)
	if s.down || len(batch.Events) > s.maxChanges {
		return store.Batch{}, store.ErrUnavailable
	}
	return batch, err
}

// Guards against a shard that starts no jobs as long as its holder lives after an interruption, because the answer with all changes that were
// missed takes longer than a call may.
func TestJobsOfAnInterruptionAreStarted(t *testing.T) {
	w := newFixture(8)
	link := &slowLink{Store: w.store, maxChanges: 10}
	w.holder.Store = link
	w.run(t, time.Second)
	link.down = true
	const submitted = 24
	for i := range submitted {
		w.submit(t, w.job(fmt.Sprintf("j%d", i), "standard", 1, true))
		w.run(t, time.Second)
	}
	link.down = false
	w.run(t, time.Minute)
	for i := range submitted {
		w.expectState(t, fmt.Sprintf("j%d", i), "succeeded")
	}
	check.Equal(t, "store counts as down", w.holder.storeDown, false)
}
