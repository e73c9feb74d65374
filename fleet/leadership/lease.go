package leadership

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

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

// validUntil returns the time until which the lease or the confirmation of the other nodes permits orders; the lock must be held.
func (el *Elector) validUntil() time.Time {
	if el.peersConfirmedUntil.After(el.leaseUntil) {
		return el.peersConfirmedUntil
	}
	return el.leaseUntil
}

// expire drops all duties once another node may have acquired them.
func (el *Elector) expire(now time.Time) {
	el.mu.Lock()
	defer el.mu.Unlock()
	if now.Before(el.validUntil()) {
		return
	}
	for _, name := range slices.Collect(maps.Keys(el.held)) {
		el.drop(name, "lease not renewed in time")
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
			el.lease, el.leaseUntil, el.peersConfirmedUntil = 0, time.Time{}, time.Time{}
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

// maintainPeerConfirmation lets the node keep its duties while no node reaches the store. A successor waits for one lease after it has
// acquired a duty, so orders are safe for one lease after all other nodes confirmed that they hold none of these duties.
func (el *Elector) maintainPeerConfirmation(ctx context.Context) error {
	var requestedAt time.Time
	for range interval.Each(ctx, peerConfirmCheckInterval) {
		sent := el.Clock()
		if sent.Sub(requestedAt) < peerConfirmInterval {
			continue
		}
		q, others := el.peerConfirmationDue(sent)
		if len(others) == 0 {
			continue
		}
		requestedAt = sent
		if !el.confirmWithPeers(ctx, q, others) {
			continue
		}
		el.mu.Lock()
		if el.lease != 0 && sent.Before(el.validUntil()) {
			el.peersConfirmedUntil = sent.Add(el.TTL - safety)
		}
		el.mu.Unlock()
	}
	return nil
}

// peerConfirmationDue returns the confirmation request and the nodes to send it to, or no nodes if the lease was renewed recently.
func (el *Elector) peerConfirmationDue(now time.Time) (StatusRequest, []Member) {
	el.mu.Lock()
	recent := el.renewalAge(now) < fraction(el.TTL, peerConfirmAfter)
	el.mu.Unlock()
	if recent {
		return StatusRequest{}, nil
	}
	return el.confirmationRequest()
}

// confirmationRequest returns the request that asks all other nodes for newer holders of the held duties, and these nodes.
func (el *Elector) confirmationRequest() (StatusRequest, []Member) {
	el.mu.Lock()
	defer el.mu.Unlock()
	q := StatusRequest{From: el.Self.Node}
	if el.RequestStatus == nil || el.leaving || len(el.held) == 0 {
		return q, nil
	}
	for name := range el.held {
		q.Duties = append(q.Duties, name)
	}
	var others []Member
	for node, m := range el.members {
		if node != el.Self.Node {
			others = append(others, m.Member)
		}
	}
	return q, others
}

// confirmWithPeers reports whether all other nodes answered and none knows a newer holder.
func (el *Elector) confirmWithPeers(ctx context.Context, q StatusRequest, others []Member) bool {
	answers := make([]Status, len(others))
	asked := make([]PeerAnswer, len(others))
	group, groupCtx := errgroup.WithContext(ctx)
	for i, m := range others {
		group.Go(func() error {
			var err error
			answers[i], err = el.requestStatus(groupCtx, m, q)
			asked[i] = PeerAnswer{Node: m.Node, StoreAge: answers[i].StoreAge, Err: err}
			return err
		})
	}
	if group.Wait() != nil {
		el.notifyConfirmation("duties not confirmed by other nodes", asked)
		return false
	}
	el.notifyConfirmation("duties confirmed by other nodes", asked)
	el.mu.Lock()
	defer el.mu.Unlock()
	for _, a := range answers {
		for name, fence := range a.Fences {
			if h := el.held[name]; h != nil && fence > h.fence {
				el.drop(name, "another node holds the duty")
				return false
			}
		}
	}
	return true
}
