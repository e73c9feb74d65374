package dispatch

import (
	"time"

	"verbenalanding.example/fleet/workload"
)

// Handover is what a holder that gives its duty back tells its successor: every run that may be present, by worker.
type Handover struct {
	Runs map[string][]workload.TaskID `json:"runs"`
}

// Handover returns the runs that may be present; ok is false for a holder that does not know them all itself, or that has
// seen ends which are not recorded.
func (p *Pool) Handover(now time.Time) (h Handover, ok bool) {
	heard := p.allHeard(now)
	if len(p.dirty) > 0 || (p.mayRun == nil && !heard) {
		return Handover{}, false
	}
	h = Handover{Runs: map[string][]workload.TaskID{}}
	if !heard {
		for id, worker := range p.mayRun {
			if w := p.workers[worker]; w == nil || w.heard.IsZero() {
				h.Runs[worker] = append(h.Runs[worker], id)
			}
		}
	}
	for _, w := range p.ordered() {
		for _, x := range w.sorted() {
			h.Runs[w.ID] = append(h.Runs[w.ID], x.task.id)
		}
	}
	return h, true
}

// Follow takes over what the holder before has told. Tasks that it does not name run nowhere; without a handover every task of
// an older job may run on a worker that was not heard yet.
func (p *Pool) Follow(h Handover, now time.Time) {
	p.mayRun = map[workload.TaskID]string{}
	for worker, tasks := range h.Runs {
		for _, id := range tasks {
			p.mayRun[id] = worker
		}
	}
	// The holder before gives no orders any more, so that only its last leases count.
	p.unsureUntil = now.Add(p.stretch(p.Settings.Lease))
}

// unsure reports whether a run that a holder before started may be present on a worker that was not heard.
func (p *Pool) unsure(t *task, heard bool, now time.Time) bool {
	if !t.job.restored || heard {
		return false
	}
	if p.mayRun == nil {
		return true
	}
	worker, named := p.mayRun[t.id]
	if !named {
		return false
	}
	w := p.workers[worker]
	return now.Before(p.unsureUntil) && (w == nil || w.heard.IsZero())
}
