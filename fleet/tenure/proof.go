package tenure

import (
	"context"
	"errors"
	"maps"
	"time"

	"golang.org/x/sync/errgroup"

	"verbenalanding.example/fleet/interval"
	"verbenalanding.example/fleet/store"
)

// proofs is how many reads of a held duty's key fit into a lease.
const proofs = 5

// provenUntil is when orders for a duty end that the store has not shown as held since, by its key or by the other nodes' answers; the lock
// must be held. The lease alone does not show it: a guard takes the key of a holder whose lease still lasts and is renewed.
func (t *Tenure) provenUntil(h *holding) time.Time {
	until := h.proven.Add(t.TTL - safety)
	if t.confirmed.After(until) {
		return t.confirmed
	}
	return until
}

// keepProven reads the keys of the held duties again and again, since the watch that tells of a loss may be deaf.
func (t *Tenure) keepProven(ctx context.Context) error {
	for range interval.Each(ctx, t.TTL/proofs) {
		t.readDuties(ctx)
	}
	return nil
}

// proveDuties reports whether the store, or all other nodes while it does not answer, have told which of the duties are held; the others
// are dropped.
func (t *Tenure) proveDuties(ctx context.Context) bool {
	if t.readDuties(ctx) {
		return true
	}
	q, others := t.question()
	return len(others) > 0 && t.confirm(ctx, q, others)
}

// readDuties reads the keys of the held duties and drops those that are another node's; it reports false when the store did not answer
// for each of them.
func (t *Tenure) readDuties(ctx context.Context) bool {
	t.mu.Lock()
	holdings := maps.Clone(t.held)
	t.mu.Unlock()
	var group errgroup.Group
	for name, h := range holdings {
		group.Go(func() error { return t.readDuty(ctx, name, h) })
	}
	return group.Wait() == nil
}

func (t *Tenure) readDuty(ctx context.Context, name string, h *holding) error {
	sent := t.Clock()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	entry, err := t.Store.Get(ctx, Prefix+name)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.held[name] != h:
	case err == nil && uint64(entry.Revision) == h.fence:
		h.proven = sent
	default:
		t.drop(name, "duty taken away")
	}
	return nil
}
