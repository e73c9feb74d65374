package node

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"verbenalanding.example/fleet/store"
	"verbenalanding.example/fleet/workload"
)

// cancel records a cancellation request in the store; the pool's holder carries it out.
func (n *Node) cancel(ctx context.Context, w http.ResponseWriter, q *workload.Queue, id string, from caller) int {
	for attempt := 1; ; attempt++ {
		if runsIn, status, answered := n.tryCancel(ctx, q, id, from, attempt); answered {
			n.Log.Info().Str("job", id).Str("pool", runsIn).Int("status", status).Msg("cancellation requested")
			if status == http.StatusOK {
				n.notifyHolder(notice{pool: runsIn, method: methodCancelled, params: poolItem{Pool: runsIn, Name: id}, local: func(p *pool) { p.cancelJob(id) }})
				n.answerJSON(w, []byte("{}"))
			} else {
				n.refuse(w, status, "no such job")
			}
			return status
		}
		if !waitRetry(ctx) {
			n.Log.Warn().Str("job", id).Msg("cancellation not recorded in time")
			n.refuse(w, http.StatusGatewayTimeout, "the store has not answered")
			return http.StatusGatewayTimeout
		}
	}
}

// tryCancel attempts once to record the request in the pool in which the job runs; it returns that pool and the status of the response, or
// false if the store has not answered. A job of another workspace than the caller's is left alone and answered like an unknown one.
func (n *Node) tryCancel(ctx context.Context, q *workload.Queue, id string, from caller, attempt int) (runsIn string, status int, answered bool) {
	st := n.storeFor(attempt)
	outcome := n.tryCancelIn(ctx, st, q.Pool, id, from, attempt)
	if outcome == cancelRecorded || outcome == cancelUnanswered {
		return q.Pool, outcome.status(), outcome.answered()
	}
	accepted, err := n.acceptanceOf(ctx, st, q, id, attempt)
	switch {
	case errors.Is(err, store.ErrNotFound) && outcome == cancelForbidden, err == nil && !from.mayAccess(accepted.Workspace):
		// While a job of another workspace has the id, no unanswered write can store the caller's.
		return q.Pool, http.StatusGone, true
	case errors.Is(err, store.ErrNotFound):
		return q.Pool, http.StatusGone, n.preventAcceptance(ctx, st, q, id, attempt)
	case err != nil:
		return q.Pool, 0, false
	case accepted.Cancelled:
		return q.Pool, http.StatusGone, true
	}
	// The queue was moved after the job was accepted.
	outcome = n.tryCancelIn(ctx, st, accepted.Pool, id, from, attempt)
	return accepted.Pool, outcome.status(), outcome.answered()
}

// preventAcceptance marks an id as cancelled, so that no unanswered write can still store a job with it, and reports whether that is certain. Without
// the mark the answer that there is no such job could become false, and the job would run although its caller has cancelled it. The mark is under no
// lease: the store may take a node's keys away at any time.
func (n *Node) preventAcceptance(ctx context.Context, st storeAccess, q *workload.Queue, id string, attempt int) bool {
	ctx, cancel := context.WithTimeout(ctx, n.StoreTimeout.forAttempt(attempt))
	defer cancel()
	value, err := json.Marshal(acceptance{Cancelled: true})
	if err != nil {
		n.Log.Error().Str("job", id).Err(err).Msg("cancelled id cannot be encoded")
		return false
	}
	key := acceptedKey(q.Key, id)
	_, _, err = st.Apply(ctx, store.Transaction{
		If:  []store.Condition{{Key: key}, {Key: jobKey(q.Pool, id)}},
		Put: []store.Write{{Key: key, Value: value}, {Key: cancelledKey(q.Pool, q.Key, id), Value: []byte("{}")}},
	})
	return err == nil
}

// cancelOutcome is the outcome of an attempt to record a cancellation in a pool.
type cancelOutcome int

const (
	// cancelUnanswered means that the store has not answered.
	cancelUnanswered cancelOutcome = iota
	cancelRecorded
	// cancelNoJob means that the pool has no job with the id, cancelForbidden that the one with it is of another workspace than the caller's.
	cancelNoJob
	cancelForbidden
)

func (o cancelOutcome) answered() bool { return o != cancelUnanswered }

// status returns the status of the response; 0 without an answer of the store. A job of another workspace is answered like an unknown one.
func (o cancelOutcome) status() int {
	switch o {
	case cancelRecorded:
		return http.StatusOK
	case cancelNoJob, cancelForbidden:
		return http.StatusGone
	case cancelUnanswered:
	}
	return 0
}

// tryCancelIn attempts once to record the request in a pool.
func (n *Node) tryCancelIn(ctx context.Context, st storeAccess, pool, id string, from caller, attempt int) cancelOutcome {
	// One attempt consists of a read and a write.
	ctx, cancel := context.WithTimeout(ctx, 2*n.StoreTimeout.forAttempt(attempt))
	defer cancel()
	entry, err := st.Get(ctx, jobKey(pool, id))
	if errors.Is(err, store.ErrNotFound) {
		return cancelNoJob
	}
	if err != nil {
		return cancelUnanswered
	}
	if !from.mayAccess(storedWorkspace(entry)) {
		return cancelForbidden
	}
	_, _, err = st.Apply(ctx, store.Transaction{
		If:  []store.Condition{{Key: entry.Key, Revision: entry.Revision}, {Key: cancelKey(pool, id)}},
		Put: []store.Write{{Key: cancelKey(pool, id), Value: []byte("{}")}},
	})
	if err == nil || errors.Is(err, store.ErrConflict) {
		// The job's own key never changes, so a conflict means that the cancellation was already recorded.
		return cancelRecorded
	}
	return cancelUnanswered
}
