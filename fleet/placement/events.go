package placement

import (
	"time"

	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/platform"
)

// Job holds the properties of a job that placement depends on.
type Job struct {
	ID       string
	Team     string
	Pool     string
	Kind     string
	Class    declaration.Class
	Declared platform.Resources
	// RunTime is the declared run time; 0 means unknown.
	RunTime time.Duration
	// Deadline is the time by which the job should have finished; zero means no deadline.
	Deadline time.Time
	// Repeatable allows the job to be stopped and started again.
	Repeatable bool
	// Checkpoints means that the job can save its progress.
	Checkpoints bool
	Submitted   time.Time
}

// Worker is a worker that may run jobs of its pool.
type Worker struct {
	ID       string
	Pool     string
	Location platform.Location
	Capacity platform.Resources
	// Closed prevents new jobs from being placed on the worker; its running jobs stay.
	Closed bool
	// Probe limits the worker to one repeatable, non-urgent job at a time.
	Probe bool
}

// Quota limits the total that the jobs of a team may reserve.
type Quota struct {
	// Total is the declared quota; a larger job can never run.
	Total platform.Resources
	// Granted is the part of Total that this planner may use.
	Granted platform.Resources
}

// Event is an input of Planner.Handle.
type Event interface{ event() }

// Submit adds a job to the queue.
type Submit struct{ Job Job }

// Adopt adds a job that is already running, for example after a takeover.
type Adopt struct {
	Job      Job
	Worker   string
	Reserved platform.Resources
	Started  time.Time
}

// Confirmed reports that a worker runs a job. A job can be throttled only after its confirmation.
type Confirmed struct{ ID string }

// Cancel removes waiting and running jobs from the planner; the caller ends the tasks of running ones.
type Cancel struct{ IDs []string }

// Requeue returns a job that was assigned to a worker to the queue.
type Requeue struct {
	ID string
	// NotBefore is the earliest time of the next start.
	NotBefore time.Time
	// Avoid is a worker on which the job failed; the job is not placed there for one minute.
	Avoid string
}

// Ended reports that a job's task has ended.
type Ended struct {
	ID string
	// Succeeded means that the run time and the peak use are added to the samples of the job's kind.
	Succeeded bool
}

// Used reports the resource usage of a job's task; the figures may be some seconds old.
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

// Suspects replaces the set of suspect job kinds. Only one job of a suspect kind runs at a time in a pool.
type Suspects struct{ Kinds []string }

// Tick runs a planning step over the pools that changed since the last step and those that are due for replanning.
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

// Rule is the reason for a placement decision: why a job starts, waits, is preempted or can never run.
type Rule string

// Rules named by actions and by Planner.Explain.
const (
	RuleFits                Rule = "fits"
	RulePreempted           Rule = "preempted"
	RuleThrottleLifted      Rule = "throttleLifted"
	RuleQueued              Rule = "queued"
	RuleNoWorkers           Rule = "noWorkers"
	RuleNoCapacity          Rule = "noRoom"
	RuleQuota               Rule = "teamQuota"
	RuleUrgentReserve       Rule = "urgentReserve"
	RuleAwaitingPreemption  Rule = "awaitingPreemption"
	RuleSuspect             Rule = "suspectKind"
	RuleBackoff             Rule = "backoff"
	RuleTooLarge            Rule = "largerThanAnyWorker"
	RuleAboveQuota          Rule = "largerThanQuota"
	RuleUnknownTeam         Rule = "unknownTeam"
	RuleInvalidSize         Rule = "invalidSize"
	RuleLearnedSizeTooLarge Rule = "observedUseLargerThanAnyWorker"
)

// Action is an output of Planner.Handle.
type Action interface{ action() }

// Start places a job on a worker and reserves resources for it.
type Start struct {
	Job      string
	Worker   string
	Reserved platform.Resources
	Rule     Rule
	Detail   string
}

// Checkpoint preempts a running job for Beneficiary: the job saves its progress and exits.
type Checkpoint struct {
	Job         string
	Worker      string
	Beneficiary string
	Detail      string
}

// Throttle limits a running job to a percentage of its CPU in favour of Beneficiary; 100 lifts the limit.
type Throttle struct {
	Job         string
	Worker      string
	Percent     int
	Beneficiary string
	Detail      string
}

// Stop preempts a running repeatable job for Beneficiary; the job is queued again.
type Stop struct {
	Job         string
	Worker      string
	Beneficiary string
	Detail      string
}

// Wait reports why a job was not placed; it is emitted when the rule changes.
type Wait struct {
	Job    string
	Rule   Rule
	Detail string
}

// Impossible reports that a job can never run; the planner has removed it.
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
