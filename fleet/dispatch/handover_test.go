package dispatch_test

import (
	"testing"
	"time"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/workload"
)

// addRestored adds a job that was accepted before the current holder began.
func (b *bench) addRestored(id string, steps ...workload.Step) {
	b.pool.AddJob(workload.Job{ID: id, Queue: queue.Name, Pool: "cutting", Terms: queue, Steps: steps, Accepted: b.now}, nil, true, b.now)
}

// handOver has the current holder leave and starts the next one with its handover.
func (b *bench) handOver() {
	b.t.Helper()
	h, ok := b.pool.Handover(b.now)
	if !ok {
		b.t.Fatalf("handover: got none, want one")
	}
	b.takeOver()
	b.pool.InheritHandover(h, b.now)
}

// Guards against a task that runs twice after a holder took over from a lost one and soon handed over to the next: the lost holder may go
// on giving orders for some time, to workers that have reported to neither successor.
func TestHandoverDoesNotHideALostHolder(t *testing.T) {
	const (
		// lostOrdersFor is how long a lost holder may give orders; lastLease is how much longer its last leases may last.
		lostOrdersFor = 2500 * time.Millisecond
		lastLease     = 6 * time.Second
	)
	for _, c := range []struct {
		name string
		// before prepares the state that the lost holder left, after the events once the second successor began.
		before, after func(b *bench)
	}{
		{"a worker joined", func(*bench) {}, func(b *bench) { b.addWorker("w9") }},
		{"a worker restarted", func(b *bench) { b.addWorker("w9"); b.report() }, func(b *bench) {
			b.pool.SetWorker(workload.Worker{ID: "w9", Pool: "cutting", Capacity: workload.Resources{CPU: 16000}, Incarnation: 2}, b.now)
		}},
		{"a worker is recorded as unresponsive", func(b *bench) {
			b.pool.InheritUnresponsive(dispatch.TasksByWorker{"w9": {task("j", 0, 0)}})
			b.addRestored("j", oneTask(16000))
		}, func(b *bench) { b.addWorker("w9") }},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t, 1)
			b.takeOver()
			c.before(b)
			b.addWorker("w0")
			b.report()
			b.advance(300 * time.Millisecond)
			b.unresponsive["w9"] = true
			b.handOver()
			b.addRestored("j", oneTask(16000))
			b.addWorker("w0")
			c.after(b)
			b.report()
			b.advance(lostOrdersFor + lastLease - 400*time.Millisecond)
			wantCount(t, "starts while the lost holder's may be present", len(b.starts), 0)
			b.advance(time.Second)
			wantCount(t, "starts after that", len(b.starts), 1)
		})
	}
}
