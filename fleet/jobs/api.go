package jobs

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"verbenalanding.example/fleet/platform"
	"verbenalanding.example/fleet/record"
	"verbenalanding.example/fleet/store"
)

// maxSubmission limits the body of a submission in bytes; the argument is its largest part.
const maxSubmission = 2 * maxArgument

// maxCancelled limits the number of jobs in one request to cancel jobs.
const maxCancelled = 1000

// Submission is the body of a request to run a job.
type Submission struct {
	ID           string    `json:"id"`
	Team         string    `json:"team"`
	Class        string    `json:"class"`
	Kind         string    `json:"kind"`
	MilliCores   int64     `json:"milliCores"`
	MemoryBytes  int64     `json:"memoryBytes"`
	Accelerators int64     `json:"accelerators"`
	RunTime      string    `json:"runTime"`
	Deadline     time.Time `json:"deadline,omitzero"`
	Repeatable   bool      `json:"repeatable"`
	Checkpoints  bool      `json:"checkpoints"`
	Argument     string    `json:"argument,omitempty"`
}

// Cancellation is the body of a request to cancel jobs.
type Cancellation struct {
	IDs []string `json:"ids"`
}

// problem is an RFC 9457 problem about a job.
type problem struct {
	Type    string `json:"type"`
	Title   string `json:"title"`
	Status  int    `json:"status"`
	Detail  string `json:"detail"`
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
}

// API serves the HTTP endpoints that teams use to submit, cancel and query jobs.
type API struct {
	Intake *Intake
}

// Routes registers the endpoints on a router.
func (a *API) Routes(r chi.Router) {
	r.Post("/v1/pools/{pool}/jobs", a.submit)
	r.Post("/v1/pools/{pool}/jobs/cancel", a.cancel)
	r.Get("/v1/pools/{pool}/jobs/{id}", a.state)
}

func (a *API) submit(w http.ResponseWriter, r *http.Request) {
	var s Submission
	if err := decodeBody(w, r, &s); err != nil {
		writeProblem(w, http.StatusBadRequest, "notRun", "invalidRequest", err)
		return
	}
	j, err := s.job(chi.URLParam(r, "pool"))
	if err == nil {
		j, err = a.Intake.Submit(r.Context(), j)
	}
	switch {
	case err == nil:
		writeJSON(w, http.StatusAccepted, j)
	case errors.Is(err, ErrUnknownOutcome):
		writeProblem(w, http.StatusServiceUnavailable, "unknown", "unknownOutcome", err)
	case errors.Is(err, ErrNotSent):
		writeProblem(w, http.StatusServiceUnavailable, "notRun", "storeDown", err)
	case errors.Is(err, ErrDuplicate):
		writeProblem(w, http.StatusConflict, "notRun", "duplicate", err)
	case errors.Is(err, ErrTooLarge):
		writeProblem(w, http.StatusUnprocessableEntity, "notRun", "tooLarge", err)
	case errors.Is(err, ErrQuota):
		writeProblem(w, http.StatusUnprocessableEntity, "notRun", "quota", err)
	case errors.Is(err, ErrRefused):
		writeProblem(w, http.StatusUnprocessableEntity, "notRun", "invalidJob", err)
	default:
		writeProblem(w, http.StatusServiceUnavailable, "notRun", "storeDown", err)
	}
}

func (s Submission) job(pool string) (record.Job, error) {
	runTime, err := time.ParseDuration(s.RunTime)
	if err != nil {
		return record.Job{}, fmt.Errorf("%w: runTime %q is not a duration such as 90s", ErrInvalid, s.RunTime)
	}
	return record.Job{
		ID: s.ID, Team: s.Team, Pool: pool, Class: s.Class, Kind: s.Kind,
		Declared: platform.Resources{MilliCores: s.MilliCores, MemoryBytes: s.MemoryBytes, Accelerators: s.Accelerators},
		RunTime:  runTime, Deadline: s.Deadline, Repeatable: s.Repeatable, Checkpoints: s.Checkpoints, Argument: s.Argument,
	}, nil
}

func (a *API) cancel(w http.ResponseWriter, r *http.Request) {
	var c Cancellation
	err := decodeBody(w, r, &c)
	if err == nil && (len(c.IDs) == 0 || len(c.IDs) > maxCancelled) {
		err = fmt.Errorf("ids holds %d jobs, want 1 to %d", len(c.IDs), maxCancelled)
	}
	if err != nil {
		writeProblem(w, http.StatusBadRequest, "notRun", "invalidRequest", err)
		return
	}
	if err := a.Intake.Cancel(r.Context(), chi.URLParam(r, "pool"), c.IDs); err != nil {
		writeProblem(w, http.StatusServiceUnavailable, "unknown", "storeDown", err)
		return
	}
	w.WriteHeader(http.StatusAccepted)
}

func (a *API) state(w http.ResponseWriter, r *http.Request) {
	pool, id := chi.URLParam(r, "pool"), chi.URLParam(r, "id")
	j, _, err := record.Load[record.Job](r.Context(), a.Intake.Store, Key(ShardOf(pool, a.Intake.shards()), id))
	switch {
	case err == nil && j.Pool == pool:
		writeJSON(w, http.StatusOK, j)
	case err == nil || errors.Is(err, store.ErrNotFound):
		writeProblem(w, http.StatusNotFound, "notRun", "notFound", fmt.Errorf("no job %q in pool %q", id, pool))
	default:
		writeProblem(w, http.StatusServiceUnavailable, "unknown", "storeDown", err)
	}
}

// decodeBody decodes a JSON request body and rejects unknown fields.
func decodeBody(w http.ResponseWriter, r *http.Request, value any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxSubmission))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		return fmt.Errorf("read body: %w", err)
	}
	if decoder.More() {
		return errors.New("read body: more than one JSON value")
	}
	return nil
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}

func writeProblem(w http.ResponseWriter, status int, outcome, reason string, err error) {
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(problem{
		Type: "https://verbenalanding.example/problems/" + reason, Title: http.StatusText(status), Status: status,
		Detail: err.Error(), Outcome: outcome, Reason: reason,
	})
}
