package dispatch_test

import (
	"testing"
	"time"

	"verbenalanding.example/fleet/workload"
)

// Guards against a pool that starts nothing after a handover because a worker is unresponsive: only the tasks that may run there must wait.
func TestHandoverListsWhatMayRun(t *testing.T) {
	b := newBench(t, 2)
	step := oneTask(16000)
	step.Tasks = 3
	b.addJob("j", step)
	b.plan()
	handover, ok := b.pool.Handover(b.now)
	if !ok {
		t.Fatalf("handover: got none, want one")
	}
	b.unresponsive["w0"] = true
	b.takeOver()
	b.pool.InheritHandover(handover, b.now)
	b.pool.AddJob(workload.Job{ID: "j", Queue: queue.Name, Pool: "cutting", Terms: queue, Steps: []workload.Step{step}, Accepted: b.now}, nil, true, b.now)
	for id := range b.present {
		b.addWorker(id)
	}
	b.report()
	for id := range b.present["w1"] {
		b.end("w1", id, workload.EndDone)
	}
	b.starts = nil
	b.advance(time.Second)
	wantCount(t, "starts while a worker is unresponsive", len(b.starts), 1)
	if got := len(b.present["w0"]); got != 1 {
		t.Fatalf("runs on the unresponsive worker: got %d, want 1", got)
	}
	for id := range b.present["w0"] {
		if b.starts[0].Task == id {
			t.Errorf("start: got %v, which may run on the unresponsive worker", id)
		}
	}
}

// Guards against more failed runs than the allowed attempts: the end of a failed run that a lost holder started is listed while a run of
// the next holder is present, and must count since it is acknowledged.
func TestFailedEndOfAnotherHoldersRunCounts(t *testing.T) {
	b := newBench(t, 2)
	b.addJob("j", oneTask(16000))
	b.plan()
	other := map[string]string{"w0": "w1", "w1": "w0"}[b.workerOf(task("j", 0, 0))]
	b.present[other][task("j", 0, 0)] = 2
	b.end(other, task("j", 0, 0), workload.EndFailed)
	b.report()
	b.end(b.workerOf(task("j", 0, 0)), task("j", 0, 0), workload.EndFailed)
	b.report()
	b.record()
	b.wantState("j", workload.Failed)
}

// Guards against a worker that is added again by its old registration after its machine was moved to another pool: it would count as a
// machine of the pool, and a new holder would wait for its report.
func TestEndedWorkerIsNotAddedByItsOldRegistration(t *testing.T) {
	b := newBench(t, 2)
	b.pool.WorkerEnded("w1", "moved")
	b.addWorker("w1")
	wantCount(t, "workers after the old registration", len(b.pool.WorkerIDs()), 1)
	again := workload.Worker{ID: "w1", Machine: "m-w1", Pool: "cutting", Capacity: workload.Resources{CPU: 16000, MemoryMB: 64000}, Incarnation: 2}
	b.pool.SetWorker(again, b.now)
	wantCount(t, "workers after a new incarnation", len(b.pool.WorkerIDs()), 2)
	b.pool.WorkerEnded("w1", "moved")
	b.pool.WorkerDeregistered("w1", b.now)
	b.pool.SetWorker(again, b.now)
	wantCount(t, "workers after the registration was gone", len(b.pool.WorkerIDs()), 2)
}

// Guards against a job that does not complete because one of its tasks has stalled on a worker, while other workers could run it.
func TestStalledTaskRunsElsewhere(t *testing.T) {
	b := newBench(t, 2)
	b.stalled = true
	b.addJob("j", oneTask(1000))
	b.plan()
	first := b.workerOf(task("j", 0, 0))
	b.advance(time.Second)
	wantCount(t, "stops after a second without progress", len(b.stops), 0)
	b.advance(1500 * time.Millisecond)
	if got := b.workerOf(task("j", 0, 0)); got == "" || got == first {
		t.Errorf("task that stalled on %s: got on %q, want on the other worker", first, got)
	}
}

// Guards against stopping a run that has just been started and is in no report of its worker yet.
func TestRunThatWasNotListedYetGoesOn(t *testing.T) {
	b := newBench(t, 1)
	b.addJob("j", oneTask(1000))
	b.plan()
	b.pool.Report("w0", workload.Report{Incarnation: 1, Clock: b.clock - 1}, b.now)
	b.pool.Report("w0", workload.Report{Incarnation: 1, Clock: b.clock}, b.now)
	b.plan()
	wantCount(t, "stops", len(b.stops), 0)
}

// Guards against a successor that starts a task although a run of it has succeeded: a worker lists at most 500 ends in a report, and the
// others once these are acknowledged.
func TestNoStartsBeforeAllEndsAreListed(t *testing.T) {
	const listed = 500
	b := newBench(t, 2)
	b.takeOver()
	other := oneTask(1000)
	other.Tasks = listed
	b.addRestored("other", other)
	b.addRestored("j", oneTask(1000))
	b.addWorker("w0")
	b.addWorker("w1")
	b.pool.Report("w1", workload.Report{Incarnation: 1, Clock: b.clock}, b.now)
	r := workload.Report{Incarnation: 1, Clock: b.clock, Partial: true}
	for i := range listed {
		r.Ended = append(r.Ended, workload.EndedRun{Number: int64(i + 1), Task: task("other", 0, i), Run: 1, How: workload.EndDone})
	}
	b.pool.Report("w0", r, b.now)
	starts, _ := b.orders()
	wantCount(t, "starts before all ends were listed", len(starts), 0)
	r.Ended, r.Partial = nil, false
	b.pool.Report("w0", r, b.now)
	starts, _ = b.orders()
	wantCount(t, "starts once all ends were listed", len(starts), 1)
}

// Guards against a handover, or a record of unresponsive workers, that leaves out a run whose end was not listed yet.
func TestWorkerThatListsOnlySomeEndsIsLeftOutOfRecords(t *testing.T) {
	b := newBench(t, 2)
	b.takeOver()
	b.addWorker("w0")
	b.addWorker("w1")
	b.pool.Report("w1", workload.Report{Incarnation: 1, Clock: b.clock}, b.now)
	b.pool.Report("w0", workload.Report{Incarnation: 1, Clock: b.clock, Partial: true}, b.now)
	b.now = b.now.Add(10 * time.Second)
	if h, ok := b.pool.Handover(b.now); ok {
		t.Errorf("handover: got %v, want none", h)
	}
	if unresponsive, _ := b.pool.UnresponsiveRecord(b.now); unresponsive["w0"] != nil || len(unresponsive) > 1 {
		t.Errorf("record of unresponsive workers: got %v, want one without w0", unresponsive)
	}
	b.addRestored("j", oneTask(1000))
	b.pool.Report("w1", workload.Report{Incarnation: 1, Clock: b.clock + time.Second}, b.now)
	starts, _ := b.orders()
	wantCount(t, "starts of a task whose end may come", len(starts), 0)
	b.pool.Report("w0", workload.Report{Incarnation: 1, Clock: b.clock + time.Second}, b.now)
	starts, _ = b.orders()
	wantCount(t, "starts once all ends were listed", len(starts), 1)
}
