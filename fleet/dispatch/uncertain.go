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
	p.liveWorkers = map[string]bool{}
	for _, id := range ids {
		if p.awaitsReport(id) {
			p.liveWorkers[id] = true
		}
	}
}

// uncertainty describes the runs of previous holders that a new holder does not know.
type uncertainty struct {
	// everywhere is true while any task of an older job may run on a worker that has not reported.
	everywhere bool
	// tasks holds the tasks that may run on workers that have not reported, as a previous holder recorded, and those that workers listed
	// before their jobs were known.
	tasks map[workload.TaskID]bool
}

// uncertain returns the current uncertainty; after a complete handover only the tasks that it names are uncertain.
func (p *Pool) uncertain(now time.Time) uncertainty {
	u := uncertainty{tasks: map[workload.TaskID]bool{}}
	for _, w := range p.workers {
		maps.Copy(u.tasks, w.unknownTasks)
	}
	if p.priorLeasesEnded(now) {
		clear(p.gone)
		u.everywhere = p.hasPartialReport()
		return u
	}
	inherited := p.inheritedUnresponsive
	if p.handedOver != nil {
		inherited = p.handedOver
	}
	p.addAwaited(u, inherited)
	// A complete handover omits only what a holder that was lost before its writer may have ordered since.
	if p.handedOver == nil || p.reportedBefore != nil {
		u.everywhere = p.unaccounted(inherited)
	}
	return u
}

// hasPartialReport reports whether a worker has listed only some of its ends.
func (p *Pool) hasPartialReport() bool {
	return slices.ContainsFunc(p.sortedWorkers(), func(w *worker) bool { return w.partial })
}

// unaccounted reports whether there may be a worker that accepts orders of a lost holder and whose runs nobody has recorded.
func (p *Pool) unaccounted(inherited TasksByWorker) bool {
	if len(p.workers) == 0 || (p.AwaitWorkerList && p.liveWorkers == nil) {
		return true
	}
	for _, w := range p.workers {
		if w.restarted || (p.awaitsReport(w.ID) && !p.accounted(w.ID, w.Incarnation, inherited)) {
			return true
		}
	}
	for id := range p.liveWorkers {
		if _, gone := p.ended[id]; !gone && p.workers[id] == nil && !p.accounted(id, 0, inherited) {
			return true
		}
	}
	for id := range p.inheritedKnown {
		if p.workers[id] == nil && p.awaitsReport(id) && !p.accounted(id, 0, inherited) {
			return true
		}
	}
	return false
}

// accounted reports whether the previous holder recorded all that a worker may run. A worker that had reported to it accepts no orders of
// lost holders in the same incarnation; one that it recorded as unresponsive gets none.
func (p *Pool) accounted(id string, incarnation int64, inherited TasksByWorker) bool {
	if reported, ok := p.reportedBefore[id]; ok {
		return reported == incarnation
	}
	_, ok := inherited[id]
	return ok
}

// addAwaited adds the tasks that the previous holder recorded for workers that have not reported.
func (p *Pool) addAwaited(u uncertainty, inherited TasksByWorker) {
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
		return w.reportedAt.IsZero() || w.partial
	}
	return !p.gone[id]
}

// mayRun reports whether a run that a previous holder started may be present on a worker that has not reported.
func (u uncertainty) mayRun(t *task) bool {
	return u.tasks[t.id] || (t.job.restored && u.everywhere)
}
