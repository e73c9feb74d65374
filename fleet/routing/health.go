package routing

import "time"

const (
	// ProbeTimeout is the maximum time until the response to a probe.
	ProbeTimeout = 300 * time.Millisecond
	// maxEjectTime lets a recovered member return within the 5 s after which latency must be back at its baseline.
	maxEjectTime = 4 * time.Second
	// rampEnd is the limit of requests in flight above which a returned member is treated like any other.
	rampEnd = 8
	// minSamples prevents an ejection because of a few slow attempts.
	minSamples = 8
	// minFailures is smaller than minSamples, because few requests reach an instance that fails.
	minFailures = 5
	// failureLimit is exceeded after five successive failures, given failWeight.
	failureLimit = 0.5
	failWeight   = 0.15
	slowWeight   = 0.1
	poolWeight   = 0.01
	// maxRatio keeps a single long request of a heavy-tailed service from dominating the mean.
	maxRatio = 10
	// rejectedRatio is the latency ratio that a rejection counts as.
	rejectedRatio = 4
	minStallTime  = 500 * time.Millisecond
	// stallCompletions is the number of missed completions after which a member counts as stalled. Requests that wait at an
	// overloaded member take twice as long as expected, so a working one is ejected by mistake with probability e^-10.
	stallCompletions = 20
	// suspectCompletions is the number of missed completions after which a member is probed. It is lower, because a probe
	// does not delay any caller.
	suspectCompletions = 2
	minSuspectTime     = 100 * time.Millisecond
)

// Started records the start of an attempt at an instance; expected is the service's learned service time, 0 if unknown.
func (r *Router) Started(now time.Time, instance string, expected time.Duration) {
	i, ok := r.index[instance]
	if !ok {
		return
	}
	m := &r.members[i]
	if m.load() == 0 {
		m.lastProgress, m.expectedRate, m.missedCompletions = now, 0, 0
	}
	m.inFlight++
	m.expectedRate += r.completionRate(expected)
	r.updateLists(i)
}

// completionRate returns the expected completions per second of one request in flight.
func (r *Router) completionRate(expected time.Duration) float64 {
	if expected <= 0 {
		return 0
	}
	return 1 / expected.Seconds()
}

// Finished records the end of an attempt. Depending on the results, it ejects the instance or raises the limit of one that
// has returned.
func (r *Router) Finished(now time.Time, f Result) {
	i, ok := r.index[f.Instance]
	if !ok {
		return
	}
	m := &r.members[i]
	m.inFlight = max(m.inFlight-1, 0)
	// The result of an attempt that began before the last ejection is not counted.
	beforeEjection := now.Add(-f.Took).Before(m.ejectedAt)
	if beforeEjection && m.staleInFlight > 0 {
		m.staleInFlight--
	}
	m.staleInFlight = min(m.staleInFlight, m.inFlight)
	if !beforeEjection {
		m.expectedRate = max(m.expectedRate-r.completionRate(f.Expected), 0)
	}
	if f.Outcome != Abandoned && !beforeEjection {
		m.lastProgress, m.missedCompletions = now, 0
		r.learn(m, f)
		r.rampUp(now, i, f)
	}
	if !m.ejected {
		r.evaluate(now, i)
	}
	r.updateLists(i)
}

// learn updates the averages of the member and of the pool.
func (r *Router) learn(m *member, f Result) {
	took, failed := f.Took.Seconds(), 0.0
	if f.Outcome == Failed || f.Outcome == TimedOut {
		failed = 1
	}
	m.samples++
	m.failureRate += failWeight * (failed - m.failureRate)
	r.failureRate += poolWeight * (failed - r.failureRate)
	if f.Outcome == Failed {
		return
	}
	expected := f.Expected.Seconds()
	if expected == 0 {
		expected = r.meanLatency
	}
	if f.Outcome == Succeeded {
		r.samples++
		r.meanLatency += max(poolWeight, 1/float64(r.samples)) * (took - r.meanLatency)
	}
	ratio := 1.0
	if expected > 0 {
		ratio = min(took/expected, maxRatio)
	}
	if f.Outcome == Rejected {
		ratio = rejectedRatio
	}
	m.latencyRatio += slowWeight * (ratio - m.latencyRatio)
}

// evaluate ejects a member that fails or is slow compared with the pool.
func (r *Router) evaluate(now time.Time, i int) {
	m := &r.members[i]
	switch {
	case m.samples >= minFailures && m.failureRate > failureLimit && m.failureRate > 1.5*r.failureRate:
		r.eject(now, i, Failing)
	case m.samples >= minSamples && m.latencyRatio > r.SlowFactor*r.meanRatioOfOthers(i):
		r.eject(now, i, Slow)
	}
}

// meanRatioOfOthers returns the mean latency ratio of a few other members, at a cost that does not depend on the pool's size.
func (r *Router) meanRatioOfOthers(i int) float64 {
	sum, n := 0.0, 0
	for k := 1; k <= 16 && k < len(r.members); k++ {
		m := &r.members[(i+k)%len(r.members)]
		if m.State == InService && !m.ejected {
			sum += m.latencyRatio
			n++
		}
	}
	if n == 0 {
		return maxRatio
	}
	return sum / float64(n)
}

// eject excludes a member from selection unless more than half of the members in service would then be ejected.
func (r *Router) eject(now time.Time, i int, reason EjectReason) {
	if 2*(len(r.ejected.items)+1) > r.serving {
		return
	}
	m := &r.members[i]
	m.ejected, m.probing, m.rampLimit = true, false, 0
	m.ejectedUntil = now.Add(r.ejectionTime(m))
	m.staleInFlight, m.ejectedAt = m.inFlight, now
	m.ejections++
	r.updateLists(i)
	r.changes = append(r.changes, Change{Instance: m.ID, Ejected: true, Reason: reason})
}

func (r *Router) ejectionTime(m *member) time.Duration {
	return min(r.EjectFor<<min(m.ejections, 10), maxEjectTime)
}

// rampUp raises a returned member's limit with each success and ejects it again at the first failure or rejection.
func (r *Router) rampUp(now time.Time, i int, f Result) {
	m := &r.members[i]
	if m.rampLimit == 0 || m.ejected {
		return
	}
	if f.Outcome != Succeeded {
		r.eject(now, i, Failing)
		return
	}
	if m.rampLimit *= 2; m.rampLimit > rampEnd {
		m.rampLimit, m.ejections = 0, 0
	}
}

func (r *Router) restore(m *member) {
	m.ejected, m.probing, m.rampLimit = false, false, 1
	m.latencyRatio, m.failureRate, m.samples, m.expectedRate, m.missedCompletions = 1, 0, 0, 0, 0
	r.changes = append(r.changes, Change{Instance: m.ID, Reason: Recovered})
}

// Probes appends the ejected and suspected instances that are to be probed now to out.
func (r *Router) Probes(now time.Time, out []string) []string {
	r.probesRequested = true
	for i := range r.members {
		m := &r.members[i]
		suspected := m.missedCompletions > suspectCompletions && now.Sub(m.lastProgress) > minSuspectTime && !now.Before(m.nextProbe)
		if m.State == InService && !m.probing && (m.ejected && !now.Before(m.ejectedUntil) || !m.ejected && suspected) {
			m.probing = true
			out = append(out, m.ID)
		}
	}
	return out
}

// Probed records whether an instance answered a probe. After a successful probe, an ejected instance gets single requests
// again.
func (r *Router) Probed(now time.Time, instance string, answered bool) {
	i, ok := r.index[instance]
	if !ok || !r.members[i].probing {
		return
	}
	m := &r.members[i]
	m.probing = false
	m.nextProbe = now.Add(r.EjectFor)
	switch {
	case m.ejected && answered:
		r.restore(m)
		r.updateLists(i)
	case m.ejected:
		// A probe does not delay any caller, so failed ones do not lengthen the ejection.
		m.ejectedUntil = now.Add(r.EjectFor)
	case !answered:
		r.eject(now, i, Unreachable)
	}
}

// Tick ejects members that have requests in flight and complete none.
func (r *Router) Tick(now time.Time) {
	interval := now.Sub(r.lastTick).Seconds()
	if r.lastTick.IsZero() {
		interval = 0
	}
	r.lastTick = now
	for i := range r.members {
		m := &r.members[i]
		switch {
		case m.State != InService:
		case m.ejected:
			if !r.probesRequested && !now.Before(m.ejectedUntil) {
				r.restore(m)
				r.updateLists(i)
			}
		case m.inFlight > 0:
			m.missedCompletions += m.expectedRate * interval
			if m.missedCompletions > stallCompletions && now.Sub(m.lastProgress) > minStallTime {
				r.eject(now, i, Stalled)
			}
		}
	}
}

// limitEjections restores the members whose ejection ends first until at most half of those in service are ejected.
func (r *Router) limitEjections() {
	for 2*len(r.ejected.items) > r.serving {
		first := r.ejected.items[0]
		for _, i := range r.ejected.items {
			if r.members[i].ejectedUntil.Before(r.members[first].ejectedUntil) {
				first = i
			}
		}
		r.restore(&r.members[first])
		r.updateLists(int(first))
	}
}
