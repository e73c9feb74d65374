package dispatch

import (
	"math"
	"time"

	"verbenalanding.example/fleet/workload"
)

// runningMean is a learned mean: of the ratio of measured to declared run time for the tasks of one image, or of the work per job of one
// queue.
type runningMean struct {
	mean    float64
	samples int
	// spread is the learned mean deviation of the samples from the mean, over the mean.
	spread float64
}

const (
	// learnWeight is the least weight of a new sample in a learned mean.
	learnWeight = 0.1
	// defaultEstimate is the assumed duration of a task that declares none.
	defaultEstimate = time.Second
	maxRatio        = 10
	minRatio        = 0.1
	// minRunTime is the shortest run time that is learned, minKindSamples the number of runs of a kind after which its run time is used.
	minRunTime     = 10 * time.Millisecond
	minKindSamples = 20
	// maxSpread bounds the deviation of one run, so that a run that hangs changes a learned spread little.
	maxSpread = 1
)

// meanKey identifies the tasks whose run times are learned together.
type meanKey struct{ queue, image string }

func (t *task) meanKey() meanKey { return meanKey{t.job.Queue, t.step.Image} }

func (p *Pool) learnDuration(x *run, now time.Time) {
	if x.presentAt.IsZero() || x.task.step.LongRunning || x.task.checkpoint != "" {
		return
	}
	took := now.Sub(x.presentAt)
	declared := declaredDuration(x.task)
	key := x.task.meanKey()
	f := p.means[key]
	if f == nil {
		f = &runningMean{mean: 1}
		p.means[key] = f
	}
	weight := max(learnWeight, 1/float64(f.samples+1))
	sample := min(max(float64(took)/float64(declared), minRatio), maxRatio)
	f.learnSpread(sample, weight)
	f.mean += weight * (sample - f.mean)
	f.samples++
	p.learnAbsolute(key, took)
	expected := f.mean * float64(declared)
	x.worker.slowness += learnWeight * (min(max(float64(took)/expected, minRatio), maxRatio) - x.worker.slowness)
}

func (f *runningMean) learnSpread(sample, weight float64) {
	f.spread += weight * (min(math.Abs(sample-f.mean)/f.mean, maxSpread) - f.spread)
}

// learnAbsolute learns the run time of a kind of tasks in seconds, whatever they declare.
func (p *Pool) learnAbsolute(key meanKey, took time.Duration) {
	sample := max(took.Seconds(), minRunTime.Seconds())
	f := p.runTimes[key]
	if f == nil {
		f = &runningMean{mean: sample}
		p.runTimes[key] = f
	}
	weight := max(learnWeight, 1/float64(f.samples+1))
	f.learnSpread(sample, weight)
	f.mean += weight * (sample - f.mean)
	f.samples++
}

// kindRunTime returns the learned run time of a task's kind if that is the better estimate: if the run times of the kind differ less than their ratios to the
// declared ones.
func (p *Pool) kindRunTime(t *task) (time.Duration, bool) {
	ratio, absolute := p.means[t.meanKey()], p.runTimes[t.meanKey()]
	if ratio == nil || absolute == nil || absolute.samples < minKindSamples || absolute.spread >= ratio.spread {
		return 0, false
	}
	return workload.Scale(time.Second, absolute.mean), true
}

func declaredDuration(t *task) time.Duration {
	if t.step.Estimate <= 0 {
		return defaultEstimate
	}
	return t.step.Estimate
}

// expectedDuration returns how long a task is likely to run.
func (p *Pool) expectedDuration(t *task) time.Duration {
	d := declaredDuration(t)
	if len(p.workspaces) > 0 {
		if learned, ok := p.kindRunTime(t); ok {
			return min(learned, workload.MaxEstimate)
		}
	}
	if f := p.means[t.meanKey()]; f != nil {
		return min(workload.Scale(d, f.mean), workload.MaxEstimate)
	}
	return d
}

// jobEstimate is the estimated work of an occurrence of a job.
type jobEstimate struct {
	// remainingPath is the time that the longest chain of steps still needs, criticalPath the time of the longest chain of all steps.
	remainingPath time.Duration
	criticalPath  time.Duration
	// work is the remaining work in core-seconds, total the work of the whole occurrence.
	work  float64
	total float64
}

func (p *Pool) estimate(j *job, oc *occurrence, now time.Time) jobEstimate {
	var e jobEstimate
	remainingPaths := make([]time.Duration, len(oc.steps))
	criticalPaths := make([]time.Duration, len(oc.steps))
	for s := range oc.steps {
		st := &oc.steps[s]
		each := p.expectedDuration(st.tasks[0])
		cores := float64(j.Steps[s].Need.CPU) / 1000
		e.total += cores * each.Seconds() * float64(len(st.tasks))
		e.work += cores * each.Seconds() * float64(len(st.tasks)-st.done)
		remaining := each
		if st.done == len(st.tasks) {
			remaining = 0
		} else if !st.startedAt.IsZero() && st.withoutRun == 0 {
			remaining = max(0, each-now.Sub(st.startedAt))
		}
		for _, a := range j.Steps[s].After {
			remainingPaths[s], criticalPaths[s] = max(remainingPaths[s], remainingPaths[a]), max(criticalPaths[s], criticalPaths[a])
		}
		remainingPaths[s] += remaining
		criticalPaths[s] += each
		e.remainingPath, e.criticalPath = max(e.remainingPath, remainingPaths[s]), max(e.criticalPath, criticalPaths[s])
	}
	return e
}
