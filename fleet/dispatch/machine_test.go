package dispatch_test

import (
	"testing"
	"time"

	"verbenalanding.example/fleet/workload"
)

// Guards against an upkeep that ends long-running tasks unnoticed: after a takeover the list of machines may show a live worker whose
// registration has lapsed, or an earlier incarnation of a machine.
func TestLoadOfAMachineWhoseWorkerIsNotKnown(t *testing.T) {
	b := newBench(t, 2)
	b.takeOver()
	b.addWorker("w0")
	b.report()
	if got := b.pool.MachineLoad("m-w1", "w1", b.now); got.Allowed || got.Idle {
		t.Errorf("machine of a worker that has not reported: got allowed %v and idle %v, want neither", got.Allowed, got.Idle)
	}
	if got := b.pool.MachineLoad("m-spare", "", b.now); !got.Allowed || !got.Idle {
		t.Errorf("machine without a worker: got allowed %v and idle %v, want both", got.Allowed, got.Idle)
	}
	b.addWorker("w1")
	b.pool.WorkerEnded("w1", "ended")
	if got := b.pool.MachineLoad("m-w1", "w1", b.now); !got.Allowed {
		t.Errorf("machine whose worker has ended: got forbidden, want allowed")
	}
	serving := oneTask(1000)
	serving.LongRunning, serving.MaxUnavailable, serving.Tasks = true, 1, 2
	b.percent = 100
	b.addJob("j", serving)
	b.plan()
	b.report()
	b.pool.SetWorker(workload.Worker{ID: "w2", Machine: "m-w0", Pool: "cutting", Capacity: workload.Resources{CPU: 16000}, Incarnation: 2}, b.now)
	if got := b.pool.MachineLoad("m-w0", "w2", b.now); got.Allowed {
		t.Errorf("machine with a new incarnation that has not reported: got allowed, want forbidden")
	}
	b.now = b.now.Add(time.Minute)
	if got := b.pool.MachineLoad("m-gone", "w9", b.now); !got.Allowed {
		t.Errorf("machine of a worker that could run nothing any more: got forbidden, want allowed")
	}
}

// Guards against too many unavailable tasks of a long-running step after a takeover: the previous holder may have ordered the stop of a
// run, which its worker lists as present until it has ended.
func TestRunsThatThePreviousHolderMayHaveStoppedAreUnavailable(t *testing.T) {
	b := newBench(t, 2)
	serving := oneTask(1000)
	serving.Tasks, serving.LongRunning, serving.MaxUnavailable, serving.MaxPerWorker = 2, true, 1, 1
	b.percent = 100
	b.addJob("j", serving)
	b.advance(time.Second)
	b.takeOver()
	b.addJob("j", serving)
	b.addWorker("w0")
	b.addWorker("w1")
	b.report()
	b.step()
	b.report()
	if got := b.pool.WorkerLoad("w0", b.now); got.Allowed {
		t.Errorf("right after the takeover: got allowed, want forbidden")
	}
	b.advance(2 * time.Second)
	if got := b.pool.WorkerLoad("w0", b.now); !got.Allowed {
		t.Errorf("once earlier stops have ended: got forbidden (%s), want allowed", got.Reason)
	}
}
