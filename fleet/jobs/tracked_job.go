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

// phase is the holder's progress with a job.
type phase int

const (
	// queued jobs wait in the planner.
	queued phase = iota
	// recordingStart jobs wait until their record in state starting is stored.
	recordingStart
	// startSent jobs wait for the worker's response to the start.
	startSent
	// verifying jobs may or may not run on their worker; the holder queries it.
	verifying
	// active jobs are confirmed to run.
	active
	// ended jobs wait until their final record is stored.
	ended
)

// trackedJob is a job that the holder tracks until its final record is stored.
type trackedJob struct {
	job      record.Job
	revision store.Revision
	phase    phase
	// dirty means that job differs from its record in the store.
	dirty bool
	// since is when the current attempt was started or taken over.
	since     time.Time
	renewedAt time.Time
	// lastConfirmed is when the task was last confirmed to run.
	lastConfirmed time.Time
	retries       int
	// missingSince is when the worker first reported the task as unknown.
	missingSince    time.Time
	cancelRequested bool
	checkpointSent  bool
	// abandoned means that the task is no longer tracked although its end was not confirmed.
	abandoned     bool
	cancellations []*cancellation
}

func (e *trackedJob) task() string { return TaskID(e.job.ID, e.job.Attempt) }

func (e *trackedJob) onWorker() bool {
	return e.phase == startSent || e.phase == verifying || e.phase == active
}

// transition changes the state by events of the job chart.
func (h *Holder) transition(e *trackedJob, events ...string) {
	for _, event := range events {
		next, err := jobChart.Next(e.job.State, event)
		if err != nil {
			// Keep the state: a wrong state in the record is worse than an outdated one.
			h.Log.Error().Err(err).Str("job", e.job.ID).Msg("invalid job state transition")
			return
		}
		e.job.State = next
	}
	e.job.Epoch = h.Epoch
	e.dirty = true
}

func (h *Holder) setReason(e *trackedJob, rule, detail string) {
	e.job.Reason = record.Reason{Rule: rule, Detail: detail, ConfigRevision: h.revision, At: h.now}
}

func (h *Holder) plannerJob(j record.Job) placement.Job {
	return placement.Job{
		ID: j.ID, Team: j.Team, Pool: j.Pool, Kind: j.Kind, Class: declaration.Class(j.Class), Declared: j.Declared,
		RunTime: j.RunTime, Deadline: j.Deadline, Repeatable: j.Repeatable, Checkpoints: j.Checkpoints, Submitted: j.Accepted,
	}
}

// markRunning handles the confirmation that a job runs.
func (h *Holder) markRunning(e *trackedJob) {
	e.lastConfirmed, e.missingSince = h.now, time.Time{}
	if e.phase == active {
		return
	}
	e.phase = active
	h.applyPlacement(h.planner.Handle(h.now, placement.Confirmed{ID: e.job.ID}))
	h.applyQuarantine(h.tracker.Handle(h.now, quarantine.Started{Worker: e.job.Worker, Kind: e.job.Kind}))
	if e.job.State == starting {
		h.transition(e, "run")
		h.setReason(e, "running", fmt.Sprintf("worker %s confirmed attempt %d", e.job.Worker, e.job.Attempt))
	}
	if e.cancelRequested {
		h.addCall(e, opStop)
	}
}

// detach removes a job from the holder's state of its worker.
func (h *Holder) detach(e *trackedJob) {
	if n := h.workerStates[e.job.Worker]; n != nil {
		delete(n.tasks, e.job.ID)
		if !e.abandoned {
			n.detachedAt[e.task()] = h.now
		}
	}
	e.checkpointSent, e.abandoned, e.retries, e.missingSince = false, false, 0, time.Time{}
}

// finish moves a job to a final state.
func (h *Holder) finish(e *trackedJob, event, rule, detail string) {
	if event != "cancel" && event != "lose" && event != "fail" && e.job.State == starting {
		h.transition(e, "run")
	}
	h.transition(e, event)
	h.setReason(e, rule, detail)
	e.job.Finished = h.now
	h.detach(e)
	e.phase = ended
	h.applyPlacement(h.planner.Handle(h.now, placement.Ended{ID: e.job.ID, Succeeded: event == "succeed"}))
}

// requeue returns a job to the queue. Non-repeatable jobs are requeued only if they are known not to have started.
func (h *Holder) requeue(e *trackedJob, rule, detail string, after time.Duration, avoid string) {
	if e.cancelRequested {
		h.finish(e, "cancel", "cancelled", "cancelled while it was put back: "+detail)
		return
	}
	switch e.job.State {
	case starting:
		h.transition(e, "requeue")
	case running:
		h.transition(e, "checkpoint", "requeue")
	}
	h.setReason(e, rule, detail)
	if e.abandoned && !slices.Contains(e.job.FormerWorkers, e.job.Worker) {
		// The slice is cloned because other copies of the record share it.
		e.job.FormerWorkers = append(slices.Clone(e.job.FormerWorkers), e.job.Worker)
	}
	h.detach(e)
	e.job.Worker, e.job.Reserved = "", platform.Resources{}
	e.phase = queued
	h.applyPlacement(h.planner.Handle(h.now, placement.Requeue{ID: e.job.ID, NotBefore: h.now.Add(after), Avoid: avoid}))
}

// lose handles a task for which it is unknown whether it ran to completion.
func (h *Holder) lose(e *trackedJob, detail string) {
	h.abandon(e)
	if e.job.Repeatable {
		h.requeue(e, "workerLost", detail+"; the job is repeatable and runs again", 0, e.job.Worker)
		return
	}
	h.finish(e, "lose", "outcomeUnknown", detail+"; the job is not repeatable and is not run again")
}

func (h *Holder) taskSucceeded(e *trackedJob) {
	h.reportResult(e, false)
	h.finish(e, "succeed", "succeeded", fmt.Sprintf("attempt %d ran %v on worker %s", e.job.Attempt, h.now.Sub(e.since).Round(time.Millisecond), e.job.Worker))
}

func (h *Holder) taskFailed(e *trackedJob, reason string) {
	worker := e.job.Worker
	h.reportResult(e, true)
	// A failure on a worker under suspicion is weak evidence about the job; maxAttempts still limits such attempts.
	if n := h.workerStates[worker]; n == nil || !n.restricted {
		e.job.Failures++
	}
	detail := fmt.Sprintf("attempt %d failed on worker %s: %s", e.job.Attempt, worker, reason)
	if e.job.Repeatable && e.job.Failures < maxFailures && e.job.Attempt < maxAttempts {
		h.requeue(e, "retry", detail, h.Timing.RetryAfter<<e.job.Failures, worker)
		return
	}
	h.finish(e, "fail", "failed", fmt.Sprintf("%s; %d of %d attempts failed", detail, e.job.Failures, e.job.Attempt))
}

// reportResult passes the result of a job to the quarantine.
func (h *Holder) reportResult(e *trackedJob, failure bool) {
	h.applyQuarantine(h.tracker.Handle(h.now, quarantine.Result{Worker: e.job.Worker, Kind: e.job.Kind, Failed: failure}))
}

// applyPlacement applies the actions of the planner.
func (h *Holder) applyPlacement(actions []placement.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case placement.Start:
			h.prepareStart(h.jobs[a.Job], a)
		case placement.Checkpoint:
			h.preempt(a.Job, opCheckpoint, a.Detail)
		case placement.Stop:
			h.preempt(a.Job, opStop, a.Detail)
		case placement.Throttle:
			if e := h.jobs[a.Job]; e != nil && e.onWorker() {
				h.setReason(e, "throttled", a.Detail)
				h.calls = append(h.calls, &call{op: opThrottle, tracked: e, worker: a.Worker, task: e.task(), percent: a.Percent})
			}
		case placement.Wait:
			// Under overload each start moves another job to the head of its queue; only long waits are worth a write.
			if e := h.jobs[a.Job]; e != nil && h.now.Sub(e.job.Accepted) >= explainAfter {
				h.setReason(e, string(a.Rule), a.Detail)
				e.dirty = true
			}
		case placement.Impossible:
			if e := h.jobs[a.Job]; e != nil && e.phase == queued {
				h.transition(e, "fail")
				h.setReason(e, string(a.Rule), a.Detail)
				e.job.Finished = h.now
				e.phase = ended
			}
		}
	}
}

// explainAfter is how long a job waits before the reason is recorded; most jobs start earlier and need no such write.
const explainAfter = 10 * time.Second

// explainWaiting records the reason for one waiting job per second, which keeps these writes within the shard's share.
func (h *Holder) explainWaiting() {
	if h.now.Sub(h.lastExplained) < time.Second {
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
			h.setReason(e, string(rule), detail)
			e.dirty = true
			h.lastExplained = h.now
			return
		}
	}
}

// prepareStart prepares the record that must be stored before the start is sent to the worker.
func (h *Holder) prepareStart(e *trackedJob, a placement.Start) {
	if e == nil || e.phase != queued {
		return
	}
	if e.job.State == accepted {
		h.transition(e, "place")
	}
	h.transition(e, "start")
	e.job.Worker, e.job.Reserved, e.job.Started = a.Worker, a.Reserved, h.now
	e.job.Attempt++
	h.setReason(e, string(a.Rule), a.Detail)
	e.phase, e.retries, e.missingSince = recordingStart, 0, time.Time{}
	h.workerState(a.Worker).tasks[e.job.ID] = e
}

func (h *Holder) preempt(id string, o op, detail string) {
	e := h.jobs[id]
	if e == nil {
		return
	}
	h.setReason(e, "preempted", detail)
	if e.phase == recordingStart {
		// The start has not been sent, so the job is requeued without having run.
		h.requeue(e, "preempted", detail, 0, "")
		return
	}
	if e.onWorker() {
		h.addCall(e, o)
	}
}

// cancelJob cancels one job.
func (h *Holder) cancelJob(id string) {
	e := h.jobs[id]
	if e == nil || e.phase == ended || e.cancelRequested {
		return
	}
	e.cancelRequested = true
	switch e.phase {
	case queued, recordingStart:
		h.finish(e, "cancel", "cancelled", "cancelled before it started")
	case active:
		h.addCall(e, opStop)
	case startSent, verifying, ended:
		// The stop is sent as soon as the worker has responded.
	}
}
