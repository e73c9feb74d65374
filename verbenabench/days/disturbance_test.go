package days

import (
	"testing"
	"testing/synctest"
	"time"

	"verbenalanding.example/platform/standin"
)

// Guards against starts of cancelled jobs after the time bound. The bound does not apply while a fault can keep the cancellation from
// reaching a node.
func TestStartAfterCancellation(t *testing.T) {
	for _, c := range []struct {
		name string
		kind string
		// sinceFault is the time from the end of the fault to the start of the run, and sinceCancellation the time from the acknowledgement of
		// the cancellation to it.
		sinceFault, sinceCancellation time.Duration
		want                          int
	}{
		{"undisturbed, within the bound", storeCut, time.Minute, cancelBound, 0},
		{"undisturbed, after the bound", storeCut, time.Minute, cancelBound + time.Millisecond, 1},
		{"partitioned from the store shortly before", storeCut, stableWindow, time.Minute, 0},
		{"long after a partition", storeCut, stableWindow + maxDowntime + time.Millisecond, time.Minute, 1},
		{"faults of workers", workerRestarted, 0, time.Minute, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := &day{submissions: map[string]*submission{"j": {job: &standin.Job{Cancelled: time.Now()}}}}
				time.Sleep(time.Hour)
				end := d.disturb(&fault{kind: c.kind})
				time.Sleep(time.Second)
				end()
				time.Sleep(c.sinceFault)
				d.submissions["j"].job.Cancelled = time.Now().Add(-c.sinceCancellation)
				d.checkCancelled(standin.RunEvent{Kind: standin.RunStarted, Task: "j.0.0.0", At: time.Now()})
				if got := len(d.broken); got != c.want {
					t.Errorf("violations: got %d, want %d: %v", got, c.want, d.broken)
				}
			})
		})
	}
}
