package dispatch

import (
	"maps"
	"slices"
	"time"

	"verbenalanding.example/fleet/workload"
)

// mayCome reports whether a job is not known, though the store may have it: a lost holder may have heard of it sooner.
func (p *Pool) mayCome(job string) bool {
	_, absent := p.absent[job]
	return p.jobs[job] == nil && !absent
}

// tooEarly takes note of a listed run or end whose job is not known yet.
func (w *worker) tooEarly(t workload.TaskID) {
	if w.early == nil {
		w.early = map[workload.TaskID]bool{}
	}
	w.early[t] = true
}

// UnknownJobs returns the jobs of listed runs and ends that are not known, in order. What the store has of each is to be read and told by AddJob or
// NoSuchJob; until then the runs go on and the ends are not acknowledged.
func (p *Pool) UnknownJobs() []string {
	unknown := map[string]bool{}
	for _, w := range p.workers {
		for t := range w.early {
			if p.mayCome(t.Job) {
				unknown[t.Job] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(unknown))
}

// NoSuchJob takes note that the store has no such job any more, read after a worker had listed it: its runs are not wanted, and its ends may be
// acknowledged.
func (p *Pool) NoSuchJob(id string, now time.Time) {
	if p.jobs[id] == nil {
		p.absent[id] = now
	}
}
