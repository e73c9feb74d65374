package node

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"verbenalanding.example/fleet/sizing"
	"verbenalanding.example/fleet/store"
	"verbenalanding.example/fleet/workload"
	"verbenalanding.example/platform"
)

// homePrefix is the prefix of the keys that hold the size in which the operator gave each pool.
const homePrefix = "home/"

const (
	sizeEvery = 100 * time.Millisecond
	// sizeListAge is how old the list of machines may be for moves; orders since then are known by their keys.
	sizeListAge = 5 * time.Second
	// moveTimeout bounds an order to move a machine.
	moveTimeout = time.Second
	// refusedWait leaves a machine alone that could not be moved.
	refusedWait = 2 * time.Second
	// arriveMargin is how much longer than its move a machine may take to register.
	arriveMargin = 1500 * time.Millisecond
)

// sizer moves machines between the pool and the standby pool.
type sizer struct {
	pool    *pool
	tracker sizing.Tracker
	home    int
	// incoming holds until when a machine that was ordered into the pool is expected.
	incoming map[string]time.Time
}

func (s *sizer) run(ctx context.Context) error {
	s.incoming = map[string]time.Time{}
	ticker := time.NewTicker(sizeEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		p := s.pool
		standby := standbyPool(p.node.View.Configuration())
		if standby == "" || standby == p.name || !p.node.Tenure.Valid(p.name, p.fence) || p.node.pools.get(p.name) != p {
			continue
		}
		if s.home == 0 && !s.readHome(ctx) {
			continue
		}
		s.step(ctx, standby)
	}
}

// standbyPool returns the pool of machines that are switched off, if any.
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

// readHome reads the pool's home size, or records the present one as such.
func (s *sizer) readHome(ctx context.Context) bool {
	p := s.pool
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	entry, err := p.node.Store.Get(ctx, homePrefix+p.name)
	if err == nil {
		s.home, err = strconv.Atoi(string(entry.Value))
		if err != nil {
			p.log.Error().Err(err).Msg("home size cannot be read")
			s.home = 1
		}
		return true
	}
	if !errors.Is(err, store.ErrNotFound) {
		return false
	}
	p.book.refresh(ctx, sizeListAge)
	p.book.mu.Lock()
	n := 0
	for _, m := range p.book.list {
		if m.Pool == p.name {
			n++
		}
	}
	p.book.mu.Unlock()
	if n == 0 {
		return false
	}
	_, err = p.node.Store.Put(ctx, store.PutRequest{Key: homePrefix + p.name, Value: []byte(strconv.Itoa(n))})
	if err != nil && !errors.Is(err, store.ErrConflict) {
		p.log.Warn().Err(err).Msg("home size not recorded yet")
	}
	return false
}

func (s *sizer) step(ctx context.Context, standby string) {
	p := s.pool
	now := p.node.Clock.Now()
	p.mu.Lock()
	d := p.core.Demand(now)
	for machine, until := range s.incoming {
		if _, here := p.core.Machine(machine); here || now.After(until) {
			delete(s.incoming, machine)
		}
	}
	p.mu.Unlock()
	decision := s.tracker.Decide(sizing.Input{
		Now: now, Machines: d.Workers, Incoming: len(s.incoming), Home: s.home, MachineCPU: d.MachineCPU,
		Demand: d.Used + d.Waiting, Spread: d.Spread, Idle: d.Idle,
	})
	if decision.Take > 0 {
		p.book.refresh(ctx, sizeListAge)
		for _, id := range s.spare(standby, now, decision.Take) {
			p.orders.Go(func() error {
				s.pool.move(ctx, id, "", p.name)
				return nil
			})
			s.incoming[id] = now.Add(p.node.Settings.Bounds.Move + arriveMargin)
		}
	}
	for _, worker := range decision.Release {
		p.mu.Lock()
		machine := p.core.MachineOf(worker)
		idle := p.core.LoadOf(worker, now).Idle
		if idle && machine != "" {
			p.core.Cordon(worker, true)
		}
		p.mu.Unlock()
		if !idle || machine == "" {
			continue
		}
		p.orders.Go(func() error {
			s.pool.move(ctx, machine, worker, standby)
			return nil
		})
	}
}

// spare returns machines of the standby pool that may be moved now, in an order that differs by pool.
func (s *sizer) spare(standby string, now time.Time, n int) []string {
	b := s.pool.book
	b.mu.Lock()
	defer b.mu.Unlock()
	var ids []string
	for id := range b.list {
		m, _ := b.get(id)
		if m.Pool == standby && m.State == workload.MachineUp && b.free(id, now) && s.incoming[id].IsZero() {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, c string) int {
		return cmp.Compare(xxhash.Sum64String(s.pool.name+a), xxhash.Sum64String(s.pool.name+c))
	})
	return ids[:min(n, len(ids))]
}

// move orders a machine into another pool; worker is its present life, if it runs one here.
func (p *pool) move(ctx context.Context, machine, worker, target string) {
	outcome := platform.MachineUnanswered
	fence, err := p.book.claim(ctx, machine, machineOrder{Node: p.node.Settings.Node, Pool: target, What: "move"}, store.Transaction{})
	if err == nil && p.node.Tenure.Valid(p.name, p.fence) {
		callCtx, cancel := context.WithTimeout(ctx, moveTimeout)
		defer cancel()
		outcome, err = p.node.Machines.Move(callCtx, platform.Holder{Node: p.node.Settings.Node, Fence: fence}, machine, target)
	}
	p.log.Info().Err(err).Str("machine", machine).Str("worker", worker).Str("target", target).Str("outcome", string(outcome)).Msg("move ordered")
	if outcome != platform.MachineAccepted {
		p.book.refused(machine, refusedWait)
	}
	if worker == "" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if outcome == platform.MachineAccepted {
		p.core.Terminated(worker, "moved")
	} else {
		p.core.Cordon(worker, false)
	}
}
