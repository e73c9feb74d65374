package node

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"verbenalanding.example/fleet/interval"
	"verbenalanding.example/fleet/sizing"
	"verbenalanding.example/fleet/store"
	"verbenalanding.example/fleet/workload"
	"verbenalanding.example/platform"
)

// homePrefix is the prefix of the keys that hold each pool's home size: its number of machines as the operator assigned them.
const homePrefix = "home/"

// shortPrefix is the prefix of the keys that hold how many machines each pool is missing.
const shortPrefix = "short/"

const (
	sizingInterval = 100 * time.Millisecond
	// sizeListAge is the maximum age of the list of machines for moves; orders that are newer than the list are read from their keys.
	sizeListAge = 5 * time.Second
	// moveTimeout is the timeout of an order to move a machine.
	moveTimeout = time.Second
	// moveBackoff is how long a machine whose move was not accepted gets no further order.
	moveBackoff = 2 * time.Second
	// shortageInterval is the minimum time between two reports of a shortage; shortageChangeInterval applies while a reported shortage only
	// changes its size.
	shortageInterval       = 200 * time.Millisecond
	shortageChangeInterval = 300 * time.Millisecond
	// arrivalMargin is how long after the end of its move a machine may register.
	arrivalMargin = 1500 * time.Millisecond
)

// sizer moves machines between the pool and the standby pool, and lends idle machines to pools that are short of machines.
type sizer struct {
	pool    *pool
	tracker sizing.Tracker
	home    int
	// reported is the shortage that was last reported to the other pools.
	reported   int
	reportedAt time.Time
}

func (s *sizer) run(ctx context.Context) error {
	for range interval.Each(ctx, sizingInterval) {
		p := s.pool
		standby := standbyPool(p.node.View.Configuration())
		if standby == "" || standby == p.name || !p.active() {
			continue
		}
		if s.home == 0 && !s.readHome(ctx) {
			continue
		}
		s.resize(ctx, standby)
	}
	return nil
}

// standbyPool returns the name of the pool whose machines are switched off, or "" without such a pool.
func standbyPool(c *workload.Configuration) string {
	if c == nil {
		return ""
	}
	for _, p := range c.Pools {
		if p.Standby {
			return p.Name
		}
	}
	return ""
}

// readHome reads the pool's home size; if there is none, it records the current size as home size.
func (s *sizer) readHome(ctx context.Context) bool {
	p := s.pool
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	entry, err := p.node.Store.Get(ctx, homePrefix+p.name)
	if err == nil {
		s.home, err = strconv.Atoi(string(entry.Value))
		if err != nil {
			p.log.Error().Err(err).Msg("home size cannot be decoded")
			s.home = 1
		}
		return true
	}
	if !errors.Is(err, store.ErrNotFound) {
		return false
	}
	p.machines.refresh(ctx, sizeListAge)
	p.machines.mu.Lock()
	n := 0
	for _, m := range p.machines.byID {
		if m.Pool == p.name {
			n++
		}
	}
	p.machines.mu.Unlock()
	if n == 0 {
		return false
	}
	_, err = p.node.Store.Put(ctx, store.PutRequest{Key: homePrefix + p.name, Value: []byte(strconv.Itoa(n))})
	if err != nil && !errors.Is(err, store.ErrConflict) {
		p.log.Warn().Err(err).Msg("home size not recorded yet")
	}
	return false
}

// resize decides once which machines the pool takes, releases and lends, orders their moves and reports a shortage.
func (s *sizer) resize(ctx context.Context, standby string) {
	p := s.pool
	now := p.node.Clock.Now()
	p.mu.Lock()
	d := p.scheduler.Demand(now)
	incoming := 0
	for _, machine := range p.machines.incoming(now) {
		if _, arrived := p.scheduler.WorkerOf(machine); !arrived {
			incoming++
		}
	}
	p.scheduler.SetIncomingCPU(int64(incoming) * d.MachineCPU)
	p.mu.Unlock()
	decision := s.tracker.Decide(sizing.Input{
		Now: now, Machines: d.Workers, Incoming: incoming, Home: s.home, MachineCPU: d.MachineCPU,
		Demand: d.Used + d.Waiting, Spread: d.Spread, Idle: d.Idle, Others: p.machines.shortages(now),
	})
	needed := decision.Take + decision.Refill
	var chosen []string
	if needed > 0 {
		p.machines.refresh(ctx, sizeListAge)
		chosen = s.spareMachines(standby, now, needed)
	}
	const milliPerCore = 1000
	p.setGauges(int64(d.Workers), d.Used/milliPerCore, d.Waiting/milliPerCore, int64(max(0, decision.Missing-len(chosen))), int64(d.Reserved))
	for _, id := range chosen {
		p.orders.Go(func() error {
			p.move(ctx, machineMove{machine: id, from: standby, to: p.name})
			return nil
		})
	}
	s.reportShortage(ctx, max(0, decision.Missing-len(chosen)), now)
	for _, worker := range decision.Release {
		s.moveIdle(ctx, worker, standby, now)
	}
	for _, loan := range decision.Lend {
		s.moveIdle(ctx, loan.Worker, loan.Pool, now)
	}
}

// moveIdle moves the machine of an idle worker to another pool.
func (s *sizer) moveIdle(ctx context.Context, worker, target string, now time.Time) {
	p := s.pool
	p.mu.Lock()
	machine := p.scheduler.MachineOf(worker)
	idle := p.scheduler.WorkerLoad(worker, now).Idle
	if p.machines.mayOrder(machine, now) && !p.upkeeps.due(machine) && idle && machine != "" {
		p.scheduler.Cordon(worker, true)
	} else {
		machine = ""
	}
	p.mu.Unlock()
	if machine == "" {
		return
	}
	p.orders.Go(func() error {
		p.move(ctx, machineMove{machine: machine, worker: worker, from: p.name, to: target})
		return nil
	})
}

// reportShortage reports to the other pools how many machines are missing.
func (s *sizer) reportShortage(ctx context.Context, missing int, now time.Time) {
	if missing == s.reported || now.Sub(s.reportedAt) < shortageInterval || (missing > 0 && s.reported > 0 && now.Sub(s.reportedAt) < shortageChangeInterval) {
		return
	}
	s.reported, s.reportedAt = missing, now
	p := s.pool
	p.orders.Go(func() error {
		callCtx, cancel := context.WithTimeout(ctx, writeTimeout)
		defer cancel()
		_, _, err := p.node.Store.Apply(callCtx, store.Transaction{
			If: []store.Condition{p.dutyCondition()}, Put: []store.Write{{Key: shortPrefix + p.name, Value: []byte(strconv.Itoa(missing))}},
		})
		p.log.Info().Err(err).Int("missing", missing).Msg("shortage of machines reported")
		return nil
	})
}

// spareMachines returns up to n machines of the standby pool that may be moved now. The order differs between pools, so that their holders
// rarely choose the same machine.
func (s *sizer) spareMachines(standby string, now time.Time, n int) []string {
	ids := s.pool.machines.orderableIn(standby, now)
	due := map[string]bool{}
	for _, id := range ids {
		due[id] = s.pool.upkeeps.due(id)
	}
	if s.pool.upkeeps.movesEnded(now) {
		ids = slices.DeleteFunc(ids, func(id string) bool { return due[id] })
	}
	slices.SortFunc(ids, func(a, c string) int {
		if due[a] != due[c] {
			// Machines whose upkeep is due are moved last: their upkeep takes place in their current pool.
			if due[a] {
				return 1
			}
			return -1
		}
		return cmp.Compare(xxhash.Sum64String(s.pool.name+a), xxhash.Sum64String(s.pool.name+c))
	})
	return ids[:min(n, len(ids))]
}

// machineMove is the move of a machine from one pool to another; worker is the worker that the machine runs in this pool, if any.
type machineMove struct{ machine, worker, from, to string }

// move orders the move of a machine.
func (p *pool) move(ctx context.Context, m machineMove) {
	outcome, effect := platform.MachineUnanswered, notCarriedOut
	fence, err := p.machines.claim(ctx, m.machine, m.from, machineOrder{Node: p.node.Settings.Node, Pool: m.to, Kind: orderMove}, store.Transaction{})
	if err == nil && p.valid() {
		callCtx, cancel := context.WithTimeout(ctx, moveTimeout)
		defer cancel()
		outcome, err = p.node.Machines.Move(callCtx, platform.Holder{Node: p.node.Settings.Node, Fence: fence, Held: p.maySend(m.machine, fence)}, m.machine, m.to)
		effect = effectOf(outcome, err)
	}
	p.log.Info().Err(err).Str("machine", m.machine).Str("worker", m.worker).Str("target", m.to).Str("outcome", string(outcome)).Msg("move ordered")
	count(p.node.Registry, "moves."+string(outcome))
	if outcome != platform.MachineAccepted {
		p.machines.avoidFor(m.machine, moveBackoff)
	}
	if m.worker != "" {
		p.applyMove(m.worker, effect)
	}
}

// applyMove applies what is known of a move to the worker that it ends.
func (p *pool) applyMove(worker string, effect orderEffect) {
	switch effect {
	case notCarriedOut:
		p.upkeeps.uncordon(worker)
	case effectUnknown:
		p.mu.Lock()
		incarnation, known := p.scheduler.CurrentIncarnation(worker)
		p.mu.Unlock()
		if known {
			p.upkeeps.awaitEnd(incarnation)
		}
	case carriedOut:
		p.mu.Lock()
		defer p.mu.Unlock()
		p.scheduler.WorkerEnded(worker, "moved")
	}
}
