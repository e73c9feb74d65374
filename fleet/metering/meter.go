package metering

import "time"

const (
	// Burst is the time for which a workspace may send its whole rate at once: arrivals within a second are not told apart from a steady rate.
	Burst = time.Second
	// Window is the time over which arrivals are counted to divide a rate among pools.
	Window = 2 * time.Second
	// slots is the number of parts of the window; an arrival leaves the count with its part.
	slots    = 8
	slotTime = Window / slots
	// minShare is the smallest share of a workspace's rate that a pool assumes, so that a pool at which the workspace just begins admits some arrivals.
	minShare = 0.05
	// totalAge is how long a count over all pools is used; without a newer one a pool then assumes that it gets all arrivals.
	totalAge = 2 * time.Second
)

// Meter tells the arrivals of one workspace at one pool that are within its rate from those beyond it: a token bucket that holds what the rate gives in
// the time Burst. The zero value is ready to use.
type Meter struct {
	// Rate is the number of arrivals a second that the workspace is owed at all pools together.
	Rate float64

	// full is when the bucket is full again.
	full time.Time
	// counts holds the arrivals by slot of time, newest is the number of the newest slot.
	counts [slots]int
	newest int64
	// total is the count over all pools at totalAt, own that of this pool in it.
	total, own float64
	totalAt    time.Time
}

// Arrive counts an arrival and reports whether it is within the rate. Arrivals may come out of order. The bucket's time does not run
// backwards, so an arrival must not lie in the future.
func (m *Meter) Arrive(at time.Time) bool {
	m.count(at)
	rate := m.Rate * m.Share(at)
	if rate <= 0 {
		return false
	}
	begin := m.full
	if at.After(begin) {
		begin = at
	}
	full := begin.Add(time.Duration(float64(time.Second) / rate))
	// A bucket of less than one arrival holds one.
	if full.Sub(at) > max(Burst, time.Duration(float64(time.Second)/rate)) {
		return false
	}
	m.full = full
	return true
}

// Beyond reports whether an arrival at a time would be beyond the rate, without counting it.
func (m *Meter) Beyond(at time.Time) bool {
	probe := *m
	return !probe.Arrive(at)
}

func slotOf(at time.Time) int64 { return at.UnixNano() / int64(slotTime) }

// countOf returns the count of a slot; slots before 1970 have negative numbers.
func (m *Meter) countOf(slot int64) *int { return &m.counts[(slot%slots+slots)%slots] }

// advance clears the slots that have left the window.
func (m *Meter) advance(slot int64) {
	if slot <= m.newest {
		return
	}
	for s := max(m.newest+1, slot-slots+1); s <= slot; s++ {
		*m.countOf(s) = 0
	}
	m.newest = slot
}

func (m *Meter) count(at time.Time) {
	slot := slotOf(at)
	m.advance(slot)
	if slot > m.newest-slots {
		*m.countOf(slot)++
	}
}

// Recent returns the number of arrivals at this pool in the window before a time.
func (m *Meter) Recent(now time.Time) float64 {
	m.advance(slotOf(now))
	sum := 0
	for _, n := range m.counts {
		sum += n
	}
	return float64(sum)
}

// SetTotal sets the number of recent arrivals at all pools, in which those of this pool are own.
func (m *Meter) SetTotal(total, own float64, now time.Time) {
	m.total, m.own, m.totalAt = total, own, now
}

// Share returns the share of the rate that the meter assumes for its pool: that of its pool in the recent arrivals. The arrivals at the other pools are
// those of the last total, those at this pool are current, so that a pool at which a workspace just begins has its share at once.
func (m *Meter) Share(now time.Time) float64 {
	others := max(0, m.total-m.own)
	if others == 0 || now.Sub(m.totalAt) > totalAge {
		return 1
	}
	own := m.Recent(now)
	return max(minShare, own/(own+others))
}
