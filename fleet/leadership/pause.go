package leadership

import (
	"context"
	"time"

	"verbenalanding.example/fleet/interval"
)

const (
	// tickInterval is how often the process records that it runs; a gap of pauseThreshold or more counts as a pause. Standbys replace a
	// holder that has been unresponsive for twice that gap.
	tickInterval   = 100 * time.Millisecond
	pauseThreshold = 400 * time.Millisecond
	// confirmRetryDelay is the delay between two attempts to confirm the held duties.
	confirmRetryDelay = 50 * time.Millisecond
)

// tickedRecently reports whether the process has recorded within pauseThreshold that it runs; the lock must be held.
func (el *Elector) tickedRecently(now time.Time) bool { return now.Sub(el.lastTick) < pauseThreshold }

// confirmedSincePause reports whether the store or all witnesses confirmed a duty by calls that were sent after the last pause was detected;
// the lock must be held.
func (el *Elector) confirmedSincePause(h *holding) bool {
	return !h.lastConfirmation().At.Before(el.resumedAt)
}

// detectPauses detects pauses of the process, for example while the machine is suspended. Another node may have taken over its duties
// without a notification that has arrived yet, so no orders are given for a duty until it is confirmed again.
func (el *Elector) detectPauses(ctx context.Context) error {
	for range interval.Each(ctx, tickInterval) {
		if pause, detected := el.recordTick(); detected {
			el.notify("process was paused", "", nil)
			el.group.Go(func() error { return el.confirmAfterPause(ctx, pause) })
		}
	}
	return nil
}

// recordTick records that the process runs. It returns the number of pauses so far and whether it detected a new one.
func (el *Elector) recordTick() (pause int, detected bool) {
	el.mu.Lock()
	defer el.mu.Unlock()
	now := el.Clock()
	detected = now.Sub(el.lastTick) >= pauseThreshold
	el.lastTick = now
	if detected {
		el.resumedAt = now
		el.pauses++
	}
	return el.pauses, detected
}

// confirmAfterPause retries until all held duties are confirmed again, or until a later pause, which has its own call, is detected.
func (el *Elector) confirmAfterPause(ctx context.Context, pause int) error {
	for !el.pauseResolved(pause) {
		el.confirmHeldDuties(ctx)
		if !el.pauseResolved(pause) && !interval.Wait(ctx, confirmRetryDelay) {
			return nil
		}
	}
	return nil
}

// pauseResolved reports whether all held duties were confirmed since a pause, or a later pause was detected.
func (el *Elector) pauseResolved(pause int) bool {
	el.mu.Lock()
	defer el.mu.Unlock()
	if el.pauses != pause {
		return true
	}
	for _, h := range el.held {
		if !el.confirmedSincePause(h) {
			return false
		}
	}
	return true
}

// confirmHeldDuties reads the keys of the held duties; if any read fails, it asks the witnesses.
func (el *Elector) confirmHeldDuties(ctx context.Context) {
	if !el.readDuties(ctx) {
		el.confirmWithWitnesses(ctx)
	}
}
