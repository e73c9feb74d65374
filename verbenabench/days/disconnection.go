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
	// maxCutDelay is the longest time from the loss of the store until a holder loses a part of its workers, which is shorter than a worker's
	// lease of 3.5 s.
	maxCutDelay = 3 * time.Second
)

// storeLoss takes the store from some nodes for a time. The node with the index spared, if it is not negative, is among those that lose it.
type storeLoss func(ctx context.Context, d *day, spared int)

// drawDisconnection generates the loss of the store for most nodes. A holder without the store then relies on nodes without it, while others
// take over its duties. In most draws the holder of a pool loses the connections to a part of the workers too.
func (s *script) drawDisconnection(random *rand.Rand, f *fault) {
	f.duration = between(random, minDisconnection, maxDisconnection)
	if random.IntN(4) == 0 {
		s.drawReturnOfStandby(random, f)
		return
	}
	loss := []func(*rand.Rand, *fault) storeLoss{s.drawRevocation, s.drawRestartsWithoutStore, s.drawSingleNode}[random.IntN(3)](random, f)
	if random.IntN(3) == 0 {
		f.run = func(ctx context.Context, d *day) { loss(ctx, d, -1) }
		return
	}
	split, delay := s.drawSplit(random), between(random, 0, maxCutDelay)
	duration := f.duration - delay
	f.detail = fmt.Sprintf("%s: %s; %v after %v", f.kind, f.detail, split, delay)
	f.kind = holderCutFromWorkers
	f.run = func(ctx context.Context, d *day) {
		holder := d.holderIndex(split.pool)
		var parts parallel
		defer parts.wait()
		parts.start(func() { loss(ctx, d, holder) })
		if sleep(ctx, delay) == nil {
			d.splitWorkers(ctx, split, holder, duration)
		}
	}
}

// drawRevocation generates the revocation of the keys of some nodes, which reach the store again while the other nodes do not.
func (s *script) drawRevocation(random *rand.Rand, f *fault) storeLoss {
	revoked, duration := s.drawSomeNodes(random), f.duration
	cutDelay, returnDelay, revokeAll := between(random, 0, time.Second), between(random, 0, maxReturnDelay), random.IntN(2) == 0
	f.kind = keysRevoked
	f.detail = fmt.Sprintf("%v, others lose the store after %v, revoked too %v, first ones back after %v", revoked, cutDelay, revokeAll, returnDelay)
	return func(ctx context.Context, d *day, spared int) {
		first := without(revoked, spared)
		var parts parallel
		defer parts.wait()
		parts.start(func() { d.loseStore(ctx, first, true, cutDelay+returnDelay) })
		if sleep(ctx, cutDelay) == nil {
			d.loseStore(ctx, without(nodeIndexes(len(s.cores)), first...), revokeAll, duration-cutDelay)
		}
	}
}

// drawRestartsWithoutStore generates stops of nodes while the other nodes do not reach the store. In half of the draws the stopped nodes
// start without the store too.
func (s *script) drawRestartsWithoutStore(random *rand.Rand, f *fault) storeLoss {
	stopped, duration, down := s.drawSomeNodes(random), f.duration, between(random, 50*time.Millisecond, maxDowntime)
	wait, killed, startsWithStore := between(random, 0, maxReturnDelay), random.IntN(2) == 0, random.IntN(2) == 0
	f.kind = nodesRestartedWithoutStore
	f.detail = fmt.Sprintf("%v after %v for %v, killed %v, with the store at the start %v", stopped, wait, down, killed, startsWithStore)
	return func(ctx context.Context, d *day, spared int) {
		nodes := without(stopped, spared)
		var parts parallel
		defer parts.wait()
		parts.start(func() { d.loseStore(ctx, without(nodeIndexes(len(s.cores)), nodes...), false, duration) })
		if sleep(ctx, wait) != nil {
			return
		}
		for _, i := range nodes {
			parts.start(func() { d.stopNode(ctx, i, killed, down) })
		}
		if !startsWithStore {
			d.loseStore(ctx, nodes, false, duration-wait)
		}
	}
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
	f.kind, f.detail = storeServesOne, fmt.Sprintf("%v in turn", served)
	return func(ctx context.Context, d *day, spared int) {
		for _, i := range served {
			nodes := without(nodeIndexes(len(s.cores)), i)
			if i == spared {
				nodes = without(nodeIndexes(len(s.cores)), (i+1)%len(s.cores))
			}
			d.loseStore(ctx, nodes, false, duration/time.Duration(len(served)))
		}
	}
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

// loseStore makes the store reject nodes for a time. If revoked is true, their leases end at its start.
func (d *day) loseStore(ctx context.Context, nodes []int, revoked bool, duration time.Duration) {
	for _, i := range nodes {
		d.rejectNode(i, 1)
		if revoked {
			d.processes[i].gate.EndLeases()
		}
	}
	_ = sleep(ctx, duration)
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
