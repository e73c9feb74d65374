package node

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net/http"

	"verbenalanding.example/fleet/store"
	"verbenalanding.example/fleet/workload"
	"verbenalanding.example/platform"
)

// submit stores a job; the job is accepted only once it is stored.
func (n *Node) submit(ctx context.Context, w http.ResponseWriter, r *http.Request, q *workload.Queue, id string, from caller, maxBody int64) int {
	log := n.Log.With().Str("job", id).Str("queue", q.Name).Str("pool", q.Pool).Logger()
	if from.submitsFor != "" {
		log = log.With().Str("workspace", from.submitsFor).Logger()
	}
	if n.refuseFull(ctx, w, q, id, leastJob, &log) {
		return http.StatusServiceUnavailable
	}
	content, release, err := n.readJob(ctx, r, n.maxBodyBytes(maxBody))
	if err != nil {
		return n.refuseBody(w, r, err)
	}
	defer release()
	job, err := platform.DecodeJob(content)
	if err != nil {
		log.Info().Err(err).Msg("job refused: body is invalid")
		n.refuse(w, http.StatusBadRequest, err.Error())
		return http.StatusBadRequest
	}
	job.ID, job.Queue, job.Pool, job.Terms, job.Accepted = id, q.Name, q.Pool, *q, n.Clock.Now()
	job.Workspace = from.submitsFor
	if err := n.checkSize(job); err != nil {
		log.Info().Err(err).Msg("job refused: too large to be stored")
		n.refuse(w, http.StatusRequestEntityTooLarge, err.Error())
		return http.StatusRequestEntityTooLarge
	}
	if n.refuseFull(ctx, w, q, id, job.Memory(), &log) {
		return http.StatusServiceUnavailable
	}
	if n.refuseUseless(ctx, w, job, &log) {
		return http.StatusTooManyRequests
	}
	outcome, created, tries := n.storeJob(ctx, *job, from)
	if created != nil {
		n.notifyStored(created, &log)
	}
	log.Info().Str("outcome", string(outcome)).Int("tries", tries).Bool("storeReached", n.Elector.StoreReachable()).Dur("took", n.Clock.Now().Sub(job.Accepted)).Msg("job submitted")
	switch outcome {
	case stored:
		n.answerJSON(w, []byte("{}"))
		return http.StatusOK
	case cancelledBefore:
		n.refuse(w, http.StatusServiceUnavailable, "the job was cancelled before it was accepted")
		return http.StatusServiceUnavailable
	case notStored, takenByAnother:
		// A caller cannot tell an id that another workspace has from a store that takes no jobs.
		n.refuse(w, http.StatusServiceUnavailable, "the store takes no jobs now")
		return http.StatusServiceUnavailable
	}
	n.outlooks.noteUnanswered(id, n.Clock.Now())
	n.refuse(w, http.StatusGatewayTimeout, "the store has not answered")
	return http.StatusGatewayTimeout
}

const (
	minBodyBytes = 1 << 10
	// maxBodyValues is the largest body as a multiple of the largest value of the store, which a body of spaces only may exceed.
	maxBodyValues = 4
)

// maxBodyBytes returns the largest body that is read; the operator's limit may be any number.
func (n *Node) maxBodyBytes(limit int64) int64 {
	return min(max(limit, minBodyBytes), int64(maxBodyValues*n.maxValueBytes()))
}

// recordTaskBytes is the room in a compressed record for a task that has failed twice, in runs with any number.
const recordTaskBytes = 16

var errJobTooLarge = errors.New("job too large")

// checkSize refuses a job that the store cannot take, or whose record it could not take once the tasks have failed.
func (n *Node) checkSize(job *workload.Job) error {
	stored := *job
	stored.Fence = math.MaxUint64
	accept, err := n.acceptJob(stored)
	if err != nil {
		return fmt.Errorf("%w: %w", errJobTooLarge, err)
	}
	limit := n.maxValueBytes()
	if size := len(accept.Put[0].Value); size > limit {
		return fmt.Errorf("%w: %d bytes as it is stored, want at most %d", errJobTooLarge, size, limit)
	}
	tasks := 0
	for i := range job.Steps {
		tasks += job.Steps[i].Tasks
	}
	// The record names the tasks of the occurrences that have begun only, so that their number is no limit.
	if tasks > limit/recordTaskBytes {
		return fmt.Errorf("%w: %d tasks, want at most %d", errJobTooLarge, tasks, limit/recordTaskBytes)
	}
	return nil
}

type storeOutcome string

const (
	stored    storeOutcome = "stored"
	notStored storeOutcome = "notStored"
	// cancelledBefore means that the job's cancellation was requested before; it will not be stored.
	cancelledBefore storeOutcome = "cancelledBefore"
	// takenByAnother means that a job of another workspace has the id; as long as it does, no attempt can take effect.
	takenByAnother storeOutcome = "takenByAnother"
	// perhapsStored means that an unanswered attempt may still take effect.
	perhapsStored storeOutcome = "perhapsStored"
)

// storeJob creates the job's keys. All attempts have the same condition, so that at most one takes effect; they differ in the fencing token of
// the pool's holder that is known to the node through which the attempt goes. created is nil unless this call is known to have created the key.
func (n *Node) storeJob(ctx context.Context, job workload.Job, from caller) (outcome storeOutcome, created *storedJob, tries int) {
	unanswered := false
	for tries = 1; ; tries++ {
		access := n.storeFor(tries)
		job.Fence = access.holderFence(ctx, job.Pool)
		accept, err := n.acceptJob(job)
		if err != nil {
			n.Log.Error().Err(err).Str("job", job.ID).Msg("job cannot be encoded")
			return notStored, nil, tries
		}
		tryCtx, cancel := context.WithTimeout(ctx, n.StoreTimeout.forAttempt(tries))
		revision, _, err := access.Apply(tryCtx, accept)
		cancel()
		if err == nil {
			n.queuePools.record(job.Terms.Key, job.Pool)
			return stored, &storedJob{Pool: job.Pool, ID: job.ID, Value: accept.Put[0].Value, Revision: revision}, tries
		}
		if errors.Is(err, store.ErrConflict) {
			// The id was accepted or cancelled before; either is certain once it is read.
			accepted, err := n.acceptanceOf(ctx, access, &job.Terms, job.ID, tries)
			if err == nil && accepted.Cancelled {
				return cancelledBefore, nil, tries
			}
			if errors.Is(err, store.ErrNotFound) && !from.unrestricted {
				// A job of another queue of the pool has the id.
				accepted.Workspace, err = n.workspaceOf(ctx, access, job.Pool, job.ID, tries)
			}
			if err == nil && !from.mayAccess(accepted.Workspace) {
				return takenByAnother, nil, tries
			}
			if err == nil || errors.Is(err, store.ErrNotFound) {
				return stored, nil, tries
			}
			unanswered = true
		}
		unanswered = unanswered || errors.Is(err, store.ErrUnavailable)
		if waitRetry(ctx) {
			continue
		}
		if unanswered {
			return perhapsStored, nil, tries
		}
		return notStored, nil, tries
	}
}
