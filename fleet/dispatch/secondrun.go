package dispatch

import (
	"time"

	"verbenalanding.example/fleet/workload"
)

const (
	// secondRunInterval is the time between two searches for runs that take too long.
	secondRunInterval = 100 * time.Millisecond
	// minSiblings is how many tasks of a step must be done before the others are compared with them.
	minSiblings = 2
	// longRunShare is the part of the runs of a kind that take less time, relative to their step, than one that gets a second run;
	// defaultLongRun is that relation before it is learned, and leastLongRun the least one.
	longRunShare   = 0.95
	defaultLongRun = 2
	leastLongRun   = 1.5
	// secondRunGain is how many times as long as a second run the first one must still take: the second run may itself take longer than others.
	secondRunGain = 1.25
	// secondRunsShare is the largest number of second runs at a time, as one for so many workers; one may run in any case.
	secondRunsShare = 8
)

// siblings holds the run times of the tasks of a step that are done. Run times vary much more between the jobs of a kind than within a step.
type siblings struct {
	sum  time.Duration
	runs int
}

// mean returns the mean run time; ok is false while too few are known.
func (s siblings) mean() (mean time.Duration, ok bool) {
	if s.runs < minSiblings {
		return 0, false
	}
	return max(1, s.sum/time.Duration(s.runs)), true
}

// learnSibling learns from a run that is done how long the tasks of its step take.
func (p *Pool) learnSibling(x *run, now time.Time) {
	if x.presentAt.IsZero() || x.adopted || x.resumed || !x.task.step.Speculative {
		return
	}
	st, took := x.task.state, now.Sub(x.presentAt)
	if mean, ok := st.siblings.mean(); ok {
		key := x.task.meanKey()
		r := p.withinStep[key]
		if r == nil {
			r = &runRatios{}
			p.withinStep[key] = r
		}
		r.add(float64(took) / float64(mean))
	}
	st.siblings.sum += took
	st.siblings.runs++
}

// startSecondRuns starts second runs of tasks that take much longer than the others of their step, if no waiting task needs the room and the workspace's limit allows it. Only steps
// that allow it have them; the first run that is done ends the other one.
func (p *Pool) startSecondRuns(u uncertainty, now time.Time) {
	if p.Settings.SecondRuns >= Never || p.index.unplacedCPU > 0 || now.Sub(p.secondRunsAt) < secondRunInterval {
		return
	}
	p.secondRunsAt = now
	left := max(1, len(p.workers)/secondRunsShare)
	var late []*run
	for _, j := range p.active {
		if j.queue.Advice != nil {
			continue
		}
		for _, oc := range j.schedule.open {
			for s := range oc.steps {
				second, found := p.lateRuns(&oc.steps[s], u, now)
				left -= second
				late = append(late, found...)
			}
		}
	}
	for _, x := range late {
		if left <= 0 || p.startsLeft <= 0 {
			return
		}
		if w := p.chooseSecond(x.task, now); w != nil && p.quotaAllows(x.task) {
			left--
			p.emit(Event{Kind: "second run", Job: x.task.id.Job, Task: x.task.id, Run: x.number, Worker: w.ID, Reason: "run takes longer than others of its step", Age: now.Sub(x.presentAt)})
			p.start(x.task, w, p.nextRun(x.task), now)
		}
	}
}

// quotaAllows reports whether the limit of a task's workspace admits a second run beside what its waiting tasks keep of the limit.
func (p *Pool) quotaAllows(t *task) bool {
	a := t.job.account
	return a.limit == (workload.Resources{}) || (a.checkQuota(t.step.Need, 1, p.uncertainOf(a)).allowed && !overlap(t.step.Need, a.reserved))
}

// lateRuns returns the number of second runs of a step, and its runs that take so long that a second one is likely to end before them.
func (p *Pool) lateRuns(st *stepState, u uncertainty, now time.Time) (second int, late []*run) {
	step := st.tasks[0].step
	if !step.Speculative || step.Gang || step.LongRunning || !st.hasRuns() {
		return 0, nil
	}
	mean, known := st.siblings.mean()
	for _, t := range st.tasks {
		switch {
		case t.done || len(t.runs) == 0:
		case len(t.runs) > 1:
			second += len(t.runs) - 1
		case known && len(t.failedRuns) == 0 && !u.mayRun(t) && p.isLate(t.runs[0], mean, now):
			late = append(late, t.runs[0])
		}
	}
	return second, late
}

// isLate reports whether a run takes longer than most others relative to its step, and is likely to take longer than a second run.
func (p *Pool) isLate(x *run, mean time.Duration, now time.Time) bool {
	if x.phase != present || x.adopted || x.presentAt.IsZero() {
		return false
	}
	factor, learned := p.withinStep[x.task.meanKey()].quantile(longRunShare)
	if !learned {
		factor = defaultLongRun
	}
	if now.Sub(x.presentAt) < workload.Scale(mean, max(factor, leastLongRun)*p.Settings.SecondRuns) {
		return false
	}
	left, known := p.leftByProgress(x, now)
	return !known || left > workload.Scale(mean, secondRunGain)
}

// chooseSecond returns the worker for a second run of a task, or nil: one that runs none of it and is not known to be slow.
func (p *Pool) chooseSecond(t *task, now time.Time) *worker {
	need := t.step.Reserved()
	var best choice
	for _, w := range p.sortedWorkers() {
		if w.slowness > slowWorker || !p.usable(w, now) || w.suspected(now) || !w.free().Fits(need) || !p.admits(w, t, now) {
			continue
		}
		if !t.runsOn(w) {
			best.offer(w, p.score(w, t, w.free(), now))
		}
	}
	return best.worker
}

func (t *task) runsOn(w *worker) bool {
	for _, x := range t.runs {
		if x.worker == w {
			return true
		}
	}
	return false
}
