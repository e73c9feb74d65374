package maintenance

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"verbenalanding.example/fleet/budget"
	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/move"
	"verbenalanding.example/fleet/platform"
	"verbenalanding.example/fleet/record"
	"verbenalanding.example/fleet/standin"
	"verbenalanding.example/fleet/store"
	"verbenalanding.example/fleet/wave"
)

// TestMain fixes the seed and the counts for CI. A longer search is
// go test ./maintenance -run Fuzz -rapid.checks=20000 -rapid.steps=200 -rapid.seed=<n>.
func TestMain(m *testing.M) {
	flag.Parse()
	// flag.Visit would also show the flags that an init function has set.
	args := strings.Join(os.Args[1:], " ")
	for name, value := range map[string]string{"rapid.checks": "30", "rapid.steps": "60", "rapid.seed": "7", "rapid.nofailfile": "true"} {
		if strings.Contains(args, name) {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

func isFenced(err error) bool { return errors.Is(err, record.ErrFenced) }

// entry is an entry instance, which routes by the records that it last read.
type entry struct {
	lastRead map[string]record.Instance
	inFlight map[string]int
}

// fleetFuzz is a fleet with the current and earlier holders of each duty and an oracle that checks every write.
type fleetFuzz struct {
	t       *rapid.T
	now     time.Time
	store   *standin.Store
	control *standin.Control
	set     declaration.Set
	demand  float64
	// current is the newest holder of each duty; superseded are the earlier holders, which may still resume.
	current    map[string]*holder
	superseded []*holder
	lateWrites []unansweredWrite
	// roundInterval is the time between two steps of a holder in a round.
	roundInterval time.Duration
	entries       []*entry
	// orphanedRequests counts the requests at each instance that its backend server still runs after the entry instance has
	// abandoned them.
	orphanedRequests map[string]int

	writes int
	// violation is the first violation that the oracle found; the goroutine of the test reports it.
	violation string
	// records are the instance records as the oracle tracks them.
	records map[string]record.Instance
	// plannedStops are the instances in a planned stop; failedAt is the number of the write that recorded a failure.
	plannedStops map[string]bool
	failedAt     map[string]int
	// budgetPool is the pool whose budgets cover an instance, which is the pool in which it last served.
	budgetPool map[string]string
}

func (f *fleetFuzz) memberOf(i record.Instance) budget.Member {
	return budget.Member{ID: i.ID, Pool: f.budgetPool[i.ID], Location: i.Location}
}

func newFleetFuzz(t *rapid.T) *fleetFuzz {
	f := &fleetFuzz{
		t: t, now: time.Unix(1_800_000_000, 0).UTC(), store: standin.NewStore(), control: standin.NewControl(), set: testSet(),
		current: map[string]*holder{}, orphanedRequests: map[string]int{}, budgetPool: map[string]string{}, records: map[string]record.Instance{}, plannedStops: map[string]bool{}, failedAt: map[string]int{},
	}
	clock := func() time.Time { return f.now }
	f.store.Now, f.control.Now, f.control.RebootTime = clock, clock, 5*time.Second
	f.control.Add(instances(8)...)
	w := f.set.Waves["reboot"]
	w.Every, w.ResumeAfter, w.HaltAfter = 2*time.Minute, 20*time.Second, 3
	// The waves cover different racks, so that they compete for the same budgets with different instances.
	w.Scope.Racks = []string{"k0", "k1"}
	f.set.Waves["reboot"] = w
	w.Name, w.Scope.Racks = "kernel", []string{"k2", "k3"}
	f.set.Waves["kernel"] = w
	for range 2 {
		f.entries = append(f.entries, &entry{lastRead: map[string]record.Instance{}, inFlight: map[string]int{}})
	}
	for _, d := range f.duties() {
		f.takeOver(d)
	}
	f.roundInterval = 4 * time.Second
	f.round(20 * time.Second)
	return f
}

func (f *fleetFuzz) duties() []string {
	return []string{"pool/desk", "pool/tools", "wave/kernel", "wave/reboot"}
}

// takeOver starts a new holder of a duty; the old one stays paused before its next call.
func (f *fleetFuzz) takeOver(name string) {
	h := &holder{fleet: f, duty: name, epoch: 1, waiting: make(chan struct{}), proceed: make(chan struct{}), done: make(chan error)}
	if old := f.current[name]; old != nil {
		h.epoch = old.epoch + 1
		f.superseded = append(f.superseded, old)
	}
	f.current[name] = h
	d := Duty{
		Store: gatedStore{Store: f.store, holder: h}, Control: gatedControl{Control: f.control, holder: h}, Drains: f, Epoch: h.epoch,
		Now: h.now, Configuration: func() (declaration.Set, uint64) { return f.set, 1 },
	}
	if pool, ok := cutPrefix(name, PoolDutyPrefix); ok {
		l := &PoolLoop{Duty: d, Pool: pool, Demand: f.samples, Planner: f.planner()}
		h.step, h.tookOver = l.Step, func() bool { return l.tookOver }
		f.writeDuty(name, h.epoch)
		return
	}
	waveName, _ := cutPrefix(name, WaveDutyPrefix)
	l := &WaveLoop{Duty: d, Wave: waveName}
	h.step, h.tookOver = l.Step, func() bool { return l.tookOver }
}

func cutPrefix(name, prefix string) (string, bool) {
	if len(name) < len(prefix) || name[:len(prefix)] != prefix {
		return "", false
	}
	return name[len(prefix):], true
}

func (f *fleetFuzz) writeDuty(name string, epoch record.Epoch) {
	key := record.DutyPrefix + name
	_, revision, _ := record.Load[record.Duty](context.Background(), f.store, key)
	if _, err := record.Save(context.Background(), f.store, key, record.Duty{Name: name, Epoch: epoch}, revision, 0); err != nil {
		f.t.Fatal(err)
	}
}

func (f *fleetFuzz) planner() *move.Planner {
	return &move.Planner{MinSamples: 1, Interval: time.Second, Window: time.Second, Period: time.Minute, Bin: time.Minute, LeadTime: time.Second, HoldTime: time.Second, SettleTime: time.Second}
}

func (f *fleetFuzz) samples() []move.Sample {
	return []move.Sample{{Pool: "desk", At: f.now, Slots: f.demand}}
}

// Confirmed reports whether every entry instance has read the drain number and has no request in flight at the instance.
func (f *fleetFuzz) Confirmed(_ context.Context, id string, drain uint64) (bool, error) {
	for _, e := range f.entries {
		if e.lastRead[id].Drain < drain || e.inFlight[id] > 0 {
			return false, nil
		}
	}
	return true, nil
}

// request starts a request at an instance that is in service by the record that the entry instance last read, or ends one
// request and all orphaned ones there.
func (f *fleetFuzz) request(e *entry, id string, delta int) {
	switch {
	case delta > 0 && e.lastRead[id].State == wave.InService && f.control.Healthy(id):
		e.inFlight[id]++
	case delta < 0:
		e.inFlight[id] = max(0, e.inFlight[id]-1)
		f.orphanedRequests[id] = 0
	}
	total := f.orphanedRequests[id]
	for _, e := range f.entries {
		total += e.inFlight[id]
	}
	f.control.SetInFlight(id, total)
}

// burst starts or ends a request at every instance.
func (f *fleetFuzz) burst(e *entry, delta int) {
	for k := range 8 {
		f.request(e, fmt.Sprintf("i%02d", k), delta)
	}
}

func (f *fleetFuzz) fail(match func(platform.Instance) bool) {
	for _, id := range f.control.SetHealthy(false, match) {
		f.orphanedRequests[id] = 0
		for _, e := range f.entries {
			e.inFlight[id] = 0
		}
	}
}

func (f *fleetFuzz) pickHolder(t *rapid.T, label string) *holder {
	return f.current[rapid.SampledFrom(f.duties()).Draw(t, label)]
}

func (f *fleetFuzz) anyInstance(t *rapid.T) string {
	return fmt.Sprintf("i%02d", rapid.IntRange(0, 7).Draw(t, "instance"))
}

func (f *fleetFuzz) syncEntries(entries ...*entry) {
	list, _, err := store.ListAll(context.Background(), f.store, record.InstancePrefix)
	if err != nil {
		f.t.Fatal(err)
	}
	for _, e := range entries {
		for _, l := range list {
			id, _ := cutPrefix(l.Key, record.InstancePrefix)
			e.lastRead[id] = f.records[id]
		}
	}
}

// round runs whole steps of every current holder for a duration of virtual time.
func (f *fleetFuzz) round(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(f.roundInterval) {
		for _, name := range f.duties() {
			f.current[name].finish()
		}
		f.syncEntries(f.entries...)
	}
}

// quiesce ends all faults and checks that no instance, order or reservation is stuck.
func (f *fleetFuzz) quiesce() {
	for _, h := range f.superseded {
		h.kill()
	}
	f.control.SetFaults(standin.ControlFaults{})
	f.control.SetHealthy(true, func(i platform.Instance) bool { return !i.Healthy })
	clear(f.orphanedRequests)
	for _, e := range f.entries {
		clear(e.inFlight)
		f.burst(e, -1)
	}
	f.demand, f.roundInterval = 0, 20*time.Second
	for name, w := range f.set.Waves {
		w.Paused = false
		f.set.Waves[name] = w
	}
	for _, h := range f.current {
		h.nextFault = noFault
		if h.active {
			h.finish()
		}
	}
	f.round(15 * time.Minute)
	f.set.Waves = map[string]declaration.Wave{}
	f.round(12 * time.Minute)
	for id, i := range f.records {
		if i.State != wave.InService && i.State != wave.Retired {
			f.t.Fatalf("instance %s is stuck in state %s: %+v", id, i.State, i.Reason)
		}
	}
	entries, _, _ := store.ListAll(context.Background(), f.store, record.BudgetPrefix)
	for _, e := range entries {
		b, _, err := record.Load[record.Budget](context.Background(), f.store, e.Key)
		if err != nil || len(b.Reservations) > 0 {
			f.t.Fatalf("%s: got reservations %+v (%v), want none", e.Key, b.Reservations, err)
		}
	}
	f.checkInterruptions()
}

// Guards invariants P1 (budgets), P2 (one pool) and P7 (confirmed drains), and against a write by a resumed earlier holder,
// while the calls of several holders interleave.
func TestFuzzHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleetFuzz(t)
		t.Repeat(f.actions())
		f.quiesce()
	})
}

// describe renders the instances as the oracle counts them, and the budgets' records.
func (f *fleetFuzz) describe() string {
	s := ""
	for _, id := range slices.Sorted(maps.Keys(f.records)) {
		at, down := f.failedAt[id]
		s += fmt.Sprintf("\n%s %s/%s %s stopped=%t failed=%t at write %d, reason %+v", id, f.records[id].Pool, f.records[id].State, f.records[id].StopPurpose, f.plannedStops[id], down, at, f.records[id].Reason)
	}
	for _, name := range slices.Sorted(maps.Keys(f.set.Budgets)) {
		b, _, _ := record.Load[record.Budget](context.Background(), f.store, record.BudgetPrefix+name)
		s += fmt.Sprintf("\n%+v", b)
	}
	return s
}
