package node

import (
	"context"
	"math/rand/v2"
	"time"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/retry"
	"verbenalanding.example/fleet/workload"
	"verbenalanding.example/platform"
)

const (
	// startTimeout is the time in which a start and its repetitions must be answered; an answer takes milliseconds.
	startTimeout = 300 * time.Millisecond
	// startRepeatInterval is how long an attempt may be unanswered before the start is sent again; earlier attempts stay open.
	startRepeatInterval = 80 * time.Millisecond
	// maxStartAttempts is how many attempts fit into startTimeout.
	maxStartAttempts = 4
)

// newStartBudget returns the budget for repeated starts. With half of all orders unanswered, a start needs 0.9 repetitions on average; a node that
// is too slow to read its answers in time must not more than double its own load for longer than the burst.
func newStartBudget() retry.Budget {
	return retry.Budget{Ratio: 1, Burst: 100, MaxAttempts: maxStartAttempts, BaseDelay: startRepeatInterval}
}

// startAnswer is the outcome of one attempt to start a run.
type startAnswer struct {
	outcome platform.StartOutcome
	at      workload.ClockReading
	err     error
}

// startAttempts sends a start, and again while it is unanswered. A worker gives each attempt the same answer while it has the run, and refuses
// late ones once the run has ended, so that all attempts together start at most one run.
type startAttempts struct {
	workers *platform.Workers
	order   platform.StartOrder
	// mayRepeat reports whether the start may be sent again after a number of attempts.
	mayRepeat func(sent int) bool
}

// run returns the outcome of the attempts.
func (s *startAttempts) run(ctx context.Context) (platform.StartOutcome, workload.ClockReading, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	calls := repeatedCall[startAnswer]{
		max: maxStartAttempts,
		send: func(ctx context.Context, _ int) (a startAnswer) {
			a.outcome, a.at, a.err = s.workers.Start(ctx, s.order)
			return a
		},
		settles:   startSettles,
		mayRepeat: s.mayRepeat,
	}
	if a, ok := calls.run(ctx, startRepeatInterval, startRepeatInterval); ok {
		return a.outcome, a.at, a.err
	}
	return platform.Unanswered, workload.ClockReading{}, context.Cause(ctx)
}

// startSettles reports whether the outcome of one of several attempts is that of the start. While another attempt is unanswered, it may still be
// carried out after this one was refused, unless its incarnation has ended or follows a newer holder.
func startSettles(a startAnswer, sent int) bool {
	switch a.outcome {
	case platform.Started, platform.OtherWorker, platform.OtherIncarnation, platform.RefusedFence:
		return true
	case platform.Unanswered:
		return false
	}
	return sent == 1
}

// startOnce sends a start, which is repeated while it is unanswered, and returns its outcome.
func (p *pool) startOnce(ctx context.Context, s dispatch.Start) (platform.StartOutcome, workload.ClockReading, error) {
	p.mu.Lock()
	p.startBudget.Request()
	p.mu.Unlock()
	attempts := startAttempts{
		workers: p.node.Workers,
		order: platform.StartOrder{
			Order: p.order(s.Worker, s.Task, s.Run), Spec: s.Spec, LeaseEnd: s.LeaseEnd, Checkpoint: s.Checkpoint, Ticket: s.Ticket,
		},
		mayRepeat: func(sent int) bool { return p.mayRepeatStart(s, sent) },
	}
	return attempts.run(ctx)
}

// mayRepeatStart reports whether a start is still wanted and the budget allows another attempt.
func (p *pool) mayRepeatStart(s dispatch.Start, sent int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	return p.scheduler.AwaitsStart(s) && p.startBudget.Decide(now, retry.Attempt{
		Outcome: retry.Unknown, ByteSent: true, Repeatable: true, Number: sent, Deadline: now.Add(startTimeout), Random: rand.Uint64(),
	}).Retry
}
