package tenure

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"verbenalanding.example/fleet/interval"
	"verbenalanding.example/fleet/store"
)

func (t *Tenure) takeVacant(ctx context.Context) error {
	for range interval.FromNow(ctx, stepEvery) {
		for name, fence := range t.due() {
			t.take(ctx, name, fence)
		}
	}
	return nil
}

// due returns the wanted duties that this node should take now, with the fences that their keys must have.
func (t *Tenure) due() map[string]uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock()
	if !t.listed || t.leaving || t.lease == 0 || !now.Before(t.until) {
		return nil
	}
	duties := map[string]uint64{}
	for _, name := range t.wanted {
		if t.held[name] != nil || t.releasing == name {
			continue
		}
		d, taken := t.seen[name]
		if taken {
			if d.Node == t.Self.Node {
				// The holder was an earlier life of this node, or this one before its lease ended.
				duties[name] = d.Fence
			}
			continue
		}
		since, ok := t.vacant[name]
		if !ok {
			t.vacant[name] = now
			since = now
		}
		if now.Sub(since) >= t.delay(name) && now.Sub(t.began) >= settleTime {
			duties[name] = 0
		}
	}
	return duties
}

// delay is how long the node leaves a vacant duty to those that come before it; the lock must be held.
func (t *Tenure) delay(name string) time.Duration {
	return time.Duration(min(t.place(name, ""), lastRank)) * rankDelay
}

// take writes the duty's key under the lease of this node.
func (t *Tenure) take(ctx context.Context, name string, expect uint64) (fence uint64, ok bool) {
	t.mu.Lock()
	lease := t.lease
	t.mu.Unlock()
	sent := t.Clock()
	value, err := json.Marshal(t.Self)
	if err != nil || lease == 0 {
		t.note("duty not taken", name, err)
		return 0, false
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	key := Prefix + name
	revision, current, err := t.Store.Apply(callCtx, store.Transaction{
		If:  []store.Condition{{Key: key, Revision: store.Revision(expect)}},
		Put: []store.Write{{Key: key, Value: value, Lease: lease}},
	})
	if errors.Is(err, store.ErrConflict) {
		// The answer to an earlier attempt of this life may have been lost.
		for _, e := range current {
			if e.Key == key && string(e.Value) == string(value) && e.Lease == lease {
				revision, err = e.Revision, nil
			}
		}
	}
	if err != nil {
		if !errors.Is(err, store.ErrConflict) {
			t.noteOnce("taking "+name, err)
		}
		return 0, false
	}
	t.noteOnce("taking "+name, nil)
	return uint64(revision), t.begin(ctx, name, uint64(revision), lease, sent)
}

// begin starts the work of a duty that was taken by a call that was sent at a time.
func (t *Tenure) begin(ctx context.Context, name string, fence uint64, lease store.LeaseID, sent time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.leaving || t.lease != lease || t.held[name] != nil || t.seen[name].Fence > fence {
		return false
	}
	dutyCtx, cancel := context.WithCancelCause(ctx)
	h := &holding{fence: fence, proven: sent, cancel: cancel, done: make(chan struct{})}
	t.held[name], t.stale = h, true
	t.seen[name] = Duty{t.Self, fence}
	t.note("duty taken", name, nil)
	t.group.Go(func() error {
		defer close(h.done)
		err := t.Gained(dutyCtx, name, fence)
		t.mu.Lock()
		defer t.mu.Unlock()
		if t.held[name] == h {
			delete(t.held, name)
		}
		if err != nil && !errors.Is(err, context.Canceled) && !errors.Is(err, ErrLost) && !errors.Is(err, ErrLeaving) {
			t.note("duty ended", name, fmt.Errorf("hold %s: %w", name, err))
		}
		return nil
	})
	return true
}
