package dispatch

import (
	"maps"
	"slices"
	"time"

	"verbenalanding.example/fleet/workload"
)

// SetLiveWorkers tells the workers that live, from a source that does not depend on their registrations: a worker whose heartbeats are
// lost goes on.
func (p *Pool) SetLiveWorkers(ids []string) {
	p.living = map[string]bool{}
	for _, id := range ids {
		if p.unheard(id) {
			p.living[id] = true
		}
	}
}

// uncertainty is what a new holder does not know of the runs that a holder before started.
type uncertainty struct {
	// everywhere is true while any task of an older job may run on an unheard worker.
	everywhere bool
	// named holds the tasks that may run on unheard workers of which a holder before told, and those that workers listed before their
	// jobs were known.
	named map[workload.TaskID]bool
}

// uncertain returns what is not known yet; after a complete handover only the tasks that it names can be unsure.
func (p *Pool) uncertain(now time.Time) uncertainty {
	u := uncertainty{named: map[workload.TaskID]bool{}}
	for _, w := range p.workers {
		maps.Copy(u.named, w.early)
	}
	if p.leasesOver(now) {
		clear(p.gone)
		u.everywhere = p.someListedInPart()
		return u
	}
	told := p.inherited
	if p.mayRun != nil {
		told = p.mayRun
	}
	p.nameUnheard(u, told)
	// A complete handover leaves out only what a holder that was lost before its writer may have ordered since.
	if p.mayRun == nil || p.heardBefore != nil {
		u.everywhere = p.unaccounted(told)
	}
	return u
}

// someListedInPart reports whether a worker has listed some of its ends only.
func (p *Pool) someListedInPart() bool {
	return slices.ContainsFunc(p.ordered(), func(w *worker) bool { return w.partial })
}

// unaccounted reports whether there may be a worker that takes orders of a lost holder and of which nobody told what it runs.
func (p *Pool) unaccounted(told Unresponsive) bool {
	if len(p.workers) == 0 || (p.AwaitWorkerList && p.living == nil) {
		return true
	}
	for _, w := range p.workers {
		if w.reborn || (p.unheard(w.ID) && !p.accounted(w.ID, w.Incarnation, told)) {
			return true
		}
	}
	for id := range p.living {
		if _, gone := p.ended[id]; !gone && p.workers[id] == nil && !p.accounted(id, 0, told) {
			return true
		}
	}
	for id := range p.inheritedKnown {
		if p.workers[id] == nil && p.unheard(id) && !p.accounted(id, 0, told) {
			return true
		}
	}
	return false
}

// accounted reports whether a holder before told all that a worker may run. One that it had heard takes no orders of lost holders as
// long as it lives; one that was silent gets none.
func (p *Pool) accounted(id string, born int64, told Unresponsive) bool {
	if heard, ok := p.heardBefore[id]; ok {
		return heard == born
	}
	_, ok := told[id]
	return ok
}

// nameUnheard adds the tasks that may run on workers that were not heard, as a holder before told.
func (p *Pool) nameUnheard(u uncertainty, told Unresponsive) {
	for id, tasks := range told {
		if !p.unheard(id) {
			continue
		}
		for _, t := range tasks {
			u.named[t] = true
		}
	}
}

// unheard reports whether this holder has had neither a whole report of a worker nor a proof of its end.
func (p *Pool) unheard(id string) bool {
	if w := p.workers[id]; w != nil {
		return w.heard.IsZero() || w.partial
	}
	return !p.gone[id]
}

// unsure reports whether a run that a holder before started may be present on a worker that was not heard.
func (u uncertainty) unsure(t *task) bool {
	return u.named[t.id] || (t.job.restored && u.everywhere)
}
