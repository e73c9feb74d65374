package placement

import (
	"slices"
	"time"

	"verbenalanding.example/fleet/platform"
)

// maxSamples is the number of samples kept per job kind. 32 runs give a usable 90th percentile, and a change in the kind's
// usage fully replaces the earlier samples after 32 runs.
const maxSamples = 32

// maxKinds limits the memory for job kinds to about 2.5 MB per planner, since callers might use a new kind for every job.
// The oldest kind is evicted first; if it is still in use, it is learned again.
const maxKinds = 2048

// maxLearnedFactor is the largest accepted ratio between a learned and a declared size. Declared sizes are wrong by up to a
// factor of 10; a larger difference is more likely an error in the usage report.
const maxLearnedFactor = 16

// kind holds usage and run time samples of the jobs of one kind.
type kind struct {
	peaks     [maxSamples]platform.Resources
	runs      [maxSamples]time.Duration
	peakCount int
	runCount  int
	// size and runTime are recomputed whenever a sample is added.
	size    platform.Resources
	runTime time.Duration
}

func (k *kind) addPeak(peak platform.Resources) {
	k.peaks[k.peakCount%maxSamples] = peak
	k.peakCount++
	n := min(k.peakCount, maxSamples)
	cores := make([]int64, n)
	size := platform.Resources{}
	for i, p := range k.peaks[:n] {
		cores[i] = p.MilliCores
		size = maximum(size, p)
	}
	slices.Sort(cores)
	// A shortage of CPU only slows a job down, but a shortage of memory kills it. The CPU size is therefore the 90th
	// percentile, and the memory size the largest observed use plus 5%.
	size.MilliCores = cores[(n-1)*9/10]
	size.MemoryBytes = size.MemoryBytes / 20 * 21
	k.size = size
}

func (k *kind) addRun(run time.Duration) {
	k.runs[k.runCount%maxSamples] = run
	k.runCount++
	n := min(k.runCount, maxSamples)
	runs := slices.Clone(k.runs[:n])
	slices.Sort(runs)
	k.runTime = runs[(n-1)*9/10]
}

// estimate returns the size to reserve for a job and whether it is learned rather than declared.
func (p *Planner) estimate(j Job) (platform.Resources, bool) {
	k := p.kinds[j.Kind]
	if k == nil || k.peakCount < p.settings.MinSamples {
		return j.Declared, false
	}
	low := scale(j.Declared, 1, maxLearnedFactor)
	low.MilliCores = max(low.MilliCores, 10)
	high := scale(j.Declared, maxLearnedFactor, 1)
	return minimum(maximum(k.size, low), maximum(high, low)), true
}

// expectedRun returns the learned run time of the job's kind, or the declared run time while the kind has too few samples.
func (p *Planner) expectedRun(j Job) time.Duration {
	if k := p.kinds[j.Kind]; k != nil && k.runCount >= p.settings.MinSamples {
		return k.runTime
	}
	return j.RunTime
}

func (p *Planner) kind(name string) *kind {
	k := p.kinds[name]
	if k == nil {
		if len(p.kindOrder) >= maxKinds {
			delete(p.kinds, p.kindOrder[0])
			p.kindOrder = p.kindOrder[1:]
		}
		k = &kind{}
		p.kinds[name] = k
		p.kindOrder = append(p.kindOrder, name)
	}
	return k
}
