package deferred

import (
	"container/heap"
	"time"

	"verbenalanding.example/fleet/declaration"
)

// classDelay is added to the time of acceptance, by which work is ordered. Less urgent work therefore runs later than urgent
// work accepted at the same time, but work that waits long enough precedes any newer work.
var classDelay = map[declaration.Class]time.Duration{
	declaration.Urgent:     0,
	declaration.Standard:   10 * time.Second,
	declaration.Deferrable: time.Minute,
}

const (
	// maxRefusedBackoff is short, since a refused attempt costs a backend server nothing and the pool may suddenly have free capacity.
	maxRefusedBackoff = 5 * time.Second
	maxFailedBackoff  = 30 * time.Second
)

// item is waiting work without its body.
type item struct {
	id       string
	service  string
	order    time.Time
	due      time.Time
	attempts int
	failures int
	// recheck is set if the record was read as waiting while an attempt was in flight.
	recheck bool
}

type itemHeap struct {
	items []*item
	less  func(x, y *item) bool
}

func (h *itemHeap) Len() int           { return len(h.items) }
func (h *itemHeap) Less(i, j int) bool { return h.less(h.items[i], h.items[j]) }
func (h *itemHeap) Swap(i, j int)      { h.items[i], h.items[j] = h.items[j], h.items[i] }
func (h *itemHeap) Push(x any)         { h.items = append(h.items, x.(*item)) }
func (h *itemHeap) Pop() any {
	last := h.items[len(h.items)-1]
	h.items = h.items[:len(h.items)-1]
	return last
}

func byOrder(x, y *item) bool { return x.order.Before(y.order) }
func byDue(x, y *item) bool   { return x.due.Before(y.due) }

// serviceQueue is the waiting and running work of one service.
type serviceQueue struct {
	ready       itemHeap
	running     int
	waiting     int
	pausedUntil time.Time
	refusals    int
}

// Queue orders the waiting work of a shard; it uses no I/O and no clock. Set the exported fields before use.
type Queue struct {
	// MaxRunning bounds the attempts in flight; 8 when 0.
	MaxRunning int
	// MaxPerService bounds the attempts in flight of one service, so that it leaves capacity of the pool to urgent work; 4 when 0.
	MaxPerService int
	// FirstBackoff is the delay after the first refused or failed attempt; it doubles with each further one. 500 ms when 0.
	FirstBackoff time.Duration

	services map[string]*serviceQueue
	items    map[string]*item
	delayed  itemHeap
	running  int
}

// Default fills unset fields.
func (q *Queue) Default() {
	if q.MaxRunning == 0 {
		q.MaxRunning = 8
	}
	if q.MaxPerService == 0 {
		q.MaxPerService = 4
	}
	if q.FirstBackoff == 0 {
		q.FirstBackoff = 500 * time.Millisecond
	}
	if q.services == nil {
		q.services = map[string]*serviceQueue{}
		q.items = map[string]*item{}
		q.delayed.less = byDue
	}
}

// Add adds waiting work. If an attempt of the work is in flight, the work is attempted again afterwards.
func (q *Queue) Add(w Work, attempts int, due time.Time) {
	q.Default()
	if i := q.items[w.ID]; i != nil {
		i.recheck = true
		return
	}
	i := &item{id: w.ID, service: w.Service, order: w.Accepted.Add(classDelay[w.Class]), due: due, attempts: attempts}
	q.items[w.ID] = i
	q.service(w.Service).waiting++
	heap.Push(&q.delayed, i)
}

// Next returns the work to run now and counts it as running.
func (q *Queue) Next(now time.Time) (id string, attempt int, found bool) {
	q.Default()
	q.promoteDue(now)
	if q.running >= q.MaxRunning {
		return "", 0, false
	}
	var best *serviceQueue
	for _, s := range q.services {
		if s.running >= q.MaxPerService || now.Before(s.pausedUntil) || s.ready.Len() == 0 {
			continue
		}
		if best == nil || byOrder(s.ready.items[0], best.ready.items[0]) {
			best = s
		}
	}
	if best == nil {
		return "", 0, false
	}
	i := heap.Pop(&best.ready).(*item)
	i.attempts++
	i.recheck = false
	best.running++
	q.running++
	return i.id, i.attempts, true
}

// Refused puts back work whose attempt was certainly not run; its service is delayed, since its pool has no free capacity.
func (q *Queue) Refused(id string, now time.Time) {
	i, s := q.endAttempt(id)
	if i == nil {
		return
	}
	s.refusals++
	s.pausedUntil = now.Add(q.backoff(s.refusals, maxRefusedBackoff))
	heap.Push(&s.ready, i)
}

// Failed puts back work whose attempt may be repeated later; other work of the service is not delayed.
func (q *Queue) Failed(id string, now time.Time) {
	i, _ := q.endAttempt(id)
	if i == nil {
		return
	}
	i.failures++
	i.due = now.Add(q.backoff(i.failures, maxFailedBackoff))
	heap.Push(&q.delayed, i)
}

// Done removes work that needs no further attempt, unless its record was read as waiting during the attempt.
func (q *Queue) Done(id string) {
	i, s := q.endAttempt(id)
	if i == nil {
		return
	}
	s.refusals = 0
	if i.recheck {
		heap.Push(&s.ready, i)
		return
	}
	s.waiting--
	delete(q.items, id)
}

// Counts returns the waiting and running work of each service.
func (q *Queue) Counts() map[string]int {
	counts := map[string]int{}
	for name, s := range q.services {
		if s.waiting > 0 {
			counts[name] = s.waiting
		}
	}
	return counts
}

func (q *Queue) service(service string) *serviceQueue {
	s := q.services[service]
	if s == nil {
		s = &serviceQueue{ready: itemHeap{less: byOrder}}
		q.services[service] = s
	}
	return s
}

func (q *Queue) endAttempt(id string) (*item, *serviceQueue) {
	i := q.items[id]
	if i == nil {
		return nil, nil
	}
	s := q.service(i.service)
	s.running--
	q.running--
	return i, s
}

func (q *Queue) promoteDue(now time.Time) {
	for q.delayed.Len() > 0 && !now.Before(q.delayed.items[0].due) {
		i := heap.Pop(&q.delayed).(*item)
		heap.Push(&q.service(i.service).ready, i)
	}
}

func (q *Queue) backoff(n int, limit time.Duration) time.Duration {
	return min(q.FirstBackoff<<min(n-1, 10), limit)
}
