package declaration

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

const (
	// MaxDeadline is the largest deadline of a service; a drain waits no longer than that for a member that disappeared.
	MaxDeadline = 60 * time.Second
	// MaxBody is the largest request or answer in bytes; entry instances hold whole answers in memory.
	MaxBody = 64 << 20
	// MaxKeyRetention is how long claim journals are kept.
	MaxKeyRetention = day
	// MaxWindow is the longest window of an objective.
	MaxWindow = 90 * day
)

// Validate checks a whole set for references, limits and consistency and returns Problems with every error found.
func Validate(s Set) error { return Document{}.Check(s) }

// Check checks a whole set that holds the document's objects; problems stand at the document's positions where it has one.
func (d Document) Check(s Set) error {
	c := &checker{set: s, marks: d.marks}
	c.sharing = sharing(s)
	c.covering = covering(s)
	c.checkPools()
	c.checkServices()
	c.checkTeams()
	c.checkBudgets()
	c.checkWaves()
	c.checkObjectives()
	c.checkIntents()
	return c.problems.orNil()
}

type checker struct {
	set      Set
	marks    map[Ref]mark
	problems Problems
	// sharing holds the services with a share by pool and covering the budgets by pool, both in name order, so that a
	// check does not compare all pairs of objects.
	sharing  map[string][]string
	covering map[string][]string
}

func sharing(s Set) map[string][]string {
	byPool := map[string][]string{}
	each(s.Services, func(name string, v Service) {
		if v.Share > 0 {
			byPool[v.Pool] = append(byPool[v.Pool], name)
		}
	})
	return byPool
}

// covering leaves out budgets that are limited to failure domains, whose instances are not declared.
func covering(s Set) map[string][]string {
	byPool := map[string][]string{}
	each(s.Budgets, func(name string, b Budget) {
		if hasLocations(b.Scope) {
			return
		}
		for _, pool := range s.CoveredPools(b.Scope) {
			byPool[pool] = append(byPool[pool], name)
		}
	})
	return byPool
}

// spot is a field of an object, or the object itself when the field is empty.
type spot struct {
	ref   Ref
	field string
}

// refuse adds a problem at the first of the spots that stands in a file.
func (c *checker) refuse(found, expected string, spots ...spot) {
	for _, s := range spots {
		m, ok := c.marks[s.ref]
		if !ok {
			continue
		}
		pos := m.pos
		if p, ok := m.fields[s.field]; ok {
			pos = p
		}
		c.problems = append(c.problems, at(pos, found, expected))
		return
	}
	first := spots[0].ref
	c.problems = append(c.problems, Problem{
		File: CurrentName, Found: fmt.Sprintf("%s in %s %s", found, first.Kind, first.Name), Expected: expected,
	})
}

// want refuses unless the condition holds.
func (c *checker) want(ok bool, found, expected string, spots ...spot) {
	if !ok {
		c.refuse(found, expected, spots...)
	}
}

func each[T any](objects map[string]T, visit func(name string, value T)) {
	for _, name := range slices.Sorted(maps.Keys(objects)) {
		visit(name, objects[name])
	}
}

func (c *checker) checkPools() {
	minimums, instances := 0, 0
	var largest spot
	each(c.set.Pools, func(name string, p Pool) {
		in := func(field string) spot { return spot{Ref{KindPool, name}, field} }
		if largest.field == "" || p.Minimum > c.set.Pools[largest.ref.Name].Minimum {
			largest = in("minimum")
		}
		minimums += p.Minimum
		instances += p.Instances
		c.want(p.Instances >= 1, fmt.Sprint(p.Instances), "at least 1 instance", in("instances"))
		c.want(p.Minimum <= p.Instances, fmt.Sprintf("minimum %d", p.Minimum), fmt.Sprintf("at most the %d instances", p.Instances), in("minimum"))
		c.want(p.Maximum >= p.Instances, fmt.Sprintf("maximum %d", p.Maximum), fmt.Sprintf("at least the %d instances", p.Instances), in("maximum"))
		c.want(p.Slots >= 1, fmt.Sprint(p.Slots), "at least 1 slot", in("slots"))
		c.want(p.Connections >= p.Slots, fmt.Sprint(p.Connections), fmt.Sprintf("at least one connection for each of the %d slots", p.Slots), in("connections"))
		c.want(p.MilliCores > 0, "0 cores", "cores above 0", in("cores"))
		c.want(p.MemoryBytes > 0, "0B", "memory above 0B", in("memory"))
		if _, ok := times(p.MemoryBytes, int64(p.Instances)); !ok {
			c.refuse(fmt.Sprintf("%s in each of %d instances, which overflows", writeSize(p.MemoryBytes), p.Instances), "a sum below 8 EiB", in("memory"))
		}
		c.checkShares(name, p)
	})
	if minimums > instances {
		c.refuse(fmt.Sprintf("minimums of %d instances in all pools", minimums),
			fmt.Sprintf("at most the %d declared instances; an instance would have to be in two pools", instances), largest)
	}
}

// checkShares checks that the pool can hold the shares that its services are guaranteed, also at its minimum.
func (c *checker) checkShares(pool string, p Pool) {
	sum, need := 0, 0
	slots := p.Minimum * p.Slots
	var spots []spot
	for _, name := range slices.Backward(c.sharing[pool]) {
		share := c.set.Services[name].Share
		sum += share
		need += (share*slots + 99) / 100
		spots = append(spots, spot{Ref{KindService, name}, "share"})
	}
	if sum > 100 {
		c.refuse(fmt.Sprintf("shares of %d%% in pool %s", sum, pool), "at most 100%", spots...)
		return
	}
	if sum > 0 && (slots == 0 || need > slots) {
		c.refuse(fmt.Sprintf("pool %s with %d slots at its minimum of %d instances", pool, slots, p.Minimum),
			fmt.Sprintf("a pool not smaller than its guaranteed shares, %d%% in whole slots for %d services", sum, len(spots)),
			append([]spot{{Ref{KindPool, pool}, "minimum"}}, spots...)...)
	}
}

func (c *checker) checkServices() {
	each(c.set.Services, func(name string, s Service) {
		in := func(field string) spot { return spot{Ref{KindService, name}, field} }
		c.wantPool(s.Pool, in("pool"))
		c.want(s.Deadline > 0 && s.Deadline <= MaxDeadline, writeSpan(s.Deadline), "a deadline above 0s and at most 60s", in("deadline"))
		c.want(s.MaxRequest <= MaxBody, writeSize(s.MaxRequest), "at most 64MiB", in("maxRequest"))
		c.want(s.MaxAnswer <= MaxBody, writeSize(s.MaxAnswer), "at most 64MiB", in("maxAnswer"))
		c.want(s.KeyRetention <= MaxKeyRetention, writeSpan(s.KeyRetention), "at most 24h, the time that claims are kept", in("keyRetention"))
	})
}

func (c *checker) wantPool(name string, s spot) {
	_, ok := c.set.Pools[name]
	c.want(ok, "pool "+quote(name), "a declared pool", s)
}

func (c *checker) wantService(name string, s spot) {
	_, ok := c.set.Services[name]
	c.want(ok, "service "+quote(name), "a declared service", s)
}

// checkTeams checks that the sum of the quotas does not exceed the declared sizes of all instances.
func (c *checker) checkTeams() {
	amounts := []struct {
		field string
		have  func(Pool) int64
		used  func(Team) int64
		write func(int64) string
	}{
		{"cores", func(p Pool) int64 { return p.MilliCores }, func(t Team) int64 { return t.MilliCores }, writeCores},
		{"memory", func(p Pool) int64 { return p.MemoryBytes }, func(t Team) int64 { return t.MemoryBytes }, writeSize},
		{"accelerators", func(p Pool) int64 { return p.Accelerators }, func(t Team) int64 { return t.Accelerators }, amount.write},
	}
	for _, a := range amounts {
		fleet, sum, largest := int64(0), int64(0), ""
		isSumExact := true
		for _, p := range c.set.Pools {
			product, _ := times(a.have(p), int64(p.Instances))
			fleet, _ = plus(fleet, product)
		}
		each(c.set.Teams, func(name string, t Team) {
			if largest == "" || a.used(t) > a.used(c.set.Teams[largest]) {
				largest = name
			}
			var ok bool
			sum, ok = plus(sum, a.used(t))
			isSumExact = isSumExact && ok
		})
		if sum <= fleet && isSumExact {
			continue
		}
		found := fmt.Sprintf("quotas of %s %s in all", a.write(sum), a.field)
		if !isSumExact {
			found = fmt.Sprintf("quotas of %s that overflow", a.field)
		}
		c.refuse(found, fmt.Sprintf("at most the fleet's %s", a.write(fleet)), spot{Ref{KindTeam, largest}, a.field})
	}
}

// times returns the product, or the largest number and false when it overflows; both factors are not negative.
func times(a, b int64) (int64, bool) {
	if b != 0 && a > maxInt64/b {
		return maxInt64, false
	}
	return a * b, true
}

func plus(a, b int64) (int64, bool) {
	if a > maxInt64-b {
		return maxInt64, false
	}
	return a + b, true
}

const maxInt64 = 1<<63 - 1

func (c *checker) checkBudgets() {
	each(c.set.Budgets, func(name string, b Budget) {
		ref := Ref{KindBudget, name}
		c.checkScope(ref, b.Scope)
		c.want(b.MaxUnavailable >= 1, fmt.Sprint(b.MaxUnavailable), "at least 1, since no wave could stop an instance", spot{ref, "maxUnavailable"})
	})
}

func (c *checker) checkScope(ref Ref, s Scope) {
	before := len(c.problems)
	for _, pool := range s.Pools {
		c.wantPool(pool, spot{ref, "pools"})
	}
	for _, service := range s.Services {
		c.wantService(service, spot{ref, "services"})
	}
	if len(c.problems) == before && len(c.set.CoveredPools(s)) == 0 {
		c.refuse("a scope that covers no instance", "pools and services that share a pool", spot{ref, "pools"}, spot{ref, "services"})
	}
}

// CoveredPools returns the names of the pools that a scope reaches, in order; failure domains may narrow it further.
func (s Set) CoveredPools(scope Scope) []string {
	serving := map[string]bool{}
	for _, service := range scope.Services {
		serving[s.Services[service].Pool] = true
	}
	candidates := scope.Pools
	if len(candidates) == 0 && len(serving) > 0 {
		candidates = slices.Collect(maps.Keys(serving))
	}
	if len(candidates) == 0 {
		return slices.Sorted(maps.Keys(s.Pools))
	}
	var covered []string
	for _, name := range candidates {
		_, ok := s.Pools[name]
		if ok && (len(scope.Services) == 0 || serving[name]) {
			covered = append(covered, name)
		}
	}
	slices.Sort(covered)
	return slices.Compact(covered)
}

func (c *checker) checkObjectives() {
	each(c.set.Objectives, func(name string, o Objective) {
		in := func(field string) spot { return spot{Ref{KindObjective, name}, field} }
		c.wantService(o.Service, in("service"))
		c.want(o.Within > 0, writeSpan(o.Within), "a duration above 0s", in("within"))
		c.want(o.Window > 0 && o.Window <= MaxWindow, writeSpan(o.Window), "a window above 0s and at most 90d", in("window"))
		if s, ok := c.set.Services[o.Service]; ok && o.Within > s.Deadline {
			c.refuse(writeSpan(o.Within), fmt.Sprintf("at most the service's deadline of %s", writeSpan(s.Deadline)), in("within"))
		}
	})
}

func (c *checker) checkIntents() {
	each(c.set.Intents, func(key string, i Intent) {
		if _, ok := c.set.Waves[i.Target]; i.Kind == ResumeWave && !ok {
			c.refuse("wave "+quote(i.Target), "a declared wave", spot{Ref{KindIntent, key}, ""})
		}
	})
}
