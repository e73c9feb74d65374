package dispatch_test

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"time"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/workload"
)

// modelWithout excludes parts of the model, so that manual runs get past known faults.
var modelWithout = flag.String("model.without", "", "parts that the model leaves out: lost-holders-hear-jobs, lost-holders-hear-joins")

// without reports whether a part of the model is left out.
func without(part string) bool { return slices.Contains(strings.Split(*modelWithout, ","), part) }

// source makes the choices of a model and receives its failures.
type source interface {
	// pick returns a number from low to high, both included.
	pick(name string, low, high int) int
	Fatalf(format string, args ...any)
	// Logf logs what happens; the log is shown for a history that violates an invariant.
	Logf(format string, args ...any)
}

// model simulates holders and workers with the choices of its source and checks the invariants.
type model struct {
	t   source
	now time.Time
	// revision is the store's revision; fencing tokens are revisions.
	revision uint64
	// faultsEnded is true once no more faults occur.
	faultsEnded bool
	// current is the holder of the duty; lost are previous holders that have not learned of their loss yet, and whose writes have no
	// effect.
	current *holder
	lost    []*holder
	// previousFence is the fencing token of the holder before the current one, or 0.
	previousFence uint64
	workers       []*modelWorker
	late          []lateStart
	// The records in the store: jobs, with the revision at which each was stored, their progress, unresponsive workers, and the handover.
	specs        map[string]workload.Job
	stored       map[string]uint64
	records      map[string]dispatch.Record
	unresponsive dispatch.TasksByWorker
	handover     *storedHandover
	// unwatched are the jobs that no watch reports for a long time.
	unwatched map[string]bool
	// cancelled are the jobs that their callers have cancelled, cancelKnown is when a holder of the duty first learned of it.
	cancelled    map[string]bool
	cancelKnown  map[string]time.Time
	acknowledged map[workload.TaskID]bool
	// acknowledgedAt is when the end of a task was acknowledged, or its last failure.
	acknowledgedAt map[workload.TaskID]time.Time
	// carriesOutLate is true while a worker carries out a start of earlier.
	carriesOutLate bool
	// secondRuns counts the starts of tasks that had a run.
	secondRuns int
	lastStart  map[workload.TaskID]time.Time
	failures   map[workload.TaskID]int
	// doneLost are the tasks with a successful run that is no longer listed.
	doneLost map[workload.TaskID]bool
}

const (
	modelWorkers = 3
	// modelMaxWorkers bounds the workers of one history.
	modelMaxWorkers = 5
	modelCPU        = 4000
	modelRate       = 0.985
	// modelMaxLease is the longest lease that a worker grants, modelMaxEnds how many ends it lists at a time.
	modelMaxLease = 6 * time.Second
	modelMaxEnds  = 2
	// modelSettleTime is longer than the time for which runs of a lost holder may be present.
	modelSettleTime = 10 * time.Second
	// modelWatchDelay is the delay after which a watch reports a job, modelLateWatchDelay the delay for an unwatched one: much longer than
	// runs of a lost holder may be present.
	modelWatchDelay     = 2900 * time.Millisecond
	modelLateWatchDelay = 20 * time.Second
	// lostHolderTime is how long a lost holder goes on; it is shorter than the bound that a new holder assumes.
	lostHolderTime = 2300 * time.Millisecond
)

func newModel(t source, workers int) *model {
	m := &model{
		t: t, now: epoch, specs: map[string]workload.Job{}, stored: map[string]uint64{}, records: map[string]dispatch.Record{},
		unwatched: map[string]bool{}, cancelled: map[string]bool{}, cancelKnown: map[string]time.Time{}, acknowledged: map[workload.TaskID]bool{}, acknowledgedAt: map[workload.TaskID]time.Time{}, lastStart: map[workload.TaskID]time.Time{},
		failures: map[workload.TaskID]int{}, doneLost: map[workload.TaskID]bool{},
	}
	for range workers {
		m.join(epoch.Add(-time.Hour))
	}
	m.takeOver()
	m.begin(m.current)
	m.registerAll(m.current)
	return m
}

func (m *model) advance(d time.Duration) {
	m.now = m.now.Add(d)
	for _, w := range m.workers {
		m.endLeases(w)
		if !w.backAt.IsZero() && !m.now.Before(w.backAt) {
			m.setRegistered(w, !w.departed)
		}
	}
	left := m.late[:0]
	for _, l := range m.late {
		if m.now.Before(l.at) {
			left = append(left, l)
			continue
		}
		// A start that is carried out late ends with the incarnation that it was sent to.
		if w := m.worker(l.order.Worker.ID); l.incarnation == w.incarnation && !w.departed {
			m.carriesOutLate = true
			m.carryOut(l.order, l.fence)
			m.carriesOutLate = false
		}
	}
	m.late = left
}

// act simulates a step of a holder: it reads registrations, jobs and machines, receives the reports of some workers, records the
// unresponsive ones and plans.
func (m *model) act(h *holder) {
	if !h.loaded && !m.load(h) {
		return
	}
	m.watch(h)
	if h != m.current && m.now.After(h.until) {
		return
	}
	m.confirm(h)
	m.learnJobs(h, m.now.Add(-modelWatchDelay))
	m.readMachines(h)
	reports := m.t.pick("reports", 0, 1<<len(m.workers)-1)
	for i, w := range m.workers {
		if reports&(1<<i) != 0 {
			m.report(h, w)
		}
	}
	m.readUnknownJobs(h)
	m.recordUnresponsive(h)
	m.plan(h)
}

// lostAct simulates a step of the lost holders that have not learned of their loss. They cannot write records, but acknowledge ends that
// change no record.
func (m *model) lostAct() {
	m.removeEndedHolders()
	for _, h := range m.lost {
		m.act(h)
		if batch := h.pool.Batch(); len(batch.Changes) == 0 {
			h.pool.BatchRecorded(batch)
		}
	}
}

// tick simulates n short steps of reports and plans.
func (m *model) tick(n int) {
	for range n {
		m.advance(100 * time.Millisecond)
		m.act(m.current)
		m.lostAct()
	}
}

func (m *model) plan(h *holder) {
	actions := h.pool.Plan(m.now)
	if err := h.pool.CheckCounts(); err != nil {
		m.t.Fatalf("counts of the pool: %v", err)
	}
	for _, a := range actions {
		switch a := a.(type) {
		case dispatch.Start:
			m.start(h, a)
		case dispatch.Stop:
			m.stop(h, a)
		case dispatch.Pace, dispatch.AdviceRequest:
		}
	}
}

// stop delivers a stop to a worker, or loses the order or its answer.
func (m *model) stop(h *holder, a dispatch.Stop) {
	w := m.worker(a.Worker.ID)
	outcome := m.t.pick("stop", 0, 4)
	if !w.accepts(h.fence) || outcome == 0 {
		return
	}
	w.fence = h.fence
	w.lastRun[a.Task] = max(w.lastRun[a.Task], a.Run)
	if run, ok := w.runs[a.Task]; ok && run == a.Run {
		m.end(w, a.Task, workload.EndStopped)
	}
	if outcome != 1 {
		h.pool.StopAnswered(a, m.reading(w), m.now)
	}
}

func (m *model) start(h *holder, s dispatch.Start) {
	w := m.worker(s.Worker.ID)
	outcome := m.t.pick("outcome", 0, 9)
	m.t.Logf("%v: holder %d orders %v as run %d on %s, incarnation %d", m.now.Sub(epoch), h.fence, s.Task, s.Run, w.id, s.Worker.Incarnation)
	switch {
	case w.disconnected || w.departed || outcome == 0:
		h.pool.StartAnswered(s, dispatch.Unanswered, workload.ClockReading{}, m.now)
	case h != m.current && s.Worker.Incarnation != w.incarnation:
		// Holders could not guard against this start; docs/platform.md assumes that a new incarnation refuses orders for an earlier one.
		// For the current holder the model does not rely on that.
		h.pool.StartAnswered(s, dispatch.Refused, workload.ClockReading{}, m.now)
	case outcome == 1:
		m.late = append(m.late, lateStart{s, h.fence, m.now.Add(time.Duration(m.t.pick("late", 500, 9000)) * time.Millisecond), w.incarnation})
		h.pool.StartAnswered(s, dispatch.Unanswered, workload.ClockReading{}, m.now)
	case outcome == 2:
		m.carryOut(s, h.fence)
		h.pool.StartAnswered(s, dispatch.Unanswered, workload.ClockReading{}, m.now)
	default:
		h.pool.StartAnswered(s, m.carryOut(s, h.fence), m.reading(w), m.now)
	}
}

// addJob stores a job of random steps.
func (m *model) addJob() {
	id := fmt.Sprintf("j%d", len(m.specs))
	j := workload.Job{ID: id, Queue: queue.Name, Pool: "cutting", Terms: queue, Accepted: m.now}
	for s := range m.t.pick("steps", 1, 2) {
		step := workload.Step{
			Tasks: m.t.pick("tasks", 1, 3), Need: workload.Resources{CPU: int64(m.t.pick("cpu", 1, 4)) * 1000},
			Estimate: time.Second, MaxPerWorker: m.t.pick("spread", 0, 1),
		}
		if s > 0 {
			step.After = []int{s - 1}
		}
		j.Steps = append(j.Steps, step)
	}
	m.store(j)
}

// addSpeculativeJob stores a job whose tasks may have two runs at a time.
func (m *model) addSpeculativeJob() {
	m.store(workload.Job{
		ID: fmt.Sprintf("j%d", len(m.specs)), Queue: queue.Name, Pool: "cutting", Terms: queue, Accepted: m.now,
		Steps: []workload.Step{{Tasks: 3, Need: workload.Resources{CPU: 1000}, Estimate: time.Second, Speculative: true}},
	})
}

// store accepts a job, through a node that knows the holder of the duty or only the one before. Each holder learns of it immediately, or later
// by its watch.
func (m *model) store(j workload.Job) {
	j.Fence = m.previousFence
	if m.t.pick("fence", 0, 1) == 1 {
		j.Fence = m.current.fence
	}
	m.revision++
	m.specs[j.ID], m.stored[j.ID] = j, m.revision
	m.unwatched[j.ID] = m.t.pick("watched", 0, 3) == 0
	for _, h := range m.holders() {
		if m.t.pick("announced", 0, 2) != 0 {
			m.learnJob(h, j.ID)
		}
	}
}

// learnJob lets a holder learn of a stored job.
func (m *model) learnJob(h *holder, id string) {
	if without("lost-holders-hear-jobs") && h != m.current && m.stored[id] > h.successor {
		return
	}
	// Jobs stored before the duty was acquired come with the list of jobs and their records.
	if h.loaded || m.stored[id] > h.fence {
		h.pool.AddJob(m.specs[id], nil, m.stored[id] < h.fence, m.now)
	}
}

// cancel stores a caller's cancellation of a job. Each holder learns of it immediately, or later by its watch.
func (m *model) cancel() {
	if len(m.specs) == 0 {
		return
	}
	id := fmt.Sprintf("j%d", m.t.pick("job", 0, len(m.specs)-1))
	m.cancelled[id] = true
	for _, h := range m.holders() {
		if m.t.pick("announced", 0, 2) != 0 {
			m.learnCancel(h, id)
		}
	}
}

func (m *model) learnCancel(h *holder, id string) {
	known := h.pool.Cancel(id, m.now)
	if _, before := m.cancelKnown[id]; known && !before && h == m.current {
		m.cancelKnown[id] = m.now
	}
}
