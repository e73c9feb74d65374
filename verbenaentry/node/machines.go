package node

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"verbenalanding.example/fleet/sizing"
	"verbenalanding.example/fleet/store"
	"verbenalanding.example/fleet/workload"
)

// machinePrefix is the prefix of the keys that hold the last order for each machine. The revision of such a key is the fencing token of the
// order, so that tokens increase across all holders.
const machinePrefix = "machine/"

const (
	// orderGapMargin is added to the minimum time between orders of different holders for the same machine.
	orderGapMargin = 300 * time.Millisecond
	// machineTimeout is the timeout of an upkeep order.
	machineTimeout = 1500 * time.Millisecond
	// upkeepBackoff is how long a machine gets no further order after the platform has refused one for its upkeep: a machine that is leaving is
	// busy until the list of machines no longer names it.
	upkeepBackoff = 500 * time.Millisecond
)

// machineOrder is the value of a machine's key.
type machineOrder struct {
	Node string `json:"node"`
	// Pool is the machine's pool after the order.
	Pool string `json:"pool"`
	Kind string `json:"what"`
}

// lastOrder is the last order for a machine and when this holder first read it.
type lastOrder struct {
	machineOrder
	revision store.Revision
	seenAt   time.Time
}

// machineTracker tracks the platform's machines, the last order for each, and the shortages of other pools. Lock order: the pool's lock,
// then that of its upkeeps, then this one.
type machineTracker struct {
	pool *pool

	mu     sync.Mutex
	orders map[string]lastOrder
	byID   map[string]workload.Machine
	// listedAt is when the present list was requested, triedAt when one was last requested.
	listedAt, triedAt time.Time
	// listFailed is true if the last request for the list of machines failed, listPartial if the list lacks machines.
	listFailed, listPartial bool
	// incarnations holds, for each machine, the newest worker that registered in the pool.
	incarnations map[string]incarnation
	// avoidUntil holds, for each machine that did not accept an order, the time until which it gets no further one.
	avoidUntil    map[string]time.Time
	poolShortages map[string]sizing.Shortage
}

// incarnation is a registered worker and the time at which its registration was first seen.
type incarnation struct {
	worker string
	seenAt time.Time
}

var (
	errTooSoon       = errors.New("another holder has recently given an order for the machine")
	errClaimConflict = errors.New("key of the machine, slot or duty has changed in the store")
)

func newMachineTracker(p *pool) *machineTracker {
	return &machineTracker{
		pool: p, orders: map[string]lastOrder{}, byID: map[string]workload.Machine{}, incarnations: map[string]incarnation{}, avoidUntil: map[string]time.Time{},
		poolShortages: map[string]sizing.Shortage{},
	}
}

// apply applies changes of the orders for machines in the store.
func (mt *machineTracker) apply(events []store.Event, _ bool) {
	now := mt.pool.node.Clock.Now()
	mt.mu.Lock()
	defer mt.mu.Unlock()
	for _, e := range events {
		id := strings.TrimPrefix(e.Entry.Key, machinePrefix)
		if e.Deleted {
			delete(mt.orders, id)
			continue
		}
		if mt.orders[id].revision >= e.Entry.Revision {
			continue
		}
		o := lastOrder{revision: e.Entry.Revision, seenAt: now}
		if err := json.Unmarshal(e.Entry.Value, &o.machineOrder); err != nil {
			mt.pool.log.Error().Err(err).Str("machine", id).Msg("order for a machine cannot be decoded")
		}
		mt.orders[id] = o
	}
}

// registered records the newest worker of a machine.
func (mt *machineTracker) registered(w workload.Worker) {
	mt.mu.Lock()
	defer mt.mu.Unlock()
	if w.Machine != "" && mt.incarnations[w.Machine].worker != w.ID {
		mt.incarnations[w.Machine] = incarnation{w.ID, mt.pool.node.Clock.Now()}
	}
}

// get returns a machine from the list, with the pool of the last order if the list may not show it yet; the lock must be held.
func (mt *machineTracker) get(id string) (workload.Machine, bool) {
	m, ok := mt.byID[id]
	if !ok {
		return m, false
	}
	if o, ordered := mt.orders[id]; ordered && mt.listedAt.Sub(o.seenAt) < listLag {
		if m.Pool != o.Pool {
			m.State = workload.MachineMoving
		}
		m.Pool = o.Pool
	}
	if newest := mt.incarnations[id]; newest.worker != "" && m.Pool == mt.pool.name {
		m.Worker = newest.worker
	}
	return m, true
}

// orderable reports whether this holder may give an order for a machine now; the lock must be held.
func (mt *machineTracker) orderable(id string, now time.Time) bool {
	if now.Before(mt.avoidUntil[id]) {
		return false
	}
	o, ordered := mt.orders[id]
	return !ordered || o.Node == mt.pool.node.Settings.Node || now.Sub(o.seenAt) >= mt.pool.node.Settings.Bounds.OrderGap+orderGapMargin
}

// orderableIn returns the machines of a pool that are up and may get an order now.
func (mt *machineTracker) orderableIn(pool string, now time.Time) []string {
	mt.mu.Lock()
	defer mt.mu.Unlock()
	var ids []string
	for id := range mt.byID {
		m, _ := mt.get(id)
		if m.Pool == pool && m.State == workload.MachineUp && mt.orderable(id, now) {
			ids = append(ids, id)
		}
	}
	return ids
}

// claim records an order for a machine of a pool in the store, together with other changes, and returns the order's fencing token. The store takes
// it only while the last order is the one by which the machine is known to be in that pool.
func (mt *machineTracker) claim(ctx context.Context, id, from string, o machineOrder, t store.Transaction) (uint64, error) {
	if err := mt.checkPlace(ctx, id, from); err != nil {
		return 0, err
	}
	now := mt.pool.node.Clock.Now()
	mt.mu.Lock()
	allowed, last, known := mt.orderable(id, now), mt.orders[id], mt.placeOf(id, from) == placeHere
	mt.mu.Unlock()
	if !allowed {
		return 0, errTooSoon
	}
	if !known {
		return 0, errPlaceUnknown
	}
	value, err := json.Marshal(o)
	if err != nil {
		return 0, err
	}
	t.If = append(t.If, mt.pool.dutyCondition(), store.Condition{Key: machinePrefix + id, Revision: last.revision})
	t.Put = append(t.Put, store.Write{Key: machinePrefix + id, Value: value})
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	revision, _, err := mt.pool.node.Store.Apply(ctx, t)
	if errors.Is(err, store.ErrConflict) {
		return 0, errClaimConflict
	}
	if err != nil {
		return 0, err
	}
	mt.pool.node.claimedOrders.record(id, uint64(revision))
	mt.mu.Lock()
	defer mt.mu.Unlock()
	if mt.orders[id].revision < revision {
		mt.orders[id] = lastOrder{machineOrder: o, revision: revision, seenAt: mt.pool.node.Clock.Now()}
	}
	return uint64(revision), nil
}

// incoming returns the machines that were ordered to move to the pool and may not have arrived yet.
func (mt *machineTracker) incoming(now time.Time) []string {
	mt.mu.Lock()
	defer mt.mu.Unlock()
	var ids []string
	for id, o := range mt.orders {
		if o.Pool == mt.pool.name && o.Kind == orderMove && now.Sub(o.seenAt) < mt.pool.node.Settings.Bounds.Move+arrivalMargin && now.After(mt.avoidUntil[id]) {
			ids = append(ids, id)
		}
	}
	return ids
}

// mayOrder acquires the lock and calls orderable.
func (mt *machineTracker) mayOrder(id string, now time.Time) bool {
	mt.mu.Lock()
	defer mt.mu.Unlock()
	return mt.orderable(id, now)
}

// applyShortages applies the shortages that other pools report.
func (mt *machineTracker) applyShortages(events []store.Event, _ bool) {
	now := mt.pool.node.Clock.Now()
	mt.mu.Lock()
	defer mt.mu.Unlock()
	for _, e := range events {
		name := strings.TrimPrefix(e.Entry.Key, shortPrefix)
		if e.Deleted || name == mt.pool.name {
			continue
		}
		missing, err := strconv.Atoi(string(e.Entry.Value))
		if err != nil {
			mt.pool.log.Error().Err(err).Str("key", e.Entry.Key).Msg("shortage cannot be decoded")
			continue
		}
		s := mt.poolShortages[name]
		if missing > 0 && s.Missing == 0 {
			s.Since = now
		}
		s.Pool, s.Missing, s.Last = name, missing, now
		mt.poolShortages[name] = s
	}
}

// shortageTTL is how long a reported shortage is valid unless it is reported again: its pool may be without a holder.
const shortageTTL = 6 * time.Second

// shortages returns the reported shortages of other pools, each reduced by the machines that were ordered to move there since the report.
func (mt *machineTracker) shortages(now time.Time) []sizing.Shortage {
	mt.mu.Lock()
	defer mt.mu.Unlock()
	list := make([]sizing.Shortage, 0, len(mt.poolShortages))
	for _, s := range mt.poolShortages {
		for _, o := range mt.orders {
			if o.Pool == s.Pool && o.Kind == orderMove && o.seenAt.After(s.Last) {
				s.Missing--
			}
		}
		if s.Missing < 0 || now.Sub(s.Last) > shortageTTL {
			s.Missing = 0
		}
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, c sizing.Shortage) int { return strings.Compare(a.Pool, c.Pool) })
	return list
}

// The kinds of orders for a machine.
const (
	orderMove   = "move"
	orderUpkeep = "upkeep"
)

// avoidFor blocks orders for a machine for a time.
func (mt *machineTracker) avoidFor(id string, d time.Duration) {
	mt.mu.Lock()
	defer mt.mu.Unlock()
	mt.avoidUntil[id] = mt.pool.node.Clock.Now().Add(d)
}
