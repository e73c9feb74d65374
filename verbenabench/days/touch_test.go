package days

import (
	"testing"
	"testing/synctest"
	"time"

	"verbenalanding.example/platform/standin"
)

// Guards the bound on cancelled jobs: a node that is cut off cannot know of the cancelling, one in touch has to.
func TestStartAfterTheCancelling(t *testing.T) {
	for _, c := range []struct {
		name string
		kind string
		// ago is how long before the start the fault ended, and cancelled how long before it the cancelling was acknowledged.
		ago, cancelled time.Duration
		want           int
	}{
		{"in touch, within the bound", storeCut, time.Minute, cancelBound, 0},
		{"in touch, after the bound", storeCut, time.Minute, cancelBound + time.Millisecond, 1},
		{"cut from the store a moment before", storeCut, stableWindow, time.Minute, 0},
		{"long after a cut", storeCut, stableWindow + mostDown + time.Millisecond, time.Minute, 1},
		{"faults of workers", workerReborn, 0, time.Minute, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := &day{calls: map[string]*call{"j": {job: &standin.Job{Cancelled: time.Now()}}}}
				time.Sleep(time.Hour)
				end := d.disturb(&fault{kind: c.kind})
				time.Sleep(time.Second)
				end()
				time.Sleep(c.ago)
				d.calls["j"].job.Cancelled = time.Now().Add(-c.cancelled)
				d.checkCancelled(standin.RunEvent{How: standin.RunStarted, Task: "j.0.0.0", At: time.Now()})
				if got := len(d.broken); got != c.want {
					t.Errorf("violations: got %d, want %d: %v", got, c.want, d.broken)
				}
			})
		})
	}
}
