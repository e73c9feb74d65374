package dispatch

import (
	"maps"
	"slices"
	"time"

	"verbenalanding.example/fleet/workload"
)

// SetLiveWorkers sets the live workers, from a source that does not depend on their registrations: a worker whose heartbeats are lost
// keeps running.
func (p *Pool) SetLiveWorkers(ids []string) {
	p.liveWorkers, p.liveWorkersSeenAt = map[string]bool{}, time.Time{}
	for _, id := range ids {
		if p.awaitsReport(id) {
			p.liveWorkers[id] = true
		}
	}
}

// uncertainty describes which tasks may have runs of previous holders that no worker has reported to this holder.
type uncertainty struct {
	// allRestored is true while any task of a restored job may run on a worker that has not reported.
	allRestored bool
	// tasks holds the tasks that may run on workers that have not reported, as a previous holder recorded, and those that workers listed
	// before their jobs were known.
	tasks map[workload.TaskID]bool
}

// currentUncertainty returns which runs of previous holders are uncertain now; after a complete handover only those that it names are.
func (p *Pool) currentUncertainty(now time.Time) uncertainty {
	u := uncertainty{tasks: map[workload.TaskID]bool{}}
	for _, w := range p.sortedWorkers() {
		if len(w.unknownTasks) > 0 {
			maps.Copy(u.tasks, w.unknownTasks)
		}
	}
	maps.DeleteFunc(p.handedOverLeases, func(worker string, _ time.Time) bool { return p.priorLeaseEnded(worker, now) })
	if p.priorLeasesEnded(now) {
		p.addLongLeasedTasks(u)
		u.allRestored = p.hasPartialReport()
		return u
	}
	inherited := p.inheritedUnresponsive
	if p.handedOver != nil {
		inherited = p.handedOver
	}
	p.addInheritedTasks(u, inherited)
	// A complete handover omits only the runs that a holder lost before its writer may have started since.
	if p.handedOver == nil || p.reportedBefore != nil {
		u.allRestored = p.mayHaveUnrecordedRuns(inherited)
	}
	return u
}

// addLongLeasedTasks adds the tasks that the handover names for workers on which they may run for longer than on the others.
func (p *Pool) addLongLeasedTasks(u uncertainty) {
	if len(p.handedOverLeases) == 0 {
		clear(p.endConfirmed)
		return
	}
	longLeased := maps.Clone(p.handedOver)
	maps.DeleteFunc(longLeased, func(worker string, _ []workload.TaskID) bool { return p.handedOverLeases[worker].IsZero() })
	p.addInheritedTasks(u, longLeased)
}

// hasPartialReport reports whether a worker has listed only some of its ends.
func (p *Pool) hasPartialReport() bool {
	return slices.ContainsFunc(p.sortedWorkers(), func(w *worker) bool { return w.partial })
}

// mayHaveUnrecordedRuns reports whether there may be a worker that accepts orders of a lost holder and whose runs no holder has recorded.
func (p *Pool) mayHaveUnrecordedRuns(inherited TasksByWorker) bool {
	if len(p.workers) == 0 || (p.AwaitWorkerList && (p.liveWorkers == nil || !p.confirmedSince(p.liveWorkersSeenAt))) {
		return true
	}
	for _, w := range p.sortedWorkers() {
		if w.restarted || (p.awaitsReport(w.ID) && !p.runsRecorded(w.ID, w.Incarnation, inherited)) {
			return true
		}
	}
	for id := range p.liveWorkers {
		if _, gone := p.ended[id]; !gone && p.workers[id] == nil && !p.runsRecorded(id, 0, inherited) {
			return true
		}
	}
	for id := range p.inheritedKnown {
		if p.workers[id] == nil && p.awaitsReport(id) && !p.runsRecorded(id, 0, inherited) {
			return true
		}
	}
	return false
}

// runsRecorded reports whether the previous holder recorded all tasks that a worker may run. A worker that had reported to it accepts no
// orders of lost holders in the same incarnation; one that it recorded as unresponsive gets none.
func (p *Pool) runsRecorded(id string, incarnation int64, inherited TasksByWorker) bool {
	if reported, ok := p.reportedBefore[id]; ok {
		return reported == incarnation
	}
	_, ok := inherited[id]
	return ok
}

// addInheritedTasks adds the tasks that the previous holder recorded for workers that have not reported.
func (p *Pool) addInheritedTasks(u uncertainty, inherited TasksByWorker) {
	for id, tasks := range inherited {
		if !p.awaitsReport(id) {
			continue
		}
		for _, t := range tasks {
			u.tasks[t] = true
		}
	}
}

// awaitsReport reports whether this holder has neither a complete report of a worker nor a confirmation of its end.
func (p *Pool) awaitsReport(id string) bool {
	if w := p.workers[id]; w != nil {
		return w.reportedAt.IsZero() || w.partial || (w.endedEarlier && !p.confirmedSince(w.endedEarlierSeenAt))
	}
	seenAt, ended := p.endConfirmed[id]
	return !ended || !p.confirmedSince(seenAt)
}

// isNone reports whether no run of a previous holder is uncertain.
func (u uncertainty) isNone() bool { return !u.allRestored && len(u.tasks) == 0 }

// mayRun reports whether a run of the task that a previous holder started may be present on a worker that has not reported.
func (u uncertainty) mayRun(t *task) bool {
	return (len(u.tasks) > 0 && u.tasks[t.id]) || (t.job.restored && u.allRestored)
}

// priorRunUntil returns the time until which a run of a task by a previous holder may be present on a worker that has not reported.
func (p *Pool) priorRunUntil(t *task) time.Time {
	until := p.priorLeasesUntil
	for worker, tasks := range p.handedOver {
		if end := p.priorLeaseUntil(worker); end.After(until) && slices.Contains(tasks, t.id) {
			until = end
		}
	}
	return until
}
