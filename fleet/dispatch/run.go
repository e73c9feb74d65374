package dispatch

import (
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
)

type run struct {
	task   *task
	number int
	worker *worker
	phase  phase
	// startLeaseEnd is the worker's clock after which it refuses a start in transit, startClock its clock when the run was present.
	startLeaseEnd time.Duration
	startClock    time.Duration
	// stopClock is the worker's clock when it accepted a stop of the run.
	stopClock time.Duration
	orderedAt time.Time
	// adopted runs were started by a previous holder.
	adopted    bool
	presentAt  time.Time
	stopSent   time.Time
	stopReason string
	percent    int
	// progressAt is when the percentage was last seen to change.
	progressAt time.Time
	figure     float64
	pace       int
	pacedAt    time.Time
	// uncertain runs may be carried out by a later incarnation of the worker than the one they were ordered from, whatever the end of
	// their lease.
	uncertain bool
}

// attach adds a run to its worker and its task.
func (x *run) attach() {
	x.worker.runs[runKey{x.task.id, x.number}] = x
	x.worker.used = x.worker.used.Plus(x.task.step.Reserved())
	x.task.runs = append(x.task.runs, x)
	x.task.lastRun = max(x.task.lastRun, x.number)
	x.task.job.started = true
}
