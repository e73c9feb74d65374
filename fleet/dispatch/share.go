package dispatch

import (
	"cmp"
	"slices"
	"time"

	"verbenalanding.example/fleet/metering"
	"verbenalanding.example/fleet/workload"
)

// minWeight stands for a weight of 0 where shares are compared.
const minWeight = 1e-3

// capacity returns the capacity of all workers.
func (p *Pool) capacity() workload.Resources {
	var sum workload.Resources
	for _, w := range p.sortedWorkers() {
		sum = sum.Plus(w.Capacity)
	}
	return sum
}

// weightOf returns the weight of a workspace where shares are compared; that of jobs without one is the mean.
func (p *Pool) weightOf(workspace string) float64 {
	if w := p.workspaces[workspace]; w != nil {
		return max(w.Weight, minWeight)
	}
	return p.meanWeight
}

// dominantShare returns the largest part of one resource in what is used.
func dominantShare(used, capacity workload.Resources) float64 {
	return max(part(used.CPU, capacity.CPU), part(used.MemoryMB, capacity.MemoryMB), part(used.GPU, capacity.GPU))
}

func part(used, capacity int64) float64 {
	if capacity <= 0 {
		return 0
	}
	return float64(used) / float64(capacity)
}

// Metered says whether a workspace is owed a job.
type Metered struct {
	Job, Workspace string
	Owed           bool
}

// meterArrivals decides for the jobs that became known since the last plan whether their workspaces are owed them. They are metered in the order in which
// they were accepted, so that a successor, which learns of all stored jobs at once, decides much like the holder that took them.
func (p *Pool) meterArrivals(now time.Time) {
	slices.SortStableFunc(p.unmetered, func(a, b *job) int { return cmp.Or(a.Accepted.Compare(b.Accepted), cmp.Compare(a.ID, b.ID)) })
	for _, j := range p.unmetered {
		w := p.workspaces[j.Workspace]
		if w == nil {
			continue
		}
		// The clock of the node that accepted the job may be ahead.
		at := j.Accepted
		if at.After(now) {
			at = now
		}
		j.beyond = !w.meter.Arrive(at)
		if p.OnMetered != nil {
			p.OnMetered(Metered{Job: j.ID, Workspace: j.Workspace, Owed: !j.beyond})
		}
	}
	clear(p.unmetered)
	p.unmetered = p.unmetered[:0]
}

// Arrivals returns the recent arrivals of each workspace at the pool, by name, for the holder that adds up those of all pools.
func (p *Pool) Arrivals(now time.Time) []metering.Count {
	var counts []metering.Count
	for name, w := range p.workspaces {
		if n := w.meter.Recent(now); n > 0 {
			counts = append(counts, metering.Count{Workspace: name, Arrivals: n})
		}
	}
	slices.SortFunc(counts, func(a, b metering.Count) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return counts
}

// SetArrivals applies the recent arrivals of workspaces at all pools: this pool owes a workspace the part of its weight that it has of them.
func (p *Pool) SetArrivals(totals []metering.Total, now time.Time) {
	for _, t := range totals {
		if w := p.workspaces[t.Workspace]; w != nil {
			w.meter.SetTotal(t.Arrivals, t.Own, now)
		}
	}
}
