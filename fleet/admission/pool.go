package admission

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// Pool decides admission for one pool at one entry instance; exported fields are set before the first call.
type Pool struct {
	// Self is the id of this entry instance.
	Self string
	// MaxWait bounds the estimated wait in a queue, so that the queue drains soon after an overload; 0 selects 1 s. For
	// services with long requests it is raised to the service time, at most by a fifth, since a short queue of long
	// requests would run empty at times.
	MaxWait time.Duration
	// WaitPart is the part of the time to the deadline that may be spent in the queue; 0 selects 0.5.
	WaitPart float64

	start      time.Time
	lastEvent  time.Duration
	lastTick   time.Duration
	services   []service
	byName     map[string]int
	teams      map[uint64]float64
	buckets    bucketTable
	members    []member
	byMember   map[string]int
	peers      []peer
	self       int
	demandPart float64
	requests   []request
	free       int32
	actions    []Action
	inFlight   int
	// lost is the number of slots in use at instances that became unusable; they do not count against the limit.
	lost  int
	limit int
	// allowed is the limit before rounding; roundingCarry is the rounding error of earlier ticks.
	allowed       float64
	roundingCarry float64
	urgentReserve int
	scratch       scratch
}

// Default fills unset fields.
func (p *Pool) Default() *Pool {
	if p.MaxWait == 0 {
		p.MaxWait = time.Second
	}
	if p.WaitPart == 0 {
		p.WaitPart = 0.5
	}
	if p.byName == nil {
		p.byName = map[string]int{}
		p.byMember = map[string]int{}
		p.free = none
		p.buckets.reset()
		p.peers = []peer{{id: p.Self}}
	}
	return p
}

// elapsed converts the time of an event to the time since the first event; it never goes backwards.
func (p *Pool) elapsed(now time.Time) time.Duration {
	if p.start.IsZero() {
		p.start = now
	}
	p.lastEvent = max(p.lastEvent, now.Sub(p.start))
	return p.lastEvent
}

// Configure replaces the configuration. Queued requests of removed services are refused; dispatched ones keep their slots.
// Services that remain keep their measured values.
func (p *Pool) Configure(now time.Time, c Config) []Action {
	t := p.begin(now)
	previous, previousIndex := p.services, p.byName
	p.services = make([]service, len(c.Services))
	p.byName = make(map[string]int, len(c.Services))
	newIndex := make([]int32, len(previous))
	for i := range newIndex {
		newIndex[i] = none
	}
	for i, n := range c.Services {
		s := service{queue: queue{head: none, tail: none}}
		if k, ok := previousIndex[n.Name]; ok {
			s, newIndex[k] = previous[k], int32(i)
		}
		s.Service = n
		if s.Queue == 0 {
			s.Queue = DefaultQueue
		}
		s.hash = xxhash.Sum64String(n.Name)
		p.services[i] = s
		p.byName[n.Name] = i
	}
	for i := range p.requests {
		p.remapRequest(int32(i), previous, newIndex)
	}
	p.teams = make(map[uint64]float64, len(c.Teams))
	for _, team := range c.Teams {
		p.teams[team.Key] = team.Rate
	}
	p.remapDemand(previous, newIndex)
	p.divideSlots(t)
	p.trim()
	p.dispatch(t)
	return p.actions
}

// remapRequest gives a request its service's new index, or refuses it if the service was removed while it was queued.
func (p *Pool) remapRequest(i int32, previous []service, newIndex []int32) {
	r := &p.requests[i]
	if r.state == unused || r.service == none {
		return
	}
	oldIndex := r.service
	r.service = newIndex[oldIndex]
	if r.service != none || r.state == running {
		return
	}
	previous[oldIndex].queue.remove(p.requests, i)
	p.addAction(Refuse, i, UnknownService, 0)
	p.releaseElement(i)
}

// trim refuses the newest requests of queues that are longer than a new bound.
func (p *Pool) trim() {
	for i := range p.services {
		s := &p.services[i]
		for s.queue.length > s.Queue {
			k := s.queue.tail
			s.queue.remove(p.requests, k)
			p.addAction(Refuse, k, QueueFull, 0)
			p.releaseElement(k)
		}
	}
}

// SetMembers replaces the pool's members. Queued requests are refused if no instance is left.
func (p *Pool) SetMembers(now time.Time, members []Member) []Action {
	t := p.begin(now)
	p.replaceMembers(members)
	p.divideSlots(t)
	if p.limit == 0 {
		p.refuseAll(NoInstances)
	}
	p.dispatch(t)
	return p.actions
}

func (p *Pool) refuseAll(reason Reason) {
	for i := range p.services {
		s := &p.services[i]
		for s.queue.length > 0 {
			k := s.queue.head
			s.queue.remove(p.requests, k)
			p.addAction(Refuse, k, reason, 0)
			p.releaseElement(k)
		}
	}
}

// Arrive decides about a new request. The Ref is 0 if the request was refused immediately.
func (p *Pool) Arrive(now time.Time, a Arrival) (Ref, []Action) {
	t := p.begin(now)
	k, ok := p.byName[a.Service]
	if !ok {
		return p.refuse(a, UnknownService, 0)
	}
	s := &p.services[k]
	remaining := a.Deadline.Sub(now)
	if remaining <= 0 {
		return p.refuse(a, DeadlineUnreachable, 0)
	}
	if reason := p.rateLimited(t, s, a); reason != NoReason {
		return p.refuse(a, reason, time.Second)
	}
	if p.limit == 0 {
		return p.refuse(a, NoInstances, time.Second)
	}
	s.offeredLoad += s.serviceTime()
	if reason, after := p.checkReachable(s, remaining); reason != NoReason {
		return p.refuse(a, reason, after)
	}
	if s.queue.length >= s.Queue {
		return p.refuse(a, QueueFull, time.Second)
	}
	i := p.takeElement()
	r := &p.requests[i]
	r.id, r.service, r.state = a.ID, int32(k), queued
	r.arrived, r.deadline = t, t+remaining
	s.queue.push(p.requests, i)
	ref := p.ref(i)
	p.dispatch(t)
	return ref, p.actions
}

// refuse answers an arrival that gets no Ref.
func (p *Pool) refuse(a Arrival, reason Reason, after time.Duration) (Ref, []Action) {
	p.actions = append(p.actions, Action{Kind: Refuse, ID: a.ID, Reason: reason, RetryAfter: after})
	return 0, p.actions
}

// Cancel records that the caller disconnected.
func (p *Pool) Cancel(now time.Time, ref Ref) []Action {
	t := p.begin(now)
	if i, ok := p.find(ref); ok && p.requests[i].state == queued {
		p.services[p.requests[i].service].queue.remove(p.requests, i)
		p.releaseElement(i)
		p.dispatch(t)
	}
	return p.actions
}

// SlotFreed ends a dispatched request and dispatches waiting ones. A Ref that holds no slot is ignored.
func (p *Pool) SlotFreed(now time.Time, ref Ref) []Action {
	t := p.begin(now)
	i, ok := p.find(ref)
	if !ok || p.requests[i].state != running {
		return p.actions
	}
	if k := p.requests[i].service; k != none {
		p.services[k].inFlight--
	}
	p.inFlight--
	p.detach(i)
	p.releaseElement(i)
	p.dispatch(t)
	return p.actions
}

// Started records the instance that a dispatched request is sent to; a retry calls it again.
func (p *Pool) Started(now time.Time, ref Ref, instance string) {
	p.begin(now)
	i, ok := p.find(ref)
	if !ok || p.requests[i].state != running {
		return
	}
	p.detach(i)
	k, ok := p.byMember[instance]
	if !ok {
		return
	}
	p.requests[i].member = int32(k)
	if !p.members[k].usable() {
		p.markLost(i)
	}
}

func (p *Pool) markLost(i int32) {
	if !p.requests[i].lost {
		p.requests[i].lost = true
		p.lost++
	}
}

// detach removes a request from the instance that it was sent to.
func (p *Pool) detach(i int32) {
	k := p.requests[i].member
	if k == none {
		return
	}
	p.requests[i].member = none
	if p.requests[i].lost {
		p.requests[i].lost = false
		p.lost--
	}
}

// Tick expires requests, adapts limits and recomputes shares.
func (p *Pool) Tick(now time.Time) []Action {
	t := p.begin(now)
	p.sample((t - p.lastTick).Seconds(), t)
	p.lastTick = t
	p.adaptLimits(t)
	p.divideSlots(t)
	p.roundingCarry = min(max(p.allowed+p.roundingCarry-float64(p.limit), -1), 1)
	for i := range p.services {
		p.expire(&p.services[i], t)
	}
	p.dispatch(t)
	return p.actions
}

// begin starts the processing of an event and discards the actions of the previous event.
func (p *Pool) begin(now time.Time) time.Duration {
	p.actions = p.actions[:0]
	return p.elapsed(now)
}

func (p *Pool) addAction(kind Kind, i int32, reason Reason, after time.Duration) {
	p.actions = append(p.actions, Action{Kind: kind, Ref: p.ref(i), ID: p.requests[i].id, Reason: reason, RetryAfter: after})
}

// Limit returns the number of slots that this entry instance may use now.
func (p *Pool) Limit() int { return p.limit }

// InFlight returns the number of slots in use; it exceeds Limit for a while after the limit fell.
func (p *Pool) InFlight() int { return p.inFlight }

// Queued returns the number of waiting requests of a service.
func (p *Pool) Queued(name string) int {
	if k, ok := p.byName[name]; ok {
		return p.services[k].queue.length
	}
	return 0
}

// ServiceTime returns the learned mean service time of a service; 0 if none is known.
func (p *Pool) ServiceTime(name string) time.Duration {
	if k, ok := p.byName[name]; ok {
		return seconds(p.services[k].meanTime)
	}
	return 0
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
