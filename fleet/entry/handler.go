package entry

import (
	"cmp"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"verbenalanding.example/fleet/admission"
	"verbenalanding.example/fleet/claim"
	"verbenalanding.example/fleet/declaration"
)

const (
	headerClass    = "Verbena-Class"
	headerDeadline = "Verbena-Deadline"
	headerTeam     = "Verbena-Team"
	headerKey      = "Idempotency-Key"

	// maxHeader bounds a request's header in bytes; that of a service call needs less than 2 KB.
	maxHeader      = 16 << 10
	headerTimeout  = 5 * time.Second
	idleTimeout    = 90 * time.Second
	maxHeaderValue = 256
)

// singleValued lists the headers that may occur at most once.
var singleValued = []string{headerClass, headerDeadline, headerTeam, headerKey}

func (e *Entry) server() *http.Server {
	return &http.Server{
		Handler:           e.Handler(),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
		ConnState:         e.ConnState,
	}
}

// Handler returns the handler of the callers' API.
func (e *Entry) Handler() http.Handler {
	e.Default()
	r := chi.NewRouter()
	r.Use(e.strict)
	r.Post("/v1/services/{service}", e.serveCall)
	r.Post("/v1/services/{service}/deferred", e.serveDeferred)
	r.Get("/v1/deferred/{id}", e.serveStatus)
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.Get("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !e.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	if e.Routes != nil {
		e.Routes(r)
	}
	r.NotFound(func(w http.ResponseWriter, _ *http.Request) {
		e.problem(w, Problem{Outcome: claim.NotRun, Reason: reasonNotFound, RequestID: newID()}, 0)
	})
	r.MethodNotAllowed(func(w http.ResponseWriter, _ *http.Request) {
		e.problem(w, Problem{Outcome: claim.NotRun, Reason: reasonMethod, RequestID: newID()}, 0)
	})
	return r
}

// strict refuses requests that a load balancer in front could frame differently (request smuggling). net/http drops a
// Content-Length next to a Transfer-Encoding, and ignores Transfer-Encoding in HTTP/1.0, so all such requests are refused.
func (e *Entry) strict(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		reason, detail := "", ""
		switch {
		case len(r.TransferEncoding) > 0:
			reason, detail = reasonLengthRequired, "a Transfer-Encoding is not accepted; send a Content-Length"
		case !r.ProtoAtLeast(1, 1) && r.Method != http.MethodGet:
			reason, detail = reasonInvalidRequest, "HTTP/1.1 is required"
		case r.Method != http.MethodPost && r.ContentLength != 0:
			reason, detail = reasonInvalidRequest, "only POST requests have a body"
		case r.Header["Upgrade"] != nil:
			reason, detail = reasonInvalidRequest, "Upgrade is not accepted"
		}
		if reason != "" {
			w.Header().Set("Connection", "close")
			e.problem(w, Problem{Outcome: claim.NotRun, Reason: reason, Detail: detail, RequestID: newID()}, 0)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func newID() string {
	var b [16]byte
	for i := 0; i < len(b); i += 8 {
		v := rand.Uint64()
		for k := range 8 {
			b[i+k] = byte(v >> (8 * k))
		}
	}
	return hex.EncodeToString(b[:])
}

func (e *Entry) serveCall(w http.ResponseWriter, r *http.Request) {
	arrived := e.Now()
	req, p := e.check(r)
	if p == nil {
		p = e.readBody(w, r, req)
	}
	if p != nil {
		e.refuse(w, r, *p)
		e.observe(Observation{RequestID: p.RequestID, Service: p.Service, Outcome: p.Outcome, Reason: p.Reason, Revision: p.Revision}, arrived)
		return
	}
	defer e.releaseBody(req)
	result := e.perform(r.Context(), req)
	e.observe(observationOf(req, result), arrived)
	if result.response == nil {
		e.problem(w, Problem{
			Outcome: result.outcome, Reason: result.reason, Service: req.service.Name, RequestID: req.id, Revision: req.revision,
		}, result.retryAfter)
		return
	}
	e.count("completed")
	e.write(w, req, result.response)
}

// refuse answers a request whose body was not read; closing the connection is cheaper than reading the rest of the body.
func (e *Entry) refuse(w http.ResponseWriter, r *http.Request, p Problem) {
	if r.ContentLength > 0 {
		w.Header().Set("Connection", "close")
	}
	e.problem(w, p, 0)
}

// check validates everything but the body.
func (e *Entry) check(r *http.Request) (*checkedRequest, *Problem) {
	arrived := e.Now()
	req := &checkedRequest{id: newID(), header: r.Header}
	req.claimID = req.id
	p := &Problem{Outcome: claim.NotRun, RequestID: req.id, Reason: reasonInvalidHeader}
	set, revision, ok := e.Configuration.Current()
	if !ok {
		p.Reason = reasonNotReady
		return nil, p
	}
	p.Revision, req.revision = revision, revision
	service, found := set.Services[chi.URLParam(r, "service")]
	if !found {
		p.Reason = admission.UnknownService.String()
		return nil, p
	}
	p.Service, req.service = service.Name, service
	if r.URL.RawQuery != "" {
		p.Reason, p.Detail = reasonInvalidRequest, "a query string is not accepted"
		return nil, p
	}
	for _, name := range singleValued {
		if values := r.Header[name]; len(values) > 1 || len(values) == 1 && !printable(values[0]) {
			p.Detail = name + " must occur once with 1 to 256 printable characters"
			return nil, p
		}
	}
	if p.Detail = e.checkClass(r, req); p.Detail != "" {
		return nil, p
	}
	if p.Detail = checkDeadline(r, req, arrived); p.Detail != "" {
		return nil, p
	}
	if p.Reason, p.Detail = e.checkCaller(r, req, set); p.Reason != "" {
		return nil, p
	}
	if r.ContentLength > maxRequest(service) {
		p.Reason, p.Detail = reasonTooLarge, "the limit is "+strconv.FormatInt(maxRequest(service), 10)+" bytes"
		return nil, p
	}
	return req, nil
}

func printable(s string) bool {
	if s == "" || len(s) > maxHeaderValue {
		return false
	}
	for i := range len(s) {
		if s[i] < ' ' || s[i] > '~' {
			return false
		}
	}
	return true
}

// checkClass reads the request's class; it returns the detail of the refusal, or an empty string.
func (e *Entry) checkClass(r *http.Request, req *checkedRequest) string {
	req.class = headerValue(r, headerClass)
	requested := slices.Index(declaration.Classes, declaration.Class(req.class))
	if requested < 0 {
		return headerClass + " must be urgent, standard or deferrable"
	}
	if requested < slices.Index(declaration.Classes, req.service.Class) {
		return headerClass + " is more urgent than the service's class " + string(req.service.Class)
	}
	return ""
}

// checkDeadline computes the request's deadline; it returns the detail of the refusal, or an empty string.
func checkDeadline(r *http.Request, req *checkedRequest, arrived time.Time) string {
	limit := min(cmp.Or(req.service.Deadline, MaxDeadline), MaxDeadline)
	if text := headerValue(r, headerDeadline); text != "" {
		ms, err := strconv.ParseUint(text, 10, 32)
		if err != nil || ms == 0 || time.Duration(ms)*time.Millisecond > MaxDeadline || strings.HasPrefix(text, "0") {
			return headerDeadline + " must be 1 to 60000 milliseconds"
		}
		limit = min(limit, time.Duration(ms)*time.Millisecond)
	}
	req.deadline = arrived.Add(limit)
	return ""
}

func (e *Entry) checkCaller(r *http.Request, req *checkedRequest, set *declaration.Set) (reason, detail string) {
	req.team, req.key = headerValue(r, headerTeam), headerValue(r, headerKey)
	if req.team == "" {
		return reasonInvalidHeader, headerTeam + " is missing"
	}
	if _, found := set.Teams[req.team]; !found && len(set.Teams) > 0 {
		return reasonUnknownTeam, "the team is not declared"
	}
	if req.key == "" && !req.service.Repeatable {
		return reasonInvalidHeader, headerKey + " is missing; the service runs each key at most once"
	}
	if e.Caller != nil {
		req.caller = e.Caller(r)
	} else if req.caller, _, _ = net.SplitHostPort(r.RemoteAddr); req.caller == "" {
		req.caller = r.RemoteAddr
	}
	return "", ""
}

func headerValue(r *http.Request, name string) string {
	if values := r.Header[name]; len(values) > 0 {
		return values[0]
	}
	return ""
}

var bodyPool = sync.Pool{New: func() any { b := make([]byte, 0, 4096); return &b }}

// readBody buffers the whole body, so that a slow caller never holds a slot of a backend server.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request, req *checkedRequest) *Problem {
	p := &Problem{Outcome: claim.NotRun, RequestID: req.id, Service: req.service.Name, Revision: req.revision}
	size := r.ContentLength
	if e.buffered.Add(size) > e.MaxBuffered {
		e.buffered.Add(-size)
		p.Reason = reasonMemory
		return p
	}
	if size > 0 {
		control := http.NewResponseController(w)
		readDeadline := time.Now().Add(min(e.BodyTimeout, req.deadline.Sub(e.Now())))
		// An error means that the connection does not support deadlines, as with the recorder in tests.
		deadlineSet := control.SetReadDeadline(readDeadline) == nil
		req.pooled = bodyPool.Get().(*[]byte)
		body := slices.Grow((*req.pooled)[:0], int(size))[:size]
		_, err := io.ReadFull(r.Body, body)
		if deadlineSet {
			_ = control.SetReadDeadline(time.Time{})
		}
		req.body = body
		if err != nil {
			e.releaseBody(req)
			p.Reason, p.Detail = reasonBodyNotReceived, "the body did not arrive in time or is shorter than its Content-Length"
			return p
		}
	}
	if req.key != "" {
		req.digest = digest(req.body)
	}
	return nil
}

func digest(body []byte) string {
	sum := sha256.Sum256(body)
	return base64.RawURLEncoding.EncodeToString(sum[:])
}

func (e *Entry) releaseBody(req *checkedRequest) {
	e.buffered.Add(-int64(len(req.body)))
	if req.pooled != nil && cap(req.body) <= 64<<10 {
		*req.pooled = req.body[:0]
		bodyPool.Put(req.pooled)
	}
	req.body, req.pooled = nil, nil
}

// hopByHop are the header fields of a response that are not forwarded.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", headerRequestID, headerOutcome,
}

// write sends a complete response to the caller.
func (e *Entry) write(w http.ResponseWriter, req *checkedRequest, response *backendResponse) {
	h := w.Header()
	for name, values := range response.header {
		if !slices.Contains(hopByHop, name) {
			h[name] = values
		}
	}
	// A single array for the three header values saves allocations.
	values := [...]string{req.id, string(claim.Completed), strconv.Itoa(len(response.body))}
	h[headerRequestID] = values[0:1:1]
	h[headerOutcome] = values[1:2:2]
	if response.status != http.StatusNoContent && response.status != http.StatusNotModified {
		h["Content-Length"] = values[2:3:3]
	}
	e.send(w, response.status, response.body)
}

// send writes a response with a deadline, so that a caller that does not read the response cannot keep it in memory.
func (e *Entry) send(w http.ResponseWriter, status int, body []byte) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(e.WriteTimeout))
	w.WriteHeader(status)
	if len(body) == 0 {
		return
	}
	if _, err := w.Write(body); err != nil {
		e.count("callerGone")
	}
}
