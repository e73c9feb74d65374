package dispatch_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/workload"
)

// Guards against a job with long estimates that waits behind jobs which are late already, because its target time overflows.
func TestLongEstimatesDoNotOverflow(t *testing.T) {
	b := newBench(t, 1)
	// The tasks of the queue take ten times as long as declared.
	b.addJob("slow", workload.Step{Tasks: 1, Need: workload.Resources{CPU: 16000}, Estimate: time.Millisecond})
	b.plan()
	b.advance(time.Second)
	b.end("w0", task("slow", 0, 0), workload.EndDone)
	b.report()
	b.record()
	b.starts = nil
	var steps []workload.Step
	for i := range 256 {
		step := workload.Step{Tasks: 1, Need: workload.Resources{CPU: 16000}, Estimate: 366 * 24 * time.Hour}
		if i > 0 {
			step.After = []int{i - 1}
		}
		steps = append(steps, step)
	}
	b.addJob("long", steps...)
	late := workload.Step{Tasks: 1, Need: workload.Resources{CPU: 16000}, Estimate: 10 * time.Millisecond}
	b.pool.AddJob(workload.Job{ID: "late", Queue: queue.Name, Pool: "cutting", Terms: queue, Steps: []workload.Step{late}, Accepted: b.now.Add(-time.Hour)}, nil, false, b.now)
	b.plan()
	if len(b.starts) != 1 || b.starts[0].Task.Job != "long" {
		t.Errorf("starts: got %+v, want one of the long job, which is in time", b.starts)
	}
}

// Guards against an estimated start in the past, or in a year that JSON cannot hold, behind work of millennia.
func TestEstimatedStartBehindMuchWork(t *testing.T) {
	b := newBench(t, 1)
	b.addJob("running", workload.Step{Tasks: 1, Need: workload.Resources{CPU: 16000}, Estimate: time.Hour})
	b.plan()
	for i := range 4 {
		b.addJob(fmt.Sprintf("long%d", i), workload.Step{Tasks: 4096, Need: workload.Resources{CPU: 16000}, Estimate: 366 * 24 * time.Hour})
	}
	for i := range 4 {
		e, _ := b.pool.Explain(fmt.Sprintf("long%d", i), b.now)
		if year := e.EstimatedStart.Year(); !e.EstimatedStart.IsZero() && (e.EstimatedStart.Before(b.now) || year > 9999) {
			t.Errorf("estimated start of long%d: got %v, want one from now on, in a year that JSON can hold", i, e.EstimatedStart)
		}
	}
}

// Guards against fillers that stand still for ever beside a serving task with a target below a millisecond, by a division by zero.
func TestFillersBesideATargetBelowAMillisecond(t *testing.T) {
	b := newBench(t, 1)
	b.addJob("serving", workload.Step{Tasks: 1, Need: workload.Resources{CPU: 1000}, LongRunning: true, TargetTail: 900 * time.Microsecond})
	b.addJob("filler", workload.Step{Tasks: 1, Need: workload.Resources{CPU: 1000}, Fills: true, Estimate: time.Hour})
	b.plan()
	b.metric = 0.1
	b.advance(2 * time.Second)
	for _, pace := range b.paces {
		if pace.Percent < 100 {
			t.Errorf("pace at a tail of %v ms: got %d percent, want 100", b.metric, pace.Percent)
		}
	}
}

// Guards against a job that never starts, and requests for advice without a pause, because tickets are valid for less than the time that is kept in
// reserve, or not at all.
func TestTicketsOfShortValidity(t *testing.T) {
	for valid, wantStarts := range map[time.Duration]int{200 * time.Millisecond: 1, -time.Second: 0} {
		t.Run(valid.String(), func(t *testing.T) {
			b := newBench(t, 1)
			advised := queue
			advised.Advice = &workload.AdviceSettings{Valid: valid}
			b.pool.SetQueues([]workload.Queue{advised})
			b.addJob("j", oneTask(1000))
			requests, starts := 0, 0
			for range 40 {
				for _, a := range b.pool.Plan(b.now) {
					switch a := a.(type) {
					case dispatch.AdviceRequest:
						requests++
						b.pool.AdviceReceived(a, map[string]string{"w0": "ticket"}, b.now.Add(valid), b.now)
					case dispatch.Start:
						starts++
						b.pool.StartAnswered(a, dispatch.Present, b.reading(), b.now)
						b.present["w0"][a.Task] = a.Run
					}
				}
				b.now, b.clock = b.now.Add(50*time.Millisecond), b.clock+50*time.Millisecond
				b.report()
			}
			wantCount(t, "starts", starts, wantStarts)
			wantCount(t, "requests in 2 s", requests, 1)
		})
	}
}

// Guards against conversions whose result differs between processors.
func TestScaleIsBounded(t *testing.T) {
	const longest = 281 * 366 * 24 * time.Hour
	for _, factor := range []float64{math.Inf(1), math.Inf(-1), 1e300, -1e300, math.NaN()} {
		got := workload.Scale(time.Hour, factor)
		if got.Abs() > longest || (factor > 0 && got <= 0) || (factor < 0 && got >= 0) {
			t.Errorf("an hour times %v: got %v, want it with its sign and at most %v", factor, got, longest)
		}
	}
	if got, want := workload.Scale(time.Hour, 1.5), 90*time.Minute; got != want {
		t.Errorf("an hour times 1.5: got %v, want %v", got, want)
	}
}
