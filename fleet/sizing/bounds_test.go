package sizing_test

import (
	"testing"
	"time"

	"verbenalanding.example/fleet/sizing"
)

// Guards against holders that end one after the other because of a figure that a worker or a caller chooses: by a division by zero if the largest
// worker of the pool has a thousandth of a core, and by their memory if tasks need millions of machines.
func TestDecideWithExtremeFigures(t *testing.T) {
	const mostMachines = 1 << 14
	now := time.Date(2026, 12, 6, 9, 0, 0, 0, time.UTC)
	for _, c := range []struct {
		name               string
		machineCPU, demand int64
		spread             int
	}{
		{"machines of a thousandth of a core", 1, 5, 0},
		{"tasks that need ten million machines", 1000, 8e9, 0},
		{"tasks that are spread over ten million machines", 1000, 1, 10e6},
	} {
		t.Run(c.name, func(t *testing.T) {
			var tracker sizing.Tracker
			d := tracker.Decide(sizing.Input{Now: now, Machines: 1, MachineCPU: c.machineCPU, Demand: c.demand, Spread: c.spread})
			if d.Missing > mostMachines {
				t.Errorf("missing machines: got %d, want at most %d", d.Missing, mostMachines)
			}
		})
	}
}
