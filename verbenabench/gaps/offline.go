package gaps

import (
	"cmp"
	"math"
	"slices"
	"time"

	"verbenalanding.example/fleet/workload"
)

// timeline holds what is reserved on a worker.
type timeline struct{ spans []span }

type span struct {
	from, to time.Duration
	need     workload.Resources
}

// usedIn returns the most that is reserved of each resource at any moment of a time.
func (l *timeline) usedIn(from, to time.Duration) workload.Resources {
	most := l.usedAt(from)
	for _, s := range l.spans {
		if s.from > from && s.from < to {
			used := l.usedAt(s.from)
			most.CPU, most.MemoryMB = max(most.CPU, used.CPU), max(most.MemoryMB, used.MemoryMB)
		}
	}
	return most
}

func (l *timeline) usedAt(at time.Duration) workload.Resources {
	var used workload.Resources
	for _, s := range l.spans {
		if s.from <= at && at < s.to {
			used = used.Plus(s.need)
		}
	}
	return used
}

// earliest returns the first time from which a need fits for as long as it runs; ok is false if there is none before a time.
func (l *timeline) earliest(ready, before, runs time.Duration, need, capacity workload.Resources) (at time.Duration, ok bool) {
	starts := []time.Duration{ready}
	for _, s := range l.spans {
		if s.to > ready && s.to < before {
			starts = append(starts, s.to)
		}
	}
	slices.Sort(starts)
	for _, at := range starts {
		if at < before && capacity.Minus(l.usedIn(at, at+runs)).Fits(need) {
			return at, true
		}
	}
	return 0, false
}

// drop forgets what has ended before a time.
func (l *timeline) drop(before time.Duration) {
	l.spans = slices.DeleteFunc(l.spans, func(s span) bool { return s.to <= before })
}

// placeOffline places the tasks of a day with all run times known, by conservative backfilling: in the order of the jobs' arrival, each task has the
// earliest time at which it delays no earlier one. With largestFirst the jobs that arrive within a window are placed by the size of their tasks.
func placeOffline(s shape, jobs []drawnJob, workers int, largestFirst bool) *outcome {
	out := newOutcome(s, jobs)
	lines := make([]timeline, workers)
	order := make([]*drawnJob, len(jobs))
	for i := range jobs {
		order[i] = &jobs[i]
	}
	if largestFirst {
		// window is the time within which jobs count as arrived together.
		const window = 2 * time.Second
		slices.SortStableFunc(order, func(a, b *drawnJob) int {
			return cmp.Or(cmp.Compare(a.arrives/window, b.arrives/window), -cmp.Compare(dominant(a.steps[0].Need, s.capacity), dominant(b.steps[0].Need, s.capacity)))
		})
	}
	for _, j := range order {
		ready := j.arrives
		for _, step := range j.steps {
			done := ready
			for _, t := range step.tasks {
				best, at := 0, time.Duration(math.MaxInt64)
				for i := range lines {
					if e, ok := lines[i].earliest(ready, at, t.runs, step.Need, s.capacity); ok {
						best, at = i, e
					}
					if at == ready {
						break
					}
				}
				lines[best].spans = append(lines[best].spans, span{at, at + t.runs, step.Need})
				out.started(step.Need, at-ready)
				done = max(done, at+t.runs)
			}
			ready = done
		}
		out.jobEnded(j.id, ready-j.arrives)
		for i := range lines {
			lines[i].drop(j.arrives - 2*time.Second)
		}
	}
	return out
}
