package dispatch

import (
	"fmt"
	"time"
)

// Load describes what removing a worker would cost now.
type Load struct {
	// Known is false if there is no worker that could have runs.
	Known  bool
	Worker string
	// Idle workers run nothing and have no unrecorded ends.
	Idle bool
	// Unrecorded workers list ends that are not recorded and would be lost with the worker.
	Unrecorded bool
	// LostTime is the total time for which the finite tasks on the worker have run.
	LostTime time.Duration
	// LongRunning counts the long-running tasks on the worker.
	LongRunning int
	// Allowed is false while removing the worker would make too many tasks of a long-running step unavailable.
	Allowed bool
	// Reason says which task prevents the removal.
	Reason string
}

// WorkerLoad returns what removing a worker would cost.
func (p *Pool) WorkerLoad(id string, now time.Time) Load {
	w := p.workers[id]
	if w == nil {
		return Load{Idle: true, Allowed: true}
	}
	if !w.synced {
		return Load{Known: true}
	}
	unrecorded := w.hasUnrecordedEnds()
	l := Load{Known: true, Worker: id, Idle: w.idle(), Unrecorded: unrecorded, Allowed: !unrecorded}
	for _, x := range w.runs {
		if !x.task.step.LongRunning {
			l.LostTime += now.Sub(x.orderedAt)
			continue
		}
		l.LongRunning++
		if unavailable := p.unavailableTasks(x, w, now); x.task.step.MaxUnavailable > 0 && len(unavailable) >= x.task.step.MaxUnavailable {
			l.Allowed = false
			l.Reason = fmt.Sprintf("job %s step %d: at most %d unavailable, task %s", x.task.id.Job, x.task.id.Step, x.task.step.MaxUnavailable, unavailable[0])
		}
	}
	return l
}

// MachineLoad returns what removing the worker on a machine would cost. listed is the worker that the list of machines shows, which may
// be an earlier incarnation or one that has not reported yet.
func (p *Pool) MachineLoad(machine, listed string, now time.Time) Load {
	var load Load
	for _, w := range p.sortedWorkers() {
		if w.Worker.Machine != machine {
			continue
		}
		if load = p.WorkerLoad(w.ID, now); !load.Allowed {
			return load
		}
	}
	if load.Known {
		return load
	}
	if _, ended := p.ended[listed]; listed != "" && !ended && now.Before(p.priorLeaseUntil(listed)) {
		// The listed worker may have runs of a previous holder.
		return Load{Known: true, Reason: "worker " + listed + " has not reported yet"}
	}
	return Load{Idle: true, Allowed: true}
}

// unavailableTasks describes the other tasks of a long-running run's step that are not serving, or would end with the run's worker. Steps
// without a bound, such as fillers, are not protected.
func (p *Pool) unavailableTasks(x *run, w *worker, now time.Time) []string {
	var unavailable []string
	for _, t := range x.task.state.tasks {
		if t == x.task {
			continue
		}
		if reason := p.unavailableReason(t, w, now); reason != "" {
			unavailable = append(unavailable, fmt.Sprintf("%d %s", t.id.Index, reason))
		}
	}
	return unavailable
}

// orderMargin is how long an order of a previous holder may still be in transit to a worker that has reported to this one.
const orderMargin = 400 * time.Millisecond

// unavailableReason says why a long-running task would not be serving if a worker were removed; it is empty for a task that would.
func (p *Pool) unavailableReason(t *task, removed *worker, now time.Time) string {
	if len(t.runs) == 0 {
		return "waits"
	}
	reason := ""
	for _, x := range t.runs {
		switch {
		case x.worker == removed:
			reason = "is on the same worker"
		case x.worker.cordoned:
			reason = "is on " + x.worker.ID + ", which is being removed too"
		case now.Sub(x.worker.reportedAt) > p.Settings.ReportTimeout:
			reason = "is on " + x.worker.ID + ", which is unresponsive"
		case x.adopted && now.Sub(x.presentAt) < p.Settings.StopTime+orderMargin:
			reason = "may be stopped by the previous holder, on " + x.worker.ID
		case x.phase != present || x.percent < 100:
			reason = fmt.Sprintf("is at %d percent on %s", x.percent, x.worker.ID)
		default:
			return ""
		}
	}
	return reason
}

// Evacuate stops long-running tasks on workers whose machines are due for upkeep, so that they continue elsewhere before it begins. It
// stops at most as many of each step as may be unavailable.
func (p *Pool) Evacuate(now time.Time) {
	for _, w := range p.sortedWorkers() {
		if !w.upkeepDue {
			continue
		}
		for _, x := range w.sortedRuns() {
			limit := x.task.step.MaxUnavailable
			if !x.task.step.LongRunning || limit == 0 || x.phase != present || len(p.unavailableTasks(x, nil, now)) >= limit {
				continue
			}
			if other := p.choose(x.task, x.task.step.Reserved(), now); other != nil && !other.upkeepDue {
				p.stop(x, "its machine is due for upkeep")
			}
		}
	}
}

// Cordon blocks starts on a worker, or allows them again.
func (p *Pool) Cordon(id string, cordoned bool) {
	if w := p.workers[id]; w != nil {
		w.cordoned = cordoned
	}
}

// SetUpkeepDue sets which machines are due for upkeep; long-running tasks prefer other machines.
func (p *Pool) SetUpkeepDue(due func(machine string) bool) {
	for _, w := range p.workers {
		w.upkeepDue = due(w.Worker.Machine)
	}
}

// BlockStartsUntil blocks starts on a worker until a time, so that it becomes idle; its tasks continue.
func (p *Pool) BlockStartsUntil(id string, until time.Time) {
	if w := p.workers[id]; w != nil {
		w.blockedUntil = until
	}
}

// WorkerOf returns the current worker of a machine.
func (p *Pool) WorkerOf(machine string) (worker string, ok bool) {
	for id, w := range p.workers {
		if w.Worker.Machine == machine {
			return id, true
		}
	}
	return "", false
}
