package budget

import (
	"slices"

	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/platform"
)

// Member is an instance with the properties that the scopes of budgets refer to.
type Member struct {
	ID       string
	Pool     string
	Location platform.Location
}

// Domain is a rack or data centre together with the larger domains that contain it, so that equal names are distinct.
type Domain struct {
	Region     string
	DataCentre string
	Rack       string
}

// RackOf returns the member's rack.
func RackOf(m Member) Domain {
	return Domain{Region: m.Location.Region, DataCentre: m.Location.DataCentre, Rack: m.Location.Rack}
}

// DataCentreOf returns the member's data centre.
func DataCentreOf(m Member) Domain {
	return Domain{Region: m.Location.Region, DataCentre: m.Location.DataCentre}
}

// Covers reports whether a scope covers a member: each of the scope's lists must be empty or match.
func Covers(sc declaration.Scope, services map[string]declaration.Service, m Member) bool {
	return matches(sc.Pools, m.Pool) && runsAnyService(sc.Services, services, m.Pool) &&
		matches(sc.Regions, m.Location.Region) && matches(sc.DataCentres, m.Location.DataCentre) &&
		matches(sc.Racks, m.Location.Rack)
}

func matches(names []string, name string) bool {
	return len(names) == 0 || slices.Contains(names, name)
}

func runsAnyService(names []string, services map[string]declaration.Service, pool string) bool {
	if len(names) == 0 {
		return true
	}
	for _, n := range names {
		if s, ok := services[n]; ok && s.Pool == pool {
			return true
		}
	}
	return false
}

// Index finds the budgets that cover a member without scanning all budgets.
type Index struct {
	services map[string]declaration.Service
	budgets  map[string]declaration.Budget
	byPool   map[string][]string
	anyPool  []string
}

// NewIndex builds an index over the budgets of a configuration.
func NewIndex(set declaration.Set) *Index {
	x := &Index{services: set.Services, budgets: set.Budgets, byPool: map[string][]string{}}
	for name, b := range set.Budgets {
		pools := poolsOf(b.Scope, set.Services)
		if pools == nil {
			x.anyPool = append(x.anyPool, name)
		}
		for _, p := range pools {
			x.byPool[p] = append(x.byPool[p], name)
		}
	}
	return x
}

// poolsOf returns the pools that a scope can cover, or nil when it is not limited to pools.
func poolsOf(sc declaration.Scope, services map[string]declaration.Service) []string {
	if len(sc.Pools) > 0 {
		return sc.Pools
	}
	if len(sc.Services) == 0 {
		return nil
	}
	pools := []string{}
	for _, n := range sc.Services {
		if s, ok := services[n]; ok && !slices.Contains(pools, s.Pool) {
			pools = append(pools, s.Pool)
		}
	}
	return pools
}

// Covering returns the names of the budgets that cover a member, in name order.
func (x *Index) Covering(m Member) []string {
	var names []string
	for _, candidates := range [][]string{x.byPool[m.Pool], x.anyPool} {
		for _, n := range candidates {
			if Covers(x.budgets[n].Scope, x.services, m) {
				names = append(names, n)
			}
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}
