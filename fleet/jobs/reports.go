package jobs

import (
	"fmt"
	"strings"
	"time"

	"verbenalanding.example/fleet/placement"
	"verbenalanding.example/fleet/platform"
)

// taskMissing handles a task that its worker reports as unknown: it requests a usage report immediately and treats the task
// as lost once recent enough reports do not list it.
func (h *Holder) taskMissing(e *trackedJob) {
	n := h.workerStates[e.job.Worker]
	if n == nil {
		return
	}
	if e.missingSince.IsZero() {
		e.missingSince = h.now
	}
	if h.now.Sub(e.missingSince) > h.Timing.UsageLag+2*h.Timing.ReportEvery {
		if e.cancelRequested && e.job.Repeatable {
			h.finish(e, "cancel", "cancelled", "its task had ended on worker "+e.job.Worker)
			return
		}
		h.addCall(e, opStop)
		h.lose(e, fmt.Sprintf("worker %s does not know attempt %d", e.job.Worker, e.job.Attempt))
		return
	}
	e.renewedAt = time.Time{}
	h.requestReport(e.job.Worker, n)
}

// handleReport handles a worker's usage report.
func (h *Holder) handleReport(worker string, usages []platform.Usage) {
	n := h.workerStates[worker]
	if n == nil {
		return
	}
	listed := map[string]bool{}
	hasOrphans := false
	for _, u := range usages {
		job, attempt := splitTask(u.TaskID)
		listed[job] = true
		e := n.tasks[job]
		if e == nil || e.job.Attempt != attempt || !e.onWorker() {
			hasOrphans = h.handleOrphan(n, worker, u) || hasOrphans
			continue
		}
		h.handleUsage(e, u)
	}
	h.updateCleared(n, !hasOrphans)
	for _, id := range sortedKeys(n.tasks) {
		e := n.tasks[id]
		if e.phase == active && !listed[id] && h.now.Sub(e.since) > h.Timing.UsageLag+h.Timing.ReportEvery {
			e.renewedAt = time.Time{}
		}
	}
}

// handleOrphan handles an orphaned task, which this holder does not track, and reports whether it still runs. A former attempt
// of one of the holder's jobs is stopped. While such a task runs, the worker gets no new jobs, since its free capacity is unknown.
func (h *Holder) handleOrphan(n *workerState, worker string, u platform.Usage) bool {
	if _, detached := n.detachedAt[u.TaskID]; detached || !isActive(u.State) {
		return false
	}
	if job, _ := splitTask(u.TaskID); h.jobs[job] != nil {
		h.calls = append(h.calls, &call{op: opStop, worker: worker, task: u.TaskID})
	}
	return true
}

// updateCleared admits new jobs to a worker once a recent enough report lists no orphaned tasks.
func (h *Holder) updateCleared(n *workerState, noOrphans bool) {
	for task, at := range n.detachedAt {
		if h.now.Sub(at) > h.Timing.UsageLag+h.Timing.ReportEvery {
			delete(n.detachedAt, task)
		}
	}
	if !noOrphans {
		n.clearFrom = h.now
	}
	wasCleared := n.cleared
	n.cleared = noOrphans && !h.now.Before(n.clearFrom)
	if n.listed && wasCleared != n.cleared {
		h.updateWorker(n)
	}
}

// abandon marks a task that is no longer tracked although its end is not confirmed. Its worker stays closed until its reports
// confirm the end.
func (h *Holder) abandon(e *trackedJob) {
	e.abandoned = true
	h.closeUntilClear(e.job.Worker)
}

func (h *Holder) closeUntilClear(worker string) {
	if n := h.workerStates[worker]; n != nil {
		n.cleared, n.clearFrom = false, h.now.Add(h.Timing.UsageLag)
		if n.listed {
			h.updateWorker(n)
		}
	}
}

func isActive(s platform.TaskState) bool {
	return s == platform.TaskRunning || s == platform.TaskThrottled
}

func (h *Holder) handleUsage(e *trackedJob, u platform.Usage) {
	switch u.State {
	case platform.TaskRunning, platform.TaskThrottled:
		if e.phase != active {
			h.markRunning(e)
		}
		h.applyPlacement(h.planner.Handle(h.now, placement.Used{ID: e.job.ID, Used: u.Used, AsOf: u.AsOf}))
	case platform.TaskSucceeded:
		h.taskSucceeded(e)
	case platform.TaskFailed:
		h.taskFailed(e, u.Reason)
	case platform.TaskCheckpointed:
		h.requeue(e, "checkpointed", "progress saved: "+strings.TrimPrefix(e.job.Reason.Detail, "progress saved: "), 0, "")
	case platform.TaskStopped:
		if e.cancelRequested {
			h.finish(e, "cancel", "cancelled", "stopped on worker "+e.job.Worker)
			return
		}
		h.lose(e, fmt.Sprintf("task ended on worker %s: %s", e.job.Worker, u.Reason))
	}
}
