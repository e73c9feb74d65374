package maintenance

import (
	"context"
	"strings"
	"testing"
	"time"

	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/internal/check"
	"verbenalanding.example/fleet/platform"
	"verbenalanding.example/fleet/record"
	"verbenalanding.example/fleet/standin"
	"verbenalanding.example/fleet/store"
)

// lateStore withholds the writes whose key starts with match or whose value contains it, and reports them as unanswered.
type lateStore struct {
	*standin.Store
	match    string
	withheld []store.PutRequest
}

func (s *lateStore) Put(ctx context.Context, r store.PutRequest) (store.Revision, error) {
	if s.match != "" && (strings.HasPrefix(r.Key, s.match) || strings.Contains(string(r.Value), s.match)) {
		s.withheld = append(s.withheld, r)
		return 0, store.ErrUnavailable
	}
	return s.Store.Put(ctx, r)
}

func (w *fixture) pool(name string) *PoolLoop {
	for _, l := range w.pools {
		if l.Pool == name {
			return l
		}
	}
	w.t.Fatalf("pool %s: got none", name)
	return nil
}

func (w *fixture) addIntent(kind declaration.IntentKind, target string) {
	i := declaration.Intent{Kind: kind, Target: target, At: w.now}
	w.set.Intents[i.Key()] = i
}

// members returns the ids of a pool's instances in a state; an empty state selects all.
func (w *fixture) members(pool, state string) []string {
	var ids []string
	for _, i := range instances(8) {
		if r := w.instance(i.ID); r.Pool == pool && (state == "" || r.State == state) {
			ids = append(ids, r.ID)
		}
	}
	return ids
}

func (w *fixture) runFor(d time.Duration) { w.runUntil(d, func() bool { return false }) }

// Guards invariant P1 (budgets) against a drain whose write takes effect after its reservation was released.
func TestLateDrainDoesNotTakeEffect(t *testing.T) {
	w := newFixture(t)
	late := &lateStore{Store: w.store}
	w.set.Waves = nil
	w.pool("desk").Store = late
	w.runFor(15 * time.Second)
	id := w.members("desk", "")[0]
	w.addIntent(declaration.RetireInstance, id)
	late.match = `"state":"draining"`
	w.runFor(time.Second)
	check.Equal(t, "withheld writes", len(late.withheld), 1)
	late.match = ""
	clear(w.set.Intents)
	w.runFor(3 * time.Second)
	_, err := w.store.Put(context.Background(), late.withheld[0])
	check.ErrorIs(t, err, store.ErrConflict)
	check.Equal(t, "state", w.instance(id).State, "inService")
}

// Guards against a reservation of an earlier holder that takes effect after its successor has taken over.
func TestTakeoverFencesReservations(t *testing.T) {
	w := newFixture(t)
	late := &lateStore{Store: w.store}
	w.set.Waves = nil
	w.runFor(15 * time.Second)
	w.pool("desk").Store = late
	w.addIntent(declaration.RetireInstance, w.members("desk", "")[0])
	late.match = record.BudgetPrefix
	w.runFor(time.Second)
	check.Equal(t, "withheld writes", len(late.withheld), 1)
	clear(w.set.Intents)
	next := &PoolLoop{Duty: w.duty(2), Pool: "desk"}
	check.NoError(t, next.Step(context.Background(), w.now))
	_, err := w.store.Put(context.Background(), late.withheld[0])
	check.ErrorIs(t, err, store.ErrConflict)
}

// Guards against an earlier holder that proposes a move by overwriting the record of a finished one. Found by TestFuzzHolders
// (-rapid.checks=1200 -rapid.steps=150, seed 22).
func TestTakeoverFencesFinishedMoves(t *testing.T) {
	w := newFixture(t)
	w.set.Waves = nil
	w.runFor(15 * time.Second)
	id := w.members("tools", "")[0]
	finished := record.Move{Instance: id, From: "desk", To: "tools", State: "done", Epoch: 1}
	revision, err := record.Save(context.Background(), w.store, record.MovePrefix+id, finished, 0, 0)
	check.NoError(t, err)
	next := &PoolLoop{Duty: w.duty(2), Pool: "tools"}
	check.NoError(t, next.Step(context.Background(), w.now))
	_, err = record.Save(context.Background(), w.store, record.MovePrefix+id, finished, revision, 0)
	check.ErrorIs(t, err, store.ErrConflict)
}

// Guards invariant P1 (budgets) while failures overdraw a budget: drains that have not yet stopped their instance are
// abandoned.
func TestOverdrawnBudgetAbandonsDrains(t *testing.T) {
	w := newFixture(t)
	w.drains = func(string, uint64) bool { return false }
	check.True(t, "two drains", w.runUntil(time.Minute, func() bool { return len(w.members("desk", "draining")) == 2 }))
	drains, serving := w.members("desk", "draining"), w.members("desk", "inService")
	w.control.SetHealthy(false, func(i platform.Instance) bool { return i.ID == serving[0] })
	w.runFor(3 * time.Second)
	check.Equal(t, "drains left", len(w.members("desk", "draining")), 1)
	// The order is still in force, so the recorded reason is that the budget denies the stop.
	rules := w.instance(drains[0]).Reason.Rule + " " + w.instance(drains[1]).Reason.Rule
	check.True(t, "a reason names the budget: "+rules, strings.Contains(rules, "budget.maxUnavailable"))
}

// Guards against planned stops that begin in a store outage, and against a stop that began before the outage and never ends.
func TestNoPlannedStopBeginsInStoreOutage(t *testing.T) {
	w := newFixture(t)
	rebooting := func() bool { return len(w.members("desk", "rebooting")) > 0 }
	check.True(t, "reboot begun", w.runUntil(time.Minute, rebooting))
	begun := w.control.Reboots()
	w.store.SetFaults(standin.StoreFaults{Down: true})
	for end := w.now.Add(10 * time.Minute); w.now.Before(end); w.now = w.now.Add(time.Second) {
		for _, l := range w.pools {
			_ = l.Step(context.Background(), w.now)
		}
	}
	check.Equal(t, "reboots in the outage", w.control.Reboots(), begun)
	w.store.SetFaults(standin.StoreFaults{})
	check.True(t, "finished after the outage", w.runUntil(30*time.Minute, w.waveState("finished")))
	check.Equal(t, "reboots", w.control.Reboots(), 8)
}

// Guards against a holder that continues after another took over, and against a second reboot by the new holder.
func TestTakeoverFencesAndRebootsOnce(t *testing.T) {
	w := newFixture(t)
	check.True(t, "reboot begun", w.runUntil(time.Minute, func() bool { return len(w.members("desk", "rebooting")) > 0 }))
	id := w.members("desk", "rebooting")[0]
	command := w.instance(id).Command
	old := w.pool("desk")
	for k, l := range w.pools {
		if l == old {
			w.pools[k] = &PoolLoop{Duty: w.duty(2), Pool: "desk"}
		}
	}
	w.runFor(2 * time.Second)
	check.ErrorIs(t, old.Step(context.Background(), w.now), record.ErrFenced)
	check.True(t, "finished", w.runUntil(30*time.Minute, w.waveState("finished")))
	check.Equal(t, "reboots by the command", w.control.TimesApplied(command), 1)
	check.Equal(t, "epoch", w.instance(id).Epoch, record.Epoch(2))
}

// Guards against a wave that continues to reboot with bad firmware, and against one that does not resume on an intent.
func TestBadFirmwareHaltsWave(t *testing.T) {
	w := newFixture(t)
	w.control.SetFaults(standin.ControlFaults{BadFirmware: func(string, string) bool { return true }})
	check.True(t, "halted", w.runUntil(30*time.Minute, w.waveState("halted")))
	check.True(t, "no more reboots than the budget allows", w.control.Reboots() <= 3)
	check.True(t, "reason names the rule", w.wave().Reason.Rule == "sameFirmware" || w.wave().Reason.Rule == "sameRack")
	w.control.SetFaults(standin.ControlFaults{})
	w.runFor(time.Minute)
	check.Equal(t, "state without an intent", w.wave().State, "halted")
	w.addIntent(declaration.ResumeWave, "reboot")
	check.True(t, "finished after the intent", w.runUntil(3*time.Hour, w.waveState("finished")))
	check.Equal(t, "maintained", len(w.wave().Done), 8)
}

// Guards invariant P2: a moved instance is in exactly one pool at any time, and in the new pool only after its drain.
func TestMovedInstanceIsInOnePool(t *testing.T) {
	w := newFixture(t)
	w.set.Waves = nil
	w.runFor(15 * time.Second)
	id := w.members("tools", "")[0]
	confirmed := false
	w.drains = func(string, uint64) bool { return confirmed }
	_, err := record.Save(context.Background(), w.store, "move/"+id, record.Move{Instance: id, From: "tools", To: "desk", State: "proposed", Epoch: 1, Since: w.now}, 0, 0)
	check.NoError(t, err)
	w.runFor(10 * time.Second)
	check.Equal(t, "before the drain is confirmed", w.instance(id).Pool+" "+w.instance(id).State, "tools draining")
	confirmed = true
	check.True(t, "checking", w.runUntil(time.Minute, func() bool { return w.instance(id).State == "checking" }))
	// An incoming instance does not count as unavailable in the budgets of the pool that receives it.
	confirmed = false
	serving := w.members("desk", "inService")[:2]
	w.addIntent(declaration.RetireInstance, serving[0])
	w.addIntent(declaration.RetireInstance, serving[1])
	w.runFor(2 * time.Second)
	check.Equal(t, "drains in the receiving pool", len(w.members("desk", "draining")), 2)
	clear(w.set.Intents)
	done := func() bool { return load[record.Move](w, "move/"+id).State == "done" }
	check.True(t, "done", w.runUntil(time.Minute, done))
	check.Equal(t, "after the move", w.instance(id).Pool+" "+w.instance(id).State, "desk inService")
	check.Equal(t, "pool whose budgets count", w.instance(id).ArrivedFrom, "")
}

// Guards against a retired instance that keeps its record or its reservation.
func TestRetiredInstanceIsDeleted(t *testing.T) {
	w := newFixture(t)
	w.set.Waves = nil
	w.runFor(15 * time.Second)
	w.addIntent(declaration.RetireInstance, "i00")
	deleted := func() bool { return w.instance("i00").ID == "" }
	check.True(t, "record deleted", w.runUntil(10*time.Minute, deleted))
	check.Equal(t, "reservations", len(load[record.Budget](w, "budget/all").Reservations), 0)
	check.Equal(t, "interrupted requests", len(w.control.Interruptions()), 0)
}

// Guards invariant P7 (no reboot before the drain is confirmed) against a confirmation of an earlier drain: an entry instance
// that has not read the new record may still send requests.
func TestEarlierConfirmationDoesNotCount(t *testing.T) {
	w := newFixture(t)
	waves := w.set.Waves
	w.set.Waves = nil
	w.runFor(15 * time.Second)
	confirmed := map[string]uint64{}
	for _, i := range instances(8) {
		confirmed[i.ID] = w.instance(i.ID).Drain
	}
	w.drains = func(id string, drain uint64) bool { return confirmed[id] >= drain }
	w.set.Waves = waves
	w.runFor(time.Minute)
	check.Equal(t, "drains", len(w.members("desk", "draining")), 2)
	failed := w.members("desk", "inService")[0]
	w.control.SetHealthy(false, func(i platform.Instance) bool { return i.ID == failed })
	w.runFor(10 * time.Minute)
	check.Equal(t, "failed", len(w.members("desk", "failed")), 1)
	check.Equal(t, "reboots", w.control.Reboots(), 0)
}

// Guards against a drain that never ends and keeps its instance out of service: the drain must be abandoned, and must not
// begin again immediately.
func TestLongDrainIsAbandoned(t *testing.T) {
	w := newFixture(t)
	w.drains = func(string, uint64) bool { return false }
	check.True(t, "draining", w.runUntil(time.Minute, func() bool { return len(w.members("desk", "draining")) == 2 }))
	id := w.members("desk", "draining")[0]
	check.True(t, "abandoned", w.runUntil(6*time.Minute, func() bool { return w.instance(id).State == "inService" }))
	check.Equal(t, "rule", w.instance(id).Reason.Rule, "drainLimit")
	w.runFor(9 * time.Minute)
	check.Equal(t, "state 9 minutes later", w.instance(id).State, "inService")
}

// Guards against stops of a paused wave that continue until the wave's loop has read the pause.
func TestPauseAbandonsDrains(t *testing.T) {
	w := newFixture(t)
	w.drains = func(string, uint64) bool { return false }
	check.True(t, "draining", w.runUntil(time.Minute, func() bool { return len(w.members("desk", "draining")) == 2 }))
	paused := w.set.Waves["reboot"]
	paused.Paused = true
	w.set.Waves["reboot"] = paused
	for _, l := range w.pools {
		check.NoError(t, l.Step(context.Background(), w.now))
	}
	check.Equal(t, "in service", len(w.members("desk", "inService")), 6)
}

// slowStore takes 2 s of virtual time for each watch while slow is set.
type slowStore struct {
	*standin.Store
	fixture *fixture
	slow    bool
}

func (s *slowStore) Watch(ctx context.Context, prefix string, after store.Revision, wait time.Duration) (store.Batch, error) {
	if s.slow {
		s.fixture.now = s.fixture.now.Add(2 * time.Second)
	}
	return s.Store.Watch(ctx, prefix, after, wait)
}

// Guards against planned stops that begin while the store takes 2 s per response.
func TestNoPlannedStopBeginsWhileStoreIsSlow(t *testing.T) {
	w := newFixture(t)
	slow := &slowStore{Store: w.store, fixture: w}
	w.set.Waves = nil
	// The loops share one snapshot, as in the daemon: only the first loop of each second waits for the store.
	shared := &Fleet{Store: slow, Control: w.control, Now: func() time.Time { return w.now }, MinInterval: 10 * time.Second}
	for _, l := range w.pools {
		l.Store, l.Fleet = slow, shared
	}
	w.runFor(15 * time.Second)
	for _, i := range instances(8) {
		w.addIntent(declaration.RetireInstance, i.ID)
	}
	slow.slow = true
	w.runFor(2 * time.Minute)
	serving := func() int { return len(w.members("desk", "inService")) + len(w.members("tools", "inService")) }
	check.Equal(t, "in service", serving(), 8)
	slow.slow = false
	w.runFor(5 * time.Second)
	check.True(t, "stops begin when the store is fast again", serving() < 8)
}

// Guards against records that are written repeatedly while stops wait and nothing changes.
func TestWaitingStopsCauseFewWrites(t *testing.T) {
	w := newFixture(t)
	w.drains = func(string, uint64) bool { return false }
	reboot := w.set.Waves["reboot"]
	reboot.Until, reboot.RebootTime = time.Duration(w.now.Hour())*time.Hour+12*time.Minute, 20*time.Minute
	reboot.From = reboot.Until - time.Hour
	w.set.Waves["reboot"] = reboot
	w.set.Budgets["tools"] = declaration.Budget{Name: "tools", Scope: declaration.Scope{Pools: []string{"tools"}}, MaxUnavailable: 1}
	w.runFor(time.Minute)
	before := w.store.Calls()["put"]
	w.runFor(3 * time.Minute)
	if got := w.store.Calls()["put"] - before; got > 3 {
		t.Fatalf("writes in 3 minutes of waiting: got %d, want at most 3; reason %+v", got, w.wave().Reason)
	}
}

// Guards against a failed instance that an operator cannot retire, and against one that is retired while an entry instance
// still waits for a response from it.
func TestFailedInstanceIsRetired(t *testing.T) {
	w := newFixture(t)
	check.True(t, "pool filled", w.runUntil(2*time.Minute, func() bool { return len(w.members("desk", "inService")) == 6 }))
	id := w.members("desk", "inService")[0]
	w.control.SetHealthy(false, func(i platform.Instance) bool { return i.ID == id })
	check.True(t, "failed", w.runUntil(time.Minute, func() bool { return w.instance(id).State == "failed" }))
	intent := declaration.Intent{Kind: declaration.RetireInstance, Target: id}
	w.set.Intents[intent.Key()] = intent
	w.drains = func(string, uint64) bool { return false }
	w.runUntil(30*time.Second, func() bool { return false })
	check.Equal(t, "state while a request is in flight", w.instance(id).State, "failed")
	w.drains = func(string, uint64) bool { return true }
	check.True(t, "retired", w.runUntil(time.Minute, func() bool { return w.instance(id).State != "failed" }))
	check.Equal(t, "instance healthy in the platform", w.control.Healthy(id), false)
}

// Guards against instances that have no owner after their pool was removed from the declarations.
func TestInstancesLeaveRemovedPool(t *testing.T) {
	w := newFixture(t)
	w.set.Waves = nil
	check.True(t, "pools filled", w.runUntil(2*time.Minute, func() bool {
		return len(w.members("desk", "inService")) == 6 && len(w.members("tools", "inService")) == 2
	}))
	delete(w.set.Pools, "tools")
	check.True(t, "all in the remaining pool", w.runUntil(10*time.Minute, func() bool { return len(w.members("desk", "inService")) == 8 }))
	check.Equal(t, "interrupted requests", len(w.control.Interruptions()), 0)
}
