package operator

import (
	"context"
	"time"

	"verbenalanding.example/fleet/record"
)

// Records lists the system's decisions; each method returns an error if the records cannot be read.
type Records interface {
	Instances(ctx context.Context) ([]record.Instance, error)
	// Entries returns the registered entry instances.
	Entries(ctx context.Context) ([]Entry, error)
	Budgets(ctx context.Context) ([]record.Budget, error)
	Waves(ctx context.Context) ([]record.Wave, error)
	Moves(ctx context.Context) ([]record.Move, error)
	Jobs(ctx context.Context) ([]record.Job, error)
	// Refusals returns the recent refusals of the entry instances that are reachable, newest first.
	Refusals(ctx context.Context) ([]Refusal, error)
	// Quarantined returns the workers and job kinds that are in quarantine.
	Quarantined(ctx context.Context) ([]Quarantine, error)
}

// Entry is a registered entry instance. One that is not live blocks planned stops until it is live again, the platform lists
// it as gone, or an operator retires it.
type Entry struct {
	record.Entry
	Live bool
}

// Refusal is a request that was refused or has an unknown outcome.
type Refusal struct {
	RequestID string
	Service   string
	Team      string
	Class     string
	// Outcome is notRun, unknown or completed.
	Outcome string
	Reason  record.Reason
}

// Quarantine is a worker or a job kind in quarantine, which gets no work.
type Quarantine struct {
	// Kind is worker or jobKind.
	Kind   string
	Name   string
	Since  time.Time
	Reason record.Reason
}
