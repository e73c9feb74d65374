package dispatch

import "time"

const (
	// suspectAfter is the weight of failures from which a worker is suspected: each failed run of another job counts one, and each
	// successful run halves the sum.
	suspectAfter = 2
	// suspectShare is the largest share of a pool's workers, as one in so many, for which suspected workers get no work: if more of them
	// fail, the jobs are at fault.
	suspectShare = 3
	// firstSuspicion is how long a newly suspected worker gets no starts; it doubles with each further failure.
	firstSuspicion = 2 * time.Second
)

func (w *worker) suspected(now time.Time) bool {
	return w.failures >= suspectAfter || now.Before(w.suspectUntil)
}

// countSuspects counts the suspected workers.
func (p *Pool) countSuspects(now time.Time) {
	p.suspectCount = 0
	for _, w := range p.sortedWorkers() {
		if w.suspected(now) {
			p.suspectCount++
		}
	}
}

// suspended reports whether a suspected worker gets no starts now. Once suspectUntil has passed it gets one task at a time.
func (p *Pool) suspended(w *worker, now time.Time) bool {
	if !w.suspected(now) || p.suspectCount*suspectShare > len(p.workers) {
		return false
	}
	return now.Before(w.suspectUntil) || len(w.runs) > 0
}

// recordFailure counts a failed run against its worker, unless its task or job may be at fault.
func (p *Pool) recordFailure(w *worker, t *task, now time.Time) {
	// A task that has failed on several workers is at fault itself, and several failures of one job in a row count once.
	if len(t.failedRuns) != 1 || w.failedJob == t.id.Job {
		return
	}
	w.failures++
	w.failedJob = t.id.Job
	if w.failures < suspectAfter {
		return
	}
	w.suspectUntil = now.Add(min(firstSuspicion<<min(int(w.failures)-suspectAfter, 8), p.Settings.MaxSuspicion))
	p.emit(Event{Kind: "worker suspected", Worker: w.ID, Reason: "runs of several jobs failed"})
}

// recordSuccess counts a successful run.
func (w *worker) recordSuccess() {
	w.failures, w.failedJob = w.failures/2, ""
	if w.failures < suspectAfter {
		w.suspectUntil = time.Time{}
	}
}
