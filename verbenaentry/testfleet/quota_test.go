package testfleet_test

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"verbenalanding.example/platform/standin"
	"verbenalanding.example/platform/wire"
	"verbenalanding.example/verbenaentry/testfleet"
)

// limitHemline gives the first workspace of startFleetWithKeys a limit in cores.
func limitHemline(f *testfleet.Fleet, cores int64) {
	f.Platform.SetTenants([]wire.Tenant{
		{Name: "hemline", APIKeys: []string{hemlineKey}, MaxCount: wire.Resources{CPU: cores * 1000}}, {Name: "seam", APIKeys: []string{seamKey}},
	})
	f.Configure()
}

// submitOfHemline submits a job of 10 tasks of one core to a pool with the first workspace's key.
func submitOfHemline(ctx context.Context, t *testing.T, f *testfleet.Fleet, pool string, number int, runTime time.Duration) *standin.Job {
	t.Helper()
	j := &standin.Job{ID: fmt.Sprintf("%016x", number), RunTime: runTime, Workspace: "hemline"}
	j.Spec = "quota"
	j.Steps = []wire.Step{{Count: 10, CPU: 1000, MemMb: 100, EstimateMs: float64(runTime.Milliseconds())}}
	f.Platform.AddJob(j, testfleet.Attempts)
	waitUntil(ctx, func() bool {
		status, _, err := f.DoWithKey(ctx, 1, http.MethodPost, testfleet.Prefix(pool)+j.ID, hemlineKey, j.Job)
		return err == nil && status == http.StatusOK
	})
	return j
}

// Guards against a workspace that runs more than its limit over two pools, or little of it, while holders are killed and the limit is halved and doubled
// under load. The stand-in holds each start against the limit.
func TestLimitHoldsWhileHoldersAreKilled(t *testing.T) {
	f, ctx := startFleetWithKeys(t, 4)
	limitHemline(f, 12)
	var jobs []*standin.Job
	for i := range 12 {
		jobs = append(jobs, submitOfHemline(ctx, t, f, []string{"cutting", "fitting"}[i%2], 0x100+i, 400*time.Millisecond))
	}
	waitUntil(ctx, func() bool { return f.Platform.Runs() >= 11 })
	if got := f.Platform.Runs(); got < 11 {
		t.Errorf("runs with demand in both pools: got %d, want 11 or more of 12", got)
	}
	f.Kill(f.Holder("cutting"))
	waitUntil(ctx, func() bool { return f.Holder("cutting") >= 0 })
	limitHemline(f, 6)
	time.Sleep(time.Second)
	limitHemline(f, 24)
	for _, j := range jobs {
		waitUntil(ctx, func() bool { return f.Platform.DoneTasks(j.ID) == 10 })
		if got := f.Platform.DoneTasks(j.ID); got != 10 {
			t.Errorf("tasks of job %s that are done: got %d, want 10", j.ID, got)
		}
	}
	assertNoViolations(t, f)
}
