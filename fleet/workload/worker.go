package workload

import (
	"crypto/sha256"
	"encoding/hex"
	"net/netip"
	"strings"
	"time"
)

// Worker is an incarnation of a worker: a process on a machine that runs tasks.
type Worker struct {
	ID       string
	Machine  string
	Pool     string
	Zone     string
	Rack     string
	Labels   []string
	Addr     netip.AddrPort
	Capacity Resources
	// Draining workers are about to leave and accept no new tasks.
	Draining bool
	// Incarnation is the start time of the worker in milliseconds since 1970. A worker that restarts under the same id has a new one.
	Incarnation int64
}

// Queue is a queue to which callers submit jobs of one kind.
type Queue struct {
	Name   string `json:"name"`
	Host   string `json:"-"`
	Prefix string `json:"-"`
	// Key identifies the queue by the host and the prefix to which callers send. It stays the same when the operator renames the queue or
	// moves it to another pool; empty in jobs that an older version stored.
	Key  string `json:"key,omitempty"`
	Pool string `json:"pool"`
	// Priority 0 is the highest priority.
	Priority int `json:"priority,omitempty"`
	// MaxAttempts is how many runs of a task may fail before its job fails.
	MaxAttempts int `json:"maxAttempts"`
	// Stretch determines the target completion time of a job: Stretch times its critical path plus TargetDuration.
	Stretch        float64       `json:"stretch"`
	TargetDuration time.Duration `json:"targetDuration"`
	// Anonymous queues take jobs without a key; such a job belongs to no workspace.
	Anonymous bool `json:"-"`
	// Advice is set for queues whose steps may run only on workers that the advice service selects.
	Advice *AdviceSettings `json:"advice,omitempty"`
}

// queueKeyBytes is the length of a queue's key before its encoding, in bytes; a store key has room for twice that many digits.
const queueKeyBytes = 16

// QueueKey returns the key of the queue to which callers send at a host and a path prefix.
func QueueKey(host, prefix string) string {
	sum := sha256.Sum256([]byte(strings.ToLower(host) + "\n" + prefix))
	return hex.EncodeToString(sum[:queueKeyBytes])
}

// Same reports whether two descriptions are of the same queue; the name counts if one of them was stored by an older version, without a key.
func (q *Queue) Same(other *Queue) bool {
	if q.Key == "" || other.Key == "" {
		return q.Name == other.Name
	}
	return q.Key == other.Key
}

// AdviceSettings holds the response times of the advice service for a queue, and how long its tickets are valid.
type AdviceSettings struct {
	Decide time.Duration `json:"decide"`
	Each   time.Duration `json:"each"`
	Valid  time.Duration `json:"valid"`
}

// PoolSettings holds the operator's configuration of a pool of workers.
type PoolSettings struct {
	Name string
	// Standby pools hold machines that are switched off and incur no cost.
	Standby bool
}

// Configuration is a version of the operator's configuration.
type Configuration struct {
	Version      int64
	Queues       []Queue
	Pools        []PoolSettings
	MaxBodyBytes int64
	// Workspaces is empty where callers need no key and no workspace has a limit.
	Workspaces []Workspace
}

// RunEnd is how a run ended.
type RunEnd string

// The ends of a run.
const (
	EndDone    RunEnd = "done"
	EndFailed  RunEnd = "failed"
	EndStopped RunEnd = "stopped"
	EndExpired RunEnd = "lapsed"
	EndBroken  RunEnd = "broken"
	EndAlone   RunEnd = "alone"
)

// ActiveRun is a run that a worker reports as present.
type ActiveRun struct {
	Task       TaskID
	Run        int
	Checkpoint string
	// Percent is the progress of a task; at 100 a long-running task is ready.
	Percent int
	// Metric is the tail latency of a serving task in milliseconds, and the CPU usage of any other task.
	Metric float64
}

// EndedRun is an ended run that a worker reports until the report is acknowledged.
type EndedRun struct {
	Number     int64
	Task       TaskID
	Run        int
	How        RunEnd
	Checkpoint string
}

// ClockReading is what an answer of a worker tells of its sender: the incarnation, and the monotonic clock, which each incarnation starts anew.
type ClockReading struct {
	// Incarnation is 0 in an answer that does not name it.
	Incarnation int64
	Clock       time.Duration
}

// Report is a worker's report of its runs.
type Report struct {
	Incarnation int64
	// Clock is the reading of the worker's monotonic clock.
	Clock  time.Duration
	Active []ActiveRun
	Ended  []EndedRun
	// Partial means that the worker has more ended runs than the report lists.
	Partial bool
}

// MachineState is the state of a machine on the platform.
type MachineState string

// The states of a machine.
const (
	MachineUp     MachineState = "up"
	MachineMoving MachineState = "moving"
	MachineUpkeep MachineState = "upkeep"
	MachineDown   MachineState = "down"
	// MachineUnknown is the state of a machine whose entry in the platform's list cannot be decoded.
	MachineUnknown MachineState = "unknown"
)

// Machine is an entry of the platform's list of machines.
type Machine struct {
	ID     string
	Pool   string
	State  MachineState
	Worker string
}

// Wave is an operator's request for the upkeep of a set of machines.
type Wave struct {
	ID       string
	Machines []string
	Within   time.Duration
	// MaxDown is how many of the machines may be in upkeep at once.
	MaxDown int
}
