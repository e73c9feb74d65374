package workload

import (
	"net/netip"
	"time"
)

// Worker is one life of a machine that runs tasks.
type Worker struct {
	ID       string
	Machine  string
	Pool     string
	Zone     string
	Rack     string
	Labels   []string
	Addr     netip.AddrPort
	Capacity Resources
	// Draining workers leave soon and take no new tasks.
	Draining bool
	// Incarnation is when this life began, in milliseconds since 1970; a worker that starts again under the same id has a new one.
	Incarnation int64
}

// Queue is where callers submit jobs of one kind.
type Queue struct {
	Name   string `json:"name"`
	Host   string `json:"-"`
	Prefix string `json:"-"`
	Pool   string `json:"pool"`
	// Priority 0 comes first.
	Priority int `json:"priority,omitempty"`
	// MaxAttempts is how many runs of a task may fail before its job fails.
	MaxAttempts int `json:"maxAttempts"`
	// Stretch times the longest chain of work, plus TargetDuration, is the time in which a job should be completed.
	Stretch        float64       `json:"stretch"`
	TargetDuration time.Duration `json:"targetDuration"`
	// Advice is set on queues whose steps may run only on workers that the advice service names.
	Advice *AdviceSettings `json:"advice,omitempty"`
}

// AdviceSettings are the response times of the advice service for a queue, and how long its tickets hold.
type AdviceSettings struct {
	Decide time.Duration `json:"decide"`
	Each   time.Duration `json:"each"`
	Valid  time.Duration `json:"valid"`
}

// PoolSettings are the operator's terms for a pool of workers.
type PoolSettings struct {
	Name string
	// Standby pools hold machines that are switched off and cost nothing.
	Standby bool
}

// Configuration is a version of the operator's configuration.
type Configuration struct {
	Version      int64
	Queues       []Queue
	Pools        []PoolSettings
	MaxBodyBytes int64
}

// RunEnd says how a run ended.
type RunEnd string

// The ends of a run.
const (
	EndDone    RunEnd = "done"
	EndFailed  RunEnd = "failed"
	EndStopped RunEnd = "stopped"
	EndLapsed  RunEnd = "lapsed"
	EndBroken  RunEnd = "broken"
	EndAlone   RunEnd = "alone"
)

// ActiveRun is a run that a worker reports as present.
type ActiveRun struct {
	Task       TaskID
	Run        int
	Checkpoint string
	// Percent is the progress of a task; a long-running task is at work at 100.
	Percent int
	// Figure is the response tail in milliseconds of a serving task, and the CPU in use of any other.
	Figure float64
}

// EndedRun is an end that a worker reports until it is acknowledged.
type EndedRun struct {
	Number     int64
	Task       TaskID
	Run        int
	How        RunEnd
	Checkpoint string
}

// Report is a worker's list of its runs.
type Report struct {
	Incarnation int64
	// Clock is the worker's steady clock.
	Clock  time.Duration
	Active []ActiveRun
	Ended  []EndedRun
	// Partial means that further ends wait to be listed.
	Partial bool
}

// MachineState is what the platform does with a machine.
type MachineState string

// The states of a machine.
const (
	MachineUp     MachineState = "up"
	MachineMoving MachineState = "moving"
	MachineUpkeep MachineState = "upkeep"
	MachineDown   MachineState = "down"
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
