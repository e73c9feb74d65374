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
	done bool
	// failedRuns holds the numbers of the failed runs; workers list them in any order.
	failedRuns []int
	lastRun    int
	checkpoint string
	runs       []*run
	failedOn   []string
	// readySince is when the task last became ready to start.
	readySince time.Time
}

type stepState struct {
	tasks []*task
	done  int
	// ready is true once all steps that this one depends on are done.
	ready bool
	// startedAt is when this holder first started a task of the step.
	startedAt time.Time
}

type occurrence struct {
	due       time.Time
	steps     []stepState
	stepsLeft int
}

type job struct {
	workload.Job
	queue   workload.Queue
	state   workload.State
	started bool
	// restored is set if a previous holder may have started tasks of the job.
	restored    bool
	occurrences []occurrence
	finished    time.Time
	worth       float64
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
	j := &job{Job: spec, queue: spec.Terms, state: workload.Queued, restored: restored || overlaps}
	if q, ok := p.queues[spec.Queue]; ok {
		j.queue = q
	}
	p.jobs[spec.ID] = j
	if record != nil && record.State.Terminal() {
		j.state, j.finished = record.State, record.Finished
		if j.finished.IsZero() {
			j.finished = now
		}
		j.Job.Steps, j.Job.Spec = nil, ""
		return
	}
	j.build(now)
	if record != nil {
		p.restore(j, record)
	}
	p.active = append(p.active, j)
	for o := range j.occurrences {
		p.updateReadySteps(j, o, now)
	}
	p.finishIfDone(j, now)
}

func (j *job) build(now time.Time) {
	j.occurrences = make([]occurrence, j.Occurrences())
	for o := range j.occurrences {
		oc := &j.occurrences[o]
		oc.due, oc.steps, oc.stepsLeft = j.Due(o), make([]stepState, len(j.Steps)), len(j.Steps)
		for s := range j.Steps {
			step := &j.Steps[s]
			tasks := make([]*task, step.Tasks)
			block := make([]task, step.Tasks)
			for i := range tasks {
				block[i] = task{id: workload.TaskID{Job: j.ID, Occurrence: o, Step: s, Index: i}, job: j, step: step, readySince: now}
				tasks[i] = &block[i]
			}
			oc.steps[s].tasks = tasks
		}
	}
}

func (p *Pool) restore(j *job, r *Record) {
	j.started = r.Started
	for _, s := range r.Steps {
		if !within(s.Occurrence, len(j.occurrences)) || !within(s.Step, len(j.Steps)) {
			continue
		}
		state := &j.occurrences[s.Occurrence].steps[s.Step]
		for _, i := range s.Done {
			if within(i, len(state.tasks)) && !state.tasks[i].done {
				state.tasks[i].done = true
				state.done++
			}
		}
		for _, f := range s.Tasks {
			if within(f.Index, len(state.tasks)) {
				t := state.tasks[f.Index]
				t.failedRuns, t.lastRun, t.checkpoint = f.FailedRuns, f.LastRun, f.Checkpoint
			}
		}
	}
	for o := range j.occurrences {
		for s := range j.occurrences[o].steps {
			if st := &j.occurrences[o].steps[s]; st.done == len(st.tasks) {
				j.occurrences[o].stepsLeft--
			}
		}
	}
}

// within reports whether an index of a stored record is one of n elements.
func within(i, n int) bool { return i >= 0 && i < n }

// updateReadySteps marks the steps of an occurrence as ready that depend on no unfinished step.
func (p *Pool) updateReadySteps(j *job, o int, now time.Time) {
	oc := &j.occurrences[o]
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

func (p *Pool) taskByID(id workload.TaskID) *task {
	j := p.jobs[id.Job]
	if j == nil || j.state.Terminal() || id.Occurrence >= len(j.occurrences) || id.Step >= len(j.Steps) {
		return nil
	}
	tasks := j.occurrences[id.Occurrence].steps[id.Step].tasks
	if id.Index >= len(tasks) {
		return nil
	}
	return tasks[id.Index]
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
	j := t.job
	p.markDirty(j)
	oc := &j.occurrences[t.id.Occurrence]
	st := &oc.steps[t.id.Step]
	st.done++
	if st.done < len(st.tasks) {
		return false
	}
	oc.stepsLeft--
	p.updateReadySteps(j, t.id.Occurrence, now)
	return p.finishIfDone(j, now)
}

func (p *Pool) finishIfDone(j *job, now time.Time) bool {
	for o := range j.occurrences {
		if j.occurrences[o].stepsLeft > 0 {
			return false
		}
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
	for o := range j.occurrences {
		for s := range j.occurrences[o].steps {
			for _, t := range j.occurrences[o].steps[s].tasks {
				for _, r := range t.runs {
					p.stop(r, string(state))
				}
			}
		}
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
		delete(p.jobs, id)
	}
}

func (p *Pool) stop(r *run, reason string) {
	if r.phase != stopping {
		r.phase, r.stopReason, r.stopSent = stopping, reason, time.Time{}
	}
}

// removeRun removes a run and frees the capacity that it reserved.
func (p *Pool) removeRun(r *run) {
	w := r.worker
	delete(w.runs, runKey{r.task.id, r.number})
	w.used = w.used.Minus(r.task.step.Reserved())
	if i := slices.Index(r.task.runs, r); i >= 0 {
		r.task.runs = slices.Delete(r.task.runs, i, i+1)
	}
}

// lose removes a run that ended without a result; its task may be started again.
func (p *Pool) lose(r *run, reason string) {
	p.removeRun(r)
	p.emit(Event{Kind: "run lost", Job: r.task.id.Job, Task: r.task.id, Run: r.number, Worker: r.worker.ID, Reason: reason})
}

func compareRuns(a, b *run) int { return compareTasks(a.task.id, b.task.id, a.number, b.number) }

func compareTasks(a, b workload.TaskID, m, n int) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), a.Occurrence-b.Occurrence, a.Step-b.Step, a.Index-b.Index, m-n)
}
