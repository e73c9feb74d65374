package days

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"verbenalanding.example/platform/standin"
	"verbenalanding.example/platform/wire"
)

const (
	leastNodes, mostNodes     = 3, 9
	leastWorkers, mostWorkers = 10, 50
	mostPools                 = 3
	// The mean time between two faults, which may overlap, is drawn for each day, and so is the weight of each group of faults.
	leastFaultPause = 300 * time.Millisecond
	mostFaultPause  = 4 * time.Second
	mostWeight      = 3
	// settleTime passes before the first job and the first fault.
	settleTime = 1500 * time.Millisecond
	// Jobs a second for each worker, drawn for each day: tasks wait for room on the days with most of them.
	leastJobShare, mostJobShare = 0.08, 0.4
	// lateShare is the part of the nodes that start late.
	lateShare = 0.15
	// lastingEvery is how many jobs there are for one that lasts.
	lastingEvery = 10
	// cancelShare is the part of the jobs that their callers cancel.
	cancelShare = 0.1
)

// script is all that is drawn of a day before it begins.
type script struct {
	seed   uint64
	cores  []float64
	lates  []time.Duration
	rates  []float64
	pools  map[string]int
	names  []string
	reused map[string]bool
	jobs   []call
	faults []fault
}

// call is a job with its caller.
type call struct {
	at    time.Duration
	pool  string
	job   *standin.Job
	first int
	// cancel is the time from the acceptance to the wish to cancel; negative without one.
	cancel time.Duration
}

// machineRate returns how fast the clock of a machine's worker runs: a third each true, anything the platform states, the slowest.
func (s *script) machineRate(machine string) float64 {
	sum := sha256.Sum256(fmt.Appendf(nil, "%d %s", s.seed, machine))
	switch sum[0] % 3 {
	case 0:
		return 1
	case 1:
		return slowestClock + (1-slowestClock)*float64(sum[1])/255
	}
	return slowestClock
}

// draw draws a day of a seed with some time of faults.
func draw(seed uint64, lasts time.Duration) *script {
	random := rand.New(rand.NewPCG(seed, 1))
	s := &script{seed: seed, pools: map[string]int{}}
	for range leastNodes + random.IntN(mostNodes-leastNodes+1) {
		s.cores = append(s.cores, 0.4*float64(1+random.IntN(3)))
		late := time.Duration(0)
		if random.Float64() < lateShare {
			late = between(random, 0, lasts/2)
		}
		s.lates = append(s.lates, late)
		s.rates = append(s.rates, 1)
	}
	// One node at least is there from the beginning.
	s.lates[random.IntN(len(s.lates))] = 0
	workers := leastWorkers + random.IntN(mostWorkers-leastWorkers+1)
	pools := 1 + random.IntN(mostPools)
	for i := range pools {
		name := fmt.Sprintf("pool%d", i)
		s.names = append(s.names, name)
		s.pools[name] = max(2, workers/pools)
	}
	s.drawJobs(rand.New(rand.NewPCG(seed, 2)), lasts, float64(workers)*leastJobShare*math.Pow(mostJobShare/leastJobShare, random.Float64()))
	s.drawFaults(rand.New(rand.NewPCG(seed, 3)), lasts)
	return s
}

func between(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Int64N(int64(most-least)))
}

func (s *script) drawJobs(random *rand.Rand, lasts time.Duration, perSecond float64) {
	for at := settleTime; at < lasts; at += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)) {
		i := len(s.jobs) + 1
		c := call{at: at, pool: s.names[random.IntN(len(s.names))], first: random.IntN(len(s.cores)), cancel: -1, job: drawJob(random, i)}
		if random.Float64() < cancelShare {
			c.cancel = between(random, 0, 4*time.Second)
		}
		s.jobs = append(s.jobs, c)
	}
}

func drawJob(random *rand.Rand, i int) *standin.Job {
	j := &standin.Job{ID: fmt.Sprintf("%016x", i), RunTime: between(random, 100*time.Millisecond, time.Second), FailureShare: 0.1 * float64(random.IntN(3))}
	j.Spec = "day"
	cpu := int64(500 * (1 + random.IntN(6)))
	switch {
	case i%lastingEvery == lastingEvery/2:
		j.Steps = []wire.Step{{Count: 1 + random.IntN(3), CPU: cpu, MemMb: 256, LongRunning: true, MayMiss: 1}}
	case random.IntN(3) == 0:
		// Tasks that outlast the replacement of a holder.
		j.RunTime += between(random, time.Second, 5*time.Second)
		j.Steps = []wire.Step{{Count: 1 + random.IntN(6), CPU: cpu, MemMb: 256, EstimateMs: 3000}}
	default:
		for step := range 1 + random.IntN(3) {
			w := wire.Step{Count: 1 + random.IntN(5), CPU: cpu, MemMb: 256, EstimateMs: 500, MaxPerServer: random.IntN(3)}
			if step > 0 {
				w.After = []int{step - 1}
			}
			j.Steps = append(j.Steps, w)
		}
	}
	return j
}

func (c *call) lasting() bool { return c.job.Steps[0].LongRunning }

func (c *call) tasks() int {
	n := 0
	for i := range c.job.Steps {
		n += c.job.Steps[i].Count
	}
	return n
}

// hash identifies what was drawn.
func (s *script) hash() string {
	h := sha256.New()
	fmt.Fprintln(h, s.cores, s.lates, s.rates, s.names, s.pools)
	for _, c := range s.jobs {
		fmt.Fprintln(h, c.at, c.pool, c.first, c.cancel, c.job.ID, c.job.RunTime, c.job.FailureShare, c.job.Steps)
	}
	for _, f := range s.faults {
		fmt.Fprintln(h, f.at, f.kind, f.what, f.lasts)
	}
	return hex.EncodeToString(h.Sum(nil))[:16]
}

// kinds returns the kinds of fault of the day.
func (s *script) kinds() []string {
	var list []string
	for _, f := range s.faults {
		if !slices.Contains(list, f.kind) {
			list = append(list, f.kind)
		}
	}
	slices.Sort(list)
	return list
}
