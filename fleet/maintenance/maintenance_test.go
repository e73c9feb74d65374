package maintenance

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/internal/check"
	"verbenalanding.example/fleet/platform"
	"verbenalanding.example/fleet/record"
	"verbenalanding.example/fleet/standin"
	"verbenalanding.example/fleet/store"
)

// fixture is a fleet in virtual time with one loop per duty.
type fixture struct {
	t       testing.TB
	now     time.Time
	store   *standin.Store
	control *standin.Control
	set     declaration.Set
	drains  drainFunc
	pools   []*PoolLoop
	waves   []*WaveLoop
}

type drainFunc func(instance string, drain uint64) bool

func (f drainFunc) Confirmed(_ context.Context, instance string, drain uint64) (bool, error) {
	return f(instance, drain), nil
}

// testSet declares a pool of 6 with a budget of 2, a spare pool of 2 and a wave over both.
func testSet() declaration.Set {
	return declaration.Set{
		Pools: map[string]declaration.Pool{
			"desk":  {Name: "desk", Instances: 6, Slots: 8, Minimum: 3, Maximum: 8},
			"tools": {Name: "tools", Instances: 2, Slots: 8, Spare: true},
		},
		Budgets: map[string]declaration.Budget{
			"desk": {Name: "desk", Scope: declaration.Scope{Pools: []string{"desk"}}, MaxUnavailable: 2},
			"all":  {Name: "all", MaxUnavailable: 3},
		},
		Waves:   map[string]declaration.Wave{"reboot": {Name: "reboot", RebootTime: time.Minute, HaltAfter: 3}},
		Intents: map[string]declaration.Intent{},
	}
}

func instances(n int) []platform.Instance {
	list := make([]platform.Instance, 0, n)
	for k := range n {
		list = append(list, platform.Instance{
			ID: fmt.Sprintf("i%02d", k), Status: platform.Live, Healthy: true,
			Location: platform.Location{Region: "r", DataCentre: fmt.Sprintf("d%d", k%2), Rack: fmt.Sprintf("k%d", k%4)},
		})
	}
	return list
}

func newFixture(t testing.TB) *fixture {
	w := &fixture{t: t, now: time.Unix(1_800_000_000, 0).UTC(), store: standin.NewStore(), control: standin.NewControl(), set: testSet()}
	clock := func() time.Time { return w.now }
	w.store.Now, w.control.Now, w.control.RebootTime = clock, clock, time.Minute
	w.control.Add(instances(8)...)
	w.drains = func(string, uint64) bool { return true }
	for _, name := range slices.Sorted(maps.Keys(w.set.Pools)) {
		w.pools = append(w.pools, &PoolLoop{Duty: w.duty(1), Pool: name})
	}
	w.waves = append(w.waves, &WaveLoop{Duty: w.duty(1), Wave: "reboot"})
	return w
}

func (w *fixture) duty(epoch record.Epoch) Duty {
	return Duty{
		Store: w.store, Control: w.control, Epoch: epoch, Now: func() time.Time { return w.now },
		Drains:        drainFunc(func(i string, d uint64) bool { return w.drains(i, d) }),
		Configuration: func() (declaration.Set, uint64) { return w.set, 7 },
	}
}

// runUntil steps every loop once per second of virtual time until done returns true, and reports whether it did so within
// limit.
func (w *fixture) runUntil(limit time.Duration, done func() bool) bool {
	for end := w.now.Add(limit); w.now.Before(end); w.now = w.now.Add(time.Second) {
		for _, l := range w.pools {
			_ = l.Step(context.Background(), w.now)
		}
		for _, l := range w.waves {
			_ = l.Step(context.Background(), w.now)
		}
		if done() {
			return true
		}
	}
	return false
}

func load[T any](w *fixture, key string) T {
	value, _, err := record.Load[T](context.Background(), w.store, key)
	if err != nil && !isNotFound(err) {
		w.t.Fatal(err)
	}
	return value
}

func isNotFound(err error) bool { return errors.Is(err, store.ErrNotFound) }

func (w *fixture) wave() record.Wave { return load[record.Wave](w, record.WavePrefix+"reboot") }

func (w *fixture) instance(id string) record.Instance {
	return load[record.Instance](w, record.InstancePrefix+id)
}

func (w *fixture) waveState(state string) func() bool {
	return func() bool { return w.wave().State == state }
}

// Guards against a wave that skips instances, interrupts requests or keeps reservations.
func TestWaveMaintainsEveryInstance(t *testing.T) {
	w := newFixture(t)
	w.drains = func(id string, _ uint64) bool {
		w.control.SetInFlight(id, 0)
		return true
	}
	for _, i := range instances(8) {
		w.control.SetInFlight(i.ID, 5)
	}
	check.True(t, "finished", w.runUntil(30*time.Minute, w.waveState("finished")))
	check.Equal(t, "reboots", w.control.Reboots(), 8)
	check.Equal(t, "interrupted requests", len(w.control.Interruptions()), 0)
	check.Equal(t, "maintained", len(w.wave().Done), 8)
	w.runUntil(5*time.Second, func() bool { return false })
	check.Equal(t, "reservations", len(load[record.Budget](w, "budget/all").Reservations), 0)
	check.Equal(t, "learned reboot time", w.instance("i00").RebootDuration >= time.Minute, true)
	check.Equal(t, "revision of the reason", w.instance("i00").Reason.ConfigRevision, uint64(7))
}

// Guards against a stop that reuses the reservation of an earlier stop after failures have used up the budget. Found by
// TestFuzzHolders (-rapid.checks=300 -rapid.steps=80, seed 7).
func TestReservationOfEarlierStopIsCheckedAgain(t *testing.T) {
	w := newFixture(t)
	w.set.Waves = nil
	w.runUntil(15*time.Second, func() bool { return false })
	id, desk := w.members("tools", "")[0], w.members("desk", "")
	w.control.SetHealthy(false, func(i platform.Instance) bool { return slices.Contains(desk[:3], i.ID) })
	w.runUntil(5*time.Second, func() bool { return false })
	b, revision, err := record.Load[record.Budget](context.Background(), w.store, "budget/all")
	if err != nil && !isNotFound(err) {
		t.Fatal(err)
	}
	b.Reservations = []record.Reservation{{Instance: id, Holder: "pool/desk", Epoch: 1}}
	_, err = record.Save(context.Background(), w.store, "budget/all", b, revision, 0)
	check.NoError(t, err)
	intent := declaration.Intent{Kind: declaration.RetireInstance, Target: id}
	w.set.Intents[intent.Key()] = intent
	for _, l := range w.pools {
		if l.Pool == "tools" {
			check.NoError(t, l.Step(context.Background(), w.now))
		}
	}
	check.Equal(t, "state", w.instance(id).State, "inService")
	check.Equal(t, "rule", w.instance(id).Reason.Rule, "budget.maxUnavailable")
}
