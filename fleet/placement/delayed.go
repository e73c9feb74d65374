package placement

import "time"

// delayedJob is a job that must not start before its NotBefore time.
type delayedJob struct {
	at  time.Time
	job *job
}

type delayedHeap []delayedJob

func (h delayedHeap) Len() int           { return len(h) }
func (h delayedHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }
func (h delayedHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *delayedHeap) Push(x any) { *h = append(*h, x.(delayedJob)) }

// Pop implements heap.Interface.
func (h *delayedHeap) Pop() any {
	last := len(*h) - 1
	d := (*h)[last]
	*h = (*h)[:last]
	return d
}
