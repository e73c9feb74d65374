package node

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"verbenalanding.example/fleet/store"
	"verbenalanding.example/fleet/upkeep"
	"verbenalanding.example/fleet/workload"
	"verbenalanding.example/platform"
)

// wavePrefix is the prefix of the keys by which the holders of pools share a wave's limit.
const wavePrefix = "wave/"

const (
	// pressedShare is the part of a wave's time after which its machines are not moved to other pools.
	pressedShare = 0.3
	waveEvery    = 100 * time.Millisecond
	// listEvery is how often the platform's machines are listed during a wave.
	listEvery      = time.Second
	machineTimeout = 1500 * time.Millisecond
	// backEarly is how much sooner than its whole upkeep a machine may register again, by the clocks of both.
	backEarly = 100 * time.Millisecond
	// backMargin is how much longer than its upkeep a machine may take before the list of machines decides.
	backMargin = time.Second
)

// slot is the value of a key that stands for one machine of a wave in upkeep.
type slot struct {
	Machine string `json:"machine"`
	Pool    string `json:"pool"`
	// Worker is the life of the machine that the upkeep ends.
	Worker string `json:"worker"`
}

func slotKey(wave string, n int) string   { return wavePrefix + wave + "/slot/" + strconv.Itoa(n) }
func doneKey(wave, machine string) string { return wavePrefix + wave + "/done/" + machine }
func statusKey(wave string) string        { return platform.WaveStatusPrefix + wave }
func waveOf(key string) (wave, rest string) {
	w, r, _ := strings.Cut(strings.TrimPrefix(key, wavePrefix), "/")
	return w, r
}

// upkeeps carries out the machines of waves that are in the pool.
type upkeeps struct {
	pool *pool

	mu    sync.Mutex
	slots map[string]heldSlot
	done  map[string]map[string]bool
	seen  map[string]time.Time
	told  map[string]bool
	// explained is when it was last written why machines wait.
	explained time.Time
}

type heldSlot struct {
	slot
	revision store.Revision
	// ordered is when this holder had the upkeep accepted; zero for one that an earlier holder left.
	ordered time.Time
	since   time.Time
}

func newUpkeeps(p *pool) *upkeeps {
	return &upkeeps{
		pool: p, slots: map[string]heldSlot{}, done: map[string]map[string]bool{}, seen: map[string]time.Time{},
		told: map[string]bool{},
	}
}

// apply takes over what the store shows of waves.
func (u *upkeeps) apply(events []store.Event, _ bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, e := range events {
		wave, rest := waveOf(e.Entry.Key)
		if machine, ok := strings.CutPrefix(rest, "done/"); ok && !e.Deleted {
			u.markDone(wave, machine)
			continue
		}
		if e.Deleted {
			delete(u.slots, e.Entry.Key)
			continue
		}
		var s slot
		if err := json.Unmarshal(e.Entry.Value, &s); err != nil {
			u.pool.log.Error().Err(err).Str("key", e.Entry.Key).Msg("slot of a wave cannot be read")
			continue
		}
		old := u.slots[e.Entry.Key]
		since := u.pool.node.Clock.Now()
		if old.Machine == s.Machine {
			since = old.since
		}
		u.slots[e.Entry.Key] = heldSlot{slot: s, revision: e.Entry.Revision, ordered: old.ordered, since: since}
	}
}

// markDone takes note of a machine whose upkeep is over; the lock must be held.
func (u *upkeeps) markDone(wave, machine string) {
	if u.done[wave] == nil {
		u.done[wave] = map[string]bool{}
	}
	u.done[wave][machine] = true
}

func (u *upkeeps) run(ctx context.Context) error {
	ticker := time.NewTicker(waveEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		for _, w := range u.pool.node.View.Waves() {
			if u.pool.holds() {
				u.step(ctx, w)
			}
		}
	}
}

// due reports whether the upkeep of a machine is still to be done.
func (u *upkeeps) due(machine string) bool {
	waves := u.pool.node.View.Waves()
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, w := range waves {
		if !u.told[w.ID] && !u.done[w.ID][machine] && slices.Contains(w.Machines, machine) {
			return true
		}
	}
	return false
}

// pressed reports whether a wave has used so much of its time that the machines that are due must stay where they are.
func (u *upkeeps) pressed(now time.Time) bool {
	waves := u.pool.node.View.Waves()
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, w := range waves {
		if seen := u.seen[w.ID]; !u.told[w.ID] && !seen.IsZero() && now.Sub(seen) > time.Duration(pressedShare*float64(w.Within)) {
			return true
		}
	}
	return false
}

func (u *upkeeps) step(ctx context.Context, w workload.Wave) {
	now := u.pool.node.Clock.Now()
	u.mu.Lock()
	if u.seen[w.ID].IsZero() {
		u.seen[w.ID] = now
	}
	completed := u.told[w.ID]
	u.mu.Unlock()
	if completed {
		u.pool.node.Registry.Unregister("waveMachinesLeft." + w.ID)
		return
	}
	u.pool.book.refresh(ctx, listEvery)
	u.finish(ctx, w, now)
	u.tellDue(now)
	u.begin(ctx, w, now)
	u.report(ctx, w)
}

// finish frees the slots of the pool's machines that are back.
func (u *upkeeps) finish(ctx context.Context, w workload.Wave, now time.Time) {
	for key, s := range u.mine(w) {
		if !u.back(s, now) {
			continue
		}
		err := u.change(ctx, store.Transaction{
			If:     []store.Condition{u.pool.dutyCondition(), {Key: key, Revision: s.revision}},
			Put:    []store.Write{{Key: doneKey(w.ID, s.Machine), Value: []byte("{}")}},
			Delete: []string{key},
		})
		u.pool.log.Info().Err(err).Str("wave", w.ID).Str("machine", s.Machine).Dur("down", now.Sub(s.since)).Msg("machine back from upkeep")
		if err == nil {
			u.mu.Lock()
			delete(u.slots, key)
			u.markDone(w.ID, s.Machine)
			u.mu.Unlock()
		}
	}
}

func (u *upkeeps) change(ctx context.Context, t store.Transaction) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	_, _, err := u.pool.node.Store.Apply(ctx, t)
	return err
}

// mine returns the slots of a wave that are used by machines of the pool.
func (u *upkeeps) mine(w workload.Wave) map[string]heldSlot {
	u.mu.Lock()
	defer u.mu.Unlock()
	mine := map[string]heldSlot{}
	for key, s := range u.slots {
		if wave, _ := waveOf(key); wave == w.ID && s.Pool == u.pool.name {
			mine[key] = s
		}
	}
	return mine
}

// back reports whether a machine has come back from its upkeep.
func (u *upkeeps) back(s heldSlot, now time.Time) bool {
	b := u.pool.book
	b.mu.Lock()
	defer b.mu.Unlock()
	m, listed := b.list[s.Machine]
	return s.back(now, u.pool.node.Settings.Bounds.Upkeep, b.lives[s.Machine], b.listed, listed, m.State)
}

// back decides from the newest life of the slot's machine, and from the list of machines and its time.
func (s heldSlot) back(now time.Time, upkeep time.Duration, newest life, listedAt time.Time, listed bool, state workload.MachineState) bool {
	if s.ordered.IsZero() {
		// The order of an earlier holder may not have been given; begin gives it again.
		return false
	}
	// A worker that was seen sooner registered before the upkeep, for instance after a move of its machine.
	if s.Worker != "" && newest.worker != s.Worker && newest.seen.Sub(s.ordered) >= upkeep-backEarly {
		return true
	}
	if listedAt.Sub(s.ordered) < upkeep {
		return false
	}
	return (listed && state == workload.MachineUp) || (!listed && now.Sub(s.ordered) > upkeep+backMargin)
}

// begin takes the next machines of the pool into upkeep.
func (u *upkeeps) begin(ctx context.Context, w workload.Wave, now time.Time) {
	for key, s := range u.mine(w) {
		if !s.ordered.IsZero() || now.Sub(s.since) < machineTimeout {
			continue
		}
		// An earlier holder reserved the slot; whether it gave the order is not known.
		fence, err := u.pool.book.claim(ctx, s.Machine, u.claimed(), store.Transaction{If: []store.Condition{{Key: key, Revision: s.revision}}})
		if err == nil {
			u.order(ctx, w, key, s, fence)
		}
	}
	input, machines, held := u.input(w, now)
	metrics.GetOrRegisterGauge("waveMachinesLeft."+w.ID, u.pool.node.Registry).Update(int64(input.Left))
	u.close(input, now)
	u.explain(w, input, held, now)
	for _, id := range upkeep.Plan(input) {
		if err := u.take(ctx, w, machines[id]); err != nil {
			u.pool.log.Debug().Err(err).Str("machine", id).Msg("no slot of the wave")
			return
		}
	}
}

var errNoSlot = errors.New("all slots of the wave are taken")

// take reserves a free slot of the wave for a machine and orders its upkeep.
func (u *upkeeps) take(ctx context.Context, w workload.Wave, m workload.Machine) error {
	s := slot{Machine: m.ID, Pool: u.pool.name, Worker: m.Worker}
	value, err := json.Marshal(s)
	if err != nil {
		return fmt.Errorf("encode slot: %w", err)
	}
	for n := range w.MaxDown {
		key := slotKey(w.ID, n)
		u.mu.Lock()
		_, used := u.slots[key]
		u.mu.Unlock()
		if used {
			continue
		}
		fence, err := u.pool.book.claim(ctx, m.ID, u.claimed(), store.Transaction{
			If: []store.Condition{{Key: key}}, Put: []store.Write{{Key: key, Value: value}},
		})
		if errors.Is(err, errTaken) {
			continue
		}
		if err != nil {
			return err
		}
		held := heldSlot{slot: s, revision: store.Revision(fence), since: u.pool.node.Clock.Now()}
		u.mu.Lock()
		u.slots[key] = held
		u.mu.Unlock()
		u.order(ctx, w, key, held, fence)
		return nil
	}
	return errNoSlot
}

// claimed is what the key of a machine holds after an order of this holder that leaves it in the pool.
func (u *upkeeps) claimed() machineOrder {
	return machineOrder{Node: u.pool.node.Settings.Node, Pool: u.pool.name, What: orderUpkeep}
}

// order has the platform begin the upkeep of a machine that has a slot; an order that was carried out before is accepted again.
func (u *upkeeps) order(ctx context.Context, w workload.Wave, key string, s heldSlot, fence uint64) {
	now := u.pool.node.Clock.Now()
	u.pool.mu.Lock()
	load := u.pool.core.LoadOn(s.Machine, s.Worker, now)
	if load.Allowed {
		s.Worker = cmp.Or(load.Worker, s.Worker)
		u.pool.core.Cordon(s.Worker, true)
	}
	u.pool.mu.Unlock()
	if !load.Allowed {
		return
	}
	if !u.pool.holds() {
		// The duty may have been lost since the slot was reserved; the platform does not refuse an older fencing token everywhere.
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, machineTimeout)
	defer cancel()
	outcome, err := u.pool.node.Machines.Upkeep(callCtx, platform.Holder{Node: u.pool.node.Settings.Node, Fence: fence}, s.Machine, w.ID)
	u.pool.log.Info().Err(err).Str("wave", w.ID).Str("machine", s.Machine).Str("worker", s.Worker).Str("outcome", string(outcome)).
		Bool("idle", load.Idle).Dur("lost", load.Lost).Int("lasting", load.Lasting).Msg("upkeep ordered")
	count(u.pool.node.Registry, "upkeeps."+string(outcome))
	if outcome != platform.MachineAccepted {
		u.pool.mu.Lock()
		u.pool.core.Cordon(s.Worker, false)
		u.pool.mu.Unlock()
		return
	}
	u.mu.Lock()
	if held, ok := u.slots[key]; ok {
		held.ordered = u.pool.node.Clock.Now()
		u.slots[key] = held
	}
	u.mu.Unlock()
	if s.Worker == "" {
		return
	}
	// The order is also accepted when it was carried out before; then the worker goes on.
	ended, known := u.pool.book.ended(ctx, s.Machine, s.Worker)
	u.pool.mu.Lock()
	if ended {
		u.pool.core.Terminated(s.Worker, "upkeep")
	} else if known {
		u.pool.core.Cordon(s.Worker, false)
	}
	u.pool.mu.Unlock()
	u.pool.kick()
}

// report tells the operator how far the wave is; the holder of the first pool does it for all.
func (u *upkeeps) report(ctx context.Context, w workload.Wave) {
	c := u.pool.node.View.Configuration()
	if c == nil || len(c.Pools) == 0 || c.Pools[0].Name != u.pool.name {
		return
	}
	u.pool.book.mu.Lock()
	completed := len(u.pool.book.list) > 0
	stays := make(map[string]bool, len(w.Machines))
	for _, id := range w.Machines {
		_, stays[id] = u.pool.book.list[id]
	}
	u.pool.book.mu.Unlock()
	u.mu.Lock()
	for _, id := range w.Machines {
		if stays[id] && !u.done[w.ID][id] {
			completed = false
		}
	}
	for key := range u.slots {
		if wave, _ := waveOf(key); wave == w.ID {
			completed = false
		}
	}
	running := u.told["running "+w.ID]
	u.mu.Unlock()
	if running && !completed {
		return
	}
	value, err := platform.EncodeWaveStatus(w, completed)
	if err != nil {
		u.pool.log.Error().Err(err).Str("wave", w.ID).Msg("state of a wave not encoded")
		return
	}
	err = u.change(ctx, store.Transaction{
		If: []store.Condition{u.pool.dutyCondition()}, Put: []store.Write{{Key: statusKey(w.ID), Value: value}},
	})
	u.pool.log.Info().Err(err).Str("wave", w.ID).Bool("completed", completed).Msg("state of a wave told")
	if err != nil {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if completed {
		u.told[w.ID] = true
	} else {
		u.told["running "+w.ID] = true
	}
}
