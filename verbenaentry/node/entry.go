package node

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
	"golang.org/x/sync/errgroup"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/store"
	"verbenalanding.example/fleet/workload"
	"verbenalanding.example/platform"
)

const (
	// headerWait bounds the reading of a request's head, idleWait an open connection without requests.
	headerWait = 3 * time.Second
	idleWait   = 60 * time.Second
	// maxHeaderBytes bounds the head of a request.
	maxHeaderBytes = 16 << 10
	// defaultDeadline holds for callers that state none.
	defaultDeadline = 3 * time.Second
	// answerReserve is the part of a caller's deadline that the way back takes.
	answerReserve = 150 * time.Millisecond
	// firstTry is the least bound of the first attempt at the store, whose answers take milliseconds, and maxTry the largest one
	// of any; the bound doubles from attempt to attempt, so that a lost answer costs little and a slow store is still heard.
	firstTry = 100 * time.Millisecond
	maxTry   = 800 * time.Millisecond
	// storePause lies between two attempts.
	storePause = 40 * time.Millisecond
	// retryAfter is when a refused caller may come back.
	retryAfter = "1"
	idLength   = 16
)

type shutdowner interface {
	Shutdown(ctx context.Context) error
	Close() error
}

// serve starts the listeners for callers and for the balancer.
func (n *Node) serve(group *errgroup.Group, l listeners) []shutdowner {
	entry := &http.Server{
		Handler: http.HandlerFunc(n.handle), ReadHeaderTimeout: headerWait, IdleTimeout: idleWait, MaxHeaderBytes: maxHeaderBytes,
	}
	router := chi.NewRouter()
	router.Get(platform.ReadinessPath, n.ready)
	router.Get("/metrics", n.metrics)
	readiness := &http.Server{Handler: router, ReadHeaderTimeout: headerWait, IdleTimeout: idleWait, MaxHeaderBytes: maxHeaderBytes}
	for _, serve := range []func() error{
		func() error { return entry.Serve(l.entry) },
		func() error { return readiness.Serve(l.readiness) },
	} {
		group.Go(func() error {
			if err := serve(); !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			return nil
		})
	}
	return []shutdowner{entry, readiness}
}

func (n *Node) ready(w http.ResponseWriter, _ *http.Request) {
	if n.View.routes() == nil || n.leaving.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// handle answers a caller.
func (n *Node) handle(w http.ResponseWriter, r *http.Request) {
	if n.leaving.Load() {
		// The caller's next request goes to a node that stays.
		w.Header().Set("Connection", "close")
	}
	began := time.Now()
	routes := n.View.routes()
	if routes == nil {
		n.refuse(w, http.StatusServiceUnavailable, "no configuration yet")
		return
	}
	queue, id := routes.find(r.Host, r.URL.Path)
	if queue == nil {
		n.refuse(w, http.StatusNotFound, "no such queue")
		return
	}
	if id == "" {
		if r.Method != http.MethodGet {
			n.refuse(w, http.StatusMethodNotAllowed, "a job needs an id")
			return
		}
		n.answerPending(w, r, queue)
		return
	}
	if !validID(id) {
		n.refuse(w, http.StatusBadRequest, "the id is not 16 hexadecimal digits")
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), deadline(r)-answerReserve)
	defer cancel()
	var status int
	switch r.Method {
	case http.MethodPost:
		status = n.submit(ctx, w, r, queue, id, routes.MaxBodyBytes)
	case http.MethodGet:
		status = n.answerState(ctx, w, queue, id)
	case http.MethodDelete:
		status = n.cancel(ctx, w, queue, id)
	default:
		status = http.StatusMethodNotAllowed
		n.refuse(w, status, "unknown method")
	}
	observe(n.Registry, "requests."+strings.ToLower(r.Method)+"."+strconv.Itoa(status), time.Since(began))
}

func deadline(r *http.Request) time.Duration {
	ms, err := strconv.Atoi(r.Header.Get(platform.DeadlineHeader))
	if err != nil || ms <= 0 {
		return defaultDeadline
	}
	return max(time.Duration(ms)*time.Millisecond, 2*answerReserve)
}

func validID(id string) bool {
	if len(id) != idLength {
		return false
	}
	for _, c := range id {
		if !strings.ContainsRune("0123456789abcdefABCDEF", c) {
			return false
		}
	}
	return true
}

// problem is the body of an answer that is no success.
type problem struct {
	Title string `json:"title"`
	// Outcome is notRun when the request has surely not been carried out, and unknown otherwise.
	Outcome string `json:"outcome"`
}

func (n *Node) refuse(w http.ResponseWriter, status int, why string) {
	p := problem{Title: why, Outcome: "notRun"}
	if status == http.StatusGatewayTimeout {
		p.Outcome = "unknown"
	}
	w.Header().Set("Content-Type", "application/problem+json")
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		w.Header().Set("Retry-After", retryAfter)
	}
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(p); err != nil {
		n.Log.Debug().Err(err).Msg("answer not sent")
	}
}

func (n *Node) answerJSON(w http.ResponseWriter, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if _, err := w.Write(body); err != nil {
		n.Log.Debug().Err(err).Msg("answer not sent")
	}
}

// Keys of a job: its body, its progress, and its caller's wish to cancel it.
func jobKey(pool, id string) string    { return "job/" + pool + "/" + id }
func stateKey(pool, id string) string  { return "state/" + pool + "/" + id }
func cancelKey(pool, id string) string { return jobKey(pool, id) + cancelSuffix }

const cancelSuffix = "/cancel"

// submit stores a job; only then it is accepted.
func (n *Node) submit(ctx context.Context, w http.ResponseWriter, r *http.Request, q *workload.Queue, id string, maxBody int64) int {
	log := n.Log.With().Str("job", id).Str("queue", q.Name).Logger()
	content, err := io.ReadAll(http.MaxBytesReader(w, r.Body, max(maxBody, 1<<10)))
	if err != nil {
		var tooLarge *http.MaxBytesError
		status := http.StatusBadRequest
		if errors.As(err, &tooLarge) {
			status = http.StatusRequestEntityTooLarge
		}
		log.Info().Err(err).Msg("job refused, its body cannot be read")
		n.refuse(w, status, "the body cannot be read")
		return status
	}
	job, err := platform.DecodeJob(content)
	if err != nil {
		log.Info().Err(err).Msg("job refused as invalid")
		n.refuse(w, http.StatusBadRequest, err.Error())
		return http.StatusBadRequest
	}
	job.ID, job.Queue, job.Pool, job.Terms, job.Accepted = id, q.Name, q.Pool, *q, n.Clock.Now()
	value, err := json.Marshal(job)
	if err != nil {
		log.Error().Err(err).Msg("job refused, it cannot be stored")
		n.refuse(w, http.StatusBadRequest, "the job cannot be stored")
		return http.StatusBadRequest
	}
	outcome, revision, tries := n.storeJob(ctx, jobKey(q.Pool, id), value)
	if revision != 0 {
		s := storedJob{Pool: q.Pool, ID: id, Value: value, Revision: revision}
		n.tell(q.Pool, methodStored, s, func(p *pool) {
			if err := p.stored(s); err != nil {
				log.Error().Err(err).Msg("stored job cannot be read")
			}
		})
	}
	log.Info().Str("outcome", string(outcome)).Int("tries", tries).Bool("storeReached", n.Tenure.Reaches()).Dur("took", n.Clock.Now().Sub(job.Accepted)).Msg("job submitted")
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
	// perhapsStored means that an attempt without answer may still take effect.
	perhapsStored storeOutcome = "perhapsStored"
)

// storeJob creates the job's key; repeated attempts have the same condition, so that at most one takes effect. The revision is 0
// unless this call is known to have created the key.
func (n *Node) storeJob(ctx context.Context, key string, value []byte) (storeOutcome, store.Revision, int) {
	unanswered := false
	for tries := 1; ; tries++ {
		tryCtx, cancel := context.WithTimeout(ctx, n.Patience.try(tries))
		revision, _, err := n.keysFor(tries).Apply(tryCtx, store.Transaction{
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
		pause(ctx, storePause)
		if ctx.Err() != nil {
			if unanswered {
				return perhapsStored, 0, tries
			}
			return notStored, 0, tries
		}
	}
}

// answerState tells a job's state from the pool's holder, or from the store when the holder does not know.
func (n *Node) answerState(ctx context.Context, w http.ResponseWriter, q *workload.Queue, id string) int {
	state, source, err := n.stateOf(ctx, q.Pool, id)
	switch {
	case errors.Is(err, store.ErrNotFound):
		n.Log.Info().Str("job", id).Str("source", source).Msg("state asked of an unknown job")
		n.refuse(w, http.StatusGone, "no such job")
		return http.StatusGone
	case err != nil:
		n.Log.Warn().Str("job", id).Err(err).Msg("state not known")
		n.refuse(w, http.StatusGatewayTimeout, "neither the holder nor the store has answered")
		return http.StatusGatewayTimeout
	}
	body, err := platform.EncodeState(state)
	if err != nil {
		n.Log.Error().Err(err).Msg("state not encoded")
		n.refuse(w, http.StatusInternalServerError, "state not encoded")
		return http.StatusInternalServerError
	}
	n.Log.Debug().Str("job", id).Str("state", string(state)).Str("source", source).Msg("state told")
	n.answerJSON(w, body)
	return http.StatusOK
}

func (n *Node) stateOf(ctx context.Context, pool, id string) (workload.State, string, error) {
	answer := jobAnswer{}
	if held := n.pools.get(pool); held != nil {
		answer = held.jobState(id)
	} else if err := n.Peers.askHolder(ctx, pool, methodJobState, askedFor{pool, id}, &answer); err != nil {
		n.Log.Debug().Str("job", id).Err(err).Msg("holder has not told the state")
	}
	if answer.Known {
		return answer.State, "holder", nil
	}
	for try := 1; ; try++ {
		state, err := n.storedState(ctx, pool, id, try)
		if err == nil || errors.Is(err, store.ErrNotFound) {
			return state, "store", err
		}
		pause(ctx, storePause)
		if ctx.Err() != nil {
			return "", "store", err
		}
	}
}

func (n *Node) storedState(ctx context.Context, pool, id string, try int) (workload.State, error) {
	// Two reads may be needed.
	ctx, cancel := context.WithTimeout(ctx, 2*n.Patience.try(try))
	defer cancel()
	st := n.keysFor(try)
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

// cancel records the caller's wish; the pool's holder carries it out.
func (n *Node) cancel(ctx context.Context, w http.ResponseWriter, q *workload.Queue, id string) int {
	for try := 1; ; try++ {
		status := n.tryCancel(ctx, q.Pool, id, try)
		if status != 0 {
			n.Log.Info().Str("job", id).Int("status", status).Msg("cancelling asked for")
			if status == http.StatusOK {
				n.tell(q.Pool, methodCancelled, askedFor{q.Pool, id}, func(p *pool) { p.cancelled(id) })
				n.answerJSON(w, []byte("{}"))
			} else {
				n.refuse(w, status, "no such job")
			}
			return status
		}
		select {
		case <-ctx.Done():
			n.Log.Warn().Str("job", id).Msg("cancelling not recorded in time")
			n.refuse(w, http.StatusGatewayTimeout, "the store has not answered")
			return http.StatusGatewayTimeout
		case <-time.After(storePause):
		}
	}
}

func (n *Node) tryCancel(ctx context.Context, pool, id string, try int) int {
	// A read and a write are needed.
	ctx, cancel := context.WithTimeout(ctx, 2*n.Patience.try(try))
	defer cancel()
	st := n.keysFor(try)
	entry, err := st.Get(ctx, jobKey(pool, id))
	if errors.Is(err, store.ErrNotFound) {
		return http.StatusGone
	}
	if err != nil {
		return 0
	}
	_, _, err = st.Apply(ctx, store.Transaction{
		If:  []store.Condition{{Key: entry.Key, Revision: entry.Revision}, {Key: cancelKey(pool, id)}},
		Put: []store.Write{{Key: cancelKey(pool, id), Value: []byte("{}")}},
	})
	if err == nil || errors.Is(err, store.ErrConflict) {
		// The job's own key never changes, so a conflict means that the wish was recorded before.
		return http.StatusOK
	}
	return 0
}

// answerPending tells how many jobs of a queue have not begun.
func (n *Node) answerPending(w http.ResponseWriter, r *http.Request, q *workload.Queue) {
	ctx, cancel := context.WithTimeout(r.Context(), deadline(r)-answerReserve)
	defer cancel()
	var answer pendingAnswer
	for {
		var err error
		if held := n.pools.get(q.Pool); held != nil {
			answer, err = held.pending(q.Name)
		} else {
			err = n.Peers.askHolder(ctx, q.Pool, methodPending, askedFor{q.Pool, q.Name}, &answer)
		}
		if err == nil {
			break
		}
		select {
		case <-ctx.Done():
			n.Log.Warn().Str("queue", q.Name).Err(err).Msg("pending jobs not known")
			n.refuse(w, http.StatusServiceUnavailable, "the holder of the pool has not answered")
			return
		case <-time.After(storePause):
		}
	}
	body, err := platform.EncodePending(answer.Pending)
	if err != nil {
		n.refuse(w, http.StatusInternalServerError, "count not encoded")
		return
	}
	n.answerJSON(w, body)
}
