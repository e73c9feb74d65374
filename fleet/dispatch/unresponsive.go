package dispatch

import (
	"slices"
	"time"

	"verbenalanding.example/fleet/workload"
)

// TasksByWorker holds, by worker, the tasks that may run on workers that have not reported: the unresponsive workers, or those that a
// handover names.
type TasksByWorker map[string][]workload.TaskID

// UnresponsiveRecord returns the workers to record as unresponsive; they get no starts until a record without them is written. changed is
// false while the stored record already names exactly these and no write is needed.
func (p *Pool) UnresponsiveRecord(now time.Time) (s TasksByWorker, changed bool) {
	s = TasksByWorker{}
	for id, tasks := range p.inheritedUnresponsive {
		// The previous holder's record of a worker applies until the worker reports or its last lease has ended.
		if !p.priorLeasesEnded(now) && p.awaitsReport(id) {
			s[id] = tasks
		}
	}
	for id, until := range p.departed {
		if now.After(until) {
			delete(p.departed, id)
			continue
		}
		s[id] = nil
	}
	for _, w := range p.sortedWorkers() {
		// Writing the record confirms that this holder still holds the duty.
		if w.confirmation != confirmed {
			w.confirmation, changed = confirmationPending, true
		}
		// A successor does not learn of a worker without a registration, so the record names such a worker too.
		lost := now.Sub(w.reportedAt) > p.Settings.ReportTimeout || !w.missingSince.IsZero()
		if !lost || !(w.synced || w.lapsed) || w.hasUnrecordedEnds() || w.partial {
			continue
		}
		w.excluded = true
		s[w.ID] = w.possibleTasks()
	}
	for _, w := range p.sortedWorkers() {
		if _, named := s[w.ID]; w.excluded && !named {
			// The store may name the worker after an unanswered write, so a record without it is needed.
			changed = true
		}
	}
	return s, changed || !p.recordedUnresponsive.covers(s)
}

// covers reports whether s names the same workers as other, and all of its tasks.
func (s TasksByWorker) covers(other TasksByWorker) bool {
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

// UnresponsiveRecorded reports that a record of unresponsive workers is in the store; workers that it does not name may get starts again.
func (p *Pool) UnresponsiveRecorded(s TasksByWorker) {
	p.recordedUnresponsive = s
	for _, w := range p.workers {
		if _, named := s[w.ID]; !named && w.confirmation != confirmationNeeded {
			w.excluded, w.confirmation = false, confirmed
		}
	}
}

// InheritUnresponsive applies the record of unresponsive workers that the previous holder stored.
func (p *Pool) InheritUnresponsive(s TasksByWorker) {
	p.inheritedUnresponsive, p.recordedUnresponsive = s, s
}
