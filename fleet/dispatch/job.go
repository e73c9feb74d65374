package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"verbenalanding.example/fleet/workload"
)

type task struct {
	id   workload.TaskID
	job  *job
	step *workload.Step
	// state is that of the task's step in its occurrence.
	state *stepState
	done  bool
	runs  []*run
	// readySince is when the task last became ready to start.
	readySince time.Time
	failedOn   []string
	// failedRuns holds the numbers of the failed runs; workers list them in any order.
	failedRuns []int
	lastRun    int
	checkpoint string
}

// countWithoutRun changes the numbers of tasks that are not done and have no run.
func (t *task) countWithoutRun(change int) {
	t.state.withoutRun += change
	t.job.schedule.withoutRun += change
}

// stepState is the state of a step in an occurrence. A plan reads that of each waiting job: it repeats what the order needs of the declared step, which
// lies elsewhere in memory, and has these fields first.
type stepState struct {
	tasks []*task
	done  int
	// withoutRun is the number of tasks that are not done and have no run.
	withoutRun int
	// ready is true once all steps that this one depends on are done.
	ready bool
	// The following are the step's: declared is the run time of a task, cores and reserved are what each needs.
	longRunning, gang bool
	declared          time.Duration
	cores             float64
	reserved          workload.Resources
	after             []int
	// ratio and runTime are the learned run times of the step's kind; nil as long as none were found.
	ratio, runTime *runningMean
	// startedAt is when a worker first confirmed to this holder that a task of the step has begun; zero before.
	startedAt time.Time
	// reserveFrom is when a task of the step may get a reservation again.
	reserveFrom time.Time
	siblings    siblings
}

// hasRuns reports whether a task that is not done has a run, confirmed or ordered.
func (st *stepState) hasRuns() bool { return st.done+st.withoutRun < len(st.tasks) }

// job is a job that the pool knows. What a plan reads of each waiting one stands together, before what was accepted.
type job struct {
	queue    workload.Queue
	schedule schedule
	// account is that of the job's workspace.
	account *account
	worth   float64
	// from is when the objective begins unless an occurrence is due later: when the job was first refused at the call, or accepted.
	from time.Time
	// beyond is set for a job beyond the rate that its workspace is owed, aged while its tasks are placed because they have waited long.
	beyond, aged bool
	// longRunning is set for a job with long-running tasks.
	longRunning bool
	// first is the wait for the first run; nil once a run was present or if a previous holder may have started the job.
	first *firstWait

	workload.Job
	// memory is what the job counts for in the pool's kept bytes.
	memory int64
	state  workload.State
	// started is true once a worker has confirmed that a task of the job has begun; an order to start one may be refused or lost.
	started bool
	// restored is set if a previous holder may have started tasks of the job.
	restored bool
	finished time.Time
	// version counts the changes of the record; recordedVersion is the last version known to be in the store.
	version         int
	recordedVersion int
}

// AddJob adds an accepted job. record is the progress that an earlier holder stored, if any; restored is set if the job was accepted before
// this holder began. A job that was stored under a newer holder is left out: that holder starts its tasks without waiting for this one.
func (p *Pool) AddJob(spec workload.Job, record *Record, restored bool, now time.Time) {
	if p.jobs[spec.ID] != nil || spec.Fence > p.Epoch {
		return
	}
	delete(p.absentJobs, spec.ID)
	// A lost holder also learns of new jobs, by its watch and from callers that it still serves, and may start their tasks unless they were
	// stored under this holder. This holder may learn of such a job much later, while a worker still has ends of its runs that it has not
	// listed.
	storedUnderThis := spec.Fence != 0 && spec.Fence == p.Epoch
	overlaps := !storedUnderThis && (now.Before(p.priorLeasesUntil) || p.hasPartialReport())
	j := &job{Job: spec, account: p.account(spec.Workspace), queue: spec.Terms, state: workload.Queued, restored: restored || overlaps}
	if q, ok := p.queues[spec.Queue]; ok {
		j.queue = q
	}
	j.from = p.firstCallOf(spec.ID, now)
	if j.from.IsZero() {
		j.from = j.Accepted
	}
	p.jobs[spec.ID] = j
	if spec.Workspace != "" {
		p.unmetered = append(p.unmetered, j)
	}
	if record != nil && record.State.Terminal() {
		j.state, j.finished = record.State, record.Finished
		if j.finished.IsZero() {
			j.finished = now
		}
		j.Job.Steps, j.Job.Spec = nil, ""
		p.recount(j)
		return
	}
	p.recount(j)
	j.schedule.total, j.longRunning = j.Occurrences(), j.LongRunning()
	if record == nil || !record.Started {
		p.beginFirstWait(j, now)
	}
	if record != nil {
		p.restore(j, record, now)
	}
	p.active = append(p.active, j)
	p.openDue(j, now)
	p.finishIfDone(j, now)
}

// restore applies the progress that a previous holder stored.
func (p *Pool) restore(j *job, r *Record, now time.Time) {
	j.started = r.Started
	if r.Done.valid(j.schedule.total) {
		j.schedule.done = slices.Clone(r.Done)
	}
	for i, s := range r.Steps {
		oc := p.openOccurrence(j, s.Occurrence, now)
		if oc == nil || !within(s.Step, len(j.Steps)) {
			continue
		}
		oc.steps[s.Step].restore(s)
		// A record lists the steps of an occurrence one after the other; an older version listed those of all occurrences.
		if i+1 == len(r.Steps) || r.Steps[i+1].Occurrence != s.Occurrence {
			p.settle(j, oc, now)
		}
	}
}

// restore applies the progress of a step that a previous holder stored.
func (st *stepState) restore(s StepRecord) {
	for _, i := range s.Done {
		if within(i, len(st.tasks)) && !st.tasks[i].done {
			st.tasks[i].done = true
			st.done++
			st.tasks[i].countWithoutRun(-1)
		}
	}
	for _, f := range s.Tasks {
		if within(f.Index, len(st.tasks)) {
			t := st.tasks[f.Index]
			t.failedRuns, t.lastRun, t.checkpoint = f.FailedRuns, f.LastRun, f.Checkpoint
		}
	}
}

// settle derives the state of a restored occurrence from that of its tasks.
func (p *Pool) settle(j *job, oc *occurrence, now time.Time) {
	oc.stepsLeft = len(oc.steps)
	for s := range oc.steps {
		if st := &oc.steps[s]; st.done == len(st.tasks) {
			oc.stepsLeft--
		}
	}
	if oc.stepsLeft == 0 {
		p.closeOccurrence(j, oc)
		return
	}
	p.updateReadySteps(j, oc, now)
}

// within reports whether an index of a stored record is one of n elements.
func within(i, n int) bool { return i >= 0 && i < n }

// updateReadySteps marks the steps of an occurrence as ready that depend on no unfinished step.
func (p *Pool) updateReadySteps(j *job, oc *occurrence, now time.Time) {
	for s := range oc.steps {
		st := &oc.steps[s]
		if st.ready {
			continue
		}
		st.ready = true
		for _, a := range j.Steps[s].After {
			if oc.steps[a].done < len(oc.steps[a].tasks) {
				st.ready = false
			}
		}
		if st.ready {
			for _, t := range st.tasks {
				t.readySince = now
			}
		}
	}
}

func (p *Pool) taskByID(id workload.TaskID, now time.Time) *task {
	j := p.jobs[id.Job]
	if j == nil || j.state.Terminal() || id.Step >= len(j.Steps) || id.Index >= j.Steps[id.Step].Tasks {
		return nil
	}
	oc := p.openOccurrence(j, id.Occurrence, now)
	if oc == nil {
		return nil
	}
	return oc.steps[id.Step].tasks[id.Index]
}

func (p *Pool) markDirty(j *job) {
	j.version++
	p.dirty[j.ID] = j
}

// markDone marks a task as done and reports whether that completed its job.
func (p *Pool) markDone(t *task, now time.Time) bool {
	if t.done {
		return false
	}
	t.done = true
	if len(t.runs) == 0 {
		t.countWithoutRun(-1)
	}
	j := t.job
	p.markDirty(j)
	t.state.done++
	if t.state.done < len(t.state.tasks) {
		return false
	}
	oc := j.schedule.find(t.id.Occurrence)
	if oc.stepsLeft--; oc.stepsLeft > 0 {
		p.updateReadySteps(j, oc, now)
		return false
	}
	p.closeOccurrence(j, oc)
	return p.finishIfDone(j, now)
}

func (p *Pool) finishIfDone(j *job, now time.Time) bool {
	if !j.schedule.isDone() {
		return false
	}
	p.finish(j, workload.Completed, now)
	return true
}

// finish ends a job and stops its remaining runs.
func (p *Pool) finish(j *job, state workload.State, now time.Time) {
	if j.state.Terminal() {
		return
	}
	j.state, j.finished = state, now
	p.markDirty(j)
	for _, oc := range j.schedule.open {
		for s := range oc.steps {
			for _, t := range oc.steps[s].tasks {
				for _, r := range t.runs {
					p.stop(r, string(state))
				}
			}
		}
		p.dropTickets(j, oc)
	}
	if i := slices.Index(p.active, j); i >= 0 {
		p.active = slices.Delete(p.active, i, i+1)
	}
	p.emit(Event{Kind: "job " + string(state), Job: j.ID, Age: now.Sub(j.Accepted)})
}

// Cancel ends a job at its caller's request; it returns false for an unknown job.
func (p *Pool) Cancel(id string, now time.Time) bool {
	j := p.jobs[id]
	if j == nil {
		return false
	}
	p.finish(j, workload.Cancelled, now)
	return true
}

// ExpiredJobs returns the ids of the recorded jobs that finished more than twice the status retention ago.
func (p *Pool) ExpiredJobs(now time.Time) []string {
	var ids []string
	for id, j := range p.jobs {
		if j.state.Terminal() && now.Sub(j.finished) > 2*p.Settings.StatusRetention && p.dirty[id] == nil {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	// After that a job that a worker lists is read from the store again.
	maps.DeleteFunc(p.absentJobs, func(_ string, since time.Time) bool { return now.Sub(since) > p.Settings.StatusRetention })
	return ids
}

// RemoveJobs removes expired jobs that were deleted from the store.
func (p *Pool) RemoveJobs(ids []string) {
	for _, id := range ids {
		if j := p.jobs[id]; j != nil {
			p.drop(j)
		}
	}
}

func (p *Pool) stop(r *run, reason string) {
	if r.phase != stopping && r.phase != ended {
		r.phase, r.stopReason, r.stopSent = stopping, reason, time.Time{}
		if !r.inStops {
			r.inStops = true
			p.stops = append(p.stops, r)
		}
	}
}

// removeRun removes a run and frees the capacity that it reserved.
func (p *Pool) removeRun(r *run) {
	r.detach()
	p.removeFromTask(r)
}

// removeFromTask removes a run from its task; a job that has ended is released with its last run.
func (p *Pool) removeFromTask(r *run) {
	r.task.removeRun(r)
	if j := r.task.job; j.state.Terminal() && j.recordedVersion == j.version {
		p.releaseJob(j)
	}
}

// lose removes a run that ended without a result; its task may be started again.
func (p *Pool) lose(r *run, reason string) {
	p.removeRun(r)
	p.emitLost(r, reason)
}

func (p *Pool) emitLost(r *run, reason string) {
	p.emit(Event{Kind: "run lost", Job: r.task.id.Job, Task: r.task.id, Run: r.number, Worker: r.worker.ID, Reason: reason})
}

func compareRuns(a, b *run) int { return compareTasks(a.task.id, b.task.id, a.number, b.number) }

func compareTasks(a, b workload.TaskID, m, n int) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), a.Occurrence-b.Occurrence, a.Step-b.Step, a.Index-b.Index, m-n)
}
