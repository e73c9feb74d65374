package deferred

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"verbenalanding.example/fleet/internal/check"
	"verbenalanding.example/fleet/standin"
	"verbenalanding.example/fleet/store"
)

// slowLink is a store behind a link that is down for a while, and that transfers a limited number of changes in the time of a call.
type slowLink struct {
	*standin.Store
	downFrom, downUntil time.Time
	// maxChanges is the largest number of changes of one answer that are transferred in time.
	maxChanges int
	// loseEvery is the number of pages of which the last one is lost; 0 loses none.
	loseEvery int
	pages     int
}

func (s *slowLink) lost() bool {
	if now := time.Now(); now.After(s.downFrom) && now.Before(s.downUntil) {
		time.Sleep(callTimeout)
		return true
	}
	return false
}

func (s *slowLink) List(ctx context.Context, prefix, from string, limit int) (store.Page, error) {
	s.pages++
	if s.lost() || s.loseEvery > 0 && s.pages%s.loseEvery == 0 {
		return store.Page{}, store.ErrUnavailable
	}
	return s.Store.List(ctx, prefix, from, limit)
}

func (s *slowLink) Watch(ctx context.Context, prefix string, after store.Revision, wait time.Duration) (store.Batch, error) {
	if s.lost() {
		return store.Batch{}, store.ErrUnavailable
	}
	batch, err := s.Store.Watch(ctx, prefix, after, wait)
	if len(batch.Events) > s.maxChanges {
		time.Sleep(callTimeout)
		return store.Batch{}, store.ErrUnavailable
	}
	return batch, err
}

// worksOfOneShard returns works of the same shard.
func worksOfOneShard(n int) []Work {
	works := []Work{newWork(0, true)}
	for i := 1; len(works) < n; i++ {
		if w := newWork(i, true); ShardOf(w.ID) == ShardOf(works[0].ID) {
			works = append(works, w)
		}
	}
	return works
}

func acceptAll(t *testing.T, s store.Store, works []Work) {
	t.Helper()
	a := &Acceptor{Store: s}
	for _, w := range works {
		check.NoError(t, a.Accept(t.Context(), w))
	}
}

// runHolder runs the holder of the works' shard for some time, and returns how many of the works were run.
func runHolder(t *testing.T, s store.Store, works []Work, d time.Duration) int {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	e := newExecutor()
	h := &Holder{Store: s, Shard: ShardOf(works[0].ID), Epoch: 1, Executor: e}
	check.ErrorIs(t, h.Run(ctx), context.DeadlineExceeded)
	return len(slices.DeleteFunc(slices.Clone(works), func(w Work) bool { return e.count(w.ID) == 0 }))
}

// Guards against work that waits as long as the holder lives after an interruption, because the answer with all changes that were missed takes
// longer than a call may.
func TestWorkAcceptedDuringAnInterruptionIsRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const down, after = time.Minute, 30 * time.Second
		s := &slowLink{Store: standin.NewStore(), maxChanges: 20}
		works := worksOfOneShard(60)
		acceptAll(t, s.Store, works[:1])
		// The shard is listed before the interruption.
		s.downFrom = time.Now().Add(time.Second)
		s.downUntil = s.downFrom.Add(down)
		time.AfterFunc(down/2, func() { acceptAll(t, s.Store, works[1:]) })
		check.Equal(t, "works run", runHolder(t, s, works, time.Second+down+after), len(works))
	})
}

// Guards against a holder that never has a list of a long backlog, because it begins anew after each page that is lost.
func TestListContinuesAfterALostPage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &slowLink{Store: standin.NewStore(), maxChanges: 1000, loseEvery: 3}
		works := worksOfOneShard(5 * pageLimit)
		acceptAll(t, s.Store, works)
		check.Equal(t, "works run", runHolder(t, s, works, time.Minute), len(works))
	})
}
