package placement

import "time"

// later is a job that waits for its NotBefore time.
type later struct {
	at  time.Time
	job *job
}

type laterHeap []later

func (h laterHeap) Len() int           { return len(h) }
func (h laterHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h laterHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *laterHeap) Push(x any) { *h = append(*h, x.(later)) }

// Pop implements heap.Interface.
func (h *laterHeap) Pop() any {
	last := len(*h) - 1
	l := (*h)[last]
	*h = (*h)[:last]
	return l
}
