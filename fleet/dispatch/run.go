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
	// ordered runs have a start on its way.
	ordered phase = iota
	// unanswered runs may be present, now or until the start's lease ends.
	unanswered
	present
	stopping
)

type run struct {
	task   *task
	number int
	worker *worker
	phase  phase
	// startEnd is the worker's clock at which a start on its way is refused, startClock the one at which it was present.
	startEnd   time.Duration
	startClock time.Duration
	// stopClock is the worker's clock at which it took a stop of the run.
	stopClock time.Duration
	orderedAt time.Time
	// adopted runs were started by a holder before.
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
	// uncertain runs may be carried out by a later life of the worker than they were ordered from, whatever the end of their lease.
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
