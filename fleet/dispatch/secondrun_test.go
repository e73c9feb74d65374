package dispatch_test

import (
	"testing"
	"time"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/workload"
)

// speculativeStep is a step of three tasks that may have second runs, one for each worker.
func speculativeStep() workload.Step {
	return workload.Step{Tasks: 3, Need: workload.Resources{CPU: 9000, MemoryMB: 100}, Estimate: time.Second, Speculative: true}
}

// straggling returns a bench on which two of the three tasks of a job took 0.5 s each while the third one, on the returned worker, still runs.
func straggling(t *testing.T, workers int, step workload.Step) (b *bench, straggler workload.TaskID, worker string) {
	t.Helper()
	b = newBench(t, workers)
	b.addJob("j", step)
	b.advance(500 * time.Millisecond)
	straggler = task("j", 0, 2)
	for i := range 2 {
		b.end(b.workerOf(task("j", 0, i)), task("j", 0, i), workload.EndDone)
	}
	b.advance(100 * time.Millisecond)
	b.starts = nil
	return b, straggler, b.workerOf(straggler)
}

func (b *bench) wantSecondRun(t *testing.T, of workload.TaskID, not string) {
	t.Helper()
	if len(b.starts) != 1 || b.starts[0].Task != of || b.starts[0].Worker.ID == not {
		t.Fatalf("starts: got %v, want one of %v on another worker than %s", b.starts, of, not)
	}
}

// Load: a job on three workers, one of which is so slow that its task takes three times as long as the others. Guards against a job that waits for it
// while there is room elsewhere, against two runs where the step does not allow them, and against second runs that take the room of others.
func TestSecondRunOfATaskThatTakesLongerThanItsStep(t *testing.T) {
	b, straggler, worker := straggling(t, 3, speculativeStep())
	t.Run("none while it takes no longer than others may", func(t *testing.T) {
		b.advance(300 * time.Millisecond)
		wantCount(t, "second runs", len(b.starts), 0)
	})
	t.Run("one on another worker", func(t *testing.T) {
		b.advance(time.Second)
		b.wantSecondRun(t, straggler, worker)
	})
	t.Run("the first one that is done ends the other", func(t *testing.T) {
		b.stops = nil
		b.end(b.starts[0].Worker.ID, straggler, workload.EndDone)
		b.advance(200 * time.Millisecond)
		if len(b.stops) != 1 || b.stops[0].Worker.ID != worker {
			t.Fatalf("stops: got %v, want one on %s", b.stops, worker)
		}
		b.record()
		b.wantState("j", workload.Completed)
	})
	for name, prepare := range map[string]func(*bench, *workload.Step){
		"a step that does not allow it": func(_ *bench, s *workload.Step) { s.Speculative = false },
		"a gang":                        func(_ *bench, s *workload.Step) { s.Gang = true },
		"it is switched off":            func(b *bench, _ *workload.Step) { b.pool.Settings.SecondRuns = dispatch.Never },
		"a waiting task needs the room": func(b *bench, _ *workload.Step) {
			b.addJob("waits", workload.Step{Tasks: 40, Need: workload.Resources{CPU: 8000}, Estimate: time.Second})
		},
		"its worker advances": func(b *bench, _ *workload.Step) { b.percent = 95 },
	} {
		t.Run("none if "+name, func(t *testing.T) {
			step := speculativeStep()
			if name == "a step that does not allow it" || name == "a gang" {
				prepare(nil, &step)
			}
			b, straggler, _ := straggling(t, 3, step)
			if name != "a step that does not allow it" && name != "a gang" {
				prepare(b, &step)
			}
			b.advance(time.Second)
			for _, s := range b.starts {
				if s.Task == straggler {
					t.Errorf("starts: got %v, want none of %v", s, straggler)
				}
			}
		})
	}
}

// Guards against a second run that is lost with its worker and takes the first one with it, and against a task that fails for good because both of its
// runs fail at the same time although it had attempts left before.
func TestSecondRunThatEndsOtherwise(t *testing.T) {
	for name, end := range map[string]func(b *bench, worker string, straggler workload.TaskID){
		"its worker ends": func(b *bench, worker string, _ workload.TaskID) {
			b.pool.WorkerEnded(worker, "moved")
			b.present[worker] = nil
		},
		"it fails": func(b *bench, worker string, straggler workload.TaskID) { b.end(worker, straggler, workload.EndFailed) },
	} {
		t.Run(name, func(t *testing.T) {
			b, straggler, worker := straggling(t, 3, speculativeStep())
			b.advance(time.Second)
			b.wantSecondRun(t, straggler, worker)
			end(b, b.starts[0].Worker.ID, straggler)
			b.plan()
			b.report()
			b.end(worker, straggler, workload.EndDone)
			b.advance(200 * time.Millisecond)
			b.record()
			b.wantState("j", workload.Completed)
		})
	}
}

// Guards against a successor that stops one of two runs, or starts a third one, because it knows of one only.
func TestSuccessorTakesOverBothRuns(t *testing.T) {
	b, straggler, worker := straggling(t, 3, speculativeStep())
	b.advance(time.Second)
	b.wantSecondRun(t, straggler, worker)
	second := b.starts[0].Worker.ID
	records := b.record()
	b.starts, b.stops = nil, nil
	b.takeOver()
	for _, id := range []string{"w0", "w1", "w2"} {
		b.addWorker(id)
	}
	record := records["j"]
	b.pool.AddJob(workload.Job{ID: "j", Queue: queue.Name, Pool: "cutting", Terms: queue, Steps: []workload.Step{speculativeStep()}, Accepted: b.now}, &record, true, b.now)
	b.report()
	b.advance(10 * time.Second)
	wantCount(t, "starts of the successor", len(b.starts), 0)
	wantCount(t, "stops of the successor", len(b.stops), 0)
	b.end(second, straggler, workload.EndDone)
	b.advance(200 * time.Millisecond)
	wantCount(t, "stops after one run is done", len(b.stops), 1)
	b.record()
	b.wantState("j", workload.Completed)
}
