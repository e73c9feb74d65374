package jobs

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/internal/check"
	"verbenalanding.example/fleet/platform"
	"verbenalanding.example/fleet/record"
	"verbenalanding.example/fleet/standin"
)

const gib = int64(1) << 30

// fataler is the part of testing.T and rapid.T that the fixture needs.
type fataler interface {
	Helper()
	Fatalf(format string, args ...any)
}

// fixture is a deployment with one pool in virtual time.
type fixture struct {
	now      time.Time
	store    *standin.Store
	workers  *standin.Workers
	members  map[string]*record.Instance
	set      declaration.Set
	revision uint64
	holder   *Holder
	paused   []*Holder
	epoch    record.Epoch
	intake   *Intake
	// submitted holds the jobs reported to callers as recorded, by id; unconfirmed those with an unknown outcome.
	submitted   map[string]record.Job
	unconfirmed map[string]record.Job
	runTime     map[string]time.Duration
	failing     map[string]bool
}

func newFixture(workers int) *fixture {
	w := &fixture{
		now: time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC), store: standin.NewStore(), workers: standin.NewWorkers(),
		members: map[string]*record.Instance{}, submitted: map[string]record.Job{}, unconfirmed: map[string]record.Job{},
		runTime: map[string]time.Duration{}, failing: map[string]bool{}, revision: 1,
	}
	clock := func() time.Time { return w.now }
	w.store.Now, w.workers.Now = clock, clock
	w.workers.UsageLag, w.workers.CheckpointTime = 2*time.Second, time.Second
	w.workers.RunTime = func(job string) time.Duration {
		if d := w.runTime[job]; d > 0 {
			return d
		}
		return 10 * time.Second
	}
	w.workers.Fails = func(job string) bool { return w.failing[job] }
	quota := func(cores int64) declaration.Team {
		return declaration.Team{MilliCores: cores * 1000, MemoryBytes: 8 * gib}
	}
	w.set = declaration.Set{
		Pools: map[string]declaration.Pool{"a": {Name: "a"}},
		Teams: map[string]declaration.Team{"red": quota(int64(workers) * 4), "blue": quota(4)},
	}
	for i := range workers {
		id := fmt.Sprintf("w%d", i)
		capacity := platform.Resources{MilliCores: 4000, MemoryBytes: 8 * gib}
		rack := fmt.Sprintf("r%d", i/2)
		w.members[id] = &record.Instance{
			ID: id, Pool: "a", State: "inService", Capacity: capacity, Location: platform.Location{DataCentre: "d", Rack: rack},
		}
		w.workers.Add(id, rack, capacity)
	}
	w.intake = &Intake{Store: w.store, Configuration: w.configuration, Members: w.memberList, Now: clock, Shards: 1}
	w.takeOver()
	return w
}

func (w *fixture) configuration() (declaration.Set, uint64) { return w.set, w.revision }

func (w *fixture) memberList() []record.Instance {
	list := make([]record.Instance, 0, len(w.members))
	for _, id := range sortedKeys(w.members) {
		list = append(list, *w.members[id])
	}
	return list
}

// takeOver replaces the holder with one of a higher epoch and keeps the former one as paused.
func (w *fixture) takeOver() {
	if w.holder != nil {
		w.paused = append(w.paused, w.holder)
	}
	w.epoch++
	w.holder = &Holder{
		Store: w.store, Workers: w.workers, Epoch: w.epoch, Shards: 1, Configuration: w.configuration, Members: w.memberList,
		writers: 1, callers: 1,
		Timing: Timing{CallTimeout: 20 * time.Millisecond, UsageLag: 2 * time.Second},
	}
}

func (w *fixture) job(id, class string, cores int64, repeatable bool) record.Job {
	return record.Job{
		ID: id, Team: "red", Pool: "a", Class: class, Kind: "k" + class, Repeatable: repeatable, Checkpoints: repeatable,
		Declared: platform.Resources{MilliCores: cores * 1000, MemoryBytes: gib / 4}, RunTime: 10 * time.Second,
	}
}

func (w *fixture) submit(t fataler, j record.Job) {
	t.Helper()
	_, err := w.intake.Submit(context.Background(), j)
	switch {
	case err == nil:
		w.submitted[j.ID] = j
	case errors.Is(err, ErrUnknownOutcome):
		w.unconfirmed[j.ID] = j
	default:
		t.Fatalf("submit %s: got %v, want acceptance or an unknown outcome", j.ID, err)
	}
}

// run advances virtual time and runs the holder's steps.
func (w *fixture) run(t fataler, d time.Duration) {
	t.Helper()
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(250 * time.Millisecond) {
		if err := w.holder.Step(context.Background(), w.now); err != nil {
			t.Fatalf("step at %v: got %v, want none", w.now, err)
		}
	}
}

// load returns a job's record.
func (w *fixture) load(t fataler, id string) record.Job {
	t.Helper()
	w.store.SetFaults(standin.StoreFaults{})
	j, _, err := record.Load[record.Job](context.Background(), w.store, Key(0, id))
	if err != nil {
		t.Fatalf("load %s: got %v, want a record", id, err)
	}
	return j
}

func (w *fixture) expectState(t testing.TB, id, want string) {
	t.Helper()
	j := w.load(t, id)
	check.Equal(t, id+" state, reason "+j.Reason.Rule+" "+j.Reason.Detail, j.State, want)
}
