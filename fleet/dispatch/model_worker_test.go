package dispatch_test

import (
	"fmt"
	"slices"
	"time"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/workload"
)

// modelWorker is a worker of the platform, with its own clock and lease.
type modelWorker struct {
	id           string
	incarnation  int64
	started      time.Time
	fence        uint64
	leaseEnd     time.Duration
	runs         map[workload.TaskID]int
	ended        []modelEnd
	lastEnd      int64
	lastRun      map[workload.TaskID]int
	disconnected bool
	// unregistered workers go on running without a registration; backAt is when one that lapsed during a store failure is registered
	// again.
	unregistered bool
	backAt       time.Time
	// joined is the store's revision at which the worker was first registered.
	joined uint64
	// departed workers have ended; they may restart under their id later.
	departed bool
}

type modelEnd struct {
	workload.EndedRun
	at     time.Time
	lapsed bool
}

// lateStart is an unanswered start that may be carried out later.
type lateStart struct {
	order dispatch.Start
	fence uint64
	at    time.Time
	// incarnation is the incarnation of the worker that the start was sent to.
	incarnation int64
}

// join adds a worker under a new id; holders learn of it by its registration.
func (m *model) join(started time.Time) {
	m.revision++
	m.workers = append(m.workers, &modelWorker{
		id: fmt.Sprintf("w%d", len(m.workers)), incarnation: 1, started: started, joined: m.revision, runs: map[workload.TaskID]int{}, lastRun: map[workload.TaskID]int{},
	})
}

func (m *model) clock(w *modelWorker) time.Duration {
	return time.Duration(modelRate * float64(m.now.Sub(w.started)))
}

// reading returns what each answer of a worker tells of it.
func (m *model) reading(w *modelWorker) workload.ClockReading {
	return workload.ClockReading{Incarnation: w.incarnation, Clock: m.clock(w)}
}

// accepts reports whether a worker obeys an order with a fencing token.
func (w *modelWorker) accepts(fence uint64) bool {
	return !w.disconnected && !w.departed && fence >= w.fence
}

// extendLease extends a worker's lease, by at most the longest one: a time on an earlier incarnation's clock may be far ahead of its own.
func (m *model) extendLease(w *modelWorker, until time.Duration) {
	w.leaseEnd = max(w.leaseEnd, min(until, m.clock(w)+modelMaxLease))
}

// register reports a worker's registration to a holder, or that it is gone.
func (m *model) register(h *holder, w *modelWorker) {
	switch {
	case w.unregistered:
		m.t.Logf("%v: holder %d learns that %s is not registered", m.now.Sub(epoch), h.fence, w.id)
		h.pool.WorkerDeregistered(w.id, m.now)
	case without("lost-holders-hear-joins") && h != m.current && w.joined > h.successor:
	default:
		m.t.Logf("%v: holder %d learns of the registration of %s, incarnation %d", m.now.Sub(epoch), h.fence, w.id, w.incarnation)
		h.pool.SetWorker(workload.Worker{
			ID: w.id, Pool: "cutting", Rack: "r", Capacity: workload.Resources{CPU: modelCPU, MemoryMB: 1000}, Incarnation: w.incarnation,
		}, m.now)
	}
}

// lapseRegistrations ends the registrations of some workers that go on running, as during a store failure; they are registered again later.
func (m *model) lapseRegistrations() {
	which := m.t.pick("lapsed", 1, 1<<len(m.workers)-1)
	for i, w := range m.workers {
		if which&(1<<i) != 0 && !w.unregistered {
			w.unregistered, w.backAt = true, m.now.Add(time.Duration(m.t.pick("back", 10, 2000))*time.Millisecond)
		}
	}
}

// observeRegistration reports a change of one registration to a holder that has the first list.
func (m *model) observeRegistration(h *holder, w *modelWorker) {
	if h.registered {
		m.register(h, w)
	}
}

// registerAll reports all registrations to a holder. The first list counts only once the duty is confirmed by a read that was sent after
// the list had arrived.
func (m *model) registerAll(h *holder) {
	if !h.registered && h != m.current {
		m.learnLoss(h)
		return
	}
	for _, w := range m.workers {
		m.register(h, w)
	}
	if !h.registered {
		h.registered = true
		h.pool.RegistrationsListed()
	}
}

// setRegistered ends or creates a worker's registration.
func (m *model) setRegistered(w *modelWorker, registered bool) {
	w.unregistered, w.backAt = !registered, time.Time{}
}

// endLeases ends a worker's runs once its lease has ended.
func (m *model) endLeases(w *modelWorker) {
	if m.clock(w) <= w.leaseEnd {
		return
	}
	for i := range w.ended {
		w.ended[i].lapsed = true
	}
	for _, id := range sortedTasks(w.runs) {
		m.end(w, id, workload.EndExpired)
		w.ended[len(w.ended)-1].lapsed = true
	}
}

func sortedTasks(runs map[workload.TaskID]int) []workload.TaskID {
	ids := make([]workload.TaskID, 0, len(runs))
	for id := range runs {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b workload.TaskID) int {
		return slices.Compare([]string{a.Job, fmt.Sprint(a.Step, a.Index)}, []string{b.Job, fmt.Sprint(b.Step, b.Index)})
	})
	return ids
}

func (m *model) worker(id string) *modelWorker {
	for _, w := range m.workers {
		if w.id == id {
			return w
		}
	}
	m.t.Fatalf("order for worker %s: got an unknown worker", id)
	return nil
}

// carryOut executes a start on the worker; it checks the invariants.
func (m *model) carryOut(s dispatch.Start, fence uint64) dispatch.StartAnswer {
	w := m.worker(s.Worker.ID)
	if fence < w.fence || s.LeaseEnd < m.clock(w) || s.Run <= w.lastRun[s.Task] {
		return dispatch.Refused
	}
	reported := w.fence == fence && fence == m.current.fence && s.Worker.Incarnation == w.incarnation
	w.fence = fence
	m.extendLease(w, s.LeaseEnd)
	used := int64(0)
	for id := range w.runs {
		used += m.specs[id.Job].Steps[id.Step].Need.CPU
	}
	step := m.specs[s.Task.Job].Steps[s.Task.Step]
	if used+step.Need.CPU > modelCPU {
		if reported {
			m.t.Fatalf("%v starts on %s: %d of %d are in use, and the worker has reported all its runs to the holder", s.Task, w.id, used, modelCPU)
		}
		return dispatch.RefusedCapacity
	}
	present := 0
	for _, other := range m.workers {
		if run, ok := other.runs[s.Task]; ok {
			if present++; !step.Speculative || present > 1 {
				m.t.Fatalf("%v starts as run %d on %s: run %d is on %s", s.Task, s.Run, w.id, run, other.id)
			}
		}
	}
	m.secondRuns += present
	if m.acknowledged[s.Task] && !m.mayStartLate(s.Task, fence) {
		m.t.Fatalf("%v starts: its end was acknowledged", s.Task)
	}
	if m.failures[s.Task] >= queue.MaxAttempts && !m.mayStartLate(s.Task, fence) {
		m.t.Fatalf("%v starts: %d runs have failed, at most %d", s.Task, m.failures[s.Task], queue.MaxAttempts)
	}
	// The users' bound on cancelling is 3 s; it does not apply to a partitioned holder that has not learned of its loss.
	if at, ok := m.cancelKnown[s.Task.Job]; ok && fence == m.current.fence && m.now.Sub(at) > 3*time.Second {
		m.t.Fatalf("%v starts: its holder learned %v ago that its job is cancelled", s.Task, m.now.Sub(at))
	}
	siblings := 0
	for id := range w.runs {
		if id.Job == s.Task.Job && id.Step == s.Task.Step {
			siblings++
		}
	}
	if step.MaxPerWorker > 0 && siblings >= step.MaxPerWorker {
		m.t.Fatalf("%v starts on %s: %d tasks of its step are there", s.Task, w.id, siblings)
	}
	for _, before := range step.After {
		for i := range m.specs[s.Task.Job].Steps[before].Tasks {
			if !m.wasDone(workload.TaskID{Job: s.Task.Job, Step: before, Index: i}) {
				m.t.Fatalf("%v starts: task %d of step %d is not done", s.Task, i, before)
			}
		}
	}
	m.t.Logf("%v: %s, incarnation %d, starts %v as run %d of holder %d", m.now.Sub(epoch), w.id, w.incarnation, s.Task, s.Run, fence)
	w.lastRun[s.Task], w.runs[s.Task] = s.Run, s.Run
	m.lastStart[s.Task] = m.now
	return dispatch.Present
}

// mayStartLate reports whether a task may start although its end, or its last failure, is acknowledged: with two runs a holder learns of the end of
// one while the start of the other is on its way. The users' bound for that is 1 s; it applies to neither lost holders nor late starts.
func (m *model) mayStartLate(t workload.TaskID, fence uint64) bool {
	return m.specs[t.Job].Steps[t.Step].Speculative && (m.carriesOutLate || fence != m.current.fence || m.now.Sub(m.acknowledgedAt[t]) <= time.Second)
}

func (m *model) wasDone(id workload.TaskID) bool {
	if m.acknowledged[id] {
		return true
	}
	for _, w := range m.workers {
		for _, e := range w.ended {
			if e.Task == id && e.How == workload.EndDone {
				return true
			}
		}
	}
	return m.doneLost[id]
}

func (m *model) end(w *modelWorker, id workload.TaskID, how workload.RunEnd) {
	run := w.runs[id]
	delete(w.runs, id)
	w.lastEnd++
	w.ended = append(w.ended, modelEnd{EndedRun: workload.EndedRun{Number: w.lastEnd, Task: id, Run: run, How: how}, at: m.now})
}

// report sends a hold that the worker answers with its report; the answer may be lost.
func (m *model) report(h *holder, w *modelWorker) {
	hold := h.pool.NextHold(w.id, m.now)
	if !hold.Known || !w.accepts(h.fence) {
		return
	}
	w.fence = h.fence
	m.extendLease(w, hold.LeaseEnd)
	if hold.Worker.Incarnation == w.incarnation {
		m.acknowledge(w, hold.Acknowledged)
	}
	r := workload.Report{Incarnation: w.incarnation, Clock: m.clock(w)}
	for _, e := range w.ended[:min(len(w.ended), modelMaxEnds)] {
		r.Ended = append(r.Ended, e.EndedRun)
	}
	r.Partial = len(w.ended) > modelMaxEnds
	percent := 50
	if m.faultsEnded {
		percent = int(m.now.Sub(epoch)/recoveryStep) % 100
	}
	for _, id := range sortedTasks(w.runs) {
		r.Active = append(r.Active, workload.ActiveRun{Task: id, Run: w.runs[id], Percent: percent})
	}
	if m.t.pick("hold", 0, 7) == 0 {
		return
	}
	m.t.Logf("%v: holder %d receives the report of %s, incarnation %d: %v, ended %v", m.now.Sub(epoch), h.fence, w.id, w.incarnation, r.Active, r.Ended)
	h.pool.Report(w.id, r, m.now)
}

func (m *model) acknowledge(w *modelWorker, until int64) {
	left := w.ended[:0]
	for _, e := range w.ended {
		if e.Number > until {
			left = append(left, e)
			continue
		}
		if e.How == workload.EndFailed && !e.lapsed {
			m.failures[e.Task]++
			m.acknowledgedAt[e.Task] = m.now
		}
		if e.How == workload.EndDone {
			m.doneLost[e.Task] = true
		}
		if e.How == workload.EndDone && !e.lapsed {
			if m.lastStart[e.Task].After(e.at) && !m.specs[e.Task.Job].Steps[e.Task.Step].Speculative {
				m.t.Fatalf("%v was started again after the run that was done, and its end is acknowledged", e.Task)
			}
			m.acknowledged[e.Task], m.acknowledgedAt[e.Task] = true, m.now
		}
	}
	w.ended = left
}

// restart begins a new incarnation of a worker under its id, without any state of the previous one; the holder learns of it by a report
// or by its registration.
func (m *model) restart(w *modelWorker) {
	m.dropState(w)
	w.incarnation++
	if w.departed {
		w.departed = false
		m.setRegistered(w, true)
	}
	m.t.Logf("%v: %s restarts as incarnation %d", m.now.Sub(epoch), w.id, w.incarnation)
	w.started, w.fence, w.leaseEnd, w.lastEnd = m.now, 0, 0, 0
	clear(w.lastRun)
}

// depart ends a worker; its registration ends later.
func (m *model) depart(w *modelWorker) {
	m.dropState(w)
	w.departed = true
	m.t.Logf("%v: %s has left", m.now.Sub(epoch), w.id)
}

// dropState removes the runs of a worker and the ends that it lists.
func (m *model) dropState(w *modelWorker) {
	for _, e := range w.ended {
		if e.How == workload.EndDone {
			m.doneLost[e.Task] = true
		}
	}
	w.ended = nil
	clear(w.runs)
}

func (m *model) drawWorker() *modelWorker {
	return m.workers[m.t.pick("worker", 0, len(m.workers)-1)]
}

// endOne ends a run as done or failed.
func (m *model) endOne() {
	w := m.drawWorker()
	ids := sortedTasks(w.runs)
	if len(ids) == 0 {
		return
	}
	how := workload.EndDone
	if m.t.pick("fails", 0, 1) == 1 {
		how = workload.EndFailed
	}
	m.end(w, ids[m.t.pick("run", 0, len(ids)-1)], how)
}
