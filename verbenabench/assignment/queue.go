package assignment

import (
	"container/heap"
	"math/rand/v2"
	"slices"
)

// request is one request. Its arrival time at and its service time work are in seconds.
type request struct {
	stream
	index       int
	arrival     float64
	serviceTime float64
}

// drawRequests returns random requests of all streams in the order of their arrival.
func drawRequests(all []stream, load float64, random *rand.Rand) []request {
	var out []request
	for k, s := range all {
		rate := load * servers * s.share / s.mean.Seconds()
		for t := random.ExpFloat64() / rate; t < simulatedTime.Seconds(); t += random.ExpFloat64() / rate {
			out = append(out, request{stream: s, index: k, arrival: t, serviceTime: s.drawServiceTime(random)})
		}
	}
	slices.SortFunc(out, func(a, b request) int {
		switch {
		case a.arrival < b.arrival:
			return -1
		case a.arrival > b.arrival:
			return 1
		}
		return 0
	})
	return out
}

// serveSeparately serves each request at one of the n servers to which its stream is assigned, first come first served, and returns the
// waits. The pool's slots are divided equally among the servers.
func serveSeparately(requests []request, assigned [][]streamPart, n int, random *rand.Rand) []float64 {
	waits := make([]float64, len(requests))
	perServer, indexes := make([][]request, n), make([][]int, n)
	for i, q := range requests {
		remainder, server := random.Float64(), 0
		for _, s := range assigned[q.index] {
			server = s.server
			if remainder -= s.share; remainder < 0 {
				break
			}
		}
		perServer[server], indexes[server] = append(perServer[server], q), append(indexes[server], i)
	}
	for k := range perServer {
		for i, w := range serveShared(perServer[k], servers/n, func(request) bool { return true }) {
			waits[indexes[k][i]] = w
		}
	}
	return waits
}

// freeTimes is a heap of the times at which servers become free.
type freeTimes []float64

func (t freeTimes) Len() int           { return len(t) }
func (t freeTimes) Less(i, k int) bool { return t[i] < t[k] }
func (t freeTimes) Swap(i, k int)      { t[i], t[k] = t[k], t[i] }
func (t *freeTimes) Push(x any)        { *t = append(*t, x.(float64)) }
func (t *freeTimes) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	return last
}

// serveShared serves all requests from one queue with n slots and returns the waits. Requests for which hasPriority returns true are served
// first.
func serveShared(requests []request, n int, hasPriority func(request) bool) []float64 {
	waits := make([]float64, len(requests))
	free := make(freeTimes, n)
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
			start := max(free[0], requests[i].arrival)
			waits[i] = start - requests[i].arrival
			free[0] = start + requests[i].serviceTime
			heap.Fix(&free, 0)
		}
	}
	for i, q := range requests {
		serve(q.arrival)
		k := 1
		if hasPriority(q) {
			k = 0
		}
		queues[k] = append(queues[k], i)
		serve(q.arrival)
	}
	serve(1e18)
	return waits
}
