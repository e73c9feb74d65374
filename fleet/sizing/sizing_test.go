package sizing_test

import (
	"testing"
	"time"

	"verbenalanding.example/fleet/sizing"
)

var start = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

const machineCPU = 10000

func at(offset time.Duration, machines int, demand int64, idle ...string) sizing.Input {
	return sizing.Input{Now: start.Add(offset), Machines: machines, Home: 3, MachineCPU: machineCPU, Demand: demand, Idle: idle}
}

func wantInt(t *testing.T, name string, got, want int) {
	t.Helper()
	if got != want {
		t.Errorf("%s: got %d, want %d", name, got, want)
	}
}

// Guards against work that waits while machines are switched off.
func TestTakesMissingMachines(t *testing.T) {
	var tracker sizing.Tracker
	wantInt(t, "take", tracker.Decide(at(0, 3, 5*machineCPU)).Take, 3)
	in := at(time.Second, 3, 5*machineCPU)
	in.Incoming = 3
	wantInt(t, "take with machines incoming", tracker.Decide(in).Take, 0)
}

// Guards against too few machines in the first seconds of a demand peak: machines are taken ahead while the demand grows, without reporting
// them to the other pools as missing.
func TestTakesAheadOfGrowth(t *testing.T) {
	var tracker sizing.Tracker
	wantInt(t, "take at constant demand", tracker.Decide(at(0, 4, machineCPU)).Take, 0)
	d := tracker.Decide(at(time.Second, 4, 3*machineCPU))
	wantInt(t, "take while the demand grows", d.Take, 2)
	wantInt(t, "missing while the demand grows", d.Missing, 0)
	d = tracker.Decide(at(2*time.Second, 4, 5*machineCPU))
	wantInt(t, "take once the need exceeds the size", d.Take, 4)
	wantInt(t, "missing once the need exceeds the size", d.Missing, 2)
	wantInt(t, "take once the demand falls", tracker.Decide(at(4*time.Second, 8, 4*machineCPU)).Take, 0)
}

// Guards against machines that move back and forth with each short dip of the demand.
func TestReleasesAfterTheIdleTimeout(t *testing.T) {
	var tracker sizing.Tracker
	tracker.Decide(at(0, 5, 4*machineCPU))
	wantInt(t, "release immediately", len(tracker.Decide(at(500*time.Millisecond, 5, 0, "a", "b", "c")).Release), 0)
	wantInt(t, "release after the idle timeout", len(tracker.Decide(at(1500*time.Millisecond, 5, 0, "a", "b", "c")).Release), 2)
	wantInt(t, "release of home machines", len(tracker.Decide(at(2*time.Second, 3, 0, "a", "b", "c")).Release), 0)
}

// Guards against a pool that lends machines that it needs itself.
func TestLendsOnlyIdleMachinesBeyondItsNeed(t *testing.T) {
	var tracker sizing.Tracker
	in := at(time.Minute, 4, machineCPU/2, "a", "b", "c")
	in.Others = []sizing.Shortage{{Pool: "other", Missing: 5, Since: start, Last: start}}
	loans := tracker.Decide(in).Lend
	wantInt(t, "loans", len(loans), 2)
	tracker.Decide(at(time.Minute, 4, 8*machineCPU))
	in.Now = start.Add(time.Minute + time.Second)
	wantInt(t, "loans after a shortage of its own", len(tracker.Decide(in).Lend), 0)
}

// Guards against a pool that refills while other pools are short, or while its own machines are about to return from upkeep.
func TestRefillsWhenNoPoolIsShort(t *testing.T) {
	var tracker sizing.Tracker
	wantInt(t, "refill immediately", tracker.Decide(at(0, 2, 0)).Refill, 0)
	wantInt(t, "refill after RefillAfter", tracker.Decide(at(4*time.Second, 2, 0)).Refill, 1)
	in := at(5*time.Second, 2, 0)
	in.Others = []sizing.Shortage{{Pool: "other", Missing: 1, Since: in.Now, Last: in.Now}}
	wantInt(t, "refill while another pool is short", tracker.Decide(in).Refill, 0)
}
