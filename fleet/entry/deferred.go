package entry

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"

	"github.com/go-chi/chi/v5"

	"verbenalanding.example/fleet/claim"
	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/deferred"
	"verbenalanding.example/fleet/store"
)

// DeferredStatus is the response to a status request for deferred work.
type DeferredStatus struct {
	ID       string         `json:"id"`
	Service  string         `json:"service"`
	State    deferred.State `json:"state"`
	Attempts int            `json:"attempts"`
	Reason   string         `json:"reason,omitempty"`
	// Status, AnswerType and Answer are the backend server's response to completed work.
	Status        int    `json:"status,omitempty"`
	AnswerType    string `json:"answerType,omitempty"`
	Answer        []byte `json:"answer,omitempty"`
	AnswerDropped bool   `json:"answerDropped,omitempty"`
}

// serveDeferred responds with status 202 once the work is recorded.
func (e *Entry) serveDeferred(w http.ResponseWriter, r *http.Request) {
	req, p := e.check(r)
	if p == nil {
		p = e.readBody(w, r, req)
	}
	if p != nil {
		e.refuse(w, r, *p)
		return
	}
	defer e.releaseBody(req)
	problem := Problem{Outcome: claim.NotRun, Service: req.service.Name, RequestID: req.id, Revision: req.revision}
	if e.phase.Load() == refusing {
		problem.Reason = reasonLeaving
		e.problem(w, problem, 0)
		return
	}
	work := deferred.Work{
		ID: deferred.NewID(req.service.Name, cmp.Or(req.key, "\x00"+req.id)), Service: req.service.Name,
		Class: declaration.Class(req.class), Team: req.team, Key: req.key, ContentType: headerValue(r, "Content-Type"),
		Body: req.body, BodyDigest: digest(req.body), Repeatable: req.service.Repeatable,
		Deadline: cmp.Or(req.service.Deadline, MaxDeadline),
	}
	ctx, cancel := context.WithDeadline(r.Context(), req.deadline)
	defer cancel()
	err := e.Deferred.Accept(ctx, work)
	if err == nil {
		e.count("deferredAccepted")
		w.Header().Set("Location", "/v1/deferred/"+work.ID)
		e.json(w, http.StatusAccepted, req.id, DeferredStatus{ID: work.ID, Service: work.Service, State: deferred.Waiting})
		return
	}
	switch {
	case errors.Is(err, deferred.ErrFull):
		problem.Reason = reasonBacklogFull
	case errors.Is(err, deferred.ErrMismatch):
		problem.Reason = reasonKeyMismatch
	case errors.Is(err, store.ErrTooLarge):
		problem.Reason = reasonTooLarge
	case errors.Is(err, deferred.ErrUnknown):
		problem.Outcome, problem.Reason = claim.Unknown, reasonNotRecorded
		problem.Detail = "read /v1/deferred/" + work.ID + " to learn whether the work was recorded"
	default:
		problem.Reason = reasonStoreDown
	}
	e.problem(w, problem, 0)
}

func (e *Entry) serveStatus(w http.ResponseWriter, r *http.Request) {
	id, requestID := chi.URLParam(r, "id"), newID()
	if !printable(id) || len(id) > 64 {
		e.problem(w, Problem{Outcome: claim.NotRun, Reason: reasonNotFound, RequestID: requestID}, 0)
		return
	}
	record, err := deferred.Lookup(r.Context(), e.Store, id)
	switch {
	case errors.Is(err, deferred.ErrNotFound):
		e.problem(w, Problem{Outcome: claim.NotRun, Reason: reasonNotFound, RequestID: requestID}, 0)
	case err != nil:
		e.problem(w, Problem{Outcome: claim.NotRun, Reason: reasonStoreDown, RequestID: requestID}, 0)
	default:
		e.json(w, http.StatusOK, requestID, DeferredStatus{
			ID: record.ID, Service: record.Service, State: record.State, Attempts: record.Attempts, Reason: record.Reason,
			Status: record.Status, AnswerType: record.AnswerType, Answer: record.Answer, AnswerDropped: record.AnswerDropped,
		})
	}
}

func (e *Entry) json(w http.ResponseWriter, status int, id string, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.Header().Set(headerRequestID, id)
	e.send(w, status, body)
}

// Execute runs one attempt of deferred work; it is the deferred.Executor of the shard holders.
func (e *Entry) Execute(ctx context.Context, w deferred.Work, attempt int) deferred.Result {
	e.Default()
	set, revision, ok := e.Configuration.Current()
	if !ok {
		return deferred.Result{State: deferred.Waiting, Reason: reasonNotReady}
	}
	service, found := set.Services[w.Service]
	if !found {
		return deferred.Result{State: deferred.Waiting, Reason: "unknownService"}
	}
	// Work that was accepted as non-repeatable stays so even if the declaration of the service has changed since.
	service.Repeatable = service.Repeatable && w.Repeatable
	req := &checkedRequest{
		id: newID(), claimID: fmt.Sprintf("%s/%d", w.ID, attempt), service: service, class: string(w.Class),
		team: w.Team, caller: "deferred", key: cmp.Or(w.Key, w.ID), digest: w.BodyDigest, body: w.Body,
		header: http.Header{"Content-Type": {w.ContentType}}, deadline: e.Now().Add(w.Deadline), revision: revision,
	}
	r := e.perform(ctx, req)
	switch {
	case r.response != nil:
		return deferred.Result{
			State: deferred.Completed, Status: r.response.status,
			AnswerType: r.response.header.Get("Content-Type"), Answer: r.response.body,
		}
	case r.reason == reasonDuplicate, r.reason == reasonKeyMismatch:
		return deferred.Result{State: deferred.Duplicate, Reason: string(r.outcome)}
	case r.outcome == claim.NotRun:
		return deferred.Result{State: deferred.Waiting, Reason: r.reason}
	default:
		return deferred.Result{State: deferred.Unknown, Reason: r.reason}
	}
}
