package dispatch

import (
	"maps"
	"slices"

	"verbenalanding.example/fleet/workload"
)

// copier copies what the parts of a pool refer to, each part once.
type copier struct {
	accounts map[*account]*account
	workers  map[*worker]*worker
	jobs     map[*job]*job
	states   map[*stepState]*stepState
	tasks    map[*task]*task
	runs     map[*run]*run
}

// copy returns a pool in the same state that shares nothing with this one that either of them changes: a plan of the copy has no effect on this one. The
// copy reports no events. Shared are the contents of jobs, labels and settings, which are only ever replaced, and jobs that have ended and have neither
// runs nor tasks, which a plan does not change.
func (p *Pool) copy() *Pool {
	c := &copier{
		accounts: map[*account]*account{}, workers: map[*worker]*worker{}, jobs: map[*job]*job{}, states: map[*stepState]*stepState{},
		tasks: map[*task]*task{}, runs: map[*run]*run{},
	}
	d := *p
	d.OnEvent, d.OnFirstStart, d.OnMetered = nil, nil, nil
	d.usage, d.index, d.sortedByID, d.outlook = nil, nil, nil, nil
	d.indexBuffer, d.candidateBuffer, d.sortedBuffer, d.keyBuffer, d.otherKeyBuffer, d.priorityBuffer, d.pathBuffer = nil, nil, nil, nil, nil, nil, nil
	d.queues = maps.Clone(p.queues)
	d.workspaces = copyValues(p.workspaces, copyOf)
	d.accounts = copyValues(p.accounts, c.account)
	d.limited = copyAll(p.limited, c.account)
	d.workers = copyValues(p.workers, c.worker)
	d.orphaned = copyValues(p.orphaned, func(o orphans) orphans { return orphans{c.worker(o.worker), slices.Clone(o.tasks)} })
	d.ended, d.endConfirmed, d.departed = maps.Clone(p.ended), maps.Clone(p.endConfirmed), maps.Clone(p.departed)
	d.active, d.unmetered = copyAll(p.active, c.job), copyAll(p.unmetered, c.job)
	d.dirty = copyValues(p.dirty, c.job)
	d.stops = copyAll(p.stops, c.run)
	d.endedRuns = copyAll(p.endedRuns, func(r endedRun) endedRun { return endedRun{c.run(r.run), r.reason, r.seenAt} })
	d.jobs = copyValues(p.jobs, c.listed)
	d.refusals, d.absentJobs = maps.Clone(p.refusals), maps.Clone(p.absentJobs)
	d.means, d.runTimes, d.queueWork = copyValues(p.means, copyOf), copyValues(p.runTimes, copyOf), copyValues(p.queueWork, copyOf)
	d.runRatios, d.withinStep = copyValues(p.runRatios, (*runRatios).copy), copyValues(p.withinStep, (*runRatios).copy)
	d.reservations, d.toReserve = copyAll(p.reservations, c.reservation), c.task(p.toReserve)
	d.tickets = copyValues(p.tickets, func(s *ticketSet) *ticketSet {
		return &ticketSet{tickets: maps.Clone(s.tickets), until: s.until, requestedAt: s.requestedAt, denied: maps.Clone(s.denied)}
	})
	d.handedOverLeases, d.reportedBefore, d.liveWorkers = maps.Clone(p.handedOverLeases), maps.Clone(p.reportedBefore), maps.Clone(p.liveWorkers)
	d.handedOver = copyTasks(p.handedOver)
	d.inheritedUnresponsive, d.recordedUnresponsive = copyTasks(p.inheritedUnresponsive), copyTasks(p.recordedUnresponsive)
	d.inheritedKnown, d.recordedKnown = maps.Clone(p.inheritedKnown), maps.Clone(p.recordedKnown)
	d.actions, d.backlog = slices.Clone(p.actions), maps.Clone(p.backlog)
	return &d
}

func copyOf[T any](v *T) *T {
	w := *v
	return &w
}

// copyValues returns a map with copies of the values; nil for nil.
func copyValues[M ~map[K]V, K comparable, V any](m M, copied func(V) V) M {
	if m == nil {
		return nil
	}
	n := make(M, len(m))
	for k, v := range m {
		n[k] = copied(v)
	}
	return n
}

// copyAll returns a list of copies; nil for nil.
func copyAll[V any](list []V, copied func(V) V) []V {
	if list == nil {
		return nil
	}
	n := make([]V, len(list))
	for i, v := range list {
		n[i] = copied(v)
	}
	return n
}

func copyTasks(t TasksByWorker) TasksByWorker { return copyValues(t, slices.Clone[[]workload.TaskID]) }

func (r *runRatios) copy() *runRatios {
	s := copyOf(r)
	s.sorted = slices.Clone(r.sorted)
	return s
}

func (c *copier) reservation(r *reservation) *reservation {
	s := copyOf(r)
	s.step, s.task = c.state(r.step), c.task(r.task)
	s.places = copyAll(r.places, func(pl place) place { return place{c.worker(pl.worker), pl.need} })
	return s
}

func (c *copier) account(a *account) *account {
	if b := c.accounts[a]; b != nil || a == nil {
		return b
	}
	c.accounts[a] = copyOf(a)
	return c.accounts[a]
}

func (c *copier) worker(w *worker) *worker {
	if v := c.workers[w]; v != nil || w == nil {
		return v
	}
	v := copyOf(w)
	c.workers[w] = v
	v.runs, v.unknownTasks = copyValues(w.runs, c.run), maps.Clone(w.unknownTasks)
	return v
}

func (c *copier) run(x *run) *run {
	if y := c.runs[x]; y != nil || x == nil {
		return y
	}
	y := copyOf(x)
	c.runs[x] = y
	y.task, y.worker = c.task(x.task), c.worker(x.worker)
	return y
}

func (c *copier) task(t *task) *task {
	if u := c.tasks[t]; u != nil || t == nil {
		return u
	}
	u := copyOf(t)
	c.tasks[t] = u
	u.job, u.state = c.job(t.job), c.state(t.state)
	u.failedRuns, u.failedOn, u.runs = slices.Clone(t.failedRuns), slices.Clone(t.failedOn), copyAll(t.runs, c.run)
	return u
}

// state copies the state of a step whose occurrence is not open any more.
func (c *copier) state(st *stepState) *stepState {
	if v := c.states[st]; v != nil || st == nil {
		return v
	}
	v := copyOf(st)
	c.states[st] = v
	v.separate()
	v.tasks = copyAll(st.tasks, c.task)
	return v
}

func (c *copier) job(j *job) *job {
	if k := c.jobs[j]; k != nil || j == nil {
		return k
	}
	k := copyOf(j)
	c.jobs[j] = k
	k.account = c.account(j.account)
	if j.first != nil {
		k.first = copyOf(j.first)
		k.first.causes = maps.Clone(j.first.causes)
	}
	k.schedule.done = slices.Clone(j.schedule.done)
	k.schedule.open = copyAll(j.schedule.open, c.occurrence)
	// Tasks lead to those of other occurrences, so that the states of all of them are known before the first task is copied.
	for i, oc := range j.schedule.open {
		for s := range oc.steps {
			k.schedule.open[i].steps[s].tasks = copyAll(oc.steps[s].tasks, c.task)
		}
	}
	return k
}

// separate gives the copy of a step lists of its own, and drops the learned run times that the step has found: a plan finds those of its own pool.
func (st *stepState) separate() {
	st.after, st.ratio, st.runTime = slices.Clone(st.after), nil, nil
}

// occurrence copies an occurrence without its tasks, which refer to the elements of the list of steps.
func (c *copier) occurrence(oc *occurrence) *occurrence {
	n := copyOf(oc)
	n.steps = slices.Clone(oc.steps)
	for s := range oc.steps {
		n.steps[s].separate()
		c.states[&oc.steps[s]] = &n.steps[s]
	}
	return n
}

// listed copies a job unless it has ended and nothing refers to it; a pool keeps ended jobs for minutes, and there are many of them.
func (c *copier) listed(j *job) *job {
	if k := c.jobs[j]; k != nil {
		return k
	}
	if j.state.Terminal() && j.schedule.open == nil {
		return j
	}
	return c.job(j)
}
