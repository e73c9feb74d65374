package jobs

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"verbenalanding.example/fleet/platform"
	"verbenalanding.example/fleet/record"
)

// op is the operation of a call to a worker.
type op int

const (
	opStart op = iota
	// opRenew renews a task's lease; the response also shows whether the task runs.
	opRenew
	opCheckpoint
	opThrottle
	opStop
	opReport
)

type call struct {
	op      op
	tracked *trackedJob
	worker  string
	task    string
	percent int
	usages  []platform.Usage
	err     error
}

func (h *Holder) addCall(e *trackedJob, o op) {
	h.calls = append(h.calls, &call{op: o, tracked: e, worker: e.job.Worker, task: e.task()})
}

// requestReports requests usage reports from workers that run tasks, did not respond or are not clear yet.
func (h *Holder) requestReports() {
	for _, id := range sortedKeys(h.workerStates) {
		n := h.workerStates[id]
		if (len(n.tasks) == 0 && n.unanswered == 0 && n.cleared) || n.reportPending || h.now.Before(n.backoffUntil) || h.now.Sub(n.reportRequested) < h.Timing.ReportEvery {
			continue
		}
		h.requestReport(id, n)
	}
}

func (h *Holder) requestReport(id string, n *workerState) {
	if n.reportPending {
		return
	}
	n.reportPending, n.reportRequested = true, h.now
	h.calls = append(h.calls, &call{op: opReport, worker: id})
}

// requestRenewals renews task leases after a third of their duration. Renewals are sent directly to the workers, so running
// jobs survive an outage of the store.
func (h *Holder) requestRenewals() {
	for _, id := range sortedKeys(h.workerStates) {
		for _, job := range sortedKeys(h.workerStates[id].tasks) {
			e := h.workerStates[id].tasks[job]
			wait := h.Timing.LeaseFor / 3
			if e.phase == verifying {
				wait = h.Timing.ReportEvery
			}
			if (e.phase != active && e.phase != verifying) || h.now.Sub(e.renewedAt) < wait {
				continue
			}
			e.renewedAt = h.now
			h.addCall(e, opRenew)
		}
	}
}

func sortedKeys[T any](m map[string]T) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// makeCalls makes the queued calls, in order for each worker and concurrently for different workers, and then handles the
// results one by one.
func (h *Holder) makeCalls(ctx context.Context) error {
	calls := h.calls
	h.calls = nil
	byWorker := map[string][]*call{}
	for _, c := range calls {
		byWorker[c.worker] = append(byWorker[c.worker], c)
	}
	var group errgroup.Group
	group.SetLimit(h.callers)
	for _, worker := range sortedKeys(byWorker) {
		list := byWorker[worker]
		group.Go(func() error {
			h.callWorker(ctx, list)
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	for _, c := range calls {
		if err := h.handleAnswer(c); err != nil {
			return err
		}
	}
	return nil
}

// callWorker makes the calls to one worker. After an unanswered call the remaining ones are not sent: starts fail with
// errNotSent, the others count as unanswered.
func (h *Holder) callWorker(ctx context.Context, list []*call) {
	var unanswered error
	for _, c := range list {
		if unanswered != nil && c.op != opStart {
			c.err = unanswered
			continue
		}
		if unanswered != nil {
			// A start that was not sent has certainly not begun.
			c.err = errStartNotSent
			continue
		}
		if c.err = h.callOnce(ctx, c); isUnanswered(c.err) {
			unanswered = c.err
		}
	}
}

// errStartNotSent is the result of a start that was not sent because the worker did not answer the previous call.
var errStartNotSent = errors.New("start not sent")

func (h *Holder) callOnce(ctx context.Context, c *call) error {
	ctx, cancel := context.WithTimeout(ctx, h.Timing.CallTimeout)
	defer cancel()
	epoch := uint64(h.Epoch)
	switch c.op {
	case opStart:
		return h.Workers.Start(ctx, c.worker, platform.Task{
			ID: c.task, Epoch: epoch, LeaseFor: h.Timing.LeaseFor, Reserved: c.tracked.job.Reserved, Argument: c.tracked.job.Argument,
		})
	case opRenew:
		return h.Workers.RenewLease(ctx, c.worker, c.task, epoch)
	case opCheckpoint:
		return h.Workers.Checkpoint(ctx, c.worker, c.task, epoch)
	case opThrottle:
		return h.Workers.Throttle(ctx, c.worker, c.task, epoch, c.percent)
	case opStop:
		return h.Workers.Stop(ctx, c.worker, c.task, epoch)
	case opReport:
		var err error
		c.usages, err = h.Workers.Report(ctx, c.worker)
		return err
	}
	return fmt.Errorf("unknown operation %d", c.op)
}

// handleAnswer handles the result of one call.
func (h *Holder) handleAnswer(c *call) error {
	if errors.Is(c.err, platform.ErrTaskLease) {
		return fmt.Errorf("task %s on worker %s: %w: %w", c.task, c.worker, record.ErrFenced, c.err)
	}
	h.recordContact(c)
	if c.op == opReport {
		if c.err == nil {
			h.handleReport(c.worker, c.usages)
		}
		return nil
	}
	e := c.tracked
	if e == nil || e.task() != c.task || !e.onWorker() {
		return nil
	}
	switch c.op {
	case opStart:
		h.startAnswered(e, c.err)
	case opRenew:
		h.renewAnswered(e, c.err)
	case opStop:
		h.stopAnswered(e, c.err)
	case opCheckpoint:
		if isUnanswered(c.err) && e.retries < 3 {
			e.retries++
			h.addCall(e, opCheckpoint)
		}
	case opThrottle:
		if isUnanswered(c.err) {
			h.calls = append(h.calls, &call{op: opThrottle, tracked: e, worker: c.worker, task: c.task, percent: c.percent})
		}
	case opReport:
	}
	return nil
}

// recordContact records whether a worker answered. An unresponsive worker gets no new jobs until it answers again.
func (h *Holder) recordContact(c *call) {
	n := h.workerStates[c.worker]
	if n == nil {
		return
	}
	if c.op == opReport {
		n.reportPending = false
	}
	if errors.Is(c.err, errStartNotSent) {
		return
	}
	wasUnresponsive := n.unanswered >= 2
	if isUnanswered(c.err) {
		n.unanswered++
		n.backoffUntil = h.now.Add(min(time.Duration(n.unanswered)*h.Timing.ReportEvery, 10*h.Timing.ReportEvery))
	} else {
		n.unanswered = 0
	}
	if n.listed && wasUnresponsive != (n.unanswered >= 2) {
		h.updateWorker(n)
	}
}

func (h *Holder) startAnswered(e *trackedJob, err error) {
	switch {
	case err == nil:
		h.markRunning(e)
	case errors.Is(err, platform.ErrUnknownInstance), errors.Is(err, errStartNotSent):
		h.requeue(e, "notStarted", fmt.Sprintf("worker %s was not asked to start it: %v", e.job.Worker, err), 0, e.job.Worker)
	case !e.job.Repeatable:
		// Repeating the start could run the job twice if the worker restarts in between; a lease renewal shows whether it runs.
		e.phase = verifying
	case e.retries < 1:
		e.retries++
		h.addCall(e, opStart)
	default:
		h.reportResult(e, true)
		h.addCall(e, opStop)
		h.abandon(e)
		h.requeue(e, "noAnswer", fmt.Sprintf("worker %s did not answer the start", e.job.Worker), 0, e.job.Worker)
	}
}

func (h *Holder) renewAnswered(e *trackedJob, err error) {
	switch {
	case err == nil:
		h.markRunning(e)
	case errors.Is(err, platform.ErrUnknownTask):
		// The task has ended or never began; the usage report shows which.
		h.taskMissing(e)
	}
}

func (h *Holder) stopAnswered(e *trackedJob, err error) {
	switch {
	case err == nil && e.cancelRequested:
		h.finish(e, "cancel", "cancelled", "stopped on worker "+e.job.Worker)
	case err == nil && e.job.Repeatable:
		h.requeue(e, e.job.Reason.Rule, e.job.Reason.Detail, 0, "")
	case err == nil:
		h.lose(e, "its task was stopped")
	case errors.Is(err, platform.ErrUnknownTask):
		h.taskMissing(e)
	default:
		h.addCall(e, opStop)
	}
}

// expireLeases treats tasks as lost whose leases must have expired, since they were not confirmed for longer than a lease.
func (h *Holder) expireLeases() {
	limit := h.Timing.LeaseFor + h.Timing.ClockSkew
	for _, id := range sortedKeys(h.workerStates) {
		n := h.workerStates[id]
		for _, job := range sortedKeys(n.tasks) {
			e := n.tasks[job]
			if e.onWorker() && h.now.Sub(e.lastConfirmed) > limit {
				h.lose(e, fmt.Sprintf("worker %s not heard of for %v, so its task lease has ended", id, h.now.Sub(e.lastConfirmed).Round(time.Second)))
			}
		}
	}
}

// workerLost handles a worker that is no longer listed or has restarted. Repeatable jobs are requeued immediately; others
// wait until the worker reports on them or their leases have expired.
func (h *Holder) workerLost(n *workerState) {
	for _, id := range sortedKeys(n.tasks) {
		e := n.tasks[id]
		switch {
		case e.phase == recordingStart:
			h.requeue(e, "workerLost", "worker "+n.member.ID+" left before the start was sent", 0, "")
		case e.onWorker() && e.job.Repeatable:
			h.lose(e, "worker "+n.member.ID+" left the list or restarted")
		case e.onWorker():
			e.phase = verifying
		}
	}
}

// checkpointTasks asks the jobs on a draining worker to save their progress and exit.
func (h *Holder) checkpointTasks(n *workerState) {
	for _, id := range sortedKeys(n.tasks) {
		e := n.tasks[id]
		if e.phase == active && e.job.Repeatable && e.job.Checkpoints && !e.checkpointSent {
			e.checkpointSent = true
			h.setReason(e, "workerDraining", "worker "+n.member.ID+" is draining")
			h.addCall(e, opCheckpoint)
		}
	}
}
