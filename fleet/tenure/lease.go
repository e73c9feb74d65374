package tenure

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

func (t *Tenure) keepLease(ctx context.Context) error {
	var renewed time.Time
	for range interval.FromNow(ctx, t.TTL/renewals/2) {
		now := t.Clock()
		t.expire(now)
		if now.Sub(renewed) >= t.TTL/renewals {
			if t.renew(ctx, now) {
				renewed = now
			}
		}
		t.register(ctx)
	}
	return nil
}

// validUntil is when orders for held duties end, by the lease or by what the other nodes confirmed; the lock must be held.
func (t *Tenure) validUntil() time.Time {
	if t.confirmed.After(t.until) {
		return t.confirmed
	}
	return t.until
}

// expire drops all duties once another node may have begun to hold them.
func (t *Tenure) expire(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Before(t.validUntil()) {
		return
	}
	for _, name := range slices.Collect(maps.Keys(t.held)) {
		t.drop(name, "lease not renewed in time")
	}
}

// storeAge is how long ago the call was sent that last renewed the lease; the lock must be held.
func (t *Tenure) storeAge(now time.Time) time.Duration {
	if t.renewed.IsZero() {
		return now.Sub(t.began)
	}
	return now.Sub(t.renewed)
}

// Contact takes note that the store answered a call of the node, of whatever kind.
func (t *Tenure) Contact() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.contact = t.Clock()
}

// contactAge is how long ago the store last answered; the lock must be held.
func (t *Tenure) contactAge(now time.Time) time.Duration {
	if t.contact.After(t.renewed) {
		return now.Sub(t.contact)
	}
	return t.storeAge(now)
}

// renew prolongs or creates the lease; it counts from sent, since the store counts from the call's arrival.
func (t *Tenure) renew(ctx context.Context, sent time.Time) bool {
	t.mu.Lock()
	lease, leaving := t.lease, t.leaving
	t.mu.Unlock()
	if leaving {
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if lease == 0 {
		granted, err := t.Store.Grant(callCtx, t.TTL)
		if err != nil {
			t.noteOnce("lease", err)
			return false
		}
		lease = granted
	} else if err := t.Store.Renew(callCtx, lease); err != nil {
		t.noteOnce("lease", err)
		if errors.Is(err, store.ErrLeaseExpired) {
			t.mu.Lock()
			t.lease, t.until, t.confirmed = 0, time.Time{}, time.Time{}
			t.mu.Unlock()
			t.expire(t.Clock())
		}
		return false
	}
	t.noteOnce("lease", nil)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lease, t.until, t.renewed = lease, sent.Add(t.TTL-safety), sent
	return true
}

// confirmDuties goes on holding duties while the store answers nobody: a successor waits for the time of a lease from its own
// beginning on, so that orders are safe for as long after all other nodes said that they hold none of these duties.
func (t *Tenure) confirmDuties(ctx context.Context) error {
	var asked time.Time
	for range interval.Each(ctx, confirmStep) {
		sent := t.Clock()
		if sent.Sub(asked) < confirmEvery {
			continue
		}
		q, others := t.unconfirmed(sent)
		if len(others) == 0 {
			continue
		}
		asked = sent
		if !t.confirm(ctx, q, others) {
			continue
		}
		t.mu.Lock()
		if t.lease != 0 && sent.Before(t.validUntil()) {
			t.confirmed = sent.Add(t.TTL - safety)
		}
		t.mu.Unlock()
	}
	return nil
}

// unconfirmed returns the question to all other nodes when the lease was not renewed lately.
func (t *Tenure) unconfirmed(now time.Time) (Question, []Member) {
	t.mu.Lock()
	recent := t.storeAge(now) < part(t.TTL, confirmAfter)
	t.mu.Unlock()
	if recent {
		return Question{}, nil
	}
	return t.question()
}

// question returns the question to all other nodes whether they know of newer holders of the node's duties.
func (t *Tenure) question() (Question, []Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	q := Question{From: t.Self.Node}
	if t.Ask == nil || t.leaving || len(t.held) == 0 {
		return q, nil
	}
	for name := range t.held {
		q.Duties = append(q.Duties, name)
	}
	var others []Member
	for node, m := range t.members {
		if node != t.Self.Node {
			others = append(others, m.Member)
		}
	}
	return q, others
}

// confirm reports whether all other nodes answered and none knows a newer holder.
func (t *Tenure) confirm(ctx context.Context, q Question, others []Member) bool {
	answers := make([]Status, len(others))
	group, groupCtx := errgroup.WithContext(ctx)
	for i, m := range others {
		group.Go(func() error {
			var err error
			answers[i], err = t.ask(groupCtx, m, q)
			return err
		})
	}
	if group.Wait() != nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range answers {
		for name, fence := range a.Fences {
			if h := t.held[name]; h != nil && fence > h.fence {
				t.drop(name, "another node holds the duty")
				return false
			}
		}
	}
	return true
}
