package node

import (
	"context"
	"errors"
	"net/http"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/store"
	"verbenalanding.example/fleet/workload"
	"verbenalanding.example/platform"
)

// answerState responds with a job's state from the pool's holder, or from the store if the holder does not know the job.
func (n *Node) answerState(ctx context.Context, w http.ResponseWriter, q *workload.Queue, id string, from caller) int {
	state, source, err := n.stateOf(ctx, q, id, from)
	switch {
	case errors.Is(err, store.ErrNotFound):
		n.Log.Info().Str("job", id).Str("source", source).Msg("state of an unknown job requested")
		n.refuse(w, http.StatusGone, "no such job")
		return http.StatusGone
	case err != nil:
		n.Log.Warn().Str("job", id).Err(err).Msg("state not received from the holder or the store")
		n.refuse(w, http.StatusGatewayTimeout, "neither the holder nor the store has answered")
		return http.StatusGatewayTimeout
	}
	body, err := platform.EncodeState(state)
	if err != nil {
		n.Log.Error().Err(err).Msg("state not encoded")
		n.refuse(w, http.StatusInternalServerError, "state not encoded")
		return http.StatusInternalServerError
	}
	n.Log.Debug().Str("job", id).Str("state", string(state)).Str("source", source).Msg("state reported")
	n.answerJSON(w, body)
	return http.StatusOK
}

// stateOf returns a job's state and where it was read: from the holder or from the store. A job of another workspace than the caller's counts
// as one that does not exist.
func (n *Node) stateOf(ctx context.Context, q *workload.Queue, id string, from caller) (state workload.State, source string, err error) {
	if state, known := n.stateFromHolder(ctx, q.Pool, id, from); known {
		return state, "holder", nil
	}
	for attempt := 1; ; attempt++ {
		state, source, err = n.stateFromStore(ctx, q, id, from, attempt)
		if err == nil || errors.Is(err, store.ErrNotFound) {
			return state, source, err
		}
		if !waitRetry(ctx) {
			return "", source, err
		}
	}
}

func (n *Node) stateFromHolder(ctx context.Context, pool, id string, from caller) (state workload.State, known bool) {
	answer := jobAnswer{}
	if held := n.pools.get(pool); held != nil {
		answer = held.jobState(id)
	} else if err := n.callHolder(ctx, pool, methodJobState, poolItem{Pool: pool, Name: id}, &answer); err != nil {
		n.Log.Debug().Str("job", id).Str("pool", pool).Err(err).Msg("state not received from the holder; reading it from the store")
	}
	return answer.State, answer.Known && from.mayAccess(answer.Workspace)
}

// stateFromStore returns the state of a job that the holder of its queue's pool does not know, or has not answered about. The queue may have
// been moved since the job was accepted: the job then stays in the pool for which it was stored.
func (n *Node) stateFromStore(ctx context.Context, q *workload.Queue, id string, from caller, attempt int) (state workload.State, source string, err error) {
	st := n.storeFor(attempt)
	if state, err = n.storedState(ctx, st, q.Pool, id, from, attempt); !errors.Is(err, store.ErrNotFound) {
		return state, "store", err
	}
	accepted, err := n.acceptanceOf(ctx, st, q, id, attempt)
	if err != nil {
		return "", "store", err
	}
	if accepted.Cancelled || !from.mayAccess(accepted.Workspace) {
		return "", "store", store.ErrNotFound
	}
	if state, known := n.stateFromHolder(ctx, accepted.Pool, id, from); known {
		return state, "holder", nil
	}
	state, err = n.storedState(ctx, st, accepted.Pool, id, from, attempt)
	return state, "store", err
}

// storedState reads a job's state from the records of a pool.
func (n *Node) storedState(ctx context.Context, st storeAccess, pool, id string, from caller, attempt int) (workload.State, error) {
	// One attempt consists of up to two reads.
	ctx, cancel := context.WithTimeout(ctx, 2*n.StoreTimeout.forAttempt(attempt))
	defer cancel()
	entry, err := st.Get(ctx, stateKey(pool, id))
	if err == nil {
		record, err := dispatch.DecodeRecord(entry.Value)
		if err != nil {
			return "", err
		}
		if !from.mayAccess(record.Workspace) {
			return "", store.ErrNotFound
		}
		if record.State == workload.Queued && record.Started {
			return workload.Running, nil
		}
		return record.State, nil
	}
	if !errors.Is(err, store.ErrNotFound) {
		return "", err
	}
	if entry, err = st.Get(ctx, jobKey(pool, id)); err != nil {
		return "", err
	}
	if !from.mayAccess(storedWorkspace(entry)) {
		return "", store.ErrNotFound
	}
	return workload.Queued, nil
}

// pendingIn returns the number of jobs of a queue that have not started in a pool.
func (n *Node) pendingIn(ctx context.Context, pool string, q *workload.Queue) (int, error) {
	if held := n.pools.get(pool); held != nil {
		return held.pending(*q).Pending, nil
	}
	var answer pendingAnswer
	err := n.callHolder(ctx, pool, methodPending, poolItem{Pool: pool, Name: q.Name, Queue: q.Key}, &answer)
	return answer.Pending, err
}

// pending returns the number of jobs of a queue that have not started, in its pool and in those that it has left.
func (n *Node) pending(ctx context.Context, q *workload.Queue) (int, error) {
	total := 0
	for _, pool := range n.poolsOf(ctx, q) {
		waiting, err := n.pendingIn(ctx, pool, q)
		if err != nil {
			return 0, err
		}
		total += waiting
	}
	return total, nil
}

// answerPending responds with the number of jobs of a queue that have not started.
func (n *Node) answerPending(w http.ResponseWriter, r *http.Request, q *workload.Queue) {
	ctx, cancel := context.WithTimeout(r.Context(), deadline(r)-answerReserve)
	defer cancel()
	var waiting int
	for {
		var err error
		if waiting, err = n.pending(ctx, q); err == nil {
			break
		}
		if !waitRetry(ctx) {
			n.Log.Warn().Str("queue", q.Name).Err(err).Msg("number of pending jobs not received from the holder")
			n.refuse(w, http.StatusServiceUnavailable, "the holder of the pool has not answered")
			return
		}
	}
	body, err := platform.EncodePending(waiting)
	if err != nil {
		n.refuse(w, http.StatusInternalServerError, "count not encoded")
		return
	}
	n.answerJSON(w, body)
}
