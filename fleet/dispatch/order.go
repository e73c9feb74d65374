package dispatch

import (
	"math"
	"slices"
	"time"

	"verbenalanding.example/fleet/workload"
)

// order is the order in which the candidates of a plan are placed.
type order interface{ order() }

// byUrgency is the order of a pool whose jobs belong to no workspaces: that of urgencyClass.
type byUrgency struct{}

// byWorkspace is the order where workspaces share the pool: that of workspaceClass, then that of sortByShare.
type byWorkspace struct{}

func (byUrgency) order()   {}
func (byWorkspace) order() {}

func (p *Pool) order() order {
	if len(p.workspaces) == 0 {
		return byUrgency{}
	}
	return byWorkspace{}
}

// sortCandidates returns the candidates of a plan in the pool's order; the list is valid until the next call.
func (p *Pool) sortCandidates(list []candidate) []*candidate {
	var keys []radixKey
	switch p.order().(type) {
	case byUrgency:
		keys = p.sortByDensity(list, (*candidate).urgencyClass)
	case byWorkspace:
		keys = p.sortByShare(list, p.sortByDensity(list, (*candidate).workspaceClass))
	}
	sorted := p.sortedBuffer[:0]
	for _, k := range keys {
		sorted = append(sorted, &list[k.index])
	}
	clear(sorted[len(sorted):cap(sorted)])
	p.sortedBuffer = sorted
	return sorted
}

// The class of a key holds, from its lowest bits, the place by the order of the pool, that of the priority, and whether the tasks are finite.
const (
	orderBits    = 17
	priorityBits = 32
)

// sortByDensity returns the keys of the candidates with long-running tasks first, then by priority, by the order of the pool, by worth per core-second and
// by the time at which their jobs were accepted; equal ones are in the order of the list.
func (p *Pool) sortByDensity(list []candidate, order func(*candidate) uint64) []radixKey {
	priorities := p.priorityBuffer[:0]
	for i := range list {
		priority := list[i].job.queue.Priority
		if at, found := slices.BinarySearch(priorities, priority); !found {
			priorities = slices.Insert(priorities, at, priority)
		}
	}
	p.priorityBuffer = priorities
	keys := p.keyBuffer[:0]
	for i := range list {
		c := &list[i]
		at, _ := slices.BinarySearch(priorities, c.job.queue.Priority)
		class := (bit(!c.longRunning)<<priorityBits|uint64(at))<<orderBits | order(c)
		keys = append(keys, radixKey{class: class, value: ^ascending(c.density), index: int32(i)})
	}
	p.otherKeyBuffer = slices.Grow(p.otherKeyBuffer[:0], len(keys))[:len(keys)]
	p.keyBuffer, p.otherKeyBuffer = radixSort(keys, p.otherKeyBuffer, func(a, b radixKey) int {
		return list[a.index].job.Accepted.Compare(list[b.index].job.Accepted)
	})
	return p.keyBuffer
}

// use says whether an occurrence can still be of use to its caller.
type use int

const (
	// useInTime means that it can still meet its target time.
	useInTime use = iota
	// useLate means that it is late and still of some use.
	useLate
	// useNone means that its result comes too late for its caller.
	useNone
)

// lateFactor is the number of objectives after which a late job is of no use any more.
const lateFactor = 3

// useOf returns what an occurrence is still worth to its caller if its objective begins at from and ends at target, and it is likely to be done at end.
func useOf(from, target, end time.Time) use {
	switch {
	case !end.After(target):
		return useInTime
	case !end.After(from.Add(workload.Scale(target.Sub(from), lateFactor))):
		return useLate
	}
	return useNone
}

// urgencyClass puts occurrences that can still meet their target time before the rest, and those that were begun before others.
func (c *candidate) urgencyClass() uint64 { return bit(c.use != useInTime)<<1 | bit(!c.begun) }

const (
	// worthBits hold a power of two from leastWorth, which stands for that of 0, to greatestWorth, which stands for those of numbers that are not finite.
	worthBits     = 12
	leastWorth    = -1075
	greatestWorth = 1024
)

// workspaceClass puts what is of no use any more last; then what its workspace is owed before what lies beyond, and what can still be in time before what
// is late; then what was begun, and the more worth per core-second, in powers of two: among jobs of similar worth those of the workspaces with the least of
// the pool for their weight go first, and within one of them again by worth. Work beyond goes before owed work of no use, which nobody needs.
func (c *candidate) workspaceClass() uint64 {
	order := bit(c.use == useNone)<<4 | bit(c.job.beyond)<<3 | uint64(c.use)<<1 | bit(!c.begun)
	worth := min(max(math.Ilogb(c.density), leastWorth), greatestWorth)
	return order<<worthBits | uint64(greatestWorth-worth)
}

func bit(set bool) uint64 {
	if set {
		return 1
	}
	return 0
}

func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// sortByShare sorts candidates of the same class by the dominant share of the pool that the candidate's workspace has before the candidate is placed, over
// its weight; those with equal shares keep their order. Each candidate of a workspace counts as placed for the next one, as far as they go before one
// another for other reasons than their shares.
func (p *Pool) sortByShare(list []candidate, keys []radixKey) []radixKey {
	for i := range list {
		a := list[i].job.account
		a.planned, a.sharedWeight = a.reservedUse, p.weightOf(a.name)
	}
	capacity := p.capacity()
	for i := range keys {
		c := &list[keys[i].index]
		a := c.job.account
		keys[i].value = ascending(dominantShare(a.planned, capacity) / a.sharedWeight)
		a.planned = a.planned.Plus(c.waitingNeed())
	}
	p.keyBuffer, p.otherKeyBuffer = radixSort(keys, p.otherKeyBuffer, func(radixKey, radixKey) int { return 0 })
	return p.keyBuffer
}

// waitingNeed returns what the waiting tasks of the candidate's steps that are ready occupy.
func (c *candidate) waitingNeed() workload.Resources {
	var sum workload.Resources
	for s := range c.occurrence.steps {
		if st := &c.occurrence.steps[s]; st.ready {
			sum = sum.Plus(times(st.reserved, int64(st.withoutRun)))
		}
	}
	return sum
}
