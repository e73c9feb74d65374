package days

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// isolation takes the holder of a pool and the nodes that confirm it from the store and from all other nodes at one moment, so that no other node
// learns whether they run.
type isolation struct {
	pool string
	// lost nodes reach no worker either. Otherwise they reach all workers, or those of split that others do not reach.
	lost  bool
	split *workerSplit
}

// String describes the isolation.
func (i *isolation) String() string {
	switch {
	case i.lost:
		return fmt.Sprintf("holder of %s and its witnesses, lost", i.pool)
	case i.split != nil:
		return fmt.Sprintf("holder of %s and its witnesses, others without %v", i.pool, i.split.second)
	}
	return fmt.Sprintf("holder of %s and its witnesses, all reach the workers", i.pool)
}

// drawIsolation generates the isolation of a holder and its witnesses.
func (s *script) drawIsolation(random *rand.Rand, f *fault) {
	i := &isolation{pool: s.poolNames[random.IntN(len(s.poolNames))]}
	switch random.IntN(3) {
	case 0:
		i.lost = true
	case 1:
		i.split = s.drawSplit(random)
		i.pool = i.split.pool
	}
	revoked, duration := random.IntN(2) == 0, f.duration
	f.kind, f.detail = holderIsolated, fmt.Sprintf("%v, revoked %v", i, revoked)
	f.run = func(ctx context.Context, d *day) { d.isolate(ctx, i, revoked, duration) }
}

// isolate isolates the present holder of a pool with its witnesses for a time. Nothing happens if that leaves no other node.
func (d *day) isolate(ctx context.Context, i *isolation, revoked bool, duration time.Duration) {
	isolated := d.confirming(i.pool)
	others := without(nodeIndexes(len(d.processes)), isolated...)
	if len(isolated) == 0 || len(others) == 0 {
		return
	}
	d.note("isolated %v", isolated)
	var parts parallel
	defer parts.wait()
	parts.start(func() { d.loseStore(ctx, isolated, revoked, duration) })
	parts.start(func() { d.partition(ctx, duration, bothDirections, nodeAddrs(isolated), nodeAddrs(others)) })
	switch {
	case i.lost:
		parts.start(func() { d.partition(ctx, duration, bothDirections, nodeAddrs(isolated), d.workerAddrs()) })
	case i.split != nil:
		parts.start(func() {
			d.partition(ctx, duration, bothDirections, nodeAddrs(isolated), d.machineAddrs(i.split.first))
		})
		parts.start(func() { d.partition(ctx, duration, bothDirections, nodeAddrs(others), d.machineAddrs(i.split.second)) })
	}
}

// confirming returns the holder of a pool and its witnesses, as the store names them.
func (d *day) confirming(pool string) []int {
	value, ok := d.platform.Store.Get("control/witnesses/" + pool)
	var record struct {
		Holder    struct{ Node string }
		Witnesses []struct{ Node string }
	}
	if !ok || json.Unmarshal(value, &record) != nil {
		return nil
	}
	names := []string{record.Holder.Node}
	for _, w := range record.Witnesses {
		names = append(names, w.Node)
	}
	var list []int
	for i, p := range d.processes {
		if slices.Contains(names, p.settings.Node) {
			list = append(list, i)
		}
	}
	return list
}

// workerAddrs returns the addresses of all workers.
func (d *day) workerAddrs() []netip.Addr {
	var machines []string
	for pool, n := range d.script.pools {
		for i := range n {
			machines = append(machines, fmt.Sprintf("m-%s-%d", pool, i))
		}
	}
	slices.Sort(machines)
	return d.machineAddrs(machines)
}
