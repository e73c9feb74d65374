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

// forwarded are the callers' headers that are passed on; everything else ends at the entry instance.
var forwarded = []string{"Content-Type", "Content-Encoding", "Accept", "Accept-Language", "Traceparent", "Tracestate"}

// job is a checked request.
type job struct {
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
	// pooled is where the body goes back to.
	pooled   *[]byte
	deadline time.Time
	revision uint64
}

// reply is what becomes of a job: a response of the backend server, or an outcome with its reason.
type reply struct {
	response   *inbound
	outcome    claim.Outcome
	reason     string
	status     int
	retryAfter time.Duration
}

func refusal(reason string) reply {
	return reply{outcome: claim.NotRun, reason: reason}
}

var seed = maphash.MakeSeed()

// hashName never returns 0, which admission exempts from limits.
func hashName(name string) uint64 {
	return max(maphash.String(seed, name), 1)
}

// perform runs a job at most once per claim and answers truthfully what became of it.
func (e *Entry) perform(ctx context.Context, j *job) reply {
	// Counting precedes the check, so that a leaving process that counts no request will not start another one.
	e.live.Add(1)
	defer e.live.Add(-1)
	if e.leaving.Load() == refusing {
		return refusal(reasonLeaving)
	}
	if reason := e.blocked(); reason != "" {
		return refusal(reason)
	}
	l := e.lane(j.service.Pool)
	if l == nil {
		return refusal(reasonNotReady)
	}
	if !l.enter() {
		return refusal(reasonBusy)
	}
	defer l.live.Add(-1)
	if j.service.Repeatable {
		return e.dispatch(ctx, l, j)
	}
	// The outcome of a request that runs at most once is worth knowing after its caller has left.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), j.deadline)
	defer cancel()
	request := claim.Request{Service: j.service.Name, KeyHash: claim.HashKey(j.key), BodyDigest: j.digest, ClaimID: j.claimID}
	if r, granted := e.claim(ctx, request); !granted {
		return r
	}
	r := e.dispatch(ctx, l, j)
	e.finish(request, r.outcome)
	return r
}

// claim asks for the right to run a request. A lost answer is asked for again with the same claim id.
func (e *Entry) claim(ctx context.Context, request claim.Request) (reply, bool) {
	for wait := 10 * time.Millisecond; ; wait *= 2 {
		a, err := e.Claims.Claim(ctx, request)
		switch {
		case err != nil:
			interval.Wait(ctx, wait)
			if ctx.Err() == nil {
				continue
			}
			e.finish(request, claim.NotRun)
			return refusal(reasonClaimUnanswered), false
		case a.Decision == claim.Granted:
			return reply{}, true
		case a.Decision == claim.Duplicated:
			return reply{outcome: a.Outcome, reason: reasonDuplicate}, false
		case a.Decision == claim.Mismatched:
			return refusal(reasonKeyMismatch), false
		}
		e.finish(request, claim.NotRun)
		return refusal(a.Reason), false
	}
}

func (e *Entry) finish(r claim.Request, o claim.Outcome) {
	f := claim.Finish{Service: r.Service, KeyHash: r.KeyHash, ClaimID: r.ClaimID, Outcome: o}
	if e.reports.Offer(f) != nil {
		e.count("claimReportLost")
	}
}

// dispatch admits a job and makes its attempts.
func (e *Entry) dispatch(ctx context.Context, l *lane, j *job) reply {
	c := callPool.Get().(*call)
	*c = call{verdict: c.verdict, repeatable: j.service.Repeatable}
	c.arrival = admission.Arrival{
		Service: j.service.Name, Caller: hashName(j.caller), Deadline: j.deadline,
	}
	if j.team != "" {
		c.arrival.Team = hashName(j.team)
	}
	l.send(message{kind: messageArrive, call: c})
	var v verdict
	select {
	case v = <-c.verdict:
	case <-ctx.Done():
		c.cancelled = true
		l.send(message{kind: messageCancel, call: c})
		v = <-c.verdict
	}
	return e.attempts(ctx, l, j, c, v)
}

// attempts follows the verdicts of the pool's goroutine until the job has its reply.
func (e *Entry) attempts(ctx context.Context, l *lane, j *job, c *call, v verdict) reply {
	anySent := false
	last := refusal(reasonNotSent)
	for number := 1; ; number++ {
		if v.kind == verdictRefuse {
			c.recycle()
			if anySent {
				return last
			}
			return reply{outcome: claim.NotRun, reason: v.reason, retryAfter: v.retryAfter}
		}
		reason := e.blocked()
		if ctx.Err() != nil {
			reason = reasonCancelled
		}
		if reason != "" {
			l.send(message{kind: messageEnded, call: c, target: v.target, result: admission.Abandoned})
			if anySent {
				return last
			}
			return refusal(reason)
		}
		a := e.attempt(ctx, j, v.target)
		if a.err == nil && !a.response.refused() {
			l.send(message{kind: messageEnded, call: c, target: v.target, result: a.result, took: a.took})
			return reply{response: a.response, outcome: claim.Completed}
		}
		if a.err != nil {
			e.Log.Debug().Err(a.err).Str("request", j.id).Bool("sent", a.sent).Msg("attempt failed")
		}
		// A refusal by a backend server is trusted for work that may be repeated. For other work only bytes that were
		// never sent prove that it did not run.
		unclear := a.sent && (a.err != nil || !j.service.Repeatable)
		if unclear || !anySent {
			last = describe(a, unclear)
		}
		anySent = anySent || unclear
		l.send(message{
			kind: messageFailed, call: c, target: v.target, result: a.result, took: a.took,
			retry: retry.Attempt{
				Outcome: retryOutcome(a), ByteSent: a.sent, Repeatable: j.service.Repeatable, Number: number, Deadline: j.deadline,
			},
		})
		if v = <-c.verdict; v.kind == verdictStop {
			c.recycle()
			return last
		}
		interval.Wait(ctx, v.delay)
		if ctx.Err() != nil {
			l.send(message{kind: messageGiveUp, call: c})
			return last
		}
		l.send(message{kind: messagePick, call: c})
		v = <-c.verdict
	}
}

func retryOutcome(a attempted) retry.Outcome {
	switch {
	case !a.sent:
		return retry.NotSent
	case a.err == nil:
		return retry.Refused
	default:
		return retry.Unknown
	}
}

// describe names the reply that an attempt leads to when it is not repeated.
func describe(a attempted, unclear bool) reply {
	r := reply{outcome: claim.NotRun, reason: reasonNotSent}
	if unclear {
		r.outcome = claim.Unknown
	}
	switch {
	case a.err == nil:
		r.reason = reasonBackendRefused
	case a.result == admission.TimedOut && a.sent:
		r.reason = reasonTimedOut
	case !a.sent:
		r.reason = reasonNotSent
	case errors.Is(a.err, errEcho):
		r.reason = reasonCrossed
	case errors.Is(a.err, errOversized):
		r.reason = reasonOversized
	case errors.Is(a.err, io.ErrUnexpectedEOF), errors.Is(a.err, errUnframed):
		r.reason = reasonCut
	default:
		r.reason = reasonConnectionLost
	}
	return r
}

var headPool = sync.Pool{New: func() any { b := make([]byte, 0, 2048); return &b }}

func (e *Entry) attempt(ctx context.Context, j *job, t *target) attempted {
	b := t.backend.Load()
	buffer := headPool.Get().(*[]byte)
	left := j.deadline.Sub(e.Now())
	fields := [...][2]string{
		{headerRequestID, j.id},
		{headerClass, j.class},
		{headerDeadline, strconv.FormatInt(max(left.Milliseconds(), 0), 10)},
		{headerTeam, j.team},
		{headerKey, j.key},
	}
	o := outbound{
		id: j.id, body: j.body, deadline: time.Now().Add(left), maxBody: maxAnswer(j.service),
		echoOptional: j.service.CorrelationOptional, repeatable: j.service.Repeatable,
		head: appendHead((*buffer)[:0], b.host, j.service.Name, j.header, fields[:], len(j.body)),
	}
	a := b.do(ctx, &o)
	*buffer = o.head[:0]
	headPool.Put(buffer)
	return a
}

func maxAnswer(s declaration.Service) int64 { return cmp.Or(s.MaxAnswer, 1<<20) }

func maxRequest(s declaration.Service) int64 { return cmp.Or(s.MaxRequest, 64<<10) }
