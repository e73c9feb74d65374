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
	// earlyReturnMargin is how long before the end of the full upkeep a worker may register again, because clocks differ.
	earlyReturnMargin = 100 * time.Millisecond
	// lateReturnMargin is how long after the end of its upkeep a machine may be missing from the list of machines before its upkeep counts
	// as finished.
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

// waveOf splits a key under wavePrefix into the wave and the suffix that follows it.
func waveOf(key string) (wave, suffix string) {
	wave, suffix, _ = strings.Cut(strings.TrimPrefix(key, wavePrefix), "/")
	return wave, suffix
}

// reservedSlot is a slot with its revision in the store.
type reservedSlot struct {
	slot
	revision store.Revision
	// orderedAt is when the platform accepted this holder's upkeep order; zero before that, and for a slot of an earlier holder.
	orderedAt time.Time
	// since is when this holder first read the slot with its machine.
	since time.Time
	// repeatedOn is the worker that the list of machines showed when this holder repeated an order, with the machine up; empty otherwise.
	repeatedOn string
}

// carriedOutBefore reports whether a repeated order has changed nothing, so that the upkeep of an earlier one has finished: a list that shows
// the order has the machine up, with the same worker as before it.
func (s reservedSlot) carriedOutBefore(listedAt time.Time, m workload.Machine) bool {
	return s.repeatedOn != "" && !s.orderedAt.IsZero() && listedAt.Sub(s.orderedAt) >= listLag && m.State == workload.MachineUp && m.Worker == s.repeatedOn
}

// finished reports whether the upkeep has finished, according to the newest registered worker of the slot's machine or the list of machines.
func (s reservedSlot) finished(now time.Time, upkeep time.Duration, newest incarnation, listedAt time.Time, listed bool, state workload.MachineState) bool {
	if s.orderedAt.IsZero() {
		// The order of an earlier holder is unconfirmed; begin gives it again.
		return false
	}
	// A registration that was first seen earlier is from before the upkeep, for instance after a move of the machine.
	if s.Worker != "" && newest.worker != s.Worker && newest.seenAt.Sub(s.orderedAt) >= upkeep-earlyReturnMargin {
		return true
	}
	if listedAt.Sub(s.orderedAt) < upkeep {
		return false
	}
	return (listed && state == workload.MachineUp) || (!listed && now.Sub(s.orderedAt) > upkeep+lateReturnMargin)
}
