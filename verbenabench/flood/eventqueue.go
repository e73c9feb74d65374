package flood

import "time"

// event is a callback at a simulated time. Events at the same time run in the order of their sequence.
type event struct {
	at       time.Duration
	sequence uint64
	callback func()
}

// eventQueue holds the pending events in a binary heap.
type eventQueue struct {
	heap     []event
	sequence uint64
}

func (a *eventQueue) less(i, k int) bool {
	x, y := &a.heap[i], &a.heap[k]
	return x.at < y.at || x.at == y.at && x.sequence < y.sequence
}

func (a *eventQueue) push(at time.Duration, run func()) {
	a.sequence++
	a.heap = append(a.heap, event{at, a.sequence, run})
	for i := len(a.heap) - 1; i > 0 && a.less(i, (i-1)/2); i = (i - 1) / 2 {
		a.heap[i], a.heap[(i-1)/2] = a.heap[(i-1)/2], a.heap[i]
	}
}

func (a *eventQueue) pop() event {
	first := a.heap[0]
	last := len(a.heap) - 1
	a.heap[0] = a.heap[last]
	a.heap = a.heap[:last]
	for i := 0; ; {
		k := 2*i + 1
		if k >= last {
			return first
		}
		if k+1 < last && a.less(k+1, k) {
			k++
		}
		if !a.less(k, i) {
			return first
		}
		a.heap[i], a.heap[k] = a.heap[k], a.heap[i]
		i = k
	}
}
