package dispatch_test

import (
	"testing"
	"time"

	"verbenalanding.example/fleet/workload"
)

// Guards against a task that two holders start: its job is accepted while a lost holder still gives orders, and that holder may have
// started the task on a worker that has not reported to the current holder.
func TestJobOfAnOverlapWaitsForUnresponsiveWorkers(t *testing.T) {
	b := newBench(t, 2)
	b.takeOver()
	b.addWorker("w0")
	b.addWorker("w1")
	b.unresponsive["w1"] = true
	b.report()
	b.addJob("j", oneTask(16000))
	starts, _ := b.orders()
	wantCount(t, "starts while a worker has not reported", len(starts), 0)
	b.unresponsive["w1"] = false
	b.report()
	starts, _ = b.orders()
	wantCount(t, "starts once all workers have reported", len(starts), 1)
}

// Guards against jobs that wait for a worker without a reason: no other holder gives orders any more, or a handover names the runs.
func TestJobAfterAnOverlapStartsImmediately(t *testing.T) {
	for _, c := range []struct {
		name  string
		begin func(b *bench)
	}{
		{"long after the takeover", func(b *bench) { b.takeOver(); b.now = b.now.Add(priorLeases) }},
		{"after a handover", func(b *bench) { b.now = b.now.Add(priorLeases); b.report(); b.handOver() }},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t, 2)
			c.begin(b)
			b.unresponsive["w1"] = true
			b.addWorker("w0")
			b.addWorker("w1")
			b.report()
			b.addJob("j", oneTask(16000))
			starts, _ := b.orders()
			wantCount(t, "starts while a worker has not reported", len(starts), 1)
		})
	}
}

// Guards against a task that a lost holder and its successor both start: a worker that joined after the loss has no fencing token yet and
// accepts orders of the lost holder, and the successor does not wait for a worker that it does not know of.
func TestWorkerThatJoinsGetsWorkAfterAConfirmation(t *testing.T) {
	b := newBench(t, 1)
	for _, c := range []struct {
		id   string
		want int
	}{{"w1", 1}, {"w2", 0}} {
		b.pool.SetWorker(workload.Worker{ID: c.id, Pool: "cutting", Capacity: workload.Resources{CPU: 32000, MemoryMB: 64000}, Incarnation: 1}, b.now)
		b.pool.RegistrationsListed()
		b.present[c.id] = map[workload.TaskID]int{}
		b.report()
		b.addJob("j"+c.id, oneTask(32000))
		starts, _ := b.orders()
		wantCount(t, "starts on "+c.id, len(starts), c.want)
	}
	unresponsive, changed := b.pool.UnresponsiveRecord(b.now)
	if !changed {
		t.Fatalf("record: got no change, want one that confirms the duty")
	}
	b.pool.UnresponsiveRecorded(unresponsive)
	starts, _ := b.orders()
	wantCount(t, "starts after the confirmation", len(starts), 1)
}

// Guards against the same for a worker whose end was confirmed and that restarts under its id while its old registration exists.
func TestWorkerThatComesBackGetsWorkAfterAConfirmation(t *testing.T) {
	b := newBench(t, 1)
	b.pool.WorkerEnded("w0", "no longer running on its machine")
	b.pool.SetWorker(workload.Worker{ID: "w0", Pool: "cutting", Capacity: workload.Resources{CPU: 16000, MemoryMB: 64000}, Incarnation: 2}, b.now)
	b.present["w0"] = map[workload.TaskID]int{}
	b.pool.Report("w0", workload.Report{Incarnation: 2, Clock: time.Second}, b.now)
	b.addJob("j", oneTask(16000))
	starts, _ := b.orders()
	wantCount(t, "starts before a confirmation", len(starts), 0)
	unresponsive, _ := b.pool.UnresponsiveRecord(b.now)
	b.pool.UnresponsiveRecorded(unresponsive)
	starts, _ = b.orders()
	wantCount(t, "starts after the confirmation", len(starts), 1)
}

// Guards against a task that runs twice, or again after it was done: a worker reports its run before the current holder learns of its
// job, which the lost holder learned of first.
func TestRunOfAJobThatBecomesKnownLater(t *testing.T) {
	takeOver := func(t *testing.T) *bench {
		b := newBench(t, 2)
		b.takeOver()
		b.addWorker("w0")
		b.addWorker("w1")
		return b
	}
	t.Run("is present", func(t *testing.T) {
		b := takeOver(t)
		b.present["w1"][task("j", 0, 0)] = 5
		b.report()
		_, stops := b.orders()
		wantCount(t, "stops of the run", len(stops), 0)
		b.addJob("j", oneTask(1000))
		starts, _ := b.orders()
		wantCount(t, "starts while the run is present", len(starts), 0)
		b.report()
		b.end("w1", task("j", 0, 0), workload.EndDone)
		b.report()
		b.record()
		b.wantState("j", workload.Completed)
	})
	t.Run("has ended", func(t *testing.T) {
		b := takeOver(t)
		b.present["w1"][task("j", 0, 0)] = 5
		b.end("w1", task("j", 0, 0), workload.EndDone)
		b.report()
		b.record()
		b.report()
		b.addJob("j", oneTask(1000))
		starts, _ := b.orders()
		wantCount(t, "starts after the end", len(starts), 0)
		b.report()
		b.record()
		b.wantState("j", workload.Completed)
	})
	t.Run("was present and has ended", func(t *testing.T) {
		b := takeOver(t)
		b.present["w1"][task("j", 0, 0)] = 5
		b.report()
		b.end("w1", task("j", 0, 0), workload.EndDone)
		b.report()
		b.addJob("j", oneTask(1000))
		starts, _ := b.orders()
		wantCount(t, "starts after the end", len(starts), 0)
		b.report()
		b.record()
		b.wantState("j", workload.Completed)
	})
	t.Run("has an end that is not listed yet", func(t *testing.T) {
		b := takeOver(t)
		b.unresponsive["w1"] = true
		// The holder learns of the job when no run of a lost holder may be present any more.
		for range 100 {
			b.pool.Report("w1", workload.Report{Incarnation: 1, Clock: b.clock, Partial: true}, b.now)
			b.advance(100 * time.Millisecond)
		}
		b.addJob("j", oneTask(1000))
		starts, _ := b.orders()
		wantCount(t, "starts while ends are not listed", len(starts), 0)
		b.pool.Report("w1", workload.Report{Incarnation: 1, Clock: b.clock}, b.now)
		starts, _ = b.orders()
		wantCount(t, "starts once all ends were listed", len(starts), 1)
	})
	t.Run("has ended before a run that was done", func(t *testing.T) {
		b := takeOver(t)
		b.addJob("k", oneTask(1000))
		b.present["w1"][task("j", 0, 0)], b.present["w1"][task("k", 0, 0)] = 5, 5
		b.end("w1", task("j", 0, 0), workload.EndDone)
		b.end("w1", task("k", 0, 0), workload.EndDone)
		b.report()
		b.advance(priorLeases)
		if h, ok := b.pool.Handover(b.now); ok {
			t.Errorf("handover while ends are not processed: got %v, want none", h)
		}
		b.unresponsive["w1"] = true
		b.advance(2 * time.Second)
		if unresponsive, _ := b.pool.UnresponsiveRecord(b.now); len(unresponsive) != 0 {
			t.Errorf("record of unresponsive workers: got %v, want none, since its ends were not processed", unresponsive)
		}
	})
	t.Run("job does not exist", func(t *testing.T) {
		b := takeOver(t)
		b.present["w1"][task("j", 0, 0)] = 5
		b.advance(10 * time.Second)
		wantCount(t, "stops of the run before the job was read from the store", len(b.stops), 0)
		wantUnknown(t, b, "j")
		b.pool.NoSuchJob("j", b.now)
		wantUnknown(t, b)
		b.advance(50 * time.Millisecond)
		b.advance(50 * time.Millisecond)
		wantCount(t, "stops of the run once it is known that its job does not exist", len(b.stops), 1)
	})
}

// Guards against a lost holder that gives up a run whose lease its successor has extended: the lost holder has only the lease end that it
// granted itself.
func TestLeaseExpiresOnlyOnceTheDutyIsConfirmedAfterIt(t *testing.T) {
	b := newBench(t, 2)
	b.pool.AwaitConfirmation = true
	b.addJob("j", oneTask(16000))
	b.plan()
	b.unresponsive[b.workerOf(task("j", 0, 0))] = true
	b.advance(3 * time.Second)
	b.pool.DutyConfirmed(b.now)
	b.advance(7 * time.Second)
	wantCount(t, "starts without a confirmation after the end of the lease", len(b.starts), 1)
	b.pool.DutyConfirmed(b.now)
	b.plan()
	wantCount(t, "starts after it", len(b.starts), 2)
}

// Guards against jobs that wait for silent workers without a reason: a job that was stored under this holder's fencing token is started by no
// holder before it, so that only its own starts count.
func TestJobStoredUnderTheHolderStartsBesideSilentWorkers(t *testing.T) {
	for _, c := range []struct {
		name  string
		fence uint64
		want  int
	}{
		{"stored under this holder", 7, 1},
		{"stored under the holder before", 3, 0},
		{"stored by a node that knew no holder", 0, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t, 2)
			b.takeOver()
			b.pool.Epoch = 7
			b.addWorker("w0")
			b.addWorker("w1")
			b.unresponsive["w1"] = true
			b.report()
			b.addStoredJob("j", c.fence, oneTask(16000))
			starts, _ := b.orders()
			wantCount(t, "starts while a worker has not reported", len(starts), c.want)
		})
	}
}

// Guards against a task that a lost holder and its successor both start: the successor starts jobs that were stored under its fencing token
// without waiting for the workers that only the lost holder reaches.
func TestLostHolderStartsNoJobOfItsSuccessor(t *testing.T) {
	b := newBench(t, 1)
	b.pool.Epoch = 7
	b.addStoredJob("j", 8, oneTask(1000))
	starts, _ := b.orders()
	wantCount(t, "starts of a job stored under a newer holder", len(starts), 0)
	b.addStoredJob("k", 7, oneTask(1000))
	starts, _ = b.orders()
	wantCount(t, "starts of a job stored under this holder", len(starts), 1)
}
