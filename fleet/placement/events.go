package placement

import (
	"time"

	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/platform"
)

// Job is a job as the planner sees it.
type Job struct {
	ID       string
	Team     string
	Pool     string
	Kind     string
	Class    declaration.Class
	Declared platform.Resources
	// RunTime is the declared run time; 0 means unknown.
	RunTime time.Duration
	// Deadline is the time by which the job should have finished; zero sets none.
	Deadline time.Time
	// Repeatable allows the job to be stopped and started again.
	Repeatable bool
	// Checkpoints says that the job can save its progress.
	Checkpoints bool
	Submitted   time.Time
}

// Worker is a worker that may run jobs of its pool.
type Worker struct {
	ID       string
	Pool     string
	Location platform.Location
	Capacity platform.Resources
	// Closed keeps new jobs away from the worker; its running jobs stay.
	Closed bool
	// Probe limits the worker to one repeatable job below the urgent class.
	Probe bool
}

// Quota is what the jobs of a team may reserve together.
type Quota struct {
	// Total is the declared quota; a larger job can never run.
	Total platform.Resources
	// Granted is the part that this planner may use; it is at most Total.
	Granted platform.Resources
}

// Event is an input of Planner.Handle.
type Event interface{ event() }

// Submit adds a job to the queue.
type Submit struct{ Job Job }

// Adopt adds a job that already runs, as after a take-over.
type Adopt struct {
	Job      Job
	Worker   string
	Reserved platform.Resources
	Started  time.Time
}

// Confirmed says that a worker runs a job; only then can the job be throttled.
type Confirmed struct{ ID string }

// Cancel removes waiting jobs and forgets running ones; the caller ends their tasks.
type Cancel struct{ IDs []string }

// Requeue puts a job that was given to a worker back into the queue.
type Requeue struct {
	ID string
	// NotBefore is the earliest time of the next start.
	NotBefore time.Time
	// Avoid is a worker on which the job failed; it is not used for the job for a minute.
	Avoid string
}

// Ended reports that a job's task is over.
type Ended struct {
	ID string
	// Succeeded lets the planner learn from the run time.
	Succeeded bool
}

// Used reports the usage of a job's task, which may be some seconds old.
type Used struct {
	ID   string
	Used platform.Resources
	AsOf time.Time
}

// WorkerUp adds a worker or changes its fields.
type WorkerUp struct{ Worker Worker }

// WorkerDown removes a worker; the caller ends or requeues the jobs that ran there.
type WorkerDown struct{ ID string }

// Quotas replaces the quotas of all teams.
type Quotas struct{ Teams map[string]Quota }

// Suspects replaces the job kinds that may run one at a time per pool only.
type Suspects struct{ Kinds []string }

// Tick runs a planning step over the pools that changed since the last one.
type Tick struct{}

func (Submit) event()     {}
func (Adopt) event()      {}
func (Confirmed) event()  {}
func (Cancel) event()     {}
func (Requeue) event()    {}
func (Ended) event()      {}
func (Used) event()       {}
func (WorkerUp) event()   {}
func (WorkerDown) event() {}
func (Quotas) event()     {}
func (Suspects) event()   {}
func (Tick) event()       {}

// Rule names why a job waits, is preempted or can never run.
type Rule string

// The rules that actions name.
const (
	RuleFits           Rule = "fits"
	RulePreempted      Rule = "preempted"
	RuleRestored       Rule = "throttleLifted"
	RuleQueued         Rule = "queued"
	RuleNoWorkers      Rule = "noWorkers"
	RuleNoRoom         Rule = "noRoom"
	RuleQuota          Rule = "teamQuota"
	RuleReserve        Rule = "urgentReserve"
	RulePreempting     Rule = "awaitingPreemption"
	RuleSuspect        Rule = "suspectKind"
	RuleBackoff        Rule = "backoff"
	RuleTooLarge       Rule = "largerThanAnyWorker"
	RuleAboveQuota     Rule = "largerThanQuota"
	RuleUnknownTeam    Rule = "unknownTeam"
	RuleInvalidSize    Rule = "invalidSize"
	RuleLearnedTooMuch Rule = "observedUseLargerThanAnyWorker"
)

// Action is an output of Planner.Handle.
type Action interface{ action() }

// Start places a job on a worker with a reservation.
type Start struct {
	Job      string
	Worker   string
	Reserved platform.Resources
	Rule     Rule
	Detail   string
}

// Checkpoint asks a running job to save its progress and leave, to make room for another job.
type Checkpoint struct {
	Job         string
	Worker      string
	Beneficiary string
	Detail      string
}

// Throttle limits a running job to a share of its processors in hundredths; 100 lifts the limit.
type Throttle struct {
	Job         string
	Worker      string
	Percent     int
	Beneficiary string
	Detail      string
}

// Stop ends a running repeatable job, which is queued again, to make room for another job.
type Stop struct {
	Job         string
	Worker      string
	Beneficiary string
	Detail      string
}

// Wait says why a job was not placed; it is returned when the rule changes.
type Wait struct {
	Job    string
	Rule   Rule
	Detail string
}

// Impossible says that a job can never run; the planner has dropped it.
type Impossible struct {
	Job    string
	Rule   Rule
	Detail string
}

func (Start) action()      {}
func (Checkpoint) action() {}
func (Throttle) action()   {}
func (Stop) action()       {}
func (Wait) action()       {}
func (Impossible) action() {}
