package dispatch

import "time"

const (
	// suspectAfter is the weight of failures from which on a worker is suspected: each failed run of another job counts one, and each
	// run that is done halves the sum.
	suspectAfter = 2
	// suspectShare is the part of a pool's workers, as one in so many, up to which suspected workers get no work: where more of
	// them fail, the jobs are at fault.
	suspectShare = 3
	// firstSuspicion is how long a worker gets no starts once it is suspected; it doubles with each further failure.
	firstSuspicion = 2 * time.Second
)

func (w *worker) suspected(now time.Time) bool {
	return w.failures >= suspectAfter || now.Before(w.suspectUntil)
}

// countSuspects takes note of how many workers are suspected.
func (p *Pool) countSuspects(now time.Time) {
	p.suspects = 0
	for _, w := range p.workers {
		if w.suspected(now) {
			p.suspects++
		}
	}
}

// shunned reports whether a suspected worker gets no task now; when its time is over it is tried with one at a time.
func (p *Pool) shunned(w *worker, now time.Time) bool {
	if !w.suspected(now) || p.suspects*suspectShare > len(p.workers) {
		return false
	}
	return now.Before(w.suspectUntil) || len(w.runs) > 0
}

// failedOn counts a run that failed through its own fault or its worker's.
func (p *Pool) failedOn(w *worker, t *task, now time.Time) {
	// A task that failed elsewhere too is at fault itself.
	if len(t.failedRuns) != 1 || w.failedJob == t.id.Job {
		return
	}
	w.failures++
	w.failedJob = t.id.Job
	if w.failures < suspectAfter {
		return
	}
	w.suspectUntil = now.Add(min(firstSuspicion<<min(int(w.failures)-suspectAfter, 8), p.Settings.MaxSuspicion))
	p.note(Event{Kind: "worker suspected", Worker: w.ID, Reason: "runs of several jobs failed"})
}

// succeeded counts a run that was done.
func (w *worker) succeeded() {
	w.failures, w.failedJob = w.failures/2, ""
	if w.failures < suspectAfter {
		w.suspectUntil = time.Time{}
	}
}
