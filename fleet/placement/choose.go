package placement

import (
	"slices"
	"time"

	"verbenalanding.example/fleet/platform"
)

// usable reports whether j may run on w, apart from capacity. With allowHeld, an urgent job may use a held worker.
func (w *worker) usable(j *job, now time.Time, allowHeld bool) bool {
	if now.Before(j.avoidUntil) && slices.Contains(j.avoid, w.ID) {
		return false
	}
	if j.urgent() {
		return !now.Before(w.avoidUntil) && (allowHeld || w.heldFor == nil)
	}
	return w.heldFor == nil || w.heldFor == j
}

// choose returns a worker with enough free capacity, or nil. It prefers the rack with the fewest urgent jobs for an urgent
// job, and the worker with the tightest fit for any other job, which leaves whole workers free for large jobs.
func (p *Planner) choose(po *pool, j *job, need platform.Resources, allowHeld bool) *worker {
	start := 0
	if j.urgent() && len(po.leaves) > 0 {
		start = po.cursor % len(po.leaves)
	}
	var best *worker
	compared := 0
	for _, span := range [2][2]int{{start, len(po.leaves)}, {0, start}} {
		for i := po.tree.next(span[0], need, false); i >= 0 && i < span[1] && compared < maxCandidates; i = po.tree.next(i+1, need, false) {
			w := po.leaves[i]
			if !w.usable(j, p.now, allowHeld) {
				continue
			}
			compared++
			if best == nil || better(j, w, best) {
				best = w
			}
		}
	}
	if best != nil && j.urgent() {
		po.cursor = best.leaf + 1
	}
	return best
}

// better reports whether j is placed on a rather than on b.
func better(j *job, a, b *worker) bool {
	if j.urgent() {
		if a.rack.urgent != b.rack.urgent {
			return a.rack.urgent < b.rack.urgent
		}
	}
	fa, fb := a.unreserved(), b.unreserved()
	// Accelerators are scarce: prefer workers with fewer free ones, so that the others stay available to jobs that need them.
	if fa.Accelerators != fb.Accelerators {
		return fa.Accelerators < fb.Accelerators
	}
	return fa.MilliCores < fb.MilliCores
}
