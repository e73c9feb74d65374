package standin

import (
	"context"
	"testing"
	"time"

	"verbenalanding.example/fleet/internal/check"
	"verbenalanding.example/fleet/platform"
)

// Guards against a stand-in that starts a task id twice, accepts outdated epochs or ignores expired leases. The jobs tests rely on all three.
func TestWorkersEnforceTaskLeases(t *testing.T) {
	ctx := context.Background()
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	w := NewWorkers()
	w.Now = func() time.Time { return now }
	w.RunTime = func(string) time.Duration { return time.Hour }
	w.Add("w0", "r0", platform.Resources{MilliCores: 1000})
	task := platform.Task{ID: "j#1", Epoch: 2, LeaseFor: 10 * time.Second, Reserved: platform.Resources{MilliCores: 800}}
	w.SetFaults("w0", WorkerFaults{LoseAnswers: 1})
	check.ErrorIs(t, w.Start(ctx, "w0", task), platform.ErrUnavailable)
	check.NoError(t, w.Start(ctx, "w0", task))
	check.Equal(t, "starts", w.Starts("j"), 1)
	check.ErrorIs(t, w.RenewLease(ctx, "w0", "j#1", 1), platform.ErrTaskLease)
	check.ErrorIs(t, w.Stop(ctx, "w0", "later#1", 3), platform.ErrUnknownTask)
	late := task
	late.ID = "later#1"
	check.ErrorIs(t, w.Start(ctx, "w0", late), platform.ErrTaskLease)
	now = now.Add(9 * time.Second)
	check.NoError(t, w.RenewLease(ctx, "w0", "j#1", 2))
	now = now.Add(9 * time.Second)
	check.Equal(t, "running tasks before the lease expires", len(w.Running("w0")), 1)
	now = now.Add(2 * time.Second)
	check.Equal(t, "running tasks after the lease has expired", len(w.Running("w0")), 0)
	usages, err := w.Report(ctx, "w0")
	check.NoError(t, err)
	check.Equal(t, "state of the task", usages[0].State, platform.TaskStopped)
}
