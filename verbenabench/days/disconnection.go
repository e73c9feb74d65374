package days

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

const (
	// A disconnection lasts between minDisconnection and maxDisconnection. The longer ones outlast the lease of a holder and, after it, the
	// leases of workers that the holder no longer reaches.
	minDisconnection = 4 * time.Second
	maxDisconnection = 12 * time.Second
	// maxReturnDelay is the longest time until the nodes whose keys were revoked reach the store again, which is longer than a lease of 2.5 s.
	maxReturnDelay = 4 * time.Second
	// maxStopDelay is the longest time from the loss of the store until nodes stop. It is shorter than the validity of a confirmation, 2.35 s, so
	// that a holder which does not reach these nodes until then still holds its duty.
	maxStopDelay = 2200 * time.Millisecond
	// revocationDelay is the time from the rejection of nodes to the end of their leases. Answers that were under way have arrived by then, so
	// that the nodes do not learn of it.
	revocationDelay = 20 * time.Millisecond
	// maxSplitLead is the longest time from the loss of a part of the workers to the takeover by another node, which is shorter than a worker's
	// lease of 3.5 s.
	maxSplitLead = 3 * time.Second
	// stopTime is the time that a planned stop takes.
	stopTime = 2600 * time.Millisecond
)

// storeLoss takes the store from some nodes for a time.
type storeLoss struct {
	// takeover is the time until other nodes can take the duties over.
	takeover time.Duration
	// run takes the store away. The holder with the given index, if it is not negative, is among the nodes that lose it.
	run func(ctx context.Context, d *day, holder int)
}

// drawDisconnection generates the loss of the store for most nodes. A holder without the store then relies on nodes without it, while others
// take over its duties. In most draws the holder of a pool loses the connections to a part of the workers too.
func (s *script) drawDisconnection(random *rand.Rand, f *fault) {
	f.duration = between(random, minDisconnection, maxDisconnection)
	switch random.IntN(5) {
	case 0:
		s.drawReturnOfStandby(random, f)
		return
	case 1:
		s.drawIsolation(random, f)
		return
	}
	loss := []func(*rand.Rand, *fault) storeLoss{s.drawRevocation, s.drawRestartsWithoutStore, s.drawSingleNode}[random.IntN(3)](random, f)
	if random.IntN(3) == 0 {
		f.run = func(ctx context.Context, d *day) { loss.run(ctx, d, -1) }
		return
	}
	s.drawSplitBeside(random, f, loss)
}

// drawSplitBeside adds to a loss of the store that the holder of a pool, which loses the store too, loses a part of the workers.
func (s *script) drawSplitBeside(random *rand.Rand, f *fault, loss storeLoss) {
	split, delay := s.drawSplit(random), between(random, max(0, loss.takeover-maxSplitLead), loss.takeover+time.Millisecond)
	duration := f.duration - delay
	f.kind, f.detail = holderCutFromWorkers, fmt.Sprintf("%s: %s; %v after %v", f.kind, f.detail, split, delay)
	f.run = func(ctx context.Context, d *day) {
		holder := d.holderIndex(split.pool)
		var parts parallel
		defer parts.wait()
		parts.start(func() { loss.run(ctx, d, holder) })
		if sleep(ctx, delay) == nil {
			d.splitWorkers(ctx, split, holder, duration)
		}
	}
}

// drawRevocation generates the revocation of the keys of some nodes, which reach the store again while the other nodes do not.
func (s *script) drawRevocation(random *rand.Rand, f *fault) storeLoss {
	revoked, duration := s.drawSomeNodes(random), f.duration
	cutDelay, returnDelay, revokeAll := between(random, 0, time.Second), between(random, 0, maxReturnDelay), random.IntN(2) == 0
	takeover := cutDelay + returnDelay
	f.kind = keysRevoked
	f.detail = fmt.Sprintf("%v, others lose the store after %v, revoked too %v, first ones back after %v", revoked, cutDelay, revokeAll, returnDelay)
	return storeLoss{takeover, func(ctx context.Context, d *day, holder int) {
		first := without(revoked, holder)
		var parts parallel
		defer parts.wait()
		parts.start(func() { d.loseStore(ctx, first, true, cutDelay+returnDelay) })
		if sleep(ctx, cutDelay) == nil {
			d.loseStore(ctx, without(nodeIndexes(len(s.cores)), first...), revokeAll, duration-cutDelay)
		}
	}}
}

// drawRestartsWithoutStore generates stops of nodes before or after all other nodes lose the store.
func (s *script) drawRestartsWithoutStore(random *rand.Rand, f *fault) storeLoss {
	f.kind = nodesRestartedWithoutStore
	if random.IntN(2) == 0 {
		return s.drawStopsBeforeLoss(random, f)
	}
	return s.drawStopsAfterLoss(random, f)
}

// drawStopsBeforeLoss generates planned stops of nodes, which have deregistered when the other nodes lose the store. These then do not know the
// nodes that start again.
func (s *script) drawStopsBeforeLoss(random *rand.Rand, f *fault) storeLoss {
	stopped, revoked, duration := s.drawSomeNodes(random), random.IntN(2) == 0, f.duration
	lossDelay, down := between(random, 200*time.Millisecond, maxDowntime), between(random, 50*time.Millisecond, time.Second)
	takeover := stopTime + down
	f.detail = fmt.Sprintf("%v, others lose the store after %v, revoked %v, down %v", stopped, lossDelay, revoked, down)
	return storeLoss{takeover, func(ctx context.Context, d *day, holder int) {
		nodes := without(stopped, holder)
		var parts parallel
		defer parts.wait()
		for _, i := range nodes {
			parts.start(func() { d.processes[i].terminate(ctx, down) })
		}
		if sleep(ctx, lossDelay) == nil {
			d.loseStore(ctx, without(nodeIndexes(len(s.cores)), nodes...), revoked, duration-lossDelay)
		}
	}}
}

// drawStopsAfterLoss generates stops of nodes that alone reach the store. Most start without it. In half of the draws a holder that loses the
// store does not reach them until they stop, so that they do not report its successor.
func (s *script) drawStopsAfterLoss(random *rand.Rand, f *fault) storeLoss {
	stopped, revoked, duration := s.drawSomeNodes(random), random.IntN(2) == 0, f.duration
	stopDelay, down := between(random, 200*time.Millisecond, maxStopDelay), between(random, 50*time.Millisecond, time.Second)
	killed, startsWithStore, partitioned := random.IntN(2) == 0, random.IntN(4) == 0, random.IntN(2) == 0
	const takeover = 100 * time.Millisecond
	f.detail = fmt.Sprintf("%v, stopped %v after others lost the store, revoked %v, killed %v, down %v, with the store at the start %v, partitioned from holder %v",
		stopped, stopDelay, revoked, killed, down, startsWithStore, partitioned)
	return storeLoss{takeover, func(ctx context.Context, d *day, holder int) {
		nodes := without(stopped, holder)
		var parts parallel
		defer parts.wait()
		parts.start(func() { d.loseStore(ctx, without(nodeIndexes(len(s.cores)), nodes...), revoked, duration) })
		if partitioned && holder >= 0 {
			parts.start(func() { d.partition(ctx, stopDelay, bothDirections, []netip.Addr{nodeAddr(holder)}, nodeAddrs(nodes)) })
		}
		if sleep(ctx, stopDelay) != nil {
			return
		}
		for _, i := range nodes {
			parts.start(func() { d.stopNode(ctx, i, killed, down) })
		}
		if !startsWithStore {
			d.loseStore(ctx, nodes, false, duration-stopDelay)
		}
	}}
}

func (d *day) stopNode(ctx context.Context, i int, killed bool, down time.Duration) {
	if killed {
		d.processes[i].kill(false, down)
		return
	}
	d.processes[i].terminate(ctx, down)
}

// drawSingleNode generates the loss of the store for all nodes but one, and in half of the draws for all but another one after that.
func (s *script) drawSingleNode(random *rand.Rand, f *fault) storeLoss {
	served, duration := random.Perm(len(s.cores))[:1+random.IntN(2)], f.duration
	const takeover = time.Second
	f.kind, f.detail = storeServesOne, fmt.Sprintf("%v in turn", served)
	return storeLoss{takeover, func(ctx context.Context, d *day, holder int) {
		for _, i := range served {
			nodes := without(nodeIndexes(len(s.cores)), i)
			if i == holder {
				nodes = without(nodeIndexes(len(s.cores)), (i+1)%len(s.cores))
			}
			d.loseStore(ctx, nodes, false, duration/time.Duration(len(served)))
		}
	}}
}

// drawReturnOfStandby generates the revocation of a standby's keys, after which all other nodes lose the store and the holder a part of its
// workers. The standby reaches the store again and takes over from a holder that other nodes confirm.
func (s *script) drawReturnOfStandby(random *rand.Rand, f *fault) {
	split, standby, duration := s.drawSplit(random), random.IntN(len(s.cores)), f.duration
	cutDelay, returnDelay := between(random, 200*time.Millisecond, time.Second), between(random, 0, maxReturnDelay)
	splitDelay, revokeAll := between(random, 0, returnDelay+time.Millisecond), random.IntN(2) == 0
	partitioned := random.IntN(2) == 0
	f.kind = standbyReturns
	f.detail = fmt.Sprintf("n%d, others lose the store after %v, revoked too %v, back after %v; %v after %v, partitioned from holder %v",
		standby, cutDelay, revokeAll, returnDelay, split, splitDelay, partitioned)
	f.run = func(ctx context.Context, d *day) {
		holder := d.holderIndex(split.pool)
		if holder < 0 {
			return
		}
		standby := standby
		if standby == holder {
			standby = (holder + 1) % len(s.cores)
		}
		var parts parallel
		defer parts.wait()
		parts.start(func() { d.loseStore(ctx, []int{standby}, true, cutDelay+returnDelay) })
		if sleep(ctx, cutDelay) != nil {
			return
		}
		parts.start(func() { d.loseStore(ctx, without(nodeIndexes(len(s.cores)), standby), revokeAll, duration-cutDelay) })
		if partitioned {
			parts.start(func() {
				d.partition(ctx, duration-cutDelay, bothDirections, []netip.Addr{nodeAddr(standby)}, []netip.Addr{nodeAddr(holder)})
			})
		}
		if sleep(ctx, splitDelay) == nil {
			d.splitWorkers(ctx, split, holder, duration-cutDelay)
		}
	}
}

// workerSplit divides the workers of a pool: the holder is partitioned from the first part, all other nodes are from the second one.
type workerSplit struct {
	pool          string
	first, second []string
}

// String describes the split.
func (w *workerSplit) String() string { return fmt.Sprintf("holder of %s without %v", w.pool, w.first) }

// drawSplit divides the workers of a pool into halves.
func (s *script) drawSplit(random *rand.Rand) *workerSplit {
	w := &workerSplit{pool: s.poolNames[random.IntN(len(s.poolNames))]}
	for k, i := range random.Perm(s.pools[w.pool]) {
		machine := fmt.Sprintf("m-%s-%d", w.pool, i)
		if k%2 == 0 {
			w.first = append(w.first, machine)
		} else {
			w.second = append(w.second, machine)
		}
	}
	slices.Sort(w.first)
	return w
}

// splitWorkers partitions a holder from the first part of a pool's workers and all other nodes from the second part.
func (d *day) splitWorkers(ctx context.Context, w *workerSplit, holder int, duration time.Duration) {
	if holder < 0 {
		return
	}
	others := nodeAddrs(without(nodeIndexes(len(d.processes)), holder))
	var parts parallel
	defer parts.wait()
	parts.start(func() {
		d.partition(ctx, duration, bothDirections, []netip.Addr{nodeAddr(holder)}, d.machineAddrs(w.first))
	})
	parts.start(func() { d.partition(ctx, duration, bothDirections, others, d.machineAddrs(w.second)) })
}

// loseStore makes the store reject nodes for a time. If revoked is true, their leases end soon after its start.
func (d *day) loseStore(ctx context.Context, nodes []int, revoked bool, duration time.Duration) {
	for _, i := range nodes {
		d.rejectNode(i, 1)
	}
	_ = sleep(ctx, min(revocationDelay, duration))
	if revoked {
		for _, i := range nodes {
			d.processes[i].gate.EndLeases()
		}
	}
	_ = sleep(ctx, duration-revocationDelay)
	for _, i := range nodes {
		d.rejectNode(i, -1)
	}
}

// holderIndex returns the index of the node that holds a pool's duty according to the store, or -1 if there is none.
func (d *day) holderIndex(pool string) int {
	_, p := d.holder(pool)
	return slices.Index(d.processes, p)
}

// drawSomeNodes returns at least one node, but not all.
func (s *script) drawSomeNodes(random *rand.Rand) []int {
	nodes := random.Perm(len(s.cores))[:1+random.IntN(len(s.cores)-1)]
	slices.Sort(nodes)
	return nodes
}

// without returns the nodes that are not excluded.
func without(nodes []int, excluded ...int) []int {
	return slices.DeleteFunc(slices.Clone(nodes), func(i int) bool { return slices.Contains(excluded, i) })
}
