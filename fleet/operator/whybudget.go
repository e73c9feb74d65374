package operator

import (
	"fmt"
	"slices"

	"verbenalanding.example/fleet/budget"
	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/operator/message"
	"verbenalanding.example/fleet/record"
)

// limitingBudgets returns the budgets that cover an instance of the scope and have reached a limit.
func (e *explainer) limitingBudgets(scope declaration.Scope) []string {
	var names []string
	for _, i := range e.instances {
		if m := memberOf(i); budget.Covers(scope, e.set.Services, m) {
			names = append(names, e.index.Covering(m)...)
		}
	}
	slices.Sort(names)
	return slices.DeleteFunc(slices.Compact(names), func(name string) bool { return !e.budgetUse(name).isLimiting })
}

// budgetUse is the current use of a budget.
type budgetUse struct {
	reserved, down, racks, dataCentres int
	// state describes what the budget still allows, and rule is the limit that determines it.
	state, rule string
	// isLimiting is set when a limit is reached; stops in racks or data centres with reservations may still be possible.
	isLimiting bool
}

func (e *explainer) budgetUse(name string) budgetUse {
	b, declared := e.budgets[name], e.set.Budgets[name]
	racks, dataCentres := map[budget.Domain]bool{}, map[budget.Domain]bool{}
	for _, reserved := range b.Reservations {
		if i, ok := e.instances[reserved.Instance]; ok {
			racks[budget.RackOf(memberOf(i))] = true
			dataCentres[budget.DataCentreOf(memberOf(i))] = true
		}
	}
	r := budgetUse{reserved: len(b.Reservations), down: len(b.Down), racks: len(racks), dataCentres: len(dataCentres), isLimiting: true}
	remaining := declared.MaxUnavailable - len(usedInstances(b))
	switch {
	case remaining <= 0:
		r.state, r.rule = "full", budget.RuleUnavailable
	case declared.MaxDataCentres > 0 && r.dataCentres >= declared.MaxDataCentres:
		r.state, r.rule = "no further data centre", budget.RuleDataCentres
	case declared.MaxRacks > 0 && r.racks >= declared.MaxRacks:
		r.state, r.rule = "no further rack", budget.RuleRacks
	default:
		r.state, r.rule, r.isLimiting = fmt.Sprintf("room for %d", remaining), budget.RuleUnavailable, false
	}
	return r
}

// usedInstances returns the instances that are reserved or down, each once.
func usedInstances(b record.Budget) []string {
	used := slices.Clone(b.Down)
	for _, r := range b.Reservations {
		used = append(used, r.Instance)
	}
	slices.Sort(used)
	return slices.Compact(used)
}

func (e *explainer) explainBudget(depth int, name string) bool {
	declared, ok := e.set.Budgets[name]
	if !ok {
		return false
	}
	if slices.Contains(e.unreadable, "budgets") {
		e.add(message.Finding{
			Depth: depth, Kind: "budget", Name: name, State: "use unknown", Rule: budget.RuleUnavailable,
			Figures: fmt.Sprintf("at most %d; the reservations cannot be read, so no planned stop begins", declared.MaxUnavailable),
		})
		return true
	}
	r := e.budgetUse(name)
	figures := budget.Figures{
		Budget: name, Reserved: r.reserved, Down: r.down, MaxUnavailable: declared.MaxUnavailable,
		Racks: r.racks, MaxRacks: declared.MaxRacks, DataCentres: r.dataCentres, MaxDataCentres: declared.MaxDataCentres,
	}
	e.add(message.Finding{Depth: depth, Kind: "budget", Name: name, State: r.state, Rule: r.rule, Figures: figures.String()})
	for _, reserved := range e.budgets[name].Reservations {
		i := e.instances[reserved.Instance]
		e.add(message.Finding{
			Depth: depth + 1, Kind: "instance", Name: reserved.Instance, State: i.State, Rule: "reserved",
			Figures:        fmt.Sprintf("reserved by %s with epoch %d; %s", reserved.Holder, reserved.Epoch, i.Reason.Detail),
			ConfigRevision: i.Reason.ConfigRevision, At: timeOrNil(reserved.Since),
		})
	}
	for _, id := range e.budgets[name].Down {
		i := e.instances[id]
		e.add(message.Finding{Depth: depth + 1, Kind: "instance", Name: id, State: i.State, Rule: "down", Figures: "failed unplanned; " + i.Reason.Detail, ConfigRevision: i.Reason.ConfigRevision, At: timeOrNil(i.Since)})
	}
	return true
}
