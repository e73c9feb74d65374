package leadership

import (
	"context"
	"errors"
	"maps"
	"time"

	"golang.org/x/sync/errgroup"

	"verbenalanding.example/fleet/interval"
	"verbenalanding.example/fleet/store"
)

const (
	// readAfter is the age of a confirmation, as a fraction of the lease, after which a duty's key is read. Acknowledged writes renew
	// confirmations before that.
	readAfter = 0.2
	// readInterval is the fraction of the lease after which a read that has not confirmed the duty is repeated; urgentReadInterval applies
	// instead once the confirmation is older than urgentAfter. If every fifth read is lost, a confirmation comes too late about once in
	// ten million times.
	readInterval       = 0.1
	urgentReadInterval = 0.04
	urgentAfter        = 0.5
	// readCheckInterval is how often, as a fraction of the lease, the ages of confirmations are checked.
	readCheckInterval = 0.02
)

// confirmedUntil returns the time until which the last confirmation of the store or the witnesses permits orders for a duty; the lock must be
// held. The lease alone is no confirmation: a standby may take over from a holder whose lease is still valid and renewed.
func (el *Elector) confirmedUntil(h *holding) time.Time {
	return h.lastConfirmation().At.Add(el.TTL - safety)
}

// lastConfirmation returns the latest confirmation of the duty; the lock must be held.
func (h *holding) lastConfirmation() Confirmation {
	if h.peersConfirmedAt.After(h.confirmedAt) {
		return Confirmation{At: h.peersConfirmedAt, By: ConfirmedByNodes}
	}
	return Confirmation{At: h.confirmedAt, By: ConfirmedByStore}
}

// maintainConfirmations reads the keys of the held duties regularly, since the watch that reports a loss may receive nothing.
func (el *Elector) maintainConfirmations(ctx context.Context) error {
	for range interval.Each(ctx, fraction(el.TTL, readCheckInterval)) {
		for name, h := range el.dutiesToRead() {
			el.group.Go(func() error {
				// A read that is not answered is repeated before it times out.
				_ = el.readDuty(ctx, name, h)
				return nil
			})
		}
	}
	return nil
}

// dutiesToRead returns the held duties whose keys must be read now.
func (el *Elector) dutiesToRead() map[string]*holding {
	el.mu.Lock()
	defer el.mu.Unlock()
	now := el.Clock()
	due := map[string]*holding{}
	for name, h := range el.held {
		if h.readDue(now, el.TTL) || el.pauseReadDue(now, h) {
			h.readAt = now
			due[name] = h
		}
	}
	return due
}

// readDue reports whether a duty's key must be read. A confirmation older than a lease means that the store answers no calls; the key is
// then read less often.
func (h *holding) readDue(now time.Time, ttl time.Duration) bool {
	age, sinceRead := now.Sub(h.confirmedAt), now.Sub(h.readAt)
	switch {
	case age < fraction(ttl, readAfter):
		return false
	case age < fraction(ttl, urgentAfter):
		return sinceRead >= fraction(ttl, readInterval)
	case age < ttl:
		return sinceRead >= fraction(ttl, urgentReadInterval)
	}
	return sinceRead >= fraction(ttl, readAfter)
}

// pauseReadDue reports whether a duty's key must be read because the duty has not been confirmed since a pause; the lock must be held.
func (el *Elector) pauseReadDue(now time.Time, h *holding) bool {
	return !el.confirmedSincePause(h) && now.Sub(el.resumedAt) < el.TTL && now.Sub(h.readAt) >= fraction(el.TTL, urgentReadInterval)
}

// RequestConfirmation reads the key of a held duty soon, since something waits for a confirmation that is younger than now.
func (el *Elector) RequestConfirmation(ctx context.Context, name string, fence uint64) {
	el.mu.Lock()
	defer el.mu.Unlock()
	h, now := el.held[name], el.Clock()
	if h == nil || h.fence != fence || now.Sub(h.readAt) < fraction(el.TTL, urgentReadInterval) {
		return
	}
	h.readAt = now
	el.group.Go(func() error {
		// A read that is not answered is repeated with the next request.
		_ = el.readDuty(ctx, name, h)
		return nil
	})
}

// readDuties reads the keys of the held duties and drops those that another node holds; it reports whether the store answered all reads.
func (el *Elector) readDuties(ctx context.Context) bool {
	el.mu.Lock()
	holdings := maps.Clone(el.held)
	for _, h := range holdings {
		h.readAt = el.Clock()
	}
	el.mu.Unlock()
	var group errgroup.Group
	for name, h := range holdings {
		group.Go(func() error { return el.readDuty(ctx, name, h) })
	}
	return group.Wait() == nil
}

// readDuty reads a duty's key and confirms the duty, or drops it when another node holds it.
func (el *Elector) readDuty(ctx context.Context, name string, h *holding) error {
	sent := el.Clock()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entry, err := el.Store.Get(ctx, Prefix+name)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return err
	}
	el.mu.Lock()
	defer el.mu.Unlock()
	switch {
	case el.held[name] != h:
	case err == nil && uint64(entry.Revision) == h.fence:
		h.markConfirmed(sent)
	default:
		el.drop(name, "duty key deleted or taken over")
	}
	return nil
}

// markConfirmed records a confirmation by a call that was sent at the given time; answers may arrive in another order than the calls.
func (h *holding) markConfirmed(sent time.Time) {
	if sent.After(h.confirmedAt) {
		h.confirmedAt = sent
	}
}
