package days

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"verbenalanding.example/platform/standin"
)

// fault is drawn before the day; run plays it.
type fault struct {
	at    time.Duration
	lasts time.Duration
	// kind is the row of the table that the fault counts in, what tells the rest.
	kind, what string
	run        func(ctx context.Context, d *day)
}

// The kinds of fault.
const (
	nodeKilled        = "nodeKilled"
	nodePaused        = "nodePaused"
	nodesStopped      = "nodesStoppedInTurn"
	allNodesLost      = "allNodesLost"
	holderKilled      = "holderKilled"
	holderPaused      = "holderPaused"
	holderStopped     = "holderStopped"
	holdersLost       = "holdersLostInTurn"
	holderCutReborn   = "holderCutWorkersReborn"
	storeDown         = "storeDown"
	storeDownForSome  = "storeDownForSome"
	storeLoses        = "storeLosesAnswers"
	storeLate         = "storeWritesLate"
	storeSlow         = "storeSlow"
	storeForgets      = "storeForgets"
	nodesCut          = "nodesCut"
	storeCut          = "storeCut"
	workersCut        = "workersCut"
	workerReborn      = "workerReborn"
	workerCrashed     = "workerCrashed"
	workerCutReborn   = "workerCutAndReborn"
	startsLate        = "startsLate"
	answersLost       = "workerAnswersLost"
	registrationsGone = "registrationsLapse"
	machineLost       = "machineLost"
	connectionsReset  = "connectionsReset"
)

// drawFaults draws faults until the time of faults is over. Days differ in how many there are and of which groups: where holders are lost all
// the time, none waits for the end of a worker's lease.
func (s *script) drawFaults(random *rand.Rand, lasts time.Duration) {
	var draws []func(*rand.Rand, *fault)
	for len(draws) == 0 {
		for _, draw := range []func(*rand.Rand, *fault){s.drawNode, s.drawHolder, s.drawStore, s.drawCut, s.drawWorkers} {
			draws = append(draws, slices.Repeat([]func(*rand.Rand, *fault){draw}, random.IntN(mostWeight+1))...)
		}
	}
	pause := float64(leastFaultPause) * math.Pow(float64(mostFaultPause)/float64(leastFaultPause), random.Float64())
	for at := settleTime; at < lasts; at += time.Duration(random.ExpFloat64() * pause) {
		f := fault{at: at, lasts: between(random, 200*time.Millisecond, 4*time.Second)}
		if random.IntN(2) == 0 {
			// Longer than the leases of workers, and than those of a lost holder and of its last orders together.
			f.lasts = between(random, 3*time.Second, 9*time.Second)
		}
		draws[random.IntN(len(draws))](random, &f)
		s.faults = append(s.faults, f)
	}
}

// together are parts of a fault that overlap.
type together struct{ group errgroup.Group }

func (t *together) play(part func()) {
	t.group.Go(func() error {
		part()
		return nil
	})
}

// wait waits for the end of all parts; none fails.
func (t *together) wait() { _ = t.group.Wait() }

// mostDown is the longest time until a process that ended is started again.
const mostDown = 2500 * time.Millisecond

func (s *script) drawNode(random *rand.Rand, f *fault) {
	i, down, lasts := random.IntN(len(s.cores)), between(random, 50*time.Millisecond, mostDown), f.lasts
	gap, silent := between(random, 100*time.Millisecond, 900*time.Millisecond), random.IntN(2) == 0
	switch random.IntN(8) {
	case 0, 1, 2:
		f.kind, f.what = nodeKilled, fmt.Sprintf("n%d for %v, without power %v", i, down, silent)
		f.run = func(_ context.Context, d *day) { d.processes[i].kill(silent, down) }
	case 3, 4, 5:
		f.kind, f.what = nodePaused, fmt.Sprintf("n%d", i)
		f.run = func(ctx context.Context, d *day) { pause(ctx, d.processes[i], lasts) }
	case 6:
		order := random.Perm(len(s.cores))
		f.kind, f.what = nodesStopped, fmt.Sprintf("%v each %v", order, gap)
		f.run = func(ctx context.Context, d *day) {
			var open together
			defer open.wait()
			for _, i := range order {
				open.play(func() { d.processes[i].terminate(ctx, down) })
				if sleep(ctx, gap) != nil {
					return
				}
			}
		}
	default:
		f.kind, f.what = allNodesLost, fmt.Sprintf("for %v, without power %v", down, silent)
		f.run = func(_ context.Context, d *day) {
			for _, p := range d.processes {
				p.kill(silent, down)
			}
		}
	}
}

func pause(ctx context.Context, p *process, lasts time.Duration) {
	h := p.pause(nil, true)
	_ = sleep(ctx, lasts)
	p.pause(h, false)
}

// drawHolder draws the loss of a pool's present holder, or of each new one soon after it took the duty.
func (s *script) drawHolder(random *rand.Rand, f *fault) {
	pool, down, lasts := s.names[random.IntN(len(s.names))], between(random, 50*time.Millisecond, mostDown), f.lasts
	silent := random.IntN(2) == 0
	f.what = fmt.Sprintf("%s, down %v, without power %v", pool, down, silent)
	switch random.IntN(5) {
	case 0:
		f.kind = holderKilled
		f.run = func(_ context.Context, d *day) {
			if _, p := d.holder(pool); p != nil {
				p.kill(silent, down)
			}
		}
	case 1:
		f.kind = holderPaused
		f.run = func(ctx context.Context, d *day) {
			if _, p := d.holder(pool); p != nil {
				pause(ctx, p, lasts)
			}
		}
	case 2:
		f.kind = holderStopped
		f.run = func(ctx context.Context, d *day) {
			if _, p := d.holder(pool); p != nil {
				p.terminate(ctx, down)
			}
		}
	case 3:
		s.drawHolderCut(random, f, pool)
	default:
		var ways []int
		var waits []time.Duration
		for range 2 + random.IntN(3) {
			ways, waits = append(ways, random.IntN(3)), append(waits, between(random, 0, 2400*time.Millisecond))
		}
		f.kind, f.what = holdersLost, fmt.Sprintf("%s %v after %v", f.what, ways, waits)
		f.run = func(ctx context.Context, d *day) { d.loseHolders(ctx, pool, ways, waits, lasts, down, silent) }
	}
}

// drawHolderCut draws a holder that is cut from the store and from the other nodes, and goes on for a part of its lease beside its successor
// while workers of its pool begin new lives, which have seen no fence; some of them are cut from the other nodes.
func (s *script) drawHolderCut(random *rand.Rand, f *fault, pool string) {
	// The longer ones outlast the successor's wait for the leases of workers that it does not hear.
	lasts, wait := between(random, 2*time.Second, 12*time.Second), between(random, 500*time.Millisecond, 3*time.Second)
	var machines []string
	for _, i := range random.Perm(s.pools[pool])[:1+random.IntN(min(4, s.pools[pool]))] {
		machines = append(machines, fmt.Sprintf("m-%s-%d", pool, i))
	}
	apart := random.IntN(2) == 0
	f.lasts, f.kind = lasts, holderCutReborn
	f.what = fmt.Sprintf("%s, %v born again after %v, cut from other nodes %v", pool, machines, wait, apart)
	f.run = func(ctx context.Context, d *day) {
		_, p := d.holder(pool)
		if p == nil {
			return
		}
		holder := []netip.Addr{p.settings.IP}
		others := slices.DeleteFunc(nodeAddrs(allNodes(len(s.cores))), func(a netip.Addr) bool { return a == holder[0] })
		var open together
		defer open.wait()
		open.play(func() { d.cut(ctx, lasts, cutBoth, holder, append([]netip.Addr{storeAddr}, others...)) })
		if apart {
			open.play(func() { d.cut(ctx, lasts, cutBoth, others, d.machineAddrs(machines)) })
		}
		if sleep(ctx, wait) == nil {
			d.rebirth(machines)
		}
	}
}

// loseHolders loses the holder and each next one some time after it took the duty.
func (d *day) loseHolders(ctx context.Context, pool string, ways []int, waits []time.Duration, lasts, down time.Duration, silent bool) {
	const turnover = 5 * time.Second
	var open together
	defer open.wait()
	last := ""
	for i, way := range ways {
		var p *process
		for end := time.Now().Add(turnover); time.Now().Before(end); {
			life, holder := d.holder(pool)
			if holder != nil && life != last {
				last, p = life, holder
				break
			}
			if sleep(ctx, 5*time.Millisecond) != nil {
				return
			}
		}
		if p == nil || sleep(ctx, waits[i]) != nil {
			return
		}
		open.play(func() {
			switch way {
			case 0:
				p.kill(silent, down)
			case 1:
				pause(ctx, p, lasts)
			default:
				p.terminate(ctx, down)
			}
		})
	}
}

func (s *script) drawStore(random *rand.Rand, f *fault) {
	lasts := f.lasts
	var faults standin.Faults
	switch random.IntN(8) {
	case 0, 1:
		f.kind, faults = storeDown, standin.Faults{Refuse: true}
	case 2:
		f.kind, faults = storeLoses, standin.Faults{LoseAnswers: 0.2 + 0.6*random.Float64(), LoseReads: 0.6 * random.Float64()}
	case 3:
		f.kind, faults = storeLate, standin.Faults{DelayWrites: 0.2 + 0.6*random.Float64()}
	case 4:
		f.kind, faults = storeSlow, standin.Faults{Delay: between(random, 50*time.Millisecond, 500*time.Millisecond)}
	case 5:
		f.kind, f.what = storeForgets, "once"
		f.run = func(_ context.Context, d *day) { d.platform.Store.Compact() }
		return
	default:
		nodes := random.Perm(len(s.cores))[:1+random.IntN(len(s.cores))]
		f.kind, f.what = storeDownForSome, fmt.Sprint(nodes)
		f.run = func(ctx context.Context, d *day) {
			for _, i := range nodes {
				d.turnAway(i, 1)
			}
			_ = sleep(ctx, lasts)
			for _, i := range nodes {
				d.turnAway(i, -1)
			}
		}
		return
	}
	f.what = fmt.Sprintf("%+v", faults)
	f.run = func(ctx context.Context, d *day) {
		end := d.failStore(faults)
		_ = sleep(ctx, lasts)
		end()
	}
}

// cutBoth are the ways that a cut may close: there, back, or both.
const cutBoth = 3

func (s *script) drawCut(random *rand.Rand, f *fault) {
	lasts, ways := f.lasts, 1+random.IntN(cutBoth)
	nodes := random.Perm(len(s.cores))[:1+random.IntN(len(s.cores))]
	slices.Sort(nodes)
	switch random.IntN(5) {
	case 0:
		i := random.IntN(len(s.cores))
		f.kind, f.what = nodesCut, fmt.Sprintf("n%d from %v, ways %d", i, nodes, ways)
		f.run = func(ctx context.Context, d *day) {
			d.cut(ctx, lasts, ways, []netip.Addr{nodeAddr(i)}, nodeAddrs(nodes))
		}
	case 1:
		f.kind, f.what = storeCut, fmt.Sprintf("%v, ways %d", nodes, ways)
		f.run = func(ctx context.Context, d *day) {
			d.cut(ctx, lasts, ways, nodeAddrs(nodes), []netip.Addr{storeAddr})
		}
	case 2:
		machines := s.drawMachines(random, 2)
		f.kind, f.what = connectionsReset, fmt.Sprint(nodes, machines)
		f.run = func(_ context.Context, d *day) {
			for _, addr := range append(nodeAddrs(nodes), d.machineAddrs(machines)...) {
				d.net.reset(addr)
			}
		}
	default:
		machines := s.drawMachines(random, 6)
		if random.IntN(2) == 0 {
			nodes = allNodes(len(s.cores))
		}
		f.kind, f.what = workersCut, fmt.Sprintf("%v from %v, ways %d", machines, nodes, ways)
		f.run = func(ctx context.Context, d *day) {
			d.cut(ctx, lasts, ways, nodeAddrs(nodes), d.machineAddrs(machines))
		}
	}
}

func allNodes(n int) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = i
	}
	return list
}
