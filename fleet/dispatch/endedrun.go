package dispatch

import (
	"slices"
	"time"
)

// endedRun is a run that ended with its worker. A newer holder may have received its end from the worker before that, so that its task starts again
// only once the duty is confirmed after this holder learned of the worker's end.
type endedRun struct {
	*run
	reason string
	// seenAt is the time of the first plan after this holder learned of the worker's end; zero before.
	seenAt time.Time
}

// loseWithWorker gives up a run whose worker has ended or restarted.
func (p *Pool) loseWithWorker(r *run, reason string) {
	if !p.AwaitConfirmation {
		p.lose(r, reason)
		return
	}
	r.detach()
	r.phase = ended
	p.endedRuns = append(p.endedRuns, endedRun{run: r, reason: reason})
}

// confirmEnds gives up the ended runs whose end the duty's confirmation covers.
func (p *Pool) confirmEnds(now time.Time) {
	p.endsSeen(now)
	p.endedRuns = slices.DeleteFunc(p.endedRuns, func(e endedRun) bool {
		if !p.confirmedSince(e.seenAt) {
			return false
		}
		p.removeFromTask(e.run)
		p.emitLost(e.run, e.reason)
		return true
	})
}

// endsSeen records now as the time of the ends that this holder learned of since the last plan.
func (p *Pool) endsSeen(now time.Time) {
	for i := range p.endedRuns {
		if p.endedRuns[i].seenAt.IsZero() {
			p.endedRuns[i].seenAt = now
		}
	}
	for id, seenAt := range p.endConfirmed {
		if seenAt.IsZero() {
			p.endConfirmed[id] = now
		}
	}
	for _, w := range p.workers {
		if w.endedEarlier && w.endedEarlierSeenAt.IsZero() {
			w.endedEarlierSeenAt = now
		}
	}
	if p.liveWorkers != nil && p.liveWorkersSeenAt.IsZero() {
		p.liveWorkersSeenAt = now
	}
}

// confirmedSince reports whether the duty is confirmed to have been held after a time. A zero time stands for something that no plan has seen.
func (p *Pool) confirmedSince(seenAt time.Time) bool {
	return !p.AwaitConfirmation || (!seenAt.IsZero() && p.confirmedAt.After(seenAt))
}

// NeedsConfirmation reports whether tasks wait for a confirmation of the duty, since a worker has ended.
func (p *Pool) NeedsConfirmation() bool {
	if !p.AwaitConfirmation {
		return false
	}
	if len(p.endedRuns) > 0 || (p.liveWorkers != nil && !p.confirmedSince(p.liveWorkersSeenAt)) {
		return true
	}
	for _, seenAt := range p.endConfirmed {
		if !p.confirmedSince(seenAt) {
			return true
		}
	}
	return slices.ContainsFunc(p.sortedWorkers(), func(w *worker) bool { return w.endedEarlier && !p.confirmedSince(w.endedEarlierSeenAt) })
}
