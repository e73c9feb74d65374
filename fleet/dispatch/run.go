package dispatch

import (
	"slices"
	"time"

	"verbenalanding.example/fleet/workload"
)

type runKey struct {
	task workload.TaskID
	run  int
}

type phase int

const (
	// ordered runs have a start in transit.
	ordered phase = iota
	// unanswered runs may be present, or may become present until the lease of the start ends.
	unanswered
	present
	stopping
	// ended runs have ended with their worker.
	ended
)

type run struct {
	task   *task
	number int
	worker *worker
	phase  phase
	// startLeaseEnd is the time on the worker's clock after which it refuses the start; startClock is its clock when the run was first
	// known to be present, or 0.
	startLeaseEnd time.Duration
	startClock    time.Duration
	// stopClock is the worker's clock when it accepted a stop of the run, or 0.
	stopClock time.Duration
	orderedAt time.Time
	// adopted runs were started by a previous holder.
	adopted bool
	// presentAt is when the worker's known incarnation confirmed the run; zero before.
	presentAt  time.Time
	stopSent   time.Time
	stopReason string
	// inStops is true while the pool's list of stops holds the run.
	inStops bool
	percent int
	// firstSeen is when a report first listed the run, firstPercent its progress then.
	firstSeen    time.Time
	firstPercent int
	// resumed runs began with a checkpoint.
	resumed bool
	// progressAt is when a report last showed a change of the percentage; zero before the first report of the run.
	progressAt time.Time
	metric     float64
	pace       int
	pacedAt    time.Time
	// uncertain runs may be carried out by a later incarnation of the worker than the one that they were ordered from; the lease end of
	// their start does not bound when.
	uncertain bool
	// attributed is true once an answer or a report of the worker's known incarnation has shown the run. Before that an incarnation of
	// which this holder does not know may have accepted the start, with a lease end on another clock.
	attributed bool
	// aged runs were placed because their job had waited long.
	aged bool
}

// attach adds a run to its worker and its task.
func (x *run) attach() {
	x.worker.runs[runKey{x.task.id, x.number}] = x
	x.worker.used = x.worker.used.Plus(x.task.step.Reserved())
	if x.task.step.LongRunning {
		x.worker.longRunningCPU += x.task.step.Reserved().CPU
	}
	x.aged = x.task.job.aged
	x.task.job.account.add(x)
	if !x.task.done && len(x.task.runs) == 0 {
		x.task.countWithoutRun(-1)
	}
	x.task.runs = append(x.task.runs, x)
	x.task.lastRun = max(x.task.lastRun, x.number)
}

// running reports whether a worker has confirmed the run, and it is not known to have ended.
func (x *run) running() bool {
	return (x.phase == present || x.phase == stopping) && !x.presentAt.IsZero()
}

// detach removes a run from its worker and frees the capacity that it reserved.
func (x *run) detach() {
	delete(x.worker.runs, runKey{x.task.id, x.number})
	x.worker.used = x.worker.used.Minus(x.task.step.Reserved())
	if x.task.step.LongRunning {
		x.worker.longRunningCPU -= x.task.step.Reserved().CPU
	}
	x.task.job.account.remove(x)
}

// removeRun removes a run from its task.
func (t *task) removeRun(x *run) {
	if i := slices.Index(t.runs, x); i >= 0 {
		t.runs = slices.Delete(t.runs, i, i+1)
		if !t.done && len(t.runs) == 0 {
			t.countWithoutRun(1)
		}
	}
}

// failedAttempts returns how often a task has failed, or its gang: the tasks of one run of a gang have the same number.
func (t *task) failedAttempts() int {
	if !t.step.Gang {
		return len(t.failedRuns)
	}
	var runs []int
	for _, member := range t.state.tasks {
		runs = append(runs, member.failedRuns...)
	}
	slices.Sort(runs)
	return len(slices.Compact(runs))
}
