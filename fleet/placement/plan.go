package placement

import (
	"container/heap"
	"fmt"
	"slices"

	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/platform"
)

// maxCandidates is the number of feasible workers compared for one job. In trials, a larger number took more time without
// improving placements.
const maxCandidates = 8

// plan runs one planning step for a pool: it places the waiting jobs.
func (p *Planner) plan(po *pool) {
	po.lastPlanned = p.now
	if po.stale {
		po.rebuild()
	}
	po.updatePeaks(p.now)
	po.oldest = nil
	heads := p.eligibleHeads(po)
	p.probe(po, heads)
	heap.Init(&heads)
	for len(heads) > 0 {
		e := heap.Pop(&heads).(rankedHead)
		g := e.q.group
		if e.head.state == waiting && !p.place(po, e) {
			continue
		}
		if p.starts >= p.settings.MaxStarts {
			p.touch(po)
			break
		}
		if next, ok := p.nextHead(po, g); ok {
			heap.Push(&heads, next)
		}
	}
	if po.oldest != nil && po.oldest.state == waiting {
		p.hold(po, po.oldest, po.oldestNeed)
	}
	p.liftThrottles(po)
}

// eligibleHeads returns the first job of every group that may start now and removes empty groups.
func (p *Planner) eligibleHeads(po *pool) headHeap {
	searchAged := p.now.Sub(po.agedSearched) >= p.settings.ReplanEvery
	if searchAged {
		po.agedSearched = p.now
	}
	heads := make(headHeap, 0, len(po.groups))
	for key, g := range po.groups {
		g.heads = g.heads[:0]
		if !searchAged && g.rule == RuleNoCapacity && !p.mayHaveCapacity(po, g) {
			continue
		}
		p.collectHeads(po, g)
		if len(g.heads) == 0 {
			delete(po.groups, key)
			continue
		}
		heads = append(heads, g.heads[0])
	}
	slices.SortFunc(heads, rankedHead.compare)
	return heads
}

// mayHaveCapacity reports whether some worker may have enough capacity for the jobs of a group. The size is estimated again,
// since the learned size of a kind can change between steps.
func (p *Planner) mayHaveCapacity(po *pool, g *group) bool {
	need, _ := p.estimate(Job{Kind: g.key.kind, Declared: g.key.declared})
	best := po.tree.nodes[1]
	return fits(need, best.free) || (g.key.class == declaration.Urgent && fits(need, best.withPreemption))
}

// collectHeads fills g.heads with the first jobs of the group's teams in order.
func (p *Planner) collectHeads(po *pool, g *group) {
	g.need, g.learned = p.estimate(Job{Kind: g.key.kind, Declared: g.key.declared})
	g.refresh()
	for _, s := range g.slots {
		g.heads = append(g.heads, p.rankHead(po, g, s))
	}
	heap.Init(&g.heads)
}

// nextHead replaces the first head of a group, once it has been placed or removed, by the next job of its queue, and returns
// the new first head of the group.
func (p *Planner) nextHead(po *pool, g *group) (rankedHead, bool) {
	for len(g.heads) > 0 {
		first := g.heads[0]
		next := first.q.head()
		switch next {
		case first.head:
			return first, true
		case nil:
			heap.Pop(&g.heads)
		default:
			g.heads[0] = p.rankHead(po, g, first.q.slotOf(next))
			heap.Fix(&g.heads, 0)
		}
	}
	return rankedHead{}, false
}

// rankHead computes the sort keys of the first job of a queue.
func (p *Planner) rankHead(po *pool, g *group, s slot) rankedHead {
	class := g.key.class
	e := rankedHead{slot: s, rank: 2 * classRank(class)}
	if class == declaration.Urgent {
		return e
	}
	e.pastLimit = p.now.UnixNano()-s.submitted > int64(p.waitLimit(class))
	switch {
	case e.pastLimit && p.agedShareLeft(po):
		// Aged jobs of all classes are ordered by due time. Ordered by class, an overload of standard jobs would starve
		// deferrable jobs of the share.
		e.aged, e.rank = true, 0
	case s.due > p.now.UnixNano():
		e.rank++
		e.quotaUse = quotaUse(s.team)
	}
	return e
}

// agedShareLeft reports whether aged jobs may still go ahead of urgent ones.
func (p *Planner) agedShareLeft(po *pool) bool {
	limit := po.capacity.MilliCores * int64(p.settings.AgedShare) / 100
	return po.agedUse.MilliCores < limit
}

// place tries to place one job, or else emits the reason why the job waits or can never run. It returns whether the job's
// group may continue with its next job in this step.
func (p *Planner) place(po *pool, e rankedHead) bool {
	j, g := e.head, e.q.group
	if rule, detail := p.impossible(po, j, g.need, g.learned); rule != "" {
		p.remove(j)
		p.emit(Impossible{Job: j.ID, Rule: rule, Detail: detail})
		return true
	}
	if t := e.q.team; !fits(add(t.used, g.need), t.quota.Granted) {
		t.shortage = maximum(t.shortage, g.need)
		p.wait(j, RuleQuota, func() string {
			return fmt.Sprintf("needs %s; team %s uses %s of %s", Format(g.need), j.Team, Format(t.used), Format(t.quota.Granted))
		})
		// The other teams of the group may continue.
		heap.Pop(&g.heads)
		return true
	}
	if rule, detail := p.mustWait(po, j, g.need, e.aged); rule != "" {
		g.rule = rule
		p.wait(j, rule, detail)
		return false
	}
	if p.assignWorker(po, e) {
		g.rule = ""
		return true
	}
	if e.pastLimit && (po.oldest == nil || j.due.Before(po.oldest.due)) {
		po.oldest, po.oldestNeed = j, g.need
	}
	g.rule = RuleNoCapacity
	p.wait(j, RuleNoCapacity, func() string { return "no worker has " + Format(g.need) + " free" })
	return false
}

// assignWorker assigns a job to a worker with enough free capacity or, if the job may preempt others, to one on which it
// preempts jobs. Urgent jobs use a worker that is held for an aged job only if no other worker fits.
func (p *Planner) assignWorker(po *pool, e rankedHead) bool {
	j, g := e.head, e.q.group
	preempts := j.urgent() || (j.Class == declaration.Standard && !j.due.After(p.now))
	for _, allowHeld := range []bool{false, true} {
		if w := p.choose(po, j, g.need, allowHeld); w != nil {
			j.aged = e.aged
			p.start(j, w, g.need, g.learned)
			return true
		}
		if preempts && p.preempt(po, j, g.need, allowHeld) {
			return true
		}
		if po.heldWorkers == 0 || !j.urgent() {
			break
		}
	}
	return false
}

func (p *Planner) impossible(po *pool, j *job, need platform.Resources, learned bool) (Rule, string) {
	t, ok := p.teams[j.Team]
	if !ok || t.quota.Total == (platform.Resources{}) {
		return RuleUnknownTeam, "team " + j.Team + " has no quota"
	}
	if !po.canEverFit(need) {
		rule := RuleTooLarge
		if learned {
			rule = RuleLearnedSizeTooLarge
		}
		return rule, fmt.Sprintf("needs %s; the largest worker of pool %s has %s", Format(need), po.name, Format(po.largest))
	}
	if !fits(need, t.quota.Total) {
		return RuleAboveQuota, fmt.Sprintf("needs %s; the quota of team %s is %s", Format(need), j.Team, Format(t.quota.Total))
	}
	return "", ""
}

// mustWait returns the rule, other than a lack of capacity or quota, that keeps a job from starting, and a function that
// renders its details.
func (p *Planner) mustWait(po *pool, j *job, need platform.Resources, aged bool) (Rule, func() string) {
	switch {
	case len(po.workers) == 0:
		return RuleNoWorkers, func() string { return "pool " + po.name + " has no live worker" }
	case p.suspects[j.Kind] && po.kindRunning[j.Kind] > 0:
		return RuleSuspect, func() string {
			return "jobs of kind " + j.Kind + " fail on many workers; one runs at a time"
		}
	case !j.urgent() && !aged && j.due.After(p.now) && !po.leavesUrgentHeadroom(need):
		return RuleUrgentReserve, func() string {
			return fmt.Sprintf("urgent jobs needed up to %s in the last minute and use %s; the difference stays free", Format(po.recentPeak.amount), Format(po.urgentDemand))
		}
	case !j.urgent() && j.nonRepeatable() && !aged && !po.leavesUrgentCapacity(need):
		return RuleUrgentReserve, func() string {
			return fmt.Sprintf("jobs that cannot be preempted use %s; %s stay reachable for urgent jobs after the loss of a rack",
				Format(po.nonRepeatableUse), Format(po.urgentPeak.amount))
		}
	}
	return "", nil
}

// wait emits a Wait action when the rule of a job changes; the details are rendered only then.
func (p *Planner) wait(j *job, rule Rule, detail func() string) {
	if j.rule == rule {
		return
	}
	j.rule = rule
	p.emit(Wait{Job: j.ID, Rule: rule, Detail: detail()})
}

func (p *Planner) start(j *job, w *worker, need platform.Resources, learned bool) {
	j.releaseHold()
	p.commit(j, w, need, running)
	source := "declared size "
	if learned {
		source = "learned size "
	}
	p.emit(Start{
		Job: j.ID, Worker: w.ID, Reserved: need, Rule: RuleFits,
		Detail: source + Format(need) + "; worker " + w.ID + " has " + Format(w.unreserved()) + " left",
	})
}

// commit removes a job from its queue and reserves need for it on the worker.
func (p *Planner) commit(j *job, w *worker, need platform.Resources, s jobState) {
	p.leaveQueue(j)
	j.need = need
	j.state = inactive
	j.rule = ""
	p.starts++
	p.assign(j, w, s)
}

// probe places one repeatable, non-urgent job on each idle worker with Probe set, if such a job waits.
func (p *Planner) probe(po *pool, heads headHeap) {
	for _, w := range po.leaves {
		if !w.Probe || w.Closed || len(w.tasks) > 0 {
			continue
		}
		for _, e := range heads {
			j := e.head
			if j.state != waiting || j.urgent() || j.nonRepeatable() || p.suspects[j.Kind] || !w.usable(j, p.now, false) {
				continue
			}
			g := e.q.group
			if rule, _ := p.impossible(po, j, g.need, g.learned); rule != "" || !fits(add(e.q.team.used, g.need), e.q.team.quota.Granted) {
				continue
			}
			if rule, _ := p.mustWait(po, j, g.need, false); rule == "" && fits(g.need, w.unreserved()) {
				p.start(j, w, g.need, g.learned)
				break
			}
		}
	}
}

// hold keeps one worker free for the job that has been due longest: no other non-urgent job starts there until it fits. At
// most a tenth of a pool's workers, but at least one, is held; a job that was due earlier takes the place of the job that was
// due last.
func (p *Planner) hold(po *pool, j *job, need platform.Resources) {
	if j.heldWorker != nil {
		return
	}
	if po.heldWorkers >= max(1, len(po.leaves)/10) {
		var last *job
		for _, w := range po.leaves {
			if w.heldFor != nil && (last == nil || w.heldFor.due.After(last.due)) {
				last = w.heldFor
			}
		}
		if last == nil || !last.due.After(j.due) {
			return
		}
		last.releaseHold()
	}
	var best *worker
	for _, w := range po.leaves {
		if w.heldFor != nil || w.Closed || w.Probe || !fits(need, w.Capacity) {
			continue
		}
		if best == nil || len(w.tasks) < len(best.tasks) {
			best = w
		}
	}
	if best != nil {
		best.heldFor = j
		j.heldWorker = best
		po.heldWorkers++
	}
}

// liftThrottles lifts the throttles of jobs whose full reservation fits again.
func (p *Planner) liftThrottles(po *pool) {
	for _, j := range sortedByID(po.throttled) {
		w := j.worker
		regained := j.fullMilliCores - j.need.MilliCores
		if j.state != running || w.assigned != (platform.Resources{}) || regained > w.unreserved().MilliCores {
			continue
		}
		p.resize(j, regained, 100)
		p.emit(Throttle{Job: j.ID, Worker: w.ID, Percent: 100, Detail: string(RuleThrottleLifted)})
	}
}

// resize changes the CPU reservation of a running job by milliCores.
func (p *Planner) resize(j *job, milliCores int64, percent int) {
	w := j.worker
	w.reclaimable = sub(w.reclaimable, p.reclaim(j))
	change := platform.Resources{MilliCores: milliCores}
	j.need = add(j.need, change)
	j.percent = percent
	w.pool.throttled[j] = true
	if percent == 100 {
		delete(w.pool.throttled, j)
	}
	w.reserved = add(w.reserved, change)
	w.pool.reserved = add(w.pool.reserved, change)
	w.reclaimable = add(w.reclaimable, p.reclaim(j))
	if j.nonRepeatable() {
		w.pool.nonRepeatableUse = add(w.pool.nonRepeatableUse, change)
	}
	if j.aged {
		w.pool.agedUse = add(w.pool.agedUse, change)
	}
	p.refresh(w)
}
