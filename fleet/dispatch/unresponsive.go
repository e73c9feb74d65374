package dispatch

import (
	"slices"
	"time"

	"verbenalanding.example/fleet/workload"
)

// Unresponsive names, for each worker that became silent, the tasks that may run on it; a sealed worker gets no more starts until a
// record without it is written.
type Unresponsive map[string][]workload.TaskID

// UnresponsiveRecord returns the workers to record as silent; changed is false while the record says so already and no write of it is needed.
func (p *Pool) UnresponsiveRecord(now time.Time) (s Unresponsive, changed bool) {
	s = Unresponsive{}
	for id, tasks := range p.inherited {
		// What a holder before said holds until the worker is heard or its last lease has ended.
		if !p.leasesOver(now) && p.unheard(id) {
			s[id] = tasks
		}
	}
	for id, until := range p.quiet {
		if now.After(until) {
			delete(p.quiet, id)
			continue
		}
		s[id] = nil
	}
	for _, w := range p.ordered() {
		// A worker without registration is not known to a successor by it.
		if w.proof != proven {
			w.proof, changed = proofAsked, true
		}
		lost := now.Sub(w.heard) > p.Settings.ReportTimeout || !w.missing.IsZero()
		if !lost || !(w.synced || w.lapsed) || w.open() || w.partial {
			continue
		}
		w.sealed = true
		s[w.ID] = w.mayRun()
	}
	for _, w := range p.ordered() {
		if _, named := s[w.ID]; w.sealed && !named {
			// A record whose write was not answered may name it.
			changed = true
		}
	}
	return s, changed || !p.recordedSeals.cover(s)
}

// cover reports whether s names the same workers as other, and all of its tasks.
func (s Unresponsive) cover(other Unresponsive) bool {
	if len(s) != len(other) {
		return false
	}
	for id, tasks := range other {
		known, named := s[id]
		if !named || slices.ContainsFunc(tasks, func(t workload.TaskID) bool { return !slices.Contains(known, t) }) {
			return false
		}
	}
	return true
}

// UnresponsiveRecorded takes note that a record of silent workers is in the store; workers that it does not name may get starts again.
func (p *Pool) UnresponsiveRecorded(s Unresponsive) {
	p.recordedSeals = s
	for _, w := range p.workers {
		if _, named := s[w.ID]; !named && w.proof != proofNeeded {
			w.sealed, w.proof = false, proven
		}
	}
}

// InheritUnresponsive takes over the record of silent workers that a holder before left.
func (p *Pool) InheritUnresponsive(s Unresponsive) {
	p.inherited, p.recordedSeals = s, s
}
