package placement

import "verbenalanding.example/fleet/platform"

// availability is the capacity that a worker can offer. In an inner node of the tree it is the maximum over the workers
// below it, taken separately in each dimension.
type availability struct {
	// free is the unreserved capacity.
	free platform.Resources
	// withPreemption is free plus what an urgent job can reclaim by preemption.
	withPreemption platform.Resources
}

// tree is a segment tree over the workers of a pool. It finds workers with enough capacity without visiting all of them.
type tree struct {
	size  int
	nodes []availability
}

func (t *tree) reset(n int) {
	t.size = 1
	for t.size < n {
		t.size *= 2
	}
	none := platform.Resources{MilliCores: -1, MemoryBytes: -1, Accelerators: -1}
	t.nodes = make([]availability, 2*t.size)
	for i := range t.nodes {
		t.nodes[i] = availability{free: none, withPreemption: none}
	}
}

// fill sets a leaf without updating its ancestors; build updates all of them in one pass.
func (t *tree) fill(i int, r availability) { t.nodes[t.size+i] = r }

func (t *tree) build() {
	for i := t.size - 1; i >= 1; i-- {
		t.join(i)
	}
}

func (t *tree) set(i int, r availability) {
	n := t.size + i
	t.nodes[n] = r
	for n /= 2; n >= 1; n /= 2 {
		t.join(n)
	}
}

func (t *tree) join(n int) {
	l, r := t.nodes[2*n], t.nodes[2*n+1]
	t.nodes[n] = availability{free: maximum(l.free, r.free), withPreemption: maximum(l.withPreemption, r.withPreemption)}
}

// next returns the first leaf at or after from that has enough capacity for need, or -1. With preempt, capacity that an
// urgent job can reclaim counts too.
func (t *tree) next(from int, need platform.Resources, preempt bool) int {
	if from >= t.size {
		return -1
	}
	return t.search(1, 0, t.size, from, need, preempt)
}

func (t *tree) search(n, low, width, from int, need platform.Resources, preempt bool) int {
	if low+width <= from {
		return -1
	}
	available := t.nodes[n].free
	if preempt {
		available = t.nodes[n].withPreemption
	}
	if !fits(need, available) {
		return -1
	}
	if width == 1 {
		return low
	}
	half := width / 2
	if i := t.search(2*n, low, half, from, need, preempt); i >= 0 {
		return i
	}
	return t.search(2*n+1, low+half, half, from, need, preempt)
}
