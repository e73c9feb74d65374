package dispatch

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"verbenalanding.example/fleet/workload"
)

// candidate is an occurrence of a job with tasks that can be started.
type candidate struct {
	job         *job
	occurrence  *occurrence
	longRunning bool
	inTime      bool
	begun       bool
	density     float64
	// from is when its objective begins and target when it ends; end is when the candidate is likely to be done.
	from   time.Time
	target time.Time
	end    time.Time
	// rank is set where workspaces share the pool.
	rank rank
}

// maxStarts bounds the tasks that one plan starts, and with it the time of a plan; a gang that has begun to start is not divided. A pool has
// at most 512 orders in flight, so that further starts of a plan would wait; the next plan gives them.
const maxStarts = 512

// Plan returns the orders that are due and reserves the capacity of its starts.
func (p *Pool) Plan(now time.Time) []Action {
	p.confirmEnds(now)
	p.checkLeases(now)
	p.repeatStops(now)
	p.replaceDraining(now)
	p.countSuspects(now)
	p.meterArrivals(now)
	p.backlog = p.countBacklog()
	p.rotateBacklog(now)
	for _, j := range p.active {
		p.openDue(j, now)
	}
	p.checkReservations(now)
	u := p.currentUncertainty(now)
	p.index, p.startsLeft = p.newIndex(now), maxStarts
	p.freeAtFirst = p.index.maxFreeCPU()
	p.beginQuota(now)
	list := p.candidates(u, now)
	p.placeAged(list, u, now)
	for _, c := range list {
		p.place(c, u, now)
	}
	p.startSecondRuns(u, now)
	p.reserve(now)
	p.updateOutlook(list, u, now)
	p.indexBuffer = p.index.release()
	p.index = nil
	actions := p.actions
	p.actions = nil
	return actions
}

func (p *Pool) repeatStops(now time.Time) {
	p.stops = slices.DeleteFunc(p.stops, func(x *run) bool {
		x.inStops = x.phase == stopping && x.worker.runs[runKey{x.task.id, x.number}] == x
		return !x.inStops
	})
	slices.SortFunc(p.stops, func(a, b *run) int { return cmp.Or(strings.Compare(a.worker.ID, b.worker.ID), compareRuns(a, b)) })
	for _, x := range p.stops {
		if now.Sub(x.stopSent) >= p.Settings.StopRetry {
			x.stopSent = now
			p.actions = append(p.actions, Stop{Worker: x.worker.Worker, Task: x.task.id, Run: x.number, Reason: x.stopReason})
		}
	}
}

// replaceDraining stops the long-running tasks on draining workers as far as each could be placed elsewhere, so that they continue there.
func (p *Pool) replaceDraining(now time.Time) {
	for _, w := range p.sortedWorkers() {
		if !w.Draining {
			continue
		}
		for _, x := range w.sortedRuns() {
			if x.task.step.LongRunning && x.phase == present && p.placeable(x.task, now) {
				p.stop(x, "worker drains")
			}
		}
	}
}

func (p *Pool) placeable(t *task, now time.Time) bool {
	return !t.overQuota() && p.choose(t, t.step.Reserved(), now) != nil
}

// waiting reports whether a task is not done and certainly has no run.
func waiting(t *task, u uncertainty) bool {
	return !t.done && len(t.runs) == 0 && !u.mayRun(t)
}

// candidates returns the candidates in the order in which they are placed; the list is valid until the next call.
func (p *Pool) candidates(u uncertainty, now time.Time) []candidate {
	list := p.candidateBuffer[:0]
	for _, j := range p.active {
		if j.schedule.withoutRun == 0 {
			continue
		}
		for _, oc := range j.schedule.open {
			if c, ok := p.candidate(j, oc, u, now); ok {
				list = append(list, c)
			}
		}
	}
	p.sortCandidates(list)
	// What is left of a longer list would keep jobs that have ended.
	clear(list[len(list):cap(list)])
	p.candidateBuffer = list
	return list
}

func (p *Pool) candidate(j *job, oc *occurrence, u uncertainty, now time.Time) (candidate, bool) {
	if oc.stepsLeft == 0 || oc.due.After(now) {
		return candidate{}, false
	}
	hasWaiting, uncertain := false, false
	begun := false
	longRunning := false
	for s := range oc.steps {
		st := &oc.steps[s]
		begun = begun || st.done > 0 || st.hasRuns() || !st.startedAt.IsZero()
		if !st.ready || st.withoutRun == 0 {
			continue
		}
		uncertain = true
		if slices.ContainsFunc(st.tasks, func(t *task) bool { return waiting(t, u) }) {
			hasWaiting = true
			longRunning = longRunning || j.Steps[s].LongRunning
		}
	}
	if !hasWaiting {
		if uncertain && !j.first.hasOrder() {
			j.first.change(CauseUnreported, now)
		}
		return candidate{}, false
	}
	c := candidate{job: j, occurrence: oc, longRunning: longRunning, begun: begun}
	if longRunning {
		return c, true
	}
	est := p.estimate(j, oc, now)
	from := j.Accepted
	if !j.firstCall.IsZero() {
		from = j.firstCall
	}
	if oc.due.After(from) {
		from = oc.due
	}
	target := from.Add(workload.Scale(est.criticalPath, j.queue.Stretch) + j.queue.TargetDuration)
	c.from, c.target, c.end = from, target, now.Add(est.remainingPath)
	c.inTime = !c.end.After(target)
	c.density = p.worth(j, est) / max(est.work, 0.001)
	return c, true
}

// A job's worth consists of a fixed part and a part in proportion to its work relative to the mean of its queue.
const (
	fixedWorth = 0.3
	workWorth  = 0.7
	maxWorth   = 4
)

func (p *Pool) worth(j *job, est jobEstimate) float64 {
	f := p.queueWork[j.Queue]
	if f == nil {
		f = &runningMean{mean: est.total}
		p.queueWork[j.Queue] = f
	}
	if j.worth == 0 {
		f.samples++
		f.mean += max(learnWeight, 1/float64(f.samples)) * (est.total - f.mean)
		j.worth = min(fixedWorth+workWorth*est.total/max(f.mean, 0.001), maxWorth)
	}
	return j.worth
}

// compareCandidates orders long-running tasks first, then by priority; then occurrences that can still meet their target time before the
// rest, and those that were begun before others; then by worth per core-second.
func compareCandidates(a, b candidate) int {
	return cmp.Or(
		compareTrueFirst(a.longRunning, b.longRunning),
		cmp.Compare(a.job.queue.Priority, b.job.queue.Priority),
		compareTrueFirst(a.inTime, b.inTime),
		compareTrueFirst(a.begun, b.begun),
		-cmp.Compare(a.density, b.density),
		a.job.Accepted.Compare(b.job.Accepted),
	)
}

func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// place starts the tasks of a candidate for which there is free capacity.
func (p *Pool) place(c candidate, u uncertainty, now time.Time) {
	oc := c.occurrence
	for s := range oc.steps {
		st := &oc.steps[s]
		if !st.ready || st.withoutRun == 0 {
			continue
		}
		if p.startsLeft <= 0 {
			p.noteWait(c.job, 0, now)
			return
		}
		large := p.isLarge(&c.job.Steps[s])
		if c.job.Steps[s].Gang {
			if p.placeGang(st, u, now) {
				if large && !st.hasRuns() {
					p.noteLargeWait(st.tasks[0], now)
				}
				p.noteWait(c.job, c.job.Steps[s].Reserved().CPU, now)
			}
			p.index.unplacedCPU += int64(st.withoutRun) * c.job.Steps[s].Reserved().CPU
			continue
		}
		for _, t := range st.tasks {
			if p.startsLeft <= 0 {
				return
			}
			if !waiting(t, u) {
				continue
			}
			if !p.withinQuota(t, now) {
				// The other tasks of the step are equal to this one.
				break
			}
			var w *worker
			if t.step.Reserved().CPU <= p.index.maxFreeCPU() {
				w = p.choose(t, t.step.Reserved(), now)
			}
			if w == nil && t.step.LongRunning && !t.step.Fills {
				p.preempt(t, now)
			}
			if w == nil {
				p.noteWait(c.job, t.step.Reserved().CPU, now)
			}
			if w == nil && large {
				p.noteLargeWait(t, now)
			}
			if w == nil && len(t.failedOn) > 0 {
				// Other tasks of the step may run where this one has failed.
				continue
			}
			if w == nil {
				// The other tasks of the step are equal to this one and cannot be placed either.
				break
			}
			p.start(t, w, p.nextRun(t), now)
		}
		p.index.unplacedCPU += int64(st.withoutRun) * c.job.Steps[s].Reserved().CPU
	}
}

func (p *Pool) nextRun(t *task) int {
	if t.job.restored {
		// A lost holder may have used run numbers that this one does not know; epochs increase faster than run numbers.
		return max(t.lastRun, int(p.Epoch)) + 1
	}
	return t.lastRun + 1
}

func (p *Pool) start(t *task, w *worker, number int, now time.Time) {
	j := t.job
	x := &run{task: t, number: number, worker: w, phase: ordered, orderedAt: now, pace: 100, resumed: t.checkpoint != ""}
	x.startLeaseEnd = w.clockAt(now) + p.Settings.StartLease
	p.extendLease(w, now, p.Settings.StartLease)
	w.leaseSentAt = now
	p.startsLeft--
	j.first.change(CauseOrders, now)
	waited := now.Sub(t.readySince)
	if len(t.runs) > 0 {
		waited = 0
	}
	freeBefore := w.free().CPU
	x.attach()
	if p.index != nil {
		p.index.started(p, w, freeBefore, now)
	}
	p.actions = append(p.actions, Start{
		Worker: w.Worker, Task: t.id, Run: number, Spec: j.Spec, Checkpoint: t.checkpoint, Ticket: p.ticket(t, w, now),
		LeaseEnd: x.startLeaseEnd, Waited: waited,
	})
}

const (
	// failedTaskWait is how long a task whose run has failed waits for another worker before it runs again on the same one, and
	// failedAgainWait from its second failed run on. The other workers may be occupied by tasks that run until they are cancelled.
	failedTaskWait  = time.Second
	failedAgainWait = 2 * time.Second
)

// returnsAt returns when a task may run again on a worker on which it has failed, although another one could run it once it has room.
func (t *task) returnsAt() time.Time {
	return t.readySince.Add(waitAfterFailures(len(t.failedRuns)))
}

// waitAfterFailures returns how long other workers are waited for after a number of failed runs.
func waitAfterFailures(failures int) time.Duration {
	if failures > 1 {
		return failedAgainWait
	}
	return failedTaskWait
}

// choice is the best one of the workers that were offered; of those with equal scores the one with the lowest id.
type choice struct {
	worker *worker
	score  float64
}

func (c *choice) offer(w *worker, score float64) {
	if c.worker == nil || score < c.score || (score == c.score && w.ID < c.worker.ID) {
		c.worker, c.score = w, score
	}
}

// choose returns the worker for a task, or nil. A task runs again where it failed only if no other worker could ever run it, or if none had
// room for some time: a further failed run may end the job, waiting does not.
func (p *Pool) choose(t *task, need workload.Resources, now time.Time) *worker {
	if p.index != nil && t.job.queue.Advice == nil {
		if p.index.missed(need) {
			return nil
		}
		if !t.step.LongRunning && siblingRack(t) == "" {
			w := p.indexedChoice(t, need, now)
			if w != nil || len(t.failedOn) == 0 {
				return w
			}
			// Only workers on which the task has failed are left.
		}
	}
	return p.chooseOfAll(t, need, now)
}

// chooseOfAll looks at each worker.
func (p *Pool) chooseOfAll(t *task, need workload.Resources, now time.Time) *worker {
	var best, failed choice
	fitsElsewhere := false
	if t.job.queue.Advice != nil && !p.hasTickets(t, now) {
		return nil
	}
	siblings := siblingRack(t)
	for _, w := range p.sortedWorkers() {
		if !p.usable(w, now) || !p.admits(w, t, now) {
			continue
		}
		failedHere := slices.Contains(t.failedOn, w.ID)
		fitsElsewhere = fitsElsewhere || (!failedHere && w.Capacity.Fits(need))
		free := w.free()
		if !free.Fits(need) {
			continue
		}
		score := p.score(w, t, free, now)
		if siblings != "" && siblings != w.Rack {
			score += scoreOtherRack
		}
		if failedHere {
			failed.offer(w, score)
		} else {
			best.offer(w, score)
		}
	}
	if best.worker == nil && (!fitsElsewhere || !now.Before(t.returnsAt())) {
		return failed.worker
	}
	return best.worker
}

// siblingRack returns the rack on which another task of a step runs whose tasks belong on one rack; empty if there is none.
func siblingRack(t *task) string {
	if !t.step.SameRack {
		return ""
	}
	for _, other := range t.state.tasks {
		for _, x := range other.runs {
			if other != t && x.phase != stopping && x.phase != ended {
				return x.worker.Rack
			}
		}
	}
	return ""
}

// admits reports whether the rules of the step allow a task on a worker.
func (p *Pool) admits(w *worker, t *task, now time.Time) bool {
	step := t.step
	if step.RequiredLabel != "" && !slices.Contains(w.Labels, step.RequiredLabel) {
		return false
	}
	if t.job.queue.Advice != nil && p.ticket(t, w, now) == "" {
		return false
	}
	if step.MaxPerWorker > 0 && p.onWorker(t, w) >= step.MaxPerWorker {
		return false
	}
	if p.keptFree(w, t, now) {
		if p.index != nil {
			p.index.kept = true
		}
		return false
	}
	return true
}

// onWorker counts the runs of the task's step and occurrence on a worker.
func (p *Pool) onWorker(t *task, w *worker) int {
	n := 0
	for _, other := range t.state.tasks {
		for _, x := range other.runs {
			if x.worker == w {
				n++
			}
		}
	}
	return n
}

// preempt stops finite tasks in favour of a long-running task, which must not wait; those that have run for the shortest time are stopped
// first.
func (p *Pool) preempt(t *task, now time.Time) {
	need := t.step.Reserved()
	var best *worker
	var bestLoss time.Duration
	for _, w := range p.sortedWorkers() {
		if !p.usable(w, now) || !p.admits(w, t, now) {
			continue
		}
		free, loss := w.free(), time.Duration(0)
		pending := false
		for _, x := range victims(w) {
			if x.phase == stopping {
				free = free.Plus(x.task.step.Reserved())
				pending = true
			}
		}
		if pending && free.Fits(need) {
			// Capacity is already being freed on this worker.
			return
		}
		for _, x := range victims(w) {
			if free.Fits(need) {
				break
			}
			if x.phase != stopping {
				free = free.Plus(x.task.step.Reserved())
				loss += now.Sub(x.orderedAt)
			}
		}
		if free.Fits(need) && (best == nil || loss < bestLoss) {
			best, bestLoss = w, loss
		}
	}
	if best == nil {
		return
	}
	free := best.free()
	for _, x := range victims(best) {
		if free.Fits(need) {
			return
		}
		free = free.Plus(x.task.step.Reserved())
		p.stop(x, "preempted by a long-running task")
	}
}

// victims returns the worker's runs of finite tasks, the most recently ordered first.
func victims(w *worker) []*run {
	var list []*run
	for _, x := range w.sortedRuns() {
		if !x.task.step.LongRunning {
			list = append(list, x)
		}
	}
	slices.SortStableFunc(list, func(a, b *run) int { return b.orderedAt.Compare(a.orderedAt) })
	return list
}
