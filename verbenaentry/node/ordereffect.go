package node

import (
	"context"
	"errors"
	"maps"
	"time"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/platform"
)

// orderEffect is what is known of an order that ends a machine's worker.
type orderEffect int

const (
	// notCarriedOut orders were refused or not sent.
	notCarriedOut orderEffect = iota
	// effectUnknown orders were sent and not answered: the worker may have ended or not.
	effectUnknown
	carriedOut
)

// effectOf returns what the outcome of an order, and its error, tell.
func effectOf(outcome platform.MachineOutcome, err error) orderEffect {
	switch {
	case outcome == platform.MachineAccepted:
		return carriedOut
	case outcome == platform.MachineUnanswered && !errors.Is(err, platform.ErrWithheld):
		return effectUnknown
	}
	return notCarriedOut
}

// unconfirmedEnd is a cordoned worker of which no list of machines has shown yet whether an order has ended it. Its tasks count as unavailable
// meanwhile.
type unconfirmedEnd struct {
	dispatch.WorkerIncarnation
	// orderedAt is when the order was answered or given up. A list that was requested later may lag behind it by listLag.
	orderedAt time.Time
}

// uncordon allows starts on a worker whose order was not carried out, unless the outcome of an earlier order is not known.
func (u *upkeeps) uncordon(worker string) {
	u.pool.mu.Lock()
	defer u.pool.mu.Unlock()
	u.mu.Lock()
	_, unconfirmed := u.unconfirmed[worker]
	u.mu.Unlock()
	if !unconfirmed {
		u.pool.scheduler.Cordon(worker, false)
	}
}

// awaitEnd keeps a worker cordoned until a list of machines shows whether an unanswered order has ended it.
func (u *upkeeps) awaitEnd(incarnation dispatch.WorkerIncarnation) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.unconfirmed[incarnation.ID] = unconfirmedEnd{incarnation, u.pool.node.Clock.Now()}
}

// confirmEnd looks up whether an accepted upkeep order has ended the machine's worker: the worker keeps running if the platform had already
// carried out the order. Without a list it is looked up again by confirmEnds.
func (u *upkeeps) confirmEnd(ctx context.Context, incarnation dispatch.WorkerIncarnation) {
	end := unconfirmedEnd{incarnation, u.pool.node.Clock.Now()}
	u.pool.machines.refresh(ctx, 0)
	if u.settleEnd(end) {
		return
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.unconfirmed[incarnation.ID] = end
}

// confirmEnds looks up the workers again of which no list has shown whether an order has ended them.
func (u *upkeeps) confirmEnds(ctx context.Context) {
	u.mu.Lock()
	unconfirmed := maps.Clone(u.unconfirmed)
	u.mu.Unlock()
	if len(unconfirmed) == 0 {
		return
	}
	u.pool.machines.refresh(ctx, machineListInterval)
	for id, end := range unconfirmed {
		if u.settleEnd(end) {
			u.mu.Lock()
			delete(u.unconfirmed, id)
			u.mu.Unlock()
		}
	}
}

// outcome returns what the list of machines shows of an order that ends a worker. That the worker still runs is shown only by a list that shows the
// order.
func (mt *machineTracker) outcome(end unconfirmedEnd) listedState {
	mt.mu.Lock()
	defer mt.mu.Unlock()
	state := mt.listedStateOf(end.WorkerIncarnation, end.orderedAt)
	if state == listedRunning && mt.listedAt.Sub(end.orderedAt) < listLag {
		return listedUnknown
	}
	return state
}

// settleEnd applies what the list of machines shows of an order; it reports false if the list does not show it.
func (u *upkeeps) settleEnd(end unconfirmedEnd) bool {
	state := u.pool.machines.outcome(end)
	if state == listedUnknown {
		return false
	}
	u.pool.mu.Lock()
	if state == listedEnded {
		u.pool.scheduler.IncarnationEnded(end.Worker, "moved or in upkeep")
	}
	u.pool.scheduler.Cordon(end.ID, false)
	u.pool.mu.Unlock()
	u.pool.triggerPlan()
	return true
}
