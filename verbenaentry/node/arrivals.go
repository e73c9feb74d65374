package node

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/interval"
	"verbenalanding.example/fleet/metering"
)

const (
	// arrivalsInterval is how often a holder sends the homes of workspaces their arrivals at its pool.
	arrivalsInterval = 500 * time.Millisecond
	// arrivalCalls bounds the concurrent calls of a pool to homes.
	arrivalCalls = 8
)

// arrivals holds the recent arrivals of workspaces at a pool, which its holder sends to their home.
type arrivals struct {
	// Home is the pool whose holder adds up, Pool the one at which the jobs arrived.
	Home   string           `json:"home"`
	Pool   string           `json:"pool"`
	Counts []metering.Count `json:"counts"`
}

// exchangeArrivals sends the homes of the workspaces their arrivals at this pool, and applies the totals of all pools. If a home does not answer, the
// last totals hold for a short time; then the pool assumes that these workspaces send to no other one.
func (p *pool) exchangeArrivals(ctx context.Context) error {
	for range interval.Each(ctx, arrivalsInterval) {
		c := p.node.View.Configuration()
		if c == nil || len(c.Workspaces) == 0 || !p.valid() {
			continue
		}
		names := make([]string, 0, len(c.Pools))
		for _, s := range c.Pools {
			names = append(names, s.Name)
		}
		var group errgroup.Group
		group.SetLimit(arrivalCalls)
		for home, counts := range p.arrivalsByHome(names) {
			group.Go(func() error {
				p.tellArrivals(ctx, arrivals{Home: home, Pool: p.name, Counts: counts})
				return nil
			})
		}
		_ = group.Wait()
	}
	return nil
}

// arrivalsByHome returns the recent arrivals of the workspaces at this pool, by the pool that is their home.
func (p *pool) arrivalsByHome(pools []string) map[string][]metering.Count {
	p.mu.Lock()
	counts := p.scheduler.Arrivals(p.node.Clock.Now())
	p.mu.Unlock()
	byHome := map[string][]metering.Count{}
	for _, c := range counts {
		home := metering.Home(c.Workspace, pools)
		byHome[home] = append(byHome[home], c)
	}
	return byHome
}

func (p *pool) tellArrivals(ctx context.Context, a arrivals) {
	var totals []metering.Total
	if held := p.node.pools.get(a.Home); held != nil {
		totals = held.addArrivals(a)
	} else if err := p.node.callHolder(ctx, a.Home, methodArrivals, a, &totals); err != nil {
		count(p.node.Registry, "events.arrivals-not-told")
		p.log.Debug().Str("home", a.Home).Err(err).Msg("arrivals not told to the home of their workspaces")
		return
	}
	p.mu.Lock()
	p.scheduler.SetArrivals(totals, p.node.Clock.Now())
	p.mu.Unlock()
}

// addArrivals adds the arrivals at a pool to those of the workspaces whose home this pool is, and returns the totals.
func (p *pool) addArrivals(a arrivals) []metering.Total {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.arrivals.Add(a.Pool, a.Counts, p.node.Clock.Now())
}

// countMetered counts the jobs that workspaces are owed, and those beyond.
func (p *pool) countMetered(m dispatch.Metered) {
	if m.Owed {
		count(p.node.Registry, "workspaceJobs.owed")
		return
	}
	count(p.node.Registry, "workspaceJobs.beyond")
}
