package node

import (
	"strconv"
	"strings"
	"time"

	"verbenalanding.example/fleet/store"
	"verbenalanding.example/fleet/workload"
	"verbenalanding.example/platform"
)

const (
	// earlyReturnMargin is how much earlier than the end of the full upkeep a worker may register again, because of differing clocks.
	earlyReturnMargin = 100 * time.Millisecond
	// lateReturnMargin is how much longer than its upkeep a machine may take before the list of machines decides.
	lateReturnMargin = time.Second
)

// slot is the value of a slot's key: one machine of a wave in upkeep.
type slot struct {
	Machine string `json:"machine"`
	Pool    string `json:"pool"`
	// Worker is the worker that the upkeep ends.
	Worker string `json:"worker"`
}

func slotKey(wave string, n int) string   { return wavePrefix + wave + "/slot/" + strconv.Itoa(n) }
func doneKey(wave, machine string) string { return wavePrefix + wave + "/done/" + machine }
func statusKey(wave string) string        { return platform.WaveStatusPrefix + wave }

// waveOf splits a key under wavePrefix into the wave and the rest of the key.
func waveOf(key string) (wave, rest string) {
	wave, rest, _ = strings.Cut(strings.TrimPrefix(key, wavePrefix), "/")
	return wave, rest
}

// heldSlot is a reserved slot in the store.
type heldSlot struct {
	slot
	revision store.Revision
	// ordered is when the platform accepted this holder's upkeep order; zero for a slot of an earlier holder.
	ordered time.Time
	// since is when this holder first saw the slot with its machine.
	since time.Time
}

// finished reports whether the upkeep has finished, by the newest registered worker of the slot's machine and by the list of machines.
func (s heldSlot) finished(now time.Time, upkeep time.Duration, newest incarnation, listedAt time.Time, listed bool, state workload.MachineState) bool {
	if s.ordered.IsZero() {
		// It is not known whether the earlier holder gave its order; begin gives it again.
		return false
	}
	// A worker that was seen earlier registered before the upkeep, for instance after a move of its machine.
	if s.Worker != "" && newest.worker != s.Worker && newest.seen.Sub(s.ordered) >= upkeep-earlyReturnMargin {
		return true
	}
	if listedAt.Sub(s.ordered) < upkeep {
		return false
	}
	return (listed && state == workload.MachineUp) || (!listed && now.Sub(s.ordered) > upkeep+lateReturnMargin)
}
