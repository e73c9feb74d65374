package upkeep_test

import (
	"fmt"
	"testing"
	"time"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/upkeep"
)

// Guards against a wave whose busy machines never get their upkeep, because the time that all of them take overflows.
func TestPlanWithALongCycle(t *testing.T) {
	const machines, cycle = 35, 10 * 366 * 24 * time.Hour
	now := time.Date(2026, 12, 6, 9, 0, 0, 0, time.UTC)
	in := upkeep.Input{Now: now, Deadline: now.Add(time.Minute), MaxDown: 1, Left: machines, Cycle: cycle}
	for i := range machines {
		in.Candidates = append(in.Candidates, upkeep.Candidate{
			Machine: fmt.Sprintf("m%02d", i), Load: dispatch.Load{Known: true, Worker: fmt.Sprintf("w%02d", i), Allowed: true, LostTime: time.Second},
		})
	}
	if got := len(upkeep.Plan(in)); got != 1 {
		t.Errorf("machines to start: got %d, want 1", got)
	}
	if got := len(upkeep.Drain(in)); got != 1 {
		t.Errorf("machines to drain: got %d, want 1", got)
	}
}
