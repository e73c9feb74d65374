package overload

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/workload"
)

// The pool and the time of a run.
const (
	workers = 84
	// rackWorkers is the number of workers that the loss of a rack takes away.
	rackWorkers = 28
	// workerCPU is the capacity of a worker in thousandths of a core.
	workerCPU    = 16_000
	milliPerCore = 1000
	// tick is the simulated time between two plans.
	tick = 20 * time.Millisecond
	// Jobs arrive for trafficTime; those that are left have drainTime to end.
	trafficTime = 40 * time.Second
	drainTime   = 25 * time.Second
)

// The callers.
const (
	workspaces = 11
	// usualRate is the mean number of jobs that a workspace sends per second, weight the number that it is owed.
	usualRate = 2
	weight    = 3
	// maxTries is how often a caller sends a job that is refused.
	maxTries = 3
	// A declared run time is up to declaredFactor times too long or too short.
	declaredFactor = 1.9
	// The actual run times of a kind differ by up to this part from their mean.
	runTimeSpread = 0.3
	// A job is in time within stretch times its run time and targetTime more. Up to lateFactor times that it earns lateCredit of its worth.
	stretch    = 2
	targetTime = 600 * time.Millisecond
	lateFactor = 3
	lateCredit = 0.07
)

// The disturbances.
const (
	disturbedAt = 8 * time.Second
	usualTime   = 10 * time.Second
	longTime    = 22 * time.Second
	// hotWorkspace is the index of the workspace that sends more than the others.
	hotWorkspace = 0
	// In a burst all workspaces send burstFactor times their usual rate; the hot workspace sends hotFactor times it.
	burstFactor = 3
	hotFactor   = 8
)

// kind is a kind of job: steps one after the other, each of eight equal tasks.
type kind struct {
	// cpu is the need of a task in thousandths of a core.
	cpu int64
	run time.Duration
	// share is the part of the jobs that are of the kind.
	share float64
}

var kinds = []kind{{3100, 800 * time.Millisecond, 0.8}, {6700, 1300 * time.Millisecond, 0.2}}

const stepTasks = 8

// load names the disturbances that begin at disturbedAt, and how long they last.
type load struct {
	name             string
	burst, hot, rack bool
	lasts            time.Duration
}

var loads = []load{
	{name: "calm"},
	{name: "burst", burst: true, lasts: usualTime},
	{name: "hot workspace", hot: true, lasts: usualTime},
	{name: "lost rack", rack: true, lasts: usualTime},
	{name: "all", burst: true, hot: true, rack: true, lasts: usualTime},
	{name: "all, for long", burst: true, hot: true, rack: true, lasts: longTime},
}

// policy is an order of waiting work and a rule of refusal.
type policy struct {
	order   string
	refusal string
}

const (
	firstCome = "first come"
	urgency   = "without workspaces"
	owedFirst = "by workspace"

	refuseNone    = "none"
	refuseBacklog = "by backlog"
	refuseUse     = "by use"
)

var policies = []policy{
	{firstCome, refuseNone},
	{firstCome, refuseBacklog},
	{urgency, refuseNone},
	{urgency, refuseBacklog},
	{owedFirst, refuseNone},
	{owedFirst, refuseBacklog},
	{owedFirst, refuseUse},
}

// call is a job that a caller sends.
type call struct {
	job       workload.Job
	at, first time.Time
	run       time.Duration
	objective time.Duration
	worth     float64
	// work is in core-seconds.
	work float64
	// owed is counted here and not taken from the scheduler: the first jobs of each second up to the weight are owed.
	owed  bool
	tries int
	// began is when the first task began, ended when the job was completed; zero before.
	began, ended time.Time
	refused      bool
}

func workspaceName(w int) string { return fmt.Sprint("w", w) }

// drawCalls draws the calls of a load; they are the same for each policy.
func drawCalls(l load, seed uint64, began time.Time) []*call {
	random := rand.New(rand.NewPCG(seed, 2))
	var calls []*call
	for w := range workspaces {
		sent, second := 0, int64(-1)
		for at := time.Duration(0); ; {
			rate := float64(usualRate)
			if at >= disturbedAt && at < disturbedAt+l.lasts {
				if l.burst {
					rate *= burstFactor
				}
				if l.hot && w == hotWorkspace {
					rate = max(rate, hotFactor*usualRate)
				}
			}
			at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
			if at >= trafficTime {
				break
			}
			if s := int64(at / time.Second); s != second {
				sent, second = 0, s
			}
			sent++
			c := drawCall(random, fmt.Sprintf("%02d%014d", w, len(calls)), began.Add(at))
			c.job.Workspace, c.owed = workspaceName(w), sent <= weight
			calls = append(calls, c)
		}
	}
	return calls
}

func drawCall(random *rand.Rand, id string, at time.Time) *call {
	k := kinds[0]
	if random.Float64() >= kinds[0].share {
		k = kinds[1]
	}
	steps := 1 + random.IntN(2)
	c := &call{at: at, first: at, run: k.run}
	declared := workload.Scale(k.run, math.Exp((2*random.Float64()-1)*math.Log(declaredFactor)))
	for s := range steps {
		step := workload.Step{Tasks: stepTasks, Need: workload.Resources{CPU: k.cpu, MemoryMB: 100}, Estimate: declared, Image: fmt.Sprint(k.cpu)}
		if s > 0 {
			step.After = []int{s - 1}
		}
		c.job.Steps = append(c.job.Steps, step)
	}
	c.job.ID, c.job.Queue, c.job.Pool = id, "q", "pool"
	c.objective = stretch*time.Duration(steps)*k.run + targetTime
	c.work = float64(steps*stepTasks) * float64(k.cpu) / milliPerCore * k.run.Seconds()
	// A part of the worth is that of any job, the rest is in proportion to the job's work.
	const fixedWorth, varyingWorth, meanSteps = 0.3, 0.7, 1.5
	mean := meanSteps * stepTasks * float64(k.cpu) / milliPerCore * k.run.Seconds()
	c.worth = fixedWorth + varyingWorth*c.work/mean
	return c
}

// credit returns what the call has earned of its worth.
func (c *call) credit() float64 {
	took := c.ended.Sub(c.first)
	switch {
	case c.ended.IsZero():
		return 0
	case took <= c.objective:
		return c.worth
	case took <= lateFactor*c.objective:
		return c.worth * lateCredit
	}
	return 0
}

// model is a pool whose workers carry out what the scheduler orders.
type model struct {
	policy  policy
	load    load
	random  *rand.Rand
	pool    *dispatch.Pool
	now     time.Time
	began   time.Time
	byID    map[string]*modelWorker
	workers []*modelWorker
	calls   map[string]*call
	returns dispatch.Returns
	// open is the work of the jobs that were taken and have not ended, in core-seconds.
	open    float64
	arrived int
}

type modelWorker struct {
	info workload.Worker
	born time.Time
	lost bool
	runs []modelRun
	last int64
}

type modelRun struct {
	workload.ActiveRun
	until time.Time
}

func newModel(p policy, l load, seed uint64, began time.Time) *model {
	m := &model{
		policy: p, load: l, random: rand.New(rand.NewPCG(seed, 3)), pool: &dispatch.Pool{Name: "pool"}, now: began, began: began,
		byID: map[string]*modelWorker{}, calls: map[string]*call{},
	}
	m.pool.Begin(began)
	if p.order == owedFirst {
		var list []workload.Workspace
		for w := range workspaces {
			list = append(list, workload.Workspace{Name: workspaceName(w), Weight: weight})
		}
		m.pool.SetWorkspaces(list)
	}
	for i := range workers {
		w := &modelWorker{born: began.Add(-time.Minute), info: workload.Worker{
			ID: fmt.Sprintf("w%03d", i), Machine: fmt.Sprintf("m%03d", i), Pool: "pool", Rack: fmt.Sprint("r", i/rackWorkers), Incarnation: 1,
			Capacity: workload.Resources{CPU: workerCPU, MemoryMB: 64_000},
		}}
		m.workers, m.byID[w.info.ID] = append(m.workers, w), w
		m.pool.SetWorker(w.info, began)
	}
	m.pool.OnEvent = m.observe
	return m
}

// observe notes the ends of jobs.
func (m *model) observe(e dispatch.Event) {
	if c := m.calls[e.Job]; c != nil && e.Kind == "job completed" {
		c.ended = m.now
		m.open -= c.work
	}
}

// run plays the calls until the end.
func (m *model) run(calls []*call) {
	for end := m.began.Add(trafficTime + drainTime); m.now.Before(end); m.now = m.now.Add(tick) {
		if m.load.rack {
			m.loseRack()
		}
		for _, c := range calls {
			if !c.at.After(m.now) && !c.refused && m.calls[c.job.ID] == nil {
				m.submit(c)
			}
		}
		m.report()
		for _, a := range m.pool.Plan(m.now) {
			m.carryOut(a)
		}
		m.pool.BatchRecorded(m.pool.Batch())
	}
}

// submit sends a call, which the policy refuses or the scheduler takes.
func (m *model) submit(c *call) {
	c.job.Accepted = m.now
	c.job.Terms = workload.Queue{Name: "q", Pool: "pool", MaxAttempts: 5, Stretch: stretch, TargetDuration: targetTime}
	if m.policy.order == firstCome {
		// The scheduler has no such order; priorities by arrival give it.
		m.arrived++
		c.job.Terms.Priority = m.arrived
	}
	if r := m.decide(c); r != nil {
		m.pool.NoteRefusal(c.job.ID, m.now)
		c.tries++
		c.refused = c.tries >= maxTries
		c.at = m.now.Add(m.returns.After(r, m.now))
		return
	}
	m.calls[c.job.ID] = c
	m.open += c.work
	m.pool.AddJob(c.job, nil, false, m.now)
}

// decide returns why a call is refused by the policy, or nil.
func (m *model) decide(c *call) *dispatch.Refusal {
	switch m.policy.refusal {
	case refuseUse:
		return m.pool.Outlook().Decide(&c.job)
	case refuseBacklog:
		cores := 0.0
		for _, w := range m.workers {
			if !w.lost {
				cores += workerCPU / milliPerCore
			}
		}
		r := &dispatch.Refusal{Wait: workload.Scale(time.Second, m.open/cores), Useful: c.objective, Each: workload.Scale(time.Second, c.work/cores)}
		if r.Wait > r.Useful {
			return r
		}
	}
	return nil
}

// loseRack loses the workers of a rack for the time of the disturbance.
func (m *model) loseRack() {
	at := m.now.Sub(m.began)
	for _, w := range m.workers[:rackWorkers] {
		switch {
		case !w.lost && at >= disturbedAt && at < disturbedAt+m.load.lasts:
			w.lost, w.runs = true, nil
			m.pool.WorkerEnded(w.info.ID, "lost")
		case w.lost && at >= disturbedAt+m.load.lasts:
			w.lost, w.born, w.last = false, m.now, 0
			w.info.Incarnation++
			m.pool.SetWorker(w.info, m.now)
			m.pool.UnresponsiveRecord(m.now)
			m.pool.UnresponsiveRecorded(dispatch.TasksByWorker{})
		}
	}
}

func (m *model) report() {
	for _, w := range m.workers {
		if w.lost {
			continue
		}
		r := workload.Report{Incarnation: w.info.Incarnation, Clock: m.now.Sub(w.born)}
		left := w.runs[:0]
		for _, x := range w.runs {
			if x.until.After(m.now) {
				left, r.Active = append(left, x), append(r.Active, x.ActiveRun)
				continue
			}
			w.last++
			r.Ended = append(r.Ended, workload.EndedRun{Number: w.last, Task: x.Task, Run: x.Run, How: workload.EndDone})
		}
		w.runs = left
		m.pool.Report(w.info.ID, r, m.now)
	}
}

func (m *model) carryOut(a dispatch.Action) {
	s, ok := a.(dispatch.Start)
	if !ok {
		return
	}
	w, c := m.byID[s.Worker.ID], m.calls[s.Task.Job]
	if c.began.IsZero() {
		c.began = m.now
	}
	took := workload.Scale(c.run, 1+runTimeSpread*(2*m.random.Float64()-1))
	w.runs = append(w.runs, modelRun{ActiveRun: workload.ActiveRun{Task: s.Task, Run: s.Run}, until: m.now.Add(took)})
	m.pool.StartAnswered(s, dispatch.Present, workload.ClockReading{Incarnation: w.info.Incarnation, Clock: m.now.Sub(w.born)}, m.now)
}
