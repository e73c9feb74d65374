package placement

import (
	"container/heap"
	"fmt"
	"slices"
	"time"

	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/platform"
)

// candidates is the number of feasible workers compared for one job; more cost time and gained nothing in trials.
const candidates = 8

// plan places the waiting jobs of a pool.
func (p *Planner) plan(po *pool) {
	po.planned = p.now
	if po.stale {
		po.rebuild()
	}
	po.trackPeaks(p.now)
	po.oldest = nil
	entrants := p.entrants(po)
	p.probe(po, entrants)
	heap.Init(&entrants)
	for len(entrants) > 0 {
		e := heap.Pop(&entrants).(entrant)
		g := e.q.group
		if e.head.state == waiting && !p.place(po, e) {
			continue
		}
		if p.starts >= p.settings.MaxStarts {
			p.touch(po)
			break
		}
		if next, ok := p.nextHead(po, g); ok {
			heap.Push(&entrants, next)
		}
	}
	if po.oldest != nil && po.oldest.state == waiting {
		p.hold(po, po.oldest, po.oldestNeed)
	}
	p.restore(po)
}

// entrants returns the first job of every group that may start now and drops the empty groups.
func (p *Planner) entrants(po *pool) entrantHeap {
	searchAged := p.now.Sub(po.agedSeen) >= p.settings.ReplanEvery
	if searchAged {
		po.agedSeen = p.now
	}
	entrants := make(entrantHeap, 0, len(po.groups))
	for key, g := range po.groups {
		g.heads = g.heads[:0]
		if !searchAged && g.rule == RuleNoRoom && !p.hasRoom(po, g) {
			continue
		}
		p.collectHeads(po, g)
		if len(g.heads) == 0 {
			delete(po.groups, key)
			continue
		}
		entrants = append(entrants, g.heads[0])
	}
	slices.SortFunc(entrants, entrant.compare)
	return entrants
}

// hasRoom reports whether some worker may have the room that the jobs of a group need. A kind's size can change between
// steps, so it is estimated again.
func (p *Planner) hasRoom(po *pool, g *group) bool {
	need, _ := p.estimate(Job{Kind: g.key.kind, Declared: g.key.declared})
	best := po.tree.nodes[1]
	return fits(need, best.free) || (g.key.class == declaration.Urgent && fits(need, best.reach))
}

// collectHeads orders the first jobs of a group's teams.
func (p *Planner) collectHeads(po *pool, g *group) {
	g.need, g.learned = p.estimate(Job{Kind: g.key.kind, Declared: g.key.declared})
	g.refresh()
	for _, s := range g.slots {
		g.heads = append(g.heads, p.entrant(po, g, s))
	}
	heap.Init(&g.heads)
}

// nextHead replaces the first head of a group, which was placed or dropped, by its queue's next job and returns the
// group's best one.
func (p *Planner) nextHead(po *pool, g *group) (entrant, bool) {
	for len(g.heads) > 0 {
		first := g.heads[0]
		next := first.q.head()
		switch next {
		case first.head:
			return first, true
		case nil:
			heap.Pop(&g.heads)
		default:
			g.heads[0] = p.entrant(po, g, first.q.slotOf(next))
			heap.Fix(&g.heads, 0)
		}
	}
	return entrant{}, false
}

// entrant orders the first job of a queue among the others of the pool.
func (p *Planner) entrant(po *pool, g *group, s slot) entrant {
	class := g.key.class
	e := entrant{slot: s, rank: 2 * rank(class)}
	if class == declaration.Urgent {
		return e
	}
	e.old = p.now.UnixNano()-s.submitted > int64(p.waitLimit(class))
	switch {
	case e.old && p.agedRoom(po):
		// Aged jobs of all classes go in the order of their due times; by class, an overload of standard jobs would keep
		// deferrable ones from the share for ever.
		e.aged, e.rank = true, 0
	case s.due > p.now.UnixNano():
		e.rank++
		e.portion = portion(s.team)
	}
	return e
}

// agedRoom reports whether aged jobs may go before urgent ones.
func (p *Planner) agedRoom(po *pool) bool {
	limit := po.capacity.MilliCores * int64(p.settings.AgedShare) / 100
	return po.agedUse.MilliCores < limit
}

// place tries to place one job and says why when it cannot. It returns whether the job's group may go on with its next
// job in this step.
func (p *Planner) place(po *pool, e entrant) bool {
	j, g := e.head, e.q.group
	if rule, detail := p.impossible(po, j, g.need, g.learned); rule != "" {
		p.drop(j)
		p.emit(Impossible{Job: j.ID, Rule: rule, Detail: detail})
		return true
	}
	if t := e.q.team; !fits(add(t.used, g.need), t.quota.Granted) {
		t.short = maximum(t.short, g.need)
		p.wait(j, RuleQuota, func() string {
			return fmt.Sprintf("needs %s; team %s uses %s of %s", Format(g.need), j.Team, Format(t.used), Format(t.quota.Granted))
		})
		// The other teams of the group may go on.
		heap.Pop(&g.heads)
		return true
	}
	if rule, detail := p.mustWait(po, j, g.need, e.aged); rule != "" {
		g.rule = rule
		p.wait(j, rule, detail)
		return false
	}
	if p.find(po, e) {
		g.rule = ""
		return true
	}
	if e.old && (po.oldest == nil || j.due.Before(po.oldest.due)) {
		po.oldest, po.oldestNeed = j, g.need
	}
	g.rule = RuleNoRoom
	p.wait(j, RuleNoRoom, func() string { return "no worker has " + Format(g.need) + " free" })
	return false
}

// find gives a job a worker with room, or room by preemption. Urgent jobs use a worker that is kept for an aged job only
// when no other will do.
func (p *Planner) find(po *pool, e entrant) bool {
	j, g := e.head, e.q.group
	preempts := j.urgent() || (j.Class == declaration.Standard && !j.due.After(p.now))
	for _, held := range []bool{false, true} {
		if w := p.choose(po, j, g.need, held); w != nil {
			j.aged = e.aged
			p.start(j, w, g.need, g.learned)
			return true
		}
		if preempts && p.preempt(po, j, g.need, held) {
			return true
		}
		if po.holds == 0 || !j.urgent() {
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
			rule = RuleLearnedTooMuch
		}
		return rule, fmt.Sprintf("needs %s; the largest worker of pool %s has %s", Format(need), po.name, Format(po.largest))
	}
	if !fits(need, t.quota.Total) {
		return RuleAboveQuota, fmt.Sprintf("needs %s; the quota of team %s is %s", Format(need), j.Team, Format(t.quota.Total))
	}
	return "", ""
}

// mustWait returns the rule, apart from room and quota, that keeps a job from starting, and a function that explains it.
func (p *Planner) mustWait(po *pool, j *job, need platform.Resources, aged bool) (Rule, func() string) {
	switch {
	case len(po.workers) == 0:
		return RuleNoWorkers, func() string { return "pool " + po.name + " has no live worker" }
	case p.suspects[j.Kind] && po.kindRunning[j.Kind] > 0:
		return RuleSuspect, func() string { return "jobs of kind " + j.Kind + " fail on many workers; one runs at a time" }
	case !j.urgent() && !aged && j.due.After(p.now) && !po.leavesHeadroom(need):
		return RuleReserve, func() string {
			return fmt.Sprintf("urgent jobs needed up to %s in the last minute and use %s; the difference stays free", Format(po.recentPeak.amount), Format(po.urgentDemand))
		}
	case !j.urgent() && j.fixed() && !aged && !po.leavesUrgentRoom(need):
		return RuleReserve, func() string {
			return fmt.Sprintf("jobs that cannot be preempted use %s; %s stay reachable for urgent jobs after the loss of a rack",
				Format(po.fixedUse), Format(po.urgentPeak.amount))
		}
	}
	return "", nil
}

// leavesHeadroom reports whether the pool, when need more is taken, keeps room for urgent demand as high as in the last
// minute. Without it other jobs take the room of each urgent job that ends, and the next urgent job waits for another
// preemption.
func (po *pool) leavesHeadroom(need platform.Resources) bool {
	headroom := maximum(sub(po.recentPeak.amount, po.urgentDemand), platform.Resources{})
	free := sub(sub(po.capacity, po.reserved), headroom)
	if po.recentPeak.amount.Accelerators == 0 {
		free.Accelerators = need.Accelerators
	}
	return po.recentPeak.amount == platform.Resources{} || fits(need, free)
}

// fixedPart is the part of a pool that jobs which cannot be preempted may always use. In a pool of nine workers a rack
// holds four, and without this part a turn of urgent demand would leave such jobs nothing.
const fixedPart = 4

// leavesUrgentRoom reports whether, after the loss of the largest rack, the pool still reaches the recent peak of urgent
// demand and a quarter when need more is taken by a job that cannot be preempted.
func (po *pool) leavesUrgentRoom(need platform.Resources) bool {
	if po.urgentPeak.amount == (platform.Resources{}) || fits(add(po.fixedUse, need), scale(po.capacity, 1, fixedPart)) {
		return true
	}
	largest := platform.Resources{}
	if len(po.racks) > 1 {
		for _, r := range po.racks {
			largest = maximum(largest, r.capacity)
		}
	}
	left := sub(sub(sub(po.capacity, largest), scale(po.urgentPeak.amount, 5, 4)), po.fixedUse)
	// Dimensions that urgent jobs do not use are not kept free for them.
	if po.urgentPeak.amount.Accelerators == 0 {
		left.Accelerators = need.Accelerators
	}
	return fits(need, left)
}

// trackPeaks brings the peaks of urgent demand up to now. The longer one falls by a sixteenth a minute, so that a turn of demand
// some minutes apart finds its room kept.
func (po *pool) trackPeaks(now time.Time) {
	demand := minimum(po.urgentDemand, po.capacity)
	po.urgentPeak.track(demand, now, time.Minute, 16)
	po.recentPeak.track(demand, now, time.Second, 32)
}

// peak is the largest amount of late; it follows rises at once and falls slowly.
type peak struct {
	amount platform.Resources
	// fallen is up to when the fall is taken into account.
	fallen time.Time
}

// maxFalls bounds the work of one call after a long pause; later calls make up for the rest.
const maxFalls = 256

// track lets the peak fall by one part of several in each interval, and rise to the present amount.
func (k *peak) track(amount platform.Resources, now time.Time, every time.Duration, parts int64) {
	if k.fallen.IsZero() {
		k.fallen = now
	}
	for falls := 0; now.Sub(k.fallen) >= every && falls < maxFalls; falls++ {
		k.amount = scale(k.amount, parts-1, parts)
		k.fallen = k.fallen.Add(every)
	}
	k.amount = maximum(k.amount, amount)
}

// wait announces a rule once; the explanation is written only then.
func (p *Planner) wait(j *job, rule Rule, detail func() string) {
	if j.rule == rule {
		return
	}
	j.rule = rule
	p.emit(Wait{Job: j.ID, Rule: rule, Detail: detail()})
}

// usable reports whether the policy lets j run on w, apart from room.
func (w *worker) usable(j *job, now time.Time, held bool) bool {
	if now.Before(j.avoidUntil) && slices.Contains(j.avoid, w.ID) {
		return false
	}
	if j.urgent() {
		return !now.Before(w.avoidUntil) && (held || w.held == nil)
	}
	return w.held == nil || w.held == j
}

// choose returns a worker with free room, or nil. Urgent jobs go to the rack with the fewest urgent jobs; other jobs to
// the tightest fit, which leaves whole workers free for large jobs.
func (p *Planner) choose(po *pool, j *job, need platform.Resources, held bool) *worker {
	start := 0
	if j.urgent() && len(po.leaves) > 0 {
		start = po.cursor % len(po.leaves)
	}
	var best *worker
	found := 0
	for _, span := range [2][2]int{{start, len(po.leaves)}, {0, start}} {
		for i := po.tree.next(span[0], need, false); i >= 0 && i < span[1] && found < candidates; i = po.tree.next(i+1, need, false) {
			w := po.leaves[i]
			if !w.usable(j, p.now, held) {
				continue
			}
			found++
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

func better(j *job, a, b *worker) bool {
	if j.urgent() {
		if a.rack.urgent != b.rack.urgent {
			return a.rack.urgent < b.rack.urgent
		}
	}
	fa, fb := a.actual(), b.actual()
	// Accelerators are scarce: a job that needs none leaves the workers that have some free.
	if fa.Accelerators != fb.Accelerators {
		return fa.Accelerators < fb.Accelerators
	}
	return fa.MilliCores < fb.MilliCores
}

func (p *Planner) start(j *job, w *worker, need platform.Resources, learned bool) {
	j.unhold()
	p.commit(j, w, need, running)
	source := "declared size "
	if learned {
		source = "learned size "
	}
	p.emit(Start{
		Job: j.ID, Worker: w.ID, Reserved: need, Rule: RuleFits,
		Detail: source + Format(need) + "; worker " + w.ID + " has " + Format(w.actual()) + " left",
	})
}

// commit takes a job out of its queue and reserves room for it.
func (p *Planner) commit(j *job, w *worker, need platform.Resources, s jobState) {
	p.leaveQueue(j)
	j.need = need
	j.state = over
	j.rule = ""
	p.starts++
	p.assign(j, w, s)
}

// probe gives each worker on probation at most one repeatable job below the urgent class.
func (p *Planner) probe(po *pool, entrants entrantHeap) {
	for _, w := range po.leaves {
		if !w.Probe || w.Closed || len(w.tasks) > 0 {
			continue
		}
		for _, e := range entrants {
			j := e.head
			if j.state != waiting || j.urgent() || j.fixed() || p.suspects[j.Kind] || !w.usable(j, p.now, false) {
				continue
			}
			g := e.q.group
			if rule, _ := p.impossible(po, j, g.need, g.learned); rule != "" || !fits(add(e.q.team.used, g.need), e.q.team.quota.Granted) {
				continue
			}
			if rule, _ := p.mustWait(po, j, g.need, false); rule == "" && fits(g.need, w.actual()) {
				p.start(j, w, g.need, g.learned)
				break
			}
		}
	}
}

// hold keeps one worker free of other jobs below urgent until the job that has been due longest fits there. At most a
// tenth of a pool's workers is held, one at least; a job that was due earlier takes another's place.
func (p *Planner) hold(po *pool, j *job, need platform.Resources) {
	if j.holdOn != nil {
		return
	}
	if po.holds >= max(1, len(po.leaves)/10) {
		var last *job
		for _, w := range po.leaves {
			if w.held != nil && (last == nil || w.held.due.After(last.due)) {
				last = w.held
			}
		}
		if last == nil || !last.due.After(j.due) {
			return
		}
		last.unhold()
	}
	var best *worker
	for _, w := range po.leaves {
		if w.held != nil || w.Closed || w.Probe || !fits(need, w.Capacity) {
			continue
		}
		if best == nil || len(w.tasks) < len(best.tasks) {
			best = w
		}
	}
	if best != nil {
		best.held = j
		j.holdOn = best
		po.holds++
	}
}

// restore lifts throttles where the room for the whole reservation is back.
func (p *Planner) restore(po *pool) {
	for _, j := range sorted(po.throttled) {
		w := j.worker
		more := j.whole - j.need.MilliCores
		if j.state != running || w.assigned != (platform.Resources{}) || more > w.actual().MilliCores {
			continue
		}
		p.resize(j, more, 100)
		p.emit(Throttle{Job: j.ID, Worker: w.ID, Percent: 100, Detail: string(RuleRestored)})
	}
}

// resize changes the processors that a running job reserves.
func (p *Planner) resize(j *job, by int64, percent int) {
	w := j.worker
	w.reclaimable = sub(w.reclaimable, p.reclaim(j))
	change := platform.Resources{MilliCores: by}
	j.need = add(j.need, change)
	j.percent = percent
	w.pool.throttled[j] = true
	if percent == 100 {
		delete(w.pool.throttled, j)
	}
	w.reserved = add(w.reserved, change)
	w.pool.reserved = add(w.pool.reserved, change)
	w.reclaimable = add(w.reclaimable, p.reclaim(j))
	if j.fixed() {
		w.pool.fixedUse = add(w.pool.fixedUse, change)
	}
	if j.aged {
		w.pool.agedUse = add(w.pool.agedUse, change)
	}
	p.refresh(w)
}
