package dispatch

import (
	"fmt"
	"time"
)

// Load is what the end of a worker would cost now.
type Load struct {
	// Known is false for a worker that is not in the pool.
	Known bool
	// Idle workers run nothing and have no ends that are not recorded.
	Idle bool
	// Lost is the time that finite tasks have run on the worker.
	Lost time.Duration
	// Lasting counts the long-running tasks on the worker.
	Lasting int
	// Allowed is false while the end of the worker would make too many tasks of a long-running step unavailable.
	Allowed bool
	// Reason says which task keeps the worker from being ended.
	Reason string
	// FreeCPU is the room that is left, in thousandths of a core.
	FreeCPU int64
}

// LoadOf returns what the end of a worker would cost.
func (p *Pool) LoadOf(id string, now time.Time) Load {
	w := p.workers[id]
	if w == nil {
		// A machine that is switched off, or whose worker is gone, runs nothing.
		return Load{Idle: true, Allowed: true}
	}
	if !w.synced {
		return Load{Known: true}
	}
	if w.processed > w.recorded {
		// The ends are lost with the worker.
		return Load{Known: true}
	}
	l := Load{Known: true, Idle: len(w.runs) == 0, Allowed: true, FreeCPU: w.free().CPU}
	for _, x := range w.runs {
		if !x.task.step.LongRunning {
			l.Lost += now.Sub(x.orderedAt)
			continue
		}
		l.Lasting++
		if away, ok := p.mayStop(x, w); !ok {
			l.Allowed = false
			l.Reason = fmt.Sprintf("job %s step %d: %d tasks away, at most %d", x.task.id.Job, x.task.id.Step, away, x.task.step.MaxUnavailable)
		}
	}
	return l
}

// mayStop reports whether an order may make a run of a long-running step unavailable; runs on the same worker would end with it.
func (p *Pool) mayStop(x *run, w *worker) (away int, ok bool) {
	if x.task.step.MaxUnavailable == 0 {
		// Steps without the bound, such as fillers, are not protected.
		return 0, true
	}
	for _, t := range x.task.job.occurrences[x.task.id.Occurrence].steps[x.task.id.Step].tasks {
		if t == x.task {
			continue
		}
		if !t.atWork() || (len(t.runs) > 0 && t.runs[0].worker == w) {
			away++
		}
	}
	return away, away < x.task.step.MaxUnavailable
}

// atWork reports whether a long-running task serves.
func (t *task) atWork() bool {
	for _, x := range t.runs {
		if x.phase == present && x.percent >= 100 && !x.worker.cordoned {
			return true
		}
	}
	return false
}

// Cordon keeps new starts away from a worker, or lets them come again.
func (p *Pool) Cordon(id string, cordoned bool) {
	if w := p.workers[id]; w != nil {
		w.cordoned = cordoned
	}
}

// Machine returns the worker that is the present life of a machine.
func (p *Pool) Machine(machine string) (worker string, ok bool) {
	for id, w := range p.workers {
		if w.Worker.Machine == machine {
			return id, true
		}
	}
	return "", false
}
