package leadership

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"verbenalanding.example/fleet/interval"
	"verbenalanding.example/fleet/store"
)

const (
	// renewalsPerLease is how often the lease is renewed within its duration.
	renewalsPerLease = 8
	// safety is subtracted from the lease to allow for the time in which a last order reaches its receiver.
	safety = 150 * time.Millisecond
	// peerConfirmInterval is the interval between requests to the other nodes to confirm the held duties while the store is unreachable;
	// peerConfirmCheckInterval is how often the node checks whether such a request is due.
	peerConfirmInterval      = 250 * time.Millisecond
	peerConfirmCheckInterval = 50 * time.Millisecond
	// peerConfirmAfter is the age of the last renewal, as a fraction of the lease, after which the other nodes are asked. The time left in a
	// lease of 1.2 s or more then exceeds pauseThreshold, so that a shorter pause of the process loses no duty.
	peerConfirmAfter = 0.375
)

// fraction returns a share of the duration of a lease.
func fraction(lease time.Duration, share float64) time.Duration {
	return time.Duration(share * float64(lease))
}

// maintainLease obtains and renews the lease, and drops the duties when it expires.
func (el *Elector) maintainLease(ctx context.Context) error {
	var renewed time.Time
	for range interval.FromNow(ctx, el.TTL/renewalsPerLease/2) {
		now := el.Clock()
		el.expire(now)
		if now.Sub(renewed) >= el.TTL/renewalsPerLease {
			if el.renew(ctx, now) {
				renewed = now
			}
		}
		el.register(ctx)
	}
	return nil
}

// validUntil returns the time until which the lease or the confirmation of the witnesses permits orders for a duty; the lock must be held.
func (el *Elector) validUntil(h *holding) time.Time {
	if until := h.peersConfirmedAt.Add(el.TTL - safety); until.After(el.leaseUntil) {
		return until
	}
	return el.leaseUntil
}

// expire drops each duty once another node may have acquired it.
func (el *Elector) expire(now time.Time) {
	el.mu.Lock()
	defer el.mu.Unlock()
	for _, name := range slices.Collect(maps.Keys(el.held)) {
		if !now.Before(el.validUntil(el.held[name])) {
			el.drop(name, "lease not renewed in time")
		}
	}
}

// renewalAge returns how long ago the last successful renewal was sent; the lock must be held.
func (el *Elector) renewalAge(now time.Time) time.Duration {
	if el.renewedAt.IsZero() {
		return now.Sub(el.startedAt)
	}
	return now.Sub(el.renewedAt)
}

// RecordStoreContact records that the store answered a call of the node, of any kind.
func (el *Elector) RecordStoreContact() {
	el.mu.Lock()
	defer el.mu.Unlock()
	el.lastStoreContact = el.Clock()
}

// storeContactAge returns how long ago the store last answered; the lock must be held.
func (el *Elector) storeContactAge(now time.Time) time.Duration {
	if el.lastStoreContact.After(el.renewedAt) {
		return now.Sub(el.lastStoreContact)
	}
	return el.renewalAge(now)
}

// renew extends or creates the lease. The node counts the duration from sent, the time of the call, since the store counts it from a later
// time, the arrival of the call.
func (el *Elector) renew(ctx context.Context, sent time.Time) bool {
	el.mu.Lock()
	lease, leaving := el.lease, el.leaving
	el.mu.Unlock()
	if leaving {
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if lease == 0 {
		granted, err := el.Store.Grant(callCtx, el.TTL)
		if err != nil {
			el.notifyTransition("lease", err)
			return false
		}
		lease = granted
	} else if err := el.Store.Renew(callCtx, lease); err != nil {
		el.notifyTransition("lease", err)
		if errors.Is(err, store.ErrLeaseExpired) {
			el.mu.Lock()
			el.lease, el.leaseUntil = 0, time.Time{}
			for _, h := range el.held {
				h.peersConfirmedAt = time.Time{}
			}
			el.mu.Unlock()
			el.expire(el.Clock())
		}
		return false
	}
	el.notifyTransition("lease", nil)
	el.mu.Lock()
	defer el.mu.Unlock()
	el.lease, el.leaseUntil, el.renewedAt = lease, sent.Add(el.TTL-safety), sent
	return true
}

// maintainPeerConfirmation lets the node keep its duties while the store does not answer it. A successor begins only once a witness of the duty
// confirms its holder no more, and waits for one lease from then on, so orders are safe for one lease after all witnesses have agreed.
func (el *Elector) maintainPeerConfirmation(ctx context.Context) error {
	var requestedAt time.Time
	for range interval.Each(ctx, peerConfirmCheckInterval) {
		now := el.Clock()
		if now.Sub(requestedAt) < peerConfirmInterval || el.renewedRecently(now) {
			continue
		}
		requestedAt = now
		el.confirmWithWitnesses(ctx)
	}
	return nil
}

// renewedRecently reports whether the lease was renewed so recently that no confirmation of witnesses is needed.
func (el *Elector) renewedRecently(now time.Time) bool {
	el.mu.Lock()
	defer el.mu.Unlock()
	return el.renewalAge(now) < fraction(el.TTL, peerConfirmAfter)
}
