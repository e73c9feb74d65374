package dispatch_test

import (
	"maps"
	"testing"
	"time"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/workload"
)

// firstStarts records the waits that a pool reports, by job.
func firstStarts(p *dispatch.Pool) map[string]dispatch.FirstStart {
	waits := map[string]dispatch.FirstStart{}
	p.OnFirstStart = func(s dispatch.FirstStart) { waits[s.Job] = s }
	return waits
}

// startAll plans and answers each start as present after a delay.
func startAll(p *dispatch.Pool, now time.Time, delay time.Duration) {
	for _, a := range p.Plan(now) {
		if s, ok := a.(dispatch.Start); ok {
			p.StartAnswered(s, dispatch.Present, workload.ClockReading{Incarnation: 1, Clock: time.Minute}, now.Add(delay))
		}
	}
}

func assertFirstStart(t *testing.T, got dispatch.FirstStart, wait time.Duration, causes map[dispatch.WaitCause]time.Duration) {
	t.Helper()
	if got.Wait != wait || !maps.Equal(got.Causes, causes) {
		t.Errorf("wait for the first run: got %v, %v, want %v, %v", got.Wait, got.Causes, wait, causes)
	}
}

func accepted(id string, at time.Time, cpu int64, priority int) workload.Job {
	terms := queue
	terms.Name, terms.Priority = id, priority
	return workload.Job{ID: id, Queue: id, Pool: "cutting", Terms: terms, Accepted: at, Steps: []workload.Step{{Tasks: 1, Need: workload.Resources{CPU: cpu}, Estimate: time.Second}}}
}

// Guards against a late start whose cause cannot be told: the store, a lost holder, full workers, other jobs, or an order without answer.
func TestFirstStartsByCause(t *testing.T) {
	const ms = time.Millisecond
	at := func(d time.Duration) time.Time { return epoch.Add(d * ms) }
	t.Run("no holder, then the store", func(t *testing.T) {
		p, _ := overloaded(1, 0)
		waits := firstStarts(p)
		p.AddJob(accepted("a", at(-400), 1000, 0), nil, false, at(30))
		startAll(p, at(50), 2*ms)
		assertFirstStart(t, waits["a"], 452*ms, map[dispatch.WaitCause]time.Duration{
			dispatch.CauseNoHolder: 400 * ms, dispatch.CauseStore: 30 * ms, dispatch.CausePlan: 20 * ms, dispatch.CauseOrders: 2 * ms,
		})
	})
	t.Run("full workers, then other jobs", func(t *testing.T) {
		p, _ := overloaded(1, 0)
		waits := firstStarts(p)
		p.AddJob(accepted("full", at(0), 64000, 0), nil, false, at(0))
		startAll(p, at(0), 0)
		p.AddJob(accepted("late", at(0), 64000, 2), nil, false, at(0))
		p.AddJob(accepted("first", at(0), 64000, 1), nil, false, at(0))
		startAll(p, at(10), 0)
		endOf := func(job string, number int64, now time.Time) {
			p.Report("w000", workload.Report{Incarnation: 1, Clock: time.Minute + now.Sub(epoch), Ended: []workload.EndedRun{
				{Number: number, Task: workload.TaskID{Job: job}, Run: 1, How: workload.EndDone},
			}}, now)
		}
		endOf("full", 1, at(100))
		startAll(p, at(100), 0)
		endOf("first", 2, at(150))
		startAll(p, at(150), 0)
		assertFirstStart(t, waits["first"], 100*ms, map[dispatch.WaitCause]time.Duration{dispatch.CausePlan: 10 * ms, dispatch.CauseNoRoom: 90 * ms})
		assertFirstStart(t, waits["late"], 150*ms, map[dispatch.WaitCause]time.Duration{
			dispatch.CausePlan: 10 * ms, dispatch.CauseNoRoom: 90 * ms, dispatch.CauseJobsBefore: 50 * ms,
		})
	})
	t.Run("order without answer", func(t *testing.T) {
		p, _ := overloaded(1, 0)
		waits := firstStarts(p)
		p.AddJob(accepted("a", at(0), 1000, 0), nil, false, at(0))
		var start dispatch.Start
		for _, a := range p.Plan(at(0)) {
			start = a.(dispatch.Start)
		}
		p.StartAnswered(start, dispatch.Unanswered, workload.ClockReading{}, at(300))
		if len(waits) != 0 {
			t.Errorf("first starts before a run is known: got %v, want none", waits)
		}
		p.Report("w000", workload.Report{Incarnation: 1, Clock: time.Minute + 350*ms, Active: []workload.ActiveRun{{Task: start.Task, Run: start.Run}}}, at(350))
		assertFirstStart(t, waits["a"], 350*ms, map[dispatch.WaitCause]time.Duration{dispatch.CauseOrders: 350 * ms})
	})
	t.Run("a run of a previous holder", func(t *testing.T) {
		p, _ := overloaded(1, 0)
		waits := firstStarts(p)
		p.AddJob(accepted("a", at(-400), 1000, 0), &dispatch.Record{Started: true}, true, at(0))
		startAll(p, at(30000), 0)
		if len(waits) != 0 {
			t.Errorf("first starts of a job that was started before: got %v, want none", waits)
		}
	})
}
