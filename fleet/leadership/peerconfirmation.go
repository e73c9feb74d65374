package leadership

import (
	"context"
	"maps"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"
)

// process identifies an incarnation of a node.
type process struct{ node, session string }

func (m Member) process() process { return process{m.Node, m.Session} }

// witnessQuery is a request to one witness to confirm the duties of which it is a witness.
type witnessQuery struct {
	witness Member
	request StatusRequest
	// fences holds the fences with which the duties were held when the request was made.
	fences map[string]uint64
	answer Status
	err    error
}

// confirmWithWitnesses asks the witnesses of all held duties, and records the confirmation of each duty to which all of its witnesses agree.
func (el *Elector) confirmWithWitnesses(ctx context.Context) {
	sent := el.Clock()
	queries := el.witnessQueries()
	if len(queries) == 0 {
		return
	}
	var group errgroup.Group
	for _, q := range queries {
		group.Go(func() error {
			q.answer, q.err = el.requestStatus(ctx, el.reachable(q.witness), q.request)
			return nil
		})
	}
	_ = group.Wait()
	confirmed := el.applyConfirmations(queries, sent)
	if el.renewedRecently(sent) {
		return
	}
	kind := "duties confirmed by other nodes"
	if !confirmed {
		kind = "duties not confirmed by other nodes"
	}
	el.notifyConfirmation(kind, queries)
}

// witnessQueries returns the requests that confirm the held duties, one for each witness.
func (el *Elector) witnessQueries() map[process]*witnessQuery {
	el.mu.Lock()
	defer el.mu.Unlock()
	queries := map[process]*witnessQuery{}
	if el.RequestStatus == nil || el.leaving {
		return queries
	}
	for name, h := range el.held {
		for _, m := range h.witnessed.all() {
			q := queries[m.process()]
			if q == nil {
				q = &witnessQuery{witness: m, request: StatusRequest{From: el.Self.Node, Held: map[string]uint64{}}, fences: map[string]uint64{}}
				queries[m.process()] = q
			}
			q.request.Duties = append(q.request.Duties, name)
			q.request.Held[name] = uint64(h.witnessed.revision)
			q.fences[name] = h.fence
		}
	}
	return queries
}

// applyConfirmations records which duties were confirmed, drops those of which a witness knows that they are lost, and reports whether all held
// duties were confirmed. A duty that expired while the answers were awaited stays lost.
func (el *Elector) applyConfirmations(queries map[process]*witnessQuery, sent time.Time) bool {
	el.mu.Lock()
	defer el.mu.Unlock()
	all := true
	for _, name := range slices.Collect(maps.Keys(el.held)) {
		h := el.held[name]
		if el.dropIfLost(name, h, queries) {
			continue
		}
		h.noteRefusals(name, queries)
		confirmed := el.lease != 0 && sent.Before(el.validUntil(h)) && h.agreedBy(name, queries)
		if confirmed && sent.After(h.peersConfirmedAt) {
			h.peersConfirmedAt = sent
		}
		all = all && confirmed
	}
	return all
}

// dropIfLost drops a duty of which a witness knows a newer holder, or that its key was deleted; the lock must be held.
func (el *Elector) dropIfLost(name string, h *holding, queries map[process]*witnessQuery) bool {
	for _, q := range queries {
		if q.err == nil && q.fences[name] == h.fence && q.answer.Fences[name] > h.fence {
			el.drop(name, "another node holds the duty")
			return true
		}
	}
	return false
}

// noteRefusals records that a witness refuses under the present record; the lock must be held.
func (h *holding) noteRefusals(name string, queries map[process]*witnessQuery) {
	for _, q := range queries {
		if q.err == nil && q.request.Held[name] == uint64(h.witnessed.revision) && slices.Contains(q.answer.Refused, name) {
			h.witnessed.refused = true
		}
	}
}

// agreedBy reports whether all witnesses of a duty confirmed it. A witness that has started again does not: its earlier incarnation may have
// promised not to, or may have been the successor.
func (h *holding) agreedBy(name string, queries map[process]*witnessQuery) bool {
	if !h.witnessed.usable() {
		return false
	}
	for _, m := range h.witnessed.all() {
		q := queries[m.process()]
		if q == nil || q.err != nil || q.request.Held[name] != uint64(h.witnessed.revision) || q.answer.Session != m.Session || slices.Contains(q.answer.Refused, name) {
			return false
		}
	}
	return true
}
