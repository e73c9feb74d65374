package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/retry"
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
	clock   time.Duration
	err     error
}

// startAttempts sends a start, and again while it is unanswered. A worker gives each attempt the same answer while it has the run, and refuses
// late ones once the run has ended, so that all attempts together start at most one run.
type startAttempts struct {
	workers *platform.Workers
	order   platform.StartOrder
	// mayRepeat reports whether the start may be sent again after a number of attempts.
	mayRepeat func(sent int) bool

	answers chan startAnswer
	group   errgroup.Group
	// sent counts the attempts, open those without an outcome yet.
	sent, open int
}

// run returns the outcome of the attempts.
func (s *startAttempts) run(ctx context.Context) (platform.StartOutcome, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	s.answers = make(chan startAnswer, maxStartAttempts)
	defer func() {
		cancel()
		_ = s.group.Wait()
	}()
	s.send(ctx)
	repeat := time.NewTicker(startRepeatInterval)
	defer repeat.Stop()
	var err error
	for s.open > 0 {
		select {
		case a := <-s.answers:
			s.open--
			if s.settles(a.outcome) {
				return a.outcome, a.clock, a.err
			}
			err = errors.Join(err, a.err)
			// The first attempt may have used a connection that the worker had closed.
			if s.sent == 1 && ctx.Err() == nil {
				s.repeat(ctx)
			}
		case <-repeat.C:
			s.repeat(ctx)
		}
	}
	return platform.Unanswered, 0, err
}

// settles reports whether an attempt's outcome is that of the start. While another attempt is unanswered, it may still be carried out after
// this one was refused, unless the worker has ended or follows a newer holder.
func (s *startAttempts) settles(o platform.StartOutcome) bool {
	switch o {
	case platform.Started, platform.OtherWorker, platform.RefusedFence:
		return true
	case platform.Unanswered:
		return false
	}
	return s.sent == 1
}

func (s *startAttempts) repeat(ctx context.Context) {
	if s.sent < maxStartAttempts && s.mayRepeat(s.sent) {
		s.send(ctx)
	}
}

func (s *startAttempts) send(ctx context.Context) {
	s.sent++
	s.open++
	s.group.Go(func() error {
		var a startAnswer
		a.outcome, a.clock, a.err = s.workers.Start(ctx, s.order)
		s.answers <- a
		return nil
	})
}

// startOnce sends a start, which is repeated while it is unanswered, and returns its outcome.
func (p *pool) startOnce(ctx context.Context, s dispatch.Start) (platform.StartOutcome, time.Duration, error) {
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
