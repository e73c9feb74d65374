package admission

import (
	"math"
	"slices"
	"strings"
	"time"
)

const (
	// peerTimeout is how long a peer's last reported demand is used; after that, its part of the slots stays reserved.
	// Peers exchange heartbeats every 4 s if their demand is unchanged, so two exchanges have been missed by then.
	peerTimeout = 8 * time.Second
	// minDemandTime and maxDemandTime bound the time in seconds over which demand is averaged. Between them it is the
	// service time, since slots cannot be reassigned faster than requests end.
	minDemandTime = 0.5
	maxDemandTime = 3.0
	// minDemandChange is the change in slots below which demand is not sent again.
	minDemandChange = 0.05
)

// peer is a registered entry instance, including this one.
type peer struct {
	id         string
	demand     []float64
	lastReport time.Duration
	// reported is false until the peer's first heartbeat.
	reported bool
	// part is the peer's part of all slots in the last division.
	part  float64
	slots int
	// weight is the fractional number of slots before rounding.
	weight float64
}

type scratch struct {
	total []float64
	alloc []float64
}

// SetPeers replaces the ids of the other registered entry instances. The slots of one that is no longer registered
// become available to the others.
func (p *Pool) SetPeers(now time.Time, ids []string) {
	t := p.begin(now)
	peers := make([]peer, 0, len(ids)+1)
	for _, id := range append([]string{p.Self}, ids...) {
		k := slices.IndexFunc(p.peers, func(e peer) bool { return e.id == id })
		if k >= 0 {
			peers = append(peers, p.peers[k])
		} else if !slices.ContainsFunc(peers, func(e peer) bool { return e.id == id }) {
			peers = append(peers, peer{id: id, part: 1 / float64(len(ids)+1), demand: make([]float64, len(p.services))})
		}
	}
	slices.SortFunc(peers, func(a, b peer) int { return strings.Compare(a.id, b.id) })
	p.peers = slices.CompactFunc(peers, func(a, b peer) bool { return a.id == b.id })
	p.divideSlots(t)
}

// PeerDemand records the demand that a peer reported; services that are not mentioned have none. The division of slots
// changes at the next Tick.
func (p *Pool) PeerDemand(now time.Time, id string, demand []ServiceDemand) {
	t := p.begin(now)
	for i := range p.peers {
		if p.peers[i].id != id || i == p.self {
			continue
		}
		e := &p.peers[i]
		e.lastReport, e.reported = t, true
		clear(e.demand)
		for _, d := range demand {
			if k, ok := p.byName[d.Service]; ok {
				e.demand[k] = max(d.Slots, 0)
			}
		}
	}
}

// Demand appends this entry instance's own demand to out if it has changed by more than a tenth since it was last appended.
// The caller sends it to all peers immediately: the division of slots uses the sent demand instead of the current one, so
// that all entry instances compute with the same values.
func (p *Pool) Demand(out []ServiceDemand) []ServiceDemand {
	own := &p.peers[p.self]
	changed := false
	for i := range p.services {
		d := p.services[i].demand
		changed = changed || math.Abs(d-own.demand[i]) > max(0.1*own.demand[i], minDemandChange)
	}
	if !changed {
		return out
	}
	for i := range p.services {
		own.demand[i] = p.services[i].demand
		out = append(out, ServiceDemand{Service: p.services[i].Name, Slots: own.demand[i]})
	}
	return out
}

// PeerHeartbeat records a heartbeat that reports no demand for this pool: the peer's last demand remains valid.
func (p *Pool) PeerHeartbeat(now time.Time, id string) {
	t := p.begin(now)
	for i := range p.peers {
		if p.peers[i].id == id && p.peers[i].reported {
			p.peers[i].lastReport = t
		}
	}
}

// remapDemand moves the peers' demand to the services' new indices.
func (p *Pool) remapDemand(previous []service, newIndex []int32) {
	for i := range p.peers {
		demand := make([]float64, len(p.services))
		for k := range previous {
			if newIndex[k] != none && k < len(p.peers[i].demand) {
				demand[newIndex[k]] = p.peers[i].demand[k]
			}
		}
		p.peers[i].demand = demand
	}
	p.scratch.total = make([]float64, len(p.services))
	p.scratch.alloc = make([]float64, len(p.services))
}

// sample updates the demand and the usable slots of each service at the end of an interval of dt seconds.
func (p *Pool) sample(dt float64, t time.Duration) {
	if dt <= 0 {
		return
	}
	for i := range p.services {
		s := &p.services[i]
		s.updateDemand(dt)
		usable := float64(s.inFlight)
		if s.queue.length == 0 {
			usable += float64(max(p.limit-p.inFlight, 0))
		}
		s.usableSlots += 0.3 * (usable - s.usableSlots)
		s.accrue(t)
	}
}

// updateDemand ends an interval of dt seconds and updates the averaged demand. A second average over a shorter time
// bounds it, so that it does not stay high for several seconds after an overload.
func (s *service) updateDemand(dt float64) {
	span := min(max(s.serviceTime(), minDemandTime), maxDemandTime)
	load := s.offeredLoad / dt
	s.offeredLoad = 0
	s.recentDemand += dt / (dt + span/3) * (load - s.recentDemand)
	s.demand += dt / (dt + span) * (load - s.demand)
	s.demand = min(s.demand, 1.5*s.recentDemand+minDemandChange)
}

// divideSlots computes each entry instance's slots. All entry instances do so by the same rule, so the sum does not exceed
// the pool's slots once they have received the same demand; the exception is a pool with fewer slots than entry
// instances, since each gets at least one.
func (p *Pool) divideSlots(t time.Duration) {
	for i := range p.peers {
		if p.peers[i].id == p.Self {
			p.self = i
		}
	}
	own := &p.peers[p.self]
	own.lastReport, own.reported = t, true
	if len(p.peers) == 1 {
		for i := range p.services {
			own.demand[i] = p.services[i].demand
		}
	}
	total := p.totalSlots()
	p.computeWeights(t, float64(total))
	p.roundSlots(total)
	p.assignSlots()
	p.computeGuarantees(float64(total))
}

// stale reports whether a peer's part stays reserved because its demand is not known.
func (e *peer) stale(t time.Duration) bool { return !e.reported || t-e.lastReport > peerTimeout }

// computeWeights computes fractional slots: reserved ones first, then the pool's allocation to services, divided in
// proportion to each service's demand at each entry instance. Slots beyond all demand are divided half equally and half
// in proportion to demand, since an entry instance with few requests needs relatively more spare slots for bursts.
func (p *Pool) computeWeights(t time.Duration, total float64) {
	available, active := total, 0
	clear(p.scratch.total)
	for i := range p.peers {
		e := &p.peers[i]
		e.weight = 0
		if e.stale(t) {
			e.weight = e.part * total
			available -= e.weight
			continue
		}
		active++
		for k, d := range e.demand {
			p.scratch.total[k] += d
		}
	}
	slack := p.allocate(max(available, 0))
	sum := 0.0
	for _, d := range p.scratch.total {
		sum += d
	}
	for i := range p.peers {
		e := &p.peers[i]
		if e.stale(t) {
			continue
		}
		peerDemand := 0.0
		for k, d := range e.demand {
			peerDemand += d
			if d > 0 {
				e.weight += p.scratch.alloc[k] * d / p.scratch.total[k]
			}
		}
		part := 1 / float64(active)
		if sum > 0 {
			part = (part + peerDemand/sum) / 2
		}
		e.weight += slack * part
		if i == p.self {
			p.demandPart = part
			if sum > 0 {
				p.demandPart = peerDemand / sum
			}
		}
	}
}

// allocate divides slots among the services by their total demand: guaranteed shares first, then by class. It returns
// the slots that exceed all demand.
func (p *Pool) allocate(available float64) float64 {
	remaining := available
	for k := range p.services {
		share := float64(max(p.services[k].Share, 1)) / 100 * available
		p.scratch.alloc[k] = min(p.scratch.total[k], share, remaining)
		remaining -= p.scratch.alloc[k]
	}
	for class := Urgent; class <= Deferrable; class++ {
		unmet := 0.0
		for k := range p.services {
			if p.services[k].Class == class {
				unmet += p.scratch.total[k] - p.scratch.alloc[k]
			}
		}
		if unmet <= 0 {
			continue
		}
		granted := min(unmet, remaining)
		for k := range p.services {
			if p.services[k].Class == class {
				p.scratch.alloc[k] += granted * (p.scratch.total[k] - p.scratch.alloc[k]) / unmet
			}
		}
		remaining -= granted
	}
	return remaining
}

// roundSlots rounds the weights to whole slots by largest remainder, with at least one slot for each peer.
func (p *Pool) roundSlots(total int) {
	remaining := total
	for i := range p.peers {
		e := &p.peers[i]
		e.slots = max(int(e.weight), 1)
		remaining -= e.slots
	}
	for remaining != 0 {
		k := -1
		for i := range p.peers {
			e := &p.peers[i]
			if remaining < 0 && e.slots <= 1 {
				continue
			}
			if k < 0 || remaining > 0 == (e.remainder() > p.peers[k].remainder()) && e.remainder() != p.peers[k].remainder() {
				k = i
			}
		}
		if k < 0 {
			break
		}
		if remaining > 0 {
			p.peers[k].slots++
			remaining--
		} else {
			p.peers[k].slots--
			remaining++
		}
	}
	for i := range p.peers {
		if e := &p.peers[i]; total > 0 && e.reported {
			e.part = float64(e.slots) / float64(total)
		}
	}
}

func (e *peer) remainder() float64 { return e.weight - float64(e.slots) }

// computeGuarantees computes this entry instance's part of each service's guaranteed slots. While instances are ejected or
// their limits are lowered, guarantees shrink in proportion; otherwise they could exceed the usable slots, and the less
// urgent services would get nothing.
func (p *Pool) computeGuarantees(total float64) {
	usable := min(p.allowed/float64(max(p.peers[p.self].slots, 1)), 1)
	for k := range p.services {
		s := &p.services[k]
		part := float64(p.peers[p.self].slots) / max(total, 1)
		if p.scratch.total[k] > 0 {
			part = p.peers[p.self].demand[k] / p.scratch.total[k]
		}
		s.entitled = min(float64(max(s.Share, 1))/100*total*part, float64(p.peers[p.self].slots))
		s.guaranteed = usable * s.entitled
	}
}
