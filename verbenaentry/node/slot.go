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
	// backEarly is how much sooner than its whole upkeep a machine may register again, by the clocks of both.
	earlyReturnMargin = 100 * time.Millisecond
	// backMargin is how much longer than its upkeep a machine may take before the list of machines decides.
	lateReturnMargin = time.Second
)

// slot is the value of a key that stands for one machine of a wave in upkeep.
type slot struct {
	Machine string `json:"machine"`
	Pool    string `json:"pool"`
	// Worker is the life of the machine that the upkeep ends.
	Worker string `json:"worker"`
}

func slotKey(wave string, n int) string   { return wavePrefix + wave + "/slot/" + strconv.Itoa(n) }
func doneKey(wave, machine string) string { return wavePrefix + wave + "/done/" + machine }
func statusKey(wave string) string        { return platform.WaveStatusPrefix + wave }

// waveOf returns the wave of a key under wavePrefix and the rest of the key.
func waveOf(key string) (wave, rest string) {
	wave, rest, _ = strings.Cut(strings.TrimPrefix(key, wavePrefix), "/")
	return wave, rest
}

// heldSlot is a taken slot as the store shows it.
type heldSlot struct {
	slot
	revision store.Revision
	// ordered is when this holder had the upkeep accepted; zero for one that an earlier holder left.
	ordered time.Time
	// since is when this holder first saw the slot with its machine.
	since time.Time
}

// back decides from the newest life of the slot's machine, and from the list of machines and its time.
func (s heldSlot) finished(now time.Time, upkeep time.Duration, newest incarnation, listedAt time.Time, listed bool, state workload.MachineState) bool {
	if s.ordered.IsZero() {
		// The order of an earlier holder may not have been given; begin gives it again.
		return false
	}
	// A worker that was seen sooner registered before the upkeep, for instance after a move of its machine.
	if s.Worker != "" && newest.worker != s.Worker && newest.seen.Sub(s.ordered) >= upkeep-earlyReturnMargin {
		return true
	}
	if listedAt.Sub(s.ordered) < upkeep {
		return false
	}
	return (listed && state == workload.MachineUp) || (!listed && now.Sub(s.ordered) > upkeep+lateReturnMargin)
}
