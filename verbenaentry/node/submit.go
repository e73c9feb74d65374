package node

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"verbenalanding.example/fleet/store"
	"verbenalanding.example/fleet/workload"
	"verbenalanding.example/platform"
)

// submit stores a job; the job is accepted only once it is stored.
func (n *Node) submit(ctx context.Context, w http.ResponseWriter, r *http.Request, q *workload.Queue, id string, maxBody int64) int {
	log := n.Log.With().Str("job", id).Str("queue", q.Name).Logger()
	content, err := io.ReadAll(http.MaxBytesReader(w, r.Body, max(maxBody, 1<<10)))
	if err != nil {
		var tooLarge *http.MaxBytesError
		status := http.StatusBadRequest
		if errors.As(err, &tooLarge) {
			status = http.StatusRequestEntityTooLarge
		}
		log.Info().Err(err).Msg("job refused: body cannot be read")
		n.refuse(w, status, "the body cannot be read")
		return status
	}
	job, err := platform.DecodeJob(content)
	if err != nil {
		log.Info().Err(err).Msg("job refused: body is invalid")
		n.refuse(w, http.StatusBadRequest, err.Error())
		return http.StatusBadRequest
	}
	job.ID, job.Queue, job.Pool, job.Terms, job.Accepted = id, q.Name, q.Pool, *q, n.Clock.Now()
	value, err := json.Marshal(job)
	if err != nil {
		log.Error().Err(err).Msg("job refused: job cannot be encoded")
		n.refuse(w, http.StatusBadRequest, "the job cannot be stored")
		return http.StatusBadRequest
	}
	outcome, revision, tries := n.storeJob(ctx, jobKey(q.Pool, id), value)
	if revision != 0 {
		s := storedJob{Pool: q.Pool, ID: id, Value: value, Revision: revision}
		n.notifyHolder(q.Pool, methodStored, s, func(p *pool) {
			if err := p.addStoredJob(s); err != nil {
				log.Error().Err(err).Msg("stored job cannot be decoded")
			}
		})
	}
	log.Info().Str("outcome", string(outcome)).Int("tries", tries).Bool("storeReached", n.Elector.StoreReachable()).Dur("took", n.Clock.Now().Sub(job.Accepted)).Msg("job submitted")
	switch outcome {
	case stored:
		n.answerJSON(w, []byte("{}"))
		return http.StatusOK
	case notStored:
		n.refuse(w, http.StatusServiceUnavailable, "the store takes no jobs now")
		return http.StatusServiceUnavailable
	}
	n.refuse(w, http.StatusGatewayTimeout, "the store has not answered")
	return http.StatusGatewayTimeout
}

type storeOutcome string

const (
	stored    storeOutcome = "stored"
	notStored storeOutcome = "notStored"
	// perhapsStored means that an unanswered attempt may still take effect.
	perhapsStored storeOutcome = "perhapsStored"
)

// storeJob creates the job's key. All attempts have the same condition, so that at most one takes effect. The returned revision is 0
// unless this call is known to have created the key.
func (n *Node) storeJob(ctx context.Context, key string, value []byte) (storeOutcome, store.Revision, int) {
	unanswered := false
	for tries := 1; ; tries++ {
		tryCtx, cancel := context.WithTimeout(ctx, n.StoreTimeout.forAttempt(tries))
		revision, _, err := n.storeFor(tries).Apply(tryCtx, store.Transaction{
			If: []store.Condition{{Key: key}}, Put: []store.Write{{Key: key, Value: value}},
		})
		cancel()
		if err == nil {
			return stored, revision, tries
		}
		if errors.Is(err, store.ErrConflict) {
			return stored, 0, tries
		}
		unanswered = unanswered || errors.Is(err, store.ErrUnavailable)
		if waitRetry(ctx) {
			continue
		}
		if unanswered {
			return perhapsStored, 0, tries
		}
		return notStored, 0, tries
	}
}
