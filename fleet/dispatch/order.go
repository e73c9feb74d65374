package dispatch

import (
	"cmp"
	"math"
	"slices"

	"verbenalanding.example/fleet/workload"
)

// order is the order in which the candidates of a plan are placed.
type order interface{ order() }

// byUrgency is the order of a pool whose jobs belong to no workspaces: that of compareCandidates.
type byUrgency struct{}

// byWorkspace is the order where workspaces share the pool: that of compareByWorkspace.
type byWorkspace struct{}

func (byUrgency) order()   {}
func (byWorkspace) order() {}

func (p *Pool) order() order {
	if len(p.workspaces) == 0 {
		return byUrgency{}
	}
	return byWorkspace{}
}

// sortCandidates sorts the candidates of a plan by the pool's order.
func (p *Pool) sortCandidates(list []candidate) {
	switch p.order().(type) {
	case byUrgency:
		slices.SortStableFunc(list, compareCandidates)
	case byWorkspace:
		p.rankByWorkspace(list)
		slices.SortStableFunc(list, compareByWorkspace)
	}
}

// use says whether an occurrence can still be of use to its caller.
type use int

const (
	// useInTime means that it can still meet its target time.
	useInTime use = iota
	// useLate means that it is late and still of some use.
	useLate
	// useNone means that its result comes too late for its caller.
	useNone
)

// lateFactor is the number of objectives after which a late job is of no use any more.
const lateFactor = 3

// rank is the place of a candidate in the order by workspaces.
type rank struct {
	use use
	// beyond is true for a job that its workspace is not owed.
	beyond bool
	// worth is the exponent of the worth per core-second as a power of two: shares are compared among jobs of similar worth.
	worth int
	// share is the dominant share of the pool that the candidate's workspace has before the candidate is placed, over its weight.
	share float64
}

// use returns whether a candidate can still be of use to its caller.
func (c *candidate) use() use {
	switch {
	case c.inTime:
		return useInTime
	case !c.end.After(c.from.Add(workload.Scale(c.target.Sub(c.from), lateFactor))):
		return useLate
	}
	return useNone
}

// rankByWorkspace ranks the candidates. The share of a candidate counts those of its workspace as placed that go before it for other reasons than their
// shares.
func (p *Pool) rankByWorkspace(list []candidate) {
	for i := range list {
		c := &list[i]
		c.rank = rank{beyond: c.job.beyond, worth: math.Ilogb(c.density)}
		if !c.longRunning {
			c.rank.use = c.use()
		}
	}
	slices.SortStableFunc(list, compareByWorkspace)
	for i := range list {
		a := list[i].job.account
		a.planned = a.reservedUse
	}
	capacity := p.capacity()
	for i := range list {
		c := &list[i]
		a := c.job.account
		c.rank.share = dominantShare(a.planned, capacity) / p.weightOf(c.job.Workspace)
		a.planned = a.planned.Plus(c.waitingNeed())
	}
}

// compareByWorkspace orders candidates by the first of these that differs: long-running tasks first; the priority; work of no use last; owed work before
// work beyond; work that can be in time before late work; begun work first; the worth per core-second, as a power of two; the workspace's share over its
// weight; the exact worth; the time of acceptance. Work beyond goes before owed work of no use, which nobody needs.
func compareByWorkspace(a, b candidate) int {
	switch {
	case a.longRunning != b.longRunning:
		return compareTrueFirst(a.longRunning, b.longRunning)
	case a.job.queue.Priority != b.job.queue.Priority:
		return cmp.Compare(a.job.queue.Priority, b.job.queue.Priority)
	case (a.rank.use == useNone) != (b.rank.use == useNone):
		return compareTrueFirst(a.rank.use != useNone, b.rank.use != useNone)
	case a.rank.beyond != b.rank.beyond:
		return compareTrueFirst(b.rank.beyond, a.rank.beyond)
	case a.rank.use != b.rank.use:
		return cmp.Compare(a.rank.use, b.rank.use)
	case a.begun != b.begun:
		return compareTrueFirst(a.begun, b.begun)
	case a.rank.worth != b.rank.worth:
		return cmp.Compare(b.rank.worth, a.rank.worth)
	case a.rank.share != b.rank.share:
		return cmp.Compare(a.rank.share, b.rank.share)
	}
	return cmp.Or(cmp.Compare(b.density, a.density), a.job.Accepted.Compare(b.job.Accepted))
}

// waitingNeed returns what the waiting tasks of the candidate's steps that are ready occupy.
func (c *candidate) waitingNeed() workload.Resources {
	var sum workload.Resources
	for s := range c.occurrence.steps {
		if st := &c.occurrence.steps[s]; st.ready {
			need := c.job.Steps[s].Reserved()
			n := int64(st.withoutRun)
			sum = sum.Plus(workload.Resources{CPU: need.CPU * n, MemoryMB: need.MemoryMB * n, GPU: need.GPU * n})
		}
	}
	return sum
}
