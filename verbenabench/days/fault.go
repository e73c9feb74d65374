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

// fault is a fault that is generated before the day starts; run injects it.
type fault struct {
	at       time.Duration
	duration time.Duration
	// kind is the row of the report in which the fault counts; detail describes it.
	kind, detail string
	run          func(ctx context.Context, d *day)
}

// The kinds of fault, as in the report.
const (
	nodeKilled                 = "nodeKilled"
	nodePaused                 = "nodePaused"
	nodesStoppedInTurn         = "nodesStoppedInTurn"
	allNodesLost               = "allNodesLost"
	holderKilled               = "holderKilled"
	holderPaused               = "holderPaused"
	holderStopped              = "holderStopped"
	holdersLostInTurn          = "holdersLostInTurn"
	holderCutWorkersRestarted  = "holderCutWorkersReborn"
	storeDown                  = "storeDown"
	storeDownForSome           = "storeDownForSome"
	storeLosesAnswers          = "storeLosesAnswers"
	storeWritesLate            = "storeWritesLate"
	storeSlow                  = "storeSlow"
	storeForgets               = "storeForgets"
	nodesCut                   = "nodesCut"
	storeCut                   = "storeCut"
	workersCut                 = "workersCut"
	workerRestarted            = "workerReborn"
	workerCrashed              = "workerCrashed"
	workerCutAndRestarted      = "workerCutAndReborn"
	startsLate                 = "startsLate"
	workerAnswersLost          = "workerAnswersLost"
	registrationsLapse         = "registrationsLapse"
	machineLost                = "machineLost"
	connectionsReset           = "connectionsReset"
	keysRevoked                = "keysRevoked"
	nodesRestartedWithoutStore = "nodesRestartedWithoutStore"
	storeServesOne             = "storeServesOne"
	holderCutFromWorkers       = "holderCutFromWorkers"
	standbyReturns             = "standbyReturns"
	holderIsolated             = "holderIsolated"
)

// drawFaults generates the faults of the given time. Their rate and the weights of their groups differ between days. If every day lost
// holders continuously, no holder would ever wait until a worker's lease expires.
func (s *script) drawFaults(random *rand.Rand, duration time.Duration) {
	var draws []func(*rand.Rand, *fault)
	for len(draws) == 0 {
		for _, draw := range []func(*rand.Rand, *fault){s.drawNode, s.drawHolder, s.drawStore, s.drawPartition, s.drawWorkers, s.drawDisconnection} {
			draws = append(draws, slices.Repeat([]func(*rand.Rand, *fault){draw}, random.IntN(maxWeight+1))...)
		}
	}
	interval := float64(minFaultInterval) * math.Pow(float64(maxFaultInterval)/float64(minFaultInterval), random.Float64())
	for at := startupTime; at < duration; at += time.Duration(random.ExpFloat64() * interval) {
		f := fault{at: at, duration: between(random, 200*time.Millisecond, 4*time.Second)}
		if random.IntN(2) == 0 {
			// Longer than the lease of a worker, and longer than the lease of a lost holder plus the worker leases of its last orders.
			f.duration = between(random, 3*time.Second, 9*time.Second)
		}
		draws[random.IntN(len(draws))](random, &f)
		s.faults = append(s.faults, f)
	}
}

// parallel runs the overlapping parts of a fault concurrently.
type parallel struct{ group errgroup.Group }

func (p *parallel) start(part func()) {
	p.group.Go(func() error {
		part()
		return nil
	})
}

// wait waits for the end of all parts. No part returns an error.
func (p *parallel) wait() { _ = p.group.Wait() }

// maxDowntime is the longest downtime of a process before its restart.
const maxDowntime = 2500 * time.Millisecond

func (s *script) drawNode(random *rand.Rand, f *fault) {
	i, down, duration := random.IntN(len(s.cores)), between(random, 50*time.Millisecond, maxDowntime), f.duration
	gap, powerLoss := between(random, 100*time.Millisecond, 900*time.Millisecond), random.IntN(2) == 0
	switch random.IntN(8) {
	case 0, 1, 2:
		f.kind, f.detail = nodeKilled, fmt.Sprintf("n%d for %v, without power %v", i, down, powerLoss)
		f.run = func(_ context.Context, d *day) { d.processes[i].kill(powerLoss, down) }
	case 3, 4, 5:
		f.kind, f.detail = nodePaused, fmt.Sprintf("n%d", i)
		f.run = func(ctx context.Context, d *day) { pause(ctx, d.processes[i], duration) }
	case 6:
		order := random.Perm(len(s.cores))
		f.kind, f.detail = nodesStoppedInTurn, fmt.Sprintf("%v each %v", order, gap)
		f.run = func(ctx context.Context, d *day) {
			var parts parallel
			defer parts.wait()
			for _, i := range order {
				parts.start(func() { d.processes[i].terminate(ctx, down) })
				if sleep(ctx, gap) != nil {
					return
				}
			}
		}
	default:
		f.kind, f.detail = allNodesLost, fmt.Sprintf("for %v, without power %v", down, powerLoss)
		f.run = func(_ context.Context, d *day) {
			for _, p := range d.processes {
				p.kill(powerLoss, down)
			}
		}
	}
}

func pause(ctx context.Context, p *process, duration time.Duration) {
	h := p.pause(nil, true)
	_ = sleep(ctx, duration)
	p.pause(h, false)
}

// drawHolder generates the loss of a pool's current holder, or of several successive holders soon after each took the duty.
func (s *script) drawHolder(random *rand.Rand, f *fault) {
	pool, down, duration := s.poolNames[random.IntN(len(s.poolNames))], between(random, 50*time.Millisecond, maxDowntime), f.duration
	powerLoss := random.IntN(2) == 0
	f.detail = fmt.Sprintf("%s, down %v, without power %v", pool, down, powerLoss)
	switch random.IntN(5) {
	case 0:
		f.kind = holderKilled
		f.run = func(_ context.Context, d *day) {
			if _, p := d.holder(pool); p != nil {
				p.kill(powerLoss, down)
			}
		}
	case 1:
		f.kind = holderPaused
		f.run = func(ctx context.Context, d *day) {
			if _, p := d.holder(pool); p != nil {
				pause(ctx, p, duration)
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
		s.drawHolderPartition(random, f, pool)
	default:
		var losses []int
		var waits []time.Duration
		for range 2 + random.IntN(3) {
			losses, waits = append(losses, random.IntN(3)), append(waits, between(random, 0, 2400*time.Millisecond))
		}
		f.kind, f.detail = holdersLostInTurn, fmt.Sprintf("%s %v after %v", f.detail, losses, waits)
		f.run = func(ctx context.Context, d *day) { d.loseHolders(ctx, pool, losses, waits, duration, down, powerLoss) }
	}
}

// drawHolderPartition generates a partition of a holder from the store and from the other nodes. The holder continues for the rest of its
// lease while its successor takes over. Workers of the pool restart during that time, so that they have no fencing token to compare with. In
// half of the draws these workers are partitioned from the other nodes too.
func (s *script) drawHolderPartition(random *rand.Rand, f *fault, pool string) {
	// The longer partitions outlast the successor's wait for the leases of workers that it cannot reach.
	duration, wait := between(random, 2*time.Second, 12*time.Second), between(random, 500*time.Millisecond, 3*time.Second)
	var machines []string
	for _, i := range random.Perm(s.pools[pool])[:1+random.IntN(min(4, s.pools[pool]))] {
		machines = append(machines, fmt.Sprintf("m-%s-%d", pool, i))
	}
	partitionedFromNodes := random.IntN(2) == 0
	f.duration, f.kind = duration, holderCutWorkersRestarted
	f.detail = fmt.Sprintf("%s, %v restarted after %v, partitioned from other nodes %v", pool, machines, wait, partitionedFromNodes)
	f.run = func(ctx context.Context, d *day) {
		_, p := d.holder(pool)
		if p == nil {
			return
		}
		holder := []netip.Addr{p.settings.IP}
		others := slices.DeleteFunc(nodeAddrs(nodeIndexes(len(s.cores))), func(a netip.Addr) bool { return a == holder[0] })
		var parts parallel
		defer parts.wait()
		parts.start(func() { d.partition(ctx, duration, bothDirections, holder, append([]netip.Addr{storeAddr}, others...)) })
		if partitionedFromNodes {
			parts.start(func() { d.partition(ctx, duration, bothDirections, others, d.machineAddrs(machines)) })
		}
		if sleep(ctx, wait) == nil {
			d.restartWorkers(machines)
		}
	}
}

// loseHolders kills, pauses or stops the holder and then each successor, each some time after it took over the duty.
func (d *day) loseHolders(ctx context.Context, pool string, losses []int, waits []time.Duration, duration, down time.Duration, powerLoss bool) {
	const takeoverTime = 5 * time.Second
	var parts parallel
	defer parts.wait()
	lastSession := ""
	for i, loss := range losses {
		var p *process
		for end := time.Now().Add(takeoverTime); time.Now().Before(end); {
			session, holder := d.holder(pool)
			if holder != nil && session != lastSession {
				lastSession, p = session, holder
				break
			}
			if sleep(ctx, 5*time.Millisecond) != nil {
				return
			}
		}
		if p == nil || sleep(ctx, waits[i]) != nil {
			return
		}
		parts.start(func() {
			switch loss {
			case 0:
				p.kill(powerLoss, down)
			case 1:
				pause(ctx, p, duration)
			default:
				p.terminate(ctx, down)
			}
		})
	}
}

func (s *script) drawStore(random *rand.Rand, f *fault) {
	duration := f.duration
	var faults standin.StoreFaults
	switch random.IntN(8) {
	case 0, 1:
		f.kind, faults = storeDown, standin.StoreFaults{Refuse: true}
	case 2:
		f.kind, faults = storeLosesAnswers, standin.StoreFaults{LoseAnswers: 0.2 + 0.6*random.Float64(), LoseReads: 0.6 * random.Float64()}
	case 3:
		f.kind, faults = storeWritesLate, standin.StoreFaults{DelayWrites: 0.2 + 0.6*random.Float64()}
	case 4:
		f.kind, faults = storeSlow, standin.StoreFaults{Delay: between(random, 50*time.Millisecond, 500*time.Millisecond)}
	case 5:
		f.kind, f.detail = storeForgets, "once"
		f.run = func(_ context.Context, d *day) { d.platform.Store.Compact() }
		return
	default:
		nodes := random.Perm(len(s.cores))[:1+random.IntN(len(s.cores))]
		f.kind, f.detail = storeDownForSome, fmt.Sprint(nodes)
		f.run = func(ctx context.Context, d *day) {
			for _, i := range nodes {
				d.rejectNode(i, 1)
			}
			_ = sleep(ctx, duration)
			for _, i := range nodes {
				d.rejectNode(i, -1)
			}
		}
		return
	}
	f.detail = fmt.Sprintf("%+v", faults)
	f.run = func(ctx context.Context, d *day) {
		end := d.failStore(faults)
		_ = sleep(ctx, duration)
		end()
	}
}

// bothDirections is the bit mask of both directions of a partition: 1 is from the group, 2 is to it.
const bothDirections = 3

func (s *script) drawPartition(random *rand.Rand, f *fault) {
	duration, directions := f.duration, 1+random.IntN(bothDirections)
	nodes := random.Perm(len(s.cores))[:1+random.IntN(len(s.cores))]
	slices.Sort(nodes)
	switch random.IntN(5) {
	case 0:
		i := random.IntN(len(s.cores))
		f.kind, f.detail = nodesCut, fmt.Sprintf("n%d from %v, directions %d", i, nodes, directions)
		f.run = func(ctx context.Context, d *day) {
			d.partition(ctx, duration, directions, []netip.Addr{nodeAddr(i)}, nodeAddrs(nodes))
		}
	case 1:
		f.kind, f.detail = storeCut, fmt.Sprintf("%v, directions %d", nodes, directions)
		f.run = func(ctx context.Context, d *day) {
			d.partition(ctx, duration, directions, nodeAddrs(nodes), []netip.Addr{storeAddr})
		}
	case 2:
		machines := s.drawMachines(random, 2)
		f.kind, f.detail = connectionsReset, fmt.Sprint(nodes, machines)
		f.run = func(_ context.Context, d *day) {
			for _, addr := range append(nodeAddrs(nodes), d.machineAddrs(machines)...) {
				d.network.resetConns(addr)
			}
		}
	default:
		machines := s.drawMachines(random, 6)
		if random.IntN(2) == 0 {
			nodes = nodeIndexes(len(s.cores))
		}
		f.kind, f.detail = workersCut, fmt.Sprintf("%v from %v, directions %d", machines, nodes, directions)
		f.run = func(ctx context.Context, d *day) {
			d.partition(ctx, duration, directions, nodeAddrs(nodes), d.machineAddrs(machines))
		}
	}
}

func nodeIndexes(n int) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = i
	}
	return list
}
