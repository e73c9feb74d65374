package testfleet_test

import (
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"verbenalanding.example/platform/standin"
)

// Guards against a task that runs twice because a holder applies a handover that its direct predecessor did not write: the answers to the
// predecessor's reads of the handover were lost, and the predecessor was then killed.
func TestHandoverAppliesToTheNextHolderOnly(t *testing.T) {
	f, ctx := startFleet(t, 3)
	serveJobs(ctx, t, f, 2)
	first := f.Holder("cutting")
	f.LoseReads("handover/")
	var group errgroup.Group
	group.Go(func() error { return f.Terminate(first) })
	var second int
	waitUntil(ctx, func() bool {
		second = f.Holder("cutting")
		return second != first && second >= 0
	})
	j := job(1 << 26)
	j.RunTime = 3 * time.Second
	submit(ctx, t, f, j)
	time.Sleep(1200 * time.Millisecond)
	f.LoseReads("")
	waitUntil(ctx, func() bool { return f.Platform.Runs() >= 3 })
	busy := f.Platform.BusyMachines()
	for _, id := range busy {
		f.Platform.SetWorkerFaults(id, standin.WorkerFaults{Unresponsive: true})
	}
	f.Kill(second)
	time.Sleep(700 * time.Millisecond)
	for _, id := range busy {
		f.Platform.SetWorkerFaults(id, standin.WorkerFaults{})
	}
	if err := f.Await(ctx, "cutting", j.ID, "completed"); err != nil {
		t.Errorf("job: got %v, want completed", err)
	}
	if err := group.Wait(); err != nil {
		t.Errorf("terminated node: got %v, want none", err)
	}
	assertNoViolations(t, f)
}
