package gaps

import (
	"context"
	"fmt"
	"time"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/workload"
)

const (
	// stepInterval is the simulated time between two plans; reports of all workers arrive before each.
	stepInterval = 50 * time.Millisecond
	// longestDay ends a simulation whose jobs do not end.
	longestDay = 10 * time.Minute
)

var (
	epoch = time.Unix(1_790_000_000, 0)
	queue = workload.Queue{Name: "q", MaxAttempts: 100, Stretch: 1.6, TargetDuration: 600 * time.Millisecond}
)

func jobID(number int) string { return fmt.Sprintf("%016x", number) }

type worker struct {
	id     string
	number int
	active []activeRun
	// ends is the number of the last reported end.
	ends int64
}

type activeRun struct {
	workload.ActiveRun
	began, took time.Duration
}

// online drives the scheduler through a day.
type online struct {
	pool    *dispatch.Pool
	jobs    []drawnJob
	byID    map[string]*drawnJob
	workers []*worker
	index   map[string]*worker
	shape   shape
	now     time.Duration
	out     *outcome
}

// place plays a day with the scheduler under the given settings.
func place(ctx context.Context, s shape, jobs []drawnJob, workers int, settings dispatch.Settings) (*outcome, error) {
	o := &online{pool: &dispatch.Pool{Name: "pool", Settings: settings}, jobs: jobs, byID: map[string]*drawnJob{}, index: map[string]*worker{}, shape: s, out: newOutcome(s, jobs)}
	o.pool.OnEvent = o.out.event
	o.pool.Begin(epoch)
	o.pool.SetQueues([]workload.Queue{queue})
	for i := range workers {
		w := &worker{id: fmt.Sprintf("w%04d", i), number: i}
		o.workers, o.index[w.id] = append(o.workers, w), w
		o.pool.SetWorker(workload.Worker{ID: w.id, Machine: "m-" + w.id, Pool: o.pool.Name, Rack: fmt.Sprint(i / 20), Incarnation: 1, Capacity: s.capacity}, epoch)
	}
	for i := range jobs {
		o.byID[jobs[i].id] = &jobs[i]
	}
	arrived := 0
	for o.now = 0; o.out.ended < len(jobs); o.now += stepInterval {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		if o.now > longestDay {
			return nil, fmt.Errorf("%d of %d jobs have not ended after %v", len(jobs)-o.out.ended, len(jobs), longestDay)
		}
		o.report()
		for ; arrived < len(jobs) && jobs[arrived].arrives <= o.now; arrived++ {
			o.submit(&jobs[arrived])
		}
		for _, a := range o.pool.Plan(epoch.Add(o.now)) {
			o.carryOut(a)
		}
	}
	return o.out, nil
}

func (o *online) submit(j *drawnJob) {
	job := workload.Job{ID: j.id, Queue: queue.Name, Pool: o.pool.Name, Terms: queue, Accepted: epoch.Add(j.arrives)}
	for _, s := range j.steps {
		job.Steps = append(job.Steps, s.Step)
	}
	o.pool.AddJob(job, nil, false, epoch.Add(o.now))
}

func (o *online) carryOut(a dispatch.Action) {
	switch a := a.(type) {
	case dispatch.Start:
		t := o.byID[a.Task.Job].steps[a.Task.Step].tasks[a.Task.Index]
		if a.Run == 1 {
			o.out.started(o.byID[a.Task.Job].steps[a.Task.Step].Need, a.Waited)
		}
		w := o.index[a.Worker.ID]
		took := t.runs
		if o.shape.slow(w.number, o.now) {
			took *= slowFactor
		}
		w.active = append(w.active, activeRun{workload.ActiveRun{Task: a.Task, Run: a.Run}, o.now, took})
		o.pool.StartAnswered(a, dispatch.Present, o.reading(), epoch.Add(o.now))
	case dispatch.Stop:
		w := o.index[a.Worker.ID]
		for i := range w.active {
			if x := &w.active[i]; x.Task == a.Task && x.Run == a.Run {
				x.took = 0
			}
		}
		o.pool.StopAnswered(a, o.reading(), epoch.Add(o.now))
	case dispatch.Pace, dispatch.AdviceRequest:
	}
}

func (o *online) reading() workload.ClockReading {
	return workload.ClockReading{Incarnation: 1, Clock: o.now + time.Minute}
}

// report lets the report of each worker arrive.
func (o *online) report() {
	for _, w := range o.workers {
		r := workload.Report{Incarnation: 1, Clock: o.now + time.Minute}
		left := w.active[:0]
		for _, x := range w.active {
			ran := o.now - x.began
			if ran < x.took {
				x.Percent = int(100 * ran / x.took)
				left = append(left, x)
				r.Active = append(r.Active, x.ActiveRun)
				continue
			}
			end := workload.EndDone
			if x.took == 0 {
				end = workload.EndStopped
			}
			w.ends++
			r.Ended = append(r.Ended, workload.EndedRun{Number: w.ends, Task: x.Task, Run: x.Run, How: end})
		}
		w.active = left
		o.pool.Report(w.id, r, epoch.Add(o.now))
	}
}
