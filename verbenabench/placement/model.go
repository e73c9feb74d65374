package placement

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"verbenalanding.example/fleet/declaration"
	policy "verbenalanding.example/fleet/placement"
	"verbenalanding.example/fleet/platform"
)

const (
	gib = int64(1) << 30
	// tickEvery is the length of a simulated step, which is that of the duty loop.
	tickEvery = 250 * time.Millisecond
	// usageLag is the delay of reports of usage and of the end of a task.
	usageLag = 2 * time.Second
	// checkpointTime is how long a checkpoint takes.
	checkpointTime = 1500 * time.Millisecond
	// failAfter is how long a task runs on a bad worker before it fails.
	failAfter = time.Second
)

// kindModel is a kind of job with its actual and its declared size.
type kindModel struct {
	name        string
	class       declaration.Class
	actual      platform.Resources
	declared    platform.Resources
	actualRun   time.Duration
	declaredRun time.Duration
	repeatable  bool
	checkpoints bool
}

// jobModel is a job with its progress and its outcome.
type jobModel struct {
	policy.Job
	kind *kindModel
	// actual is the job's actual usage, which varies by a fifth around that of its kind.
	actual    platform.Resources
	actualRun time.Duration
	started   time.Time
	ended     time.Time
	// failures counts the failed attempts. lost is true if the job may not be repeated and an attempt failed.
	failures          int
	badWorkerFailures int
	lost              bool
	refused           bool
	cancelled         bool
	done              time.Duration
	progress          time.Duration
}

// taskModel is an attempt of a job that runs on a worker.
type taskModel struct {
	job          *jobModel
	reserved     platform.Resources
	cpuPercent   int
	checkpointAt time.Time
	startedAt    time.Time
}

// workerModel is a worker. If it is bad, all its tasks fail.
type workerModel struct {
	policy.Worker
	bad   bool
	down  bool
	tasks []*taskModel
}

// attemptEnd reports the end of an attempt. It reaches the policy after usageLag.
type attemptEnd struct {
	deliverAt time.Time
	job       *jobModel
	worker    string
	outcome   attemptOutcome
}

type attemptOutcome int

const (
	succeeded attemptOutcome = iota
	failed
	checkpointed
	workerLost
)

// fleetModel holds the workers, pools, team quotas and job kinds of a deployment.
type fleetModel struct {
	workers []policy.Worker
	pools   []string
	teams   map[string]platform.Resources
	kinds   []*kindModel
	// total is the capacity of all workers.
	total platform.Resources
}

// newFleet returns a deployment of the design page.
func newFleet(deployment string, r *rand.Rand) (*fleetModel, error) {
	f := &fleetModel{teams: map[string]platform.Resources{}}
	switch deployment {
	case "cascade":
		f.addPools([]string{"fittingDesk", "cuttingRoom", "billing", "embroidery", "ledgerTools"}, []int{9, 9, 11, 12, 8}, 3, 64, 128, 0)
		f.addTeams(5)
	case "tintaviva":
		f.addPools([]string{"meterReading", "faultsAndFirmware", "deviceHistory", "consumables", "supportTools"}, []int{9, 9, 11, 12, 8}, 3, 16, 64, 0)
		f.addTeams(5)
	case "large":
		f.addLarge(4300, 197)
		f.addTeams(280)
	default:
		return nil, fmt.Errorf("unknown deployment %q: want cascade, tintaviva or large", deployment)
	}
	f.addKinds(r)
	return f, nil
}

func (f *fleetModel) addPools(names []string, sizes []int, dataCentres int, cores, memory, accelerators int64) {
	n := 0
	for p, name := range names {
		f.pools = append(f.pools, name)
		for range sizes[p] {
			f.addWorker(name, n, dataCentres, cores, memory, accelerators)
			n++
		}
	}
}

// addLarge distributes workers over pools. Every seventh worker has 8 accelerators, and so do some others, so that 4,300 workers have about
// 5,100 in total.
func (f *fleetModel) addLarge(workers, pools int) {
	for p := range pools {
		f.pools = append(f.pools, fmt.Sprintf("pool%03d", p))
	}
	for n := range workers {
		accelerators := int64(0)
		if n%7 == 0 || n%189 == 1 {
			accelerators = 8
		}
		f.addWorker(f.pools[(n/7)%pools], n, 11, 32, 128, accelerators)
	}
}

func (f *fleetModel) addWorker(pool string, n, dataCentres int, cores, memory, accelerators int64) {
	w := policy.Worker{
		ID: fmt.Sprintf("w%05d", n), Pool: pool,
		Location: platform.Location{DataCentre: fmt.Sprintf("d%02d", (n/4)%dataCentres), Rack: fmt.Sprintf("r%04d", n/4)},
		Capacity: platform.Resources{MilliCores: cores * 1000, MemoryBytes: memory * gib, Accelerators: accelerators},
	}
	f.workers = append(f.workers, w)
	f.total.MilliCores += w.Capacity.MilliCores
	f.total.MemoryBytes += w.Capacity.MemoryBytes
	f.total.Accelerators += accelerators
}

// addTeams adds teams whose quotas add up to twice the fleet, since teams rarely use their quotas at the same time.
func (f *fleetModel) addTeams(n int64) {
	for i := range n {
		f.teams[fmt.Sprintf("team%03d", i)] = platform.Resources{
			MilliCores: f.total.MilliCores * 2 / n, MemoryBytes: f.total.MemoryBytes * 2 / n, Accelerators: f.total.Accelerators * 2 / n,
		}
	}
}

// addKinds adds four kinds of job for each class. One of the standard kinds may not be repeated.
func (f *fleetModel) addKinds(r *rand.Rand) {
	cores := f.workers[0].Capacity.MilliCores
	memory := f.workers[0].Capacity.MemoryBytes
	runTimes := map[declaration.Class]time.Duration{declaration.Urgent: 6 * time.Second, declaration.Standard: 20 * time.Second, declaration.Deferrable: 60 * time.Second}
	for _, class := range declaration.Classes {
		for i := range 4 {
			share := int64(r.IntN(10) + 2)
			actual := platform.Resources{MilliCores: cores * share / 64, MemoryBytes: memory * int64(r.IntN(10)+2) / 64}
			if f.total.Accelerators > 0 && class != declaration.Urgent && i == 3 {
				actual.Accelerators = int64(r.IntN(4) + 1)
			}
			actualRun := runTimes[class] * time.Duration(r.IntN(3)+1)
			declared := actual
			declared.MilliCores, declared.MemoryBytes = actual.MilliCores*6/5, actual.MemoryBytes/5*6
			f.kinds = append(f.kinds, &kindModel{
				name: fmt.Sprintf("%s%d", class, i), class: class, actual: actual, declared: declared, actualRun: actualRun, declaredRun: actualRun,
				repeatable: class != declaration.Standard || i != 1, checkpoints: class == declaration.Deferrable || i == 2,
			})
		}
	}
}

// misdeclare makes the declared sizes and run times of the kinds wrong by a factor of up to 10 in either direction.
func (f *fleetModel) misdeclare(r *rand.Rand) {
	factors := []float64{0.1, 0.3, 3, 10}
	capacity := f.workers[0].Capacity
	for _, k := range f.kinds {
		factor := factors[r.IntN(len(factors))]
		k.declared.MilliCores = min(max(int64(float64(k.actual.MilliCores)*factor), 10), capacity.MilliCores)
		k.declared.MemoryBytes = min(int64(float64(k.actual.MemoryBytes)*factor), capacity.MemoryBytes)
		k.declaredRun = time.Duration(float64(k.actualRun) / factor)
	}
}

func fits(need, room platform.Resources) bool {
	return need.MilliCores <= room.MilliCores && need.MemoryBytes <= room.MemoryBytes && need.Accelerators <= room.Accelerators
}

func plus(a, b platform.Resources) platform.Resources {
	return platform.Resources{MilliCores: a.MilliCores + b.MilliCores, MemoryBytes: a.MemoryBytes + b.MemoryBytes, Accelerators: a.Accelerators + b.Accelerators}
}

func minus(a, b platform.Resources) platform.Resources {
	return platform.Resources{MilliCores: a.MilliCores - b.MilliCores, MemoryBytes: a.MemoryBytes - b.MemoryBytes, Accelerators: a.Accelerators - b.Accelerators}
}

func (w *workerModel) remove(t *taskModel) {
	w.tasks = slices.DeleteFunc(w.tasks, func(o *taskModel) bool { return o == t })
}
