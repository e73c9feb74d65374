package routing

import "time"

const (
	// ProbeTimeout is how long the answer to a probe may take.
	ProbeTimeout = 300 * time.Millisecond
	// maxEjection lets a recovered member return within the 5 s in which latency must be back at its baseline.
	maxEjection = 4 * time.Second
	// fullRamp is the number of requests in flight at which a returned member counts as any other.
	fullRamp = 8
	// minSamples keeps a few unlucky attempts from ejecting a member.
	minSamples = 8
	// minFailures is smaller, because few requests reach an instance that fails.
	minFailures = 5
	// failLimit is reached by five successive failures with failWeight.
	failLimit  = 0.5
	failWeight = 0.15
	slowWeight = 0.1
	poolWeight = 0.01
	// maxRatio keeps a single long request of a heavy-tailed service from dominating the mean.
	maxRatio = 10
	// rejectedRatio is the latency that a rejection counts as, in multiples of the expected one.
	rejectedRatio = 4
	minStall      = 500 * time.Millisecond
	// stallTimes is the number of expected completions without any after which a member counts as stalled. Requests that
	// wait at an overloaded member take twice as long as expected; a working one is then mistaken with probability e^-10.
	stallTimes = 20
	// suspectTimes is the same for a probe, which costs no caller anything.
	suspectTimes = 2
	minSuspect   = 100 * time.Millisecond
)

// Started records that an attempt at an instance begins; expected is the service's learned service time, 0 if unknown.
func (r *Router) Started(now time.Time, instance string, expected time.Duration) {
	i, ok := r.index[instance]
	if !ok {
		return
	}
	m := &r.members[i]
	if m.load() == 0 {
		m.progress, m.due, m.overdue = now, 0, 0
	}
	m.inFlight++
	m.due += r.frequency(expected)
	r.place(i)
}

// frequency returns how many completions a second are expected of a request.
func (r *Router) frequency(expected time.Duration) float64 {
	if expected <= 0 {
		return 0
	}
	return 1 / expected.Seconds()
}

// Finished records the end of an attempt and ejects or returns the instance if its results call for it.
func (r *Router) Finished(now time.Time, f Result) {
	i, ok := r.index[f.Instance]
	if !ok {
		return
	}
	m := &r.members[i]
	m.inFlight = max(m.inFlight-1, 0)
	// What a request did that began before the last ejection is not counted again.
	old := now.Add(-f.Took).Before(m.ejectedAt)
	if old && m.stuck > 0 {
		m.stuck--
	}
	m.stuck = min(m.stuck, m.inFlight)
	if !old {
		m.due = max(m.due-r.frequency(f.Expected), 0)
	}
	if f.Outcome != Abandoned && !old {
		m.progress, m.overdue = now, 0
		r.learn(m, f)
		r.rise(now, i, f)
	}
	if !m.ejected {
		r.judge(now, i)
	}
	r.place(i)
}

// learn updates the averages of the member and of the pool.
func (r *Router) learn(m *member, f Result) {
	took, failed := f.Took.Seconds(), 0.0
	if f.Outcome == Failed || f.Outcome == TimedOut {
		failed = 1
	}
	m.samples++
	m.failing += failWeight * (failed - m.failing)
	r.failing += poolWeight * (failed - r.failing)
	if f.Outcome == Failed {
		return
	}
	expected := f.Expected.Seconds()
	if expected == 0 {
		expected = r.mean
	}
	if f.Outcome == Succeeded {
		r.samples++
		r.mean += max(poolWeight, 1/float64(r.samples)) * (took - r.mean)
	}
	ratio := 1.0
	if expected > 0 {
		ratio = min(took/expected, maxRatio)
	}
	if f.Outcome == Rejected {
		ratio = rejectedRatio
	}
	m.ratio += slowWeight * (ratio - m.ratio)
}

// judge ejects a member that fails or is slow compared with the pool.
func (r *Router) judge(now time.Time, i int) {
	m := &r.members[i]
	switch {
	case m.samples >= minFailures && m.failing > failLimit && m.failing > 1.5*r.failing:
		r.eject(now, i, Failing)
	case m.samples >= minSamples && m.ratio > r.SlowFactor*r.typical(i):
		r.eject(now, i, Slow)
	}
}

// typical returns the mean latency ratio of a few other members, at a cost that does not depend on the pool's size.
func (r *Router) typical(i int) float64 {
	sum, n := 0.0, 0
	for k := 1; k <= 16 && k < len(r.members); k++ {
		m := &r.members[(i+k)%len(r.members)]
		if m.State == InService && !m.ejected {
			sum += m.ratio
			n++
		}
	}
	if n == 0 {
		return maxRatio
	}
	return sum / float64(n)
}

// eject takes a member out of the choice unless half of the members in service are ejected already.
func (r *Router) eject(now time.Time, i int, why EjectReason) {
	if 2*(len(r.ejected.items)+1) > r.serving {
		return
	}
	m := &r.members[i]
	m.ejected, m.probing, m.ramp = true, false, 0
	m.until = now.Add(r.ejection(m))
	m.stuck, m.ejectedAt = m.inFlight, now
	m.ejections++
	r.place(i)
	r.changes = append(r.changes, Change{Instance: m.ID, Ejected: true, Reason: why})
}

func (r *Router) ejection(m *member) time.Duration {
	return min(r.EjectFor<<min(m.ejections, 10), maxEjection)
}

// rise widens a returned member's limit with each success and ejects it again at the first failure or rejection.
func (r *Router) rise(now time.Time, i int, f Result) {
	m := &r.members[i]
	if m.ramp == 0 || m.ejected {
		return
	}
	if f.Outcome != Succeeded {
		r.eject(now, i, Failing)
		return
	}
	if m.ramp *= 2; m.ramp > fullRamp {
		m.ramp, m.ejections = 0, 0
	}
}

func (r *Router) restore(m *member) {
	m.ejected, m.probing, m.ramp = false, false, 1
	m.ratio, m.failing, m.samples, m.due, m.overdue = 1, 0, 0, 0, 0
	r.changes = append(r.changes, Change{Instance: m.ID, Reason: Recovered})
}

// Probes appends to out the ejected and suspected instances that are to be probed now.
func (r *Router) Probes(now time.Time, out []string) []string {
	r.asked = true
	for i := range r.members {
		m := &r.members[i]
		suspected := m.overdue > suspectTimes && now.Sub(m.progress) > minSuspect && !now.Before(m.probeAt)
		if m.State == InService && !m.probing && (m.ejected && !now.Before(m.until) || !m.ejected && suspected) {
			m.probing = true
			out = append(out, m.ID)
		}
	}
	return out
}

// Probed records the result of a probe. After a good one an ejected instance gets single requests again.
func (r *Router) Probed(now time.Time, instance string, good bool) {
	i, ok := r.index[instance]
	if !ok || !r.members[i].probing {
		return
	}
	m := &r.members[i]
	m.probing = false
	m.probeAt = now.Add(r.EjectFor)
	switch {
	case m.ejected && good:
		r.restore(m)
		r.place(i)
	case m.ejected:
		// A probe costs no caller anything, so failed ones do not lengthen the ejection.
		m.until = now.Add(r.EjectFor)
	case !good:
		r.eject(now, i, Unreachable)
	}
}

// Tick ejects members that hold requests and complete none.
func (r *Router) Tick(now time.Time) {
	interval := now.Sub(r.ticked).Seconds()
	if r.ticked.IsZero() {
		interval = 0
	}
	r.ticked = now
	for i := range r.members {
		m := &r.members[i]
		switch {
		case m.State != InService:
		case m.ejected:
			if !r.asked && !now.Before(m.until) {
				r.restore(m)
				r.place(i)
			}
		case m.inFlight > 0:
			m.overdue += m.due * interval
			if m.overdue > stallTimes && now.Sub(m.progress) > minStall {
				r.eject(now, i, Stalled)
			}
		}
	}
}

// limitEjections returns the members whose ejection ends first until at most half of those in service are ejected.
func (r *Router) limitEjections() {
	for 2*len(r.ejected.items) > r.serving {
		first := r.ejected.items[0]
		for _, i := range r.ejected.items {
			if r.members[i].until.Before(r.members[first].until) {
				first = i
			}
		}
		r.restore(&r.members[first])
		r.place(int(first))
	}
}
