package leadership

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"verbenalanding.example/fleet/interval"
	"verbenalanding.example/fleet/store"
)

func (el *Elector) takeVacant(ctx context.Context) error {
	for range interval.FromNow(ctx, stepEvery) {
		for name, fence := range el.due() {
			el.take(ctx, name, fence)
		}
	}
	return nil
}

// due returns the wanted duties that this node should take now, with the fences that their keys must have.
func (el *Elector) due() map[string]uint64 {
	el.mu.Lock()
	defer el.mu.Unlock()
	now := el.Clock()
	if !el.listed || el.leaving || el.lease == 0 || !now.Before(el.until) {
		return nil
	}
	duties := map[string]uint64{}
	for _, name := range el.wanted {
		if el.held[name] != nil || el.releasing == name {
			continue
		}
		d, taken := el.seen[name]
		if taken {
			if d.Node == el.Self.Node {
				// The holder was an earlier life of this node, or this one before its lease ended.
				duties[name] = d.Fence
			}
			continue
		}
		since, ok := el.vacant[name]
		if !ok {
			el.vacant[name] = now
			since = now
		}
		if now.Sub(since) >= el.delay(name) && now.Sub(el.began) >= settleTime {
			duties[name] = 0
		}
	}
	return duties
}

// delay is how long the node leaves a vacant duty to those that come before it; the lock must be held.
func (el *Elector) delay(name string) time.Duration {
	return time.Duration(min(el.place(name, ""), lastRank)) * rankDelay
}

// take writes the duty's key under the lease of this node.
func (el *Elector) take(ctx context.Context, name string, expect uint64) (fence uint64, ok bool) {
	el.mu.Lock()
	lease := el.lease
	el.mu.Unlock()
	sent := el.Clock()
	value, err := json.Marshal(el.Self)
	if err != nil || lease == 0 {
		el.note("duty not taken", name, err)
		return 0, false
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	key := Prefix + name
	revision, current, err := el.Store.Apply(callCtx, store.Transaction{
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
			el.noteOnce("taking "+name, err)
		}
		return 0, false
	}
	el.noteOnce("taking "+name, nil)
	return uint64(revision), el.begin(ctx, name, uint64(revision), lease, sent)
}

// begin starts the work of a duty that was taken by a call that was sent at a time.
func (el *Elector) begin(ctx context.Context, name string, fence uint64, lease store.LeaseID, sent time.Time) bool {
	el.mu.Lock()
	defer el.mu.Unlock()
	if el.leaving || el.lease != lease || el.held[name] != nil || el.seen[name].Fence > fence {
		return false
	}
	dutyCtx, cancel := context.WithCancelCause(ctx)
	h := &holding{fence: fence, proven: sent, cancel: cancel, done: make(chan struct{})}
	el.held[name], el.stale = h, true
	el.seen[name] = Duty{el.Self, fence}
	el.note("duty taken", name, nil)
	el.group.Go(func() error {
		defer close(h.done)
		err := el.OnAcquired(dutyCtx, name, fence)
		el.mu.Lock()
		defer el.mu.Unlock()
		if el.held[name] == h {
			delete(el.held, name)
		}
		if err != nil && !errors.Is(err, context.Canceled) && !errors.Is(err, ErrLost) && !errors.Is(err, ErrLeaving) {
			el.note("duty ended", name, fmt.Errorf("hold %s: %w", name, err))
		}
		return nil
	})
	return true
}
