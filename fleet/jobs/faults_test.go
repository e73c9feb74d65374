package jobs

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"verbenalanding.example/fleet/platform"
	"verbenalanding.example/fleet/record"
	"verbenalanding.example/fleet/store"
)

// cutter ends a context after a number of calls, which stands for a kill at that point.
type cutter struct {
	mu   sync.Mutex
	left int
	cut  func()
}

func (c *cutter) count() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.left--; c.left < 0 {
		c.cut()
	}
}

type cuttingStore struct {
	store.Store
	*cutter
}

func (s cuttingStore) Put(ctx context.Context, r store.PutRequest) (store.Revision, error) {
	s.count()
	return s.Store.Put(ctx, r)
}

type cuttingWorkers struct {
	platform.Workers
	*cutter
}

func (w cuttingWorkers) Start(ctx context.Context, worker string, t platform.Task) error {
	w.count()
	return w.Workers.Start(ctx, worker, t)
}

// deafWorkers loses every stop on its way.
type deafWorkers struct{ platform.Workers }

func (deafWorkers) Stop(context.Context, string, string, uint64) error {
	return platform.ErrUnavailable
}

// flaky decides by a hash, so that calls made at once fail the same way in every run of a seed.
type flaky struct {
	seed    uint64
	percent uint64
	now     func() time.Time
}

// fails reports whether a call is lost on its way, or its answer on the way back.
func (f *flaky) fails(call string) (before, after bool) {
	n := xxhash.Sum64String(fmt.Sprintf("%d/%s/%d", f.seed, call, f.now().UnixNano())) % 100
	return n < f.percent/2, n >= f.percent/2 && n < f.percent
}

type flakyStore struct {
	store.Store
	*flaky
}

func (s flakyStore) Put(ctx context.Context, r store.PutRequest) (store.Revision, error) {
	before, after := s.fails(fmt.Sprintf("put %s %d", r.Key, r.Expect))
	if before {
		return 0, store.ErrUnavailable
	}
	revision, err := s.Store.Put(ctx, r)
	if after {
		return 0, store.ErrUnavailable
	}
	return revision, err
}

func (s flakyStore) Get(ctx context.Context, key string) (store.Entry, error) {
	if before, after := s.fails("get " + key); before || after {
		return store.Entry{}, store.ErrUnavailable
	}
	return s.Store.Get(ctx, key)
}

type flakyWorkers struct {
	platform.Workers
	*flaky
}

func (w flakyWorkers) Start(ctx context.Context, worker string, t platform.Task) error {
	before, after := w.fails("start " + t.ID)
	if before {
		return platform.ErrUnavailable
	}
	err := w.Workers.Start(ctx, worker, t)
	if after {
		return platform.ErrUnavailable
	}
	return err
}

func (w flakyWorkers) Stop(ctx context.Context, worker, task string, epoch uint64) error {
	before, after := w.fails("stop " + task)
	if before {
		return platform.ErrUnavailable
	}
	err := w.Workers.Stop(ctx, worker, task, epoch)
	if after {
		return platform.ErrUnavailable
	}
	return err
}

// failingPuts loses some writes on their way.
type failingPuts struct {
	store.Store
	left int
}

func (s *failingPuts) Put(ctx context.Context, r store.PutRequest) (store.Revision, error) {
	if s.left > 0 {
		s.left--
		return 0, store.ErrUnavailable
	}
	return s.Store.Put(ctx, r)
}

// lostGrants loses the answers to some writes of team records.
type lostGrants struct {
	store.Store
	left int
}

func (s *lostGrants) Put(ctx context.Context, r store.PutRequest) (store.Revision, error) {
	revision, err := s.Store.Put(ctx, r)
	if strings.HasPrefix(r.Key, record.TeamPrefix) && s.left > 0 {
		s.left--
		return 0, store.ErrUnavailable
	}
	return revision, err
}
