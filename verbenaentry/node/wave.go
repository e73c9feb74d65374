package node

import (
	"context"
	"encoding/json"
	"iter"
	"slices"
	"strings"
	"sync"
	"time"

	"verbenalanding.example/fleet/interval"
	"verbenalanding.example/fleet/store"
	"verbenalanding.example/fleet/workload"
	"verbenalanding.example/platform"
)

// wavePrefix is the prefix of the keys through which the holders of pools share a wave's limit of machines in upkeep.
const wavePrefix = "wave/"

const (
	// movesEndShare is the fraction of a wave's time after which its machines are no longer moved to other pools.
	movesEndShare = 0.3
	// waveInterval is how often the waves are checked.
	waveInterval = 100 * time.Millisecond
	// machineListInterval is how often the platform's machines are listed during a wave.
	machineListInterval = time.Second
)

// upkeeps runs the upkeep of the pool's machines for the operator's waves.
type upkeeps struct {
	pool *pool

	mu sync.Mutex
	// slots holds the reserved slots of all waves and pools, by key.
	slots map[string]reservedSlot
	// done holds the machines of each wave whose upkeep has finished.
	done map[string]map[string]bool
	// firstSeen is when this holder first processed each wave.
	firstSeen map[string]time.Time
	// starts holds when the time of each wave began, as far as this holder knows.
	starts map[string]waveStart
	// running and completed hold the waves that were reported to the operator as running or completed.
	running, completed map[string]bool
	// unconfirmed holds the workers that are cordoned until a list of machines shows whether an upkeep order has ended them, by id.
	unconfirmed map[string]unconfirmedEnd
	// waitLogged is when the reason for waiting machines was last logged.
	waitLogged time.Time
}

func newUpkeeps(p *pool) *upkeeps {
	return &upkeeps{
		pool: p, slots: map[string]reservedSlot{}, done: map[string]map[string]bool{}, firstSeen: map[string]time.Time{},
		starts: map[string]waveStart{}, running: map[string]bool{}, completed: map[string]bool{}, unconfirmed: map[string]unconfirmedEnd{},
	}
}

// apply applies changes of the waves' slots and finished machines in the store.
func (u *upkeeps) apply(events []store.Event, _ bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, e := range events {
		wave, suffix := waveOf(e.Entry.Key)
		if machine, ok := strings.CutPrefix(suffix, "done/"); ok && !e.Deleted {
			u.markDone(wave, machine)
			continue
		}
		if e.Deleted {
			delete(u.slots, e.Entry.Key)
			continue
		}
		var s slot
		if err := json.Unmarshal(e.Entry.Value, &s); err != nil {
			u.pool.log.Error().Err(err).Str("key", e.Entry.Key).Msg("slot of a wave cannot be decoded")
			continue
		}
		old := u.slots[e.Entry.Key]
		since := u.pool.node.Clock.Now()
		if old.Machine == s.Machine {
			since = old.since
		}
		u.slots[e.Entry.Key] = reservedSlot{slot: s, revision: e.Entry.Revision, orderedAt: old.orderedAt, since: since, repeatedOn: old.repeatedOn}
	}
}

// markDone records that a machine's upkeep has finished; the lock must be held.
func (u *upkeeps) markDone(wave, machine string) {
	if u.done[wave] == nil {
		u.done[wave] = map[string]bool{}
	}
	u.done[wave][machine] = true
}

// slotsOf yields the reserved slots of a wave, by key; the lock must be held.
func (u *upkeeps) slotsOf(wave string) iter.Seq2[string, reservedSlot] {
	return func(yield func(string, reservedSlot) bool) {
		for key, s := range u.slots {
			if slotWave, _ := waveOf(key); slotWave == wave && !yield(key, s) {
				return
			}
		}
	}
}

func (u *upkeeps) run(ctx context.Context) error {
	for range interval.Each(ctx, waveInterval) {
		u.confirmEnds(ctx)
		for _, w := range u.pool.node.View.Waves() {
			if u.pool.active() {
				u.processWave(ctx, w)
			}
		}
	}
	return nil
}

// due reports whether the upkeep of a machine is pending in a wave that is not completed.
func (u *upkeeps) due(machine string) bool {
	return u.anyOpen(func(w workload.Wave) bool { return !u.done[w.ID][machine] && slices.Contains(w.Machines, machine) })
}

// movesEnded reports whether a wave has used so much of its time that machines whose upkeep is due must stay in their pool.
func (u *upkeeps) movesEnded(now time.Time) bool {
	return u.anyOpen(func(w workload.Wave) bool {
		start, known := u.starts[w.ID]
		return known && now.Sub(start.at) > time.Duration(movesEndShare*float64(w.Within))
	})
}

// anyOpen reports whether any wave that is not completed meets a condition, which is called with the lock held.
func (u *upkeeps) anyOpen(condition func(workload.Wave) bool) bool {
	waves := u.pool.node.View.Waves()
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.ContainsFunc(waves, func(w workload.Wave) bool { return !u.completed[w.ID] && condition(w) })
}

// processWave finishes and begins upkeeps of a wave, and reports the wave's status.
func (u *upkeeps) processWave(ctx context.Context, w workload.Wave) {
	now := u.pool.node.Clock.Now()
	u.mu.Lock()
	if u.firstSeen[w.ID].IsZero() {
		u.firstSeen[w.ID] = now
		u.starts[w.ID] = waveStart{at: now}
	}
	completed := u.completed[w.ID]
	u.mu.Unlock()
	if completed {
		u.pool.node.Registry.Unregister("waveMachinesLeft." + w.ID)
		return
	}
	if u.allDone(w) {
		// The list of machines can say nothing more, and may be unanswered for seconds.
		u.evacuateDue(now)
		u.pool.node.Registry.Unregister("waveMachinesLeft." + w.ID)
		u.reportStatus(ctx, w)
		return
	}
	u.agreeOnStart(ctx, w, now)
	u.pool.machines.refresh(ctx, machineListInterval)
	u.finish(ctx, w, now)
	u.evacuateDue(now)
	u.begin(ctx, w, now)
	u.reportStatus(ctx, w)
}

func (u *upkeeps) write(ctx context.Context, t store.Transaction) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	_, _, err := u.pool.node.Store.Apply(ctx, t)
	return err
}

// reportStatus writes the wave's status for the operator; the holder of the first pool does this for all pools.
func (u *upkeeps) reportStatus(ctx context.Context, w workload.Wave) {
	c := u.pool.node.View.Configuration()
	if c == nil || len(c.Pools) == 0 || c.Pools[0].Name != u.pool.name {
		return
	}
	u.mu.Lock()
	firstSeen := u.firstSeen[w.ID]
	u.mu.Unlock()
	gone, completed := u.pool.machines.gone(w.Machines, firstSeen)
	u.mu.Lock()
	for _, id := range w.Machines {
		if !gone[id] && !u.done[w.ID][id] {
			completed = false
		}
	}
	for range u.slotsOf(w.ID) {
		completed = false
	}
	running := u.running[w.ID]
	u.mu.Unlock()
	completed = completed || u.allDone(w)
	if running && !completed {
		return
	}
	value, err := platform.EncodeWaveStatus(w, completed)
	if err != nil {
		u.pool.log.Error().Err(err).Str("wave", w.ID).Msg("status of a wave not encoded")
		return
	}
	err = u.write(ctx, store.Transaction{
		If: []store.Condition{u.pool.dutyCondition()}, Put: []store.Write{{Key: statusKey(w.ID), Value: value}},
	})
	u.pool.log.Info().Err(err).Str("wave", w.ID).Bool("completed", completed).Msg("status of a wave reported")
	if err != nil {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if completed {
		u.completed[w.ID] = true
	} else {
		u.running[w.ID] = true
	}
}
