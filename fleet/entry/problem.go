package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"verbenalanding.example/fleet/admission"
	"verbenalanding.example/fleet/claim"
)

// Reasons of responses that do not come from a backend server, besides those of admission and claim.
const (
	reasonInvalidHeader      = "invalidHeader"
	reasonInvalidRequest     = "invalidRequest"
	reasonLengthRequired     = "lengthRequired"
	reasonTooLarge           = "requestTooLarge"
	reasonBodyNotReceived    = "bodyNotReceived"
	reasonUnknownTeam        = "unknownTeam"
	reasonNotReady           = "notReady"
	reasonLeaving            = "leaving"
	reasonPaused             = "pauseRefresh"
	reasonViewTimeout        = "viewTimeout"
	reasonBusy               = "entryBusy"
	reasonMemory             = "entryMemory"
	reasonCallerLeft         = "callerLeft"
	reasonBackendUnreachable = "backendUnreachable"
	reasonBackendRefused     = "backendRefused"
	reasonBackendTimeout     = "backendTimeout"
	reasonResponseMismatch   = "responseMismatch"
	reasonResponseTooLarge   = "responseTooLarge"
	reasonResponseIncomplete = "responseIncomplete"
	reasonConnectionLost     = "connectionLost"
	reasonDuplicate          = "duplicateKey"
	reasonKeyMismatch        = "keyMismatch"
	reasonClaimUnanswered    = "claimUnanswered"
	reasonBacklogFull        = "backlogFull"
	reasonStoreDown          = "storeDown"
	reasonNotRecorded        = "recordUnknown"
	reasonNotFound           = "notFound"
	reasonMethod             = "methodNotAllowed"
)

const outcomeNotRun = string(claim.NotRun)

// problemType is the prefix of problem types; the reason follows.
const problemType = "https://verbenalanding.example/problems/"

// Problem is the RFC 9457 body of a response that does not come from a backend server.
type Problem struct {
	Type      string        `json:"type"`
	Title     string        `json:"title"`
	Status    int           `json:"status"`
	Detail    string        `json:"detail,omitempty"`
	Outcome   claim.Outcome `json:"outcome"`
	Reason    string        `json:"reason"`
	Service   string        `json:"service,omitempty"`
	RequestID string        `json:"requestId"`
	Revision  uint64        `json:"revision"`
}

var statuses = map[string]int{
	reasonInvalidHeader: http.StatusBadRequest, reasonInvalidRequest: http.StatusBadRequest,
	reasonLengthRequired: http.StatusLengthRequired, reasonTooLarge: http.StatusRequestEntityTooLarge,
	reasonBodyNotReceived: http.StatusRequestTimeout, reasonUnknownTeam: http.StatusForbidden,
	reasonDuplicate: http.StatusConflict, reasonKeyMismatch: http.StatusUnprocessableEntity,
	reasonNotFound: http.StatusNotFound, reasonMethod: http.StatusMethodNotAllowed,
	admission.UnknownService.String(): http.StatusNotFound,
	admission.CallerLimit.String():    http.StatusTooManyRequests,
	admission.TeamLimit.String():      http.StatusTooManyRequests,
	reasonBackendTimeout:              http.StatusGatewayTimeout,
}

// statusOf returns the HTTP status of a reason; for other reasons than those in statuses, 502 if the request may have run
// and 503 otherwise.
func statusOf(reason string, o claim.Outcome) int {
	if status, found := statuses[reason]; found {
		return status
	}
	if o == claim.NotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}

func titleOf(o claim.Outcome) string {
	switch o {
	case claim.NotRun:
		return "The request was not run"
	case claim.Completed:
		return "The request was completed before"
	default:
		return "It is not known whether the request was run"
	}
}

func (e *Entry) problem(w http.ResponseWriter, p Problem, retryAfter time.Duration) {
	p.Type = problemType + p.Reason
	p.Title = titleOf(p.Outcome)
	if p.Status == 0 {
		p.Status = statusOf(p.Reason, p.Outcome)
	}
	e.count(string(p.Outcome) + "." + p.Reason)
	body, err := json.Marshal(p)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(headerRequestID, p.RequestID)
	h.Set(headerOutcome, string(p.Outcome))
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int((retryAfter+time.Second-1)/time.Second)))
	}
	e.send(w, p.Status, body)
}
