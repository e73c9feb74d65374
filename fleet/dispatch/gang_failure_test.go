package dispatch_test

import (
	"slices"
	"testing"
	"time"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/workload"
)

// failGang ends the runs of a gang: the runs of some of its tasks fail, and the others are broken with them.
func failGang(b *bench, starts []dispatch.Start, failed ...int) {
	b.t.Helper()
	for _, s := range starts {
		how := workload.EndBroken
		if slices.Contains(failed, s.Task.Index) {
			how = workload.EndFailed
		}
		b.end(s.Worker.ID, s.Task, how)
	}
	b.report()
}

// Guards against a gang that runs more often than its queue allows, since each of its tasks has failed less often, and against one whose run counts
// twice since two of its tasks failed in it.
func TestFailuresOfAGangCountTogether(t *testing.T) {
	for _, c := range []struct {
		name     string
		attempts [][]int
	}{
		{"different tasks fail", [][]int{{0}, {1}}},
		{"two tasks fail in one run", [][]int{{0, 1}, {1}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t, 4)
			b.addJob("j", workload.Step{Tasks: 2, Gang: true, Need: workload.Resources{CPU: 9000}, Estimate: time.Second})
			for attempt, failed := range c.attempts {
				b.starts = nil
				b.advance(3 * time.Second)
				if got := len(b.starts); got != 2 {
					t.Fatalf("starts of attempt %d: got %d, want 2", attempt+1, got)
				}
				b.wantState("j", workload.Running)
				failGang(b, b.starts, failed...)
			}
			b.record()
			b.wantState("j", workload.Failed)
		})
	}
}

// Guards against a gang that fails for good beside free workers, because all its attempts go to a worker on which everything fails, whichever of its
// tasks runs there.
func TestGangAvoidsWorkersOnWhichItFailed(t *testing.T) {
	b := newBench(t, 4)
	b.addJob("j", workload.Step{Tasks: 2, Gang: true, Need: workload.Resources{CPU: 9000}, Estimate: time.Second})
	b.plan()
	wantCount(t, "starts of the first attempt", len(b.starts), 2)
	bad, first := b.starts[0].Worker.ID, b.starts
	b.starts = nil
	failGang(b, first, first[0].Task.Index)
	b.plan()
	wantCount(t, "starts of the second attempt", len(b.starts), 2)
	for _, s := range b.starts {
		if s.Worker.ID == bad {
			t.Errorf("worker of task %d: got %s, on which the gang failed, want another one", s.Task.Index, bad)
		}
	}
}

// Guards against a gang that is never started again: the workers on which it has failed are needed, and the others are occupied by tasks that last, or are
// too few. It waits for them as a single task does.
func TestGangReturnsToWorkersOnWhichItFailed(t *testing.T) {
	for _, c := range []struct {
		name     string
		workers  int
		occupied int
		wait     time.Duration
	}{
		{"there are no other workers", 2, 0, 0},
		{"the other worker is occupied", 3, 1, time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t, c.workers)
			if c.occupied > 0 {
				b.addJob("lasting", workload.Step{Tasks: c.occupied, Need: workload.Resources{CPU: 10000}, Estimate: time.Hour})
				b.plan()
				b.starts = nil
			}
			b.addJob("j", workload.Step{Tasks: 2, Gang: true, Need: workload.Resources{CPU: 9000}, Estimate: time.Second})
			b.plan()
			wantCount(t, "starts of the first attempt", len(b.starts), 2)
			first := b.starts
			b.starts = nil
			failGang(b, first, 0)
			failedAt := b.now
			for len(b.starts) == 0 && b.now.Sub(failedAt) < 5*time.Second {
				b.advance(50 * time.Millisecond)
			}
			wantCount(t, "starts of the second attempt", len(b.starts), 2)
			if got := b.now.Sub(failedAt); got < c.wait || got > c.wait+200*time.Millisecond {
				t.Errorf("wait: got %v, want %v", got, c.wait)
			}
		})
	}
}
