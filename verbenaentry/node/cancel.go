package node

import (
	"context"
	"errors"
	"net/http"

	"verbenalanding.example/fleet/store"
	"verbenalanding.example/fleet/workload"
)

// cancel records a cancellation request in the store; the pool's holder carries it out.
func (n *Node) cancel(ctx context.Context, w http.ResponseWriter, q *workload.Queue, id string) int {
	for attempt := 1; ; attempt++ {
		if runsIn, status, answered := n.tryCancel(ctx, q, id, attempt); answered {
			n.Log.Info().Str("job", id).Str("pool", runsIn).Int("status", status).Msg("cancellation requested")
			if status == http.StatusOK {
				n.notifyHolder(runsIn, methodCancelled, poolItem{Pool: runsIn, Name: id}, func(p *pool) { p.cancelJob(id) })
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
// false if the store has not answered.
func (n *Node) tryCancel(ctx context.Context, q *workload.Queue, id string, attempt int) (runsIn string, status int, answered bool) {
	st := n.storeFor(attempt)
	status, answered = n.tryCancelIn(ctx, st, q.Pool, id, attempt)
	if status != http.StatusGone {
		return q.Pool, status, answered
	}
	// The queue may have been moved since the job was accepted.
	runsIn, err := n.acceptedPool(ctx, st, q, id, attempt)
	if errors.Is(err, store.ErrNotFound) {
		return q.Pool, http.StatusGone, true
	}
	if err != nil {
		return q.Pool, 0, false
	}
	status, answered = n.tryCancelIn(ctx, st, runsIn, id, attempt)
	return runsIn, status, answered
}

// tryCancelIn attempts once to record the request in a pool.
func (n *Node) tryCancelIn(ctx context.Context, st storeAccess, pool, id string, attempt int) (status int, answered bool) {
	// One attempt consists of a read and a write.
	ctx, cancel := context.WithTimeout(ctx, 2*n.StoreTimeout.forAttempt(attempt))
	defer cancel()
	entry, err := st.Get(ctx, jobKey(pool, id))
	if errors.Is(err, store.ErrNotFound) {
		return http.StatusGone, true
	}
	if err != nil {
		return 0, false
	}
	_, _, err = st.Apply(ctx, store.Transaction{
		If:  []store.Condition{{Key: entry.Key, Revision: entry.Revision}, {Key: cancelKey(pool, id)}},
		Put: []store.Write{{Key: cancelKey(pool, id), Value: []byte("{}")}},
	})
	if err == nil || errors.Is(err, store.ErrConflict) {
		// The job's own key never changes, so a conflict means that the cancellation was already recorded.
		return http.StatusOK, true
	}
	return 0, false
}
