package leadership

import (
	"context"
	"errors"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"verbenalanding.example/fleet/store"
)

const (
	// unprovenAfter is how long a node waits before it counts the holder of a duty and its witnesses as ended although none of them answers, in
	// leases. refusedAfter applies instead while the machines of all of them refuse connections.
	unprovenAfter = 6
	refusedAfter  = 0.2
)

// revokeConfirmation makes sure that no confirmation of other nodes lets the former holder of a duty go on: from then on its orders end within a
// lease. That is so once a witness has promised to confirm it no more, or has ended, or the former holder has dropped the duty or ended. ok is also
// true if the duty may be taken without that; unrevoked is then the former holder, whose orders are to be fenced off first.
func (el *Elector) revokeConfirmation(ctx context.Context, name string, former Duty, record witnessRecord, reason takeoverReason) (unrevoked *formerHolder, ok bool) {
	if former.Fence > uint64(record.revision) {
		// A holder of an older version leaves the record of an earlier one in the store.
		return nil, true
	}
	record = record.ordering()
	if len(record.Witnesses) == 0 || el.wasSelf(record.Holder) || el.revokeOwn(name, record) || el.revokedByAnswer(ctx, name, record, reason) {
		return nil, true
	}
	if el.mayFence(ctx, name, record) {
		return el.formerHolder(name, record), true
	}
	return nil, false
}

// revokedByAnswer asks the witnesses of a former holder, and that holder, to confirm it no more, and reports whether one of them does so or all of
// them count as ended.
func (el *Elector) revokedByAnswer(ctx context.Context, name string, record witnessRecord, reason takeoverReason) bool {
	if el.RequestStatus == nil {
		return el.unprovenLongEnough(name, record, false)
	}
	revoked, refused := el.revokedByAny(ctx, name, record, record.Witnesses)
	if !revoked && (reason == vacant || reason == holderDisconnected) {
		// An answer of a holder that counts as lost for its silence would show that it need not be replaced.
		var holderRefused bool
		revoked, holderRefused = el.revokedByAny(ctx, name, record, []Member{record.Holder})
		refused = refused && holderRefused
	}
	if revoked {
		el.mu.Lock()
		defer el.mu.Unlock()
		delete(el.unproven, name)
		return true
	}
	return el.unprovenLongEnough(name, record, refused && reason != holderUnresponsive)
}

// wasSelf reports whether a registration is that of this node's process, or of one whose address this process has now, so that it has ended. A
// process of the same name at another address may still run.
func (el *Elector) wasSelf(m Member) bool {
	return m.sameProcess(el.Self) || (m.Node == el.Self.Node && m.Peer == el.Self.Peer)
}

// revokeOwn reports whether this node is a witness, or was one before it started again; it then confirms the holder no more.
func (el *Elector) revokeOwn(name string, record witnessRecord) bool {
	el.mu.Lock()
	defer el.mu.Unlock()
	if !slices.ContainsFunc(record.Witnesses, el.wasSelf) {
		return false
	}
	el.acquiring[name] = uint64(record.revision)
	return true
}

// revoke ends the confirmation of holders of a duty whose record of witnesses has at most the given revision; the lock must be held.
func (el *Elector) revoke(name string, revision uint64) {
	el.revoked[name] = max(el.revoked[name], revision)
	if h := el.held[name]; h != nil && h.fence <= revision {
		el.drop(name, "another node takes the duty")
	}
}

// revokedByAny asks nodes to confirm the former holder no more, and reports whether one of them does so or has ended, and whether all of them
// refuse connections.
func (el *Elector) revokedByAny(ctx context.Context, name string, record witnessRecord, nodes []Member) (revoked, refused bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	q := StatusRequest{From: el.Self.Node, Revoke: map[string]uint64{name: uint64(record.revision)}}
	type outcome struct{ revoked, refused bool }
	outcomes := make(chan outcome, len(nodes))
	var group errgroup.Group
	for _, m := range nodes {
		group.Go(func() error {
			asked := el.reachable(m)
			answer, err := el.requestStatus(ctx, asked, q)
			// Any other process at the witness's address shows that the witness has ended. A version that does not name its process is none.
			ended := answer.Session != "" && asked.Peer == m.Peer
			outcomes <- outcome{err == nil && (ended || answer.Session == m.Session), errors.Is(err, ErrNoProcess)}
			return nil
		})
	}
	refused = true
	for range nodes {
		o := <-outcomes
		if o.revoked {
			return true, false
		}
		refused = refused && o.refused
	}
	_ = group.Wait()
	return false, refused
}

// reachable returns a node with the address of its registration, or the one in the record if that process is not registered.
func (el *Elector) reachable(m Member) Member {
	el.mu.Lock()
	defer el.mu.Unlock()
	if registered := el.members[m.Node]; registered.sameProcess(m) {
		return registered.Member
	}
	return m
}

// unproven is since when a duty could not be taken because neither a witness nor its former holder answers, since when all of them have refused
// connections, and when that was last tried.
type unproven struct {
	revision                   store.Revision
	since, refusedSince, tried time.Time
}

// unprovenLongEnough reports whether neither a witness nor the former holder has answered for so long that all of them count as ended.
func (el *Elector) unprovenLongEnough(name string, record witnessRecord, refused bool) bool {
	el.mu.Lock()
	defer el.mu.Unlock()
	now := el.Clock()
	u := el.unproven[name]
	if u.revision != record.revision || now.Sub(u.tried) > el.TTL {
		u = unproven{revision: record.revision, since: now}
		el.notify("duty not taken: no witness of its holder answers", name, nil)
	}
	u.tried = now
	switch {
	case !refused:
		u.refusedSince = time.Time{}
	case u.refusedSince.IsZero():
		u.refusedSince = now
	}
	el.unproven[name] = u
	goneForGood := !u.refusedSince.IsZero() && now.Sub(u.refusedSince) >= fraction(el.TTL, refusedAfter)
	if !goneForGood && now.Sub(u.since) < unprovenAfter*el.TTL {
		return false
	}
	el.notify("duty taken without an answer of a witness", name, nil)
	return true
}
