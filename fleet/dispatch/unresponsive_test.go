package dispatch_test

import (
	"testing"
	"time"

	"verbenalanding.example/fleet/workload"
)

// unresponsiveAtTakeover returns a bench whose new holder gets no report from the worker that runs a task.
func unresponsiveAtTakeover(t *testing.T) *bench {
	t.Helper()
	b := newBench(t, 2)
	step := oneTask(1000)
	b.addJob("j", step)
	b.plan()
	id := task("j", 0, 0)
	spec := workload.Job{ID: "j", Queue: queue.Name, Pool: "cutting", Terms: queue, Steps: []workload.Step{step}, Accepted: b.now}
	b.unresponsive[b.workerOf(id)] = true
	b.takeOver()
	b.pool.AwaitConfirmation = true
	b.pool.AddJob(spec, nil, true, b.now)
	for id := range b.present {
		b.addWorker(id)
	}
	b.starts = nil
	return b
}

// Guards against a lost holder that starts the tasks of an unresponsive worker elsewhere although that worker has reported to the
// successor, which extended its lease.
func TestUnresponsiveWorkerIsGivenUpOnlyOnceTheDutyIsConfirmedAfterwards(t *testing.T) {
	b := unresponsiveAtTakeover(t)
	b.advance(8 * time.Second)
	b.pool.DutyConfirmed(b.now)
	// The duty is confirmed until 8 s only; the earlier leases end after 8.8 s.
	b.advance(2 * time.Second)
	wantCount(t, "starts without a confirmation after the end of the leases", len(b.starts), 0)
	b.pool.DutyConfirmed(b.now)
	b.plan()
	wantCount(t, "starts after it", len(b.starts), 1)
}

// Guards against restored jobs that wait until the registration is gone of a worker that listed only some of its ends and was then
// disconnected.
func TestRestoredJobStartsAfterAWorkerWithAPartialReportIsDisconnected(t *testing.T) {
	b := newBench(t, 2)
	b.takeOver()
	b.pool.AddJob(workload.Job{ID: "j", Queue: queue.Name, Pool: "cutting", Terms: queue, Steps: []workload.Step{oneTask(1000)}, Accepted: b.now}, nil, true, b.now)
	b.addWorker("w0")
	b.addWorker("w1")
	b.present["w1"][task("unknown", 0, 0)] = 5
	b.end("w1", task("unknown", 0, 0), workload.EndDone)
	b.report()
	b.unresponsive["w1"] = true
	b.starts = nil
	b.advance(30 * time.Second)
	wantCount(t, "starts 30 s after the worker was disconnected", len(b.starts), 1)
	if _, ok := b.pool.Handover(b.now); !ok {
		t.Errorf("handover 30 s after the worker was disconnected: got none, want one")
	}
}

// Guards against restored jobs that wait again for a worker whose end was confirmed, because its registration lapses afterwards.
func TestRestoredJobDoesNotWaitForAnEndedWorkerWhoseRegistrationLapses(t *testing.T) {
	for _, lapses := range []bool{false, true} {
		b := newBench(t, 2)
		b.takeOver()
		b.pool.AwaitWorkerList = true
		b.pool.AddJob(workload.Job{ID: "j", Queue: queue.Name, Pool: "cutting", Terms: queue, Steps: []workload.Step{oneTask(1000)}, Accepted: b.now}, nil, true, b.now)
		b.addWorker("w0")
		b.addWorker("w1")
		b.unresponsive["w1"] = true
		b.pool.SetLiveWorkers([]string{"w0", "w1"})
		b.advance(time.Second)
		wantCount(t, "starts while a worker has not reported", len(b.starts), 0)
		b.pool.WorkerEnded("w1", "another worker has its address")
		if lapses {
			b.pool.WorkerDeregistered("w1", b.now)
		}
		b.advance(time.Second)
		wantCount(t, "starts once its end is confirmed", len(b.starts), 1)
	}
}
