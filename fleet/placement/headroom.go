package placement

import (
	"time"

	"verbenalanding.example/fleet/platform"
)

// leavesUrgentHeadroom reports whether the pool, after reserving need, still has capacity for urgent demand as high as in the
// last minute. Without this headroom other jobs would take the capacity of each urgent job that ends, and the next urgent job
// would have to wait for another preemption.
func (po *pool) leavesUrgentHeadroom(need platform.Resources) bool {
	headroom := maximum(sub(po.recentPeak.amount, po.urgentDemand), platform.Resources{})
	free := sub(sub(po.capacity, po.reserved), headroom)
	if po.recentPeak.amount.Accelerators == 0 {
		free.Accelerators = need.Accelerators
	}
	return po.recentPeak.amount == platform.Resources{} || fits(need, free)
}

// nonRepeatableDivisor makes a quarter of a pool's capacity always available to non-repeatable jobs. In a pool of nine workers
// a rack holds four; without this share, a period of urgent demand would leave such jobs no capacity.
const nonRepeatableDivisor = 4

// leavesUrgentCapacity reports whether the pool, after a non-repeatable job has reserved need, could still serve 125% of the
// peak of urgent demand if its largest rack were lost.
func (po *pool) leavesUrgentCapacity(need platform.Resources) bool {
	if po.urgentPeak.amount == (platform.Resources{}) || fits(add(po.nonRepeatableUse, need), scale(po.capacity, 1, nonRepeatableDivisor)) {
		return true
	}
	largest := platform.Resources{}
	if len(po.racks) > 1 {
		for _, r := range po.racks {
			largest = maximum(largest, r.capacity)
		}
	}
	left := sub(sub(sub(po.capacity, largest), scale(po.urgentPeak.amount, 5, 4)), po.nonRepeatableUse)
	// Accelerators are not kept free if urgent jobs do not use them.
	if po.urgentPeak.amount.Accelerators == 0 {
		left.Accelerators = need.Accelerators
	}
	return fits(need, left)
}

// updatePeaks updates the peaks of urgent demand. urgentPeak decays by only a sixteenth per minute, so that capacity is still
// kept free when urgent demand recurs after some minutes.
func (po *pool) updatePeaks(now time.Time) {
	demand := minimum(po.urgentDemand, po.capacity)
	po.urgentPeak.update(demand, now, time.Minute, 16)
	po.recentPeak.update(demand, now, time.Second, 32)
}

// decayingPeak is a recent maximum that follows increases immediately and decays slowly.
type decayingPeak struct {
	amount platform.Resources
	// decayedUntil is the time up to which the decay has been applied.
	decayedUntil time.Time
}

// maxDecays limits the work of one call after a long pause; later calls apply the remaining decays.
const maxDecays = 256

// update reduces the peak by 1/parts per interval and raises it to the current amount.
func (k *decayingPeak) update(amount platform.Resources, now time.Time, every time.Duration, parts int64) {
	if k.decayedUntil.IsZero() {
		k.decayedUntil = now
	}
	for decays := 0; now.Sub(k.decayedUntil) >= every && decays < maxDecays; decays++ {
		k.amount = scale(k.amount, parts-1, parts)
		k.decayedUntil = k.decayedUntil.Add(every)
	}
	k.amount = maximum(k.amount, amount)
}
