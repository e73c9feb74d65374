package platform

import (
	"context"
	"errors"
	"net/netip"
	"time"
)

var (
	// ErrUnavailable is returned when the platform does not answer; the command may or may not have been applied.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrUnknownInstance is returned when no instance has the given id.
	ErrUnknownInstance = errors.New("unknown instance")
	// ErrUnknownTask is returned when the worker does not run the task.
	ErrUnknownTask = errors.New("unknown task")
	// ErrTaskLease is returned when the lease epoch of a command is lower than the task's.
	ErrTaskLease = errors.New("task lease epoch is outdated")
)

// Location holds the failure domains of an instance, from the largest to the smallest.
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

// Status is the status of an instance in the platform's instance list.
type Status string

// Statuses of instances.
const (
	Live    Status = "live"
	Leaving Status = "leaving"
	Gone    Status = "gone"
)

// Instance is an entry in the platform's instance list.
type Instance struct {
	ID        string         `json:"id"`
	Addr      netip.AddrPort `json:"addr"`
	Location  Location       `json:"location"`
	Capacity  Resources      `json:"capacity"`
	Status    Status         `json:"status"`
	BootCount int            `json:"bootCount"`
	Healthy   bool           `json:"healthy"`
}

// Listing holds the changes of the platform's instance list after a version.
type Listing struct {
	Version   uint64     `json:"version"`
	AsOf      time.Time  `json:"asOf"`
	Instances []Instance `json:"instances"`
}

// Control lists instances and executes planned stops. Commands with the same command id take effect once.
type Control interface {
	// List returns the instances that changed after a version; version 0 returns all.
	List(ctx context.Context, after uint64) (Listing, error)
	// InFlight returns the number of requests in flight on an instance.
	InFlight(ctx context.Context, id string) (int, error)
	// Reboot restarts an instance once for each command id.
	Reboot(ctx context.Context, id, commandID string) error
	// Retire removes an instance from the fleet once for each command id.
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

// Task is the execution of a job on a worker under a lease.
type Task struct {
	ID       string        `json:"id"`
	Epoch    uint64        `json:"epoch"`
	LeaseFor time.Duration `json:"leaseFor"`
	Reserved Resources     `json:"reserved"`
	Argument string        `json:"argument,omitempty"`
}

// Usage is a worker's report on one of its tasks as of AsOf.
type Usage struct {
	TaskID string    `json:"taskId"`
	Epoch  uint64    `json:"epoch"`
	State  TaskState `json:"state"`
	Used   Resources `json:"used"`
	AsOf   time.Time `json:"asOf"`
	Reason string    `json:"reason,omitempty"`
}

// Workers runs tasks on workers. Every command is idempotent for the same task id and epoch.
type Workers interface {
	// Start starts a task, or returns ErrTaskLease if the worker has received a higher epoch for it.
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
