package operator

import (
	"context"
	"net/http"
	"slices"

	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/operator/message"
)

func (s *Server) diff(w http.ResponseWriter, r *http.Request) {
	request, err := readBody[message.Diff](r)
	var difference message.Difference
	if err == nil {
		difference, err = s.difference(r.Context(), request)
	}
	if err != nil {
		s.fail(w, r, problemFromError(err))
		return
	}
	callOf(r).revision = difference.Revision
	s.reply(w, http.StatusOK, "application/json", difference)
}

func (s *Server) difference(ctx context.Context, request message.Diff) (message.Difference, error) {
	current, revision, err := s.Configuration.Current()
	if err != nil {
		return message.Difference{}, err
	}
	next, err := s.resolve(ctx, current, request.Files, declaration.Options{Prune: request.Prune, Now: s.Now()})
	if err != nil {
		return message.Difference{}, err
	}
	delta := declaration.Diff(current, next)
	d := message.Difference{Revision: revision, Changes: []message.ObjectChange{}, Effects: []message.Effect{}}
	for _, ref := range delta.Refs() {
		d.Changes = append(d.Changes, objectChange(current, next, ref))
	}
	effects, err := s.effects(ctx, current, next)
	d.Effects = append(d.Effects, effects...)
	return d, err
}

func objectChange(current, next declaration.Set, ref declaration.Ref) message.ObjectChange {
	before, wasDeclared := current.Describe(ref)
	after, isDeclared := next.Describe(ref)
	c := message.ObjectChange{Object: ref, Action: message.Modify}
	if !wasDeclared {
		c.Action = message.Add
		before = make([]declaration.FieldValue, len(after))
	}
	if !isDeclared {
		c.Action = message.Remove
		after = make([]declaration.FieldValue, len(before))
	}
	for i := range before {
		field := before[i].Field + after[i].Field
		if wasDeclared && isDeclared {
			field = after[i].Field
		}
		if before[i].Value != after[i].Value {
			c.Fields = append(c.Fields, message.FieldChange{Field: field, From: before[i].Value, To: after[i].Value})
		}
	}
	return c
}

// effects returns the effects of a change from the current to the next set, computed from the current records.
func (s *Server) effects(ctx context.Context, current, next declaration.Set) ([]message.Effect, error) {
	e, err := s.newExplainer(ctx)
	if err != nil {
		return nil, err
	}
	jobs, err := s.Records.Jobs(ctx)
	e.addUnreadable("jobs", err)
	c := &effectFinder{current: current, next: next, explainer: e, jobs: jobs}
	c.addPoolEffects()
	c.addServiceEffects()
	c.addShareEffects()
	c.addBudgetEffects()
	c.addWaveEffects()
	c.addTeamEffects()
	c.addIntentEffects()
	if text := e.unreadableText(); text != "" {
		c.add("unknown", declaration.Ref{Kind: "records"}, "%s", text)
	}
	slices.SortStableFunc(c.effects, func(a, b message.Effect) int { return effectOrder(a.Kind) - effectOrder(b.Kind) })
	return c.effects, nil
}

// effectKinds lists the kinds of effects in the order of the answer: those that stop instances come first.
var effectKinds = []string{"drain", "move", "requests", "share", "budget", "wave", "quota", "unknown"}

func effectOrder(kind string) int { return slices.Index(effectKinds, kind) }
