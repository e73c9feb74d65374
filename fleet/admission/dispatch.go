package admission

import (
	"math"
	"time"
)

const (
	// minSamples is the number of completions before an estimate may refuse or expire a request.
	minSamples = 5
	meanWeight = 0.05
	// longWaitFactor extends the wait limit for services with long requests. A factor of 2 left 4 s of queued work at the end of
	// an overload; with a factor of 1, short queues ran empty.
	longWaitFactor = 1.2
	// riskyMedians is the time to the deadline, in median service times, below which a request is likely to miss it: one in
	// eight exponentially distributed service times exceeds three medians.
	riskyMedians = 3.0
	// urgentDeviations is the number of standard deviations above the mean urgent load for which slots are kept free.
	urgentDeviations = 2.0
	// defaultServiceTime is the service time in seconds that is assumed for a service without a declared or a learned one.
	defaultServiceTime = 0.05
	// idleCreditTime is the time in seconds over which an idle service accumulates credit for its guaranteed slots.
	idleCreditTime = 0.2
	// waitingCreditTime is the accumulation time in seconds for a service with waiting requests. It exceeds the time until
	// long requests of other services free a slot; otherwise a service with a small share of few slots would lose credit.
	waitingCreditTime = 3.0
)

// service is a declared service with its queue and its measured values. Times are in seconds; load and demand are in slots.
type service struct {
	Service
	hash     uint64
	queue    queue
	inFlight int

	// meanTime and median are the mean and the median service time.
	meanTime float64
	median   float64
	samples  int
	// slowMean is an average of the service time with a small weight; baseline is its minimum, which follows a lasting rise.
	slowMean float64
	baseline float64

	// offeredLoad is the load that arrived since the last tick, demand its average, and recentDemand its average over a
	// shorter time.
	offeredLoad  float64
	demand       float64
	recentDemand float64
	// entitled is this entry instance's part of the guaranteed slots; guaranteed is that part reduced in proportion to the
	// slots that are usable.
	entitled   float64
	guaranteed float64
	// credit is the unused guaranteed time in slot seconds up to creditedAt.
	credit      float64
	creditedAt  time.Duration
	usableSlots float64
	// meanTimeLeft is the average time to the deadline at arrival.
	meanTimeLeft float64
}

// serviceTime returns the learned service time, else the declared one, else defaultServiceTime.
func (s *service) serviceTime() float64 {
	switch {
	case s.meanTime > 0:
		return s.meanTime
	case s.Expected > 0:
		return s.Expected.Seconds()
	}
	return defaultServiceTime
}

// learn updates the mean and the median; steps of a fixed relative size estimate the median without storing samples.
func (s *service) learn(took float64) {
	s.samples++
	if s.samples == 1 {
		s.meanTime, s.median = took, took
		return
	}
	s.meanTime += max(meanWeight, 1/float64(s.samples)) * (took - s.meanTime)
	if took > s.median {
		s.median *= 1.03
	} else {
		s.median /= 1.03
	}
}

// estimatedWait returns the estimated time in seconds that a new request of the service waits.
func (p *Pool) estimatedWait(s *service) float64 {
	if s.queue.length == 0 {
		return 0
	}
	return float64(s.queue.length) * s.serviceTime() / max(min(max(s.usableSlots, s.guaranteed), float64(p.limit)), 0.1)
}

// checkReachable estimates whether a new request can finish before its deadline. A request of a service without requests in
// flight is always accepted, since the estimate may be outdated and would otherwise never be corrected.
func (p *Pool) checkReachable(s *service, remaining time.Duration) (Reason, time.Duration) {
	s.meanTimeLeft += meanWeight * (remaining.Seconds() - s.meanTimeLeft)
	if s.samples < minSamples || s.inFlight == 0 && s.queue.length == 0 {
		return NoReason, 0
	}
	slack := remaining.Seconds() - s.median
	wait := p.estimatedWait(s)
	switch {
	case slack < 0 || wait > slack:
		return DeadlineUnreachable, seconds(max(wait-slack, 0))
	case wait > min(p.maxWait(s), p.WaitPart*slack):
		return Overloaded, seconds(wait)
	}
	return NoReason, 0
}

// maxWait returns the bound of the estimated wait in seconds. A service that demands no more than its share does not
// cause the overload, and may wait as long as its deadlines permit.
func (p *Pool) maxWait(s *service) float64 {
	if s.demand <= s.entitled {
		return math.Inf(1)
	}
	limit := p.MaxWait.Seconds()
	return min(max(limit, s.serviceTime()), longWaitFactor*limit)
}

// dispatch fills free slots.
func (p *Pool) dispatch(t time.Duration) {
	for p.inFlight-p.lost < p.limit {
		k := p.nextService(t)
		if k < 0 {
			return
		}
		s := &p.services[k]
		i, ok := p.pop(s, t)
		if !ok {
			continue
		}
		s.credit = max(s.credit-s.serviceTime(), -s.serviceTime())
		s.inFlight++
		p.inFlight++
		p.requests[i].state = running
		p.addAction(Dispatch, i, NoReason, 0)
	}
}

// nextService returns the index of the service that gets the next free slot, or -1: services below their guaranteed share
// first, then the most urgent class, then the service that uses the least compared with its share.
func (p *Pool) nextService(t time.Duration) int {
	best, bestBelowShare, bestLoad := -1, false, 0.0
	for i := range p.services {
		s := &p.services[i]
		s.accrue(t)
		if s.queue.length == 0 {
			continue
		}
		belowShare := s.credit > 0
		if !belowShare && s.Class != Urgent && p.nonUrgentInFlight() >= p.limit-p.urgentReserve {
			continue
		}
		load := float64(s.inFlight) / float64(max(s.Share, 1))
		if best >= 0 && !before(belowShare, bestBelowShare, s.Class, p.services[best].Class, load, bestLoad) {
			continue
		}
		best, bestBelowShare, bestLoad = i, belowShare, load
	}
	return best
}

// nonUrgentInFlight returns the slots in use by classes other than the urgent one.
func (p *Pool) nonUrgentInFlight() int {
	n := p.inFlight - p.lost
	for i := range p.services {
		if p.services[i].Class == Urgent {
			n -= p.services[i].inFlight
		}
	}
	return n
}

// before reports whether a service precedes another one in the order of nextService.
func before(belowShare, otherBelowShare bool, class, otherClass Class, load, otherLoad float64) bool {
	switch {
	case belowShare != otherBelowShare:
		return belowShare
	case class != otherClass:
		return class < otherClass
	}
	return load < otherLoad
}

// accrue adds the service's guaranteed slots, times the time since the last call, to its credit. Credit lets a service get
// its share over time even if the share is less than one slot.
func (s *service) accrue(t time.Duration) {
	s.credit += s.guaranteed * (t - s.creditedAt).Seconds()
	span := idleCreditTime
	if s.queue.length > 0 {
		span = waitingCreditTime
	}
	s.credit = min(s.credit, max(s.guaranteed*span, s.serviceTime()))
	s.creditedAt = t
}

// pop removes the next request of a service that can still meet its deadline from the queue, and expires those that
// cannot. The next request is the oldest, or the newest if the oldest is about to miss its deadline: if a queue has become
// too long, for example because instances were lost, serving the oldest first would complete only requests that then miss
// their deadlines.
func (p *Pool) pop(s *service, t time.Duration) (int32, bool) {
	for s.queue.length > 0 {
		i := s.queue.head
		r := &p.requests[i]
		if p.late(s, r, t) {
			p.drop(s, i)
			continue
		}
		if (r.deadline - t).Seconds() < riskyMedians*s.median {
			i = s.queue.tail
			if p.late(s, &p.requests[i], t) {
				p.drop(s, i)
				continue
			}
		}
		s.queue.remove(p.requests, i)
		return i, true
	}
	return 0, false
}

// late reports whether a request can no longer be completed before its deadline.
func (p *Pool) late(s *service, r *request, t time.Duration) bool {
	if t >= r.deadline {
		return true
	}
	return s.samples >= minSamples && s.inFlight > 0 && t+seconds(s.median) > r.deadline
}

func (p *Pool) drop(s *service, i int32) {
	s.queue.remove(p.requests, i)
	p.addAction(Expire, i, DeadlinePassed, 0)
	p.releaseElement(i)
}

// expire drops the requests of a queue whose deadline has passed.
func (p *Pool) expire(s *service, t time.Duration) {
	for i := s.queue.head; i != none; {
		next := p.requests[i].next
		if t >= p.requests[i].deadline {
			p.drop(s, i)
		}
		i = next
	}
}
