package dispatch

import (
	"time"
)

// figures are what was learned of the tasks of one image of a queue.
type figures struct {
	// ratio is the measured run time over the declared estimate.
	ratio   float64
	samples int
}

const (
	// learnWeight is the share of a new sample in a learned figure.
	learnWeight = 0.1
	// defaultEstimate stands for a task without a declared duration.
	defaultEstimate = time.Second
	maxRatio        = 10
	minRatio        = 0.1
)

func figureKey(t *task) string { return t.job.Queue + "\x00" + t.step.Image }

func (p *Pool) learn(x *run, now time.Time) {
	if x.presentAt.IsZero() || x.task.step.LongRunning || x.task.checkpoint != "" {
		return
	}
	took := now.Sub(x.presentAt)
	declared := declaredTime(x.task)
	key := figureKey(x.task)
	f := p.learned[key]
	if f == nil {
		f = &figures{ratio: 1}
		p.learned[key] = f
	}
	weight := max(learnWeight, 1/float64(f.samples+1))
	sample := min(max(float64(took)/float64(declared), minRatio), maxRatio)
	f.ratio += weight * (sample - f.ratio)
	f.samples++
	expected := f.ratio * float64(declared)
	x.worker.slowness += learnWeight * (min(max(float64(took)/expected, minRatio), maxRatio) - x.worker.slowness)
}

func declaredTime(t *task) time.Duration {
	if t.step.Estimate <= 0 {
		return defaultEstimate
	}
	return t.step.Estimate
}

// expected returns how long a task is likely to run.
func (p *Pool) expected(t *task) time.Duration {
	d := declaredTime(t)
	if f := p.learned[figureKey(t)]; f != nil {
		return time.Duration(float64(d) * f.ratio)
	}
	return d
}

// outlook is what is left of a job.
type outlook struct {
	// chain is the time that the longest chain of steps still needs, whole the time of the longest chain of all steps.
	chain time.Duration
	whole time.Duration
	// work is what is left in core-seconds, total the work of the whole job.
	work  float64
	total float64
}

func (p *Pool) outlook(j *job, o int, now time.Time) outlook {
	var out outlook
	oc := &j.occurrences[o]
	left := make([]time.Duration, len(oc.steps))
	whole := make([]time.Duration, len(oc.steps))
	for s := range oc.steps {
		st := &oc.steps[s]
		each := p.expected(st.tasks[0])
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
		out.chain, out.whole = max(out.chain, left[s]), max(out.whole, whole[s])
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
