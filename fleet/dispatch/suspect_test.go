package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/workload"
)

// wholeWorker is a step whose tasks each take a whole worker of the bench.
func wholeWorker(tasks int) workload.Step {
	return workload.Step{Tasks: tasks, Need: workload.Resources{CPU: 16000}, Estimate: time.Second}
}

// failOn adds a job of one task, has it start on a worker and fail there.
func (b *bench) failOn(worker, id string) {
	b.t.Helper()
	b.addJob(id, workload.Step{Tasks: 1, Need: workload.Resources{CPU: 1000}, Estimate: time.Second})
	before := len(b.starts)
	b.plan()
	if len(b.starts) != before+1 || b.starts[before].Worker.ID != worker {
		b.t.Fatalf("start of job %s: got %v, want one on %s", id, b.starts[before:], worker)
	}
	b.end(worker, b.starts[before].Task, workload.EndFailed)
	b.report()
	b.pool.Cancel(id, b.now)
}

// Guards against jobs that fail in a busy pool because their tasks are started again on a worker on which all runs fail, since only that
// worker has free capacity.
func TestFailedTaskWaitsForAnotherWorker(t *testing.T) {
	b := newBench(t, 2)
	b.addJob("full", wholeWorker(1))
	b.plan()
	full := b.starts[0].Worker.ID
	b.addJob("a", workload.Step{Tasks: 1, Need: workload.Resources{CPU: 1000}, Estimate: time.Second})
	b.plan()
	b.wantCount("starts", len(b.starts), 2)
	bad := b.starts[1].Worker.ID
	b.end(bad, b.starts[1].Task, workload.EndFailed)
	b.report()
	b.advance(200 * time.Millisecond)
	b.wantCount("starts while the other worker is full", len(b.starts), 2)
	b.end(full, b.starts[0].Task, workload.EndDone)
	b.report()
	b.advance(100 * time.Millisecond)
	b.wantCount("starts once the other worker has free capacity", len(b.starts), 3)
	if got := b.starts[2].Worker.ID; got != full {
		t.Errorf("worker of the second run: got %s, want %s", got, full)
	}
}

// Guards against a task that never runs again: if it failed on every worker, it may run on any.
func TestTaskThatFailedOnAllWorkersRunsAgain(t *testing.T) {
	b := newBench(t, 1)
	b.addJob("a", workload.Step{Tasks: 1, Need: workload.Resources{CPU: 1000}, Estimate: time.Second})
	b.plan()
	b.end("w0", b.starts[0].Task, workload.EndFailed)
	b.report()
	b.advance(100 * time.Millisecond)
	b.wantCount("starts on the only worker", len(b.starts), 2)
}

// Guards against a worker on which every run fails, and which gets the tasks of a busy pool because it is empty: after a while without
// starts it gets one task at a time.
func TestSuspectedWorkerIsTriedWithOneTask(t *testing.T) {
	b := newBench(t, 4)
	// All other workers are full.
	b.addJob("full", wholeWorker(3))
	b.plan()
	busy := map[string]bool{}
	for _, s := range b.starts {
		busy[s.Worker.ID] = true
	}
	bad := ""
	for i := range 4 {
		if id := fmt.Sprintf("w%d", i); !busy[id] {
			bad = id
		}
	}
	b.failOn(bad, "x")
	b.failOn(bad, "y")
	b.addJob("a", workload.Step{Tasks: 3, Need: workload.Resources{CPU: 1000}, Estimate: time.Second})
	before := len(b.starts)
	b.advance(time.Second)
	b.wantCount("starts while the worker is suspected", len(b.starts)-before, 0)
	b.advance(1500 * time.Millisecond)
	b.wantCount("starts once it is tried again", len(b.starts)-before, 1)
	b.end(bad, b.starts[before].Task, workload.EndDone)
	b.report()
	b.advance(100 * time.Millisecond)
	b.wantCount("starts after a run that was done", len(b.starts)-before, 3)
}

// Guards against a pool that stalls because jobs that can never succeed fail on all of its workers.
func TestWorkersGetStartsIfMostAreSuspected(t *testing.T) {
	b := newBench(t, 2)
	for i := range 6 {
		b.addJob(fmt.Sprintf("x%d", i), workload.Step{Tasks: 2, Need: workload.Resources{CPU: 9000}, Estimate: time.Second})
		b.plan()
		for id, runs := range b.present {
			for task := range runs {
				b.end(id, task, workload.EndFailed)
			}
		}
		b.report()
	}
	for i := range 6 {
		b.pool.Cancel(fmt.Sprintf("x%d", i), b.now)
	}
	b.addJob("a", workload.Step{Tasks: 2, Need: workload.Resources{CPU: 9000}, Estimate: time.Second})
	before := len(b.starts)
	b.advance(100 * time.Millisecond)
	var starts []dispatch.Start
	for _, s := range b.starts[before:] {
		if s.Task.Job == "a" {
			starts = append(starts, s)
		}
	}
	b.wantCount("starts", len(starts), 2)
}
