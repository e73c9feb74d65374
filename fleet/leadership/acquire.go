package leadership

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"verbenalanding.example/fleet/interval"
	"verbenalanding.example/fleet/store"
)

// acquireVacant acquires vacant duties once the nodes that rank before this one have had time to acquire them.
func (el *Elector) acquireVacant(ctx context.Context) error {
	for range interval.FromNow(ctx, acquireInterval) {
		for name, fence := range el.dutiesToAcquire() {
			el.acquire(ctx, name, fence, vacant)
		}
	}
	return nil
}

// dutiesToAcquire returns the wanted duties that this node should acquire now, with the fences that their keys must have; 0 means no key.
func (el *Elector) dutiesToAcquire() map[string]uint64 {
	el.mu.Lock()
	defer el.mu.Unlock()
	now := el.Clock()
	if !el.synced || el.leaving || el.lease == 0 || !now.Before(el.leaseUntil) {
		return nil
	}
	fences := map[string]uint64{}
	for _, name := range el.wanted {
		if el.held[name] != nil || el.releasing == name {
			continue
		}
		d, held := el.duties[name]
		if held {
			if d.Node == el.Self.Node {
				// The holder is an earlier incarnation of this node, or this one before its lease expired.
				fences[name] = d.Fence
			}
			continue
		}
		since, ok := el.vacantSince[name]
		if !ok {
			el.vacantSince[name] = now
			since = now
		}
		if now.Sub(since) >= el.acquireDelay(name) && now.Sub(el.startedAt) >= settleTime {
			fences[name] = 0
		}
	}
	return fences
}

// acquireDelay returns how long the node leaves a vacant duty to the nodes that rank before it; the lock must be held.
func (el *Elector) acquireDelay(name string) time.Duration {
	return time.Duration(min(el.rank(name, ""), maxRank)) * rankDelay
}

// acquire writes the duty's key under the lease of this node if the key still has the expected fence.
func (el *Elector) acquire(ctx context.Context, name string, expect uint64, reason takeoverReason) (fence uint64, ok bool) {
	el.mu.Lock()
	lease, former := el.lease, cmp.Or(el.duties[name], el.formerHolders[name])
	el.mu.Unlock()
	sent := el.Clock()
	value, err := json.Marshal(el.Self)
	if err != nil || lease == 0 {
		el.notify("duty not taken", name, err)
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
		// The answer to an earlier attempt of this incarnation may have been lost.
		for _, e := range current {
			if e.Key == key && string(e.Value) == string(value) && e.Lease == lease {
				revision, err = e.Revision, nil
			}
		}
	}
	if err != nil {
		if !errors.Is(err, store.ErrConflict) {
			el.notifyTransition("taking "+name, err)
		}
		return 0, false
	}
	el.notifyTransition("taking "+name, nil)
	fence = uint64(revision)
	if !el.startDuty(ctx, name, fence, lease, sent) {
		return fence, false
	}
	el.emit(Event{Kind: "duty taken", Duty: name, Fence: fence, Former: former, Reason: string(reason)})
	return fence, true
}

// startDuty starts the work of an acquired duty; sent is when the call that acquired it was sent.
func (el *Elector) startDuty(ctx context.Context, name string, fence uint64, lease store.LeaseID, sent time.Time) bool {
	el.mu.Lock()
	defer el.mu.Unlock()
	if el.leaving || el.lease != lease || el.held[name] != nil || el.duties[name].Fence > fence {
		return false
	}
	dutyCtx, cancel := context.WithCancelCause(ctx)
	h := &holding{fence: fence, confirmedAt: sent, cancel: cancel, done: make(chan struct{})}
	el.held[name], el.holdersStale = h, true
	el.duties[name] = Duty{el.Self, fence}
	el.group.Go(func() error {
		defer close(h.done)
		err := el.OnAcquired(dutyCtx, name, fence)
		el.mu.Lock()
		defer el.mu.Unlock()
		if el.held[name] == h {
			delete(el.held, name)
		}
		if err != nil && !errors.Is(err, context.Canceled) && !errors.Is(err, ErrLost) && !errors.Is(err, ErrReleased) {
			el.notify("duty ended", name, fmt.Errorf("hold %s: %w", name, err))
		}
		return nil
	})
	return true
}
