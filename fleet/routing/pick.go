package routing

import (
	"time"

	"verbenalanding.example/fleet/internal/hash"
)

// Pick returns the instance for one attempt, or false if no instance may receive it.
func (r *Router) Pick(q Query) (Choice, bool) {
	avoid := int32(-1)
	if i, ok := r.index[q.Avoid]; ok {
		avoid = int32(i)
	}
	if i, ok := r.sample(r.withinQuota.items, q.Random, avoid); ok {
		return r.choice(i, q), true
	}
	if i, ok := r.sample(r.available.items, q.Random, avoid); ok {
		return r.choice(i, q), true
	}
	if avoid >= 0 && r.available.position[avoid] >= 0 {
		return r.choice(avoid, q), true
	}
	return Choice{}, false
}

func (r *Router) choice(i int32, q Query) Choice {
	c := Choice{Instance: r.members[i].ID, Trial: r.members[i].rampLimit == 1}
	if c.Trial && q.Repeatable {
		c.Timeout = max(time.Duration(r.SlowFactor*r.meanLatency*float64(time.Second)), ProbeTimeout)
	}
	return c
}

// sample returns the best of a few members drawn at random. Comparing all members would take linear time and would make
// all entry instances choose the same one.
func (r *Router) sample(items []int32, random uint64, avoid int32) (int32, bool) {
	if len(items) == 0 || len(items) == 1 && items[0] == avoid {
		return 0, false
	}
	best, bestScore := int32(-1), 0.0
	for range r.Choices {
		random = hash.Mix(random)
		k := int(random % uint64(len(items)))
		if items[k] == avoid {
			k = (k + 1) % len(items)
		}
		if s := r.score(&r.members[items[k]]); best < 0 || s < bestScore {
			best, bestScore = items[k], s
		}
	}
	return best, true
}

// score estimates the time in seconds until an attempt at the member succeeds. Failures multiply it, since an instance
// that fails fast would otherwise look like the least loaded one.
func (r *Router) score(m *member) float64 {
	return r.meanLatency*m.latencyRatio*float64(m.load()+1)*(1+8*m.failureRate) + m.assumedRoundTrip
}
