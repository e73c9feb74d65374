package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"verbenalanding.example/fleet/workload"
)

// Guards against starts beyond the capacity of a worker while it has a run that this holder has not adopted: of a cancelled job or of a job
// that does not exist, which is stopped, or of a job that is not known yet.
func TestRunsThatAreNotAdoptedUseCapacity(t *testing.T) {
	for _, c := range []struct {
		name  string
		learn func(b *bench)
		stops int
	}{
		{"cancelled job", func(b *bench) {
			b.addJob("j", oneTask(16000))
			b.pool.Cancel("j", b.now)
		}, 1},
		{"job that does not exist", func(b *bench) { b.pool.NoSuchJob("j", b.now) }, 1},
		{"unknown job", func(*bench) {}, 0},
	} {
		for _, reported := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, worker reported before %v", c.name, reported), func(t *testing.T) {
				b := newBench(t, 1)
				b.takeOver()
				c.learn(b)
				b.addWorker("w0")
				if reported {
					b.advance(10 * time.Second)
				}
				b.present["w0"][task("j", 0, 0)] = 1
				b.addJob("k", oneTask(16000))
				b.report()
				starts, stops := b.orders()
				wantCount(t, "stops", len(stops), c.stops)
				wantCount(t, "starts while a run uses all capacity", len(starts), 0)
				delete(b.present["w0"], task("j", 0, 0))
				b.step()
				b.report()
				starts, _ = b.orders()
				wantCount(t, "starts once it has ended", len(starts), 1)
			})
		}
	}
}

// Guards against a handover that hides ends: a worker that lists them in parts may list a successful one last.
func TestNoHandoverWhileAWorkerListsOnlySomeEnds(t *testing.T) {
	b := newBench(t, 1)
	b.takeOver()
	b.addWorker("w0")
	// afterwards is longer than runs of a lost holder may be present.
	const afterwards = 12 * time.Second
	for part := range 2 {
		b.now, b.clock = b.now.Add(time.Duration(part)*afterwards), b.clock+time.Duration(part)*afterwards
		b.pool.Report("w0", workload.Report{Incarnation: 1, Clock: b.clock, Partial: true, Ended: []workload.EndedRun{
			{Number: 1, Task: task("k", 0, 0), Run: 1, How: workload.EndStopped},
		}}, b.now)
	}
	if h, ok := b.pool.Handover(b.now); ok {
		t.Errorf("handover: got %v, want none", h)
	}
}
