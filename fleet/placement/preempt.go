package placement

import (
	"cmp"
	"fmt"
	"slices"

	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/platform"
)

// method is a way to preempt a running job. Methods are ordered from the least to the most costly.
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

// eviction is a set of jobs to preempt on one worker.
type eviction struct {
	worker    *worker
	victims   []victim
	costliest method
	// standardVictims counts the victims of the standard class, which may have deadlines to meet.
	standardVictims int
}

func (e eviction) compare(o eviction) int {
	return cmp.Or(
		cmp.Compare(e.standardVictims, o.standardVictims),
		cmp.Compare(e.costliest, o.costliest),
		cmp.Compare(len(e.victims), len(o.victims)),
		cmp.Compare(e.worker.rack.urgent, o.worker.rack.urgent),
		cmp.Compare(e.worker.leaf, o.worker.leaf),
	)
}

// maxTriedWorkers limits the search for jobs to preempt. The tree holds what urgent jobs can reclaim; other jobs can reclaim
// less, so that some of the workers that the tree returns do not fit.
const maxTriedWorkers = 4 * maxCandidates

// preempt assigns a job to a worker and preempts other jobs there; the job starts when their capacity is free. It returns
// false if no worker fits.
func (p *Planner) preempt(po *pool, j *job, need platform.Resources, allowHeld bool) bool {
	var best *eviction
	start := 0
	if len(po.leaves) > 0 {
		start = po.cursor % len(po.leaves)
	}
	feasible, tried := 0, 0
	for _, span := range [2][2]int{{start, len(po.leaves)}, {0, start}} {
		for i := po.tree.next(span[0], need, true); i >= 0 && i < span[1] && feasible < maxCandidates && tried < maxTriedWorkers; i = po.tree.next(i+1, need, true) {
			w := po.leaves[i]
			if !w.usable(j, p.now, allowHeld) {
				continue
			}
			tried++
			e, ok := p.evictionOn(w, j, need)
			if !ok {
				continue
			}
			feasible++
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
	p.emit(Wait{Job: j.ID, Rule: RuleAwaitingPreemption, Detail: fmt.Sprintf("%d jobs make room on worker %s", len(best.victims), best.worker.ID)})
	for _, v := range best.victims {
		p.evict(v, j)
	}
	p.startPending(best.worker)
	return true
}

// evictionOn selects the jobs to preempt on w so that need fits: first jobs to checkpoint, then jobs to throttle, then jobs to
// stop. Only urgent jobs throttle or stop others. Standard jobs that are due preempt only deferrable jobs that can checkpoint,
// since these lose no work.
func (p *Planner) evictionOn(w *worker, beneficiary *job, need platform.Resources) (eviction, bool) {
	e := eviction{worker: w}
	available := add(w.availability().free, w.releasing)
	tasks := make([]*job, 0, len(w.tasks))
	for t := range w.tasks {
		if t.state == running && classRank(t.Class) > classRank(beneficiary.Class) {
			tasks = append(tasks, t)
		}
	}
	slices.SortFunc(tasks, compareVictims)
	evictBy := func(by method, freedBy func(*job) (platform.Resources, bool)) {
		for _, t := range tasks {
			if fits(need, available) {
				return
			}
			freed, ok := freedBy(t)
			if !ok || !helps(freed, need, available) {
				continue
			}
			available = add(available, freed)
			e.add(t, by)
		}
	}
	throttleGain := func(t *job) platform.Resources {
		return platform.Resources{MilliCores: t.need.MilliCores - p.throttledCores(t.need.MilliCores)}
	}
	evictBy(byCheckpoint, func(t *job) (platform.Resources, bool) { return t.need, t.Checkpoints && !t.nonRepeatable() })
	if !beneficiary.urgent() {
		return e, fits(need, available)
	}
	evictBy(byThrottle, func(t *job) (platform.Resources, bool) {
		return throttleGain(t), t.percent == 100 && t.confirmed && !e.has(t, byCheckpoint)
	})
	evictBy(byStop, func(t *job) (platform.Resources, bool) {
		if e.has(t, byThrottle) {
			return sub(t.need, throttleGain(t)), !t.nonRepeatable()
		}
		return t.need, !t.nonRepeatable() && !e.has(t, byCheckpoint)
	})
	return e, fits(need, available)
}

// add selects a job for preemption; for a job that is already selected it replaces the method.
func (e *eviction) add(j *job, by method) {
	e.costliest = by
	for i := range e.victims {
		if e.victims[i].job == j {
			e.victims[i].by = by
			return
		}
	}
	e.victims = append(e.victims, victim{job: j, by: by})
	if j.Class == declaration.Standard {
		e.standardVictims++
	}
}

func (e *eviction) has(j *job, by method) bool {
	return slices.Contains(e.victims, victim{job: j, by: by})
}

// helps reports whether freed reduces the difference between need and available in some dimension.
func helps(freed, need, available platform.Resources) bool {
	lack := sub(need, available)
	return (lack.MilliCores > 0 && freed.MilliCores > 0) ||
		(lack.MemoryBytes > 0 && freed.MemoryBytes > 0) ||
		(lack.Accelerators > 0 && freed.Accelerators > 0)
}

// compareVictims orders candidates for preemption: least urgent class first, then least often preempted, then largest.
func compareVictims(a, b *job) int {
	return cmp.Or(
		-cmp.Compare(classRank(a.Class), classRank(b.Class)),
		cmp.Compare(a.preemptions, b.preemptions),
		-cmp.Compare(a.need.MilliCores, b.need.MilliCores),
		compareStrings(a.ID, b.ID),
	)
}

func (p *Planner) evict(v victim, beneficiary *job) {
	j := v.job
	w := j.worker
	detail := fmt.Sprintf("%s: job %s needs %s", RulePreempted, beneficiary.ID, Format(beneficiary.need))
	j.preemptions++
	switch v.by {
	case byCheckpoint:
		p.beginEviction(j)
		p.emit(Checkpoint{Job: j.ID, Worker: w.ID, Beneficiary: beneficiary.ID, Detail: detail})
	case byThrottle:
		j.fullMilliCores = j.need.MilliCores
		p.resize(j, p.throttledCores(j.need.MilliCores)-j.need.MilliCores, p.settings.ThrottlePercent)
		p.emit(Throttle{Job: j.ID, Worker: w.ID, Percent: p.settings.ThrottlePercent, Beneficiary: beneficiary.ID, Detail: detail})
	case byStop:
		p.beginEviction(j)
		j.stopOrdered = true
		p.emit(Stop{Job: j.ID, Worker: w.ID, Beneficiary: beneficiary.ID, Detail: detail})
	}
}

// beginEviction marks a running job as evicting and its reservation as about to be released.
func (p *Planner) beginEviction(j *job) {
	w := j.worker
	w.reclaimable = sub(w.reclaimable, p.reclaim(j))
	w.releasing = add(w.releasing, j.need)
	j.state = evicting
	j.evictingSince = p.now
	p.evicting[j] = true
	p.refresh(w)
}

// startPending starts the pending jobs of a worker whose capacity has become free.
func (p *Planner) startPending(w *worker) {
	if w.assigned == (platform.Resources{}) {
		return
	}
	var pendingJobs []*job
	for j := range w.tasks {
		if j.state == pending {
			pendingJobs = append(pendingJobs, j)
		}
	}
	slices.SortFunc(pendingJobs, func(a, b *job) int { return compareStrings(a.ID, b.ID) })
	for _, j := range pendingJobs {
		if w.Closed || !fits(j.need, w.unreserved()) {
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
