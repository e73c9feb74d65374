package dispatch

import (
	"maps"
	"slices"
	"time"

	"verbenalanding.example/fleet/workload"
)

// untaken is what of a worker's last lists was not taken over.
type untaken struct {
	// partial is true while no report has listed all ends: what is not listed may have ended.
	partial bool
	// withheld is true while ends are not taken over since the first of them is of a job that is not known yet.
	withheld bool
	// early are the tasks of listed runs and ends whose jobs are not known yet.
	early map[workload.TaskID]bool
	// strays is true while runs are listed that are none of this holder's; they take room until they have ended.
	strays bool
}

// tooEarly takes note of a listed run or end whose job is not known yet.
func (u *untaken) tooEarly(t workload.TaskID) {
	if u.early == nil {
		u.early = map[workload.TaskID]bool{}
	}
	u.early[t] = true
}

// earlyTasks returns the tasks whose jobs are not known yet, in a fixed order.
func (u *untaken) earlyTasks() []workload.TaskID {
	tasks := slices.Collect(maps.Keys(u.early))
	slices.SortFunc(tasks, func(a, b workload.TaskID) int { return compareTasks(a, b, 0, 0) })
	return tasks
}

// ends reports whether there may be ends that were not listed yet or not taken over.
func (u *untaken) ends() bool { return u.partial || u.withheld }

// any reports whether there are such ends, or runs or ends whose jobs are not known yet.
func (u *untaken) any() bool { return u.ends() || len(u.early) > 0 }

// forgetLists drops what was listed of jobs that are not known yet.
func (u *untaken) forgetLists() { u.early, u.withheld = nil, false }

// mayCome reports whether a job is not known, though the store may have it: a lost holder may have heard of it sooner.
func (p *Pool) mayCome(job string) bool {
	_, absent := p.absent[job]
	return p.jobs[job] == nil && !absent
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
