package jobs

import (
	"fmt"
	"slices"
	"time"

	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/placement"
	"verbenalanding.example/fleet/platform"
	"verbenalanding.example/fleet/quarantine"
	"verbenalanding.example/fleet/record"
	"verbenalanding.example/fleet/store"
)

// phase is what the holder does next for a job.
type phase int

const (
	// queued jobs wait in the planner.
	queued phase = iota
	// claiming jobs wait until their starting record is in the store.
	claiming
	// commanded jobs wait for the worker's answer to the start.
	commanded
	// probing jobs may or may not run on their worker; the holder asks it.
	probing
	// active jobs are known to run.
	active
	// ended jobs wait until their last record is in the store.
	ended
)

// entry is a job that the holder follows until its final record is written.
type entry struct {
	job      record.Job
	revision store.Revision
	phase    phase
	// dirty means that job differs from the store's record.
	dirty bool
	// since is when the current attempt was commanded or taken over.
	since   time.Time
	renewed time.Time
	// contact is the last sign that the task runs.
	contact time.Time
	tries   int
	// missing is when the worker first did not know the task.
	missing  time.Time
	cancel   bool
	vacating bool
	// doubted means that the task is given up without knowing that it has ended.
	doubted bool
	batches []*batch
}

func (e *entry) task() string { return TaskID(e.job.ID, e.job.Attempt) }

func (e *entry) onWorker() bool {
	return e.phase == commanded || e.phase == probing || e.phase == active
}

// move changes the state by an event of the job chart.
func (h *Holder) move(e *entry, events ...string) {
	for _, event := range events {
		next, err := jobChart.Next(e.job.State, event)
		if err != nil {
			// The state stays as it is: a wrong state in the record is worse than a late one.
			h.Log.Error().Err(err).Str("job", e.job.ID).Msg("transition refused")
			return
		}
		e.job.State = next
	}
	e.job.Epoch = h.Epoch
	e.dirty = true
}

func (h *Holder) because(e *entry, rule, detail string) {
	e.job.Reason = record.Reason{Rule: rule, Detail: detail, ConfigRevision: h.revision, At: h.now}
}

func (h *Holder) plannerJob(j record.Job) placement.Job {
	return placement.Job{
		ID: j.ID, Team: j.Team, Pool: j.Pool, Kind: j.Kind, Class: declaration.Class(j.Class), Declared: j.Declared,
		RunTime: j.RunTime, Deadline: j.Deadline, Repeatable: j.Repeatable, Checkpoints: j.Checkpoints, Submitted: j.Accepted,
	}
}

// run marks a job as known to run.
func (h *Holder) run(e *entry) {
	e.contact, e.missing = h.now, time.Time{}
	if e.phase == active {
		return
	}
	e.phase = active
	h.apply(h.planner.Handle(h.now, placement.Confirmed{ID: e.job.ID}))
	h.track(h.tracker.Handle(h.now, quarantine.Started{Worker: e.job.Worker, Kind: e.job.Kind}))
	if e.job.State == starting {
		h.move(e, "run")
		h.because(e, "running", fmt.Sprintf("worker %s confirmed attempt %d", e.job.Worker, e.job.Attempt))
	}
	if e.cancel {
		h.command(e, opStop)
	}
}

// leave takes a job off its worker in the holder's own books.
func (h *Holder) leave(e *entry) {
	if n := h.nodes[e.job.Worker]; n != nil {
		delete(n.tasks, e.job.ID)
		if !e.doubted {
			n.left[e.task()] = h.now
		}
	}
	e.vacating, e.doubted, e.tries, e.missing = false, false, 0, time.Time{}
}

// end writes a final state.
func (h *Holder) end(e *entry, event, rule, detail string) {
	if event != "cancel" && event != "lose" && event != "fail" && e.job.State == starting {
		h.move(e, "run")
	}
	h.move(e, event)
	h.because(e, rule, detail)
	e.job.Finished = h.now
	h.leave(e)
	e.phase = ended
	h.apply(h.planner.Handle(h.now, placement.Ended{ID: e.job.ID, Succeeded: event == "succeed"}))
}

// requeue puts a job back into the queue; non-repeatable jobs come here only when they are known not to have started.
func (h *Holder) requeue(e *entry, rule, detail string, after time.Duration, avoid string) {
	if e.cancel {
		h.end(e, "cancel", "cancelled", "cancelled while it was put back: "+detail)
		return
	}
	switch e.job.State {
	case starting:
		h.move(e, "requeue")
	case running:
		h.move(e, "checkpoint", "requeue")
	}
	h.because(e, rule, detail)
	if e.doubted && !slices.Contains(e.job.Former, e.job.Worker) {
		// A copy, since records that are being compared share the slice.
		e.job.Former = append(slices.Clone(e.job.Former), e.job.Worker)
	}
	h.leave(e)
	e.job.Worker, e.job.Reserved = "", platform.Resources{}
	e.phase = queued
	h.apply(h.planner.Handle(h.now, placement.Requeue{ID: e.job.ID, NotBefore: h.now.Add(after), Avoid: avoid}))
}

// lose handles a task of which nobody knows whether it ran to its end.
func (h *Holder) lose(e *entry, detail string) {
	h.doubt(e)
	if e.job.Repeatable {
		h.requeue(e, "workerLost", detail+"; the job is repeatable and runs again", 0, e.job.Worker)
		return
	}
	h.end(e, "lose", "outcomeUnknown", detail+"; the job is not repeatable and is not run again")
}

func (h *Holder) succeeded(e *entry) {
	h.result(e, false)
	h.end(e, "succeed", "succeeded", fmt.Sprintf("attempt %d ran %v on worker %s", e.job.Attempt, h.now.Sub(e.since).Round(time.Millisecond), e.job.Worker))
}

func (h *Holder) failed(e *entry, reason string) {
	worker := e.job.Worker
	h.result(e, true)
	// A failure on a worker that is under suspicion says little about the job; the bound on attempts still ends it.
	if n := h.nodes[worker]; n == nil || !n.closed {
		e.job.Failures++
	}
	detail := fmt.Sprintf("attempt %d failed on worker %s: %s", e.job.Attempt, worker, reason)
	if e.job.Repeatable && e.job.Failures < maxFailures && e.job.Attempt < maxAttempts {
		h.requeue(e, "retry", detail, h.Timing.RetryAfter<<e.job.Failures, worker)
		return
	}
	h.end(e, "fail", "failed", fmt.Sprintf("%s; %d of %d attempts failed", detail, e.job.Failures, e.job.Attempt))
}

// result tells the quarantine how a job ended.
func (h *Holder) result(e *entry, failure bool) {
	h.track(h.tracker.Handle(h.now, quarantine.Result{Worker: e.job.Worker, Kind: e.job.Kind, Failed: failure}))
}

// apply carries out the actions of the planner.
func (h *Holder) apply(actions []placement.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case placement.Start:
			h.claim(h.jobs[a.Job], a)
		case placement.Checkpoint:
			h.preempt(a.Job, opCheckpoint, a.Detail)
		case placement.Stop:
			h.preempt(a.Job, opStop, a.Detail)
		case placement.Throttle:
			if e := h.jobs[a.Job]; e != nil && e.onWorker() {
				h.because(e, "throttled", a.Detail)
				h.calls = append(h.calls, &call{op: opThrottle, entry: e, worker: a.Worker, task: e.task(), percent: a.Percent})
			}
		case placement.Wait:
			// Under overload each start brings another first job; only those that wait long are worth a write.
			if e := h.jobs[a.Job]; e != nil && h.now.Sub(e.job.Accepted) >= explainAfter {
				h.because(e, string(a.Rule), a.Detail)
				e.dirty = true
			}
		case placement.Impossible:
			if e := h.jobs[a.Job]; e != nil && e.phase == queued {
				h.move(e, "fail")
				h.because(e, string(a.Rule), a.Detail)
				e.job.Finished = h.now
				e.phase = ended
			}
		}
	}
}

// explainAfter is how long a job waits before its record says why; most jobs start before and cost no write for it.
const explainAfter = 10 * time.Second

// explain fills the reason of one waiting job a second, which keeps the writes for it within the shard's share.
func (h *Holder) explain() {
	if h.now.Sub(h.explained) < time.Second {
		return
	}
	for len(h.unexplained) > 0 {
		e := h.jobs[h.unexplained[0]]
		if e != nil && e.phase == queued && h.now.Sub(e.job.Accepted) < explainAfter {
			return
		}
		h.unexplained = h.unexplained[1:]
		if e == nil || e.phase != queued || e.job.Reason.Rule != ruleAccepted {
			continue
		}
		if rule, detail := h.planner.Explain(e.job.ID); rule != "" {
			h.because(e, string(rule), detail)
			e.dirty = true
			h.explained = h.now
			return
		}
	}
}

// claim prepares the record that must be in the store before the worker is asked to start.
func (h *Holder) claim(e *entry, a placement.Start) {
	if e == nil || e.phase != queued {
		return
	}
	if e.job.State == accepted {
		h.move(e, "place")
	}
	h.move(e, "start")
	e.job.Worker, e.job.Reserved, e.job.Started = a.Worker, a.Reserved, h.now
	e.job.Attempt++
	h.because(e, string(a.Rule), a.Detail)
	e.phase, e.tries, e.missing = claiming, 0, time.Time{}
	h.node(a.Worker).tasks[e.job.ID] = e
}

func (h *Holder) preempt(id string, o op, detail string) {
	e := h.jobs[id]
	if e == nil {
		return
	}
	h.because(e, "preempted", detail)
	if e.phase == claiming {
		// The start was not sent yet: the job goes back without running.
		h.requeue(e, "preempted", detail, 0, "")
		return
	}
	if e.onWorker() {
		h.command(e, o)
	}
}

// stop cancels one job.
func (h *Holder) stop(id string) {
	e := h.jobs[id]
	if e == nil || e.phase == ended || e.cancel {
		return
	}
	e.cancel = true
	switch e.phase {
	case queued, claiming:
		h.end(e, "cancel", "cancelled", "cancelled before it started")
	case active:
		h.command(e, opStop)
	case commanded, probing, ended:
		// The stop follows as soon as the worker has answered.
	}
}
