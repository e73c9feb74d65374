package workload

import (
	"errors"
	"fmt"
	"time"
)

// ErrInvalidJob is returned by Job.Check for a job that cannot be accepted.
var ErrInvalidJob = errors.New("invalid job")

// Limits of an accepted job; a larger one is refused as invalid.
const (
	maxSteps = 256
	maxTasks = 4096
)

// TaskID names a task of a job.
type TaskID struct {
	Job string
	// Occurrence counts the repetitions of a scheduled job from 0.
	Occurrence int
	Step       int
	Index      int
}

// Resources is an amount of processors, memory and accelerators.
type Resources struct {
	// CPU is in thousandths of a core.
	CPU      int64 `json:"cpu,omitempty"`
	MemoryMB int64 `json:"memoryMb,omitempty"`
	GPU      int64 `json:"gpu,omitempty"`
}

// Fits reports whether need has a place in r.
func (r Resources) Fits(need Resources) bool {
	return need.CPU <= r.CPU && need.MemoryMB <= r.MemoryMB && need.GPU <= r.GPU
}

// Plus returns the sum of both rooms.
func (r Resources) Plus(o Resources) Resources {
	return Resources{CPU: r.CPU + o.CPU, MemoryMB: r.MemoryMB + o.MemoryMB, GPU: r.GPU + o.GPU}
}

// Minus returns what is left of r without o.
func (r Resources) Minus(o Resources) Resources {
	return Resources{CPU: r.CPU - o.CPU, MemoryMB: r.MemoryMB - o.MemoryMB, GPU: r.GPU - o.GPU}
}

// Step is a set of equal tasks of a job.
type Step struct {
	Tasks int       `json:"tasks"`
	Need  Resources `json:"need"`
	// Estimate is the declared duration of a task; it may be off by a factor.
	Estimate time.Duration `json:"estimate,omitempty"`
	// After lists the steps whose tasks must all be done first.
	After         []int `json:"after,omitempty"`
	Checkpointing bool  `json:"checkpointing,omitempty"`
	// Gang tasks work only while all tasks of one run are present, and end together.
	Gang bool `json:"gang,omitempty"`
	// SameRack tasks are several times slower when they are spread over racks.
	SameRack      bool   `json:"sameRack,omitempty"`
	RequiredLabel string `json:"requiredLabel,omitempty"`
	// DataRack is the rack on which the tasks are not slowed by distance to their data.
	DataRack string `json:"dataRack,omitempty"`
	// MaxPerWorker bounds the tasks of one occurrence on a worker; 0 means no bound.
	MaxPerWorker int  `json:"maxPerWorker,omitempty"`
	Speculative  bool `json:"speculative,omitempty"`
	// LongRunning tasks run until the job is cancelled and are restarted whenever they end.
	LongRunning bool   `json:"longRunning,omitempty"`
	Image       string `json:"image,omitempty"`
	// TargetTail is the response time that the tail of a serving task must stay below; 0 for tasks that do not serve.
	TargetTail time.Duration `json:"targetTail,omitempty"`
	// Fills tasks use the processors that the others leave; their CPU does not count against a worker's capacity.
	Fills bool `json:"fills,omitempty"`
	// MaxUnavailable is how many tasks of a long-running step orders of the system may make unavailable at once.
	MaxUnavailable int `json:"maxUnavailable,omitempty"`
}

// Reserved returns the room that a task of the step takes from a worker.
func (s *Step) Reserved() Resources {
	room := s.Need
	if s.Fills {
		room.CPU = 0
	}
	return room
}

// Job is a set of steps that a caller submitted to a queue.
type Job struct {
	ID    string `json:"id"`
	Queue string `json:"queue"`
	Pool  string `json:"pool"`
	// Terms are the queue's terms at the job's acceptance; they hold on when the queue is removed.
	Terms Queue  `json:"terms"`
	Spec  string `json:"spec"`
	Steps []Step `json:"steps"`
	// Times is the number of occurrences of a scheduled job; 0 for a job that runs once, at once.
	Times    int           `json:"times,omitempty"`
	Start    time.Time     `json:"start,omitzero"`
	Interval time.Duration `json:"interval,omitempty"`
	Accepted time.Time     `json:"accepted"`
}

// Occurrences returns how many times the steps run.
func (j *Job) Occurrences() int { return max(1, j.Times) }

// Due returns when an occurrence may begin; the zero time means at once.
func (j *Job) Due(occurrence int) time.Time {
	if j.Times <= 0 {
		return time.Time{}
	}
	return j.Start.Add(time.Duration(occurrence) * j.Interval)
}

// LongRunning reports whether a step of the job runs until the job is cancelled.
func (j *Job) LongRunning() bool {
	for i := range j.Steps {
		if j.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// Check returns ErrInvalidJob with the field at fault.
func (j *Job) Check() error {
	if len(j.Steps) == 0 || len(j.Steps) > maxSteps {
		return fmt.Errorf("%w: %d steps, want 1 to %d", ErrInvalidJob, len(j.Steps), maxSteps)
	}
	total := 0
	for i := range j.Steps {
		if err := j.checkStep(i); err != nil {
			return err
		}
		total += j.Steps[i].Tasks
	}
	if total*j.Occurrences() > maxTasks*16 {
		return fmt.Errorf("%w: %d tasks in %d occurrences, want at most %d", ErrInvalidJob, total, j.Occurrences(), maxTasks*16)
	}
	return nil
}

func (j *Job) checkStep(i int) error {
	s := &j.Steps[i]
	if s.Tasks < 1 || s.Tasks > maxTasks {
		return fmt.Errorf("%w: step %d has %d tasks, want 1 to %d", ErrInvalidJob, i, s.Tasks, maxTasks)
	}
	if s.Need.CPU < 0 || s.Need.MemoryMB < 0 || s.Need.GPU < 0 || s.Estimate < 0 || s.MaxPerWorker < 0 || s.MaxUnavailable < 0 {
		return fmt.Errorf("%w: step %d has a negative size", ErrInvalidJob, i)
	}
	for _, a := range s.After {
		// Only earlier steps may be named, so that steps cannot form a cycle.
		if a < 0 || a >= i {
			return fmt.Errorf("%w: step %d waits for step %d, want an earlier one", ErrInvalidJob, i, a)
		}
	}
	return nil
}

// State is what is known of a job.
type State string

// The states of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Terminal reports whether a job in the state never changes again.
func (s State) Terminal() bool { return s == Completed || s == Failed || s == Cancelled }
