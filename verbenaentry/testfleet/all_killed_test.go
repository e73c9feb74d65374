package testfleet_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"verbenalanding.example/platform/standin"
	"verbenalanding.example/platform/wire"
	"verbenalanding.example/verbenaentry/testfleet"
)

// wideJob returns a job with one task on each of the four workers of a pool, and a second step with one task.
func wideJob(n int, runTime time.Duration) *standin.Job {
	return &standin.Job{
		ID: fmt.Sprintf("%016x", n), RunTime: runTime,
		Job: wire.Job{Spec: "spec", Steps: []wire.Step{
			{Count: 4, CPU: 1000, MemMb: 512, EstimateMs: float64(runTime.Milliseconds()), MaxPerServer: 1},
			{Count: 1, CPU: 1000, MemMb: 512, EstimateMs: float64(runTime.Milliseconds()), After: []int{0}},
		}},
	}
}

func awaitRuns(ctx context.Context, t *testing.T, f *testfleet.Fleet, j *standin.Job, want int) {
	t.Helper()
	for f.Platform.RunsOf(j.ID) != want && ctx.Err() == nil {
		time.Sleep(5 * time.Millisecond)
	}
	if got := f.Platform.RunsOf(j.ID); got != want {
		t.Fatalf("runs of %s: got %d, want %d", j.ID, got, want)
	}
}

func awaitDelayedStart(ctx context.Context, t *testing.T, f *testfleet.Fleet, j *standin.Job) {
	t.Helper()
	for f.Platform.DelayedStarts(j.ID) == 0 && ctx.Err() == nil {
		time.Sleep(5 * time.Millisecond)
	}
	if f.Platform.DelayedStarts(j.ID) == 0 {
		t.Fatalf("delayed start of %s: got none, want one", j.ID)
	}
}

// Guards against tasks that run twice, ended tasks that run again and lost jobs when all nodes are killed at the same time, with the state
// of all holders. In each pool, two workers keep running but do not answer the successors: one of them stays unresponsive for longer than
// its lease, and executes a start from just before the kill late, without a report to any holder. A third worker restarts.
func TestAllNodesAreKilled(t *testing.T) {
	const (
		nodes = 3
		// The runs take longer than the leases of unresponsive workers, which last 1.5 s.
		runTime     = 2500 * time.Millisecond
		startDelay  = 300 * time.Millisecond
		shortOutage = 800 * time.Millisecond
		longOutage  = 3 * time.Second
	)
	f, ctx := startFleet(t, nodes)
	serveJobs(ctx, t, f, 10)
	pools := []string{"cutting", "fitting"}
	var accepted []*standin.Job
	submitWide := func(i, n int) *standin.Job {
		j := wideJob(1<<27+n, runTime)
		if ok, err := f.Submit(ctx, pools[i], j); err != nil || !ok {
			t.Fatalf("submit to %s: got accepted %v and %v, want accepted", pools[i], ok, err)
		}
		accepted = append(accepted, j)
		return j
	}
	for i := range pools {
		awaitRuns(ctx, t, f, submitWide(i, i), 4)
	}
	for _, pool := range pools {
		f.Platform.SetWorkerFaults("m-"+pool+"-1", standin.WorkerFaults{StartDelay: startDelay})
	}
	for i := range pools {
		// The delayed worker has received its start and has not carried it out. Without that start the kill could come before the order.
		j := submitWide(i, len(pools)+i)
		awaitRuns(ctx, t, f, j, 3)
		awaitDelayedStart(ctx, t, f, j)
	}
	f.KillAll()
	for _, pool := range pools {
		f.Platform.SetWorkerFaults("m-"+pool+"-0", standin.WorkerFaults{Unresponsive: true})
		f.Platform.SetWorkerFaults("m-"+pool+"-1", standin.WorkerFaults{Unresponsive: true})
		f.Platform.RestartWorker("m-" + pool + "-2")
	}
	for _, j := range accepted[len(pools):] {
		// The delayed start is executed without a report to any holder, and the restarted worker has lost its run.
		awaitRuns(ctx, t, f, j, 3)
	}
	for i := range nodes {
		if err := f.AddNode(fmt.Sprintf("n%d", i)); err != nil {
			t.Fatalf("restart node %d: got %v, want none", i, err)
		}
	}
	time.Sleep(shortOutage)
	for _, pool := range pools {
		f.Platform.SetWorkerFaults("m-"+pool+"-0", standin.WorkerFaults{})
	}
	time.Sleep(longOutage - shortOutage)
	for _, pool := range pools {
		f.Platform.SetWorkerFaults("m-"+pool+"-1", standin.WorkerFaults{})
	}
	for n, j := range accepted {
		if err := f.Await(ctx, pools[n%len(pools)], j.ID, "completed"); err != nil {
			t.Errorf("job accepted before the kill: got %v, want completed", err)
		}
		if got := f.Platform.DoneTasks(j.ID); got != 5 {
			t.Errorf("tasks of %s done: got %d, want 5", j.ID, got)
		}
	}
	serveJobs(ctx, t, f, 10)
	assertNoViolations(t, f)
}
