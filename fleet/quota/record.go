package quota

import (
	"maps"
	"slices"

	"verbenalanding.example/fleet/workload"
)

// Record is what the store keeps of a workspace with a limit.
type Record struct {
	// Version is that of the configuration from which Limit was taken; a holder with an older configuration follows the record.
	Version int64              `json:"version"`
	Limit   workload.Resources `json:"limit"`
	// Settled is true once a holder has waited for the others to state what ran before the workspace had a limit.
	Settled bool             `json:"settled,omitempty"`
	Pools   map[string]Share `json:"pools"`
}

// Share is the part of a limit that a pool holds, and what it wants beyond.
type Share struct {
	Grant workload.Resources `json:"grant"`
	// Want is what the pool could use; zero if the grant suffices.
	Want workload.Resources `json:"want,omitzero"`
	// Least is the need of the largest waiting task, with less than which that task cannot start.
	Least workload.Resources `json:"least,omitzero"`
}

// Granted returns the sum of the grants.
func (r *Record) Granted() workload.Resources {
	var sum workload.Resources
	for _, s := range r.Pools {
		sum = sum.Plus(s.Grant)
	}
	return sum
}

// partOf returns a pool's part of a limit that is exceeded by the sum of the grants, and the limit otherwise.
func partOf(grant, limit, sum int64) int64 {
	if sum <= limit {
		return limit
	}
	return int64(float64(grant) * (float64(limit) / float64(sum)))
}

func (r *Record) clone() Record {
	c := *r
	c.Pools = maps.Clone(r.Pools)
	if c.Pools == nil {
		c.Pools = map[string]Share{}
	}
	return c
}

// otherPool is what another pool holds and wants.
type otherPool struct {
	pool               string
	grant, want, least amounts
}

// others returns what the other pools hold and want, in the order of their names.
func (r *Record) others(pool string) []otherPool {
	var list []otherPool
	for _, name := range slices.Sorted(maps.Keys(r.Pools)) {
		if name != pool {
			s := r.Pools[name]
			list = append(list, otherPool{name, amountsOf(s.Grant), amountsOf(s.Want), amountsOf(s.Least)})
		}
	}
	return list
}
