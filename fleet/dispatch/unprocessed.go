package dispatch

import (
	"maps"
	"slices"
	"time"

	"verbenalanding.example/fleet/workload"
)

// unprocessed describes the parts of a worker's reports that were not processed.
type unprocessed struct {
	// partial is true while no report has listed all ends: a run that is not listed may have ended.
	partial bool
	// withheld is true while ends are not processed because the job of the first of them is not known yet.
	withheld bool
	// unknownTasks are the tasks of listed runs and ends whose jobs this holder does not know yet.
	unknownTasks map[workload.TaskID]bool
	// orphans is true while runs are listed that this holder has not adopted; they use capacity until they have ended.
	orphans bool
}

// addUnknown adds the task of a listed run or end whose job is not known yet.
func (u *unprocessed) addUnknown(t workload.TaskID) {
	if u.unknownTasks == nil {
		u.unknownTasks = map[workload.TaskID]bool{}
	}
	u.unknownTasks[t] = true
}

// sortedUnknown returns the tasks whose jobs are not known yet, in a fixed order.
func (u *unprocessed) sortedUnknown() []workload.TaskID {
	tasks := slices.Collect(maps.Keys(u.unknownTasks))
	slices.SortFunc(tasks, func(a, b workload.TaskID) int { return compareTasks(a, b, 0, 0) })
	return tasks
}

// hasEnds reports whether there may be ends that were not listed yet or not processed.
func (u *unprocessed) hasEnds() bool { return u.partial || u.withheld }

// any reports whether hasEnds is true or the worker listed runs or ends whose jobs are not known yet.
func (u *unprocessed) any() bool { return u.hasEnds() || len(u.unknownTasks) > 0 }

// resetUnknown clears the listed runs and ends whose jobs are not known yet.
func (u *unprocessed) resetUnknown() { u.unknownTasks, u.withheld = nil, false }

// mayExist reports whether an unknown job may be in the store: a lost holder may have learned of it earlier.
func (p *Pool) mayExist(job string) bool {
	_, absent := p.absentJobs[job]
	return p.jobs[job] == nil && !absent
}

// UnknownJobs returns the sorted ids of the unknown jobs of listed runs and ends. The caller reads each from the store and answers with
// AddJob or NoSuchJob; until then the runs continue and the ends are not acknowledged.
func (p *Pool) UnknownJobs() []string {
	unknown := map[string]bool{}
	for _, w := range p.workers {
		for t := range w.unknownTasks {
			if p.mayExist(t.Job) {
				unknown[t.Job] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(unknown))
}

// NoSuchJob reports that a read after a worker had listed the job found no such job in the store: its runs are orphaned, and its ends may
// be acknowledged.
func (p *Pool) NoSuchJob(id string, now time.Time) {
	if p.jobs[id] == nil {
		p.absentJobs[id] = now
	}
}
