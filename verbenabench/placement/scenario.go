package placement

import (
	"fmt"
	"math/rand/v2"
	"time"

	"verbenalanding.example/fleet/declaration"
	policy "verbenalanding.example/fleet/placement"
)

// scenario is a load with the faults that are injected during it.
type scenario struct {
	name string
	// load is the demand of each class outside the burst, as a share of the fleet.
	load map[declaration.Class]float64
	// burst holds the factors of the demand of classes during the middle third of the run.
	burst map[declaration.Class]float64
	// rackLost is true if the rack of the second worker is lost halfway through the run and does not return.
	rackLost bool
	// badShare is the share of bad workers, on which all tasks fail.
	badShare   float64
	wrongSizes bool
	// cancelAt is the share of the run after which the waiting deferrable jobs are cancelled; 0 means never.
	cancelAt float64
	// impossibleJobs is the number of jobs that are larger than any worker.
	impossibleJobs int
}

// baseLoad is the demand outside bursts, 60% of the fleet on average.
var baseLoad = map[declaration.Class]float64{declaration.Urgent: 0.08, declaration.Standard: 0.27, declaration.Deferrable: 0.25}

var scenarios = []scenario{
	{name: "calm", load: baseLoad, impossibleJobs: 3},
	{name: "deferrable 5x", load: baseLoad, burst: map[declaration.Class]float64{declaration.Deferrable: 5}},
	{name: "urgent 5x", load: baseLoad, burst: map[declaration.Class]float64{declaration.Urgent: 5}},
	{name: "both 5x", load: baseLoad, burst: map[declaration.Class]float64{declaration.Urgent: 5, declaration.Deferrable: 5}},
	{name: "deferrable 5x, rack lost", load: baseLoad, burst: map[declaration.Class]float64{declaration.Deferrable: 5}, rackLost: true},
	{name: "bad workers", load: baseLoad, badShare: 0.05},
	{name: "wrong sizes", load: baseLoad, wrongSizes: true},
	{name: "mass cancellation", load: baseLoad, burst: map[declaration.Class]float64{declaration.Deferrable: 5}, cancelAt: 0.6},
	{name: "all at once", load: baseLoad, burst: map[declaration.Class]float64{declaration.Urgent: 3, declaration.Deferrable: 5}, rackLost: true, badShare: 0.05, wrongSizes: true},
}

// arrivals returns random jobs of a scenario, class by class in the order of their submission.
func (s scenario) arrivals(f *fleetModel, r *rand.Rand, begin time.Time, length time.Duration) []*jobModel {
	var jobs []*jobModel
	for _, class := range declaration.Classes {
		kinds := f.kindsOf(class)
		cost := 0.0
		for _, k := range kinds {
			cost += f.fleetShare(k) * k.actualRun.Seconds() / float64(len(kinds))
		}
		rate := s.load[class] / cost
		at := 0.0
		for {
			current := rate
			if factor, ok := s.burst[class]; ok && at > length.Seconds()/3 && at < 2*length.Seconds()/3 {
				current *= factor
			}
			at += r.ExpFloat64() / current
			if at >= length.Seconds() {
				break
			}
			jobs = append(jobs, f.drawJob(r, kinds, begin.Add(time.Duration(at*float64(time.Second)))))
		}
	}
	return jobs
}

// fleetShare returns the share of the fleet's cores or memory that a job of the kind uses, whichever is larger.
func (f *fleetModel) fleetShare(k *kindModel) float64 {
	cores := float64(k.actual.MilliCores) / float64(f.total.MilliCores)
	memory := float64(k.actual.MemoryBytes) / float64(f.total.MemoryBytes)
	return max(cores, memory)
}

func (f *fleetModel) kindsOf(class declaration.Class) []*kindModel {
	var kinds []*kindModel
	for _, k := range f.kinds {
		if k.class == class {
			kinds = append(kinds, k)
		}
	}
	return kinds
}

// drawJob returns a job of one of the given kinds. Its run time varies by half around that of the kind.
func (f *fleetModel) drawJob(r *rand.Rand, kinds []*kindModel, at time.Time) *jobModel {
	k := kinds[r.IntN(len(kinds))]
	j := &jobModel{kind: k, actualRun: time.Duration(float64(k.actualRun) * (0.5 + r.Float64()))}
	factor := 0.8 + 0.4*r.Float64()
	j.actual = k.actual
	j.actual.MilliCores = int64(float64(k.actual.MilliCores) * factor)
	j.actual.MemoryBytes = int64(float64(k.actual.MemoryBytes) * factor)
	j.Job = policy.Job{
		Team: fmt.Sprintf("team%03d", r.IntN(len(f.teams))), Pool: f.pools[r.IntN(len(f.pools))], Kind: k.name, Class: k.class,
		Declared: k.declared, RunTime: k.declaredRun, Repeatable: k.repeatable, Checkpoints: k.checkpoints, Submitted: at,
	}
	if k.class == declaration.Standard {
		j.Deadline = at.Add(4*k.actualRun + 30*time.Second)
	}
	return j
}
