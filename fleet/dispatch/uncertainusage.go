package dispatch

import (
	"time"

	"verbenalanding.example/fleet/workload"
)

// anything is more than any grant, and small enough for sums.
var anything = workload.Resources{CPU: 1 << 50, MemoryMB: 1 << 50, GPU: 1 << 50}

// orphans are the runs that a worker lists and that this holder has not adopted.
type orphans struct {
	worker *worker
	tasks  []workload.TaskID
}

// noteOrphans records the runs that a worker lists and that this holder has not adopted.
func (p *Pool) noteOrphans(w *worker, r workload.Report) {
	if !w.orphans {
		delete(p.orphaned, w.ID)
		return
	}
	o := orphans{worker: w}
	for _, a := range r.Active {
		if w.runs[runKey{a.Task, a.Run}] == nil {
			o.tasks = append(o.tasks, a.Task)
		}
	}
	if _, known := p.orphaned[w.ID]; !known {
		// Until the next plan counts its tasks.
		p.uncertainRoom = p.uncertainRoom.Plus(largest(w.free(), workload.Resources{}))
	}
	p.orphaned[w.ID] = o
}

// uncertainOf returns what runs of a workspace may occupy that this holder does not know, as of the last plan.
func (p *Pool) uncertainOf(a *account) workload.Resources { return p.uncertainRoom.Plus(a.uncertain) }

// countUncertain counts what runs may occupy that this holder does not know: those of previous holders on workers that have not reported, and orphaned
// runs until they have ended. Tasks that a record or a list names count for their workspace; where none does, the capacity of the worker counts for all.
func (p *Pool) countUncertain(now time.Time) {
	p.uncertainRoom = workload.Resources{}
	for _, a := range p.limited {
		a.uncertain = workload.Resources{}
	}
	for _, o := range p.orphaned {
		p.countTasks(o.tasks, largest(o.worker.free(), workload.Resources{}))
	}
	if p.priorLeasesEnded(now) && len(p.handedOverLeases) == 0 {
		return
	}
	var widest workload.Resources
	for _, w := range p.sortedWorkers() {
		widest = largest(widest, w.Capacity)
		if p.priorLeaseEnded(w.ID, now) || !(w.restarted || p.awaitsReport(w.ID)) {
			continue
		}
		if tasks, recorded := p.recordedTasks(w.ID, w.Incarnation); recorded && (!w.restarted || p.completeHandover()) {
			p.countTasks(tasks, w.Capacity)
			continue
		}
		p.uncertainRoom = p.uncertainRoom.Plus(w.Capacity)
	}
	if !p.completeHandover() && (len(p.workers) == 0 || (p.AwaitWorkerList && (p.liveWorkers == nil || !p.confirmedSince(p.liveWorkersSeenAt)))) {
		p.uncertainRoom = anything
		return
	}
	// A worker of which only the id is known counts as the largest known one.
	for id := range p.unregistered(now) {
		if tasks, recorded := p.recordedTasks(id, 0); recorded {
			p.countTasks(tasks, widest)
			continue
		}
		p.uncertainRoom = p.uncertainRoom.Plus(widest)
	}
}

// completeHandover reports whether the previous holder has named all runs that may be present.
func (p *Pool) completeHandover() bool { return p.handedOver != nil && p.reportedBefore == nil }

// recordedTasks returns the tasks that may run on a worker which has not reported, as the previous holder recorded them; recorded is false if it may run
// others.
func (p *Pool) recordedTasks(id string, incarnation int64) (tasks []workload.TaskID, recorded bool) {
	inherited := p.inheritedUnresponsive
	if p.handedOver != nil {
		inherited = p.handedOver
	}
	return inherited[id], p.completeHandover() || p.runsRecorded(id, incarnation, inherited)
}

// countTasks counts tasks that may be present on a worker, for their workspaces. Where the need of one is not known, the room that it may have counts.
func (p *Pool) countTasks(tasks []workload.TaskID, room workload.Resources) {
	for _, t := range tasks {
		j := p.jobs[t.Job]
		switch {
		case j == nil:
			p.uncertainRoom = p.uncertainRoom.Plus(room)
		case j.account.limit == (workload.Resources{}):
		case t.Step < 0 || t.Step >= len(j.Steps):
			j.account.uncertain = j.account.uncertain.Plus(room)
		default:
			j.account.uncertain = j.account.uncertain.Plus(j.Steps[t.Step].Need)
		}
	}
}

// unregistered returns the workers without a registration that may have runs of a previous holder.
func (p *Pool) unregistered(now time.Time) map[string]bool {
	ids := map[string]bool{}
	note := func(id string) {
		if p.workers[id] == nil && !p.priorLeaseEnded(id, now) && p.awaitsReport(id) {
			ids[id] = true
		}
	}
	for id := range p.liveWorkers {
		if _, gone := p.ended[id]; !gone {
			note(id)
		}
	}
	for id := range p.inheritedKnown {
		note(id)
	}
	for id := range p.inheritedUnresponsive {
		note(id)
	}
	for id := range p.handedOver {
		note(id)
	}
	return ids
}
