package gaps

import (
	"slices"
	"time"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/workload"
)

// outcome collects what callers see of a placement.
type outcome struct {
	shape  shape
	bounds []float64
	// waits holds the waits of the tasks for their first start, by decile of size.
	waits [10][]time.Duration
	jobs  map[string]*drawnJob
	// work holds the bounds of the deciles of the jobs' work.
	work            []float64
	inTime, allJobs [10]int
	ended           int
	events          map[string]int
}

func newOutcome(s shape, jobs []drawnJob) *outcome {
	o := &outcome{shape: s, bounds: deciles(jobs, s.capacity), jobs: map[string]*drawnJob{}, events: map[string]int{}}
	var work []float64
	for i := range jobs {
		o.jobs[jobs[i].id] = &jobs[i]
		work = append(work, jobs[i].work())
	}
	slices.Sort(work)
	for i := range 9 {
		o.work = append(o.work, work[(i+1)*len(work)/10])
	}
	return o
}

func (o *outcome) started(need workload.Resources, waited time.Duration) {
	d := decileOf(o.bounds, dominant(need, o.shape.capacity))
	o.waits[d] = append(o.waits[d], waited)
}

func (o *outcome) jobEnded(id string, took time.Duration) {
	j := o.jobs[id]
	d := decileOf(o.work, j.work())
	o.allJobs[d]++
	o.ended++
	if took <= time.Duration(queue.Stretch*float64(j.chain))+queue.TargetDuration {
		o.inTime[d]++
	}
}

func (o *outcome) event(e dispatch.Event) {
	o.events[e.Kind]++
	if e.Kind == "job completed" {
		o.jobEnded(e.Job, e.Age)
	}
}

// inTimeShare returns the share of the jobs of some deciles of work that ended in time.
func (o *outcome) inTimeShare(from, to int) float64 {
	inTime, all := 0, 0
	for d := from; d < to; d++ {
		inTime, all = inTime+o.inTime[d], all+o.allJobs[d]
	}
	return float64(inTime) / float64(max(1, all))
}

func quantile(values []time.Duration, q float64) time.Duration {
	if len(values) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}
