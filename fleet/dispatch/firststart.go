package dispatch

import "time"

// WaitCause is a cause of the time between the hand-in of a job and its first run.
type WaitCause string

// The causes of the time to the first run of a job.
const (
	// CauseNoHolder is the time before this holder took the pool over.
	CauseNoHolder WaitCause = "noHolder"
	// CauseStore is the time until the job was stored and read by the holder.
	CauseStore WaitCause = "store"
	// CauseUnreported is the time in which a previous holder may have started its tasks on workers that had not reported.
	CauseUnreported WaitCause = "unreported"
	// CauseNoRoom is the time in which no worker had enough free CPU.
	CauseNoRoom WaitCause = "noRoom"
	// CauseJobsBefore is the time in which workers had enough free CPU that jobs placed before it took, or that its rules did not admit.
	CauseJobsBefore WaitCause = "jobsBefore"
	// CauseQuota is the time in which the limit of its workspace kept its tasks from starting.
	CauseQuota WaitCause = "quota"
	// CausePlan is the time until a plan that considered it.
	CausePlan WaitCause = "plan"
	// CauseOrders is the time from the first order to start until a run was known to be present; orders may be unanswered or refused.
	CauseOrders WaitCause = "orders"
)

// FirstStart says how long a job has waited for its first run, in all and by cause.
type FirstStart struct {
	Job  string
	Wait time.Duration
	// Causes holds the causes that took any time.
	Causes map[WaitCause]time.Duration
}

// firstWait is the wait of a job that has no run yet.
type firstWait struct {
	from time.Time
	// Since the time `since`, the wait has the cause `cause`, and until is the latest time at which it had it.
	since  time.Time
	until  time.Time
	cause  WaitCause
	causes map[WaitCause]time.Duration
}

// beginFirstWait begins to count the wait of a job that became known.
func (p *Pool) beginFirstWait(j *job, now time.Time) {
	from := j.Accepted
	if due := j.Due(0); due.After(from) {
		from = due
	}
	j.first = &firstWait{from: from, since: from, until: from, cause: CauseStore, causes: map[WaitCause]time.Duration{}}
	if from.Before(p.begunAt) {
		j.first.cause = CauseNoHolder
		j.first.change(CauseStore, p.begunAt)
	}
	j.first.change(CausePlan, now)
}

// change ends the time of the present cause.
func (f *firstWait) change(cause WaitCause, now time.Time) {
	if f == nil {
		return
	}
	// The clock of the node that accepted the job may be ahead, and its first occurrence may be due later.
	if now.After(f.until) {
		f.until = now
	}
	if cause == f.cause {
		return
	}
	if f.until.After(f.since) {
		f.causes[f.cause] += f.until.Sub(f.since)
	}
	f.since, f.cause = f.until, cause
}

// hasOrder reports whether a start was ordered; the rest of the wait is for its confirmation, whatever else is ordered.
func (f *firstWait) hasOrder() bool { return f != nil && f.cause == CauseOrders }

// placementCause returns why a plan has not placed a task that needs cpu.
func (p *Pool) placementCause(cpu int64) WaitCause {
	if cpu > p.freeAtFirst {
		return CauseNoRoom
	}
	return CauseJobsBefore
}

// noteWait records why a plan has not placed a job that has no run yet.
func (p *Pool) noteWait(j *job, cpu int64, now time.Time) {
	if !j.first.hasOrder() {
		j.first.change(p.placementCause(cpu), now)
	}
}

// runBegan records that a worker has confirmed a run of a task. Only here does a job count as begun, and its first wait end.
func (p *Pool) runBegan(t *task, now time.Time) {
	t.job.started = true
	if t.state.startedAt.IsZero() {
		t.state.startedAt = now
	}
	p.endFirstWait(t.job, now)
}

// endFirstWait reports the wait of a job whose first run has begun.
func (p *Pool) endFirstWait(j *job, now time.Time) {
	f := j.first
	if f == nil {
		return
	}
	j.first = nil
	f.change("", now)
	if p.OnFirstStart != nil {
		p.OnFirstStart(FirstStart{Job: j.ID, Wait: max(0, now.Sub(f.from)), Causes: f.causes})
	}
}
