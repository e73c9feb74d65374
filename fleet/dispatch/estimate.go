package dispatch

import (
	"math"
	"slices"
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

// learned returns the learned run times of the kind of a step's tasks, which are nil before its first measured run. The pool never replaces them, so that
// the step keeps what was found.
func (p *Pool) learned(st *stepState) (ratio, runTime *runningMean) {
	if st.ratio == nil {
		key := st.tasks[0].meanKey()
		st.ratio, st.runTime = p.means[key], p.runTimes[key]
	}
	return st.ratio, st.runTime
}

// kindRunTime returns the learned run time of the kind of a step's tasks if that tells more than what the step declares: the tasks of the kind differ
// less in their run times than in the ratio of these to the declared ones.
func (p *Pool) kindRunTime(st *stepState) (time.Duration, bool) {
	ratio, absolute := p.learned(st)
	if ratio == nil || absolute == nil || absolute.samples < minKindSamples || absolute.spread >= ratio.spread {
		return 0, false
	}
	return workload.Scale(time.Second, absolute.mean), true
}

func declaredDuration(t *task) time.Duration { return t.state.declared }

// declaredRunTime returns the run time that a step declares for its tasks, or the assumed one.
func declaredRunTime(step *workload.Step) time.Duration {
	if step.Estimate <= 0 {
		return defaultEstimate
	}
	return step.Estimate
}

// expectedDuration returns how long a task is likely to run.
func (p *Pool) expectedDuration(t *task) time.Duration { return p.expectedRunTime(t.state) }

// expectedRunTime returns how long the tasks of a step are likely to run.
func (p *Pool) expectedRunTime(st *stepState) time.Duration {
	if len(p.workspaces) > 0 {
		if learned, ok := p.kindRunTime(st); ok {
			return min(learned, workload.MaxEstimate)
		}
	}
	if ratio, _ := p.learned(st); ratio != nil {
		return min(workload.Scale(st.declared, ratio.mean), workload.MaxEstimate)
	}
	return st.declared
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

// stepPath is the time of the longest chain of steps up to one.
type stepPath struct{ remaining, critical time.Duration }

func (p *Pool) estimate(oc *occurrence, now time.Time) jobEstimate {
	var e jobEstimate
	paths := slices.Grow(p.pathBuffer[:0], len(oc.steps))[:len(oc.steps)]
	clear(paths)
	p.pathBuffer = paths
	for s := range oc.steps {
		st := &oc.steps[s]
		each := p.expectedRunTime(st)
		work := st.cores * each.Seconds()
		// The conversions keep the sums equal on processors that multiply and add in one operation.
		e.total += float64(work * float64(len(st.tasks)))
		e.work += float64(work * float64(len(st.tasks)-st.done))
		remaining := each
		if st.done == len(st.tasks) {
			remaining = 0
		} else if !st.startedAt.IsZero() && st.withoutRun == 0 {
			remaining = max(0, each-now.Sub(st.startedAt))
		}
		path := &paths[s]
		for _, a := range st.after {
			path.remaining, path.critical = max(path.remaining, paths[a].remaining), max(path.critical, paths[a].critical)
		}
		path.remaining += remaining
		path.critical += each
		e.remainingPath, e.criticalPath = max(e.remainingPath, path.remaining), max(e.criticalPath, path.critical)
	}
	return e
}
