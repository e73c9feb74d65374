package dispatch_test

import (
	"testing"
	"time"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/workload"
)

// Guards against a job that is listed as waiting while nobody can say why, or when it is going to run.
func TestExplain(t *testing.T) {
	labelled := oneTask(1000)
	labelled.RequiredLabel = "gpu"
	spread := oneTask(1000)
	spread.Tasks, spread.MaxPerWorker = 2, 1
	second := oneTask(1000)
	second.After = []int{0}
	for _, c := range []struct {
		name      string
		prepare   func(b *bench)
		want      dispatch.WaitReason
		estimated bool
	}{
		{"no worker has enough free capacity", func(b *bench) {
			b.addJob("full", oneTask(16000))
			b.plan()
			b.addJob("j", oneTask(16000))
		}, dispatch.WaitNoCapacity, true},
		{"no worker is large enough", func(b *bench) { b.addJob("j", oneTask(32000)) }, dispatch.WaitTooLarge, false},
		{"no worker has the label", func(b *bench) { b.addJob("j", labelled) }, dispatch.WaitLabel, false},
		{"each worker has as many tasks as may share one", func(b *bench) {
			b.addJob("j", spread)
			b.plan()
		}, dispatch.WaitSpread, false},
		{"an earlier step runs", func(b *bench) {
			b.addJob("j", oneTask(1000), second)
			b.plan()
		}, dispatch.WaitEarlierSteps, true},
		{"all tasks run", func(b *bench) {
			b.addJob("j", oneTask(1000))
			b.plan()
		}, dispatch.WaitNone, false},
		{"the next plan starts it", func(b *bench) { b.addJob("j", oneTask(1000)) }, dispatch.WaitNextPlan, true},
		{"no worker answers", func(b *bench) {
			b.addJob("j", oneTask(1000))
			b.now = b.now.Add(10 * time.Second)
		}, dispatch.WaitNoWorker, false},
		{"a previous holder may have started it", func(b *bench) {
			b.takeOver()
			b.addWorker("w0")
			b.addWorker("w1")
			b.unresponsive["w1"] = true
			b.report()
			b.addJob("j", oneTask(1000))
		}, dispatch.WaitUnreported, true},
		{"it was cancelled", func(b *bench) {
			b.addJob("j", oneTask(1000))
			b.pool.Cancel("j", b.now)
		}, dispatch.WaitEnded, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t, 1)
			c.prepare(b)
			e, known := b.pool.Explain("j", b.now)
			if !known || e.Reason != c.want {
				t.Errorf("reason: got %q, known %v, want %q", e.Reason, known, c.want)
			}
			if got := !e.EstimatedStart.IsZero(); got != c.estimated {
				t.Errorf("start is estimated: got %v, want %v (%s)", got, c.estimated, e.Basis)
			}
		})
	}
}

// Guards against an estimate that leaves out the work that is placed first.
func TestExplainCountsTheWorkBefore(t *testing.T) {
	b := newBench(t, 1)
	b.addJob("running", oneTask(16000))
	b.plan()
	for _, id := range []string{"a", "b", "j"} {
		b.addJob(id, oneTask(16000))
		b.now = b.now.Add(time.Millisecond)
	}
	e, _ := b.pool.Explain("j", b.now)
	wantCount(t, "jobs before it", e.JobsBefore, 2)
	if got, want := e.EstimatedStart.Sub(b.now), 2*time.Second; got != want {
		t.Errorf("time to the estimated start: got %v, want %v", got, want)
	}
	q := b.pool.ExplainQueue(queue, b.now)
	wantCount(t, "jobs of the queue", q.Jobs, 4)
	wantCount(t, "jobs without enough free capacity", q.Reasons[dispatch.WaitNoCapacity], 3)
	if q.Longest == nil || q.Longest.Job != "a" {
		t.Errorf("job that has waited for the longest time: got %v, want a", q.Longest)
	}
}

// Guards against an unknown job that is explained as one that waits.
func TestExplainUnknownJob(t *testing.T) {
	if e, known := newBench(t, 1).pool.Explain("j", time.Time{}); known || e.State != workload.State("") {
		t.Errorf("explanation: got %v, known %v, want none", e, known)
	}
}
