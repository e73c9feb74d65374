package dispatch_test

import (
	"testing"
	"time"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/workload"
)

// occupied returns a bench of three workers, two of which run a task each that leaves no room for a task of failingStep, and for a long time.
func occupied(t *testing.T, longRunning bool) *bench {
	t.Helper()
	b := newBench(t, 3)
	b.addJob("lasting", workload.Step{
		Tasks: 2, Need: workload.Resources{CPU: 10000}, Estimate: time.Hour, MaxPerWorker: 1, LongRunning: longRunning,
	})
	b.plan()
	wantCount(t, "starts of the tasks that last", len(b.starts), 2)
	b.starts = nil
	return b
}

// failingStep is a step whose tasks need more than half of a worker.
func failingStep(tasks int) workload.Step {
	return workload.Step{Tasks: tasks, Need: workload.Resources{CPU: 9000}, Estimate: 600 * time.Millisecond}
}

// Guards against a task that failed once and is never started again: the only worker with room is the one where it failed, and the others
// are occupied by tasks that last.
func TestFailedTaskRunsAgainBesideTasksThatLast(t *testing.T) {
	for name, longRunning := range map[string]bool{"until they are cancelled": true, "for an hour": false} {
		t.Run(name, func(t *testing.T) {
			b := occupied(t, longRunning)
			b.addJob("j", failingStep(1))
			b.plan()
			wantCount(t, "starts", len(b.starts), 1)
			b.end(b.starts[0].Worker.ID, b.starts[0].Task, workload.EndFailed)
			b.report()
			b.advance(500 * time.Millisecond)
			wantCount(t, "starts while another worker may become free", len(b.starts), 1)
			e, _ := b.pool.Explain("j", b.now)
			if e.Reason != dispatch.WaitOtherWorker || e.EstimatedStart.Sub(b.now) > time.Second {
				t.Errorf("explanation: got %s, estimated start in %v, want %s within 1s", e.Reason, e.EstimatedStart.Sub(b.now), dispatch.WaitOtherWorker)
			}
			b.advance(time.Second)
			wantCount(t, "starts after that", len(b.starts), 2)
		})
	}
}

// Guards against tasks that wait without a reason: the task before them in their step has failed on the only worker with room.
func TestOtherTasksOfAStepRunWhereOneHasFailed(t *testing.T) {
	b := occupied(t, true)
	b.addJob("j", failingStep(2))
	b.plan()
	wantCount(t, "starts", len(b.starts), 1)
	b.end(b.starts[0].Worker.ID, b.starts[0].Task, workload.EndFailed)
	b.report()
	b.advance(100 * time.Millisecond)
	if got, want := len(b.starts), 2; got != want {
		t.Fatalf("starts after the failure: got %d, want %d", got, want)
	}
	if got, failed := b.starts[1].Task.Index, b.starts[0].Task.Index; got == failed {
		t.Errorf("task of the second start: got %d, which has failed, want the other one", got)
	}
}

// Guards against a job that fails because a worker on which all runs fail takes the attempts of its tasks in quick succession: the wait grows
// with each failure, and stays below the 3 s for which the users let a task wait beside free workers.
func TestFailedTaskWaitsLongerAfterEachFailure(t *testing.T) {
	const usersLimit = 3 * time.Second
	b := occupied(t, true)
	terms := queue
	terms.MaxAttempts = 5
	b.pool.SetQueues([]workload.Queue{terms})
	b.addJob("j", failingStep(1))
	b.plan()
	before := time.Duration(0)
	for failures := 1; failures < terms.MaxAttempts; failures++ {
		last := b.starts[len(b.starts)-1]
		b.end(last.Worker.ID, last.Task, workload.EndFailed)
		b.report()
		failedAt := b.now
		for starts := len(b.starts); len(b.starts) == starts && b.now.Sub(failedAt) < usersLimit; {
			b.advance(50 * time.Millisecond)
		}
		wait := b.now.Sub(failedAt)
		if wait < before || wait >= usersLimit {
			t.Errorf("wait after failure %d: got %v, want %v or more, and less than %v", failures, wait, before, usersLimit)
		}
		before = wait
	}
}
