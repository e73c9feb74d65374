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

// finish frees the slots of the pool's machines whose upkeep has finished.
func (u *upkeeps) finish(ctx context.Context, w workload.Wave, now time.Time) {
	for key, s := range u.ownSlots(w) {
		if !u.isFinished(s, now) {
			continue
		}
		err := u.write(ctx, store.Transaction{
			If:     []store.Condition{u.pool.dutyCondition(), {Key: key, Revision: s.revision}},
			Put:    []store.Write{{Key: doneKey(w.ID, s.Machine), Value: []byte("{}")}},
			Delete: []string{key},
		})
		u.pool.log.Info().Err(err).Str("wave", w.ID).Str("machine", s.Machine).Dur("down", now.Sub(s.since)).Msg("upkeep finished")
		if err == nil {
			u.forget(key)
			u.mu.Lock()
			u.markDone(w.ID, s.Machine)
			u.mu.Unlock()
		}
	}
}

// ownSlots returns the slots of a wave that machines of the pool use.
func (u *upkeeps) ownSlots(w workload.Wave) map[string]reservedSlot {
	u.mu.Lock()
	defer u.mu.Unlock()
	own := map[string]reservedSlot{}
	for key, s := range u.slotsOf(w.ID) {
		if s.Pool == u.pool.name {
			own[key] = s
		}
	}
	return own
}

// isFinished reports whether the upkeep of a slot's machine has finished.
func (u *upkeeps) isFinished(s reservedSlot, now time.Time) bool {
	mt := u.pool.machines
	mt.mu.Lock()
	defer mt.mu.Unlock()
	m, listed := mt.byID[s.Machine]
	// A machine that a partial list lacks may be in upkeep.
	return (listed && s.carriedOutBefore(mt.listedAt, m)) ||
		s.finished(now, u.pool.node.Settings.Bounds.Upkeep, mt.incarnations[s.Machine], mt.listedAt, listed || mt.listPartial, m.State)
}

// begin repeats unconfirmed upkeep orders of the pool's slots, and orders the upkeep of the machines that are next in the wave's plan.
func (u *upkeeps) begin(ctx context.Context, w workload.Wave, now time.Time) {
	for key, s := range u.ownSlots(w) {
		// The order for a slot without the time of an accepted order may be in flight for up to machineTimeout, possibly from an earlier
		// holder. After that it is unconfirmed, and this holder gives it again.
		if !s.orderedAt.IsZero() || now.Sub(s.since) < machineTimeout {
			continue
		}
		u.repeat(ctx, w, key, s)
	}
	input, machines, unavailable := u.input(w, now)
	metrics.GetOrRegisterGauge("waveMachinesLeft."+w.ID, u.pool.node.Registry).Update(int64(input.Left))
	u.close(input, now)
	u.logWaiting(w, input, unavailable, now)
	for _, id := range upkeep.Plan(input) {
		if err := u.reserveSlot(ctx, w, machines[id]); err != nil {
			u.pool.log.Debug().Err(err).Str("machine", id).Msg("no slot of the wave reserved")
			return
		}
	}
}

// repeat orders the upkeep of a slot's machine again, or frees the slot if the machine has left the pool: the pool that has it reserves its own.
func (u *upkeeps) repeat(ctx context.Context, w workload.Wave, key string, s reservedSlot) {
	reserved := store.Condition{Key: key, Revision: s.revision}
	fence, err := u.pool.machines.claim(ctx, s.Machine, u.pool.name, u.upkeepOrder(), store.Transaction{If: []store.Condition{reserved}})
	switch {
	case err == nil:
		u.noteRepetition(key, s.Machine)
		u.order(ctx, w, key, s, fence)
	case errors.Is(err, errNotInPool):
		err = u.write(ctx, store.Transaction{If: []store.Condition{u.pool.dutyCondition(), reserved}, Delete: []string{key}})
		u.pool.log.Info().Err(err).Str("wave", w.ID).Str("machine", s.Machine).Msg("slot of a machine that has left the pool freed")
		if err == nil {
			u.forget(key)
		}
	default:
		u.pool.log.Debug().Err(err).Str("wave", w.ID).Str("machine", s.Machine).Msg("upkeep not repeated")
	}
}

// forget removes a slot that was freed, before the store's event shows that.
func (u *upkeeps) forget(key string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.slots, key)
}

// noteRepetition records the worker that the list of machines shows for a machine whose upkeep is about to be ordered again.
func (u *upkeeps) noteRepetition(key, machine string) {
	mt := u.pool.machines
	u.mu.Lock()
	defer u.mu.Unlock()
	mt.mu.Lock()
	defer mt.mu.Unlock()
	s, reserved := u.slots[key]
	if !reserved {
		return
	}
	s.repeatedOn = ""
	if m := mt.byID[machine]; m.State == workload.MachineUp {
		s.repeatedOn = m.Worker
	}
	u.slots[key] = s
}

var errNoSlot = errors.New("all slots of the wave are reserved")

// reserveSlot reserves a free slot of the wave for a machine and orders its upkeep.
func (u *upkeeps) reserveSlot(ctx context.Context, w workload.Wave, m workload.Machine) error {
	s := slot{Machine: m.ID, Pool: u.pool.name, Worker: m.Worker}
	value, err := json.Marshal(s)
	if err != nil {
		return fmt.Errorf("encode slot: %w", err)
	}
	for n := range w.MaxDown {
		key := slotKey(w.ID, n)
		u.mu.Lock()
		_, reserved := u.slots[key]
		u.mu.Unlock()
		if reserved {
			continue
		}
		fence, err := u.pool.machines.claim(ctx, m.ID, u.pool.name, u.upkeepOrder(), store.Transaction{
			If: []store.Condition{{Key: key}}, Put: []store.Write{{Key: key, Value: value}},
		})
		if errors.Is(err, errClaimConflict) {
			continue
		}
		if err != nil {
			return err
		}
		held := reservedSlot{slot: s, revision: store.Revision(fence), since: u.pool.node.Clock.Now()}
		u.mu.Lock()
		u.slots[key] = held
		u.mu.Unlock()
		u.order(ctx, w, key, held, fence)
		return nil
	}
	return errNoSlot
}

// upkeepOrder returns the value of a machine's key for an upkeep order of this holder, which leaves the machine in the pool.
func (u *upkeeps) upkeepOrder() machineOrder {
	return machineOrder{Node: u.pool.node.Settings.Node, Pool: u.pool.name, Kind: orderUpkeep}
}

// order orders the upkeep of a machine that has a slot; the platform also accepts an order that it has already carried out.
func (u *upkeeps) order(ctx context.Context, w workload.Wave, key string, s reservedSlot, fence uint64) {
	if !u.pool.active() {
		// The duty may have been lost since the slot was reserved, and not every platform rejects an older fencing token.
		return
	}
	now := u.pool.node.Clock.Now()
	u.pool.mu.Lock()
	load := u.pool.scheduler.MachineLoad(s.Machine, s.Worker, now)
	var incarnation dispatch.WorkerIncarnation
	var known bool
	if load.Allowed {
		s.Worker = cmp.Or(load.Worker, s.Worker)
		u.pool.scheduler.Cordon(s.Worker, true)
		incarnation, known = u.pool.scheduler.CurrentIncarnation(s.Worker)
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
	switch effectOf(outcome, err) {
	case notCarriedOut:
		u.refused(s.slot)
	case effectUnknown:
		if known {
			u.awaitEnd(incarnation)
		}
	case carriedOut:
		u.mu.Lock()
		if held, ok := u.slots[key]; ok {
			held.orderedAt = u.pool.node.Clock.Now()
			u.slots[key] = held
		}
		u.mu.Unlock()
		if known {
			u.confirmEnd(ctx, incarnation)
		}
	}
}

// refused applies that the platform has certainly not carried out the upkeep order for a slot.
func (u *upkeeps) refused(s slot) {
	u.pool.machines.avoidFor(s.Machine, upkeepBackoff)
	u.uncordon(s.Worker)
}
