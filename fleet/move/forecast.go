package move

import (
	"math"
	"slices"
	"time"
)

// history is the measured demand of one pool.
type history struct {
	// recent is a ring buffer of the last samples, whose median is level.
	recent       []float64
	samplesTaken int
	lastAt       time.Time
	level        float64
	profile      []bin
	// surplusSince is the start of the period in which the pool has continuously had more instances than needed.
	surplusSince time.Time
}

// bin is an interval of the period and the demand learned for it from earlier periods.
type bin struct {
	demand float64
	// currentMax is the highest level in the bin in the current period; it is merged into demand when the bin ends.
	currentMax float64
	periods    int
}

// observe adds a sample; bursts shorter than half the window hardly change the median. Samples that arrive faster than the
// interval are ignored, since the length of the window is counted in samples.
func (h *history) observe(p *Planner, at time.Time, slots float64) {
	if !h.lastAt.IsZero() && at.Sub(h.lastAt) < p.Interval {
		return
	}
	size := p.samples()
	if len(h.recent) < size {
		h.recent = append(h.recent, slots)
	} else {
		h.recent[h.samplesTaken%size] = slots
	}
	h.samplesTaken++
	sorted := slices.Clone(h.recent)
	slices.Sort(sorted)
	h.level = sorted[len(sorted)/2]
	h.learn(p, at)
	h.lastAt = at
}

// samples returns the number of samples of which the median is taken.
func (p *Planner) samples() int { return max(1, p.MinSamples, int(p.Window/p.Interval)) }

// windowFull reports whether the samples cover the window. With the few samples after a takeover, a burst would move instances.
func (h *history) windowFull(p *Planner) bool { return h != nil && len(h.recent) >= p.samples() }

func (h *history) learn(p *Planner, at time.Time) {
	if h.profile == nil {
		h.profile = make([]bin, max(1, int(p.Period/p.Bin)))
	}
	i := p.binIndex(at, len(h.profile))
	if last := p.binIndex(h.lastAt, len(h.profile)); !h.lastAt.IsZero() && last != i {
		h.profile[last].merge()
	}
	h.profile[i].currentMax = math.Max(h.profile[i].currentMax, h.level)
}

// merge adds the current period to the learned demand with the weight of all earlier periods together, so that a change in
// demand is learned within a few periods.
func (b *bin) merge() {
	if b.periods == 0 {
		b.demand = b.currentMax
	} else {
		b.demand = (b.demand + b.currentMax) / 2
	}
	b.periods++
	b.currentMax = 0
}

// expected returns the highest demand learned for the time from now to now plus ahead; complete is false when demand has not
// been learned for some of its bins.
func (h *history) expected(p *Planner, now time.Time, ahead time.Duration) (slots float64, complete bool) {
	if h.profile == nil {
		return 0, false
	}
	complete = true
	for t := now; !t.After(now.Add(ahead)); t = t.Add(p.Bin) {
		b := h.profile[p.binIndex(t, len(h.profile))]
		if b.periods == 0 {
			complete = false
			continue
		}
		slots = math.Max(slots, b.demand)
	}
	return slots, complete
}

func (p *Planner) binIndex(t time.Time, n int) int {
	return int(t.UTC().Sub(time.Unix(0, 0))%p.Period/p.Bin) % n
}
