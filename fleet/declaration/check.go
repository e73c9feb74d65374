package declaration

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

const (
	// MaxDeadline is the largest deadline of a service, and so the longest that a drain waits for a lost entry instance.
	MaxDeadline = 60 * time.Second
	// MaxBody is the largest request or answer in bytes. It is limited because entry instances hold whole answers in memory.
	MaxBody = 64 << 20
	// MaxKeyRetention is the time for which the claim journals keep idempotency keys.
	MaxKeyRetention = day
	// MaxWindow is the longest window of an objective.
	MaxWindow = 90 * day
)

// Validate checks the references, limits and consistency of a whole set and returns Problems with every error.
func Validate(s Set) error { return Document{}.Check(s) }

// Check is like Validate for a set that contains the document's objects. Problems of these objects have their positions in
// the document.
func (d Document) Check(s Set) error {
	c := &checker{set: s, positions: d.positions}
	c.servicesByPool = servicesByPool(s)
	c.budgetsByPool = budgetsByPool(s)
	c.checkPools()
	c.checkServices()
	c.checkTeams()
	c.checkBudgets()
	c.checkWaves()
	c.checkObjectives()
	c.checkIntents()
	return c.problems.Sorted()
}

type checker struct {
	set       Set
	positions map[Ref]objectPosition
	problems  Problems
	// servicesByPool holds the services with a share of each pool and budgetsByPool the budgets of each pool, both sorted by
	// name. They save the checks from comparing all pairs of objects.
	servicesByPool map[string][]string
	budgetsByPool  map[string][]string
}

func servicesByPool(s Set) map[string][]string {
	byPool := map[string][]string{}
	forEach(s.Services, func(name string, v Service) {
		if v.Share > 0 {
			byPool[v.Pool] = append(byPool[v.Pool], name)
		}
	})
	return byPool
}

// budgetsByPool omits budgets whose scope has failure domains, since declarations do not give the instances of a failure
// domain.
func budgetsByPool(s Set) map[string][]string {
	byPool := map[string][]string{}
	forEach(s.Budgets, func(name string, b Budget) {
		if hasLocations(b.Scope) {
			return
		}
		for _, pool := range s.CoveredPools(b.Scope) {
			byPool[pool] = append(byPool[pool], name)
		}
	})
	return byPool
}

// fieldRef refers to a field of an object, or to the object itself if the field is empty.
type fieldRef struct {
	ref   Ref
	field string
}

// refuse adds a problem at the first of the fields whose object is declared in the document. If there is none, the problem
// refers to the object of the first field in the configuration in force.
func (c *checker) refuse(found, expected string, fields ...fieldRef) {
	for _, f := range fields {
		object, ok := c.positions[f.ref]
		if !ok {
			continue
		}
		pos := object.pos
		if p, ok := object.fields[f.field]; ok {
			pos = p
		}
		c.problems = append(c.problems, problemAt(pos, found, expected))
		return
	}
	first := fields[0].ref
	c.problems = append(c.problems, Problem{
		File: CurrentName, Found: fmt.Sprintf("%s in %s %s", found, first.Kind, first.Name), Expected: expected,
	})
}

// require adds a problem unless the condition holds.
func (c *checker) require(condition bool, found, expected string, fields ...fieldRef) {
	if !condition {
		c.refuse(found, expected, fields...)
	}
}

// forEach visits the objects in the order of their names.
func forEach[T any](objects map[string]T, visit func(name string, value T)) {
	for _, name := range slices.Sorted(maps.Keys(objects)) {
		visit(name, objects[name])
	}
}

func (c *checker) checkPools() {
	minimums, instances := 0, 0
	var largestMinimum fieldRef
	forEach(c.set.Pools, func(name string, p Pool) {
		in := func(field string) fieldRef { return fieldRef{Ref{KindPool, name}, field} }
		if largestMinimum.field == "" || p.Minimum > c.set.Pools[largestMinimum.ref.Name].Minimum {
			largestMinimum = in("minimum")
		}
		minimums += p.Minimum
		instances += p.Instances
		c.require(p.Instances >= 1, fmt.Sprint(p.Instances), "at least 1 instance", in("instances"))
		c.require(p.Minimum <= p.Instances, fmt.Sprintf("minimum %d", p.Minimum), fmt.Sprintf("at most the %d instances", p.Instances), in("minimum"))
		c.require(p.Maximum >= p.Instances, fmt.Sprintf("maximum %d", p.Maximum), fmt.Sprintf("at least the %d instances", p.Instances), in("maximum"))
		c.require(p.Slots >= 1, fmt.Sprint(p.Slots), "at least 1 slot", in("slots"))
		c.require(p.Connections >= p.Slots, fmt.Sprint(p.Connections), fmt.Sprintf("at least one connection for each of the %d slots", p.Slots), in("connections"))
		c.require(p.MilliCores > 0, "0 cores", "cores above 0", in("cores"))
		c.require(p.MemoryBytes > 0, "0B", "memory above 0B", in("memory"))
		if _, ok := multiply(p.MemoryBytes, int64(p.Instances)); !ok {
			c.refuse(fmt.Sprintf("%s in each of %d instances, which overflows", formatSize(p.MemoryBytes), p.Instances), "a sum below 8 EiB", in("memory"))
		}
		c.checkShares(name, p)
	})
	if minimums > instances {
		c.refuse(fmt.Sprintf("minimums of %d instances in all pools", minimums),
			fmt.Sprintf("at most the %d declared instances; an instance would have to be in two pools", instances), largestMinimum)
	}
}

// checkShares checks that the guaranteed shares of the pool's services fit into the pool even at its minimum size.
func (c *checker) checkShares(pool string, p Pool) {
	shares, neededSlots := 0, 0
	slots := p.Minimum * p.Slots
	var fields []fieldRef
	for _, name := range slices.Backward(c.servicesByPool[pool]) {
		share := c.set.Services[name].Share
		shares += share
		neededSlots += (share*slots + 99) / 100
		fields = append(fields, fieldRef{Ref{KindService, name}, "share"})
	}
	if shares > 100 {
		c.refuse(fmt.Sprintf("shares of %d%% in pool %s", shares, pool), "at most 100%", fields...)
		return
	}
	if shares > 0 && (slots == 0 || neededSlots > slots) {
		c.refuse(fmt.Sprintf("pool %s with %d slots at its minimum of %d instances", pool, slots, p.Minimum),
			fmt.Sprintf("a pool not smaller than its guaranteed shares, %d%% in whole slots for %d services", shares, len(fields)),
			append([]fieldRef{{Ref{KindPool, pool}, "minimum"}}, fields...)...)
	}
}

func (c *checker) checkServices() {
	forEach(c.set.Services, func(name string, s Service) {
		in := func(field string) fieldRef { return fieldRef{Ref{KindService, name}, field} }
		c.requireDeclaredPool(s.Pool, in("pool"))
		c.require(s.Deadline > 0 && s.Deadline <= MaxDeadline, formatDuration(s.Deadline), "a deadline above 0s and at most 60s", in("deadline"))
		c.require(s.MaxRequest <= MaxBody, formatSize(s.MaxRequest), "at most 64MiB", in("maxRequest"))
		c.require(s.MaxAnswer <= MaxBody, formatSize(s.MaxAnswer), "at most 64MiB", in("maxAnswer"))
		c.require(s.KeyRetention <= MaxKeyRetention, formatDuration(s.KeyRetention), "at most 24h, the time that claims are kept", in("keyRetention"))
	})
}

func (c *checker) requireDeclaredPool(name string, f fieldRef) {
	_, ok := c.set.Pools[name]
	c.require(ok, "pool "+quote(name), "a declared pool", f)
}

func (c *checker) requireDeclaredService(name string, f fieldRef) {
	_, ok := c.set.Services[name]
	c.require(ok, "service "+quote(name), "a declared service", f)
}

// checkTeams checks that the sum of the quotas does not exceed the sum of the declared instance sizes.
func (c *checker) checkTeams() {
	amounts := []struct {
		field  string
		size   func(Pool) int64
		quota  func(Team) int64
		format func(int64) string
	}{
		{"cores", func(p Pool) int64 { return p.MilliCores }, func(t Team) int64 { return t.MilliCores }, formatCores},
		{"memory", func(p Pool) int64 { return p.MemoryBytes }, func(t Team) int64 { return t.MemoryBytes }, formatSize},
		{"accelerators", func(p Pool) int64 { return p.Accelerators }, func(t Team) int64 { return t.Accelerators }, amountCodec.format},
	}
	for _, a := range amounts {
		fleet, sum, largestTeam := int64(0), int64(0), ""
		isSumExact := true
		for _, p := range c.set.Pools {
			product, _ := multiply(a.size(p), int64(p.Instances))
			fleet, _ = add(fleet, product)
		}
		forEach(c.set.Teams, func(name string, t Team) {
			if largestTeam == "" || a.quota(t) > a.quota(c.set.Teams[largestTeam]) {
				largestTeam = name
			}
			var ok bool
			sum, ok = add(sum, a.quota(t))
			isSumExact = isSumExact && ok
		})
		if sum <= fleet && isSumExact {
			continue
		}
		found := fmt.Sprintf("quotas of %s %s in all", a.format(sum), a.field)
		if !isSumExact {
			found = fmt.Sprintf("quotas of %s that overflow", a.field)
		}
		c.refuse(found, fmt.Sprintf("at most the fleet's %s", a.format(fleet)), fieldRef{Ref{KindTeam, largestTeam}, a.field})
	}
}

// multiply returns the product of two numbers that are not negative, or the largest number and false if it overflows.
func multiply(a, b int64) (int64, bool) {
	if b != 0 && a > maxInt64/b {
		return maxInt64, false
	}
	return a * b, true
}

// add returns the sum of two numbers that are not negative, or the largest number and false if it overflows.
func add(a, b int64) (int64, bool) {
	if a > maxInt64-b {
		return maxInt64, false
	}
	return a + b, true
}

const maxInt64 = 1<<63 - 1

func (c *checker) checkBudgets() {
	forEach(c.set.Budgets, func(name string, b Budget) {
		ref := Ref{KindBudget, name}
		c.checkScope(ref, b.Scope)
		c.require(b.MaxUnavailable >= 1, fmt.Sprint(b.MaxUnavailable), "at least 1, since no wave could stop an instance", fieldRef{ref, "maxUnavailable"})
	})
}

func (c *checker) checkScope(ref Ref, s Scope) {
	before := len(c.problems)
	for _, pool := range s.Pools {
		c.requireDeclaredPool(pool, fieldRef{ref, "pools"})
	}
	for _, service := range s.Services {
		c.requireDeclaredService(service, fieldRef{ref, "services"})
	}
	if len(c.problems) == before && len(c.set.CoveredPools(s)) == 0 {
		c.refuse("a scope that covers no instance", "pools and services that share a pool", fieldRef{ref, "pools"}, fieldRef{ref, "services"})
	}
}

// CoveredPools returns the sorted names of the pools that a scope covers, ignoring its failure domains.
func (s Set) CoveredPools(scope Scope) []string {
	servingPools := map[string]bool{}
	for _, service := range scope.Services {
		servingPools[s.Services[service].Pool] = true
	}
	candidates := scope.Pools
	if len(candidates) == 0 && len(servingPools) > 0 {
		candidates = slices.Collect(maps.Keys(servingPools))
	}
	if len(candidates) == 0 {
		return slices.Sorted(maps.Keys(s.Pools))
	}
	var covered []string
	for _, name := range candidates {
		_, ok := s.Pools[name]
		if ok && (len(scope.Services) == 0 || servingPools[name]) {
			covered = append(covered, name)
		}
	}
	slices.Sort(covered)
	return slices.Compact(covered)
}

func (c *checker) checkObjectives() {
	forEach(c.set.Objectives, func(name string, o Objective) {
		in := func(field string) fieldRef { return fieldRef{Ref{KindObjective, name}, field} }
		c.requireDeclaredService(o.Service, in("service"))
		c.require(o.Within > 0, formatDuration(o.Within), "a duration above 0s", in("within"))
		c.require(o.Window > 0 && o.Window <= MaxWindow, formatDuration(o.Window), "a window above 0s and at most 90d", in("window"))
		if s, ok := c.set.Services[o.Service]; ok && o.Within > s.Deadline {
			c.refuse(formatDuration(o.Within), fmt.Sprintf("at most the service's deadline of %s", formatDuration(s.Deadline)), in("within"))
		}
	})
}

func (c *checker) checkIntents() {
	forEach(c.set.Intents, func(key string, i Intent) {
		if _, ok := c.set.Waves[i.Target]; i.Kind == ResumeWave && !ok {
			c.refuse("wave "+quote(i.Target), "a declared wave", fieldRef{Ref{KindIntent, key}, ""})
		}
	})
}
