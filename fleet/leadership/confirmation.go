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
	// proofDue is the age of a proof, as a part of a lease, from which on a duty's key is read; acknowledged writes keep proofs younger.
	proofDue = 0.2
	// readAgain is the part of a lease after which a read that has brought no proof is followed by the next one, readSoon the one after which
	// that is done once the proof is older than proofOld: with each fifth read lost, no proof comes in time once in some ten million times.
	readAgain = 0.1
	readSoon  = 0.04
	proofOld  = 0.5
	// proofStep is how often, as a part of a lease, the ages of proofs are looked at.
	proofStep = 0.02
)

// provenUntil is when orders for a duty end that the store has not shown as held since, by its key or by the other nodes' answers; the lock
// must be held. The lease alone does not show it: a guard takes the key of a holder whose lease still lasts and is renewed.
func (el *Elector) provenUntil(h *holding) time.Time {
	until := h.proven.Add(el.TTL - safety)
	if el.confirmed.After(until) {
		return el.confirmed
	}
	return until
}

// keepProven reads the keys of the held duties again and again, since the watch that tells of a loss may be deaf.
func (el *Elector) keepProven(ctx context.Context) error {
	for range interval.Each(ctx, part(el.TTL, proofStep)) {
		for name, h := range el.unproven() {
			el.group.Go(func() error {
				// A read without answer is repeated before its own end.
				_ = el.readDuty(ctx, name, h)
				return nil
			})
		}
	}
	return nil
}

// unproven returns the held duties whose keys must be read now.
func (el *Elector) unproven() map[string]*holding {
	el.mu.Lock()
	defer el.mu.Unlock()
	now := el.Clock()
	due := map[string]*holding{}
	for name, h := range el.held {
		if h.readDue(now, el.TTL) || el.pauseReadDue(now, h) {
			h.asked = now
			due[name] = h
		}
	}
	return due
}

// readDue reports whether a duty's key must be read. A proof that is older than a lease is one of a store that answers nobody.
func (h *holding) readDue(now time.Time, ttl time.Duration) bool {
	age, asked := now.Sub(h.proven), now.Sub(h.asked)
	switch {
	case age < part(ttl, proofDue):
		return false
	case age < part(ttl, proofOld):
		return asked >= part(ttl, readAgain)
	case age < ttl:
		return asked >= part(ttl, readSoon)
	}
	return asked >= part(ttl, proofDue)
}

// pauseReadDue reports whether a duty's key must be read since it is not proven since a pause; the lock must be held.
func (el *Elector) pauseReadDue(now time.Time, h *holding) bool {
	return !el.provenSincePause(h) && now.Sub(el.woke) < el.TTL && now.Sub(h.asked) >= part(el.TTL, readSoon)
}

// readDuties reads the keys of the held duties and drops those that are another node's; it reports false when the store did not answer
// for each of them.
func (el *Elector) readDuties(ctx context.Context) bool {
	el.mu.Lock()
	holdings := maps.Clone(el.held)
	for _, h := range holdings {
		h.asked = el.Clock()
	}
	el.mu.Unlock()
	var group errgroup.Group
	for name, h := range holdings {
		group.Go(func() error { return el.readDuty(ctx, name, h) })
	}
	return group.Wait() == nil
}

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
		h.prove(sent)
	default:
		el.drop(name, "duty taken away")
	}
	return nil
}

// prove takes note that a call which was sent at a time showed the duty as held; answers may come in another order than their calls.
func (h *holding) prove(sent time.Time) {
	if sent.After(h.proven) {
		h.proven = sent
	}
}
