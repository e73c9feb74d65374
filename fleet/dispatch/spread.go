package dispatch

import (
	"slices"
	"time"

	"verbenalanding.example/fleet/workload"
)

const (
	// spreadSamples is how many of the last run times of a kind are kept, minSpreadSamples from how many on they are used.
	spreadSamples    = 40
	minSpreadSamples = 8
	// defaultSpread is the assumed ratio of nine tenths of the run times to their median before enough of them are known.
	defaultSpread = 2
	// minProgress is the progress in percent since a run was first seen from which on its end is estimated by its progress; progressSpread is
	// the assumed spread of that estimate.
	minProgress    = 10
	progressSpread = 1.25
)

// runRatios holds the last ratios of actual to declared run times of a kind of task.
type runRatios struct {
	ring [spreadSamples]float32
	// samples counts all of them.
	samples int
	sorted  []float32
}

func (r *runRatios) add(ratio float64) {
	r.ring[r.samples%spreadSamples] = float32(ratio)
	r.samples++
	r.sorted = nil
}

// quantile returns a quantile of the ratios; ok is false while too few are known.
func (r *runRatios) quantile(q float64) (ratio float64, ok bool) {
	if r == nil || r.samples < minSpreadSamples {
		return 0, false
	}
	if r.sorted == nil {
		r.sorted = slices.Sorted(slices.Values(r.ring[:min(r.samples, spreadSamples)]))
	}
	return float64(r.sorted[min(len(r.sorted)-1, int(q*float64(len(r.sorted))))]), true
}

// learnSpread learns from a run that is done. Unlike learnDuration it takes runs with checkpoints too, if they did not begin with one.
func (p *Pool) learnSpread(x *run, now time.Time) {
	if x.presentAt.IsZero() || x.adopted || x.resumed || x.task.step.LongRunning {
		return
	}
	key := x.task.meanKey()
	r := p.runRatios[key]
	if r == nil {
		r = &runRatios{}
		p.runRatios[key] = r
	}
	r.add(float64(now.Sub(x.presentAt)) / float64(declaredDuration(x.task)))
}

// likelyDuration returns the time within which a share of the runs of a task's kind end.
func (p *Pool) likelyDuration(t *task, share float64) time.Duration {
	if ratio, ok := p.runRatios[t.meanKey()].quantile(share); ok {
		return min(workload.Scale(declaredDuration(t), ratio), workload.MaxEstimate)
	}
	if share > medianShare {
		return workload.Scale(p.expectedDuration(t), defaultSpread)
	}
	return p.expectedDuration(t)
}

const (
	medianShare = 0.5
	mostShare   = 0.9
)

// timeLeft estimates how long a run still takes, by its progress if there is enough, and the ratio by which it may be longer; ok is false for a run
// that does not end by itself.
func (p *Pool) timeLeft(x *run, now time.Time) (left time.Duration, spread float64, ok bool) {
	switch {
	case x.phase == stopping || x.phase == ended:
		return p.Settings.StopTime, 1, true
	case x.task.step.LongRunning:
		return 0, 1, false
	}
	if left, known := p.leftByProgress(x, now); known {
		return left, progressSpread, true
	}
	median := p.likelyDuration(x.task, medianShare)
	// A run that has taken longer than most is likely to be one of the long ones.
	left = max(median-now.Sub(x.orderedAt), median/4, now.Sub(x.orderedAt)-median)
	return left, max(1, float64(p.likelyDuration(x.task, mostShare))/float64(max(1, median))), true
}

// leftByProgress estimates by a run's progress how long it still takes; known is false for too little progress.
func (p *Pool) leftByProgress(x *run, now time.Time) (left time.Duration, known bool) {
	done := x.percent - x.firstPercent
	if done < minProgress {
		return 0, false
	}
	left = workload.Scale(x.progressAt.Sub(x.firstSeen), float64(100-x.percent)/float64(done)) - now.Sub(x.progressAt)
	return max(0, left), true
}
