package standin

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"verbenalanding.example/fleet/internal/clock"
	"verbenalanding.example/fleet/platform"
)

// endedTaskRetention is how long a worker keeps reporting a task that has ended.
const endedTaskRetention = time.Minute

// WorkerFaults are the faults of one worker.
type WorkerFaults struct {
	// FailAll makes every task fail at its start.
	FailAll bool
	// Hang makes every call block until its context ends, without effect.
	Hang bool
	// Down makes every call fail without effect; running tasks continue until their leases expire.
	Down bool
	// LoseAnswers is the number of next commands that take effect but fail with platform.ErrUnavailable.
	LoseAnswers int
	// NoCheckpoint makes the worker accept checkpoint commands but never complete them.
	NoCheckpoint bool
}

type task struct {
	platform.Task
	state   platform.TaskState
	started time.Time
	ended   time.Time
	expires time.Time
	percent int
	reason  string
	// progress is the run time at full speed that the task had completed by progressAt, the time of the last throttle command.
	progress     time.Duration
	progressAt   time.Time
	runTime      time.Duration
	checkpointAt time.Time
}

func (t *task) active() bool {
	return t.state == platform.TaskRunning || t.state == platform.TaskThrottled
}

type workerState struct {
	capacity platform.Resources
	rack     string
	faults   WorkerFaults
	rackLost bool
	tasks    map[string]*task
	// epochs holds the highest epoch received per task id; a reboot clears it.
	epochs map[string]uint64
}

// Workers is an in-memory set of workers with task leases; set the exported fields before use.
type Workers struct {
	// Now returns the time; time.Now when nil.
	Now func() time.Time
	// UsageLag is the age of the usage in reports.
	UsageLag time.Duration
	// CheckpointTime is how long a checkpoint takes.
	CheckpointTime time.Duration
	// RunTime returns how long a job runs at full speed; 10 s when nil.
	RunTime func(job string) time.Duration
	// Usage returns the resources that a job uses; its reservation when nil.
	Usage func(job string, reserved platform.Resources) platform.Resources
	// Fails reports whether a job fails on every worker.
	Fails func(job string) bool

	mu            sync.Mutex
	states        map[string]*workerState
	starts        map[string]int
	overcommitted []string
}

// NewWorkers returns a stand-in without workers.
func NewWorkers() *Workers {
	return &Workers{states: map[string]*workerState{}, starts: map[string]int{}}
}

// JobOf returns the job id in a task id, which has the form <job>#<attempt>.
func JobOf(taskID string) string {
	job, _, _ := strings.Cut(taskID, "#")
	return job
}

// Add adds a worker.
func (w *Workers) Add(id, rack string, capacity platform.Resources) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.states[id] = &workerState{capacity: capacity, rack: rack, tasks: map[string]*task{}, epochs: map[string]uint64{}}
}

// SetFaults replaces the faults of a worker.
func (w *Workers) SetFaults(id string, f WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.states[id].faults = f
}

// Reboot removes all tasks and epochs of a worker.
func (w *Workers) Reboot(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.states[id].clearTasks()
}

// SetRackLost makes the workers of a rack unavailable or available again. In both cases they lose all their tasks.
func (w *Workers) SetRackLost(rack string, lost bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.states {
		if s.rack == rack {
			s.rackLost = lost
			s.clearTasks()
		}
	}
}

// Starts returns how many tasks of the job were started.
func (w *Workers) Starts(job string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starts[job]
}

// Overcommitted returns a line for each start after which the reservations of a worker exceeded its capacity.
func (w *Workers) Overcommitted() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.overcommitted)
}

// Running returns the ids of the tasks that are running on a worker.
func (w *Workers) Running(id string) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.states[id]
	w.endDueTasks(s)
	var ids []string
	for _, t := range s.tasks {
		if t.active() {
			ids = append(ids, t.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

// Start starts a task once for each task id.
func (w *Workers) Start(ctx context.Context, worker string, t platform.Task) error {
	s, err := w.begin(ctx, worker)
	if err != nil {
		return err
	}
	defer w.mu.Unlock()
	if t.Epoch < s.epochs[t.ID] {
		return platform.ErrTaskLease
	}
	s.epochs[t.ID] = t.Epoch
	if existing := s.tasks[t.ID]; existing != nil {
		existing.Epoch = t.Epoch
		return s.loseAnswer()
	}
	now := w.now()
	job := JobOf(t.ID)
	w.starts[job]++
	runTime := 10 * time.Second
	if w.RunTime != nil {
		runTime = w.RunTime(job)
	}
	s.tasks[t.ID] = &task{
		Task: t, state: platform.TaskRunning, started: now, progressAt: now, expires: now.Add(t.LeaseFor), percent: 100, runTime: runTime,
	}
	if s.faults.FailAll || (w.Fails != nil && w.Fails(job)) {
		s.tasks[t.ID].end(now, platform.TaskFailed, "exit status 1")
	}
	w.recordOvercommit(worker, s)
	return s.loseAnswer()
}

// RenewLease extends a task's lease and sets its epoch.
func (w *Workers) RenewLease(ctx context.Context, worker, taskID string, epoch uint64) error {
	return w.command(ctx, worker, taskID, epoch, func(_ *workerState, t *task) {
		t.expires = w.now().Add(t.LeaseFor)
	})
}

// Checkpoint saves a task's progress and stops it after CheckpointTime.
func (w *Workers) Checkpoint(ctx context.Context, worker, taskID string, epoch uint64) error {
	return w.command(ctx, worker, taskID, epoch, func(s *workerState, t *task) {
		if !s.faults.NoCheckpoint && t.checkpointAt.IsZero() {
			t.checkpointAt = w.now().Add(w.CheckpointTime)
		}
	})
}

// Throttle limits a task to a percentage of its reserved CPU.
func (w *Workers) Throttle(ctx context.Context, worker, taskID string, epoch uint64, percent int) error {
	return w.command(ctx, worker, taskID, epoch, func(_ *workerState, t *task) {
		now := w.now()
		t.progress += now.Sub(t.progressAt) * time.Duration(t.percent) / 100
		t.progressAt, t.percent = now, percent
		t.state = platform.TaskRunning
		if percent < 100 {
			t.state = platform.TaskThrottled
		}
	})
}

// Stop ends a task.
func (w *Workers) Stop(ctx context.Context, worker, taskID string, epoch uint64) error {
	return w.command(ctx, worker, taskID, epoch, func(_ *workerState, t *task) {
		t.end(w.now(), platform.TaskStopped, "stopped")
	})
}

// Report returns the usage of a worker's tasks as it was UsageLag ago. Ended tasks are included for endedTaskRetention.
func (w *Workers) Report(ctx context.Context, worker string) ([]platform.Usage, error) {
	s, err := w.begin(ctx, worker)
	if err != nil {
		return nil, err
	}
	defer w.mu.Unlock()
	asOf := w.now().Add(-w.UsageLag)
	var usages []platform.Usage
	for _, t := range s.tasks {
		if t.started.After(asOf) {
			continue
		}
		u := platform.Usage{TaskID: t.ID, Epoch: t.Epoch, State: t.state, AsOf: asOf, Reason: t.reason}
		if !t.active() && t.ended.After(asOf) {
			u.State, u.Reason = platform.TaskRunning, ""
		}
		if u.State == platform.TaskRunning || u.State == platform.TaskThrottled {
			u.Used = t.Reserved
			if w.Usage != nil {
				u.Used = w.Usage(JobOf(t.ID), t.Reserved)
			}
		}
		usages = append(usages, u)
	}
	slices.SortFunc(usages, func(a, b platform.Usage) int { return strings.Compare(a.TaskID, b.TaskID) })
	return usages, nil
}

// command applies a change to an active task, unless the epoch is outdated.
func (w *Workers) command(ctx context.Context, worker, taskID string, epoch uint64, change func(*workerState, *task)) error {
	s, err := w.begin(ctx, worker)
	if err != nil {
		return err
	}
	defer w.mu.Unlock()
	if epoch < s.epochs[taskID] {
		return platform.ErrTaskLease
	}
	// The epoch is recorded for unknown tasks too, so that a delayed Start of a former holder is refused.
	s.epochs[taskID] = epoch
	t := s.tasks[taskID]
	if t == nil || !t.active() {
		return platform.ErrUnknownTask
	}
	t.Epoch = epoch
	change(s, t)
	return s.loseAnswer()
}

// begin applies the faults that take effect before a call. If it returns no error, the mutex is locked.
func (w *Workers) begin(ctx context.Context, worker string) (*workerState, error) {
	w.mu.Lock()
	s := w.states[worker]
	if s == nil {
		w.mu.Unlock()
		return nil, platform.ErrUnknownInstance
	}
	if s.faults.Hang {
		w.mu.Unlock()
		<-ctx.Done()
		return nil, platform.ErrUnavailable
	}
	if s.faults.Down || s.rackLost || ctx.Err() != nil {
		w.mu.Unlock()
		return nil, platform.ErrUnavailable
	}
	w.endDueTasks(s)
	return s, nil
}

// loseAnswer returns platform.ErrUnavailable for a command that has taken effect if its answer is to be lost.
func (s *workerState) loseAnswer() error {
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		return platform.ErrUnavailable
	}
	return nil
}

func (s *workerState) clearTasks() {
	clear(s.tasks)
	clear(s.epochs)
}

// endDueTasks ends the tasks that have completed, whose lease has expired or whose checkpoint is saved, and removes those that ended
// endedTaskRetention ago.
func (w *Workers) endDueTasks(s *workerState) {
	now := w.now()
	for id, t := range s.tasks {
		if !t.active() {
			if now.Sub(t.ended) > endedTaskRetention+w.UsageLag {
				delete(s.tasks, id)
			}
			continue
		}
		completesAt := t.progressAt.Add((t.runTime - t.progress) * 100 / time.Duration(max(t.percent, 1)))
		switch endAt := earliest(completesAt, t.expires, t.checkpointAt); {
		case endAt.After(now):
		case endAt.Equal(completesAt):
			t.end(endAt, platform.TaskSucceeded, "")
		case endAt.Equal(t.expires):
			t.end(endAt, platform.TaskStopped, "task lease expired")
		default:
			t.end(endAt, platform.TaskCheckpointed, "")
		}
	}
}

func earliest(completesAt, expiresAt, checkpointAt time.Time) time.Time {
	endAt := completesAt
	if expiresAt.Before(endAt) {
		endAt = expiresAt
	}
	if !checkpointAt.IsZero() && checkpointAt.Before(endAt) {
		endAt = checkpointAt
	}
	return endAt
}

func (t *task) end(at time.Time, s platform.TaskState, reason string) {
	t.state, t.ended, t.reason = s, at, reason
}

// recordOvercommit adds a line to overcommitted if the reservations on a worker exceed its capacity.
func (w *Workers) recordOvercommit(id string, s *workerState) {
	var reserved platform.Resources
	for _, t := range s.tasks {
		if t.active() {
			reserved.MilliCores += t.Reserved.MilliCores * int64(t.percent) / 100
			reserved.MemoryBytes += t.Reserved.MemoryBytes
			reserved.Accelerators += t.Reserved.Accelerators
		}
	}
	if reserved.MilliCores > s.capacity.MilliCores || reserved.MemoryBytes > s.capacity.MemoryBytes || reserved.Accelerators > s.capacity.Accelerators {
		w.overcommitted = append(w.overcommitted, fmt.Sprintf("worker %s: reserved %+v of %+v", id, reserved, s.capacity))
	}
}

func (w *Workers) now() time.Time { return clock.Now(w.Now) }
