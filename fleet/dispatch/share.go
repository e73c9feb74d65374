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

// workspaceShare is what a workspace has of the pool.
type workspaceShare struct {
	used   workload.Resources
	weight float64
}

// poolShares holds what each workspace has of the pool.
type poolShares struct {
	capacity workload.Resources
	// agedCPU is the CPU of the runs of jobs that were placed because they had waited long.
	agedCPU int64
	byName  map[string]*workspaceShare
	// others is what the jobs without a workspace of the configuration have together.
	others workspaceShare
}

// currentShares adds up the runs of the pool. The jobs without a workspace count as one of the mean weight.
func (p *Pool) currentShares() *poolShares {
	s := &poolShares{byName: make(map[string]*workspaceShare, len(p.workspaces))}
	sum := 0.0
	for name, w := range p.workspaces {
		s.byName[name] = &workspaceShare{weight: max(w.Weight, minWeight)}
		sum += w.Weight
	}
	s.others.weight = max(sum/float64(max(1, len(p.workspaces))), minWeight)
	for _, w := range p.workers {
		s.capacity = s.capacity.Plus(w.Capacity)
		for _, x := range w.runs {
			need := x.task.step.Reserved()
			of := s.of(x.task.job.Workspace)
			of.used = of.used.Plus(need)
			if x.task.job.aged {
				s.agedCPU += need.CPU
			}
		}
	}
	return s
}

func (s *poolShares) of(workspace string) *workspaceShare {
	if of := s.byName[workspace]; of != nil {
		return of
	}
	return &s.others
}

// dominant returns the largest share of one resource in what is used.
func (s *poolShares) dominant(used workload.Resources) float64 {
	return max(part(used.CPU, s.capacity.CPU), part(used.MemoryMB, s.capacity.MemoryMB), part(used.GPU, s.capacity.GPU))
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
