package jobs

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"verbenalanding.example/fleet/platform"
	"verbenalanding.example/fleet/record"
	"verbenalanding.example/fleet/store"
)

// killSwitch cancels a context after a number of calls, which simulates a kill of the holder's process.
type killSwitch struct {
	mu   sync.Mutex
	left int
	kill func()
}

func (c *killSwitch) count() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.left--; c.left < 0 {
		c.kill()
	}
}

// killSwitchStore counts writes.
type killSwitchStore struct {
	store.Store
	*killSwitch
}

func (s killSwitchStore) Put(ctx context.Context, r store.PutRequest) (store.Revision, error) {
	s.count()
	return s.Store.Put(ctx, r)
}

// killSwitchWorkers counts starts.
type killSwitchWorkers struct {
	platform.Workers
	*killSwitch
}

func (w killSwitchWorkers) Start(ctx context.Context, worker string, t platform.Task) error {
	w.count()
	return w.Workers.Start(ctx, worker, t)
}

// lostStops loses every stop before it reaches the worker.
type lostStops struct{ platform.Workers }

func (lostStops) Stop(context.Context, string, string, uint64) error {
	return platform.ErrUnavailable
}

// flaky chooses failures by a hash of the call, so that concurrent calls fail in the same way in every run with a seed.
type flaky struct {
	seed    uint64
	percent uint64
	now     func() time.Time
}

// fails reports whether a call is lost before it takes effect, or its answer afterwards.
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

// lostPuts loses a number of writes before they reach the store.
type lostPuts struct {
	store.Store
	left int
}

func (s *lostPuts) Put(ctx context.Context, r store.PutRequest) (store.Revision, error) {
	if s.left > 0 {
		s.left--
		return 0, store.ErrUnavailable
	}
	return s.Store.Put(ctx, r)
}

// lostGrantAnswers loses the answers to a number of writes of team records.
type lostGrantAnswers struct {
	store.Store
	left int
}

func (s *lostGrantAnswers) Put(ctx context.Context, r store.PutRequest) (store.Revision, error) {
	revision, err := s.Store.Put(ctx, r)
	if strings.HasPrefix(r.Key, record.TeamPrefix) && s.left > 0 {
		s.left--
		return 0, store.ErrUnavailable
	}
	return revision, err
}

// Guards against a holder that panics because its duty becomes valid during a step: teams got a grant to adjust without their quotas having been
// set up first.
func TestDutyBecomesValidDuringAStep(t *testing.T) {
	w := newFixture(1)
	w.submit(t, w.job("j", "standard", 1, true))
	calls := 0
	w.holder.Valid = func() bool {
		calls++
		return calls > 1
	}
	w.run(t, 20*time.Second)
	w.expectState(t, "j", succeeded)
}
