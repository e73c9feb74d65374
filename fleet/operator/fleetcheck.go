package operator

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/record"
)

// checkFleet refuses a change that contradicts the fleet: failure domains without an instance, intents about unknown targets,
// or more declared instances than exist, in which case an instance would have to be in two pools. An empty list of instances
// means that the fleet has not been read yet, so nothing is checked.
func (s *Server) checkFleet(ctx context.Context, d declaration.Document, current, next declaration.Set) error {
	instances, err := s.Records.Instances(ctx)
	if err != nil {
		return err
	}
	if len(instances) == 0 {
		return nil
	}
	var problems declaration.Problems
	delta := declaration.Diff(current, next)
	for name, b := range delta.Written.Budgets {
		problems = append(problems, unknownDomainProblems(d, declaration.Ref{Kind: declaration.KindBudget, Name: name}, b.Scope, instances)...)
	}
	for name, w := range delta.Written.Waves {
		problems = append(problems, unknownDomainProblems(d, declaration.Ref{Kind: declaration.KindWave, Name: name}, w.Scope, instances)...)
	}
	problems = append(problems, instanceCountProblems(d, current, next, instances)...)
	targetProblems, err := s.unknownTargetProblems(ctx, d, delta.Written.Intents, instances)
	if err != nil {
		return err
	}
	problems = append(problems, targetProblems...)
	if len(problems) == 0 {
		return nil
	}
	return problems.Sorted()
}

// unknownDomainProblems returns a problem for each failure domain of a scope that contains no instance.
func unknownDomainProblems(d declaration.Document, ref declaration.Ref, scope declaration.Scope, instances []record.Instance) []declaration.Problem {
	var problems []declaration.Problem
	addUnknown := func(field, label string, names []string, domainOf func(record.Instance) string) {
		for _, name := range names {
			if !slices.ContainsFunc(instances, func(i record.Instance) bool { return domainOf(i) == name }) {
				problems = append(problems, d.Problem(ref, field, quoteWord(label, name), "a "+label+" of the fleet"))
			}
		}
	}
	addUnknown("regions", "region", scope.Regions, func(i record.Instance) string { return i.Location.Region })
	addUnknown("dataCentres", "data centre", scope.DataCentres, func(i record.Instance) string { return i.Location.DataCentre })
	addUnknown("racks", "rack", scope.Racks, func(i record.Instance) string { return i.Location.Rack })
	return problems
}

// instanceCountProblems returns a problem if a change raises the number of declared instances above the size of the fleet.
// A change that keeps or lowers the number passes, so that operators can apply changes while part of the fleet is lost.
func instanceCountProblems(d declaration.Document, current, next declaration.Set, instances []record.Instance) []declaration.Problem {
	before, after, grownPool := 0, 0, ""
	for _, p := range current.Pools {
		before += p.Instances
	}
	for name, p := range next.Pools {
		after += p.Instances
		growth := p.Instances - current.Pools[name].Instances
		if growth > 0 && (grownPool == "" || name < grownPool) {
			grownPool = name
		}
	}
	fleetSize := 0
	for _, i := range instances {
		if i.State != "retired" {
			fleetSize++
		}
	}
	if after <= fleetSize || after <= before {
		return nil
	}
	ref := declaration.Ref{Kind: declaration.KindPool, Name: grownPool}
	return []declaration.Problem{d.Problem(ref, "instances", fmt.Sprintf("%d instances declared in all pools", after),
		fmt.Sprintf("at most the %d instances of the fleet; an instance would have to be in two pools", fleetSize))}
}

func (s *Server) unknownTargetProblems(ctx context.Context, d declaration.Document, intents map[string]declaration.Intent, instances []record.Instance) ([]declaration.Problem, error) {
	var problems []declaration.Problem
	for key, i := range intents {
		found, expected, ok, err := s.findTarget(ctx, i.Kind, i.Target, instances)
		if err != nil {
			return nil, err
		}
		if !ok {
			problems = append(problems, d.Problem(declaration.Ref{Kind: declaration.KindIntent, Name: key}, "", found, expected))
		}
	}
	return problems, nil
}

// findTarget reports whether the instance or rack of an intent is in the fleet; found and expected are the texts of the
// problem if it is not. An entry instance can be retired only when it is not live: planned stops wait for a registered entry
// instance that is not live until an operator retires it or the platform lists it as gone.
func (s *Server) findTarget(ctx context.Context, kind declaration.IntentKind, name string, instances []record.Instance) (found, expected string, ok bool, err error) {
	switch kind {
	case declaration.RetireInstance:
		found, expected = quoteWord("instance", name), "an instance of the fleet that is not retired"
		if slices.ContainsFunc(instances, func(i record.Instance) bool { return i.ID == name && i.State != "retired" }) {
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
			slices.ContainsFunc(instances, func(i record.Instance) bool { return i.Location.Rack == name }), nil
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
	instances, err := s.Records.Instances(ctx)
	if err != nil {
		return err
	}
	found, expected, ok, err := s.findTarget(ctx, kind, name, instances)
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

// plural returns a count and its noun. The parameter word is the plural of the noun, which ends in s.
func plural(n int, word string) string {
	if n == 1 {
		return "1 " + strings.TrimSuffix(word, "s")
	}
	return fmt.Sprintf("%d %s", n, word)
}
