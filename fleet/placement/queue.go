package placement

import (
	"cmp"
	"container/heap"
	"time"

	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/platform"
)

// groupKey is what decides, apart from the team, whether a waiting job can start: jobs of a group need the same room.
type groupKey struct {
	class      declaration.Class
	kind       string
	declared   platform.Resources
	repeatable bool
}

// group is the waiting jobs of one pool with the same key, by team. One look at the pool's room decides for all of them,
// so a long queue costs no more per step than a short one while nothing can start.
type group struct {
	key   groupKey
	teams map[string]*queue
	// slots describe the queues that are not empty; changed lists the queues whose slot is out of date. Ordering the
	// queues in each step then reads one slice and no jobs.
	slots   []slot
	changed []*queue
	// need, learned, heads and rule belong to the current planning step; rule is the last one announced.
	need    platform.Resources
	learned bool
	heads   entrantHeap
	rule    Rule
}

// queue holds the waiting jobs of one group and team in the order of their due times; cancelled jobs are dropped when
// they surface.
type queue struct {
	group *group
	team  *team
	name  string
	jobs  jobHeap
	// place is the index of the queue's slot, or -1.
	place int
	dirty bool
}

// slot is the first job of a queue.
type slot struct {
	q    *queue
	team *team
	head *job
	// due and submitted are in nanoseconds since 1970, which keeps slots small.
	due       int64
	submitted int64
	serial    uint64
}

func (q *queue) push(j *job) {
	heap.Push(&q.jobs, j)
	q.touch()
}

// touch marks the queue's slot as out of date.
func (q *queue) touch() {
	if !q.dirty {
		q.dirty = true
		q.group.changed = append(q.group.changed, q)
	}
}

// refresh brings the slots of changed queues up to date and drops empty queues.
func (g *group) refresh() {
	for _, q := range g.changed {
		q.dirty = false
		j := q.head()
		switch {
		case j != nil:
			if q.place < 0 {
				q.place = len(g.slots)
				g.slots = append(g.slots, slot{})
			}
			g.slots[q.place] = q.slotOf(j)
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

// remove drops an empty queue; the last slot takes its place.
func (g *group) remove(q *queue) {
	delete(g.teams, q.name)
	if q.place < 0 {
		return
	}
	last := len(g.slots) - 1
	g.slots[q.place] = g.slots[last]
	g.slots[q.place].q.place = q.place
	g.slots[last] = slot{}
	g.slots = g.slots[:last]
	q.place = -1
}

// head returns the first job that still waits, or nil.
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

// entrant is the head of a queue in one planning step with the figures that order it.
type entrant struct {
	slot
	// old jobs have waited longer than their class's patience; aged ones may also use the share for such jobs.
	old     bool
	aged    bool
	rank    int
	portion int64
}

func (e entrant) compare(o entrant) int {
	if e.aged != o.aged {
		return -boolCompare(e.aged, o.aged)
	}
	if e.rank != o.rank {
		return cmp.Compare(e.rank, o.rank)
	}
	if e.portion != o.portion {
		return cmp.Compare(e.portion, o.portion)
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

type entrantHeap []entrant

func (h entrantHeap) Len() int           { return len(h) }
func (h entrantHeap) Less(i, j int) bool { return h[i].compare(h[j]) < 0 }
func (h entrantHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *entrantHeap) Push(x any) { *h = append(*h, x.(entrant)) }

// Pop implements heap.Interface.
func (h *entrantHeap) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	*h = (*h)[:last]
	return e
}

// rank orders classes from most to least urgent; unknown classes rank last.
func rank(c declaration.Class) int {
	for i, known := range declaration.Classes {
		if c == known {
			return i
		}
	}
	return len(declaration.Classes)
}

// dueTime is when a job should have started: early enough for its deadline, and never later than its class's patience.
// The bound by patience keeps a job without a deadline from waiting behind an endless flow of jobs that have one.
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
