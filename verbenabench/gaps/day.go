package gaps

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"verbenalanding.example/fleet/workload"
)

// shape describes the work and the workers of a pool. Sizes are lognormal: a mean, the standard deviation of the logarithm, and a maximum.
type shape struct {
	name     string
	capacity workload.Resources
	// cpu and memory are the mean shares of a worker that a task needs.
	cpu, memory float64
	run         time.Duration
	// wrong is the spread of the declared run times around the actual ones.
	wrong float64
	// tail is the share of steps whose tasks run tailFactor times as long.
	tail float64
	// speculative is the share of jobs whose tasks may run twice.
	speculative float64
	// slowWorkers is the share of workers that are slow for a part of the day, as one in so many; 0 for none.
	slowWorkers int
}

const (
	// A spread is the standard deviation of a logarithm: of the CPU, memory and run time of a step's tasks, and of their number.
	cpuSpread, memorySpread, runSpread, widthSpread = 0.45, 0.6, 0.5, 0.6
	// stepSpread is the spread of the run times of the tasks of one step.
	stepSpread = 0.3
	// largest is the largest need of a task as a multiple of the mean, longest that of its run time before a tail.
	largest, longest = 3, 5
	// meanWidth is the mean number of tasks of a step, mostWidth the largest one.
	meanWidth, mostWidth = 8, 32
	// tailFactor is how many times as long the tasks of some steps run.
	tailFactor = 7
	// slowFactor is how many times as long tasks take that begin on a slow worker in the second quarter of a period.
	slowFactor = 5
)

var shapes = []shape{
	{name: "16 cores, 64 GB; small tasks", capacity: workload.Resources{CPU: 16_000, MemoryMB: 65_536}, cpu: 0.1, memory: 0.07, run: 640 * time.Millisecond, wrong: 0.9, speculative: 0.3},
	{name: "16 cores, 64 GB; larger tasks", capacity: workload.Resources{CPU: 16_000, MemoryMB: 65_536}, cpu: 0.21, memory: 0.1, run: 2100 * time.Millisecond, wrong: 0.5},
	{name: "32 cores, 128 GB; small tasks, uneven", capacity: workload.Resources{CPU: 32_000, MemoryMB: 131_072}, cpu: 0.1, memory: 0.07, run: 850 * time.Millisecond, wrong: 0.2, tail: 0.03, speculative: 0.3, slowWorkers: 12},
	{name: "32 cores, 128 GB; CPU and memory alike", capacity: workload.Resources{CPU: 32_000, MemoryMB: 131_072}, cpu: 0.17, memory: 0.17, run: 1800 * time.Millisecond, wrong: 0.5},
	{name: "32 cores, 128 GB; larger tasks, uneven", capacity: workload.Resources{CPU: 32_000, MemoryMB: 131_072}, cpu: 0.21, memory: 0.15, run: 1800 * time.Millisecond, wrong: 0.2, tail: 0.03},
}

// course is how the load of a day runs, as shares of the capacity: high for half of each period, low in the other.
type course struct {
	name      string
	high, low float64
}

var courses = []course{{"even, 0.75 of the capacity", 0.75, 0.75}, {"even, 0.9 of the capacity", 0.9, 0.9}, {"by turns, 1.4 and 0.2", 1.4, 0.2}}

const (
	// period is the time after which the load repeats itself, dayTime the time for which jobs arrive.
	period  = 24 * time.Second
	dayTime = 96 * time.Second
)

const milliPerCore = 1000

// slow reports whether a worker is slow.
func (s shape) slow(worker int, at time.Duration) bool {
	return s.slowWorkers > 0 && worker%s.slowWorkers == 0 && at%period*4/period == 1
}

// drawnTask is a task with the run time that no scheduler knows.
type drawnTask struct {
	runs time.Duration
}

type drawnStep struct {
	workload.Step
	tasks []drawnTask
}

type drawnJob struct {
	id      string
	arrives time.Duration
	steps   []drawnStep
	// chain is the longest chain of the job's run times.
	chain time.Duration
}

// drawLognormal draws a number of a lognormal distribution with a mean, bounded by most.
func drawLognormal(r *rand.Rand, mean, spread, most float64) float64 {
	return min(mean*math.Exp(spread*r.NormFloat64()-spread*spread/2), most)
}

func (c course) load(at time.Duration) float64 {
	if at%period < period/2 {
		return c.high
	}
	return c.low
}

// drawDay returns the jobs of a day, in the order in which they arrive.
func drawDay(r *rand.Rand, s shape, c course, workers int) []drawnJob {
	var jobs []drawnJob
	arriving := 0.0
	for at := time.Duration(0); at < dayTime; at += stepInterval {
		arriving += c.load(at) * float64(workers) * float64(s.capacity.CPU) / milliPerCore * stepInterval.Seconds()
		for arriving > 0 {
			j := s.drawJob(r, len(jobs), at)
			jobs = append(jobs, j)
			arriving -= j.work()
		}
	}
	return jobs
}

func (s shape) drawJob(r *rand.Rand, number int, at time.Duration) drawnJob {
	j := drawnJob{id: jobID(number), arrives: at}
	need := workload.Resources{
		CPU:      int64(float64(s.capacity.CPU) * drawLognormal(r, s.cpu, cpuSpread, largest*s.cpu)),
		MemoryMB: int64(float64(s.capacity.MemoryMB) * drawLognormal(r, s.memory, memorySpread, largest*s.memory)),
	}
	speculative := r.Float64() < s.speculative
	for n := range 1 + r.IntN(2) {
		run := drawLognormal(r, s.run.Seconds(), runSpread, longest*s.run.Seconds())
		step := drawnStep{Step: workload.Step{
			Need: need, Estimate: seconds(run * math.Exp(s.wrong*r.NormFloat64())), Speculative: speculative,
			Tasks: max(1, int(drawLognormal(r, meanWidth, widthSpread, mostWidth)+0.5)),
		}}
		if n > 0 {
			step.After = []int{n - 1}
		}
		longestTask := time.Duration(0)
		if r.Float64() < s.tail {
			run *= tailFactor
		}
		for range step.Tasks {
			took := run * math.Exp(stepSpread*r.NormFloat64())
			step.tasks = append(step.tasks, drawnTask{runs: seconds(took)})
			longestTask = max(longestTask, seconds(took))
		}
		j.chain += longestTask
		j.steps = append(j.steps, step)
	}
	return j
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// work returns the job's work in core-seconds.
func (j *drawnJob) work() float64 {
	work := 0.0
	for _, s := range j.steps {
		for _, t := range s.tasks {
			work += float64(s.Need.CPU) / milliPerCore * t.runs.Seconds()
		}
	}
	return work
}

// dominant returns the largest share of a worker's resources that a need takes.
func dominant(need, capacity workload.Resources) float64 {
	return max(float64(need.CPU)/float64(capacity.CPU), float64(need.MemoryMB)/float64(capacity.MemoryMB))
}

// deciles returns the upper bounds of the first nine deciles of the sizes of a day's tasks.
func deciles(jobs []drawnJob, capacity workload.Resources) []float64 {
	var sizes []float64
	for _, j := range jobs {
		for _, s := range j.steps {
			for range s.tasks {
				sizes = append(sizes, dominant(s.Need, capacity))
			}
		}
	}
	slices.Sort(sizes)
	bounds := make([]float64, 9)
	for i := range bounds {
		bounds[i] = sizes[(i+1)*len(sizes)/10]
	}
	return bounds
}

// decileOf returns the decile of a size, from 0 on.
func decileOf(bounds []float64, size float64) int {
	i, _ := slices.BinarySearchFunc(bounds, size, func(bound, size float64) int { return cmp.Compare(bound, size) })
	return i
}
