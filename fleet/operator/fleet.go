package operator

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/record"
)

// checkFleet refuses a change that contradicts the known instances: failure domains without an instance, intents about
// unknown targets, and more declared instances than there are, since an instance would have to be in two pools. Without
// any known instance the fleet has not been read yet and nothing is checked.
func (s *Server) checkFleet(ctx context.Context, d declaration.Document, current, next declaration.Set) error {
	all, err := s.Records.Instances(ctx)
	if err != nil {
		return err
	}
	if len(all) == 0 {
		return nil
	}
	var problems declaration.Problems
	delta := declaration.Diff(current, next)
	for name, b := range delta.Written.Budgets {
		problems = append(problems, unknownDomains(d, declaration.Ref{Kind: declaration.KindBudget, Name: name}, b.Scope, all)...)
	}
	for name, w := range delta.Written.Waves {
		problems = append(problems, unknownDomains(d, declaration.Ref{Kind: declaration.KindWave, Name: name}, w.Scope, all)...)
	}
	problems = append(problems, tooManyInstances(d, current, next, all)...)
	unknown, err := s.unknownTargets(ctx, d, delta.Written.Intents, all)
	if err != nil {
		return err
	}
	problems = append(problems, unknown...)
	if len(problems) == 0 {
		return nil
	}
	return problems.Sorted()
}

// unknownDomains returns problems for the failure domains of a scope that no instance is in.
func unknownDomains(d declaration.Document, ref declaration.Ref, scope declaration.Scope, all []record.Instance) []declaration.Problem {
	var problems []declaration.Problem
	check := func(field, what string, names []string, of func(record.Instance) string) {
		for _, name := range names {
			if !slices.ContainsFunc(all, func(i record.Instance) bool { return of(i) == name }) {
				problems = append(problems, d.Problem(ref, field, quoteWord(what, name), "a "+what+" of the fleet"))
			}
		}
	}
	check("regions", "region", scope.Regions, func(i record.Instance) string { return i.Location.Region })
	check("dataCentres", "data centre", scope.DataCentres, func(i record.Instance) string { return i.Location.DataCentre })
	check("racks", "rack", scope.Racks, func(i record.Instance) string { return i.Location.Rack })
	return problems
}

// tooManyInstances refuses a change that raises the number of declared instances above the size of the fleet. A change that
// leaves the sum as it is or lowers it passes, so that operators can apply changes while a part of the fleet is lost.
func tooManyInstances(d declaration.Document, current, next declaration.Set, all []record.Instance) []declaration.Problem {
	before, after, grown := 0, 0, ""
	for _, p := range current.Pools {
		before += p.Instances
	}
	for name, p := range next.Pools {
		after += p.Instances
		growth := p.Instances - current.Pools[name].Instances
		if growth > 0 && (grown == "" || name < grown) {
			grown = name
		}
	}
	fleet := 0
	for _, i := range all {
		if i.State != "retired" {
			fleet++
		}
	}
	if after <= fleet || after <= before {
		return nil
	}
	ref := declaration.Ref{Kind: declaration.KindPool, Name: grown}
	return []declaration.Problem{d.Problem(ref, "instances", fmt.Sprintf("%d instances declared in all pools", after),
		fmt.Sprintf("at most the %d instances of the fleet; an instance would have to be in two pools", fleet))}
}

func (s *Server) unknownTargets(ctx context.Context, d declaration.Document, intents map[string]declaration.Intent, all []record.Instance) ([]declaration.Problem, error) {
	var problems []declaration.Problem
	for key, i := range intents {
		found, expected, ok, err := s.target(ctx, i.Kind, i.Target, all)
		if err != nil {
			return nil, err
		}
		if !ok {
			problems = append(problems, d.Problem(declaration.Ref{Kind: declaration.KindIntent, Name: key}, "", found, expected))
		}
	}
	return problems, nil
}

// target reports whether the instance or rack that an intent names is in the fleet, and the texts of a problem if it isn't.
// An entry instance may be retired only when it is not live: planned stops wait for a registered entry instance until an
// operator retires it or the platform lists it as gone.
func (s *Server) target(ctx context.Context, kind declaration.IntentKind, name string, all []record.Instance) (found, expected string, ok bool, err error) {
	switch kind {
	case declaration.RetireInstance:
		found, expected = quoteWord("instance", name), "an instance of the fleet that is not retired"
		if slices.ContainsFunc(all, func(i record.Instance) bool { return i.ID == name && i.State != "retired" }) {
			return found, expected, true, nil
		}
		entries, err := s.Records.Entries(ctx)
		if err != nil {
			return "", "", false, err
		}
		k := slices.IndexFunc(entries, func(e Entry) bool { return e.ID == name })
		if k >= 0 && entries[k].Live {
			return "entry instance " + name + ", which is live", "an instance of the fleet; stop a live entry instance with SIGTERM", false, nil
		}
		return found, expected, k >= 0, nil
	case declaration.CordonRack:
		return quoteWord("rack", name), "a rack of the fleet",
			slices.ContainsFunc(all, func(i record.Instance) bool { return i.Location.Rack == name }), nil
	}
	return "", "", true, nil
}

// checkTarget refuses an intent about an instance, rack or job that does not exist or has finished.
func (s *Server) checkTarget(ctx context.Context, statement declaration.Statement) error {
	var kind declaration.IntentKind
	var name string
	var at declaration.Position
	switch i := statement.(type) {
	case declaration.Retire:
		kind, name, at = declaration.RetireInstance, i.Instance, i.At
	case declaration.Cordon:
		kind, name, at = declaration.CordonRack, i.Rack, i.At
	case declaration.Cancel:
		return s.checkJob(ctx, i)
	default:
		return nil
	}
	all, err := s.Records.Instances(ctx)
	if err != nil {
		return err
	}
	found, expected, ok, err := s.target(ctx, kind, name, all)
	if err == nil && !ok {
		err = declaration.StatementProblem(at, found, expected)
	}
	return err
}

func (s *Server) checkJob(ctx context.Context, c declaration.Cancel) error {
	jobs, err := s.Records.Jobs(ctx)
	if err != nil {
		return err
	}
	for _, j := range jobs {
		if j.ID != c.Job {
			continue
		}
		if isFinishedJob(j) {
			return declaration.StatementProblem(c.At, fmt.Sprintf("job %s in the state %s", c.Job, j.State), "a job that is not finished")
		}
		return nil
	}
	return declaration.StatementProblem(c.At, quoteWord("job", c.Job), "an accepted job")
}

func isFinishedJob(j record.Job) bool {
	return slices.Contains([]string{"succeeded", "failed", "unknown", "cancelled"}, j.State)
}

// plural returns a count with its noun; word is the plural, which ends in s.
func plural(n int, word string) string {
	if n == 1 {
		return "1 " + strings.TrimSuffix(word, "s")
	}
	return fmt.Sprintf("%d %s", n, word)
}
