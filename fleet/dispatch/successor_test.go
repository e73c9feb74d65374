package dispatch_test

import (
	"testing"
	"time"

	"verbenalanding.example/fleet/workload"
)

// Guards against a pool that starts nothing after a takeover because a worker is unresponsive, and against a second run of a task that may
// run on that worker.
func TestSuccessorWaitsOnlyForWhatUnresponsiveWorkersMayRun(t *testing.T) {
	b := newBench(t, 2)
	b.addJob("j", oneTask(16000))
	b.plan()
	lost := b.workerOf(task("j", 0, 0))
	b.unresponsive[lost] = true
	b.advance(2 * time.Second)
	unresponsive, changed := b.pool.UnresponsiveRecord(b.now)
	if !changed || len(unresponsive[lost]) != 1 {
		t.Fatalf("record of unresponsive workers: got %v, want %s with one task", unresponsive, lost)
	}
	b.pool.UnresponsiveRecorded(unresponsive)

	spec := func(id string) workload.Job {
		return workload.Job{ID: id, Queue: queue.Name, Pool: "cutting", Terms: queue, Steps: []workload.Step{oneTask(1000)}, Accepted: b.now}
	}
	b.takeOver()
	b.pool.InheritUnresponsive(unresponsive)
	b.pool.AddJob(spec("j"), nil, true, b.now)
	b.pool.AddJob(spec("k"), nil, true, b.now)
	for id := range b.present {
		b.addWorker(id)
	}
	b.report()
	b.plan()
	if got := b.workerOf(task("k", 0, 0)); got == "" || got == lost {
		t.Errorf("task that no unresponsive worker runs: got on %q, want on the worker that has reported", got)
	}
	wantCount(t, "starts", len(b.starts), 2)
	b.advance(priorLeases)
	wantCount(t, "starts after the unresponsive worker's lease has certainly ended", len(b.starts), 3)
}

// Guards against a task that waits, after a takeover, for a worker whose end is confirmed.
func TestSuccessorDoesNotWaitForAnEndedWorker(t *testing.T) {
	b := newBench(t, 2)
	b.addJob("j", oneTask(16000))
	b.plan()
	lost := b.workerOf(task("j", 0, 0))
	b.unresponsive[lost] = true
	h, ok := b.pool.Handover(b.now)
	if !ok {
		t.Fatalf("handover: got none, want one")
	}
	for _, how := range []string{"handover", "record of unresponsive workers"} {
		b.takeOver()
		if how == "handover" {
			b.pool.InheritHandover(h, b.now)
		} else {
			b.pool.InheritUnresponsive(h.Runs)
		}
		b.pool.AddJob(workload.Job{
			ID: "j", Queue: queue.Name, Pool: "cutting", Terms: queue, Steps: []workload.Step{oneTask(16000)}, Accepted: b.now,
		}, nil, true, b.now)
		for id := range b.present {
			b.addWorker(id)
		}
		b.report()
		if starts, _ := b.orders(); len(starts) != 0 {
			t.Errorf("%s: starts while the worker may run the task: got %d, want 0", how, len(starts))
		}
		b.pool.WorkerEnded(lost, "no longer running on its machine")
		if starts, _ := b.orders(); len(starts) != 1 {
			t.Errorf("%s: starts once the worker's end is confirmed: got %d, want 1", how, len(starts))
		}
	}
}

// Guards against a start on a worker while the record of unresponsive workers in the store names only other tasks for it.
func TestExcludedWorkerGetsNoStartsUntilItsRecordIsGone(t *testing.T) {
	b := newBench(t, 1)
	b.addJob("j", oneTask(1000))
	b.plan()
	b.unresponsive["w0"] = true
	b.advance(2 * time.Second)
	unresponsive, _ := b.pool.UnresponsiveRecord(b.now)
	b.pool.UnresponsiveRecorded(unresponsive)
	b.unresponsive["w0"] = false
	b.report()
	b.addJob("k", oneTask(1000))
	b.plan()
	wantCount(t, "starts while the record names the worker", len(b.starts), 1)
	unresponsive, changed := b.pool.UnresponsiveRecord(b.now)
	if !changed || len(unresponsive) != 0 {
		t.Fatalf("record of unresponsive workers: got %v, changed %v, want an empty one", unresponsive, changed)
	}
	b.pool.UnresponsiveRecorded(unresponsive)
	b.plan()
	wantCount(t, "starts after the record is gone", len(b.starts), 2)
}
