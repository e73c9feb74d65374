package planstep

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/workload"
)

// Estimates compares the estimated starts of explained jobs with the actual ones, in a pool that has more work than it can do for a time. Set
// the exported fields before Run.
type Estimates struct {
	Seed uint64
	// Workers are the numbers of workers to measure.
	Workers []int
	JSON    bool
	Out     io.Writer
}

// EstimateRow holds the errors of the estimates of one size that were made in one phase.
type EstimateRow struct {
	Workers int    `json:"workers"`
	Phase   string `json:"phase"`
	// Explained counts the explanations of jobs that waited for capacity, and that started before the end.
	Explained int `json:"explained"`
	// Unstarted counts those whose job had not started at the end.
	Unstarted int `json:"unstarted"`
	// P10, P50 and P90 are quantiles of the actual wait over the estimated one.
	P10 float64 `json:"p10"`
	P50 float64 `json:"p50"`
	P90 float64 `json:"p90"`
	// Wait is the median of the actual waits.
	Wait time.Duration `json:"waitP50Ns"`
}

const (
	// The load is above the capacity for overloadTime, and below it until the end.
	overload     = 1.3
	underload    = 0.5
	overloadTime = 60 * time.Second
	estimateTime = 180 * time.Second
	// urgentShare is the share of jobs with the higher priority, as one in so many.
	urgentShare = 5
	// explainInterval is the time between two rounds of explanations, explainedJobs how many waiting jobs each explains.
	explainInterval = time.Second
	explainedJobs   = 20
	// minEstimate is the shortest estimated wait that counts: below it the time between two steps decides.
	minEstimate = stepInterval
	// minFactor and maxFactor bound the actual run time of a task over the declared one.
	minFactor, maxFactor = 0.5, 1.5
)

var (
	standard = workload.Queue{Name: "standard", Priority: 1, MaxAttempts: 100, Stretch: 3, TargetDuration: time.Second}
	urgent   = workload.Queue{Name: "urgent", Priority: 0, MaxAttempts: 100, Stretch: 3, TargetDuration: time.Second}
)

// Run measures all sizes and prints them.
func (e *Estimates) Run(ctx context.Context) error {
	var rows []EstimateRow
	for _, workers := range e.Workers {
		c := newCourse(e.Seed, workers)
		if err := c.run(ctx); err != nil {
			return err
		}
		end := c.began.Add(overloadTime)
		rows = append(rows, c.row("more work arrives than is done", c.began, end), c.row("half of that arrives", end, c.now))
	}
	if e.JSON {
		encoder := json.NewEncoder(e.Out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(rows)
	}
	w := tabwriter.NewWriter(e.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "workers\texplained while\texplained\tnot started\tactual over estimated p10, p50, p90\tactual wait p50")
	for _, r := range rows {
		fmt.Fprintf(w, "%d\t%s\t%d\t%d\t%.2f, %.2f, %.2f\t%v\n", r.Workers, r.Phase, r.Explained, r.Unstarted, r.P10, r.P50, r.P90, r.Wait.Round(time.Millisecond))
	}
	return w.Flush()
}

// course is the course of a pool whose waiting jobs are explained.
type course struct {
	*model
	jobs map[string]*explainedJob
	// waiting holds the ids of the jobs that have not started, in the order of their hand-in.
	waiting []string
	// arriving is the work in core-seconds that is still to be handed in.
	arriving float64
	handed   int
}

type explainedJob struct {
	declared time.Duration
	// explainedAt and estimated are the times of the explanations and the starts that they estimated.
	explainedAt, estimated []time.Time
	startedAt              time.Time
}

func newCourse(seed uint64, workers int) *course {
	c := &course{model: newModel(seed, workers), jobs: map[string]*explainedJob{}}
	c.pool.SetQueues([]workload.Queue{urgent, standard})
	c.runTime = func(job string) time.Duration {
		return time.Duration(float64(c.jobs[job].declared) * (minFactor + (maxFactor-minFactor)*c.random.Float64()))
	}
	return c
}

func (c *course) run(ctx context.Context) error {
	for n := 0; c.now.Sub(c.began) < estimateTime; n++ {
		if err := ctx.Err(); err != nil {
			return err
		}
		load := underload
		if c.now.Sub(c.began) < overloadTime {
			load = overload
		}
		c.arrive(load)
		actions := c.pool.Plan(c.now)
		for _, a := range actions {
			if s, ok := a.(dispatch.Start); ok && c.jobs[s.Task.Job].startedAt.IsZero() {
				c.jobs[s.Task.Job].startedAt = c.now
			}
		}
		c.carryOut(actions)
		c.waiting = slices.DeleteFunc(c.waiting, func(id string) bool { return !c.jobs[id].startedAt.IsZero() })
		if n%int(explainInterval/stepInterval) == 0 {
			c.explain()
		}
		c.advance()
	}
	return nil
}

// arrive hands in the jobs of a step at a load, which is a share of the capacity.
func (c *course) arrive(load float64) {
	c.arriving += load * float64(len(c.workers)*workerCPU) / 1000 * stepInterval.Seconds()
	for c.arriving > 0 {
		q := standard
		if c.random.IntN(urgentShare) == 0 {
			q = urgent
		}
		step := workload.Step{
			Tasks: 1 + c.random.IntN(4), Image: fmt.Sprint(c.random.IntN(images)), Estimate: minRun + time.Duration(c.random.Int64N(int64(maxRun-minRun))),
			Need: workload.Resources{CPU: int64(1000 + 100*c.random.IntN(50)), MemoryMB: int64(1000 + 100*c.random.IntN(100))},
		}
		id := fmt.Sprintf("%016x", c.handed)
		c.pool.AddJob(workload.Job{ID: id, Queue: q.Name, Pool: c.pool.Name, Terms: q, Accepted: c.now, Steps: []workload.Step{step}}, nil, false, c.now)
		c.jobs[id] = &explainedJob{declared: step.Estimate}
		c.waiting = append(c.waiting, id)
		c.handed++
		c.arriving -= float64(step.Tasks) * float64(step.Need.CPU) / 1000 * step.Estimate.Seconds()
	}
}

// explain records the estimates of some waiting jobs.
func (c *course) explain() {
	for range min(explainedJobs, len(c.waiting)) {
		id := c.waiting[c.random.IntN(len(c.waiting))]
		x, known := c.pool.Explain(id, c.now)
		if known && x.Reason == dispatch.WaitNoCapacity && x.EstimatedStart.Sub(c.now) >= minEstimate {
			j := c.jobs[id]
			j.explainedAt, j.estimated = append(j.explainedAt, c.now), append(j.estimated, x.EstimatedStart)
		}
	}
}

// row returns the errors of the estimates that were made from one time to another.
func (c *course) row(phase string, from, to time.Time) EstimateRow {
	r := EstimateRow{Workers: len(c.workers), Phase: phase}
	var ratios []float64
	var waits []time.Duration
	for _, j := range c.jobs {
		for i, at := range j.explainedAt {
			if at.Before(from) || !at.Before(to) {
				continue
			}
			if j.startedAt.IsZero() {
				r.Unstarted++
				continue
			}
			ratios = append(ratios, float64(j.startedAt.Sub(at))/float64(j.estimated[i].Sub(at)))
			waits = append(waits, j.startedAt.Sub(at))
		}
	}
	if r.Explained = len(ratios); r.Explained == 0 {
		return r
	}
	slices.Sort(ratios)
	slices.Sort(waits)
	r.P10, r.P50, r.P90, r.Wait = quantile(ratios, 0.1), quantile(ratios, 0.5), quantile(ratios, 0.9), quantile(waits, 0.5)
	return r
}
