package node

import (
	"context"
	"errors"
	"time"

	"verbenalanding.example/fleet/workload"
)

var (
	errNotInPool    = errors.New("machine is not in the pool from which it is ordered")
	errPlaceUnknown = errors.New("pool of the machine is not known: its last order may have been carried out or not")
)

// orderSettled is how long after an order for a machine the list of machines shows its outcome, also if it was not answered: an order is given up
// after machineTimeout, and the list may lag behind.
const orderSettled = machineTimeout + listLag

// place says whether a machine is in a pool.
type place int

const (
	placeUnknown place = iota
	placeHere
	placeElsewhere
)

// placeOf returns whether a machine is in a pool. What the last order says is not taken for its outcome; the lock must be held.
func (mt *machineTracker) placeOf(id, pool string) place {
	o, ordered := mt.orders[id]
	registeredSince := mt.registeredAfter(id, pool, o.seenAt)
	m, listed := mt.byID[id]
	switch {
	case ordered && o.Pool == pool && (o.Kind == orderUpkeep || registeredSince):
		// An upkeep is claimed only in the machine's own pool.
		return placeHere
	case !ordered && registeredSince:
		return placeHere
	case mt.listedAt.IsZero() || (ordered && mt.listedAt.Sub(o.seenAt) < settledAfter(o, pool)):
		return placeUnknown
	case m.State == workload.MachineUnknown || (!listed && mt.listPartial):
		return placeUnknown
	case listed && m.Pool == pool:
		return placeHere
	}
	return placeElsewhere
}

// settledAfter returns how long after an order a list of machines shows whether the machine is in a pool. One that shows it in the pool to which
// it was ordered is believed once it shows all orders before this one.
func settledAfter(o lastOrder, pool string) time.Duration {
	if o.Pool == pool {
		return listLag
	}
	return orderSettled
}

// registeredAfter reports whether a worker of a machine was seen to register in the tracker's pool after an order that was seen at a time had moved
// it there. A registration outlives its worker by some heartbeats, so one that was seen earlier may be from before the order.
func (mt *machineTracker) registeredAfter(id, pool string, orderedAt time.Time) bool {
	newest := mt.incarnations[id]
	if pool != mt.pool.name || newest.worker == "" {
		return false
	}
	return orderedAt.IsZero() || newest.seenAt.Sub(orderedAt) >= mt.pool.node.Settings.Bounds.Move-earlyReturnMargin
}

// checkPlace returns an error unless a machine is in a pool. It requests the list of machines if a newer one may show that.
func (mt *machineTracker) checkPlace(ctx context.Context, id, pool string) error {
	if mt.lockedPlaceOf(id, pool) == placeUnknown {
		mt.refresh(ctx, listLag)
	}
	switch mt.lockedPlaceOf(id, pool) {
	case placeHere:
		return nil
	case placeElsewhere:
		return errNotInPool
	}
	return errPlaceUnknown
}

// lockedPlaceOf acquires the lock and calls placeOf.
func (mt *machineTracker) lockedPlaceOf(id, pool string) place {
	mt.mu.Lock()
	defer mt.mu.Unlock()
	return mt.placeOf(id, pool)
}
