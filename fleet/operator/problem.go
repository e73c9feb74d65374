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

// problemTypePrefix is the part of a problem's type before the reason.
const problemTypePrefix = "https://verbenalanding.example/problems/"

// ProblemTitles holds the titles of problems by their reason.
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

func problemOf(status int, reason, detail string) message.Problem {
	return message.Problem{Type: problemTypePrefix + reason, Title: ProblemTitles[reason], Status: status, Detail: detail, Reason: reason}
}

// changeProblem turns an error of a call that changes the configuration into a problem with the outcome of the change.
func changeProblem(err error, changeID string) message.Problem {
	p := problemFor(err)
	p.ChangeID = changeID
	p.Outcome = message.NotApplied
	if p.Reason == message.ReasonUnknownOutcome {
		p.Outcome = message.Unknown
	}
	return p
}

// problemFor turns an error of a call into a problem.
func problemFor(err error) message.Problem {
	var problems declaration.Problems
	var conflict *configuration.ConflictError
	var tooLarge *http.MaxBytesError
	var invalid *invalidError
	switch {
	case errors.As(err, &problems):
		p := problemOf(http.StatusUnprocessableEntity, message.ReasonRefused, problems.Error())
		if errors.Is(err, declaration.ErrEdit) {
			p = problemOf(http.StatusUnprocessableEntity, message.ReasonEdit, problems.Error())
		}
		p.Problems = problems
		return p
	case errors.As(err, &conflict):
		p := problemOf(http.StatusConflict, message.ReasonConflict, conflict.Error())
		p.Other, p.Objects = &conflict.Other, conflict.Objects
		return p
	case errors.As(err, &tooLarge):
		return problemOf(http.StatusRequestEntityTooLarge, message.ReasonTooLarge, fmt.Sprintf("the body is larger than %d bytes", tooLarge.Limit))
	case errors.Is(err, store.ErrTooLarge):
		return problemOf(http.StatusRequestEntityTooLarge, message.ReasonTooLarge, "the change is larger than the store takes; split it over several changes")
	case errors.As(err, &invalid):
		return problemOf(http.StatusBadRequest, message.ReasonInvalid, invalid.Error())
	case errors.Is(err, configuration.ErrUnknownOutcome):
		return problemOf(http.StatusGatewayTimeout, message.ReasonUnknownOutcome, "repeat the call with the same change id; it is applied at most once")
	case errors.Is(err, configuration.ErrNotReady):
		return problemOf(http.StatusServiceUnavailable, message.ReasonNotReady, err.Error())
	case errors.Is(err, ErrUnknownReport), errors.Is(err, errNotFound):
		return problemOf(http.StatusNotFound, message.ReasonNotFound, err.Error())
	}
	return problemOf(http.StatusServiceUnavailable, message.ReasonUnavailable, err.Error())
}

// errNotFound is wrapped by errors about the subject of a why statement that has no declaration or record.
var errNotFound = errors.New("not found")

// invalidError reports a request that is malformed.
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
