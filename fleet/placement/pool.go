package placement

import (
	"slices"
	"strings"
	"time"

	"verbenalanding.example/fleet/platform"
)

func compareStrings(a, b string) int { return strings.Compare(a, b) }

type rack struct {
	key      string
	capacity platform.Resources
	urgent   int
}

type worker struct {
	Worker
	pool  *pool
	rack  *rack
	leaf  int
	tasks map[*job]bool
	// reserved is the capacity that running and evicting jobs reserve, assigned what pending jobs will reserve, and releasing
	// what evicting jobs will free.
	reserved  platform.Resources
	assigned  platform.Resources
	releasing platform.Resources
	// reclaimable is the capacity that an urgent job can free by preempting running jobs.
	reclaimable platform.Resources
	// excess is the observed usage above the reservations.
	excess platform.Resources
	// heldFor is the aged job for which the worker is kept free, or nil.
	heldFor *job
	// avoidUntil is when urgent jobs may use the worker again after it failed to end preempted tasks.
	avoidUntil time.Time
}

func (w *worker) unreserved() platform.Resources {
	return sub(sub(w.Capacity, w.reserved), w.excess)
}

func (w *worker) availability() availability {
	if w.Closed || w.Probe {
		none := platform.Resources{MilliCores: -1, MemoryBytes: -1, Accelerators: -1}
		return availability{free: none, withPreemption: none}
	}
	free := sub(w.unreserved(), w.assigned)
	return availability{free: free, withPreemption: add(add(free, w.releasing), w.reclaimable)}
}

// pool holds the workers and waiting jobs of one pool.
type pool struct {
	name    string
	workers map[string]*worker
	leaves  []*worker
	tree    tree
	// stale means that workers were added, changed or removed since the tree was built.
	stale    bool
	racks    map[string]*rack
	capacity platform.Resources
	// largest is the maximum capacity of a worker in each dimension; it does not shrink when workers go down.
	largest platform.Resources
	// shapes holds the largest distinct capacities of the workers added so far; a job that fits none of them can never run.
	shapes []platform.Resources
	groups map[groupKey]*group
	// nonRepeatableUse is the capacity that non-urgent, non-repeatable jobs reserve.
	nonRepeatableUse platform.Resources
	agedUse          platform.Resources
	kindRunning      map[string]int
	throttled        map[*job]bool
	urgentDemand     platform.Resources
	urgentPeak       decayingPeak
	// recentPeak is like urgentPeak but decays within a minute; its unused part is kept free of other jobs.
	recentPeak decayingPeak
	// reserved is the sum of all reservations on the pool's workers.
	reserved platform.Resources
	// cursor is the leaf at which the next search for an urgent job, or for jobs to preempt, starts.
	cursor      int
	heldWorkers int
	// oldest is, of the jobs past their wait limit that fitted no worker in this step, the one that was due first.
	oldest      *job
	oldestNeed  platform.Resources
	lastPlanned time.Time
	// agedSearched is when blocked groups were last searched for aged jobs.
	agedSearched time.Time
}

func (p *Planner) pool(name string) *pool {
	po := p.pools[name]
	if po == nil {
		po = &pool{
			name: name, workers: map[string]*worker{}, racks: map[string]*rack{},
			groups: map[groupKey]*group{}, kindRunning: map[string]int{}, throttled: map[*job]bool{},
		}
		p.pools[name] = po
	}
	return po
}

func (p *Planner) workerUp(n Worker) {
	w := p.workers[n.ID]
	if w != nil && w.Pool != n.Pool {
		p.workerDown(n.ID)
		w = nil
	}
	if w == nil {
		p.addWorker(n)
		return
	}
	if w.Worker == n {
		return
	}
	w.Worker = n
	w.pool.stale = true
	w.pool.addShape(n.Capacity)
	p.touch(w.pool)
}

func (p *Planner) addWorker(n Worker) *worker {
	po := p.pool(n.Pool)
	w := &worker{Worker: n, pool: po, tasks: map[*job]bool{}, leaf: -1}
	p.workers[n.ID] = w
	po.workers[n.ID] = w
	po.stale = true
	po.addShape(n.Capacity)
	p.touch(po)
	return w
}

func (p *Planner) workerDown(id string) {
	w := p.workers[id]
	if w == nil {
		return
	}
	w.Closed = true
	for j := range w.tasks {
		switch {
		case j.state == pending:
			p.unassign(j)
			p.enqueue(j)
		default:
			// The job counts against its team's quota until the caller reports its outcome.
			p.detach(j)
		}
	}
	if w.heldFor != nil {
		w.heldFor.releaseHold()
	}
	delete(p.workers, id)
	delete(w.pool.workers, id)
	w.pool.stale = true
	p.touch(w.pool)
}

func (po *pool) addShape(c platform.Resources) {
	po.largest = maximum(po.largest, c)
	for i, s := range po.shapes {
		if fits(c, s) {
			return
		}
		if fits(s, c) {
			po.shapes[i] = c
			return
		}
	}
	if c != (platform.Resources{}) {
		po.shapes = append(po.shapes, c)
	}
}

// canEverFit reports whether any worker added so far is large enough.
func (po *pool) canEverFit(need platform.Resources) bool {
	return len(po.shapes) == 0 || slices.ContainsFunc(po.shapes, func(s platform.Resources) bool { return fits(need, s) })
}

// rebuild builds the tree and orders its leaves so that neighbours are in different data centres and racks.
func (po *pool) rebuild() {
	po.stale = false
	po.capacity = platform.Resources{}
	clear(po.racks)
	byRack := map[string][]*worker{}
	for _, w := range po.workers {
		key := w.Location.DataCentre + "/" + w.Location.Rack
		byRack[key] = append(byRack[key], w)
	}
	keys := make([]string, 0, len(byRack))
	for k, ws := range byRack {
		keys = append(keys, k)
		slices.SortFunc(ws, func(a, b *worker) int { return compareStrings(a.ID, b.ID) })
		r := &rack{key: k}
		for _, w := range ws {
			w.rack = r
			if !w.Closed {
				r.capacity = add(r.capacity, w.Capacity)
			}
			for j := range w.tasks {
				if j.urgent() {
					r.urgent++
				}
			}
		}
		po.capacity = add(po.capacity, r.capacity)
		po.racks[k] = r
	}
	slices.Sort(keys)
	po.leaves = po.leaves[:0]
	for round := 0; len(po.leaves) < len(po.workers); round++ {
		for _, k := range interleave(keys) {
			if round < len(byRack[k]) {
				po.leaves = append(po.leaves, byRack[k][round])
			}
		}
	}
	po.tree.reset(len(po.leaves))
	for i, w := range po.leaves {
		w.leaf = i
		po.tree.fill(i, w.availability())
	}
	po.tree.build()
}

// interleave reorders sorted rack keys so that data centres alternate.
func interleave(keys []string) []string {
	var groups [][]string
	last := ""
	for _, k := range keys {
		centre, _, _ := strings.Cut(k, "/")
		if centre != last || len(groups) == 0 {
			groups = append(groups, nil)
			last = centre
		}
		groups[len(groups)-1] = append(groups[len(groups)-1], k)
	}
	ordered := make([]string, 0, len(keys))
	for i := 0; len(ordered) < len(keys); i++ {
		for _, g := range groups {
			if i < len(g) {
				ordered = append(ordered, g[i])
			}
		}
	}
	return ordered
}

// refresh updates the tree after a change of a worker's reservations.
func (p *Planner) refresh(w *worker) {
	p.touch(w.pool)
	if !w.pool.stale && w.leaf >= 0 {
		w.pool.tree.set(w.leaf, w.availability())
	}
}

// assign reserves j.need on the worker and charges it to the team's quota. A throttle does not reduce the charge, since
// lifting it could otherwise take the team above its quota.
func (p *Planner) assign(j *job, w *worker, s jobState) {
	p.leaveQueue(j)
	j.worker, j.state, j.since = w, s, p.now
	w.tasks[j] = true
	j.charged = j.need
	p.team(j.Team).used = add(p.team(j.Team).used, j.charged)
	po := w.pool
	po.kindRunning[j.Kind]++
	po.reserved = add(po.reserved, j.need)
	if j.urgent() {
		po.urgentDemand = add(po.urgentDemand, j.need)
		if w.rack != nil {
			w.rack.urgent++
		}
	} else if j.nonRepeatable() {
		po.nonRepeatableUse = add(po.nonRepeatableUse, j.need)
	}
	if j.aged {
		po.agedUse = add(po.agedUse, j.need)
	}
	if s == pending {
		p.pending[j] = true
		w.assigned = add(w.assigned, j.need)
	} else {
		w.reserved = add(w.reserved, j.need)
		w.reclaimable = add(w.reclaimable, p.reclaim(j))
	}
	p.refresh(w)
}

// unassign is the reverse of assign.
func (p *Planner) unassign(j *job) {
	t := p.team(j.Team)
	t.used = sub(t.used, j.charged)
	if j.worker == nil {
		return
	}
	p.detach(j)
}

// detach removes a job from its worker without changing the charge to the team's quota.
func (p *Planner) detach(j *job) {
	w := j.worker
	po := w.pool
	delete(w.tasks, j)
	po.kindRunning[j.Kind]--
	po.reserved = sub(po.reserved, j.need)
	if j.urgent() {
		po.urgentDemand = sub(po.urgentDemand, j.need)
		if w.rack != nil {
			w.rack.urgent--
		}
	} else if j.nonRepeatable() {
		po.nonRepeatableUse = sub(po.nonRepeatableUse, j.need)
	}
	switch j.state {
	case pending:
		w.assigned = sub(w.assigned, j.need)
	case evicting:
		w.releasing = sub(w.releasing, j.need)
		w.reserved = sub(w.reserved, j.need)
	default:
		w.reserved = sub(w.reserved, j.need)
		w.reclaimable = sub(w.reclaimable, p.reclaim(j))
	}
	w.excess = sub(w.excess, j.excess)
	j.excess = platform.Resources{}
	if j.aged {
		po.agedUse = sub(po.agedUse, j.need)
	}
	delete(po.throttled, j)
	delete(p.pending, j)
	delete(p.evicting, j)
	j.worker = nil
	p.refresh(w)
	p.startPending(w)
}

// reclaim returns the capacity that an urgent job can free by preempting j.
func (p *Planner) reclaim(j *job) platform.Resources {
	switch {
	case j.urgent() || j.state == evicting:
		return platform.Resources{}
	case !j.nonRepeatable():
		return j.need
	case j.percent == 100 && j.confirmed:
		return platform.Resources{MilliCores: j.need.MilliCores - p.throttledCores(j.need.MilliCores)}
	}
	return platform.Resources{}
}

func (p *Planner) throttledCores(milliCores int64) int64 {
	return milliCores * int64(p.settings.ThrottlePercent) / 100
}
