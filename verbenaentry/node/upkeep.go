package node

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/rcrowley/go-metrics"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/store"
	"verbenalanding.example/fleet/upkeep"
	"verbenalanding.example/fleet/workload"
	"verbenalanding.example/platform"
)

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

// mine returns the slots of a wave that are used by machines of the pool.
func (u *upkeeps) mine(w workload.Wave) map[string]heldSlot {
	u.mu.Lock()
	defer u.mu.Unlock()
	mine := map[string]heldSlot{}
	for key, s := range u.slotsOf(w.ID) {
		if s.Pool == u.pool.name {
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

// begin takes the next machines of the pool into upkeep.
func (u *upkeeps) begin(ctx context.Context, w workload.Wave, now time.Time) {
	for key, s := range u.mine(w) {
		// An earlier holder reserved a slot without a time of order; its order may still be on its way for the time of a call, and
		// whether it was given is not known after that.
		if !s.ordered.IsZero() || now.Sub(s.since) < machineTimeout {
			continue
		}
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
	if !u.pool.holds() {
		// The duty may have been lost since the slot was reserved; the platform does not refuse an older fencing token everywhere.
		return
	}
	now := u.pool.node.Clock.Now()
	u.pool.mu.Lock()
	load := u.pool.core.MachineLoad(s.Machine, s.Worker, now)
	var life dispatch.WorkerIncarnation
	var known bool
	if load.Allowed {
		s.Worker = cmp.Or(load.Worker, s.Worker)
		u.pool.core.Cordon(s.Worker, true)
		life, known = u.pool.core.CurrentIncarnation(s.Worker)
	}
	u.pool.mu.Unlock()
	if !load.Allowed {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, machineTimeout)
	defer cancel()
	outcome, err := u.pool.node.Machines.Upkeep(callCtx, platform.Holder{Node: u.pool.node.Settings.Node, Fence: fence, Held: u.pool.maySend(s.Machine, fence)}, s.Machine, w.ID)
	u.pool.log.Info().Err(err).Str("wave", w.ID).Str("machine", s.Machine).Str("worker", s.Worker).Str("outcome", string(outcome)).
		Bool("idle", load.Idle).Dur("lost", load.LostTime).Int("lasting", load.LongRunning).Msg("upkeep ordered")
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
	if known {
		u.settle(ctx, life)
	}
}

// settle finds out whether an accepted order has ended the life that its machine had. The order is also accepted when it was carried out before;
// then the worker goes on.
func (u *upkeeps) settle(ctx context.Context, life dispatch.WorkerIncarnation) {
	asked := u.pool.node.Clock.Now()
	u.pool.book.refresh(ctx, 0)
	gone, known := u.pool.book.gone([]dispatch.WorkerIncarnation{life}, asked)
	u.pool.mu.Lock()
	for _, w := range gone {
		u.pool.core.IncarnationEnded(w, "upkeep")
	}
	if known {
		u.pool.core.Cordon(life.ID, false)
	}
	u.pool.mu.Unlock()
	u.pool.kick()
}
