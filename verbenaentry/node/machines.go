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

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/sizing"
	"verbenalanding.example/fleet/store"
	"verbenalanding.example/fleet/workload"
)

// machinePrefix is the prefix of the keys that hold the last order for each machine. The revision of such a key is the fencing
// token of the order, so that tokens rise over all holders.
const machinePrefix = "machine/"

const (
	// gapMargin is added to the pause that must lie between the orders of two holders to one machine.
	gapMargin = 300 * time.Millisecond
	// machineTimeout bounds a list of the machines and an order for an upkeep.
	machineTimeout = 1500 * time.Millisecond
)

// machineOrder is the value of a machine's key.
type machineOrder struct {
	Node string `json:"node"`
	// Pool is where the machine is after the order.
	Pool string `json:"pool"`
	What string `json:"what"`
}

type seenOrder struct {
	machineOrder
	revision store.Revision
	seen     time.Time
}

// machineBook knows the platform's machines and the last order for each. Its lock is the innermost one: that of the pool comes before that
// of its waves, and both before this one.
type machineBook struct {
	pool *pool

	mu     sync.Mutex
	orders map[string]seenOrder
	list   map[string]workload.Machine
	listed time.Time
	// failed is true when the last attempt to list the machines failed.
	failed bool
	// lives holds the newest worker of each machine that registered in the pool.
	lives map[string]life
	// avoid holds until when a machine that refused an order is left alone.
	avoid map[string]time.Time
	short map[string]sizing.Shortage
}

// life is a worker as it registered, and when that was first seen.
type life struct {
	worker string
	seen   time.Time
}

var (
	errTooSoon = errors.New("another holder gave an order for the machine a moment ago")
	errTaken   = errors.New("another holder gives an order for the machine")
)

func newMachineBook(p *pool) *machineBook {
	return &machineBook{
		pool: p, orders: map[string]seenOrder{}, list: map[string]workload.Machine{}, lives: map[string]life{}, avoid: map[string]time.Time{},
		short: map[string]sizing.Shortage{},
	}
}

func (b *machineBook) apply(events []store.Event, _ bool) {
	now := b.pool.node.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range events {
		id := strings.TrimPrefix(e.Entry.Key, machinePrefix)
		if e.Deleted {
			delete(b.orders, id)
			continue
		}
		if b.orders[id].revision >= e.Entry.Revision {
			continue
		}
		o := seenOrder{revision: e.Entry.Revision, seen: now}
		if err := json.Unmarshal(e.Entry.Value, &o.machineOrder); err != nil {
			b.pool.log.Error().Err(err).Str("machine", id).Msg("order for a machine cannot be read")
		}
		b.orders[id] = o
	}
}

// registered takes note of the newest worker of a machine.
func (b *machineBook) registered(w workload.Worker) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if w.Machine != "" && b.lives[w.Machine].worker != w.ID {
		b.lives[w.Machine] = life{w.ID, b.pool.node.Clock.Now()}
	}
}

// refresh lists the platform's machines when the list is older than age.
func (b *machineBook) refresh(ctx context.Context, age time.Duration) {
	now := b.pool.node.Clock.Now()
	b.mu.Lock()
	fresh := now.Sub(b.listed) < age
	b.mu.Unlock()
	if fresh {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, machineTimeout)
	defer cancel()
	list, err := b.pool.node.Machines.List(ctx)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.listed, b.failed = now, err != nil
	if err != nil {
		b.pool.log.Warn().Err(err).Msg("machines not listed")
		return
	}
	clear(b.list)
	for _, m := range list {
		b.list[m.ID] = m
	}
}

// gone returns those of some workers which the platform's list proves to have ended; known is false when no list could be read that was asked for
// at a time or later.
func (b *machineBook) gone(workers []dispatch.WorkerIncarnation, asked time.Time) (gone []workload.Worker, known bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failed || b.listed.Before(asked) {
		return nil, false
	}
	for _, w := range workers {
		if m, listed := b.list[w.Machine]; absent(w, m, listed, asked) {
			gone = append(gone, w.Worker)
		}
	}
	return gone, true
}

// listLag is how long the list of machines may lag behind: it shows an order, and a worker that registered, from that age on.
const listLag = time.Second

// get returns a machine with the pool in which the last order or the list shows it; the lock must be held.
func (b *machineBook) get(id string) (workload.Machine, bool) {
	m, ok := b.list[id]
	if !ok {
		return m, false
	}
	if o, ordered := b.orders[id]; ordered && b.listed.Sub(o.seen) < listLag {
		if m.Pool != o.Pool {
			m.State = workload.MachineMoving
		}
		m.Pool = o.Pool
	}
	if l := b.lives[id]; l.worker != "" && m.Pool == b.pool.name {
		m.Worker = l.worker
	}
	return m, true
}

// free reports whether this holder may give an order for a machine now; the lock must be held.
func (b *machineBook) free(id string, now time.Time) bool {
	if now.Before(b.avoid[id]) {
		return false
	}
	o, ordered := b.orders[id]
	return !ordered || o.Node == b.pool.node.Settings.Node || now.Sub(o.seen) >= b.pool.node.Settings.Bounds.OrderGap+gapMargin
}

// upIn returns the machines of a pool that are up and may be ordered now.
func (b *machineBook) upIn(pool string, now time.Time) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ids []string
	for id := range b.list {
		m, _ := b.get(id)
		if m.Pool == pool && m.State == workload.MachineUp && b.free(id, now) {
			ids = append(ids, id)
		}
	}
	return ids
}

// claim records an order for a machine, together with other changes, and returns its fencing token.
func (b *machineBook) claim(ctx context.Context, id string, o machineOrder, t store.Transaction) (uint64, error) {
	now := b.pool.node.Clock.Now()
	b.mu.Lock()
	free, last := b.free(id, now), b.orders[id]
	b.mu.Unlock()
	if !free {
		return 0, errTooSoon
	}
	value, err := json.Marshal(o)
	if err != nil {
		return 0, err
	}
	t.If = append(t.If, b.pool.dutyCondition(), store.Condition{Key: machinePrefix + id, Revision: last.revision})
	t.Put = append(t.Put, store.Write{Key: machinePrefix + id, Value: value})
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	revision, _, err := b.pool.node.Store.Apply(ctx, t)
	if errors.Is(err, store.ErrConflict) {
		return 0, errTaken
	}
	if err != nil {
		return 0, err
	}
	b.pool.node.newest.claimed(id, uint64(revision))
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.orders[id].revision < revision {
		b.orders[id] = seenOrder{machineOrder: o, revision: revision, seen: b.pool.node.Clock.Now()}
	}
	return uint64(revision), nil
}

// incoming returns the machines that were ordered into the pool and may not have arrived.
func (b *machineBook) incoming(now time.Time) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ids []string
	for id, o := range b.orders {
		if o.Pool == b.pool.name && o.What == orderMove && now.Sub(o.seen) < b.pool.node.Settings.Bounds.Move+arriveMargin && now.After(b.avoid[id]) {
			ids = append(ids, id)
		}
	}
	return ids
}

// mayOrder reports whether this holder may give an order for a machine now.
func (b *machineBook) mayOrder(id string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.free(id, now)
}

// applyShort takes over what other pools tell of their shortage.
func (b *machineBook) applyShort(events []store.Event, _ bool) {
	now := b.pool.node.Clock.Now()
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, e := range events {
		name := strings.TrimPrefix(e.Entry.Key, shortPrefix)
		if e.Deleted || name == b.pool.name {
			continue
		}
		missing, err := strconv.Atoi(string(e.Entry.Value))
		if err != nil {
			b.pool.log.Error().Err(err).Str("key", e.Entry.Key).Msg("shortage cannot be read")
			continue
		}
		s := b.short[name]
		if missing > 0 && s.Missing == 0 {
			s.Since = now
		}
		s.Pool, s.Missing, s.Last = name, missing, now
		b.short[name] = s
	}
}

// shortageForgotten is how long a shortage holds that is not told again: its pool may be without a holder.
const shortageForgotten = 6 * time.Second

// shortages returns what other pools told, without what the orders that were seen since then bring them.
func (b *machineBook) shortages(now time.Time) []sizing.Shortage {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]sizing.Shortage, 0, len(b.short))
	for _, s := range b.short {
		for _, o := range b.orders {
			if o.Pool == s.Pool && o.What == orderMove && o.seen.After(s.Last) {
				s.Missing--
			}
		}
		if s.Missing < 0 || now.Sub(s.Last) > shortageForgotten {
			s.Missing = 0
		}
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, c sizing.Shortage) int { return strings.Compare(a.Pool, c.Pool) })
	return list
}

// What an order for a machine was.
const (
	orderMove   = "move"
	orderUpkeep = "upkeep"
)

// refused leaves a machine alone for a while.
func (b *machineBook) refused(id string, d time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.avoid[id] = b.pool.node.Clock.Now().Add(d)
}
