package entry

import (
	"cmp"
	"context"
	"errors"
	"hash/maphash"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"verbenalanding.example/fleet/admission"
	"verbenalanding.example/fleet/claim"
	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/interval"
	"verbenalanding.example/fleet/retry"
)

// forwarded are the callers' headers that are sent to the backend server; all others are dropped.
var forwarded = []string{"Content-Type", "Content-Encoding", "Accept", "Accept-Language", "Traceparent", "Tracestate"}

// checkedRequest is a caller's request that has passed validation.
type checkedRequest struct {
	id      string
	claimID string
	service declaration.Service
	class   string
	team    string
	caller  string
	key     string
	digest  string
	header  http.Header
	body    []byte
	// pooled is the buffer from bodyPool that holds the body.
	pooled   *[]byte
	deadline time.Time
	revision uint64
}

// reply is the result of a request: a response of the backend server, or an outcome with its reason.
type reply struct {
	response   *backendResponse
	outcome    claim.Outcome
	reason     string
	retryAfter time.Duration
}

func refusal(reason string) reply {
	return reply{outcome: claim.NotRun, reason: reason}
}

var seed = maphash.MakeSeed()

// hashName hashes a name; it never returns 0, which admission exempts from limits.
func hashName(name string) uint64 {
	return max(maphash.String(seed, name), 1)
}

// perform runs a request, at most once per claim if it is not repeatable, and returns its outcome.
func (e *Entry) perform(ctx context.Context, req *checkedRequest) reply {
	// Counting the request before the check ensures that none starts after shutDown has found a count of 0.
	e.requests.Add(1)
	defer e.requests.Add(-1)
	if e.phase.Load() == refusing {
		return refusal(reasonLeaving)
	}
	if reason := e.blocked(); reason != "" {
		return refusal(reason)
	}
	l := e.poolLoop(req.service.Pool)
	if l == nil {
		return refusal(reasonNotReady)
	}
	if !l.enter() {
		return refusal(reasonBusy)
	}
	defer l.requests.Add(-1)
	if req.service.Repeatable {
		return e.dispatch(ctx, l, req)
	}
	// The outcome of a request that runs at most once must be recorded even if its caller has disconnected.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), req.deadline)
	defer cancel()
	request := claim.Request{Service: req.service.Name, KeyHash: claim.HashKey(req.key), BodyDigest: req.digest, ClaimID: req.claimID}
	if r, granted := e.claim(ctx, request); !granted {
		return r
	}
	r := e.dispatch(ctx, l, req)
	e.queueOutcome(request, r.outcome)
	return r
}

// claim requests the right to run a request. It repeats an unanswered claim with the same claim id.
func (e *Entry) claim(ctx context.Context, request claim.Request) (reply, bool) {
	for wait := 10 * time.Millisecond; ; wait *= 2 {
		a, err := e.Claims.Claim(ctx, request)
		switch {
		case err != nil:
			interval.Wait(ctx, wait)
			if ctx.Err() == nil {
				continue
			}
			e.queueOutcome(request, claim.NotRun)
			return refusal(reasonClaimUnanswered), false
		case a.Decision == claim.Granted:
			return reply{}, true
		case a.Decision == claim.Duplicated:
			return reply{outcome: a.Outcome, reason: reasonDuplicate}, false
		case a.Decision == claim.Mismatched:
			return refusal(reasonKeyMismatch), false
		}
		e.queueOutcome(request, claim.NotRun)
		return refusal(a.Reason), false
	}
}

func (e *Entry) queueOutcome(r claim.Request, o claim.Outcome) {
	f := claim.Finish{Service: r.Service, KeyHash: r.KeyHash, ClaimID: r.ClaimID, Outcome: o}
	if e.reports.Offer(f) != nil {
		e.count("claimReportLost")
	}
}

// dispatch admits a request and makes its attempts.
func (e *Entry) dispatch(ctx context.Context, l *poolLoop, req *checkedRequest) reply {
	c := callPool.Get().(*call)
	*c = call{decisions: c.decisions, repeatable: req.service.Repeatable}
	c.arrival = admission.Arrival{
		Service: req.service.Name, Caller: hashName(req.caller), Deadline: req.deadline,
	}
	if req.team != "" {
		c.arrival.Team = hashName(req.team)
	}
	l.send(message{kind: messageArrive, call: c})
	var d decision
	select {
	case d = <-c.decisions:
	case <-ctx.Done():
		c.cancelled = true
		l.send(message{kind: messageCancel, call: c})
		d = <-c.decisions
	}
	return e.makeAttempts(ctx, l, req, c, d)
}

// makeAttempts executes the decisions of the pool's loop until the request has its reply.
func (e *Entry) makeAttempts(ctx context.Context, l *poolLoop, req *checkedRequest, c *call, d decision) reply {
	mayHaveRun := false
	last := refusal(reasonBackendUnreachable)
	for number := 1; ; number++ {
		if d.kind == decisionRefuse {
			c.recycle()
			if mayHaveRun {
				return last
			}
			return reply{outcome: claim.NotRun, reason: d.reason, retryAfter: d.retryAfter}
		}
		reason := e.blocked()
		if ctx.Err() != nil {
			reason = reasonCallerLeft
		}
		if reason != "" {
			l.send(message{kind: messageEnded, call: c, target: d.target, result: admission.Abandoned})
			if mayHaveRun {
				return last
			}
			return refusal(reason)
		}
		a := e.attempt(ctx, req, d.target)
		if a.err == nil && !a.response.refused() {
			l.send(message{kind: messageEnded, call: c, target: d.target, result: a.result, took: a.took})
			return reply{response: a.response, outcome: claim.Completed}
		}
		if a.err != nil {
			e.Log.Debug().Err(a.err).Str("request", req.id).Bool("sent", a.sent).Msg("attempt failed")
		}
		// A refusal by a backend server is trusted only for repeatable requests. A non-repeatable request is known not to
		// have run only if no byte of it was sent.
		outcomeUnknown := a.sent && (a.err != nil || !req.service.Repeatable)
		if outcomeUnknown || !mayHaveRun {
			last = failureReply(a, outcomeUnknown)
		}
		mayHaveRun = mayHaveRun || outcomeUnknown
		l.send(message{
			kind: messageFailed, call: c, target: d.target, result: a.result, took: a.took,
			retry: retry.Attempt{
				Outcome: retryOutcome(a), ByteSent: a.sent, Repeatable: req.service.Repeatable, Number: number, Deadline: req.deadline,
			},
		})
		if d = <-c.decisions; d.kind == decisionStop {
			c.recycle()
			return last
		}
		interval.Wait(ctx, d.delay)
		if ctx.Err() != nil {
			l.send(message{kind: messageGiveUp, call: c})
			return last
		}
		l.send(message{kind: messagePick, call: c})
		d = <-c.decisions
	}
}

func retryOutcome(a attemptResult) retry.Outcome {
	switch {
	case !a.sent:
		return retry.NotSent
	case a.err == nil:
		return retry.Refused
	default:
		return retry.Unknown
	}
}

// failureReply returns the reply for a failed attempt that is not retried.
func failureReply(a attemptResult, outcomeUnknown bool) reply {
	r := reply{outcome: claim.NotRun, reason: reasonBackendUnreachable}
	if outcomeUnknown {
		r.outcome = claim.Unknown
	}
	switch {
	case a.err == nil:
		r.reason = reasonBackendRefused
	case a.result == admission.TimedOut && a.sent:
		r.reason = reasonBackendTimeout
	case !a.sent:
		r.reason = reasonBackendUnreachable
	case errors.Is(a.err, errRequestIDMismatch):
		r.reason = reasonResponseMismatch
	case errors.Is(a.err, errOversized):
		r.reason = reasonResponseTooLarge
	case errors.Is(a.err, io.ErrUnexpectedEOF), errors.Is(a.err, errUnframed):
		r.reason = reasonResponseIncomplete
	default:
		r.reason = reasonConnectionLost
	}
	return r
}

var headPool = sync.Pool{New: func() any { b := make([]byte, 0, 2048); return &b }}

func (e *Entry) attempt(ctx context.Context, req *checkedRequest, t *target) attemptResult {
	b := t.backend.Load()
	buffer := headPool.Get().(*[]byte)
	remaining := req.deadline.Sub(e.Now())
	fields := [...][2]string{
		{headerRequestID, req.id},
		{headerClass, req.class},
		{headerDeadline, strconv.FormatInt(max(remaining.Milliseconds(), 0), 10)},
		{headerTeam, req.team},
		{headerKey, req.key},
	}
	backendReq := backendRequest{
		id: req.id, body: req.body, deadline: time.Now().Add(remaining), maxBody: maxAnswer(req.service),
		echoOptional: req.service.CorrelationOptional, repeatable: req.service.Repeatable,
		head: appendHead((*buffer)[:0], b.host, req.service.Name, req.header, fields[:], len(req.body)),
	}
	a := b.do(ctx, &backendReq)
	*buffer = backendReq.head[:0]
	headPool.Put(buffer)
	return a
}

func maxAnswer(s declaration.Service) int64 { return cmp.Or(s.MaxAnswer, 1<<20) }

func maxRequest(s declaration.Service) int64 { return cmp.Or(s.MaxRequest, 64<<10) }
