package move

import (
	"math"
	"slices"
	"time"
)

// history is the measured demand of one pool.
type history struct {
	// recent holds the last samples, from which the median is taken.
	recent  []float64
	next    int
	lastAt  time.Time
	level   float64
	profile []bin
	// surplusSince is the start of the period in which the pool has continuously had more instances than needed.
	surplusSince time.Time
}

// bin is a part of the period with the demand learned from earlier periods.
type bin struct {
	demand float64
	// currentMax is the highest level in the current period, which is merged into demand when the bin ends.
	currentMax float64
	periods    int
}

// observe adds a sample; bursts shorter than half the window do not change the median.
// Samples that arrive faster than the interval are ignored, since the window is counted in samples.
func (h *history) observe(p *Planner, at time.Time, slots float64) {
	if !h.lastAt.IsZero() && at.Sub(h.lastAt) < p.Interval {
		return
	}
	size := p.samples()
	if len(h.recent) < size {
		h.recent = append(h.recent, slots)
	} else {
		h.recent[h.next%size] = slots
	}
	h.next++
	sorted := slices.Clone(h.recent)
	slices.Sort(sorted)
	h.level = sorted[len(sorted)/2]
	h.learn(p, at)
	h.lastAt = at
}

// samples returns the number of samples in the median.
func (p *Planner) samples() int { return max(1, p.MinSamples, int(p.Window/p.Interval)) }

// windowFull reports whether the samples cover the window; after a takeover, a burst in fewer samples would move instances.
func (h *history) windowFull(p *Planner) bool { return h != nil && len(h.recent) >= p.samples() }

func (h *history) learn(p *Planner, at time.Time) {
	if h.profile == nil {
		h.profile = make([]bin, max(1, int(p.Period/p.Bin)))
	}
	i := p.binOf(at, len(h.profile))
	if last := p.binOf(h.lastAt, len(h.profile)); !h.lastAt.IsZero() && last != i {
		h.profile[last].merge()
	}
	h.profile[i].currentMax = math.Max(h.profile[i].currentMax, h.level)
}

// merge weighs the last period as much as all earlier ones, so that a change in demand is learned within a few periods.
func (b *bin) merge() {
	if b.periods == 0 {
		b.demand = b.currentMax
	} else {
		b.demand = (b.demand + b.currentMax) / 2
	}
	b.periods++
	b.currentMax = 0
}

// expected returns the highest demand learned for the time from now to now plus ahead, and whether all its bins are known.
func (h *history) expected(p *Planner, now time.Time, ahead time.Duration) (slots float64, known bool) {
	if h.profile == nil {
		return 0, false
	}
	known = true
	for t := now; !t.After(now.Add(ahead)); t = t.Add(p.Bin) {
		b := h.profile[p.binOf(t, len(h.profile))]
		if b.periods == 0 {
			known = false
			continue
		}
		slots = math.Max(slots, b.demand)
	}
	return slots, known
}

func (p *Planner) binOf(t time.Time, n int) int {
	return int(t.UTC().Sub(time.Unix(0, 0))%p.Period/p.Bin) % n
}
