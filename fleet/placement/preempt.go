package placement

import (
	"cmp"
	"fmt"
	"slices"

	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/platform"
)

// method is how a running job makes room, from the least to the most costly.
type method int

const (
	byCheckpoint method = iota
	byThrottle
	byStop
)

type victim struct {
	job *job
	by  method
}

// eviction is a worker and the jobs that make room on it.
type eviction struct {
	worker  *worker
	victims []victim
	worst   method
	// standard counts the victims above the deferrable class; they have deadlines to keep.
	standard int
}

func (e eviction) compare(o eviction) int {
	return cmp.Or(
		cmp.Compare(e.standard, o.standard),
		cmp.Compare(e.worst, o.worst),
		cmp.Compare(len(e.victims), len(o.victims)),
		cmp.Compare(e.worker.rack.urgent, o.worker.rack.urgent),
		cmp.Compare(e.worker.leaf, o.worker.leaf),
	)
}

// triedWorkers bounds the search for jobs to preempt: the tree knows what can be reclaimed for urgent jobs, of which
// other jobs may take less.
const triedWorkers = 4 * candidates

// preempt makes room for a job and gives it the worker; it starts when the room is free.
func (p *Planner) preempt(po *pool, j *job, need platform.Resources, held bool) bool {
	var best *eviction
	start := 0
	if len(po.leaves) > 0 {
		start = po.cursor % len(po.leaves)
	}
	found, tried := 0, 0
	for _, span := range [2][2]int{{start, len(po.leaves)}, {0, start}} {
		for i := po.tree.next(span[0], need, true); i >= 0 && i < span[1] && found < candidates && tried < triedWorkers; i = po.tree.next(i+1, need, true) {
			w := po.leaves[i]
			if !w.usable(j, p.now, held) {
				continue
			}
			tried++
			e, ok := p.evictionOn(w, j, need)
			if !ok {
				continue
			}
			found++
			if best == nil || e.compare(*best) < 0 {
				best = &e
			}
		}
	}
	if best == nil {
		return false
	}
	po.cursor = best.worker.leaf + 1
	p.commit(j, best.worker, need, pending)
	p.emit(Wait{Job: j.ID, Rule: RulePreempting, Detail: fmt.Sprintf("%d jobs make room on worker %s", len(best.victims), best.worker.ID)})
	for _, v := range best.victims {
		p.evict(v, j)
	}
	p.startPending(best.worker)
	return true
}

// evictionOn chooses jobs on w that free need: first those that checkpoint, then throttling, then stopping.
// Only urgent jobs throttle or stop others; late jobs of the standard class take the room of deferrable jobs that can
// checkpoint, which costs these no work.
func (p *Planner) evictionOn(w *worker, beneficiary *job, need platform.Resources) (eviction, bool) {
	e := eviction{worker: w}
	room := add(w.room().free, w.releasing)
	tasks := make([]*job, 0, len(w.tasks))
	for t := range w.tasks {
		if t.state == running && rank(t.Class) > rank(beneficiary.Class) {
			tasks = append(tasks, t)
		}
	}
	slices.SortFunc(tasks, compareVictims)
	take := func(by method, use func(*job) (platform.Resources, bool)) {
		for _, t := range tasks {
			if fits(need, room) {
				return
			}
			freed, ok := use(t)
			if !ok || !helps(freed, need, room) {
				continue
			}
			room = add(room, freed)
			e.add(t, by)
		}
	}
	share := func(t *job) platform.Resources {
		return platform.Resources{MilliCores: t.need.MilliCores - p.throttled(t.need.MilliCores)}
	}
	take(byCheckpoint, func(t *job) (platform.Resources, bool) { return t.need, t.Checkpoints && !t.fixed() })
	if !beneficiary.urgent() {
		return e, fits(need, room)
	}
	take(byThrottle, func(t *job) (platform.Resources, bool) {
		return share(t), t.percent == 100 && t.confirmed && !e.has(t, byCheckpoint)
	})
	take(byStop, func(t *job) (platform.Resources, bool) {
		if e.has(t, byThrottle) {
			return sub(t.need, share(t)), !t.fixed()
		}
		return t.need, !t.fixed() && !e.has(t, byCheckpoint)
	})
	return e, fits(need, room)
}

// add notes how a job makes room; a job that was to be throttled and must be stopped is stopped only.
func (e *eviction) add(j *job, by method) {
	e.worst = by
	for i := range e.victims {
		if e.victims[i].job == j {
			e.victims[i].by = by
			return
		}
	}
	e.victims = append(e.victims, victim{job: j, by: by})
	if j.Class == declaration.Standard {
		e.standard++
	}
}

func (e *eviction) has(j *job, by method) bool {
	return slices.Contains(e.victims, victim{job: j, by: by})
}

// helps reports whether freed reduces what need still lacks.
func helps(freed, need, room platform.Resources) bool {
	lack := sub(need, room)
	return (lack.MilliCores > 0 && freed.MilliCores > 0) ||
		(lack.MemoryBytes > 0 && freed.MemoryBytes > 0) ||
		(lack.Accelerators > 0 && freed.Accelerators > 0)
}

// compareVictims puts the least urgent first, then the least often preempted, then the largest.
func compareVictims(a, b *job) int {
	return cmp.Or(
		-cmp.Compare(rank(a.Class), rank(b.Class)),
		cmp.Compare(a.preempted, b.preempted),
		-cmp.Compare(a.need.MilliCores, b.need.MilliCores),
		compareStrings(a.ID, b.ID),
	)
}

func (p *Planner) evict(v victim, beneficiary *job) {
	j := v.job
	w := j.worker
	detail := fmt.Sprintf("%s: job %s needs %s", RulePreempted, beneficiary.ID, Format(beneficiary.need))
	j.preempted++
	switch v.by {
	case byCheckpoint:
		p.leave(j)
		p.emit(Checkpoint{Job: j.ID, Worker: w.ID, Beneficiary: beneficiary.ID, Detail: detail})
	case byThrottle:
		j.whole = j.need.MilliCores
		p.resize(j, p.throttled(j.need.MilliCores)-j.need.MilliCores, p.settings.ThrottlePercent)
		p.emit(Throttle{Job: j.ID, Worker: w.ID, Percent: p.settings.ThrottlePercent, Beneficiary: beneficiary.ID, Detail: detail})
	case byStop:
		p.leave(j)
		j.stopped = true
		p.emit(Stop{Job: j.ID, Worker: w.ID, Beneficiary: beneficiary.ID, Detail: detail})
	}
}

// leave marks a running job as making room.
func (p *Planner) leave(j *job) {
	w := j.worker
	w.reclaimable = sub(w.reclaimable, p.reclaim(j))
	w.releasing = add(w.releasing, j.need)
	j.state = leaving
	j.asked = p.now
	p.leaving[j] = true
	p.refresh(w)
}

// startPending starts the jobs for which preempted jobs have made room.
func (p *Planner) startPending(w *worker) {
	if w.assigned == (platform.Resources{}) {
		return
	}
	var waitingHere []*job
	for j := range w.tasks {
		if j.state == pending {
			waitingHere = append(waitingHere, j)
		}
	}
	slices.SortFunc(waitingHere, func(a, b *job) int { return compareStrings(a.ID, b.ID) })
	for _, j := range waitingHere {
		if w.Closed || !fits(j.need, w.actual()) {
			continue
		}
		delete(p.pending, j)
		w.assigned = sub(w.assigned, j.need)
		w.reserved = add(w.reserved, j.need)
		j.state = running
		j.since = p.now
		p.refresh(w)
		p.emit(Start{Job: j.ID, Worker: w.ID, Reserved: j.need, Rule: RuleFits, Detail: "preempted jobs made room on worker " + w.ID})
	}
}
