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

// modelWithout lets a run by hand go past faults that are known.
var modelWithout = flag.String("model.without", "", "parts that the model leaves out: lost-holders-hear-jobs, lost-holders-hear-joins")

// without reports whether a part of the model is left out.
func without(part string) bool { return slices.Contains(strings.Split(*modelWithout, ","), part) }

// source makes the choices of a model and takes its failures.
type source interface {
	// pick returns a number between low and high, both included.
	pick(name string, low, high int) int
	Fatalf(format string, args ...any)
	// Logf tells what happens; it is shown for a history that breaks a promise.
	Logf(format string, args ...any)
}

// model drives holders and workers as its source chooses and keeps the oracle's books.
type model struct {
	t   source
	now time.Time
	// revision is that of the store; fences are revisions.
	revision uint64
	// calm is true once nothing fails any more.
	calm bool
	// present is the holder of the duty, lost are holders before that do not know yet that they lost it; their writes have no effect.
	present *holder
	lost    []*holder
	workers []*modelWorker
	late    []lateStart
	// The store's records: of jobs, in the order in which they were stored, of their progress, of silent workers, and the handover.
	specs    map[string]workload.Job
	stored   map[string]uint64
	records  map[string]dispatch.Record
	seals    dispatch.Unresponsive
	handover *storedHandover
	// deaf are the jobs that no watch brings for a long time.
	deaf map[string]bool
	// cancelled are the jobs whose callers have cancelled them, cancelHeard is when a holder of the duty first heard of it.
	cancelled   map[string]bool
	cancelHeard map[string]time.Time
	noted       map[workload.TaskID]bool
	lastStart   map[workload.TaskID]time.Time
	failures    map[workload.TaskID]int
	// doneLost are the tasks of which a run was done that is not listed any more.
	doneLost map[workload.TaskID]bool
}

const (
	modelWorkers = 3
	// modelMost bounds the workers of one history.
	modelMost = 5
	modelCPU  = 4000
	modelRate = 0.985
	// modelMaxLease is the longest lease that a worker grants, modelEnds how many ends it lists at a time.
	modelMaxLease = 6 * time.Second
	modelEnds     = 2
	// modelSettled is longer than anything that a lost holder started may be present.
	modelSettled = 10 * time.Second
	// modelWatch is how late a watch brings a job, modelDeaf how late one that it brings much later than anything that a lost holder started
	// may be present.
	modelWatch = 2900 * time.Millisecond
	modelDeaf  = 20 * time.Second
	// oldHolderGoesOn is shorter than the bound that a new holder counts with.
	oldHolderGoesOn = 2300 * time.Millisecond
)

func newModel(t source, workers int) *model {
	m := &model{
		t: t, now: epoch, specs: map[string]workload.Job{}, stored: map[string]uint64{}, records: map[string]dispatch.Record{},
		deaf: map[string]bool{}, cancelled: map[string]bool{}, cancelHeard: map[string]time.Time{}, noted: map[workload.TaskID]bool{}, lastStart: map[workload.TaskID]time.Time{},
		failures: map[workload.TaskID]int{}, doneLost: map[workload.TaskID]bool{},
	}
	for range workers {
		m.join(epoch.Add(-time.Hour))
	}
	m.takeOver()
	m.begin(m.present)
	m.registerAll(m.present)
	return m
}

func (m *model) pass(d time.Duration) {
	m.now = m.now.Add(d)
	for _, w := range m.workers {
		m.endLeases(w)
		if !w.backAt.IsZero() && !m.now.Before(w.backAt) {
			m.setRegistered(w, !w.left)
		}
	}
	left := m.late[:0]
	for _, l := range m.late {
		if m.now.Before(l.at) {
			left = append(left, l)
			continue
		}
		// A start that is carried out late ends with the life that it was sent to.
		if w := m.worker(l.order.Worker.ID); l.born == w.born && !w.left {
			m.carryOut(l.order, l.fence)
		}
	}
	m.late = left
}

// act lets a holder go on: it reads what it does not know yet, hears some of the workers, records silent ones and plans.
func (m *model) act(h *holder) {
	if !h.loaded && !m.load(h) {
		return
	}
	m.watch(h)
	if h != m.present && m.now.After(h.until) {
		return
	}
	m.prove(h)
	m.hearJobs(h, m.now.Add(-modelWatch))
	m.list(h)
	heard := m.t.pick("heard", 0, 1<<len(m.workers)-1)
	for i, w := range m.workers {
		if heard&(1<<i) != 0 {
			m.report(h, w)
		}
	}
	m.ask(h)
	m.seal(h)
	m.plan(h)
}

// lostAct lets the holders act that do not know yet that they lost the duty. They can write nothing, but acknowledge ends that change
// nothing.
func (m *model) lostAct() {
	m.forgetLost()
	for _, h := range m.lost {
		m.act(h)
		if batch := h.pool.Batch(); len(batch.Changes) == 0 {
			h.pool.Recorded(batch)
		}
	}
}

// tick lets reports and plans go on for some short steps.
func (m *model) tick(n int) {
	for range n {
		m.pass(100 * time.Millisecond)
		m.act(m.present)
		m.lostAct()
	}
}

func (m *model) plan(h *holder) {
	for _, a := range h.pool.Plan(m.now) {
		switch a := a.(type) {
		case dispatch.Start:
			m.start(h, a)
		case dispatch.Stop:
			m.stop(h, a)
		case dispatch.Pace, dispatch.AdviceRequest:
		}
	}
}

// stop has a worker take a stop, or loses the order or its answer.
func (m *model) stop(h *holder, a dispatch.Stop) {
	w := m.worker(a.Worker.ID)
	fate := m.t.pick("stop", 0, 4)
	if !w.takes(h.fence) || fate == 0 {
		return
	}
	w.fence = h.fence
	w.least[a.Task] = max(w.least[a.Task], a.Run)
	if run, ok := w.runs[a.Task]; ok && run == a.Run {
		m.end(w, a.Task, workload.EndStopped)
	}
	if fate != 1 {
		h.pool.StopAnswered(a, m.clock(w))
	}
}

func (m *model) start(h *holder, s dispatch.Start) {
	w := m.worker(s.Worker.ID)
	fate := m.t.pick("fate", 0, 9)
	m.t.Logf("%v: holder %d orders %v as run %d on %s, life %d", m.now.Sub(epoch), h.fence, s.Task, s.Run, w.id, s.Worker.Incarnation)
	switch {
	case w.cut || w.left || fate == 0:
		h.pool.StartAnswered(s, dispatch.Unanswered, 0, m.now)
	case h != m.present && s.Worker.Incarnation != w.born:
		// Holders could not guard against it; docs/platform.md assumes that a new life refuses what is meant for an earlier one. For the
		// present holder the model does not rely on that.
		h.pool.StartAnswered(s, dispatch.Refused, 0, m.now)
	case fate == 1:
		m.late = append(m.late, lateStart{s, h.fence, m.now.Add(time.Duration(m.t.pick("late", 500, 9000)) * time.Millisecond), w.born})
		h.pool.StartAnswered(s, dispatch.Unanswered, 0, m.now)
	case fate == 2:
		m.carryOut(s, h.fence)
		h.pool.StartAnswered(s, dispatch.Unanswered, 0, m.now)
	default:
		h.pool.StartAnswered(s, m.carryOut(s, h.fence), m.clock(w), m.now)
	}
}

// addJob stores a job; holders hear of it by their watches, or are told.
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

// store accepts a job. Each holder is told of it, or hears of it later by its watch.
func (m *model) store(j workload.Job) {
	m.revision++
	m.specs[j.ID], m.stored[j.ID] = j, m.revision
	m.deaf[j.ID] = m.t.pick("watched", 0, 3) == 0
	for _, h := range m.holders() {
		if m.t.pick("told", 0, 2) != 0 {
			m.hearJob(h, j.ID)
		}
	}
}

// hearJob lets a holder hear of a stored job.
func (m *model) hearJob(h *holder, id string) {
	if without("lost-holders-hear-jobs") && h != m.present && m.stored[id] > h.successor {
		return
	}
	// What was stored before the duty was taken comes with the list of jobs and their records.
	if h.loaded || m.stored[id] > h.fence {
		h.pool.AddJob(m.specs[id], nil, m.stored[id] < h.fence, m.now)
	}
}

// cancel stores the wish of a job's caller. Each holder is told of it, or hears of it later by its watch.
func (m *model) cancel() {
	if len(m.specs) == 0 {
		return
	}
	id := fmt.Sprintf("j%d", m.t.pick("job", 0, len(m.specs)-1))
	m.cancelled[id] = true
	for _, h := range m.holders() {
		if m.t.pick("told", 0, 2) != 0 {
			m.hearCancel(h, id)
		}
	}
}

func (m *model) hearCancel(h *holder, id string) {
	known := h.pool.Cancel(id, m.now)
	if _, before := m.cancelHeard[id]; known && !before && h == m.present {
		m.cancelHeard[id] = m.now
	}
}
