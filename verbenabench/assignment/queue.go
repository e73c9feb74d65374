package assignment

import (
	"container/heap"
	"math/rand/v2"
	"slices"
)

// request is one request. Its arrival time at and its service time work are in seconds.
type request struct {
	stream
	index int
	at    float64
	work  float64
}

// draw returns random requests of all streams in the order of their arrival.
func draw(all []stream, load float64, random *rand.Rand) []request {
	var out []request
	for k, s := range all {
		rate := load * servers * s.share / s.mean.Seconds()
		for t := random.ExpFloat64() / rate; t < simulatedTime.Seconds(); t += random.ExpFloat64() / rate {
			out = append(out, request{stream: s, index: k, at: t, work: s.draw(random)})
		}
	}
	slices.SortFunc(out, func(a, b request) int {
		switch {
		case a.at < b.at:
			return -1
		case a.at > b.at:
			return 1
		}
		return 0
	})
	return out
}

// separate serves each request at one of the n servers to which its stream is assigned, first come first served, and returns the waits. The
// pool's slots are divided equally among the servers.
func separate(requests []request, assigned [][]slice, n int, random *rand.Rand) []float64 {
	waits := make([]float64, len(requests))
	perServer, indexes := make([][]request, n), make([][]int, n)
	for i, q := range requests {
		x, server := random.Float64(), 0
		for _, s := range assigned[q.index] {
			server = s.server
			if x -= s.share; x < 0 {
				break
			}
		}
		perServer[server], indexes[server] = append(perServer[server], q), append(indexes[server], i)
	}
	for k := range perServer {
		for i, w := range shared(perServer[k], servers/n, func(request) bool { return true }) {
			waits[indexes[k][i]] = w
		}
	}
	return waits
}

// times is a heap of the times at which servers become free.
type times []float64

func (t times) Len() int           { return len(t) }
func (t times) Less(i, k int) bool { return t[i] < t[k] }
func (t times) Swap(i, k int)      { t[i], t[k] = t[k], t[i] }
func (t *times) Push(x any)        { *t = append(*t, x.(float64)) }
func (t *times) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// shared serves all requests from one queue with n slots and returns the waits. Requests for which first returns true have priority.
func shared(requests []request, n int, first func(request) bool) []float64 {
	waits := make([]float64, len(requests))
	free := make(times, n)
	heap.Init(&free)
	var queues [2][]int
	serve := func(until float64) {
		for free[0] <= until && len(queues[0])+len(queues[1]) > 0 {
			k := 0
			if len(queues[0]) == 0 {
				k = 1
			}
			i := queues[k][0]
			queues[k] = queues[k][1:]
			start := max(free[0], requests[i].at)
			waits[i] = start - requests[i].at
			free[0] = start + requests[i].work
			heap.Fix(&free, 0)
		}
	}
	for i, q := range requests {
		serve(q.at)
		k := 1
		if first(q) {
			k = 0
		}
		queues[k] = append(queues[k], i)
		serve(q.at)
	}
	serve(1e18)
	return waits
}
