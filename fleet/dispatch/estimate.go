package dispatch

import (
	"time"
)

// runningMean is a learned mean: of the ratio of measured to declared run time for the tasks of one image, or of the work per job of one
// queue.
type runningMean struct {
	mean    float64
	samples int
}

const (
	// learnWeight is the least weight of a new sample in a learned mean.
	learnWeight = 0.1
	// defaultEstimate is the assumed duration of a task that declares none.
	defaultEstimate = time.Second
	maxRatio        = 10
	minRatio        = 0.1
)

func meanKey(t *task) string { return t.job.Queue + "\x00" + t.step.Image }

func (p *Pool) learn(x *run, now time.Time) {
	if x.presentAt.IsZero() || x.task.step.LongRunning || x.task.checkpoint != "" {
		return
	}
	took := now.Sub(x.presentAt)
	declared := declaredDuration(x.task)
	key := meanKey(x.task)
	f := p.means[key]
	if f == nil {
		f = &runningMean{mean: 1}
		p.means[key] = f
	}
	weight := max(learnWeight, 1/float64(f.samples+1))
	sample := min(max(float64(took)/float64(declared), minRatio), maxRatio)
	f.mean += weight * (sample - f.mean)
	f.samples++
	expected := f.mean * float64(declared)
	x.worker.slowness += learnWeight * (min(max(float64(took)/expected, minRatio), maxRatio) - x.worker.slowness)
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
	if f := p.means[meanKey(t)]; f != nil {
		return time.Duration(float64(d) * f.mean)
	}
	return d
}

// jobEstimate is the estimated work of an occurrence of a job.
type jobEstimate struct {
	// remainingPath is the time that the longest chain of steps still needs, criticalPath the time of the longest chain of all steps.
	remainingPath time.Duration
	criticalPath  time.Duration
	// work is the remaining work in core-seconds, total that of the whole occurrence.
	work  float64
	total float64
}

func (p *Pool) estimate(j *job, o int, now time.Time) jobEstimate {
	var out jobEstimate
	oc := &j.occurrences[o]
	left := make([]time.Duration, len(oc.steps))
	whole := make([]time.Duration, len(oc.steps))
	for s := range oc.steps {
		st := &oc.steps[s]
		each := p.expectedDuration(st.tasks[0])
		cores := float64(j.Steps[s].Need.CPU) / 1000
		out.total += cores * each.Seconds() * float64(len(st.tasks))
		out.work += cores * each.Seconds() * float64(len(st.tasks)-st.done)
		rest := each
		if st.done == len(st.tasks) {
			rest = 0
		} else if !st.began.IsZero() && !anyWaiting(st) {
			rest = max(0, each-now.Sub(st.began))
		}
		for _, a := range j.Steps[s].After {
			left[s], whole[s] = max(left[s], left[a]), max(whole[s], whole[a])
		}
		left[s] += rest
		whole[s] += each
		out.remainingPath, out.criticalPath = max(out.remainingPath, left[s]), max(out.criticalPath, whole[s])
	}
	return out
}

func anyWaiting(st *stepState) bool {
	for _, t := range st.tasks {
		if !t.done && len(t.runs) == 0 {
			return true
		}
	}
	return false
}
