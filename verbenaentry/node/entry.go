package node

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
	"golang.org/x/sync/errgroup"

	"verbenalanding.example/platform"
)

const (
	// headerTimeout bounds the reading of a request's header, idleTimeout the time for which a connection without requests stays open.
	headerTimeout = 3 * time.Second
	idleTimeout   = 60 * time.Second
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 16 << 10
	// defaultDeadline is the deadline of requests without a valid deadline header.
	defaultDeadline = 3 * time.Second
	// maxDeadline bounds the time for which a request is handled; a caller that waits for longer is answered as if its deadline ended then.
	maxDeadline = time.Minute
	// answerReserve is the part of a caller's deadline that is reserved for the transfer of the response.
	answerReserve = 150 * time.Millisecond
	// retryAfter is the value of the Retry-After header of refusals, in seconds.
	retryAfter = "1"
	idLength   = 16
)

type shutdowner interface {
	Shutdown(ctx context.Context) error
	Close() error
}

// serve starts the servers for callers and for the load balancer's probes.
func (n *Node) serve(group *errgroup.Group, l listeners) []shutdowner {
	entry := &http.Server{
		Handler: http.HandlerFunc(n.handle), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
	entryListener := n.limitListener(listenerEntry, l.entry)
	limitServer(entry, entryListener)
	router := chi.NewRouter()
	router.Get(platform.ReadinessPath, n.ready)
	router.Get("/metrics", n.metrics)
	n.routeExplanations(router)
	n.routeWorkspaces(router)
	readiness := &http.Server{Handler: router, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
	readinessListener := n.limitListener(listenerReadiness, l.readiness)
	limitServer(readiness, readinessListener)
	for _, serve := range []func() error{
		func() error { return entry.Serve(entryListener) },
		func() error { return readiness.Serve(readinessListener) },
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

// handle serves a caller's request.
func (n *Node) handle(w http.ResponseWriter, r *http.Request) {
	if n.leaving.Load() {
		// Close the connection, so that the caller's next request goes to another node.
		w.Header().Set("Connection", "close")
	}
	began := time.Now()
	// The age is read first: the configuration that is read after it is at least as new as the age says.
	age := n.View.age()
	routes := n.View.routes()
	if routes == nil {
		n.refuse(w, http.StatusServiceUnavailable, "no configuration yet")
		return
	}
	queue, id := routes.find(r.Host, r.URL.Path)
	if queue == nil {
		n.refuseUnknownQueue(w, r, routes.Version, age)
		return
	}
	from, permitted := n.permit(w, r, routes, queue, age)
	if !permitted {
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
		status = n.submit(ctx, w, r, queue, id, from, routes.MaxBodyBytes)
	case http.MethodGet:
		status = n.answerState(ctx, w, queue, id, from)
	case http.MethodDelete:
		status = n.cancel(ctx, w, queue, id, from)
	default:
		status = http.StatusMethodNotAllowed
		n.refuse(w, status, "unknown method")
	}
	observe(n.Registry, "requests."+methodLabel(r.Method)+"."+strconv.Itoa(status), time.Since(began))
}

// methodLabel returns the name of a method in metrics. Unknown methods share one, since each name keeps a histogram in memory.
func methodLabel(method string) string {
	switch method {
	case http.MethodPost, http.MethodGet, http.MethodDelete:
		return strings.ToLower(method)
	}
	return "other"
}

const (
	// refusalLines is the number of log lines per second for refused requests.
	refusalLines = 100
	// maxLoggedText is the length up to which a text of a caller is logged, in bytes.
	maxLoggedText = 128
)

// refuseUnknownQueue refuses a request for a queue that the configuration does not have. A configuration that may be out of date cannot tell
// that a queue does not exist: the caller then comes back.
func (n *Node) refuseUnknownQueue(w http.ResponseWriter, r *http.Request, version int64, age time.Duration) {
	status, title := http.StatusNotFound, "no such queue"
	if age > staleAfter {
		status, title = http.StatusServiceUnavailable, "queue unknown; the configuration may be out of date"
	}
	if leftOut, ok := n.refusals.Allow(time.Now()); ok {
		n.Log.Info().Int64("linesLeftOut", leftOut).Str("method", r.Method).Str("host", truncate(r.Host)).Str("path", truncate(r.URL.Path)).
			Int("status", status).Int64("version", version).Dur("age", age).Msg("request refused: no such queue")
	}
	n.refuse(w, status, title)
}

func truncate(s string) string { return s[:min(len(s), maxLoggedText)] }

func deadline(r *http.Request) time.Duration {
	ms, err := strconv.ParseInt(r.Header.Get(platform.DeadlineHeader), 10, 64)
	waits := platform.CallerDeadline(ms)
	if err != nil || waits == 0 {
		return defaultDeadline
	}
	return min(max(waits, 2*answerReserve), maxDeadline)
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

// problem is the body of an error response.
type problem struct {
	Title string `json:"title"`
	// Outcome is notRun if the request has certainly not been carried out, and unknown otherwise.
	Outcome string `json:"outcome"`
}

func (n *Node) refuse(w http.ResponseWriter, status int, title string) {
	p := problem{Title: title, Outcome: "notRun"}
	if status == http.StatusGatewayTimeout {
		p.Outcome = "unknown"
	}
	n.answerProblem(w, status, p)
}

// answerProblem answers with the body of a problem, and says when to repeat a call that may succeed later.
func (n *Node) answerProblem(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/problem+json")
	if (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests) && w.Header().Get("Retry-After") == "" {
		w.Header().Set("Retry-After", retryAfter)
	}
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(body); err != nil {
		n.Log.Debug().Err(err).Msg("response not sent")
	}
}

func (n *Node) answerJSON(w http.ResponseWriter, body []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if _, err := w.Write(body); err != nil {
		n.Log.Debug().Err(err).Msg("response not sent")
	}
}
