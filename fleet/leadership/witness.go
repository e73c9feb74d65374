package leadership

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"verbenalanding.example/fleet/interval"
	"verbenalanding.example/fleet/store"
)

const (
	// witnessPrefix is the key prefix of the records of who confirms a duty while the store does not answer its holder.
	witnessPrefix = controlPrefix + "witnesses/"
	// witnessCount is the number of witnesses of a duty. All must agree for a confirmation; a successor needs one of them.
	witnessCount = standbyCount
	// witnessInterval is how often the witnesses of the held duties are compared with the registered nodes.
	witnessInterval = 250 * time.Millisecond
)

// witnessRecord names the holder of a duty and its witnesses. The holder may go on without the store only while all witnesses confirm it, and
// a successor begins only once one of them has promised to confirm it no more, or has ended, or once no worker takes orders of that holder. The
// record is under no lease, so that it outlives the keys of the holder.
type witnessRecord struct {
	Holder    Member   `json:"holder"`
	Witnesses []Member `json:"witnesses"`
	// Former is the holder before, while it may go on. The present holder has given no orders then.
	Former   *formerHolder `json:"former,omitempty"`
	revision store.Revision
}

// witnessed is what the holder of a duty knows of its witnesses.
type witnessed struct {
	// revision is that of the record with set as witnesses; 0 while the record is not known.
	revision store.Revision
	set      []Member
	// refused is true if a witness does not confirm the holder under this revision.
	refused bool
	// unanswered is the set of a write that was not answered: it may be in the store, or come into it as long as the record's revision
	// does not change.
	unanswered []Member
}

// all returns the nodes that must agree to a confirmation.
func (w *witnessed) all() []Member {
	list := slices.Clone(w.set)
	for _, m := range w.unanswered {
		if !slices.ContainsFunc(list, m.sameProcess) {
			list = append(list, m)
		}
	}
	return list
}

// usable reports whether each set that may be in the store names a witness: a successor needs no promise for one that names none.
func (w *witnessed) usable() bool {
	return w.revision != 0 && len(w.set) > 0 && (w.unanswered == nil || len(w.unanswered) > 0)
}

// adopt records that a set of witnesses is in the store.
func (w *witnessed) adopt(revision store.Revision, set []Member) {
	if revision > w.revision {
		w.revision, w.set, w.unanswered, w.refused = revision, set, nil, false
	}
}

// sameProcess reports whether two registrations are of the same incarnation of a node.
func (m Member) sameProcess(other Member) bool {
	return m.process() == other.process()
}

// witnesses returns the nodes that should confirm a duty of this node: those that are kept, then the ones that rank first. The lock must be
// held.
func (el *Elector) witnesses(name string, kept []Member, except string) []Member {
	if el.RequestStatus == nil {
		return nil
	}
	list := make([]Member, 0, witnessCount)
	for _, m := range kept {
		if el.members[m.Node].sameProcess(m) {
			list = append(list, m)
		}
	}
	for _, c := range el.candidates(name, el.Self.Node) {
		m := el.members[c.node].Member
		if len(list) < witnessCount && c.node != except && !slices.ContainsFunc(list, m.sameProcess) {
			list = append(list, m)
		}
	}
	return list
}

// setWitnesses updates the record of a duty's witnesses from a change in the store; the lock must be held.
func (el *Elector) setWitnesses(e store.Event, name string) {
	if e.Deleted {
		delete(el.records, name)
		return
	}
	if record, ok := el.decodeWitnesses(e.Entry, name); ok && record.revision > el.records[name].revision {
		el.records[name] = record
	}
}

// decodeWitnesses decodes a record; if this node holds the duty, it learns that the record is in the store. The lock must be held.
func (el *Elector) decodeWitnesses(entry store.Entry, name string) (witnessRecord, bool) {
	record := witnessRecord{revision: entry.Revision}
	if err := json.Unmarshal(entry.Value, &record); err != nil {
		el.notify("record of witnesses not decoded", name, err)
		return witnessRecord{}, false
	}
	if h := el.held[name]; h != nil && record.Holder.sameProcess(el.Self) && uint64(entry.Revision) >= h.fence {
		h.witnessed.adopt(entry.Revision, record.Witnesses)
	}
	return record, true
}

// maintainWitnesses replaces witnesses that are not registered any more, and records them anew when one of them refuses, while the store answers.
func (el *Elector) maintainWitnesses(ctx context.Context) error {
	var checkedAt time.Time
	for range interval.Each(ctx, witnessInterval) {
		// A witness that has promised a node not to confirm the holder, and was not told that this node has not taken the duty, confirms it
		// again once the record was written anew.
		if now := el.Clock(); now.Sub(checkedAt) >= el.TTL && el.StoreReachable() {
			checkedAt = now
			el.confirmWithWitnesses(ctx)
		}
		var group errgroup.Group
		for name, h := range el.dutiesWithoutWitnesses() {
			group.Go(func() error {
				// It is tried again after witnessInterval.
				_ = el.replaceWitnesses(ctx, name, h)
				return nil
			})
		}
		_ = group.Wait()
	}
	return nil
}

// dutiesWithoutWitnesses returns the held duties that lack a witness, or whose witnesses are not known to be in the store.
func (el *Elector) dutiesWithoutWitnesses() map[string]*holding {
	el.mu.Lock()
	defer el.mu.Unlock()
	due := map[string]*holding{}
	if el.leaving || !el.storeReachable(el.Clock()) {
		return due
	}
	for name, h := range el.held {
		w := &h.witnessed
		if w.refused || w.unanswered != nil || !slices.EqualFunc(w.set, el.witnesses(name, w.set, ""), Member.sameProcess) {
			due[name] = h
		}
	}
	return due
}

// replaceWitnesses writes the record of a held duty with witnesses that are registered. An unanswered write is repeated with the same set, so
// that at most two sets may be in the store.
func (el *Elector) replaceWitnesses(ctx context.Context, name string, h *holding) error {
	el.mu.Lock()
	w := &h.witnessed
	set, condition := w.unanswered, w.revision
	if set == nil {
		set = el.witnesses(name, w.set, "")
	}
	value, err := json.Marshal(witnessRecord{Holder: el.Self, Witnesses: set, Former: h.former})
	if err == nil {
		w.unanswered = set
	}
	el.mu.Unlock()
	if err != nil {
		el.notify("witnesses not replaced", name, err)
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	revision, current, err := el.Store.Apply(ctx, store.Transaction{
		If:  []store.Condition{{Key: Prefix + name, Revision: store.Revision(h.fence)}, {Key: witnessPrefix + name, Revision: condition}},
		Put: []store.Write{{Key: witnessPrefix + name, Value: value}},
	})
	if errors.Is(err, store.ErrConflict) {
		el.adoptRecords(name, current)
	}
	if err != nil {
		return err
	}
	el.mu.Lock()
	defer el.mu.Unlock()
	w.adopt(revision, set)
	return nil
}

// adoptRecords applies the record of a duty's witnesses that a conflict has shown.
func (el *Elector) adoptRecords(name string, current []store.Entry) {
	el.mu.Lock()
	defer el.mu.Unlock()
	for _, e := range current {
		if e.Key == witnessPrefix+name && e.Revision != 0 {
			el.setWitnesses(store.Event{Entry: e}, name)
		}
	}
}
