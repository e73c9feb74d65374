package budget

import (
	"testing"

	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/internal/check"
	"verbenalanding.example/fleet/platform"
)

func member(id, pool, dataCentre, rack string) Member {
	return Member{ID: id, Pool: pool, Location: platform.Location{Region: "r", DataCentre: dataCentre, Rack: rack}}
}

func deniedRule(d Decision) string {
	if denied, ok := d.(Denied); ok {
		return denied.Rule
	}
	return ""
}

// Guards against granting a stop although failures have already used up the budget.
func TestFailuresUseTheBudget(t *testing.T) {
	l := NewLedger(declaration.Budget{Name: "b", MaxUnavailable: 2})
	l.Apply(Down{Member: member("a", "p", "d", "1")})
	check.Equal(t, "first", deniedRule(l.Apply(Reserve{Member: member("b", "p", "d", "2")})), "")
	check.Equal(t, "second", deniedRule(l.Apply(Reserve{Member: member("c", "p", "d", "3")})), RuleUnavailable)
	check.Equal(t, "failed itself", deniedRule(l.Apply(Reserve{Member: member("a", "p", "d", "1")})), "")
	l.Apply(Down{Member: member("b", "p", "d", "2")})
	check.Equal(t, "used", l.Used(), 2)
	l.Apply(Release{ID: "a"})
	l.Apply(Release{ID: "b"})
	check.Equal(t, "still failed", deniedRule(l.Apply(Reserve{Member: member("c", "p", "d", "3")})), RuleUnavailable)
	l.Apply(Up{ID: "a"})
	check.Equal(t, "recovered", deniedRule(l.Apply(Reserve{Member: member("c", "p", "d", "3")})), "")
}

// Guards against stops in more failure domains than allowed, and against equal rack names in two data centres.
func TestDomainLimits(t *testing.T) {
	l := NewLedger(declaration.Budget{Name: "b", MaxUnavailable: 9, MaxRacks: 1, MaxDataCentres: 1})
	check.Equal(t, "first", deniedRule(l.Apply(Reserve{Member: member("a", "p", "d1", "1")})), "")
	check.Equal(t, "same rack", deniedRule(l.Apply(Reserve{Member: member("b", "p", "d1", "1")})), "")
	check.Equal(t, "other rack", deniedRule(l.Apply(Reserve{Member: member("c", "p", "d1", "2")})), RuleRacks)
	check.Equal(t, "same rack name elsewhere", deniedRule(l.Apply(Reserve{Member: member("d", "p", "d2", "1")})), RuleRacks)
	l.Apply(Release{ID: "a"})
	l.Apply(Release{ID: "b"})
	check.Equal(t, "after release", deniedRule(l.Apply(Reserve{Member: member("d", "p", "d2", "1")})), "")
}

// Guards against a budget that does not cover members of a service's pool or covers those of another domain.
func TestIndexFindsCoveringBudgets(t *testing.T) {
	x := NewIndex(declaration.Set{
		Services: map[string]declaration.Service{"s": {Name: "s", Pool: "p"}},
		Budgets: map[string]declaration.Budget{
			"all":     {Name: "all"},
			"service": {Name: "service", Scope: declaration.Scope{Services: []string{"s"}}},
			"centre":  {Name: "centre", Scope: declaration.Scope{Pools: []string{"p", "q"}, DataCentres: []string{"d1"}}},
			"rack":    {Name: "rack", Scope: declaration.Scope{Racks: []string{"7"}}},
		},
	})
	check.Equal(t, "p in d1", x.Covering(member("a", "p", "d1", "1")), []string{"all", "centre", "service"})
	check.Equal(t, "q in d2", x.Covering(member("b", "q", "d2", "7")), []string{"all", "rack"})
}
