package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/workload"
)

// stateLimit is how many tasks of jobs of one priority have a state.
const stateLimit = 65_536

// Guards against a holder that exceeds its memory, and each successor in turn, because it keeps the state of all tasks of all jobs that are due at
// once.
func TestManyJobsThatAreDueKeepTheStateOfSome(t *testing.T) {
	const tasks, jobs = 4096, 100
	b := newBench(t, 2)
	for i := range jobs {
		b.addJob(fmt.Sprintf("j%02d", i), workload.Step{Tasks: tasks, Need: workload.Resources{CPU: 16000}, Estimate: time.Second})
	}
	b.plan()
	if got := b.pool.OpenTasks(); got > stateLimit {
		t.Errorf("tasks with a state: got %d, want at most %d", got, stateLimit)
	}
	wantCount(t, "jobs that wait beside the one that has started", b.pool.Pending(queue), jobs-1)
	e, known := b.pool.Explain(fmt.Sprintf("j%02d", jobs-1), b.now)
	if !known || e.Reason != dispatch.WaitNoCapacity || e.JobsBefore != stateLimit/tasks {
		t.Errorf("explanation: got %s behind %d jobs, want %s behind %d", e.Reason, e.JobsBefore, dispatch.WaitNoCapacity, stateLimit/tasks)
	}
	t.Run("the others follow as these end", func(t *testing.T) {
		for i := range jobs - 1 {
			b.pool.Cancel(fmt.Sprintf("j%02d", i), b.now)
			b.record()
		}
		b.advance(time.Second)
		if got := b.pool.OpenTasks(); got < tasks {
			t.Errorf("tasks with a state: got %d, want the %d of the last job", got, tasks)
		}
	})
}

// Guards against jobs of a high priority, and long-running ones, that wait behind the backlog of others.
func TestBacklogHoldsUpNoJobThatGoesBeforeIt(t *testing.T) {
	low := queue
	low.Name, low.Priority = "low", 2
	for name, step := range map[string]workload.Step{
		"a job of a higher priority": oneTask(100),
		"a long-running job":         {Tasks: 1, Need: workload.Resources{CPU: 100}, LongRunning: true},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, 2)
			b.pool.SetQueues([]workload.Queue{queue, low})
			for i := range stateLimit/4096 + 1 {
				b.pool.AddJob(workload.Job{
					ID: fmt.Sprintf("low%02d", i), Queue: low.Name, Pool: "cutting", Terms: low, Accepted: b.now,
					Steps: []workload.Step{{Tasks: 4096, Need: workload.Resources{CPU: 16000}, Estimate: time.Hour}},
				}, nil, false, b.now)
			}
			terms := queue
			if step.LongRunning {
				terms = low
			}
			b.pool.AddJob(workload.Job{ID: "first", Queue: terms.Name, Pool: "cutting", Terms: terms, Accepted: b.now, Steps: []workload.Step{step}}, nil, false, b.now)
			b.plan()
			for _, s := range b.starts {
				if s.Task.Job == "first" {
					return
				}
			}
			t.Errorf("starts: got %d, none of them of the job that goes first", len(b.starts))
		})
	}
}

// Guards against a task that runs twice after a takeover, because its job has no state yet when the worker lists its run.
func TestRunOfAJobInTheBacklogIsAdopted(t *testing.T) {
	b := newBench(t, 1)
	for i := range stateLimit/4096 + 1 {
		b.addJob(fmt.Sprintf("j%02d", i), workload.Step{Tasks: 4096, Need: workload.Resources{CPU: 16000}, Estimate: time.Second})
	}
	last := workload.TaskID{Job: fmt.Sprintf("j%02d", stateLimit/4096), Index: 7}
	b.present["w0"][last] = 5
	b.report()
	b.plan()
	wantCount(t, "stops", len(b.stops), 0)
	wantCount(t, "starts beside the run", len(b.starts), 0)
	b.end("w0", last, workload.EndDone)
	b.report()
	r := b.record()[last.Job]
	if len(r.Steps) != 1 || len(r.Steps[0].Done) != 1 || r.Steps[0].Done[0] != last.Index {
		t.Errorf("record: got %+v, want task %d done", r.Steps, last.Index)
	}
}

// Guards against jobs that never start beside free workers, because jobs that no worker can run hold all the state that the pool keeps.
func TestJobsThatCannotStartLeaveTheBacklogToOthers(t *testing.T) {
	b := newBench(t, 2)
	for i := range 2*stateLimit/4096 + 1 {
		b.addJob(fmt.Sprintf("j%02d", i), workload.Step{Tasks: 4096, Need: workload.Resources{CPU: 100}, RequiredLabel: "none has it", Estimate: time.Second})
	}
	b.addJob("k", oneTask(100))
	b.advance(5 * time.Second)
	wantCount(t, "starts", len(b.starts), 1)
	if got := b.pool.OpenTasks(); got > 2*stateLimit {
		t.Errorf("tasks with a state: got %d, want at most %d", got, 2*stateLimit)
	}
	for i := range 2*stateLimit/4096 + 1 {
		b.wantState(fmt.Sprintf("j%02d", i), workload.Queued)
	}
}

// Guards against a holder that keeps the state of all tasks of jobs which were cancelled while some of them ran, until their ids are forgotten.
func TestStateOfAnEndedJobIsDroppedWithItsLastRun(t *testing.T) {
	b := newBench(t, 1)
	b.addJob("j", workload.Step{Tasks: 4096, Need: workload.Resources{CPU: 8000}, Estimate: time.Hour})
	b.plan()
	wantCount(t, "starts", len(b.starts), 2)
	b.pool.Cancel("j", b.now)
	b.record()
	wantCount(t, "tasks with a state while runs are left", b.pool.OpenTasks(), 4096)
	b.advance(time.Second)
	wantCount(t, "runs that are left", len(b.present["w0"]), 0)
	wantCount(t, "tasks with a state after the last run", b.pool.OpenTasks(), 0)
}
