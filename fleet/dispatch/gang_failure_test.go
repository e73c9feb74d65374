package dispatch_test

import (
	"testing"
	"time"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/workload"
)

// failGang ends the runs of a gang: the run of one of its tasks fails, and the others are broken with it.
func failGang(b *bench, starts []dispatch.Start, failed int) {
	b.t.Helper()
	for _, s := range starts {
		how := workload.EndBroken
		if s.Task.Index == failed {
			how = workload.EndFailed
		}
		b.end(s.Worker.ID, s.Task, how)
	}
	b.report()
}

// Guards against a gang that is ended before one of its tasks has failed as often as its queue allows, as failures of different tasks of a step are
// not added up either, and against one that goes on after that.
func TestFailuresOfAGangCountForTheTaskThatFailed(t *testing.T) {
	b := newBench(t, 4)
	b.addJob("j", workload.Step{Tasks: 2, Gang: true, Need: workload.Resources{CPU: 9000}, Estimate: time.Second})
	for attempt, failed := range []int{0, 1, 0} {
		b.starts = nil
		b.advance(3 * time.Second)
		if got := len(b.starts); got != 2 {
			t.Fatalf("starts of attempt %d: got %d, want 2", attempt+1, got)
		}
		failGang(b, b.starts, failed)
	}
	b.record()
	b.wantState("j", workload.Failed)
}
