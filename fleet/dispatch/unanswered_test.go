package dispatch_test

import (
	"testing"
	"time"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/workload"
)

// orders returns the starts and stops of a plan without answering them.
func (b *bench) orders() (starts []dispatch.Start, stops []dispatch.Stop) {
	for _, a := range b.pool.Plan(b.now) {
		switch a := a.(type) {
		case dispatch.Start:
			starts = append(starts, a)
		case dispatch.Stop:
			stops = append(stops, a)
		case dispatch.Pace, dispatch.AdviceRequest:
		}
	}
	return starts, stops
}

// step advances the time by a small step.
func (b *bench) step() {
	const d = 20 * time.Millisecond
	b.now, b.clock = b.now.Add(d), b.clock+d
}

func (b *bench) wantCount(name string, got, want int) {
	b.t.Helper()
	if got != want {
		b.t.Errorf("%s: got %d, want %d", name, got, want)
	}
}

// unansweredStart returns a bench with a job of one task, whose start was ordered and not answered.
func unansweredStart(t *testing.T, workers int) (*bench, dispatch.Start) {
	t.Helper()
	b, start := startedTask(t, workers)
	b.pool.StartAnswered(start, dispatch.Unanswered, workload.ClockReading{}, b.now)
	return b, start
}

// startedTask returns a bench with a job of one task, whose start was ordered.
func startedTask(t *testing.T, workers int) (*bench, dispatch.Start) {
	t.Helper()
	b := newBench(t, workers)
	b.addJob("a", oneTask(1000))
	starts, _ := b.orders()
	if len(starts) != 1 {
		t.Fatalf("starts: got %d, want 1", len(starts))
	}
	return b, starts[0]
}

// Guards against a task that waits until the lease of an unanswered start has ended: a worker that accepted a stop refuses the late start,
// and its next report shows that the run is not present.
func TestUnansweredStartIsSettledByAStop(t *testing.T) {
	b, _ := unansweredStart(t, 1)
	b.step()
	if again, _ := b.orders(); len(again) != 0 {
		t.Fatalf("starts while the first one may be carried out: got %d, want 0", len(again))
	}
	b.report()
	again, stops := b.orders()
	b.wantCount("starts before the stop is answered", len(again), 0)
	b.wantCount("stops of the unanswered start", len(stops), 1)
	b.pool.StopAnswered(stops[0], b.reading(), b.now)
	b.step()
	again, _ = b.orders()
	b.wantCount("starts before a report shows that the run is not present", len(again), 0)
	b.report()
	again, _ = b.orders()
	b.wantCount("starts after that", len(again), 1)
}

// Guards against a stop or a second run of a task whose start was carried out although it was not answered.
func TestUnansweredStartThatIsListedGoesOn(t *testing.T) {
	b, start := unansweredStart(t, 1)
	b.present["w0"][start.Task] = start.Run
	b.step()
	b.report()
	again, stops := b.orders()
	b.wantCount("starts", len(again), 0)
	b.wantCount("stops", len(stops), 0)
}

// Guards against starts on a worker that has just left a start unanswered: it may have ended.
func TestUnresponsiveWorkerGetsNoStarts(t *testing.T) {
	b, first := unansweredStart(t, 2)
	b.addJob("b", oneTask(1000))
	starts, _ := b.orders()
	b.wantCount("starts of the second job", len(starts), 1)
	if got := starts[0].Worker.ID; got == first.Worker.ID {
		t.Errorf("worker of the second job: got %s, which left a start unanswered, want the other one", got)
	}
}

// Guards against a second run of a task whose start was accepted by a new incarnation of a worker before its holder learned of the
// restart.
func TestStartAcceptedByANewIncarnationOfItsWorker(t *testing.T) {
	for _, listed := range []bool{true, false} {
		b, first := startedTask(t, 2)
		b.pool.StartAnswered(first, dispatch.Present, workload.ClockReading{Incarnation: 1, Clock: 5 * time.Millisecond}, b.now)
		again := first.Worker
		again.Incarnation = 2
		b.pool.SetWorker(again, b.now)
		if starts, _ := b.orders(); len(starts) != 0 {
			t.Fatalf("starts before the new incarnation reported: got %d, want 0", len(starts))
		}
		report := func(clock time.Duration) {
			r := workload.Report{Incarnation: 2, Clock: clock}
			if listed {
				r.Active = []workload.ActiveRun{{Task: first.Task, Run: first.Run, Percent: 10}}
			}
			b.pool.Report(first.Worker.ID, r, b.now)
		}
		report(10 * time.Millisecond)
		starts, stops := b.orders()
		if listed {
			b.wantCount("starts while the new incarnation lists the run", len(starts), 0)
			b.wantCount("stops of a run that the new incarnation lists", len(stops), 0)
			continue
		}
		b.wantCount("starts before the stop is answered", len(starts), 0)
		b.wantCount("stops of a run that the new incarnation does not list", len(stops), 1)
		b.pool.StopAnswered(stops[0], workload.ClockReading{Incarnation: 2, Clock: 12 * time.Millisecond}, b.now)
		report(14 * time.Millisecond)
		starts, _ = b.orders()
		b.wantCount("starts once the run is certainly not there", len(starts), 1)
	}
}
