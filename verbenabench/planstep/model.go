package planstep

import (
	"fmt"
	"math/rand/v2"
	"time"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/workload"
)

const (
	workerCPU      = 16_000
	workerMemoryMB = 64_000
	workersPerRack = 40
	// faultyShare is the share of workers on which runs may fail, failedShare that of their runs which do, each as one in so many. Workers that
	// have had failures differ in their scores.
	faultyShare = 20
	failedShare = 10
	// dataShare is the share of jobs whose data is on one rack, as one in so many.
	dataShare = 4
	images    = 12
	// stepInterval is the simulated time between two steps.
	stepInterval = 100 * time.Millisecond
	minRun       = 2 * time.Second
	maxRun       = 10 * time.Second
)

// model is a pool with workers that carry out what the scheduler orders.
type model struct {
	pool    *dispatch.Pool
	random  *rand.Rand
	now     time.Time
	began   time.Time
	workers []*modelWorker
	byID    map[string]*modelWorker
	jobs    int
	waiting int
	// runTime returns how long a task of a job runs; nil draws a time that the job does not declare.
	runTime func(job string) time.Duration
}

type modelWorker struct {
	id     string
	faulty bool
	active []modelRun
	ends   []workload.EndedRun
	lastID int64
}

type modelRun struct {
	workload.ActiveRun
	ends time.Time
}

var queue = workload.Queue{Name: "q", MaxAttempts: 100, Stretch: 3, TargetDuration: time.Second}

func newModel(seed uint64, workers int) *model {
	began := time.Unix(1_790_000_000, 0)
	m := &model{
		pool: &dispatch.Pool{Name: "pool"}, random: rand.New(rand.NewPCG(seed, uint64(workers))), now: began, began: began, byID: map[string]*modelWorker{},
	}
	m.pool.Begin(m.now)
	m.pool.SetQueues([]workload.Queue{queue})
	for i := range workers {
		w := &modelWorker{id: fmt.Sprintf("w%05d", i), faulty: i%faultyShare == 0}
		m.workers, m.byID[w.id] = append(m.workers, w), w
		m.pool.SetWorker(workload.Worker{
			ID: w.id, Machine: "m-" + w.id, Pool: m.pool.Name, Rack: rack(i), Incarnation: 1,
			Capacity: workload.Resources{CPU: workerCPU, MemoryMB: workerMemoryMB},
		}, m.now)
	}
	m.advance()
	return m
}

func rack(worker int) string { return fmt.Sprintf("r%03d", worker/workersPerRack) }

// addJobs adds jobs until a number of tasks waits.
func (m *model) addJobs(waiting int) {
	for m.waiting < waiting {
		step := workload.Step{
			Tasks: 1 + m.random.IntN(4), Image: fmt.Sprint(m.random.IntN(images)), Estimate: minRun + time.Duration(m.random.Int64N(int64(maxRun-minRun))),
			Need: workload.Resources{CPU: int64(1000 + 100*m.random.IntN(50)), MemoryMB: int64(1000 + 100*m.random.IntN(200))},
		}
		step.Tasks = min(step.Tasks, waiting-m.waiting)
		if m.random.IntN(dataShare) == 0 {
			step.DataRack = rack(m.random.IntN(len(m.workers)))
		}
		m.pool.AddJob(workload.Job{
			ID: fmt.Sprintf("%016x", m.jobs), Queue: queue.Name, Pool: m.pool.Name, Terms: queue, Accepted: m.now, Steps: []workload.Step{step},
		}, nil, false, m.now)
		m.jobs++
		m.waiting += step.Tasks
	}
}

// advance lets the time of a step pass and reports of all workers arrive.
func (m *model) advance() {
	m.now = m.now.Add(stepInterval)
	for _, w := range m.workers {
		m.pool.Report(w.id, w.report(m), m.now)
	}
}

func (w *modelWorker) report(m *model) workload.Report {
	r := workload.Report{Incarnation: 1, Clock: m.now.Sub(m.began)}
	left := w.active[:0]
	w.ends = w.ends[:0]
	for _, x := range w.active {
		if x.ends.After(m.now) {
			x.Percent = min(x.Percent+1, 100)
			left = append(left, x)
			r.Active = append(r.Active, x.ActiveRun)
			continue
		}
		end := workload.EndDone
		if w.faulty && m.random.IntN(failedShare) == 0 {
			end = workload.EndFailed
			m.waiting++
		}
		w.lastID++
		w.ends = append(w.ends, workload.EndedRun{Number: w.lastID, Task: x.Task, Run: x.Run, How: end})
	}
	w.active, r.Ended = left, w.ends
	return r
}

// carryOut starts what the scheduler ordered and returns the number of starts.
func (m *model) carryOut(actions []dispatch.Action) int {
	starts := 0
	for _, a := range actions {
		s, ok := a.(dispatch.Start)
		if !ok {
			continue
		}
		starts++
		m.waiting--
		w := m.byID[s.Worker.ID]
		w.active = append(w.active, modelRun{
			ActiveRun: workload.ActiveRun{Task: s.Task, Run: s.Run, Percent: 1}, ends: m.now.Add(m.drawRunTime(s.Task.Job)),
		})
		m.pool.StartAnswered(s, dispatch.Present, workload.ClockReading{Incarnation: 1, Clock: m.now.Sub(m.began)}, m.now)
	}
	return starts
}

func (m *model) drawRunTime(job string) time.Duration {
	if m.runTime != nil {
		return m.runTime(job)
	}
	return minRun + time.Duration(m.random.Int64N(int64(maxRun-minRun)))
}
