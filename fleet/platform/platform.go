package platform

import (
	"context"
	"errors"
	"net/netip"
	"time"
)

var (
	// ErrUnavailable is returned when the platform does not answer; a command may or may not have been applied.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrUnknownInstance is returned when the platform does not know the instance.
	ErrUnknownInstance = errors.New("unknown instance")
	// ErrUnknownTask is returned when the worker does not run the task.
	ErrUnknownTask = errors.New("unknown task")
	// ErrTaskLease is returned when a command carries a lease epoch lower than the task's.
	ErrTaskLease = errors.New("task lease epoch is outdated")
)

// Location holds the failure domains of an instance, from large to small.
type Location struct {
	Region     string `json:"region"`
	DataCentre string `json:"dataCentre"`
	Rack       string `json:"rack"`
}

// Resources holds amounts of CPU in thousandths of a core, memory in bytes and accelerators in units.
type Resources struct {
	MilliCores   int64 `json:"milliCores"`
	MemoryBytes  int64 `json:"memoryBytes"`
	Accelerators int64 `json:"accelerators"`
}

// Status is the status of an instance in the platform's list.
type Status string

// Statuses in the platform's list.
const (
	Live    Status = "live"
	Leaving Status = "leaving"
	Gone    Status = "gone"
)

// Instance is an entry of the platform's list.
type Instance struct {
	ID        string         `json:"id"`
	Addr      netip.AddrPort `json:"addr"`
	Location  Location       `json:"location"`
	Capacity  Resources      `json:"capacity"`
	Status    Status         `json:"status"`
	BootCount int            `json:"bootCount"`
	Healthy   bool           `json:"healthy"`
}

// Listing holds the changes of the platform's list after a version.
type Listing struct {
	Version   uint64     `json:"version"`
	AsOf      time.Time  `json:"asOf"`
	Instances []Instance `json:"instances"`
}

// Control lists instances and executes planned stops; commands with the same command id take effect once.
type Control interface {
	// List returns the instances that changed after a version; version 0 returns all.
	List(ctx context.Context, after uint64) (Listing, error)
	// InFlight returns how many requests the instance is working on.
	InFlight(ctx context.Context, id string) (int, error)
	// Reboot restarts an instance once for each command id.
	Reboot(ctx context.Context, id, commandID string) error
	// Retire takes an instance out of the fleet once for each command id.
	Retire(ctx context.Context, id, commandID string) error
}

// TaskState is the state of a task on a worker.
type TaskState string

// States of a task.
const (
	TaskRunning      TaskState = "running"
	TaskThrottled    TaskState = "throttled"
	TaskCheckpointed TaskState = "checkpointed"
	TaskSucceeded    TaskState = "succeeded"
	TaskFailed       TaskState = "failed"
	TaskStopped      TaskState = "stopped"
)

// Task is a job's execution on a worker under a lease.
type Task struct {
	ID       string        `json:"id"`
	Epoch    uint64        `json:"epoch"`
	LeaseFor time.Duration `json:"leaseFor"`
	Reserved Resources     `json:"reserved"`
	Argument string        `json:"argument,omitempty"`
}

// Usage is a worker's report about one of its tasks; it may be outdated.
type Usage struct {
	TaskID string    `json:"taskId"`
	Epoch  uint64    `json:"epoch"`
	State  TaskState `json:"state"`
	Used   Resources `json:"used"`
	AsOf   time.Time `json:"asOf"`
	Reason string    `json:"reason,omitempty"`
}

// Workers runs tasks on workers; every command is idempotent for the same task id and epoch.
type Workers interface {
	// Start begins a task, or returns ErrTaskLease when a higher epoch was seen.
	Start(ctx context.Context, worker string, t Task) error
	// RenewLease extends a task's lease; the worker stops a task whose lease expires.
	RenewLease(ctx context.Context, worker, task string, epoch uint64) error
	// Checkpoint saves a task's progress and stops it.
	Checkpoint(ctx context.Context, worker, task string, epoch uint64) error
	// Throttle limits a task to a percentage of its reserved CPU.
	Throttle(ctx context.Context, worker, task string, epoch uint64, percent int) error
	// Stop ends a task.
	Stop(ctx context.Context, worker, task string, epoch uint64) error
	// Report returns the usage of all tasks of a worker.
	Report(ctx context.Context, worker string) ([]Usage, error)
}
