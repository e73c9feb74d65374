package placement

import (
	"cmp"
	"container/heap"
	"time"

	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/platform"
)

// groupKey holds the properties, apart from the team, that decide whether a waiting job can start. All jobs of a group need
// the same resources.
type groupKey struct {
	class      declaration.Class
	kind       string
	declared   platform.Resources
	repeatable bool
}

// group holds the waiting jobs of one pool with the same key, by team. One check of the pool's capacity decides for all of
// them. While none of them can start, a long queue therefore costs no more per step than a short one.
type group struct {
	key   groupKey
	teams map[string]*queue
	// slots caches the heads of the non-empty queues, so that a step orders the queues by reading one slice and no jobs; changed
	// lists the queues whose slot is out of date.
	slots   []slot
	changed []*queue
	// need, learned and heads are valid for the current planning step; rule is the last one reported.
	need    platform.Resources
	learned bool
	heads   headHeap
	rule    Rule
}

// queue holds the waiting jobs of one group and team, ordered by due time. Cancelled jobs are removed lazily, when they reach
// the head.
type queue struct {
	group *group
	team  *team
	name  string
	jobs  jobHeap
	// slotIndex is the index of the queue's slot in group.slots, or -1.
	slotIndex int
	dirty     bool
}

// slot caches the head of a queue.
type slot struct {
	q    *queue
	team *team
	head *job
	// due and submitted are Unix times in nanoseconds, which are smaller than time.Time.
	due       int64
	submitted int64
	serial    uint64
}

func (q *queue) push(j *job) {
	heap.Push(&q.jobs, j)
	q.touch()
}

// touch records that the queue's slot is out of date.
func (q *queue) touch() {
	if !q.dirty {
		q.dirty = true
		q.group.changed = append(q.group.changed, q)
	}
}

// refresh updates the slots of changed queues and removes empty queues.
func (g *group) refresh() {
	for _, q := range g.changed {
		q.dirty = false
		j := q.head()
		switch {
		case j != nil:
			if q.slotIndex < 0 {
				q.slotIndex = len(g.slots)
				g.slots = append(g.slots, slot{})
			}
			g.slots[q.slotIndex] = q.slotOf(j)
		default:
			g.remove(q)
		}
	}
	g.changed = g.changed[:0]
}

func (q *queue) slotOf(j *job) slot {
	return slot{
		q: q, team: q.team, head: j, due: j.due.UnixNano(), submitted: j.Submitted.UnixNano(), serial: j.serial,
	}
}

// remove deletes an empty queue and moves the last slot to its position.
func (g *group) remove(q *queue) {
	delete(g.teams, q.name)
	if q.slotIndex < 0 {
		return
	}
	last := len(g.slots) - 1
	g.slots[q.slotIndex] = g.slots[last]
	g.slots[q.slotIndex].q.slotIndex = q.slotIndex
	g.slots[last] = slot{}
	g.slots = g.slots[:last]
	q.slotIndex = -1
}

// head returns the first job that is still waiting, or nil.
func (q *queue) head() *job {
	for len(q.jobs) > 0 {
		if j := q.jobs[0]; j.state == waiting && j.queue == q {
			return j
		}
		heap.Pop(&q.jobs)
	}
	return nil
}

type jobHeap []*job

func (h jobHeap) Len() int { return len(h) }

func (h jobHeap) Less(i, j int) bool {
	if c := h[i].due.Compare(h[j].due); c != 0 {
		return c < 0
	}
	return h[i].serial < h[j].serial
}

func (h jobHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *jobHeap) Push(x any) { *h = append(*h, x.(*job)) }

// Pop implements heap.Interface.
func (h *jobHeap) Pop() any {
	last := len(*h) - 1
	j := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return j
}

// rankedHead is the head of a queue with its sort keys for one planning step.
type rankedHead struct {
	slot
	// pastLimit means that the job has waited longer than the wait limit of its class; aged means that it may also use the
	// pool's share for such jobs.
	pastLimit bool
	aged      bool
	rank      int
	quotaUse  int64
}

func (e rankedHead) compare(o rankedHead) int {
	if e.aged != o.aged {
		return -boolCompare(e.aged, o.aged)
	}
	if e.rank != o.rank {
		return cmp.Compare(e.rank, o.rank)
	}
	if e.quotaUse != o.quotaUse {
		return cmp.Compare(e.quotaUse, o.quotaUse)
	}
	if e.due != o.due {
		return cmp.Compare(e.due, o.due)
	}
	return cmp.Compare(e.serial, o.serial)
}

func boolCompare(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

type headHeap []rankedHead

func (h headHeap) Len() int           { return len(h) }
func (h headHeap) Less(i, j int) bool { return h[i].compare(h[j]) < 0 }
func (h headHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *headHeap) Push(x any) { *h = append(*h, x.(rankedHead)) }

// Pop implements heap.Interface.
func (h *headHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}

// classRank returns the position of a class from most to least urgent; unknown classes come last.
func classRank(c declaration.Class) int {
	for i, class := range declaration.Classes {
		if c == class {
			return i
		}
	}
	return len(declaration.Classes)
}

// dueTime returns when a job should have started: early enough for its deadline and within the wait limit of its class. The
// wait limit keeps a job without a deadline from starving behind a steady flow of jobs that have one.
func (p *Planner) dueTime(j Job) time.Time {
	due := j.Submitted.Add(p.waitLimit(j.Class))
	if j.Deadline.IsZero() {
		return due
	}
	if latest := j.Deadline.Add(-p.expectedRun(j)); latest.Before(due) {
		return latest
	}
	return due
}

func (p *Planner) waitLimit(c declaration.Class) time.Duration {
	switch c {
	case declaration.Urgent:
		return 0
	case declaration.Standard:
		return p.settings.WaitLimitStandard
	}
	return p.settings.WaitLimitDeferrable
}
