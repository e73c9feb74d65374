package days

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"verbenalanding.example/platform/standin"
	"verbenalanding.example/platform/wire"
)

const (
	minNodes, maxNodes     = 3, 9
	minWorkers, maxWorkers = 10, 50
	maxPools               = 3
	// The mean time between two faults, which may overlap, and the weight of each group of faults are random for each day.
	minFaultInterval = 300 * time.Millisecond
	maxFaultInterval = 4 * time.Second
	maxWeight        = 3
	// startupTime is the time before the first job and the first fault.
	startupTime = 1500 * time.Millisecond
	// Jobs per second and worker, random for each day. On the days with the highest rates tasks wait for free capacity.
	minJobRate, maxJobRate = 0.08, 0.4
	// lateNodeShare is the share of nodes that start late.
	lateNodeShare = 0.15
	// longRunningEvery is the number of jobs of which one is long-running.
	longRunningEvery = 10
	// cancelShare is the share of jobs that their callers cancel.
	cancelShare = 0.1
)

// script holds the random faults, jobs and processes of a day, which are generated before it starts.
type script struct {
	seed        uint64
	cores       []float64
	startDelays []time.Duration
	clockRates  []float64
	pools       map[string]int
	poolNames   []string
	jobs        []submission
	faults      []fault
}

// submission is a job with the actions of its caller.
type submission struct {
	at        time.Duration
	pool      string
	job       *standin.Job
	firstNode int
	// cancel is the time from the acceptance of the job to its cancellation; negative for a job that is not cancelled.
	cancel time.Duration
}

// machineClockRate returns the clock rate of a machine's worker. A third of the machines have the true rate, a third a random rate that the
// platform allows, and a third the slowest one.
func (s *script) machineClockRate(machine string) float64 {
	sum := sha256.Sum256(fmt.Appendf(nil, "%d %s", s.seed, machine))
	switch sum[0] % 3 {
	case 0:
		return 1
	case 1:
		return slowestClock + (1-slowestClock)*float64(sum[1])/255
	}
	return slowestClock
}

// newScript generates the day of a seed with faults for the given time.
func newScript(seed uint64, duration time.Duration) *script {
	random := rand.New(rand.NewPCG(seed, 1))
	s := &script{seed: seed, pools: map[string]int{}}
	for range minNodes + random.IntN(maxNodes-minNodes+1) {
		s.cores = append(s.cores, 0.4*float64(1+random.IntN(3)))
		startDelay := time.Duration(0)
		if random.Float64() < lateNodeShare {
			startDelay = between(random, 0, duration/2)
		}
		s.startDelays = append(s.startDelays, startDelay)
		s.clockRates = append(s.clockRates, 1)
	}
	// At least one node runs from the start.
	s.startDelays[random.IntN(len(s.startDelays))] = 0
	workers := minWorkers + random.IntN(maxWorkers-minWorkers+1)
	pools := 1 + random.IntN(maxPools)
	for i := range pools {
		name := fmt.Sprintf("pool%d", i)
		s.poolNames = append(s.poolNames, name)
		s.pools[name] = max(2, workers/pools)
	}
	s.drawJobs(rand.New(rand.NewPCG(seed, 2)), duration, float64(workers)*minJobRate*math.Pow(maxJobRate/minJobRate, random.Float64()))
	s.drawFaults(rand.New(rand.NewPCG(seed, 3)), duration)
	return s
}

func between(random *rand.Rand, lower, upper time.Duration) time.Duration {
	return lower + time.Duration(random.Int64N(int64(upper-lower)))
}

func (s *script) drawJobs(random *rand.Rand, duration time.Duration, perSecond float64) {
	for at := startupTime; at < duration; at += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)) {
		i := len(s.jobs) + 1
		c := submission{at: at, pool: s.poolNames[random.IntN(len(s.poolNames))], firstNode: random.IntN(len(s.cores)), cancel: -1, job: drawJob(random, i)}
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
	case i%longRunningEvery == longRunningEvery/2:
		j.Steps = []wire.Step{{Count: 1 + random.IntN(3), CPU: cpu, MemMb: 256, LongRunning: true, MayMiss: 1}}
	case random.IntN(3) == 0:
		// Tasks that outlast a takeover.
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

func (c *submission) longRunning() bool { return c.job.Steps[0].LongRunning }

func (c *submission) taskCount() int {
	n := 0
	for i := range c.job.Steps {
		n += c.job.Steps[i].Count
	}
	return n
}

// hash returns a hash of everything that was generated.
func (s *script) hash() string {
	h := sha256.New()
	fmt.Fprintln(h, s.cores, s.startDelays, s.clockRates, s.poolNames, s.pools)
	for _, c := range s.jobs {
		fmt.Fprintln(h, c.at, c.pool, c.firstNode, c.cancel, c.job.ID, c.job.RunTime, c.job.FailureShare, c.job.Steps)
	}
	for _, f := range s.faults {
		fmt.Fprintln(h, f.at, f.kind, f.detail, f.duration)
	}
	return hex.EncodeToString(h.Sum(nil))[:16]
}
