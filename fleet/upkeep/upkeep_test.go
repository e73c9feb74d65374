package upkeep_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/upkeep"
)

var now = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

func input(left time.Duration, candidates ...upkeep.Candidate) upkeep.Input {
	return upkeep.Input{Now: now, Deadline: now.Add(left), MaxDown: 2, Left: len(candidates), Cycle: 3 * time.Second, Candidates: candidates}
}

func candidate(machine string, load dispatch.Load) upkeep.Candidate {
	return upkeep.Candidate{Machine: machine, Load: load}
}

var (
	idle        = dispatch.Load{Known: true, Idle: true, Allowed: true}
	busy        = dispatch.Load{Known: true, Allowed: true, LostTime: time.Second}
	longRunning = dispatch.Load{Known: true, Allowed: true, LongRunning: 1}
	disallowed  = dispatch.Load{Known: true, LongRunning: 1}
)

func TestPlan(t *testing.T) {
	for _, c := range []struct {
		name string
		in   upkeep.Input
		want []string
	}{
		// Guards against work that is interrupted although there is time to wait for its end.
		{"idle machines start immediately, busy ones wait", input(time.Minute, candidate("a", busy), candidate("b", idle)), []string{"b"}},
		// Guards against a wave that is late because a pool is never idle.
		{"busy machines start when time is short", input(4*time.Second, candidate("a", busy)), []string{"a"}},
		// Guards against more machines down than the operator allows.
		{"at most as many as may be down", input(time.Minute, candidate("a", idle), candidate("b", idle), candidate("c", idle)), []string{"a", "b"}},
		// Guards against too many unavailable tasks of a long-running step at once.
		{"one with long-running tasks at a time", input(time.Second, candidate("a", longRunning), candidate("b", longRunning)), []string{"a"}},
		{"no machine whose upkeep is not allowed", input(time.Second, candidate("a", disallowed)), nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := upkeep.Plan(c.in); !slices.Equal(got, c.want) {
				t.Errorf("machines: got %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against a wave that is late because its last machine always has work, or run ends that are not recorded yet.
func TestDrain(t *testing.T) {
	unrecorded := dispatch.Load{Known: true, Worker: "w", Unrecorded: true}
	working := dispatch.Load{Known: true, Worker: "w", Allowed: true, LostTime: time.Second}
	disallowed := dispatch.Load{Known: true, Worker: "w", LongRunning: 1, Reason: "at most 1 unavailable"}
	for _, c := range []struct {
		name string
		in   upkeep.Input
		want []string
	}{
		{"none while there is time", input(time.Minute, candidate("a", working)), nil},
		{"a machine with unrecorded ends and one with work", input(8*time.Second, candidate("a", working), candidate("b", unrecorded)), []string{"b", "a"}},
		{"at most as many as may be down", input(8*time.Second, candidate("a", working), candidate("b", working), candidate("c", working)), []string{"a", "b"}},
		{"no machine whose tasks do not allow it", input(8*time.Second, candidate("a", disallowed)), nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := upkeep.Drain(c.in); !slices.Equal(got, c.want) {
				t.Errorf("machines: got %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against a wave over hundreds of machines that interrupts work from its first second: its pools each have many busy machines, but time
// enough to wait for the end of their tasks.
func TestWaveOfManyBusyMachines(t *testing.T) {
	working := dispatch.Load{Known: true, Worker: "w", Allowed: true, LostTime: time.Second}
	serving := dispatch.Load{Known: true, Worker: "w", Allowed: true, LostTime: time.Second, LongRunning: 2}
	wave := func(left time.Duration, serves int) upkeep.Input {
		in := input(left)
		in.MaxDown, in.Left = 65, 160
		for i := range 32 {
			load := working
			if i < serves {
				load = serving
			}
			in.Candidates = append(in.Candidates, candidate(fmt.Sprintf("m%02d", i), load))
		}
		return in
	}
	for _, c := range []struct {
		name               string
		in                 upkeep.Input
		interrupted, drain int
	}{
		{"begins", wave(25*time.Second, 0), 0, 10},
		{"begins with long-running tasks on some machines", wave(25*time.Second, 5), 0, 15},
		{"in its last seconds", wave(5*time.Second, 0), 32, 32},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := len(upkeep.Plan(c.in)); got != c.interrupted {
				t.Errorf("machines whose work is interrupted: got %d, want %d", got, c.interrupted)
			}
			if got := len(upkeep.Drain(c.in)); got != c.drain {
				t.Errorf("machines without new work: got %d, want %d", got, c.drain)
			}
		})
	}
}
