package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"

	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"

	"verbenalanding.example/fleet/configuration"
	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/operator/message"
)

// history is implemented by a Configuration that keeps recent changes, as configuration.Log does. It is needed to answer
// a repeated intent, which would be refused if checked again after it has taken effect.
type history interface {
	Since(after uint64) (configuration.State, error)
}

// acceptedChange returns the recent accepted change with an id.
func (s *Server) acceptedChange(changeID string) (configuration.Change, bool) {
	log, ok := s.Configuration.(history)
	if !ok {
		return configuration.Change{}, false
	}
	state, err := log.Since(0)
	if err != nil {
		return configuration.Change{}, false
	}
	i := slices.IndexFunc(state.Recent, func(c configuration.Change) bool { return c.ID == changeID })
	if i < 0 {
		return configuration.Change{}, false
	}
	return state.Recent[i], true
}

// readBody decodes the request body, which must be exactly one JSON object without unknown fields.
func readBody[T any](r *http.Request) (T, error) {
	var body T
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&body)
	if err == nil {
		_, err = decoder.Token()
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		err = errors.Join(errors.New("text after the JSON object"), err)
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return body, err
	}
	return body, &invalidError{detail: "the body is not the expected JSON object: " + err.Error()}
}

func checkChangeID(id string) error {
	if _, err := uuid.Parse(id); err != nil {
		return &invalidError{detail: fmt.Sprintf("changeId %q is not a UUID", id)}
	}
	return nil
}

func (s *Server) apply(w http.ResponseWriter, r *http.Request) {
	request, err := readBody[message.Apply](r)
	if err == nil {
		err = checkChangeID(request.ChangeID)
	}
	if err != nil {
		s.fail(w, r, changeProblem(err, request.ChangeID))
		return
	}
	callOf(r).changeID = request.ChangeID
	applied, err := s.applyFiles(r.Context(), request, callOf(r).identity.Name)
	if err != nil {
		s.fail(w, r, changeProblem(err, request.ChangeID))
		return
	}
	callOf(r).revision = applied.Revision
	s.reply(w, http.StatusOK, "application/json", applied)
}

func (s *Server) applyFiles(ctx context.Context, request message.Apply, by string) (message.Applied, error) {
	current, revision, err := s.currentFor(request.Base)
	if err != nil {
		return message.Applied{}, err
	}
	next, err := s.resolve(ctx, current, request.Files, declaration.Options{Prune: request.Prune, By: by, Now: s.Now()})
	if err != nil {
		return message.Applied{}, err
	}
	return s.propose(ctx, configuration.Change{ID: request.ChangeID, Base: baseOrCurrent(request.Base, revision), By: by}, current, next, revision)
}

// errBaseNotReached is returned if this entry instance has not yet read the change log up to the base of a change.
var errBaseNotReached = errors.New("this entry instance has not yet reached the base revision; repeat the call")

// currentFor returns the set in force, or errBaseNotReached if it is older than the base of a change. A delta computed from
// an older set would lack the fields that the operator wants to revert.
func (s *Server) currentFor(base uint64) (declaration.Set, uint64, error) {
	set, revision, err := s.Configuration.Current()
	if err == nil && revision < base {
		err = fmt.Errorf("revision %d is in force here, base is %d: %w", revision, base, errBaseNotReached)
	}
	return set, revision, err
}

func baseOrCurrent(requested, revision uint64) uint64 {
	if requested == 0 {
		return revision
	}
	return requested
}

// resolve returns the set that results from applying the files. It checks the set for consistency and against the fleet.
func (s *Server) resolve(ctx context.Context, current declaration.Set, files []declaration.File, o declaration.Options) (declaration.Set, error) {
	if len(files) == 0 {
		return current, &invalidError{detail: "no files were given"}
	}
	d, err := declaration.Parse(files...)
	if err != nil {
		return current, err
	}
	next := d.ApplyTo(current, o)
	if err := d.Check(next); err != nil {
		return current, err
	}
	return next, s.checkFleet(ctx, d, current, next)
}

// propose proposes the difference between two sets as a change. If there is none, it reports the set as unchanged.
func (s *Server) propose(ctx context.Context, c configuration.Change, current, next declaration.Set, revision uint64) (message.Applied, error) {
	c.Delta = declaration.Diff(current, next)
	if c.Delta.Empty() {
		return message.Applied{ChangeID: c.ID, Revision: revision, Unchanged: true}, nil
	}
	accepted, err := s.Configuration.Propose(ctx, c)
	if err != nil {
		return message.Applied{}, err
	}
	return appliedOf(accepted), checkSameObjects(accepted, c.Delta.Refs())
}

// checkSameObjects refuses a change id that an earlier change of other objects used. Otherwise the answer would report the
// new change as applied although it was not.
func checkSameObjects(accepted configuration.Change, requested []declaration.Ref) error {
	touched := accepted.Delta.Refs()
	for _, r := range requested {
		if !slices.Contains(touched, r) {
			return &invalidError{detail: fmt.Sprintf("change id %s was used for revision %d, which did not touch %s %s; use a new change id", accepted.ID, accepted.Number, r.Kind, r.Name)}
		}
	}
	return nil
}

func appliedOf(c configuration.Change) message.Applied {
	written := c.Delta
	written.Removed = nil
	return message.Applied{ChangeID: c.ID, Revision: c.Number, Written: written.Refs(), Removed: c.Delta.Removed}
}

func (s *Server) export(w http.ResponseWriter, r *http.Request) {
	set, revision, err := s.Configuration.Current()
	if err != nil {
		s.fail(w, r, problemFromError(err))
		return
	}
	callOf(r).revision = revision
	w.Header().Set(message.RevisionHeader, strconv.FormatUint(revision, 10))
	s.send(w, http.StatusOK, Rendered{ContentType: "text/plain; charset=utf-8", Body: []byte(declaration.Export(set))})
}

func (s *Server) version(w http.ResponseWriter, _ *http.Request) {
	_, revision, err := s.Configuration.Current()
	if err != nil {
		revision = 0
	}
	s.reply(w, http.StatusOK, "application/json", message.Version{Version: s.Version, Revision: revision})
}

func (s *Server) report(w http.ResponseWriter, r *http.Request) {
	format := r.URL.Query().Get("format")
	if format == "" {
		format = "text"
	}
	rendered, err := s.Reports.Report(r.Context(), chi.URLParam(r, "kind"), format)
	if err != nil {
		s.fail(w, r, problemFromError(err))
		return
	}
	s.send(w, http.StatusOK, rendered)
}

func (s *Server) statement(w http.ResponseWriter, r *http.Request) {
	request, err := readBody[message.Statement](r)
	var parsed declaration.Statement
	if err == nil {
		parsed, err = declaration.ParseStatement(request.Text)
	}
	if err != nil {
		s.fail(w, r, problemFromError(err))
		return
	}
	var answer message.Answer
	switch parsed := parsed.(type) {
	case declaration.Show:
		answer.Table, err = s.show(r.Context(), parsed)
	case declaration.Why:
		answer.Explanation, err = s.why(r.Context(), parsed)
	default:
		s.intent(w, r, request, parsed)
		return
	}
	if err != nil {
		s.fail(w, r, problemFromError(err))
		return
	}
	s.reply(w, http.StatusOK, "application/json", answer)
}

func (s *Server) intent(w http.ResponseWriter, r *http.Request, request message.Statement, parsed declaration.Statement) {
	identity := callOf(r).identity
	if identity.Role != RoleOperator {
		s.forbid(w, r)
		return
	}
	err := checkChangeID(request.ChangeID)
	var applied message.Applied
	if err == nil {
		callOf(r).changeID = request.ChangeID
		applied, err = s.applyIntent(r.Context(), request, parsed, identity.Name)
	}
	if err != nil {
		s.fail(w, r, changeProblem(err, request.ChangeID))
		return
	}
	callOf(r).revision = applied.Revision
	s.reply(w, http.StatusOK, "application/json", message.Answer{Applied: &applied})
}

// applyIntent applies an operator's intent and removes finished intents in the same change.
func (s *Server) applyIntent(ctx context.Context, request message.Statement, parsed declaration.Statement, by string) (message.Applied, error) {
	if c, ok := s.acceptedChange(request.ChangeID); ok {
		return appliedOf(c), checkSameObjects(c, []declaration.Ref{changedObject(parsed)})
	}
	current, revision, err := s.currentFor(request.Base)
	if err != nil {
		return message.Applied{}, err
	}
	if err := s.checkTarget(ctx, parsed); err != nil {
		return message.Applied{}, err
	}
	next, err := current.ApplyIntent(parsed, by, s.Now())
	if err != nil {
		return message.Applied{}, err
	}
	c := configuration.Change{ID: request.ChangeID, Base: baseOrCurrent(request.Base, revision), By: by}
	cleaned := next.Apply(declaration.Delta{Removed: s.finishedIntents(ctx, next)})
	applied, err := s.propose(ctx, c, current, cleaned, revision)
	var conflict *configuration.ConflictError
	if errors.As(err, &conflict) && !slices.Contains(conflict.Objects, changedObject(parsed)) {
		// The conflict concerns only finished intents that another change also removed, so the stated intent is proposed alone.
		return s.propose(ctx, c, current, next, revision)
	}
	return applied, err
}

// changedObject returns the declared object or intent that a statement changes.
func changedObject(parsed declaration.Statement) declaration.Ref {
	intent := func(kind declaration.IntentKind, target string) declaration.Ref {
		return declaration.Ref{Kind: declaration.KindIntent, Name: declaration.Intent{Kind: kind, Target: target}.Key()}
	}
	switch i := parsed.(type) {
	case declaration.PauseWave:
		return declaration.Ref{Kind: declaration.KindWave, Name: i.Wave}
	case declaration.ResumeWaveNow:
		return intent(declaration.ResumeWave, i.Wave)
	case declaration.RaiseBudget:
		return declaration.Ref{Kind: declaration.KindBudget, Name: i.Budget}
	case declaration.Retire:
		return intent(declaration.RetireInstance, i.Instance)
	case declaration.Cancel:
		return intent(declaration.CancelJob, i.Job)
	case declaration.Cordon:
		return intent(declaration.CordonRack, i.Rack)
	case declaration.Uncordon:
		return intent(declaration.CordonRack, i.Rack)
	}
	return declaration.Ref{}
}
