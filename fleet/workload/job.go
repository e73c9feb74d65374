package workload

import (
	"errors"
	"fmt"
	"math"
	"time"
)

// ErrInvalidJob is returned by Job.Check for a job that cannot be accepted.
var ErrInvalidJob = errors.New("invalid job")

// Limits of a job; a larger job is refused as invalid.
const (
	MaxSteps = 256
	maxTasks = 4096
	// maxJobTasks bounds the tasks of all occurrences.
	maxJobTasks = 16 * maxTasks
	// maxSpan bounds an interval and an estimate; sums over all steps of a job still fit into a time.Duration.
	maxSpan = 366 * 24 * time.Hour
	// The year of a start is one that JSON can hold in each time zone.
	minYear, maxYear = 1, 9998
)

// MaxResource is the largest amount of a resource of a worker or a step; sums over a fleet still fit into an integer.
const MaxResource = 1 << 40

// TaskID identifies a task of a job.
type TaskID struct {
	Job string
	// Occurrence is the index of an occurrence of a scheduled job, from 0.
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

// Fits reports whether need fits into r.
func (r Resources) Fits(need Resources) bool {
	return need.CPU <= r.CPU && need.MemoryMB <= r.MemoryMB && need.GPU <= r.GPU
}

// Valid reports whether each amount is from 0 to MaxResource.
func (r Resources) Valid() bool {
	return min(r.CPU, r.MemoryMB, r.GPU) >= 0 && max(r.CPU, r.MemoryMB, r.GPU) <= MaxResource
}

// Plus returns the sum of r and o.
func (r Resources) Plus(o Resources) Resources {
	return Resources{CPU: r.CPU + o.CPU, MemoryMB: r.MemoryMB + o.MemoryMB, GPU: r.GPU + o.GPU}
}

// Minus returns r less o.
func (r Resources) Minus(o Resources) Resources {
	return Resources{CPU: r.CPU - o.CPU, MemoryMB: r.MemoryMB - o.MemoryMB, GPU: r.GPU - o.GPU}
}

// Step is a set of identical tasks of a job.
type Step struct {
	Tasks int       `json:"tasks"`
	Need  Resources `json:"need"`
	// Estimate is the declared duration of a task; it may be off by a factor.
	Estimate time.Duration `json:"estimate,omitempty"`
	// After lists the steps whose tasks must all have completed first.
	After         []int `json:"after,omitempty"`
	Checkpointing bool  `json:"checkpointing,omitempty"`
	// Gang tasks make progress only while all tasks of the gang are running, and end together.
	Gang bool `json:"gang,omitempty"`
	// SameRack tasks run several times slower if they are spread over several racks.
	SameRack      bool   `json:"sameRack,omitempty"`
	RequiredLabel string `json:"requiredLabel,omitempty"`
	// DataRack is the rack that holds the data of the tasks; they run slower on other racks.
	DataRack string `json:"dataRack,omitempty"`
	// MaxPerWorker bounds the tasks of one occurrence on a worker; 0 means no bound.
	MaxPerWorker int  `json:"maxPerWorker,omitempty"`
	Speculative  bool `json:"speculative,omitempty"`
	// LongRunning tasks run until the job is cancelled and are restarted when they end.
	LongRunning bool   `json:"longRunning,omitempty"`
	Image       string `json:"image,omitempty"`
	// TargetTail is the upper bound for the tail latency of a serving task; 0 for tasks that serve no requests.
	TargetTail time.Duration `json:"targetTail,omitempty"`
	// Fills tasks use processors that other tasks leave idle; their CPU does not count against the capacity of a worker.
	Fills bool `json:"fills,omitempty"`
	// MaxUnavailable is how many tasks of a long-running step may be unavailable at once because of orders of this system.
	MaxUnavailable int `json:"maxUnavailable,omitempty"`
}

// Reserved returns the capacity of a worker that a task of the step occupies.
func (s *Step) Reserved() Resources {
	reserved := s.Need
	if s.Fills {
		reserved.CPU = 0
	}
	return reserved
}

// Job is a set of steps that a caller submitted to a queue.
type Job struct {
	ID    string `json:"id"`
	Queue string `json:"queue"`
	Pool  string `json:"pool"`
	// Workspace is the one whose key the caller sent; empty for a job of an anonymous queue, and where there are no workspaces.
	Workspace string `json:"workspace,omitempty"`
	// Terms is the queue as it was when the job was accepted; it stays in force after the queue is removed.
	Terms Queue  `json:"terms"`
	Spec  string `json:"spec"`
	Steps []Step `json:"steps"`
	// Times is the number of occurrences of a scheduled job; 0 for a job that runs once, immediately.
	Times    int           `json:"times,omitempty"`
	Start    time.Time     `json:"start,omitzero"`
	Interval time.Duration `json:"interval,omitempty"`
	Accepted time.Time     `json:"accepted"`
	// Fence is the fencing token of the pool's newest holder that the storing node knew; 0 if it knew none. Holders with a lower token start
	// none of the job's tasks.
	Fence uint64 `json:"fence,omitempty"`
}

// maxScaled is the longest duration that Scale returns. It exceeds the estimates of the steps of any job together; with a target of 10 years it still fits
// into a time.Duration.
const maxScaled = 280 * 366 * 24 * time.Hour

// Scale returns the product of a duration and a factor, at most some 280 years: estimates and factors are chosen by callers and operators.
func Scale(d time.Duration, factor float64) time.Duration {
	product := float64(d) * factor
	if math.IsNaN(product) {
		return 0
	}
	return time.Duration(max(-float64(maxScaled), min(product, float64(maxScaled))))
}

// MaxEstimate is the longest estimate of a task; sums over all steps of a job still fit into a time.Duration.
const MaxEstimate = maxSpan

// Occurrences returns how many times the job runs.
func (j *Job) Occurrences() int { return max(1, j.Times) }

// Due returns when an occurrence may start; the zero time means immediately.
func (j *Job) Due(occurrence int) time.Time {
	if j.Times <= 0 {
		return time.Time{}
	}
	// The time since the start may exceed the longest duration, 292 years.
	whole, rest := j.Interval/time.Second, j.Interval%time.Second
	seconds := j.Start.Unix() + int64(occurrence)*int64(whole)
	return time.Unix(seconds, int64(j.Start.Nanosecond())).Add(time.Duration(occurrence) * rest).In(j.Start.Location())
}

// LongRunning reports whether the job has a long-running step.
func (j *Job) LongRunning() bool {
	for i := range j.Steps {
		if j.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// Check validates the job. It returns an error that wraps ErrInvalidJob and names the invalid field.
func (j *Job) Check() error {
	if len(j.Steps) == 0 || len(j.Steps) > MaxSteps {
		return fmt.Errorf("%w: %d steps, want 1 to %d", ErrInvalidJob, len(j.Steps), MaxSteps)
	}
	total := 0
	for i := range j.Steps {
		if err := j.checkStep(i); err != nil {
			return err
		}
		total += j.Steps[i].Tasks
	}
	// The product of the two may not fit into an integer.
	if j.Occurrences() > maxJobTasks/total {
		return fmt.Errorf("%w: %d tasks in %d occurrences, want at most %d", ErrInvalidJob, total, j.Occurrences(), maxJobTasks)
	}
	if j.Interval < 0 || j.Interval > maxSpan {
		return fmt.Errorf("%w: interval %v, want 0 to %v", ErrInvalidJob, j.Interval, maxSpan)
	}
	if j.Times > 0 && (j.Start.Year() < minYear || j.Start.Year() > maxYear) {
		return fmt.Errorf("%w: start in the year %d, want %d to %d", ErrInvalidJob, j.Start.Year(), minYear, maxYear)
	}
	if last := j.Due(j.Occurrences() - 1); last.Year() > maxYear {
		return fmt.Errorf("%w: last occurrence in the year %d, want at most %d", ErrInvalidJob, last.Year(), maxYear)
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
	if s.Estimate > maxSpan {
		return fmt.Errorf("%w: step %d has an estimate of %v, want at most %v", ErrInvalidJob, i, s.Estimate, maxSpan)
	}
	if !s.Need.Valid() {
		return fmt.Errorf("%w: step %d needs %+v, want at most %d of each", ErrInvalidJob, i, s.Need, MaxResource)
	}
	for _, a := range s.After {
		// A step may depend on earlier steps only, so that steps cannot form a cycle.
		if a < 0 || a >= i {
			return fmt.Errorf("%w: step %d waits for step %d, want an earlier one", ErrInvalidJob, i, a)
		}
	}
	return nil
}

// State is the state of a job.
type State string

// The states of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Terminal reports whether a job in this state never changes again.
func (s State) Terminal() bool { return s == Completed || s == Failed || s == Cancelled }
