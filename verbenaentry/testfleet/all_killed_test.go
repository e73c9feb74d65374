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
func wideJob(n int, took time.Duration) *standin.Job {
	return &standin.Job{
		ID: fmt.Sprintf("%016x", n), RunTime: took,
		Job: wire.Job{Spec: "spec", Steps: []wire.Step{
			{Count: 4, CPU: 1000, MemMb: 512, EstimateMs: float64(took.Milliseconds()), MaxPerServer: 1},
			{Count: 1, CPU: 1000, MemMb: 512, EstimateMs: float64(took.Milliseconds()), After: []int{0}},
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

// Guards against tasks that run twice, ended tasks that run again and jobs that are lost when all nodes are killed at the same time, so
// that no holder remains that knows its orders. Some workers keep running but do not answer the successors, one of them for longer than
// its leases last. One worker executes an order from just before the kill late and without reporting it; one worker restarts.
func TestAllNodesAreKilled(t *testing.T) {
	const (
		nodes = 3
		// The runs outlast the leases of unresponsive workers, which last 1.5 s.
		took  = 2500 * time.Millisecond
		late  = 300 * time.Millisecond
		short = 800 * time.Millisecond
		long  = 3 * time.Second
	)
	f, ctx := startFleet(t, nodes)
	serveJobs(ctx, t, f, 10)
	pools := []string{"cutting", "fitting"}
	var open []*standin.Job
	accept := func(i, n int) *standin.Job {
		j := wideJob(1<<27+n, took)
		if accepted, err := f.Submit(ctx, pools[i], j); err != nil || !accepted {
			t.Fatalf("submit to %s: got accepted %v and %v, want accepted", pools[i], accepted, err)
		}
		open = append(open, j)
		return j
	}
	for i := range pools {
		awaitRuns(ctx, t, f, accept(i, i), 4)
	}
	for _, pool := range pools {
		f.Platform.SetWorkerFaults("m-"+pool+"-1", standin.WorkerFaults{StartDelay: late})
	}
	for i := range pools {
		// The delayed worker has not started its task.
		awaitRuns(ctx, t, f, accept(i, len(pools)+i), 3)
	}
	f.KillAll()
	for _, pool := range pools {
		f.Platform.SetWorkerFaults("m-"+pool+"-0", standin.WorkerFaults{Unresponsive: true})
		f.Platform.SetWorkerFaults("m-"+pool+"-1", standin.WorkerFaults{Unresponsive: true})
		f.Platform.RestartWorker("m-" + pool + "-2")
	}
	for _, j := range open[len(pools):] {
		// The delayed start is executed without a report to any holder, and the restarted worker has lost its run.
		awaitRuns(ctx, t, f, j, 3)
	}
	for i := range nodes {
		if err := f.AddNode(fmt.Sprintf("n%d", i)); err != nil {
			t.Fatalf("restart node %d: got %v, want none", i, err)
		}
	}
	time.Sleep(short)
	for _, pool := range pools {
		f.Platform.SetWorkerFaults("m-"+pool+"-0", standin.WorkerFaults{})
	}
	time.Sleep(long - short)
	for _, pool := range pools {
		f.Platform.SetWorkerFaults("m-"+pool+"-1", standin.WorkerFaults{})
	}
	for n, j := range open {
		if err := f.Await(ctx, pools[n%len(pools)], j.ID, "completed"); err != nil {
			t.Errorf("job accepted before the loss: got %v, want completed", err)
		}
		if got := f.Platform.DoneTasks(j.ID); got != 5 {
			t.Errorf("tasks of %s done: got %d, want 5", j.ID, got)
		}
	}
	serveJobs(ctx, t, f, 10)
	assertNoViolations(t, f)
}
