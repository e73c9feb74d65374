package admission

import (
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// evaluationWindow is the shortest time over which a member's latencies are evaluated.
	evaluationWindow = 500 * time.Millisecond
	// slowdown is the multiple of the service's unloaded latency at which a member's limit falls.
	slowdown = 2.0
	// decrease and increase are the steps of the limit, as parts of the declared slots.
	decrease = 0.75
	increase = 0.125
	// baselineTime is the time constant in seconds with which the baseline follows a lasting rise of the latency.
	baselineTime = 60.0
	// minAttempts is the minimum number of attempts in an evaluation.
	minAttempts = 24
	// slowMeanWeight averages over about 400 attempts, so that the standard deviation of the average is a tenth of the mean
	// even if the standard deviation of single service times is twice the mean.
	slowMeanWeight  = 0.005
	slowMeanSamples = 200
	maxRatio        = 10.0
	// limitExtension raises the limit, so that a request already waits at a backend server when a slot there is freed. Entry
	// instances do not see each other's requests; with exact limits, 4% of the slots were idle under overload while as many
	// requests waited at other instances.
	limitExtension = 1.04
	// maxTransit bounds the extension of the limit by requests in transit.
	maxTransit = 1.25
	// longWorkPart is the ratio of the longest mean service time of other classes to the mean time to the deadline of urgent
	// requests above which slots are kept free for urgent requests.
	longWorkPart = 0.2
)

// member is an instance with its place in the division of slots and its adaptive limit.
type member struct {
	Member
	// factor is the part of the declared slots that the backend server currently handles.
	factor   float64
	ownSlots int
	// windowStart is the beginning of the evaluated interval, changedAt the time of the last change of the factor.
	windowStart time.Duration
	changedAt   time.Duration
	attempts    int
	rejected    int
	ratioSum    float64
}

// replaceMembers replaces the members and sorts them by id, so that all entry instances have the same order.
func (p *Pool) replaceMembers(members []Member) {
	previous, previousIndex := p.members, p.byMember
	p.members = make([]member, 0, len(members))
	p.byMember = make(map[string]int, len(members))
	for _, n := range members {
		m := member{factor: 1, windowStart: p.lastEvent}
		if k, ok := previousIndex[n.ID]; ok && previous[k].InService == n.InService {
			m = previous[k]
		}
		m.Member = n
		p.members = append(p.members, m)
	}
	slices.SortFunc(p.members, func(a, b member) int { return strings.Compare(a.ID, b.ID) })
	for i := range p.members {
		p.byMember[p.members[i].ID] = i
	}
	p.remapRunning(previous)
}

// remapRunning gives the dispatched requests their members' new indices and stops counting those at members that are
// ejected, draining or removed, since these members' slots are not part of the limit either.
func (p *Pool) remapRunning(previous []member) {
	for i := range p.requests {
		r := &p.requests[i]
		if r.state != running || r.member < 0 {
			continue
		}
		k, ok := p.byMember[previous[r.member].ID]
		if !ok {
			r.member = removedMember
			p.markLost(int32(i))
			continue
		}
		r.member = int32(k)
		if !p.members[k].usable() {
			p.markLost(int32(i))
		}
	}
}

func (p *Pool) totalSlots() int {
	total := 0
	for i := range p.members {
		if p.members[i].InService {
			total += p.members[i].Slots
		}
	}
	return total
}

// assignSlots numbers all slots round-robin over the members and takes this entry instance's range, which follows the ranges
// of the preceding entry instances. Neighbouring slots are on different members, and entry instances that have received
// the same demand never use the same slot.
func (p *Pool) assignSlots() {
	first := 0
	for i := range p.peers[:p.self] {
		first += p.peers[i].slots
	}
	end := first + p.peers[p.self].slots
	slot, moreSlots := 0, true
	for i := range p.members {
		p.members[i].ownSlots = 0
	}
	for row := 0; moreSlots && slot < end; row++ {
		moreSlots = false
		for i := range p.members {
			m := &p.members[i]
			if !m.InService || m.Slots <= row {
				continue
			}
			moreSlots = true
			if slot >= first && slot < end {
				m.ownSlots++
			}
			slot++
		}
	}
	p.computeLimit()
}

func (m *member) usable() bool { return m.InService && !m.Ejected }

// computeLimit computes the limit from the slots that the members handle. Requests in transit occupy a slot here but none at
// the backend server, so the limit is raised by their part. Rounding errors are carried over to the next tick, which
// matters for entry instances with few slots.
func (p *Pool) computeLimit() {
	sum, usable, roundTrip := 0.0, false, 0.0
	for i := range p.members {
		m := &p.members[i]
		if m.usable() {
			usable = true
			sum += float64(m.ownSlots) * m.factor
			roundTrip = max(roundTrip, m.RoundTrip.Seconds())
		}
	}
	p.allowed = sum * p.transit(roundTrip) * limitExtension
	p.limit = int(p.allowed + p.roundingCarry + 0.5)
	if usable {
		p.limit = max(p.limit, 1)
	}
	p.setReserve()
}

// transit returns the ratio of a request's total time to its time at the backend server.
func (p *Pool) transit(roundTrip float64) float64 {
	load, requests := 0.0, 0.0
	for i := range p.services {
		s := &p.services[i]
		if s.meanTime > 0 {
			load += s.demand
			requests += s.demand / s.meanTime
		}
	}
	if requests == 0 || load == 0 {
		return 1
	}
	return min(1/max(1-roundTrip*requests/load, 0.1), maxTransit)
}

// setReserve reserves slots for urgent requests if waiting for a slot that another class holds would take a noticeable
// part of an urgent request's time to its deadline. Guaranteed shares are not affected.
func (p *Pool) setReserve() {
	p.urgentReserve = 0
	shortestTimeLeft, longestTime, load := 0.0, 0.0, 0.0
	for i := range p.services {
		s := &p.services[i]
		switch {
		case s.Class != Urgent:
			longestTime = max(longestTime, s.meanTime)
		case s.demand > 0.01:
			load += s.demand
			if shortestTimeLeft == 0 || s.meanTimeLeft < shortestTimeLeft {
				shortestTimeLeft = s.meanTimeLeft
			}
		}
	}
	if longestTime > shortestTimeLeft*longWorkPart {
		p.urgentReserve = min(int(load+urgentDeviations*math.Sqrt(load)+0.999), p.limit-1)
	}
}

// Quota returns how many requests this entry instance should have in flight at an instance at most; it changes only
// in Configure, SetMembers, SetPeers and Tick.
func (p *Pool) Quota(instance string) int {
	k, ok := p.byMember[instance]
	if !ok || !p.members[k].InService || p.members[k].Ejected {
		return 0
	}
	m := &p.members[k]
	return int(float64(m.ownSlots)*m.factor + 0.999)
}

// Completed records how an attempt ended; it does not free the slot.
func (p *Pool) Completed(now time.Time, c Completion) {
	p.begin(now)
	i, ok := p.find(c.Ref)
	if !ok || c.Result == Abandoned || p.requests[i].service == none {
		return
	}
	s := &p.services[p.requests[i].service]
	took := c.Took.Seconds()
	k, ok := p.byMember[c.Instance]
	if c.Result == TimedOut && ok && p.members[k].usable() {
		// Time-outs at unresponsive instances do not reflect the service time; until such an instance is ejected, they
		// must not dominate the mean.
		s.learn(min(took, 3*s.serviceTime()))
	}
	if c.Result == Succeeded {
		s.learn(took)
	}
	if !ok {
		return
	}
	m := &p.members[k]
	m.attempts++
	switch c.Result {
	case Rejected, TimedOut:
		m.rejected++
	case Succeeded:
		m.ratioSum += min(took/s.baselineLatency(took), maxRatio)
	default:
		m.ratioSum++
	}
}

// baselineLatency returns the service's latency on unloaded members: the minimum of a slow average. A fast average has
// minima far below the mean if service times vary much, and every member would look slow.
func (s *service) baselineLatency(took float64) float64 {
	s.slowMean += max(slowMeanWeight, 1/float64(s.samples)) * (took - s.slowMean)
	if s.samples < slowMeanSamples || s.slowMean < s.baseline {
		s.baseline = s.slowMean
	}
	return max(s.baseline, 1e-6)
}

// adaptLimits lowers the limits of members that slow down, reject or time out, and raises the others step by step.
// Lowering needs many attempts, since service times vary. Raising needs only that the attempts since the last evaluation
// are good, so that limits recover quickly after an overload, when there are few requests.
func (p *Pool) adaptLimits(t time.Duration) {
	for i := range p.services {
		s := &p.services[i]
		s.baseline += (s.slowMean - s.baseline) * min(TickInterval.Seconds()/baselineTime, 1)
	}
	for i := range p.members {
		m := &p.members[i]
		n := float64(max(m.attempts, 1))
		degraded := m.ratioSum/n > slowdown || float64(m.rejected)/n > 0.1
		if !degraded && m.factor < 1 && t-m.changedAt >= evaluationWindow {
			m.factor, m.changedAt = min(m.factor+increase, 1), t
		}
		if t-m.windowStart < evaluationWindow || m.attempts < minAttempts && t-m.windowStart < 4*evaluationWindow {
			continue
		}
		if degraded && m.attempts >= minAttempts {
			m.factor, m.changedAt = max(m.factor*decrease, 1/float64(max(m.Slots, 1))), t
		}
		m.windowStart, m.attempts, m.rejected, m.ratioSum = t, 0, 0, 0
	}
}
