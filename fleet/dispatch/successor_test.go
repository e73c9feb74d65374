package dispatch_test

import (
	"testing"
	"time"

	"verbenalanding.example/fleet/workload"
)

// Guards against a pool that stands still after a take-over while a worker is silent, and against a second run of what may be
// on that worker.
func TestSuccessorWaitsOnlyForWhatSilentWorkersMayRun(t *testing.T) {
	b := newBench(t, 2)
	b.addJob("j", oneTask(16000))
	b.plan()
	lost := b.where(task("j", 0, 0))
	b.silent[lost] = true
	b.pass(2 * time.Second)
	seals, changed := b.pool.UnresponsiveRecord(b.now)
	if !changed || len(seals[lost]) != 1 {
		t.Fatalf("record of silent workers: got %v, want %s with one task", seals, lost)
	}
	b.pool.UnresponsiveRecorded(seals)

	spec := func(id string) workload.Job {
		return workload.Job{ID: id, Queue: queue.Name, Pool: "cutting", Terms: queue, Steps: []workload.Step{oneTask(1000)}, Accepted: b.now}
	}
	b.takeOver()
	b.pool.InheritUnresponsive(seals)
	b.pool.AddJob(spec("j"), nil, true, b.now)
	b.pool.AddJob(spec("k"), nil, true, b.now)
	for id := range b.present {
		b.addWorker(id)
	}
	b.report()
	b.plan()
	if got := b.where(task("k", 0, 0)); got == "" || got == lost {
		t.Errorf("task that no silent worker runs: got on %q, want on the worker that was heard", got)
	}
	wantCount(t, "starts", len(b.starts), 2)
	b.pass(8 * time.Second)
	wantCount(t, "starts after the silent worker's lease has surely ended", len(b.starts), 3)
}

// Guards against a task that waits, after a take-over, for a worker whose end is proven.
func TestSuccessorDoesNotWaitForAnEndedWorker(t *testing.T) {
	b := newBench(t, 2)
	b.addJob("j", oneTask(16000))
	b.plan()
	lost := b.where(task("j", 0, 0))
	b.silent[lost] = true
	h, ok := b.pool.Handover(b.now)
	if !ok {
		t.Fatalf("handover: got none, want one")
	}
	for _, how := range []string{"handover", "record of silent workers"} {
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
		b.pool.Terminated(lost, "its machine does not run it any more")
		if starts, _ := b.orders(); len(starts) != 1 {
			t.Errorf("%s: starts once the worker's end is proven: got %d, want 1", how, len(starts))
		}
	}
}

// Guards against a start on a worker of which a record in the store says that it runs other things only.
func TestSealedWorkerGetsNoStartsUntilItsRecordIsGone(t *testing.T) {
	b := newBench(t, 1)
	b.addJob("j", oneTask(1000))
	b.plan()
	b.silent["w0"] = true
	b.pass(2 * time.Second)
	seals, _ := b.pool.UnresponsiveRecord(b.now)
	b.pool.UnresponsiveRecorded(seals)
	b.silent["w0"] = false
	b.report()
	b.addJob("k", oneTask(1000))
	b.plan()
	wantCount(t, "starts while the record names the worker", len(b.starts), 1)
	seals, changed := b.pool.UnresponsiveRecord(b.now)
	if !changed || len(seals) != 0 {
		t.Fatalf("record of silent workers: got %v, changed %v, want an empty one", seals, changed)
	}
	b.pool.UnresponsiveRecorded(seals)
	b.plan()
	wantCount(t, "starts after the record is gone", len(b.starts), 2)
}
