package node

import (
	"context"
	"time"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/interval"
	"verbenalanding.example/fleet/pacing"
	"verbenalanding.example/fleet/workload"
	"verbenalanding.example/platform"
)

const (
	// orderTimeout is the timeout of an order to a worker; the worker's next report shows the outcome of an unanswered order.
	orderTimeout = time.Second
	// holdWait is how long a worker delays its answer to a hold if no run ends. For suspectFor after an unanswered hold the delay is
	// suspectHoldWait, since runs that end during an unanswered hold are not reported until the next one.
	holdWait        = 500 * time.Millisecond
	suspectHoldWait = 150 * time.Millisecond
	suspectFor      = 3 * time.Second
	// holdMargin is added to the wait of a hold for its timeout. Within it an unanswered hold is repeated, without a wait.
	holdMargin         = 250 * time.Millisecond
	holdRepeatInterval = 80 * time.Millisecond
	maxHoldAttempts    = 3
	// minPollPause is the pause between two holds of a worker whose ended runs are being recorded, in a pool of up to pollWorkers workers. In
	// larger pools it grows with the number of workers, since holds use most of the holder's processor time.
	minPollPause = 25 * time.Millisecond
	pollWorkers  = 32
	// holdRetryPause is the pause between two holds of an unresponsive worker.
	holdRetryPause = 150 * time.Millisecond
)

// pollPacing lengthens the pause between holds while the holder is short of processor time: orders to workers would otherwise wait so long that
// workers refuse them as late.
var pollPacing = pacing.Settings{Stretch: 10, Longest: 250 * time.Millisecond}

// send sends an order in a goroutine of its own.
func (p *pool) send(ctx context.Context, a dispatch.Action) {
	p.orders.Go(func() error {
		callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		if !p.valid() {
			p.markUnsent(a)
			return nil
		}
		switch a := a.(type) {
		case dispatch.Start:
			p.sendStart(callCtx, a)
		case dispatch.Stop:
			p.sendStop(callCtx, a)
		case dispatch.Pace:
			p.sendPace(callCtx, a)
		case dispatch.AdviceRequest:
			p.requestAdvice(ctx, a)
		}
		return nil
	})
}

// markUnsent reports a start that was not sent, because the duty may be lost, as refused to the scheduler.
func (p *pool) markUnsent(a dispatch.Action) {
	if s, ok := a.(dispatch.Start); ok {
		p.mu.Lock()
		p.scheduler.StartAnswered(s, dispatch.Refused, workload.ClockReading{}, p.node.Clock.Now())
		p.mu.Unlock()
	}
}

func (p *pool) order(w workload.Worker, task workload.TaskID, run int) platform.Order {
	return platform.Order{Worker: w, Task: task, Run: run, Fence: p.fence, Held: p.valid}
}

func (p *pool) sendStart(ctx context.Context, s dispatch.Start) {
	began := time.Now()
	outcome, at, err := p.startOnce(ctx, s)
	observe(p.node.Registry, "starts."+string(outcome), time.Since(began))
	p.logEvent(dispatch.Event{Kind: "start", Job: s.Task.Job, Task: s.Task, Run: s.Run, Worker: s.Worker.ID, Reason: string(outcome), Age: s.Waited})
	if at.Incarnation != 0 && at.Incarnation != s.Worker.Incarnation {
		p.log.Warn().Str("job", s.Task.Job).Str("worker", s.Worker.ID).Int64("incarnation", s.Worker.Incarnation).Dur("leaseEnd", s.LeaseEnd).
			Int64("answeredBy", at.Incarnation).Dur("clock", at.Clock).Msg("start answered by another incarnation of the worker")
	}
	if err != nil {
		p.log.Debug().Err(err).Str("worker", s.Worker.ID).Msg("start not answered")
	}
	answer := dispatch.Unanswered
	switch outcome {
	case platform.Started:
		answer = dispatch.Present
	case platform.RefusedCapacity:
		answer = dispatch.RefusedCapacity
	case platform.RefusedRunNumber:
		answer = dispatch.RefusedRunNumber
	case platform.RefusedUnhealthy:
		answer = dispatch.RefusedUnhealthy
	case platform.RefusedTicket:
		answer = dispatch.RefusedTicket
	case platform.RefusedFence:
		answer = dispatch.Refused
		p.markLost()
	case platform.RefusedLate, platform.RefusedInvalid, platform.OtherWorker, platform.OtherIncarnation, platform.Withheld:
		answer = dispatch.Refused
	case platform.Unanswered:
	}
	now := p.node.Clock.Now()
	p.mu.Lock()
	p.scheduler.StartAnswered(s, answer, at, now)
	if outcome == platform.OtherWorker {
		p.scheduler.IncarnationEnded(s.Worker, "another worker has its address")
	}
	p.mu.Unlock()
	if answer == dispatch.Unanswered {
		// The worker's report shows whether it carried out the start.
		pollCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), orderTimeout)
		defer cancel()
		p.poll(pollCtx, s.Worker.ID)
	}
	if answer != dispatch.Present {
		p.triggerPlan()
	}
}

func (p *pool) sendStop(ctx context.Context, s dispatch.Stop) {
	accepted, at, err := p.node.Workers.Stop(ctx, p.order(s.Worker, s.Task, s.Run))
	p.logEvent(dispatch.Event{Kind: "stop", Job: s.Task.Job, Task: s.Task, Run: s.Run, Worker: s.Worker.ID, Reason: s.Reason})
	if err != nil {
		p.log.Debug().Err(err).Str("worker", s.Worker.ID).Msg("stop not answered")
	}
	if accepted {
		p.mu.Lock()
		needsReport := p.scheduler.StopAnswered(s, at, p.node.Clock.Now())
		p.mu.Unlock()
		if needsReport {
			p.poll(ctx, s.Worker.ID)
		}
	}
}

// poll requests a worker's report immediately.
func (p *pool) poll(ctx context.Context, id string) {
	if !p.valid() {
		return
	}
	p.mu.Lock()
	next := p.scheduler.NextHold(id, p.node.Clock.Now())
	p.mu.Unlock()
	if next.Known {
		p.holdOnce(ctx, next, 0)
	}
}

func (p *pool) sendPace(ctx context.Context, a dispatch.Pace) {
	if _, err := p.node.Workers.Pace(ctx, p.order(a.Worker, a.Task, a.Run), a.Percent); err != nil {
		p.log.Debug().Err(err).Str("worker", a.Worker.ID).Msg("pace not answered")
	}
	p.log.Debug().Str("job", a.Task.Job).Str("worker", a.Worker.ID).Int("percent", a.Percent).Msg("pace")
}

// adviceTimeout is the timeout of a call to the advice service, which serves the calls of a node one after the other.
const adviceTimeout = 5 * time.Second

func (p *pool) requestAdvice(ctx context.Context, a dispatch.AdviceRequest) {
	ctx, cancel := context.WithTimeout(ctx, adviceTimeout)
	defer cancel()
	tickets, limited, err := p.node.Advice.Ask(ctx, a.Job, a.Occurrence, a.Step, a.Workers)
	if err != nil || limited {
		p.log.Warn().Err(err).Bool("limited", limited).Str("job", a.Job).Msg("advice not received")
		tickets.ByWorker = nil
	} else if tickets.ByWorker == nil {
		tickets.ByWorker = map[string]string{}
	}
	now := p.node.Clock.Now()
	p.update(func(scheduler *dispatch.Pool) {
		scheduler.AdviceReceived(a, tickets.ByWorker, now.Add(tickets.ValidFor), now)
	})
}

// hold renews a worker's lease and applies its reports until the worker leaves the pool.
func (p *pool) hold(ctx context.Context, id string) error {
	defer func() {
		p.mu.Lock()
		delete(p.leased, id)
		p.mu.Unlock()
	}()
	answered := false
	var suspectUntil time.Time
	for ctx.Err() == nil {
		if !p.valid() {
			interval.Wait(ctx, holdRetryPause)
			continue
		}
		p.mu.Lock()
		next := p.scheduler.NextHold(id, p.node.Clock.Now())
		p.mu.Unlock()
		if !next.Known {
			return nil
		}
		wait := time.Duration(0)
		if answered {
			wait = holdWait
			if p.node.Clock.Now().Before(suspectUntil) {
				wait = suspectHoldWait
			}
		}
		answered = p.holdOnce(ctx, next, wait)
		if !answered {
			suspectUntil = p.node.Clock.Now().Add(suspectFor)
			interval.Wait(ctx, holdRetryPause)
			continue
		}
		p.mu.Lock()
		unrecorded, pause := p.scheduler.HasUnrecordedEnds(id), p.pollPause()
		p.mu.Unlock()
		if unrecorded {
			// A worker answers immediately while it has ended runs that are not acknowledged.
			interval.Wait(ctx, pause)
		}
	}
	return nil
}

// pollPause returns the pause between two holds of a worker whose ended runs are being recorded. The caller holds the pool's lock.
func (p *pool) pollPause() time.Duration {
	pause := minPollPause * time.Duration(max(pollWorkers, p.scheduler.Workers())) / pollWorkers
	return pollPacing.Pause(pause, p.lateness.Mean())
}

// holdAnswer is the outcome of one attempt to renew a worker's lease.
type holdAnswer struct {
	outcome platform.HoldOutcome
	report  workload.Report
	err     error
}

// holdOnce renews a worker's lease once and applies its report; it reports whether the worker answered with one. A hold of a worker that answered
// the one before is repeated while it is unanswered: all attempts grant the same lease, and any report is as good.
func (p *pool) holdOnce(ctx context.Context, next dispatch.Hold, wait time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, wait+holdMargin)
	defer cancel()
	calls := repeatedCall[holdAnswer]{
		max: maxHoldAttempts,
		send: func(ctx context.Context, attempt int) (a holdAnswer) {
			order := platform.HoldOrder{
				Worker: next.Worker, Fence: p.fence, Held: p.valid, LeaseEnd: next.LeaseEnd, Acknowledged: next.Acknowledged,
			}
			if attempt == 1 {
				order.Wait = wait
			}
			a.outcome, a.report, a.err = p.node.Workers.Hold(ctx, order)
			return a
		},
		settles:   func(a holdAnswer, _ int) bool { return a.outcome != platform.HoldUnanswered },
		mayRepeat: func(int) bool { return wait > 0 && p.valid() },
	}
	a, answered := calls.run(ctx, wait+holdRepeatInterval, holdRepeatInterval)
	if !answered {
		p.log.Debug().Str("worker", next.Worker.ID).Msg("hold not answered")
		return false
	}
	if a.err != nil {
		p.log.Debug().Err(a.err).Str("worker", next.Worker.ID).Msg("hold not answered completely")
	}
	return p.applyHold(next, a)
}

// applyHold applies a worker's answer to a hold; it reports whether that is a report.
func (p *pool) applyHold(next dispatch.Hold, a holdAnswer) bool {
	now := p.node.Clock.Now()
	switch a.outcome {
	case platform.HoldAccepted:
		p.update(func(scheduler *dispatch.Pool) { scheduler.Report(next.Worker.ID, a.report, now) })
		return true
	case platform.HoldOtherWorker:
		p.update(func(scheduler *dispatch.Pool) {
			scheduler.IncarnationEnded(next.Worker, "another worker has its address")
		})
	case platform.HoldFenced:
		p.log.Warn().Str("worker", next.Worker.ID).Msg("worker follows a newer holder")
		p.markLost()
	case platform.HoldUnanswered:
	}
	return false
}
