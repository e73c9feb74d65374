package admission

import "time"

// none marks an unset index; removedMember marks a request whose instance was removed from the pool.
const (
	none          int32 = -1
	removedMember int32 = -2
)

type state uint8

const (
	unused state = iota
	queued
	running
)

// request is an element of the arena; prev and next link it into its service's queue or the free list.
type request struct {
	id         uint64
	generation uint32
	service    int32
	member     int32
	prev, next int32
	state      state
	// lost is set if the request's instance became unusable while it ran. It stays set when the instance returns, since
	// requests at an unresponsive instance end only at their deadlines.
	lost     bool
	arrived  time.Duration
	deadline time.Duration
}

// queue is a doubly linked list within the arena, so that cancelling takes constant time.
type queue struct {
	head, tail int32
	length     int
}

func (q *queue) push(arena []request, i int32) {
	arena[i].prev, arena[i].next = q.tail, none
	if q.tail != none {
		arena[q.tail].next = i
	} else {
		q.head = i
	}
	q.tail = i
	q.length++
}

func (q *queue) remove(arena []request, i int32) {
	r := &arena[i]
	if r.prev != none {
		arena[r.prev].next = r.next
	} else {
		q.head = r.next
	}
	if r.next != none {
		arena[r.next].prev = r.prev
	} else {
		q.tail = r.prev
	}
	q.length--
}

// takeElement returns an unused element; the arena grows only when the number of requests reaches a new maximum.
func (p *Pool) takeElement() int32 {
	if p.free == none {
		p.requests = append(p.requests, request{generation: 1, next: none, member: none})
		return int32(len(p.requests) - 1)
	}
	i := p.free
	p.free = p.requests[i].next
	p.requests[i].member, p.requests[i].lost = none, false
	return i
}

// releaseElement makes an element unused. The generation changes, so that earlier Refs to the element become invalid.
func (p *Pool) releaseElement(i int32) {
	r := &p.requests[i]
	r.state, r.generation, r.next = unused, r.generation+1, p.free
	p.free = i
}

func (p *Pool) ref(i int32) Ref { return Ref(uint64(p.requests[i].generation)<<32 | uint64(uint32(i))) }

func (p *Pool) find(ref Ref) (int32, bool) {
	i := uint32(ref)
	if int(i) >= len(p.requests) || p.requests[i].generation != uint32(ref>>32) || p.requests[i].state == unused {
		return 0, false
	}
	return int32(i), true
}
