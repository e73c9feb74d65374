package node

import (
	"testing"

	"verbenalanding.example/platform/wire"
)

// Guards against an upkeep order that is given again, with a write to the store, in each round of a wave while the platform refuses it: a machine that
// is leaving is busy for as long as it is listed.
func TestRefusedUpkeepIsNotRepeatedInEachRound(t *testing.T) {
	f := newMachineListFixture(t, wire.Machine{Machine: "m", Pool: "cutting", State: "up", ID: "w"})
	f.pool.machines.refresh(f.ctx, 0)
	assertOrderable := func(when string, want bool) {
		t.Helper()
		if got := f.pool.machines.mayOrder("m", f.now()); got != want {
			t.Errorf("machine may get an order %s: got %v, want %v", when, got, want)
		}
	}
	assertOrderable("at first", true)
	f.pool.upkeeps.refused(slot{Machine: "m", Pool: "cutting", Worker: "w"})
	f.elapsed += waveInterval
	assertOrderable("in the next round", false)
	f.elapsed += upkeepBackoff
	assertOrderable("after the backoff", true)
}
