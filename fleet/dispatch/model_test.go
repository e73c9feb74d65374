package dispatch_test

import (
	"fmt"
	"slices"
	"time"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/workload"
)

// modelWorker is a worker as the platform has it, with its own clock and lease.
type modelWorker struct {
	id       string
	born     int64
	started  time.Time
	fence    uint64
	leaseEnd time.Duration
	runs     map[workload.TaskID]int
	ended    []modelEnd
	number   int64
	least    map[workload.TaskID]int
	cut      bool
	// unregistered workers live on though their registration is gone.
	unregistered bool
}

type modelEnd struct {
	workload.EndedRun
	at     time.Time
	lapsed bool
}

// lateStart is a start without answer that may be carried out later.
type lateStart struct {
	order dispatch.Start
	fence uint64
	at    time.Time
	// born is the life of the worker that the start was sent to.
	born int64
}

// source makes the choices of a model and takes its failures.
type source interface {
	// pick returns a number between low and high, both included.
	pick(name string, low, high int) int
	Fatalf(format string, args ...any)
}

// model drives holders and workers as its source chooses and keeps the oracle's books.
type model struct {
	t     source
	now   time.Time
	fence uint64
	pool  *dispatch.Pool
	// old is the holder before, which does not know yet that it lost the duty; its writes have no effect.
	old      *dispatch.Pool
	oldFence uint64
	oldUntil time.Time
	// newest is the fence of the present holder.
	newest  uint64
	workers []*modelWorker
	late    []lateStart
	specs   map[string]workload.Job
	records map[string]dispatch.Record
	// seals is the store's record of silent workers.
	seals dispatch.Seals
	// cancelled holds when a job's cancelling was told to the holder.
	cancelled map[string]time.Time
	noted     map[workload.TaskID]bool
	lastStart map[workload.TaskID]time.Time
	failures  map[workload.TaskID]int
	// doneLost are the tasks of which a run was done that is not listed any more.
	doneLost map[workload.TaskID]bool
}

const (
	modelWorkers = 3
	modelCPU     = 4000
	modelRate    = 0.985
	// oldHolderGoesOn is shorter than the bound that a new holder counts with.
	oldHolderGoesOn = 2300 * time.Millisecond
)

func newModel(t source, workers int) *model {
	m := &model{
		t: t, now: epoch, specs: map[string]workload.Job{}, records: map[string]dispatch.Record{}, cancelled: map[string]time.Time{},
		noted: map[workload.TaskID]bool{}, lastStart: map[workload.TaskID]time.Time{}, failures: map[workload.TaskID]int{},
		doneLost: map[workload.TaskID]bool{},
	}
	for i := range workers {
		m.workers = append(m.workers, &modelWorker{id: fmt.Sprintf("w%d", i), born: 1, started: epoch.Add(-time.Hour), runs: map[workload.TaskID]int{}, least: map[workload.TaskID]int{}})
	}
	m.takeOver()
	return m
}

func (m *model) clock(w *modelWorker) time.Duration {
	return time.Duration(modelRate * float64(m.now.Sub(w.started)))
}

// takeOver begins a new holder from what the store has.
func (m *model) takeOver() {
	m.old, m.oldFence, m.oldUntil = m.pool, m.fence, m.now.Add(oldHolderGoesOn)
	m.fence += 100
	m.newest = m.fence
	m.pool = &dispatch.Pool{Name: "cutting", Epoch: m.fence, AwaitList: true}
	m.pool.Begin(m.now)
	m.pool.SetQueues([]workload.Queue{queue})
	if m.seals != nil {
		m.pool.Inherit(m.seals)
	}
	ids := make([]string, 0, len(m.specs))
	for id := range m.specs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		var record *dispatch.Record
		if r, ok := m.records[id]; ok {
			record = &r
		}
		m.pool.AddJob(m.specs[id], record, true, m.now)
		if _, ok := m.cancelled[id]; ok {
			m.pool.Cancel(id, m.now)
		}
	}
	var living []string
	for _, w := range m.workers {
		living = append(living, w.id)
		m.register(w)
	}
	m.pool.Expect(living)
}

func (m *model) register(w *modelWorker) {
	if !w.unregistered {
		m.pool.SetWorker(workload.Worker{ID: w.id, Pool: "cutting", Rack: "r", Room: workload.Room{CPU: modelCPU, MemoryMB: 1000}, Born: w.born}, m.now)
	}
}

func (m *model) pass(d time.Duration) {
	m.now = m.now.Add(d)
	for _, w := range m.workers {
		if m.clock(w) <= w.leaseEnd {
			continue
		}
		for i := range w.ended {
			w.ended[i].lapsed = true
		}
		for _, id := range sortedTasks(w.runs) {
			m.end(w, id, workload.EndLapsed)
			w.ended[len(w.ended)-1].lapsed = true
		}
	}
	left := m.late[:0]
	for _, l := range m.late {
		if m.now.Before(l.at) {
			left = append(left, l)
			continue
		}
		// A start that is carried out late ends with the life that it was sent to.
		if l.born == m.worker(l.order.Worker.ID).born {
			m.carryOut(l.order, l.fence)
		}
	}
	m.late = left
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

// carryOut is a start at the worker; it checks the oracle's rules.
func (m *model) carryOut(s dispatch.Start, fence uint64) dispatch.Answer {
	w := m.worker(s.Worker.ID)
	if fence < w.fence || s.LeaseEnd < m.clock(w) || s.Run <= w.least[s.Task] {
		return dispatch.Refused
	}
	w.fence = fence
	w.leaseEnd = max(w.leaseEnd, s.LeaseEnd)
	used := int64(0)
	for id := range w.runs {
		used += m.specs[id.Job].Steps[id.Step].Need.CPU
	}
	step := m.specs[s.Task.Job].Steps[s.Task.Step]
	if used+step.Need.CPU > modelCPU {
		return dispatch.RefusedRoom
	}
	for _, other := range m.workers {
		if run, ok := other.runs[s.Task]; ok {
			m.t.Fatalf("%v starts as run %d on %s: run %d is on %s", s.Task, s.Run, w.id, run, other.id)
		}
	}
	if m.noted[s.Task] {
		m.t.Fatalf("%v starts: its end was acknowledged", s.Task)
	}
	if m.failures[s.Task] >= queue.MaxAttempts {
		m.t.Fatalf("%v starts: %d runs have failed, at most %d", s.Task, m.failures[s.Task], queue.MaxAttempts)
	}
	// The users' bound on cancelling is 3 s; a holder that is cut off and does not know of its loss is not bound by it.
	if at, ok := m.cancelled[s.Task.Job]; ok && fence == m.newest && m.now.Sub(at) > 3*time.Second {
		m.t.Fatalf("%v starts: its job was cancelled %v ago", s.Task, m.now.Sub(at))
	}
	same := 0
	for id := range w.runs {
		if id.Job == s.Task.Job && id.Step == s.Task.Step {
			same++
		}
	}
	if step.MaxPerWorker > 0 && same >= step.MaxPerWorker {
		m.t.Fatalf("%v starts on %s: %d tasks of its step are there", s.Task, w.id, same)
	}
	for _, before := range step.After {
		for i := range m.specs[s.Task.Job].Steps[before].Tasks {
			if !m.wasDone(workload.TaskID{Job: s.Task.Job, Step: before, Index: i}) {
				m.t.Fatalf("%v starts: task %d of step %d is not done", s.Task, i, before)
			}
		}
	}
	w.least[s.Task], w.runs[s.Task] = s.Run, s.Run
	m.lastStart[s.Task] = m.now
	return dispatch.Present
}

func (m *model) wasDone(id workload.TaskID) bool {
	if m.noted[id] {
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
	w.number++
	w.ended = append(w.ended, modelEnd{EndedRun: workload.EndedRun{Number: w.number, Task: id, Run: run, How: how}, at: m.now})
}

func (m *model) report(w *modelWorker) {
	h := m.pool.NextHold(w.id, m.now)
	if !h.Known || w.cut || m.fence < w.fence {
		return
	}
	w.fence = m.fence
	w.leaseEnd = max(w.leaseEnd, h.LeaseEnd)
	if h.Worker.Born == w.born {
		m.acknowledge(w, h.Acknowledged)
	}
	r := workload.Report{Born: w.born, Clock: m.clock(w)}
	for _, e := range w.ended {
		r.Ended = append(r.Ended, e.EndedRun)
	}
	for _, id := range sortedTasks(w.runs) {
		r.Active = append(r.Active, workload.ActiveRun{Task: id, Run: w.runs[id], Percent: 50})
	}
	m.pool.Report(w.id, r, m.now)
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
		}
		if e.How == workload.EndDone {
			m.doneLost[e.Task] = true
		}
		if e.How == workload.EndDone && !e.lapsed {
			if m.lastStart[e.Task].After(e.at) {
				m.t.Fatalf("%v was started again after the run that was done, and its end is acknowledged", e.Task)
			}
			m.noted[e.Task] = true
		}
	}
	w.ended = left
}

func (m *model) plan() {
	for _, a := range m.pool.Plan(m.now) {
		switch a := a.(type) {
		case dispatch.Start:
			m.start(a)
		case dispatch.Stop:
			m.stop(a)
		case dispatch.Pace, dispatch.Ask:
		}
	}
}

// stop has a worker take a stop, or loses the order or its answer.
func (m *model) stop(a dispatch.Stop) {
	w := m.worker(a.Worker.ID)
	fate := m.t.pick("stop", 0, 4)
	if w.cut || m.fence < w.fence || fate == 0 {
		return
	}
	w.fence = m.fence
	w.least[a.Task] = max(w.least[a.Task], a.Run)
	if run, ok := w.runs[a.Task]; ok && run == a.Run {
		m.end(w, a.Task, workload.EndStopped)
	}
	if fate != 1 {
		m.pool.StopAnswered(a, m.clock(w))
	}
}

func (m *model) start(s dispatch.Start) {
	w := m.worker(s.Worker.ID)
	fate := m.t.pick("fate", 0, 9)
	switch {
	case w.cut || fate == 0:
		m.pool.StartAnswered(s, dispatch.Unknown, 0, m.now)
	case fate == 1:
		m.late = append(m.late, lateStart{s, m.fence, m.now.Add(time.Duration(m.t.pick("late", 500, 9000)) * time.Millisecond), w.born})
		m.pool.StartAnswered(s, dispatch.Unknown, 0, m.now)
	case fate == 2:
		m.carryOut(s, m.fence)
		m.pool.StartAnswered(s, dispatch.Unknown, 0, m.now)
	default:
		m.pool.StartAnswered(s, m.carryOut(s, m.fence), m.clock(w), m.now)
	}
}

// record writes what is due, or loses the answer, or the write.
func (m *model) record() {
	batch := m.pool.Batch()
	switch m.t.pick("write", 0, 3) {
	case 0:
		return
	case 1:
		m.keep(batch)
	default:
		m.keep(batch)
		m.pool.Recorded(batch)
	}
}

// seal records silent workers, or loses the answer, or the write; only the present holder's writes take effect.
func (m *model) seal() {
	seals, changed := m.pool.Seals(m.now)
	if !changed || m.fence != m.newest {
		return
	}
	switch m.t.pick("seal", 0, 3) {
	case 0:
		return
	case 1:
		m.seals = seals
	default:
		m.seals = seals
		m.pool.Sealed(seals)
	}
}

func (m *model) keep(b dispatch.Batch) {
	for _, c := range b.Changes {
		m.records[c.Job] = c.Record
	}
}

func (m *model) addJob() {
	id := fmt.Sprintf("j%d", len(m.specs))
	j := workload.Job{ID: id, Queue: queue.Name, Pool: "cutting", Terms: queue, Accepted: m.now}
	for s := range m.t.pick("steps", 1, 2) {
		step := workload.Step{
			Tasks: m.t.pick("tasks", 1, 3), Need: workload.Room{CPU: int64(m.t.pick("cpu", 1, 4)) * 1000},
			Estimate: time.Second, MaxPerWorker: m.t.pick("spread", 0, 1),
		}
		if s > 0 {
			step.After = []int{s - 1}
		}
		j.Steps = append(j.Steps, step)
	}
	m.specs[id] = j
	m.pool.AddJob(j, nil, false, m.now)
}

// restart begins a new life of a worker under its id, which knows nothing of before; the holder hears of it by a report or by its
// registration.
func (m *model) restart(w *modelWorker) {
	for _, e := range w.ended {
		if e.How == workload.EndDone {
			m.doneLost[e.Task] = true
		}
	}
	w.born++
	w.started, w.fence, w.leaseEnd, w.number, w.ended = m.now, 0, 0, 0, nil
	clear(w.runs)
	clear(w.least)
}

func (m *model) draw() *modelWorker {
	return m.workers[m.t.pick("worker", 0, len(m.workers)-1)]
}

// tick lets reports and plans go on for some short steps.
func (m *model) tick(n int) {
	for range n {
		m.pass(100 * time.Millisecond)
		m.act()
		m.oldActs()
	}
}

// oldActs lets the holder before act, which does not know yet that it lost the duty.
func (m *model) oldActs() {
	if m.old == nil || m.now.After(m.oldUntil) {
		return
	}
	pool, fence := m.pool, m.fence
	m.pool, m.fence = m.old, m.oldFence
	m.act()
	m.pool, m.fence = pool, fence
}

// act lets the holder hear some of the workers and plan.
func (m *model) act() {
	heard := m.t.pick("heard", 0, 1<<len(m.workers)-1)
	for i, w := range m.workers {
		if heard&(1<<i) != 0 {
			m.report(w)
		}
	}
	m.seal()
	m.plan()
}

func (m *model) endOne() {
	w := m.draw()
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
