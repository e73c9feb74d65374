package leadership

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"verbenalanding.example/fleet/interval"
	"verbenalanding.example/fleet/store"
)

// acquireVacant acquires vacant duties once the nodes that rank before this one have had time to acquire them.
func (el *Elector) acquireVacant(ctx context.Context) error {
	for range interval.FromNow(ctx, acquireInterval) {
		var group errgroup.Group
		for name, fence := range el.dutiesToAcquire() {
			group.Go(func() error {
				el.acquireFormerlyHeld(ctx, name, fence)
				return nil
			})
		}
		_ = group.Wait()
	}
	return nil
}

// acquireFormerlyHeld acquires a vacant duty, and notifies the node that held it last: its key may have been deleted without its knowledge.
func (el *Elector) acquireFormerlyHeld(ctx context.Context, name string, expect uint64) {
	el.mu.Lock()
	former, known := el.formerHolders[name]
	el.mu.Unlock()
	fence, ok := el.acquire(ctx, name, expect, vacant)
	if !ok || !known || former.Node == el.Self.Node {
		return
	}
	el.group.Go(func() error {
		el.notifyFormer(ctx, former.Member, map[string]uint64{name: fence})
		return nil
	})
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

// acquire acquires a duty whose key has the expected fence, unless this node is doing so already. Meanwhile it confirms no former holder. If
// the store has certainly not carried the write out, it may confirm one again.
func (el *Elector) acquire(ctx context.Context, name string, expect uint64, reason takeoverReason) (fence uint64, ok bool) {
	el.mu.Lock()
	_, busy := el.acquiring[name]
	if !busy {
		el.acquiring[name] = 0
	}
	el.mu.Unlock()
	if busy {
		return 0, false
	}
	fence, ok, err := el.writeDuty(ctx, name, expect, reason)
	el.mu.Lock()
	defer el.mu.Unlock()
	if !errors.Is(err, store.ErrRefused) && !errors.Is(err, store.ErrConflict) {
		el.revoke(name, el.acquiring[name])
	}
	delete(el.acquiring, name)
	return fence, ok
}

// takeover is an attempt to take a duty.
type takeover struct {
	name   string
	expect uint64
	reason takeoverReason
	lease  store.LeaseID
	former Duty
	// record is the one of the former holder's witnesses, witnesses are those that the node names itself.
	record    witnessRecord
	witnesses []Member
	// unrevoked is the former holder if no witness of it has answered.
	unrevoked *formerHolder
}

// writeDuty writes the duty's key under the lease of this node if the key still has the expected fence.
func (el *Elector) writeDuty(ctx context.Context, name string, expect uint64, reason takeoverReason) (fence uint64, ok bool, err error) {
	el.mu.Lock()
	t := takeover{name: name, expect: expect, reason: reason, lease: el.lease, former: cmp.Or(el.duties[name], el.formerHolders[name]), record: el.records[name]}
	t.witnesses = el.witnesses(name, nil, t.record.Holder.Node)
	el.mu.Unlock()
	if t.lease == 0 {
		return 0, false, nil
	}
	if t.unrevoked, ok = el.revokeConfirmation(ctx, name, t.former, t.record, reason); !ok {
		return 0, false, nil
	}
	h, err := el.apply(ctx, &t)
	if err != nil {
		if !errors.Is(err, store.ErrConflict) {
			el.notifyTransition("taking "+name, err)
		}
		return 0, false, err
	}
	el.notifyTransition("taking "+name, nil)
	if !el.startDuty(ctx, name, h, t.lease) {
		return h.fence, false, nil
	}
	el.emit(Event{Kind: "duty taken", Duty: name, Fence: h.fence, Former: t.former, Reason: string(reason), Witnesses: nodeNames(t.witnesses)})
	return h.fence, true, nil
}

// apply writes the keys of a takeover.
func (el *Elector) apply(ctx context.Context, t *takeover) (*holding, error) {
	value, err := json.Marshal(el.Self)
	newRecord, recordErr := json.Marshal(witnessRecord{Holder: el.Self, Witnesses: t.witnesses, Former: t.unrevoked})
	if err = errors.Join(err, recordErr); err != nil {
		return nil, fmt.Errorf("take %s: %w", t.name, err)
	}
	sent := el.Clock()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	key, recordKey := Prefix+t.name, witnessPrefix+t.name
	revision, current, err := el.Store.Apply(ctx, store.Transaction{
		If:  []store.Condition{{Key: key, Revision: store.Revision(t.expect)}, {Key: recordKey, Revision: t.record.revision}},
		Put: []store.Write{{Key: key, Value: value, Lease: t.lease}, {Key: recordKey, Value: newRecord}},
	})
	if errors.Is(err, store.ErrConflict) {
		return el.adoptAttempt(t, sent, string(value), current)
	}
	if err != nil {
		return nil, err
	}
	return &holding{fence: uint64(revision), confirmedAt: sent, witnessed: witnessed{revision: revision, set: t.witnesses}, former: t.unrevoked}, nil
}

// adoptAttempt returns the duty that an earlier attempt of this incarnation has taken, whose answer was lost, as a conflict has shown. The record of
// that attempt is in the store, with its witnesses and perhaps a former holder that it had not revoked.
func (el *Elector) adoptAttempt(t *takeover, sent time.Time, value string, current []store.Entry) (*holding, error) {
	el.adoptRecords(t.name, current)
	for _, e := range current {
		if e.Key == Prefix+t.name && string(e.Value) == value && e.Lease == t.lease {
			return &holding{fence: uint64(e.Revision), confirmedAt: sent, former: t.unrevoked, recordUnknown: true}, nil
		}
	}
	return nil, store.ErrConflict
}

// startDuty starts the work of an acquired duty.
func (el *Elector) startDuty(ctx context.Context, name string, h *holding, lease store.LeaseID) bool {
	el.mu.Lock()
	defer el.mu.Unlock()
	fence := h.fence
	if el.leaving || el.lease != lease || el.held[name] != nil || el.duties[name].Fence > fence || el.revoked[name] >= fence {
		// This node may have promised to drop the duty before it knew that it holds it.
		return false
	}
	dutyCtx, cancel := context.WithCancelCause(ctx)
	h.cancel, h.done = cancel, make(chan struct{})
	el.held[name], el.holdersStale = h, true
	el.duties[name] = Duty{el.Self, fence}
	el.group.Go(func() error {
		defer close(h.done)
		err := el.settleTakeover(dutyCtx, name, h)
		if err == nil {
			err = el.OnAcquired(dutyCtx, name, fence)
		}
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
