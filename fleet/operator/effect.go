package operator

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"verbenalanding.example/fleet/budget"
	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/operator/message"
	"verbenalanding.example/fleet/record"
)

// effectFinder collects the effects of a change from the current to the next set.
type effectFinder struct {
	current, next declaration.Set
	explainer     *explainer
	jobs          []record.Job
	effects       []message.Effect
}

func (c *effectFinder) add(kind string, object declaration.Ref, format string, args ...any) {
	c.effects = append(c.effects, message.Effect{Kind: kind, Object: object, Text: fmt.Sprintf(format, args...)})
}

// sortedNames returns the sorted names that are in at least one of the maps.
func sortedNames[T any](a, b map[string]T) []string {
	all := maps.Clone(a)
	if all == nil {
		all = map[string]T{}
	}
	maps.Copy(all, b)
	return slices.Sorted(maps.Keys(all))
}

// addPoolEffects compares the current number of instances of each pool with the next minimum and maximum.
func (c *effectFinder) addPoolEffects() {
	if len(c.explainer.instances) == 0 {
		if !maps.Equal(c.current.Pools, c.next.Pools) {
			c.add("unknown", declaration.Ref{Kind: declaration.KindPool}, "no instances are known yet, so drains and moves cannot be told")
		}
		return
	}
	members := map[string]int{}
	for _, i := range c.explainer.instances {
		if i.State != "retired" {
			members[i.Pool]++
		}
	}
	for _, name := range sortedNames(c.current.Pools, c.next.Pools) {
		ref := declaration.Ref{Kind: declaration.KindPool, Name: name}
		old, wasDeclared := c.current.Pools[name]
		p, isDeclared := c.next.Pools[name]
		n := members[name]
		switch {
		case !isDeclared && n > 0:
			c.add("drain", ref, "%s of the removed pool would be drained and moved to other pools", plural(n, "instances"))
		case isDeclared && (!wasDeclared || old != p) && n > p.Maximum:
			c.add("drain", ref, "%s above the maximum of %d would be drained and moved to other pools", plural(n-p.Maximum, "instances"), p.Maximum)
		case isDeclared && (!wasDeclared || old != p) && n < p.Minimum:
			c.add("move", ref, "%s would be drained in other pools and moved here to reach the minimum of %d", plural(p.Minimum-n, "instances"), p.Minimum)
		}
		if wasDeclared && isDeclared && p.Slots < old.Slots {
			c.add("requests", ref, "each instance would work on %d instead of %d requests at a time", p.Slots, old.Slots)
		}
	}
}

func (c *effectFinder) addServiceEffects() {
	for _, name := range sortedNames(c.current.Services, c.next.Services) {
		ref := declaration.Ref{Kind: declaration.KindService, Name: name}
		old, wasDeclared := c.current.Services[name]
		n, isDeclared := c.next.Services[name]
		if wasDeclared && !isDeclared {
			c.add("requests", ref, "requests would be refused as not run, since the service is removed")
		}
		if !wasDeclared || !isDeclared {
			continue
		}
		if n.Pool != old.Pool {
			c.add("requests", ref, "new requests would run on pool %s instead of %s", n.Pool, old.Pool)
		}
		if n.Deadline < old.Deadline {
			c.add("requests", ref, "requests would expire after %s instead of %s", declaration.FormatDuration(n.Deadline), declaration.FormatDuration(old.Deadline))
		}
		if old.Repeatable && !n.Repeatable {
			c.add("requests", ref, "requests without an idempotency key would be refused, since the service is no longer repeatable")
		}
		if rank := func(k declaration.Class) int { return slices.Index(declaration.Classes, k) }; rank(n.Class) > rank(old.Class) {
			c.add("requests", ref, "requests of class %s would be refused, since the service becomes %s", old.Class, n.Class)
		}
		if n.Rate > 0 && (old.Rate == 0 || n.Rate < old.Rate) {
			c.add("requests", ref, "a caller above %g requests a second would be refused", n.Rate)
		}
		if n.MaxRequest < old.MaxRequest {
			c.add("requests", ref, "requests above %s would be refused", declaration.FormatSize(n.MaxRequest))
		}
	}
}

// addShareEffects finds classes that lose guaranteed slots of a pool with its declared number of instances.
func (c *effectFinder) addShareEffects() {
	for _, name := range sortedNames(c.current.Pools, c.next.Pools) {
		ref := declaration.Ref{Kind: declaration.KindPool, Name: name}
		for _, class := range declaration.Classes {
			before, after := guaranteedSlots(c.current, name, class), guaranteedSlots(c.next, name, class)
			if after < before {
				c.add("share", ref, "class %s would lose guaranteed slots: %.1f instead of %.1f", class, after, before)
			}
		}
	}
}

func guaranteedSlots(set declaration.Set, pool string, class declaration.Class) float64 {
	p := set.Pools[pool]
	share := 0
	for _, s := range set.Services {
		if s.Pool == pool && s.Class == class {
			share += s.Share
		}
	}
	return float64(share*p.Instances*p.Slots) / 100
}

// addBudgetEffects finds budgets that are removed or whose next limit is below the current use or the current limit.
func (c *effectFinder) addBudgetEffects() {
	for _, name := range sortedNames(c.current.Budgets, c.next.Budgets) {
		ref := declaration.Ref{Kind: declaration.KindBudget, Name: name}
		old, wasDeclared := c.current.Budgets[name]
		b, isDeclared := c.next.Budgets[name]
		if wasDeclared && !isDeclared {
			c.add("budget", ref, "its instances would no longer be guarded by this budget")
			continue
		}
		if wasDeclared && slices.Equal(budgetLimits(old), budgetLimits(b)) && sameScope(old.Scope, b.Scope) {
			continue
		}
		down, total := c.countCovered(b)
		if used := len(usedInstances(c.explainer.budgets[name])); wasDeclared && sameScope(old.Scope, b.Scope) {
			down = max(down, used)
		}
		if down > b.MaxUnavailable {
			c.add("budget", ref, "tighter than the present state: %d of %d covered instances are out of service or reserved, %d allowed; no stop would begin until %s back",
				down, total, b.MaxUnavailable, isOrAre(down-b.MaxUnavailable+1))
		} else if wasDeclared && b.MaxUnavailable < old.MaxUnavailable {
			c.add("budget", ref, "%d instead of %d of %d covered instances may be out of service at a time; waves would take longer", b.MaxUnavailable, old.MaxUnavailable, total)
		}
	}
}

func isOrAre(n int) string {
	if n == 1 {
		return "1 is"
	}
	return fmt.Sprintf("%d are", n)
}

func budgetLimits(b declaration.Budget) []int {
	return []int{b.MaxUnavailable, b.MaxRacks, b.MaxDataCentres}
}

func sameScope(a, b declaration.Scope) bool {
	return slices.Equal(a.Pools, b.Pools) && slices.Equal(a.Services, b.Services) && slices.Equal(a.Regions, b.Regions) &&
		slices.Equal(a.DataCentres, b.DataCentres) && slices.Equal(a.Racks, b.Racks)
}

// countCovered counts the instances that a budget covers and how many of them are out of service.
func (c *effectFinder) countCovered(b declaration.Budget) (unavailable, total int) {
	for _, i := range c.explainer.instances {
		if i.State == "retired" || !budget.Covers(b.Scope, c.next.Services, memberOf(i)) {
			continue
		}
		total++
		if i.State != "inService" {
			unavailable++
		}
	}
	return unavailable, total
}

func (c *effectFinder) addWaveEffects() {
	for _, name := range sortedNames(c.current.Waves, c.next.Waves) {
		ref := declaration.Ref{Kind: declaration.KindWave, Name: name}
		old, wasDeclared := c.current.Waves[name]
		w, isDeclared := c.next.Waves[name]
		running := c.explainer.waves[name]
		switch {
		case wasDeclared && !isDeclared && len(running.Active) > 0:
			c.add("wave", ref, "the round would end; %s would return to service: %s", plural(len(running.Active), "instances"), strings.Join(running.Active, ", "))
		case !wasDeclared:
			n := 0
			for _, i := range c.explainer.instances {
				if i.State != "retired" && budget.Covers(w.Scope, c.next.Services, memberOf(i)) {
					n++
				}
			}
			c.add("drain", ref, "%s would be drained and rebooted every %s", plural(n, "instances"), declaration.FormatDuration(w.Every))
		case isDeclared && !old.Paused && w.Paused:
			c.add("wave", ref, "no further stop would begin")
		case isDeclared && old.Paused && !w.Paused:
			c.add("wave", ref, "the wave would go on")
		case isDeclared && w.Every < old.Every:
			c.add("drain", ref, "instances would be drained and rebooted every %s instead of %s", declaration.FormatDuration(w.Every), declaration.FormatDuration(old.Every))
		}
	}
}

// addTeamEffects finds quotas that are removed or below the usage of the team's placed jobs.
func (c *effectFinder) addTeamEffects() {
	for _, name := range sortedNames(c.current.Teams, c.next.Teams) {
		ref := declaration.Ref{Kind: declaration.KindTeam, Name: name}
		t, isDeclared := c.next.Teams[name]
		u := usageOf(name, c.jobs)
		if old, wasDeclared := c.current.Teams[name]; wasDeclared && old == t {
			continue
		}
		if !isDeclared {
			c.add("quota", ref, "%s and new requests of the team would have no quota", plural(u.jobs, "placed jobs"))
			continue
		}
		if u.cores > t.MilliCores || u.memory > t.MemoryBytes || u.accelerators > t.Accelerators {
			c.add("quota", ref, "%s cores and %s are held by %s, above the quota of %s cores and %s; no further job would start until some end",
				declaration.FormatCores(u.cores), declaration.FormatSize(u.memory), plural(u.jobs, "placed jobs"), declaration.FormatCores(t.MilliCores), declaration.FormatSize(t.MemoryBytes))
		}
	}
}

func (c *effectFinder) addIntentEffects() {
	for key, i := range c.next.Intents {
		if _, wasDeclared := c.current.Intents[key]; wasDeclared {
			continue
		}
		ref := declaration.Ref{Kind: declaration.KindIntent, Name: key}
		switch i.Kind {
		case declaration.RetireInstance:
			c.add("drain", ref, "instance %s would be drained and leave the fleet", i.Target)
		case declaration.CordonRack:
			c.add("move", ref, "the instances of rack %s would get no jobs and no moves", i.Target)
		case declaration.CancelJob:
			c.add("quota", ref, "job %s would be cancelled", i.Target)
		case declaration.ResumeWave:
			c.add("wave", ref, "wave %s would go on", i.Target)
		}
	}
}
