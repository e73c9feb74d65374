package node

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/store"
	"verbenalanding.example/fleet/workload"
	"verbenalanding.example/platform"
)

// answerState responds with a job's state from the pool's holder, or from the store if the holder does not know the job.
func (n *Node) answerState(ctx context.Context, w http.ResponseWriter, q *workload.Queue, id string) int {
	state, source, err := n.stateOf(ctx, q.Pool, id)
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

// stateOf returns a job's state and where it was read: from the holder or from the store.
func (n *Node) stateOf(ctx context.Context, pool, id string) (workload.State, string, error) {
	answer := jobAnswer{}
	if held := n.pools.get(pool); held != nil {
		answer = held.jobState(id)
	} else if err := n.callHolder(ctx, pool, methodJobState, poolItem{pool, id}, &answer); err != nil {
		n.Log.Debug().Str("job", id).Err(err).Msg("state not received from the holder; reading it from the store")
	}
	if answer.Known {
		return answer.State, "holder", nil
	}
	for attempt := 1; ; attempt++ {
		state, err := n.storedState(ctx, pool, id, attempt)
		if err == nil || errors.Is(err, store.ErrNotFound) {
			return state, "store", err
		}
		if !waitRetry(ctx) {
			return "", "store", err
		}
	}
}

func (n *Node) storedState(ctx context.Context, pool, id string, attempt int) (workload.State, error) {
	// One attempt consists of up to two reads.
	ctx, cancel := context.WithTimeout(ctx, 2*n.StoreTimeout.forAttempt(attempt))
	defer cancel()
	st := n.storeFor(attempt)
	entry, err := st.Get(ctx, stateKey(pool, id))
	if err == nil {
		var record dispatch.Record
		if err := json.Unmarshal(entry.Value, &record); err != nil {
			return "", err
		}
		if record.State == workload.Queued && record.Started {
			return workload.Running, nil
		}
		return record.State, nil
	}
	if !errors.Is(err, store.ErrNotFound) {
		return "", err
	}
	if _, err := st.Get(ctx, jobKey(pool, id)); err != nil {
		return "", err
	}
	return workload.Queued, nil
}

// answerPending responds with the number of jobs of a queue that have not started.
func (n *Node) answerPending(w http.ResponseWriter, r *http.Request, q *workload.Queue) {
	ctx, cancel := context.WithTimeout(r.Context(), deadline(r)-answerReserve)
	defer cancel()
	var answer pendingAnswer
	for {
		var err error
		if held := n.pools.get(q.Pool); held != nil {
			answer, err = held.pending(q.Name)
		} else {
			err = n.callHolder(ctx, q.Pool, methodPending, poolItem{q.Pool, q.Name}, &answer)
		}
		if err == nil {
			break
		}
		if !waitRetry(ctx) {
			n.Log.Warn().Str("queue", q.Name).Err(err).Msg("number of pending jobs not received from the holder")
			n.refuse(w, http.StatusServiceUnavailable, "the holder of the pool has not answered")
			return
		}
	}
	body, err := platform.EncodePending(answer.Pending)
	if err != nil {
		n.refuse(w, http.StatusInternalServerError, "count not encoded")
		return
	}
	n.answerJSON(w, body)
}
