package follow_test

import (
	"context"
	"math"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"verbenalanding.example/fleet/follow"
	"verbenalanding.example/fleet/interval"
	"verbenalanding.example/fleet/store"
)

// scriptedStore answers lists and watches with prepared results, in order.
type scriptedStore struct {
	store.Store

	lists   []store.Page
	watches []func() (store.Batch, error)
	// waits records the wait of each watch.
	waits  []time.Duration
	cancel context.CancelFunc
}

func (s *scriptedStore) List(context.Context, string, string, int) (store.Page, error) {
	page := s.lists[0]
	s.lists = s.lists[1:]
	return page, nil
}

func (s *scriptedStore) Watch(_ context.Context, _ string, _ store.Revision, wait time.Duration) (store.Batch, error) {
	s.waits = append(s.waits, wait)
	if len(s.watches) == 0 {
		s.cancel()
		return store.Batch{}, store.ErrUnavailable
	}
	next := s.watches[0]
	s.watches = s.watches[1:]
	return next()
}

func entry(key string, revision store.Revision) store.Entry {
	return store.Entry{Key: key, Revision: revision}
}

// Guards against a follower that misses a deletion, or reports unchanged keys again, after the store has compacted its history.
func TestFollowerRelistsAfterCompaction(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	s := &scriptedStore{
		cancel: cancel,
		lists: []store.Page{
			{Entries: []store.Entry{entry("p/a", 1), entry("p/b", 2)}, Revision: 2},
			{Entries: []store.Entry{entry("p/b", 2), entry("p/c", 5)}, Revision: 6},
		},
		watches: []func() (store.Batch, error){
			func() (store.Batch, error) { return store.Batch{}, store.ErrCompacted },
			func() (store.Batch, error) {
				return store.Batch{Events: []store.Event{{Entry: entry("p/c", 5)}, {Entry: entry("p/d", 7)}}, Revision: 7}, nil
			},
		},
	}
	var got []string
	f := follow.Follower{Store: s, Prefix: "p/", Apply: func(events []store.Event, listed bool) {
		var keys []string
		for _, e := range events {
			key := e.Entry.Key
			if e.Deleted {
				key = "-" + key
			}
			keys = append(keys, key)
		}
		slices.Sort(keys)
		if listed {
			keys = append([]string{"listed"}, keys...)
		}
		got = append(got, keys...)
	}}
	if err := f.Run(ctx); err != nil {
		t.Fatalf("run: got %v, want none", err)
	}
	want := []string{"listed", "p/a", "p/b", "listed", "-p/a", "p/c", "p/d"}
	if !slices.Equal(got, want) {
		t.Errorf("changes: got %v, want %v", got, want)
	}
}

// Guards against a follower that gets no changes for the full wait of a watch after its previous watch failed: a store that has
// compacted its history may report that only at the end of the wait.
func TestFollowerWatchesBrieflyAfterFailure(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	noChanges := func() (store.Batch, error) { return store.Batch{Revision: 2}, nil }
	s := &scriptedStore{
		cancel: cancel,
		lists:  []store.Page{{Revision: 2}},
		watches: []func() (store.Batch, error){
			noChanges,
			func() (store.Batch, error) { return store.Batch{}, store.ErrUnavailable },
			noChanges,
		},
	}
	f := follow.Follower{Store: s, Prefix: "p/", Apply: func([]store.Event, bool) {}}
	if err := f.Run(ctx); err != nil {
		t.Fatalf("run: got %v, want none", err)
	}
	const fullWait = 2 * time.Second
	want := []bool{true, true, false, true}
	var got []bool
	for _, wait := range s.waits {
		got = append(got, wait == fullWait)
	}
	if !slices.Equal(got, want) {
		t.Errorf("watches that wait for %v: got %v, want %v (waits %v)", fullWait, got, want, s.waits)
	}
}

// linkStore is a store with one key that is written at a fixed interval, behind a link of limited rate that is down for a while.
type linkStore struct {
	store.Store

	began, downUntil time.Time
	// interval is the time between two writes of size bytes; rate is that of the link, in bytes per second.
	interval time.Duration
	size     int64
	rate     int64
}

func (s *linkStore) revision() store.Revision {
	return store.Revision(time.Since(s.began)/s.interval) + 1
}

// transfer waits until the given number of values has arrived.
func (s *linkStore) transfer(ctx context.Context, values int64) error {
	if time.Now().Before(s.downUntil) {
		interval.Wait(ctx, store.AnswerTimeout(ctx))
		return store.ErrUnavailable
	}
	interval.Wait(ctx, time.Duration(values*s.size*int64(time.Second)/s.rate))
	return ctx.Err()
}

func (s *linkStore) List(ctx context.Context, _, _ string, _ int) (store.Page, error) {
	r := s.revision()
	return store.Page{Entries: []store.Entry{entry("p/a", r)}, Revision: r}, s.transfer(ctx, 1)
}

func (s *linkStore) Watch(ctx context.Context, _ string, after store.Revision, wait time.Duration) (store.Batch, error) {
	if next := time.Until(s.began.Add(time.Duration(after) * s.interval)); next > 0 {
		interval.Wait(ctx, min(next, wait))
	}
	batch := store.Batch{Revision: s.revision()}
	// An answer has a megabyte at most; the changes continue from its last one.
	batch.Revision = min(batch.Revision, after+store.Revision(store.MaxValueSize/s.size))
	for r := after + 1; r <= batch.Revision; r++ {
		batch.Events = append(batch.Events, store.Event{Entry: entry("p/a", r)})
	}
	return batch, s.transfer(ctx, int64(len(batch.Events)))
}

// Guards against a follower that has old knowledge for many seconds after an interruption, because it asks for each version that it has missed.
func TestFollowerListsAfterALongInterruption(t *testing.T) {
	// bound is the platform's time limit for a configuration to come into force.
	const bound = 2 * time.Second
	// The interruption ends at different points of the follower's retries.
	for down := 12 * time.Second; down < 15*time.Second; down += 200 * time.Millisecond {
		t.Run(down.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				if got := catchUpTime(t, down); got > bound {
					t.Errorf("newest version known: got %v after the interruption, want at most %v", got, bound)
				}
			})
		})
	}
}

// catchUpTime returns how long after an interruption a follower knows the newest version or the one before it.
func catchUpTime(t *testing.T, down time.Duration) time.Duration {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	s := &linkStore{began: time.Now(), interval: 400 * time.Millisecond, size: 65_000, rate: 400_000}
	caughtUp := time.Duration(math.MaxInt64)
	f := follow.Follower{Store: s, Prefix: "p/", Apply: func(events []store.Event, _ bool) {
		behind := s.revision() - events[len(events)-1].Entry.Revision
		if !s.downUntil.IsZero() && behind <= 1 {
			caughtUp = min(caughtUp, time.Since(s.downUntil))
		}
	}}
	// The first list is read before the link goes down.
	if err := f.Load(ctx); err != nil {
		t.Fatalf("load: got %v, want none", err)
	}
	s.downUntil = s.began.Add(down)
	if err := f.Run(ctx); err != nil {
		t.Fatalf("run: got %v, want none", err)
	}
	return caughtUp
}

// Guards against a log that shows only the first error of a long interruption, and against a follower that counts an unanswered call as
// knowledge of the store.
func TestFollowerReportsContinuedFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const down = 7 * time.Second
		ctx, cancel := context.WithTimeout(t.Context(), down)
		defer cancel()
		s := &linkStore{began: time.Now(), interval: time.Minute, size: 1, rate: 1000}
		var states []error
		var confirmed []time.Time
		f := follow.Follower{
			Store: s, Prefix: "p/", Apply: func([]store.Event, bool) {},
			OnStateChange: func(err error) { states = append(states, err) }, OnConfirmed: func(asOf time.Time) { confirmed = append(confirmed, asOf) },
		}
		if err := f.Load(ctx); err != nil {
			t.Fatalf("load: got %v, want none", err)
		}
		s.downUntil = s.began.Add(down)
		if err := f.Run(ctx); err != nil {
			t.Fatalf("run: got %v, want none", err)
		}
		if got, want := len(states), 2; got < want {
			t.Errorf("reports in %v of failures: got %d, want %d or more (%v)", down, got, want, states)
		}
		if len(confirmed) != 1 || !confirmed[0].Equal(s.began) {
			t.Errorf("confirmed: got %v, want the list's time %v only", confirmed, s.began)
		}
	})
}
