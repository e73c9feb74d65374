package dispatch

import (
	"cmp"
	"slices"
	"time"

	"verbenalanding.example/fleet/workload"
)

// workerIndex holds the workers that take starts while a plan places tasks, so that the choice for a task does not look at each of them.
// Until the end of the plan their free capacity only decreases.
type workerIndex struct {
	// workers are those of the pool, sorted by id.
	workers []*worker
	classes map[workerClass]*classMembers
	// list holds the classes in the order in which they were found.
	list   []*classMembers
	byRack map[string][]*worker
	// buffer is the memory for the first class.
	buffer []indexed
	// misses holds needs for which no worker has enough free capacity.
	misses []workload.Resources
	// largest holds the largest capacity of a worker in each resource.
	largest workload.Resources
	// totalCPU is the CPU of the workers that take starts, less what long-running tasks reserve; unplacedCPU is the need of the tasks that the plan has not
	// placed.
	totalCPU, unplacedCPU int64
	// kept is true once a reservation has kept the task that is being placed from a worker.
	kept bool
}

// workerClass identifies workers whose scores for a finite task without data on a rack differ only by the free part of their CPU.
type workerClass struct {
	cpu     int64
	penalty float64
}

// classMembers holds the workers of a class, sorted by free CPU, then by id.
type classMembers struct{ sorted []indexed }

// indexed is a worker by its position in the sorted list. Without pointers in it a move within a class needs no work of the garbage collector.
type indexed struct {
	freeCPU  int64
	position int
}

func compareIndexed(a, b indexed) int {
	return cmp.Or(cmp.Compare(a.freeCPU, b.freeCPU), cmp.Compare(a.position, b.position))
}

// maxMisses bounds the needs that are remembered; each further one is searched for again.
const maxMisses = 32

func (p *Pool) newIndex(now time.Time) *workerIndex {
	x := &workerIndex{workers: p.sortedWorkers(), classes: map[workerClass]*classMembers{}, buffer: p.indexBuffer}
	var last workerClass
	var members *classMembers
	for i, w := range x.workers {
		w.position = i
		x.largest = workload.Resources{
			CPU: max(x.largest.CPU, w.Capacity.CPU), MemoryMB: max(x.largest.MemoryMB, w.Capacity.MemoryMB), GPU: max(x.largest.GPU, w.Capacity.GPU),
		}
		if !p.usable(w, now) {
			continue
		}
		x.totalCPU += w.Capacity.CPU - w.longRunningCPU
		if class := w.class(now); members == nil || class != last {
			last, members = class, x.membersOf(class)
		}
		members.sorted = append(members.sorted, indexed{w.free().CPU, i})
	}
	for _, members := range x.list {
		slices.SortFunc(members.sorted, compareIndexed)
	}
	return x
}

// release returns the memory of the first class, empty, for the next index.
func (x *workerIndex) release() []indexed {
	if len(x.list) == 0 {
		return x.buffer
	}
	return x.list[0].sorted[:0]
}

func (w *worker) class(now time.Time) workerClass { return workerClass{w.Capacity.CPU, w.penalty(now)} }

func (x *workerIndex) membersOf(class workerClass) *classMembers {
	members := x.classes[class]
	if members == nil {
		members = &classMembers{}
		if len(x.list) == 0 {
			// Most workers have no penalty and the same capacity.
			members.sorted = slices.Grow(x.buffer, len(x.workers))
		}
		x.classes[class] = members
		x.list = append(x.list, members)
	}
	return members
}

// onRack returns the workers on a rack.
func (x *workerIndex) onRack(rack string) []*worker {
	if x.byRack == nil {
		x.byRack = map[string][]*worker{}
		for _, w := range x.workers {
			x.byRack[w.Rack] = append(x.byRack[w.Rack], w)
		}
	}
	return x.byRack[rack]
}

// maxFreeCPU returns the largest free CPU of a worker that takes starts; -1 if no worker takes any.
func (x *workerIndex) maxFreeCPU() int64 {
	most := int64(-1)
	for _, members := range x.list {
		if n := len(members.sorted); n > 0 {
			most = max(most, members.sorted[n-1].freeCPU)
		}
	}
	return most
}

// started moves a worker to its place after a start has reserved a part of its capacity, or removes it if it takes no more starts.
func (x *workerIndex) started(p *Pool, w *worker, freeBefore int64, now time.Time) {
	members := x.membersOf(w.class(now))
	from, found := slices.BinarySearchFunc(members.sorted, indexed{freeBefore, w.position}, compareIndexed)
	if !found {
		return
	}
	if !p.usable(w, now) {
		members.sorted = slices.Delete(members.sorted, from, from+1)
		return
	}
	moved := indexed{w.free().CPU, w.position}
	to, _ := slices.BinarySearchFunc(members.sorted[:from], moved, compareIndexed)
	copy(members.sorted[to+1:from+1], members.sorted[to:from])
	members.sorted[to] = moved
}

// missed reports whether no worker has enough free capacity for a need, as was found before.
func (x *workerIndex) missed(need workload.Resources) bool {
	return slices.ContainsFunc(x.misses, need.Fits)
}

func (x *workerIndex) addMiss(need workload.Resources) {
	if len(x.misses) < maxMisses {
		x.misses = append(x.misses, need)
	}
}

// indexedChoice returns the best worker on which a finite task that needs no advice has not failed; nil if there is none with enough free
// capacity.
func (p *Pool) indexedChoice(t *task, need workload.Resources, now time.Time) *worker {
	x := p.index
	x.kept = false
	var best choice
	admitted := func(w *worker) bool { return !slices.Contains(t.failedOn, w.ID) && p.admits(w, t, now) }
	if rack := t.step.DataRack; rack != "" {
		for _, w := range x.onRack(rack) {
			if free := w.free(); free.Fits(need) && p.usable(w, now) && admitted(w) {
				best.offer(w, p.score(w, t, free, now))
			}
		}
	}
	for _, members := range x.list {
		if w := x.fullest(members, need, admitted); w != nil {
			best.offer(w, p.score(w, t, w.free(), now))
		}
	}
	if best.worker == nil && !x.kept && len(t.failedOn) == 0 && t.step.RequiredLabel == "" && t.step.MaxPerWorker == 0 {
		x.addMiss(need)
	}
	return best.worker
}

// fullest returns the worker of a class with the least free CPU that has enough free capacity and is admitted; nil if there is none.
func (x *workerIndex) fullest(members *classMembers, need workload.Resources, admitted func(*worker) bool) *worker {
	first, _ := slices.BinarySearchFunc(members.sorted, need.CPU, func(e indexed, cpu int64) int { return cmp.Compare(e.freeCPU, cpu) })
	for _, e := range members.sorted[first:] {
		if w := x.workers[e.position]; w.free().Fits(need) && admitted(w) {
			return w
		}
	}
	return nil
}
