package testfleet_test

import (
	"testing"
	"time"

	"verbenalanding.example/platform/standin"
	"verbenalanding.example/platform/wire"
	"verbenalanding.example/verbenaentry/node"
	"verbenalanding.example/verbenaentry/testfleet"
)

// Guards against a task that runs twice on a platform without a list of machines: when the holder is killed, the next holder cannot list
// the workers whose registrations have expired.
func TestHolderKilledAndRegistrationsExpiredWithoutMachineList(t *testing.T) {
	f, ctx := startConfigured(t, &testfleet.Fleet{
		Nodes: 3, NoMachineList: true, Flags: node.Flags{DutyTTL: 800 * time.Millisecond, WorkerLease: 1500 * time.Millisecond, LogLevel: "info"},
		Platform: &standin.Platform{Seed: 1, Pools: map[string]int{"cutting": 4}, Capacity: wire.Resources{CPU: 16000, MemMb: 64000}, Tick: 5 * time.Millisecond},
	})
	j := job(int(jobs.Add(1)))
	j.RunTime = 3 * time.Second
	submit(ctx, t, f, j)
	err := injectAtHolder(f, func(i int) error {
		f.Kill(i)
		for _, machine := range f.Platform.BusyMachines() {
			f.Platform.ExpireRegistration(machine)
		}
		return nil
	})()
	if err != nil {
		t.Fatalf("kill: got %v, want none", err)
	}
	if err := f.Await(ctx, "cutting", j.ID, "completed"); err != nil {
		t.Errorf("job: got %v, want it completed", err)
	}
	assertNoViolations(t, f)
}
