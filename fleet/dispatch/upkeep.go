package dispatch

import (
	"fmt"
	"time"
)

// Load is what the end of a worker would cost now.
type Load struct {
	// Known is false where no worker is known that could run anything.
	Known  bool
	Worker string
	// Idle workers run nothing and have no ends that are not recorded.
	Idle bool
	// Unrecorded workers list ends that are not recorded and would be lost with them.
	Unrecorded bool
	// LostTime is the time that finite tasks have run on the worker.
	LostTime time.Duration
	// LongRunning counts the long-running tasks on the worker.
	LongRunning int
	// Allowed is false while the end of the worker would make too many tasks of a long-running step unavailable.
	Allowed bool
	// Reason says which task keeps the worker from being ended.
	Reason string
}

// WorkerLoad returns what the end of a worker would cost.
func (p *Pool) WorkerLoad(id string, now time.Time) Load {
	w := p.workers[id]
	if w == nil {
		return Load{Idle: true, Allowed: true}
	}
	if !w.synced {
		return Load{Known: true}
	}
	open := w.open()
	l := Load{Known: true, Worker: id, Idle: w.idle(), Unrecorded: open, Allowed: !open}
	for _, x := range w.runs {
		if !x.task.step.LongRunning {
			l.LostTime += now.Sub(x.orderedAt)
			continue
		}
		l.LongRunning++
		if away := p.away(x, w, now); x.task.step.MaxUnavailable > 0 && len(away) >= x.task.step.MaxUnavailable {
			l.Allowed = false
			l.Reason = fmt.Sprintf("job %s step %d: at most %d away, task %s", x.task.id.Job, x.task.id.Step, x.task.step.MaxUnavailable, away[0])
		}
	}
	return l
}

// MachineLoad returns what the end of a machine's present life would cost; listed is the worker that the list of machines shows, which may
// be an earlier life or one that was not heard yet.
func (p *Pool) MachineLoad(machine, listed string, now time.Time) Load {
	var load Load
	for _, w := range p.ordered() {
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
	if _, ended := p.ended[listed]; listed != "" && !ended && now.Before(p.unsureUntil) {
		// It may run what a holder before started.
		return Load{Known: true, Reason: "worker " + listed + " was not heard yet"}
	}
	return Load{Idle: true, Allowed: true}
}

// away tells which other tasks of a long-running run's step are not at work, or would end with the run's worker. Steps without
// a bound, such as fillers, are not protected.
func (p *Pool) away(x *run, w *worker, now time.Time) []string {
	var away []string
	for _, t := range x.task.job.occurrences[x.task.id.Occurrence].steps[x.task.id.Step].tasks {
		if t == x.task {
			continue
		}
		if why := p.notAtWork(t, w, now); why != "" {
			away = append(away, fmt.Sprintf("%d %s", t.id.Index, why))
		}
	}
	return away
}

// orderMargin is how long an order of a holder before may still be on its way to a worker that this one has heard.
const orderMargin = 400 * time.Millisecond

// notAtWork says why a long-running task would not serve without a worker; it is empty for one that would.
func (p *Pool) notAtWork(t *task, without *worker, now time.Time) string {
	if len(t.runs) == 0 {
		return "waits"
	}
	why := ""
	for _, x := range t.runs {
		switch {
		case x.worker == without:
			why = "is on the same worker"
		case x.worker.cordoned:
			why = "is on " + x.worker.ID + ", which is ended too"
		case now.Sub(x.worker.heard) > p.Settings.ReportTimeout:
			why = "is on " + x.worker.ID + ", which is silent"
		case x.adopted && now.Sub(x.presentAt) < p.Settings.StopTime+orderMargin:
			why = "may be ended by the holder before, on " + x.worker.ID
		case x.phase != present || x.percent < 100:
			why = fmt.Sprintf("is at %d percent on %s", x.percent, x.worker.ID)
		default:
			return ""
		}
	}
	return why
}

// Evacuate stops long-running tasks on workers whose machines are due for upkeep, so that they go on elsewhere before it: as
// many of each step as may be unavailable.
func (p *Pool) Evacuate(now time.Time) {
	for _, w := range p.ordered() {
		if !w.due {
			continue
		}
		for _, x := range w.sorted() {
			limit := x.task.step.MaxUnavailable
			if !x.task.step.LongRunning || limit == 0 || x.phase != present || len(p.away(x, nil, now)) >= limit {
				continue
			}
			if other := p.choose(x.task, x.task.step.Reserved(), now, nil); other != nil && !other.due {
				p.stop(x, "its machine is due for upkeep")
			}
		}
	}
}

// Cordon keeps new starts away from a worker, or lets them come again.
func (p *Pool) Cordon(id string, cordoned bool) {
	if w := p.workers[id]; w != nil {
		w.cordoned = cordoned
	}
}

// SetUpkeepDue tells which machines have their upkeep still to be done; long-running tasks go elsewhere.
func (p *Pool) SetUpkeepDue(due func(machine string) bool) {
	for _, w := range p.workers {
		w.due = due(w.Worker.Machine)
	}
}

// BlockStartsUntil keeps new starts away from a worker until a time, so that it becomes idle; its tasks go on.
func (p *Pool) BlockStartsUntil(id string, until time.Time) {
	if w := p.workers[id]; w != nil {
		w.closedUntil = until
	}
}

// WorkerOf returns the worker that is the present life of a machine.
func (p *Pool) WorkerOf(machine string) (worker string, ok bool) {
	for id, w := range p.workers {
		if w.Worker.Machine == machine {
			return id, true
		}
	}
	return "", false
}
