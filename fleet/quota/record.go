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
	// Parts holds the amounts to which the pools lower their grants while these exceed the limit. The write after which they do sets it for all pools:
	// parts that each holder computed for itself, from records in between, would not add up to the limit.
	Parts map[string]workload.Resources `json:"parts,omitempty"`
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

// setParts divides a limit into which the grants do not fit, in proportion to the grants; again is set for a new limit.
func (r *Record) setParts(again bool) {
	limit, sum := amountsOf(r.Limit), amountsOf(r.Granted())
	if !sum.exceeds(limit, limit) {
		r.Parts = nil
		return
	}
	if r.Parts != nil && !again {
		return
	}
	r.Parts = make(map[string]workload.Resources, len(r.Pools))
	for name, s := range r.Pools {
		part := amountsOf(s.Grant)
		for i := range part {
			part[i] = partOf(part[i], limit[i], sum[i])
		}
		r.Parts[name] = part.resources()
	}
}

// partOf returns a pool's part of a limit that is exceeded by the sum of the grants, and the limit otherwise.
func partOf(grant, limit, sum int64) int64 {
	if sum <= limit {
		return limit
	}
	return scale(grant, limit, sum)
}

func (r *Record) clone() Record {
	c := *r
	c.Pools, c.Parts = maps.Clone(r.Pools), maps.Clone(r.Parts)
	if c.Pools == nil {
		c.Pools = map[string]Share{}
	}
	return c
}

// claim is what another pool holds and wants.
type claim struct {
	pool               string
	grant, want, least amounts
}

// others returns what the other pools hold and want, in the order of their names.
func (r *Record) others(pool string) []claim {
	var list []claim
	for _, name := range slices.Sorted(maps.Keys(r.Pools)) {
		if name != pool {
			s := r.Pools[name]
			list = append(list, claim{name, amountsOf(s.Grant), amountsOf(s.Want), amountsOf(s.Least)})
		}
	}
	return list
}
