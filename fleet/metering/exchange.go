package metering

import (
	"cmp"
	"hash/fnv"
	"slices"
	"time"
)

// Count is a number of recent arrivals of a workspace at a pool.
type Count struct {
	Workspace string  `json:"workspace"`
	Arrivals  float64 `json:"arrivals"`
}

// Total is the number of recent arrivals of a workspace at all pools; Own is the part of it that the asking pool has reported.
type Total struct {
	Workspace string  `json:"workspace"`
	Arrivals  float64 `json:"arrivals"`
	Own       float64 `json:"own"`
}

// Home returns the pool whose holder adds up the arrivals of a workspace, by rendezvous hashing: all pools that know the same names choose the same one,
// and when a pool is added or removed, only the workspaces whose home it is change their home.
func Home(workspace string, pools []string) string {
	home, best := "", uint64(0)
	for _, pool := range pools {
		h := fnv.New64a()
		// A hash never returns an error.
		_, _ = h.Write([]byte(pool + "\x00" + workspace))
		if sum := mix(h.Sum64()); home == "" || sum > best || (sum == best && pool < home) {
			home, best = pool, sum
		}
	}
	return home
}

// mix is the finalizer of MurmurHash3: it spreads the differences between similar names over all bits.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Sums adds up the arrivals of the workspaces of one home. The zero value is ready to use.
type Sums struct {
	reports map[reportKey]report
}

type reportKey struct{ workspace, pool string }

type report struct {
	arrivals float64
	at       time.Time
}

// maxReports bounds the counts that a home keeps, which take some 5 MB; further counts are left out of the totals.
const maxReports = 50_000

// Add replaces the counts that a pool has reported of workspaces, and returns the totals of these workspaces, sorted by name.
func (s *Sums) Add(pool string, counts []Count, now time.Time) []Total {
	if s.reports == nil {
		s.reports = map[reportKey]report{}
	}
	for k, t := range s.reports {
		if now.Sub(t.at) > totalAge {
			delete(s.reports, k)
		}
	}
	own := map[string]float64{}
	for _, c := range counts {
		k := reportKey{c.Workspace, pool}
		if _, known := s.reports[k]; !known && len(s.reports) >= maxReports {
			continue
		}
		s.reports[k] = report{max(0, c.Arrivals), now}
		own[c.Workspace] = max(0, c.Arrivals)
	}
	sums := map[string]float64{}
	for k, t := range s.reports {
		if _, asked := own[k.workspace]; asked {
			sums[k.workspace] += t.arrivals
		}
	}
	totals := make([]Total, 0, len(sums))
	for workspace, sum := range sums {
		totals = append(totals, Total{Workspace: workspace, Arrivals: sum, Own: own[workspace]})
	}
	slices.SortFunc(totals, func(a, b Total) int { return cmp.Compare(a.Workspace, b.Workspace) })
	return totals
}
