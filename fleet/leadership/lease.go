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
	// renewals is how many renewals fit into a lease.
	renewals = 8
	// safety is taken off the lease for the way of a last order to its receiver.
	safety = 150 * time.Millisecond
	// confirmEvery is how often the other nodes are asked whether a duty was taken while the store does not answer, confirmStep how often
	// is looked whether that is due.
	confirmEvery = 250 * time.Millisecond
	confirmStep  = 50 * time.Millisecond
	// confirmAfter is the age of the last renewal, as a part of a lease, from which on they are asked. What is left of a lease of 1.2 s or
	// more is longer than pauseLimit, so that a node that stands still for less loses no duty.
	confirmAfter = 0.375
)

// part returns a share of a lease.
func part(lease time.Duration, share float64) time.Duration {
	return time.Duration(share * float64(lease))
}

func (el *Elector) keepLease(ctx context.Context) error {
	var renewed time.Time
	for range interval.FromNow(ctx, el.TTL/renewals/2) {
		now := el.Clock()
		el.expire(now)
		if now.Sub(renewed) >= el.TTL/renewals {
			if el.renew(ctx, now) {
				renewed = now
			}
		}
		el.register(ctx)
	}
	return nil
}

// validUntil is when orders for held duties end, by the lease or by what the other nodes confirmed; the lock must be held.
func (el *Elector) validUntil() time.Time {
	if el.confirmed.After(el.until) {
		return el.confirmed
	}
	return el.until
}

// expire drops all duties once another node may have begun to hold them.
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

// storeAge is how long ago the call was sent that last renewed the lease; the lock must be held.
func (el *Elector) storeAge(now time.Time) time.Duration {
	if el.renewed.IsZero() {
		return now.Sub(el.began)
	}
	return now.Sub(el.renewed)
}

// RecordStoreContact records that the store answered a call of the node, of whatever kind.
func (el *Elector) RecordStoreContact() {
	el.mu.Lock()
	defer el.mu.Unlock()
	el.contact = el.Clock()
}

// contactAge is how long ago the store last answered; the lock must be held.
func (el *Elector) contactAge(now time.Time) time.Duration {
	if el.contact.After(el.renewed) {
		return now.Sub(el.contact)
	}
	return el.storeAge(now)
}

// renew prolongs or creates the lease; it counts from sent, since the store counts from the call's arrival.
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
			el.noteOnce("lease", err)
			return false
		}
		lease = granted
	} else if err := el.Store.Renew(callCtx, lease); err != nil {
		el.noteOnce("lease", err)
		if errors.Is(err, store.ErrLeaseExpired) {
			el.mu.Lock()
			el.lease, el.until, el.confirmed = 0, time.Time{}, time.Time{}
			el.mu.Unlock()
			el.expire(el.Clock())
		}
		return false
	}
	el.noteOnce("lease", nil)
	el.mu.Lock()
	defer el.mu.Unlock()
	el.lease, el.until, el.renewed = lease, sent.Add(el.TTL-safety), sent
	return true
}

// confirmDuties goes on holding duties while the store answers nobody: a successor waits for the time of a lease from its own
// beginning on, so that orders are safe for as long after all other nodes said that they hold none of these duties.
func (el *Elector) confirmDuties(ctx context.Context) error {
	var asked time.Time
	for range interval.Each(ctx, confirmStep) {
		sent := el.Clock()
		if sent.Sub(asked) < confirmEvery {
			continue
		}
		q, others := el.unconfirmed(sent)
		if len(others) == 0 {
			continue
		}
		asked = sent
		if !el.confirm(ctx, q, others) {
			continue
		}
		el.mu.Lock()
		if el.lease != 0 && sent.Before(el.validUntil()) {
			el.confirmed = sent.Add(el.TTL - safety)
		}
		el.mu.Unlock()
	}
	return nil
}

// unconfirmed returns the question to all other nodes when the lease was not renewed lately.
func (el *Elector) unconfirmed(now time.Time) (StatusRequest, []Member) {
	el.mu.Lock()
	recent := el.storeAge(now) < part(el.TTL, confirmAfter)
	el.mu.Unlock()
	if recent {
		return StatusRequest{}, nil
	}
	return el.question()
}

// question returns the question to all other nodes whether they know of newer holders of the node's duties.
func (el *Elector) question() (StatusRequest, []Member) {
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

// confirm reports whether all other nodes answered and none knows a newer holder.
func (el *Elector) confirm(ctx context.Context, q StatusRequest, others []Member) bool {
	answers := make([]Status, len(others))
	group, groupCtx := errgroup.WithContext(ctx)
	for i, m := range others {
		group.Go(func() error {
			var err error
			answers[i], err = el.ask(groupCtx, m, q)
			return err
		})
	}
	if group.Wait() != nil {
		return false
	}
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
