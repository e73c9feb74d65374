package operator

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"verbenalanding.example/fleet/configuration"
	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/operator/message"
	"verbenalanding.example/fleet/store"
)

// problemTypePrefix precedes the reason in the type of a problem.
const problemTypePrefix = "https://verbenalanding.example/problems/"

// ProblemTitles maps the reason of a problem to its title.
var ProblemTitles = map[string]string{
	message.ReasonUnauthorized:   "The token is missing or unknown",
	message.ReasonForbidden:      "The role does not allow this call",
	message.ReasonInvalid:        "The request is not valid",
	message.ReasonTooLarge:       "The request is too large",
	message.ReasonRefused:        "The declarations or the statement are refused",
	message.ReasonEdit:           "Decisions of the system cannot be edited",
	message.ReasonConflict:       "Another change touched the same objects",
	message.ReasonNotReady:       "No configuration has been read yet",
	message.ReasonUnavailable:    "The call cannot be served now",
	message.ReasonUnknownOutcome: "It is not known whether the change was applied",
	message.ReasonNotFound:       "There is no such thing",
	message.ReasonBusy:           "Too many calls are in progress",
	message.ReasonInternal:       "The call failed inside the daemon",
}

func newProblem(status int, reason, detail string) message.Problem {
	return message.Problem{Type: problemTypePrefix + reason, Title: ProblemTitles[reason], Status: status, Detail: detail, Reason: reason}
}

// changeProblem returns the problem for an error of a call that changes the configuration, with the outcome of the change.
func changeProblem(err error, changeID string) message.Problem {
	p := problemFromError(err)
	p.ChangeID = changeID
	p.Outcome = message.NotApplied
	if p.Reason == message.ReasonUnknownOutcome {
		p.Outcome = message.Unknown
	}
	return p
}

// problemFromError returns the problem for an error of a call.
func problemFromError(err error) message.Problem {
	var problems declaration.Problems
	var conflict *configuration.ConflictError
	var tooLarge *http.MaxBytesError
	var invalid *invalidError
	switch {
	case errors.As(err, &problems):
		p := newProblem(http.StatusUnprocessableEntity, message.ReasonRefused, problems.Error())
		if errors.Is(err, declaration.ErrEdit) {
			p = newProblem(http.StatusUnprocessableEntity, message.ReasonEdit, problems.Error())
		}
		p.Problems = problems
		return p
	case errors.As(err, &conflict):
		p := newProblem(http.StatusConflict, message.ReasonConflict, conflict.Error())
		p.Other, p.Objects = &conflict.Other, conflict.Objects
		return p
	case errors.As(err, &tooLarge):
		return newProblem(http.StatusRequestEntityTooLarge, message.ReasonTooLarge, fmt.Sprintf("the body is larger than %d bytes", tooLarge.Limit))
	case errors.Is(err, store.ErrTooLarge):
		return newProblem(http.StatusRequestEntityTooLarge, message.ReasonTooLarge, "the change is larger than the store takes; split it over several changes")
	case errors.As(err, &invalid):
		return newProblem(http.StatusBadRequest, message.ReasonInvalid, invalid.Error())
	case errors.Is(err, configuration.ErrUnknownOutcome):
		return newProblem(http.StatusGatewayTimeout, message.ReasonUnknownOutcome, "repeat the call with the same change id; it is applied at most once")
	case errors.Is(err, configuration.ErrNotReady):
		return newProblem(http.StatusServiceUnavailable, message.ReasonNotReady, err.Error())
	case errors.Is(err, ErrUnknownReport), errors.Is(err, errNotFound):
		return newProblem(http.StatusNotFound, message.ReasonNotFound, err.Error())
	}
	return newProblem(http.StatusServiceUnavailable, message.ReasonUnavailable, err.Error())
}

// errNotFound is wrapped by the error for a why statement whose subject has neither a declaration nor a record.
var errNotFound = errors.New("not found")

// invalidError reports a malformed request.
type invalidError struct{ detail string }

// Error describes what is wrong with the request.
func (e *invalidError) Error() string { return e.detail }

func (s *Server) fail(w http.ResponseWriter, r *http.Request, p message.Problem) {
	c := callOf(r)
	p.RequestID, c.reason = c.id, p.Reason
	if p.Status >= http.StatusInternalServerError {
		s.Log.Warn().Str("requestId", c.id).Str("reason", p.Reason).Str("detail", p.Detail).Msg("operator call refused")
	}
	s.reply(w, p.Status, "application/problem+json", p)
}

func (s *Server) reply(w http.ResponseWriter, status int, contentType string, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		s.Log.Error().Err(err).Msg("cannot encode answer to operator")
		http.Error(w, "answer cannot be encoded", http.StatusInternalServerError)
		return
	}
	s.send(w, status, Rendered{ContentType: contentType, Body: encoded})
}

func (s *Server) send(w http.ResponseWriter, status int, r Rendered) {
	h := w.Header()
	h.Set("Content-Type", r.ContentType)
	h.Set("Cache-Control", "no-store")
	h.Set("X-Content-Type-Options", "nosniff")
	w.WriteHeader(status)
	if _, err := w.Write(r.Body); err != nil {
		s.Log.Debug().Err(err).Msg("cannot send answer to operator")
	}
}
