package leadership

import (
	"context"
	"slices"
	"time"

	"verbenalanding.example/fleet/interval"
	"verbenalanding.example/fleet/store"
)

const (
	// fenceAfter is how long a node waits for the answer of a witness before it takes the duty without one, in leases, so that a node that
	// reaches a witness takes it first.
	fenceAfter = 0.4
	// fenceInterval is how often the workers of a duty are sent its fencing token until all have answered.
	fenceInterval = 200 * time.Millisecond
)

// formerHolder is a former holder of a duty that its witnesses may still confirm. It can give no orders once each worker that it may order has
// received a newer fencing token. Until then its successor prolongs no lease, since the former holder would take the run of a worker that it does
// not reach for ended, and start the task again on a worker that the successor does not reach.
type formerHolder struct {
	Holder    Member   `json:"holder"`
	Witnesses []Member `json:"witnesses"`
	// revision is that of the record that named the witnesses.
	revision store.Revision
	// endsAt is when the former holder and its witnesses count as ended although none of them has answered.
	endsAt time.Time
}

// ordering returns the record of the last holder that may have given orders.
func (r witnessRecord) ordering() witnessRecord {
	if r.Former == nil {
		return r
	}
	return witnessRecord{Holder: r.Former.Holder, Witnesses: r.Former.Witnesses, revision: r.revision}
}

// mayFence reports whether a duty may be taken although its former holder may be confirmed: no witness has answered for some time, and all workers
// answer this node.
func (el *Elector) mayFence(ctx context.Context, name string, record witnessRecord) bool {
	el.mu.Lock()
	u := el.unproven[name]
	waited := u.revision == record.revision && el.Clock().Sub(u.since) >= fraction(el.TTL, fenceAfter)
	el.mu.Unlock()
	if el.FenceWorkers == nil || !waited {
		return false
	}
	if err := el.FenceWorkers(ctx, name, 0); err != nil {
		el.notify("duty not taken: not all workers answer", name, err)
		return false
	}
	return true
}

// formerHolder returns the holder that a record names, with the time at which it counts as ended.
func (el *Elector) formerHolder(name string, record witnessRecord) *formerHolder {
	el.mu.Lock()
	defer el.mu.Unlock()
	return &formerHolder{Holder: record.Holder, Witnesses: record.Witnesses, revision: record.revision, endsAt: el.unproven[name].since.Add(unprovenAfter * el.TTL)}
}

// settleTakeover waits until the former holder of a duty that was taken without an answer of its witnesses can give no orders, and records that. Then
// the work of the duty may begin: the record must not name a former holder any more, since the successor would not ask the witnesses of this one.
func (el *Elector) settleTakeover(ctx context.Context, name string, h *holding) error {
	el.mu.Lock()
	former, recorded := h.former, !h.recordUnknown
	el.mu.Unlock()
	if former == nil && recorded {
		return nil
	}
	for former != nil && !el.isFenced(ctx, name, h.fence, former) {
		if !interval.Wait(ctx, fenceInterval) {
			return context.Cause(ctx)
		}
	}
	el.mu.Lock()
	h.former = nil
	el.mu.Unlock()
	for el.replaceWitnesses(ctx, name, h) != nil {
		if !interval.Wait(ctx, fenceInterval) {
			return context.Cause(ctx)
		}
	}
	return nil
}

// isFenced reports whether a former holder can give no orders any more, or counts as ended.
func (el *Elector) isFenced(ctx context.Context, name string, fence uint64, former *formerHolder) bool {
	err := el.FenceWorkers(ctx, name, fence)
	if err == nil {
		el.notify("all workers have received the fencing token", name, nil)
		return true
	}
	el.notify("workers have not received the fencing token", name, err)
	record := witnessRecord{Holder: former.Holder, Witnesses: former.Witnesses, revision: former.revision}
	revoked, _ := el.revokedByAny(ctx, name, record, append(slices.Clone(former.Witnesses), former.Holder))
	return revoked || !el.Clock().Before(former.endsAt)
}
