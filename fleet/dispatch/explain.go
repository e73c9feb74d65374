package dispatch

import (
	"fmt"
	"slices"
	"time"

	"verbenalanding.example/fleet/workload"
)

// WaitReason says why the next task of a job is not running.
type WaitReason string

// The reasons for which a job waits.
const (
	// WaitNone means that no task of the job waits.
	WaitNone WaitReason = "none"
	// WaitEnded means that the job has ended.
	WaitEnded WaitReason = "ended"
	// WaitNotDue means that its next occurrence is not due yet.
	WaitNotDue WaitReason = "notDue"
	// WaitEarlierSteps means that tasks of earlier steps are running.
	WaitEarlierSteps WaitReason = "earlierSteps"
	// WaitUnreported means that a previous holder may have started the task on a worker that has not reported to this one.
	WaitUnreported WaitReason = "workerNotReported"
	// WaitNoWorker means that no worker takes starts now.
	WaitNoWorker WaitReason = "noWorker"
	// WaitAdvice means that the advice service has not named a worker for the step.
	WaitAdvice WaitReason = "advice"
	// WaitLabel means that no worker has the required label.
	WaitLabel WaitReason = "label"
	// WaitSpread means that each worker runs as many tasks of the step as may share one.
	WaitSpread WaitReason = "spread"
	// WaitTooLarge means that the task needs more than the capacity of any worker.
	WaitTooLarge WaitReason = "tooLarge"
	// WaitNoCapacity means that the free capacity of no worker suffices.
	WaitNoCapacity WaitReason = "noCapacity"
	// WaitReserved means that the workers with enough free capacity are reserved for larger tasks that have waited.
	WaitReserved WaitReason = "reserved"
	// WaitQuota means that the limit of the job's workspace does not admit the task now.
	WaitQuota WaitReason = "quota"
	// WaitShare means that there is no capacity, and that owed work of other workspaces goes before the job, which its workspace is not owed.
	WaitShare WaitReason = "share"
	// WaitOtherWorker means that the task has failed on each worker with enough free capacity, and waits for another one.
	WaitOtherWorker WaitReason = "otherWorker"
	// WaitNextPlan means that the task is about to be started.
	WaitNextPlan WaitReason = "nextPlan"
	// WaitUnconfirmed means that a start was ordered and no worker has confirmed it, or that the end of a run is not confirmed.
	WaitUnconfirmed WaitReason = "unconfirmed"
)

// Explanation says why a job waits, and when it is likely to go on.
type Explanation struct {
	Job   string         `json:"job"`
	Queue string         `json:"queue"`
	Pool  string         `json:"pool"`
	State workload.State `json:"state"`
	workspaceExplanation
	// Reason is that of the next task that waits.
	Reason WaitReason `json:"reason"`
	// Since is when that task became ready; zero if it is not ready.
	Since time.Time `json:"since,omitzero"`
	// Waiting counts the tasks that are ready and wait, Running those with a run that a worker has confirmed, and Unconfirmed those that may have a
	// run: its start, or its end, is not confirmed.
	Waiting     int `json:"waiting"`
	Running     int `json:"running"`
	Unconfirmed int `json:"unconfirmed"`
	// JobsBefore counts the jobs whose waiting tasks are placed first, WorkBefore is the work of these tasks in core-seconds.
	JobsBefore int     `json:"jobsBefore"`
	WorkBefore float64 `json:"workBefore"`
	// Cores is the capacity of the workers that take starts, FreeCores what no task has reserved.
	Cores     float64 `json:"cores"`
	FreeCores float64 `json:"freeCores"`
	// EstimatedStart is when the next task is likely to start; zero if that cannot be estimated.
	EstimatedStart time.Time `json:"estimatedStart,omitzero"`
	// Basis says what the estimate is based on.
	Basis string `json:"basis"`
}

const milliPerCore = 1000

// explainer holds what the explanations of several jobs have in common.
type explainer struct {
	pool *Pool
	now  time.Time
	u    uncertainty
	// before holds, for each job with waiting tasks, how many jobs are placed before it and their work in core-seconds.
	before map[*job]workBefore
	// all holds what all jobs with waiting tasks have.
	all workBefore
	// cores is the capacity of the workers that take starts, free what no task has reserved.
	cores, free float64
}

type workBefore struct {
	jobs int
	work float64
}

func (p *Pool) newExplainer(now time.Time) *explainer {
	x := &explainer{pool: p, now: now, u: p.currentUncertainty(now), before: map[*job]workBefore{}}
	x.cores, x.free = p.cores(now)
	var before workBefore
	for _, c := range p.candidates(x.u, now) {
		if _, listed := x.before[c.job]; !listed {
			x.before[c.job] = before
		}
		before.jobs++
		before.work += p.waitingWork(c, x.u)
	}
	x.all = before
	return x
}

// cores returns the capacity of the workers that take starts, and what no task has reserved.
func (p *Pool) cores(now time.Time) (all, free float64) {
	for _, w := range p.sortedWorkers() {
		if p.usable(w, now) {
			all += float64(w.Capacity.CPU) / milliPerCore
			free += float64(max(0, w.free().CPU)) / milliPerCore
		}
	}
	return all, free
}

// Explain says why a job waits; known is false for an unknown job.
func (p *Pool) Explain(id string, now time.Time) (e Explanation, known bool) {
	j := p.jobs[id]
	if j == nil {
		return Explanation{}, false
	}
	return p.newExplainer(now).explain(j), true
}

func (x *explainer) explain(j *job) Explanation {
	state, _ := x.pool.JobState(j.ID)
	before := x.before[j]
	e := Explanation{
		Job: j.ID, Queue: j.Queue, Pool: x.pool.Name, State: state, JobsBefore: before.jobs, WorkBefore: before.work, Cores: x.cores, FreeCores: x.free,
	}
	if j.state.Terminal() {
		e.Reason, e.Basis = WaitEnded, "the job has ended"
		return e
	}
	e.workspaceExplanation = x.workspaceOf(j)
	e.countTasks(j, x.u)
	oc, t := nextTask(j)
	switch {
	case t != nil:
		e.explainTask(x, j, oc, t)
	case j.schedule.next < j.schedule.total && !j.Due(j.schedule.next).After(x.now):
		e.Reason, e.JobsBefore, e.WorkBefore = WaitNoCapacity, x.all.jobs, x.all.work
		e.Basis = fmt.Sprintf("the pool keeps the state of %d tasks; the job follows as others end", maxOpenTasks)
	case j.schedule.next < j.schedule.total:
		e.explainNotDue(j.Due(j.schedule.next), j.schedule.next)
	case e.Unconfirmed > 0:
		e.Reason, e.Basis = WaitUnconfirmed, "starts were ordered, or workers have ended, and no confirmation has arrived"
	default:
		e.Reason, e.Basis = WaitNone, "all tasks that are left are running"
	}
	return e
}

func (e *Explanation) explainNotDue(due time.Time, occurrence int) {
	e.Reason, e.EstimatedStart, e.Basis = WaitNotDue, due, fmt.Sprintf("occurrence %d is due then", occurrence)
}

// nextTask returns the first task of an open occurrence that is not done and has no run, with its occurrence; nil if there is none.
func nextTask(j *job) (*occurrence, *task) {
	for _, oc := range j.schedule.open {
		for s := range oc.steps {
			for _, t := range oc.steps[s].tasks {
				if !t.done && len(t.runs) == 0 {
					return oc, t
				}
			}
		}
	}
	return nil, nil
}

func (e *Explanation) countTasks(j *job, u uncertainty) {
	for _, oc := range j.schedule.open {
		for s := range oc.steps {
			st := &oc.steps[s]
			for _, t := range st.tasks {
				switch {
				case slices.ContainsFunc(t.runs, (*run).running):
					e.Running++
				case len(t.runs) > 0:
					e.Unconfirmed++
				case st.ready && waiting(t, u):
					e.Waiting++
				}
			}
		}
	}
}

// waitingWork returns the work of a candidate's waiting tasks in core-seconds. Long-running tasks keep their cores, and count as work of a second.
func (p *Pool) waitingWork(c *candidate, u uncertainty) float64 {
	work := 0.0
	for s := range c.occurrence.steps {
		st := &c.occurrence.steps[s]
		if !st.ready || st.withoutRun == 0 {
			continue
		}
		took := time.Second
		if !st.longRunning {
			took = p.expectedRunTime(st)
		}
		each := float64(float64(st.reserved.CPU) / milliPerCore * took.Seconds())
		for range st.countWaiting(u) {
			work += each
		}
	}
	return work
}

// explainTask sets the reason for which a task waits, and the estimate of its start.
func (e *Explanation) explainTask(x *explainer, j *job, oc *occurrence, t *task) {
	p, now, s := x.pool, x.now, t.id.Step
	switch {
	case oc.due.After(now):
		e.explainNotDue(oc.due, oc.number)
		return
	case !t.state.ready:
		e.Reason, e.Basis = WaitEarlierSteps, fmt.Sprintf("step %d waits for steps %v", s, j.Steps[s].After)
		if left := p.earlierStepsLeft(j, oc, s, now); left > 0 {
			e.EstimatedStart = now.Add(left)
			e.Basis += ", by the run times that were learnt"
		}
		return
	}
	e.Since = t.readySince
	if x.u.mayRun(t) {
		e.Reason, e.EstimatedStart = WaitUnreported, p.priorRunUntil(t)
		e.Basis = "a worker that has not reported may run the task, at most until then"
		return
	}
	if basis, forbidden := p.explainQuota(t); forbidden {
		e.Reason, e.Basis = WaitQuota, basis
		return
	}
	e.Reason = p.placementReason(t, now)
	e.estimateStart(t, now)
	e.explainShare()
	if r := p.reservationOf(t.state); r != nil && e.Reason == WaitNoCapacity {
		e.EstimatedStart, e.Basis = r.at, fmt.Sprintf("%d workers are reserved for it, %s first, until %s at the latest", len(r.places), r.places[0].worker.ID, r.until.Format(time.TimeOnly))
	}
}

// earlierStepsLeft estimates how long the steps before a step still run.
func (p *Pool) earlierStepsLeft(j *job, oc *occurrence, s int, now time.Time) time.Duration {
	left := time.Duration(0)
	for _, a := range j.Steps[s].After {
		st := &oc.steps[a]
		if st.done < len(st.tasks) && !st.startedAt.IsZero() {
			left = max(left, p.expectedDuration(st.tasks[0])-now.Sub(st.startedAt))
		}
	}
	return left
}

// placementReason says why no worker gets a task that is ready.
func (p *Pool) placementReason(t *task, now time.Time) WaitReason {
	need := t.step.Reserved()
	if t.job.queue.Advice != nil && !p.hasTickets(t, now) {
		return WaitAdvice
	}
	reason := WaitNoWorker
	for _, w := range p.sortedWorkers() {
		if p.usable(w, now) {
			reason = furthest(reason, p.workerReason(w, t, need, now))
		}
	}
	return reason
}

// reasonOrder holds the reasons of single workers: the later one, which more conditions precede, is that of the pool.
var reasonOrder = []WaitReason{WaitNoWorker, WaitLabel, WaitTooLarge, WaitSpread, WaitNoCapacity, WaitReserved, WaitOtherWorker, WaitNextPlan}

func furthest(a, b WaitReason) WaitReason {
	return reasonOrder[max(slices.Index(reasonOrder, a), slices.Index(reasonOrder, b))]
}

func (p *Pool) workerReason(w *worker, t *task, need workload.Resources, now time.Time) WaitReason {
	switch {
	case t.step.RequiredLabel != "" && !slices.Contains(w.Labels, t.step.RequiredLabel):
		return WaitLabel
	case !w.Capacity.Fits(need):
		return WaitTooLarge
	case t.step.MaxPerWorker > 0 && p.onWorker(t, w) >= t.step.MaxPerWorker:
		return WaitSpread
	case !w.free().Fits(need):
		return WaitNoCapacity
	case p.keptFree(w, t, now):
		return WaitReserved
	case slices.Contains(t.failedOn, w.ID):
		return WaitOtherWorker
	}
	return WaitNextPlan
}

// estimateStart estimates the start of a task that waits for a worker.
func (e *Explanation) estimateStart(t *task, now time.Time) {
	switch e.Reason {
	case WaitNextPlan:
		e.EstimatedStart, e.Basis = now, "a worker has enough free capacity"
	case WaitReserved:
		e.Basis = "no estimate: it follows once the larger tasks have started, or their reservations have ended"
	case WaitOtherWorker:
		e.EstimatedStart, e.Basis = t.returnsAt(), "the task then runs again on a worker on which it has failed"
	case WaitNoCapacity:
		e.EstimatedStart = now.Add(workload.Scale(time.Second, e.WorkBefore/e.Cores))
		e.Basis = fmt.Sprintf("%.0f core-seconds of %d jobs are placed before it, on %.0f cores", e.WorkBefore, e.JobsBefore, e.Cores)
	default:
		e.Basis = "no estimate: it depends on a change of the workers"
	}
}

// QueueExplanation says why the jobs of a queue wait.
type QueueExplanation struct {
	Queue string `json:"queue"`
	Pool  string `json:"pool"`
	// Jobs counts the accepted jobs that have not ended, Reasons those that wait, by the reason of their next task.
	Jobs    int                `json:"jobs"`
	Reasons map[WaitReason]int `json:"reasons"`
	// Longest is the explanation of the job whose next task has been ready for the longest time.
	Longest *Explanation `json:"longest,omitempty"`
}

// ExplainQueue says why the jobs of a queue wait.
func (p *Pool) ExplainQueue(queue workload.Queue, now time.Time) QueueExplanation {
	q := QueueExplanation{Queue: queue.Name, Pool: p.Name, Reasons: map[WaitReason]int{}}
	x := p.newExplainer(now)
	for _, j := range p.active {
		if !j.Terms.Same(&queue) {
			continue
		}
		q.Jobs++
		e := x.explain(j)
		if e.Reason == WaitNone {
			continue
		}
		q.Reasons[e.Reason]++
		q.addLongest(&e)
	}
	return q
}

// Add adds the jobs of the queue that wait in a pool which the queue has left.
func (q *QueueExplanation) Add(other QueueExplanation) {
	q.Jobs += other.Jobs
	for reason, n := range other.Reasons {
		q.Reasons[reason] += n
	}
	if other.Longest != nil {
		q.addLongest(other.Longest)
	}
}

func (q *QueueExplanation) addLongest(e *Explanation) {
	if !e.Since.IsZero() && (q.Longest == nil || e.Since.Before(q.Longest.Since)) {
		q.Longest = e
	}
}
