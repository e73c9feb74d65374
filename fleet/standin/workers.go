package standin

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"verbenalanding.example/fleet/platform"
)

// finishedKept is how long a worker goes on reporting a task that has ended.
const finishedKept = time.Minute

// WorkerFaults are the faults of one worker that can be switched on.
type WorkerFaults struct {
	// FailAll makes every task that starts fail.
	FailAll bool
	// Hang makes every call wait for the end of its context without effect.
	Hang bool
	// Down makes every call fail without effect; tasks run on until their leases end.
	Down bool
	// LoseAnswers makes the next commands take effect and then fail with platform.ErrUnavailable.
	LoseAnswers int
	// NoCheckpoint accepts checkpoint commands and never finishes them.
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
	// progress is what ran before the last change of the throttle.
	progress time.Duration
	resumed  time.Time
	runTime  time.Duration
	saveAt   time.Time
}

func (t *task) active() bool {
	return t.state == platform.TaskRunning || t.state == platform.TaskThrottled
}

type workerNode struct {
	capacity platform.Resources
	rack     string
	faults   WorkerFaults
	lost     bool
	tasks    map[string]*task
	// epochs is the highest epoch seen per task id; the worker forgets it when it reboots.
	epochs map[string]uint64
}

// Workers is an in-memory set of workers with task leases; set the exported fields before use.
type Workers struct {
	// Now returns the time; time.Now when nil.
	Now func() time.Time
	// UsageLag is the age of usage reports.
	UsageLag time.Duration
	// CheckpointTime is how long a checkpoint takes.
	CheckpointTime time.Duration
	// RunTime returns the true run time of a job; 10 s when nil.
	RunTime func(job string) time.Duration
	// Usage returns the true use of a job; its reservation when nil.
	Usage func(job string, reserved platform.Resources) platform.Resources
	// Fails reports whether a job fails on every worker.
	Fails func(job string) bool

	mu       sync.Mutex
	nodes    map[string]*workerNode
	starts   map[string]int
	overfull []string
}

// NewWorkers returns a stand-in without workers.
func NewWorkers() *Workers {
	return &Workers{nodes: map[string]*workerNode{}, starts: map[string]int{}}
}

// JobOf returns the job of a task id, which is the job's id with the number of the attempt after a #.
func JobOf(taskID string) string {
	job, _, _ := strings.Cut(taskID, "#")
	return job
}

// Add adds a worker.
func (w *Workers) Add(id, rack string, capacity platform.Resources) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nodes[id] = &workerNode{capacity: capacity, rack: rack, tasks: map[string]*task{}, epochs: map[string]uint64{}}
}

// SetFaults replaces the faults of a worker.
func (w *Workers) SetFaults(id string, f WorkerFaults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nodes[id].faults = f
}

// Reboot ends and forgets all tasks of a worker.
func (w *Workers) Reboot(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nodes[id].forget()
}

// SetRackLost takes the workers of a rack away with all their tasks, or brings them back empty.
func (w *Workers) SetRackLost(rack string, lost bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range w.nodes {
		if n.rack == rack {
			n.lost = lost
			n.forget()
		}
	}
}

// Starts returns how often a task of the job began to run.
func (w *Workers) Starts(job string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starts[job]
}

// Overcommitted returns a line for each start that took the reservations of a worker above its capacity.
func (w *Workers) Overcommitted() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.overfull)
}

// Running returns the ids of the tasks that run on a worker.
func (w *Workers) Running(id string) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := w.nodes[id]
	w.settle(n)
	var ids []string
	for _, t := range n.tasks {
		if t.active() {
			ids = append(ids, t.ID)
		}
	}
	slices.Sort(ids)
	return ids
}

// Start begins a task once for each task id.
func (w *Workers) Start(ctx context.Context, worker string, t platform.Task) error {
	n, err := w.begin(ctx, worker)
	if err != nil {
		return err
	}
	defer w.mu.Unlock()
	if t.Epoch < n.epochs[t.ID] {
		return platform.ErrTaskLease
	}
	n.epochs[t.ID] = t.Epoch
	if old := n.tasks[t.ID]; old != nil {
		old.Epoch = t.Epoch
		return n.answer()
	}
	now := w.now()
	job := JobOf(t.ID)
	w.starts[job]++
	run := 10 * time.Second
	if w.RunTime != nil {
		run = w.RunTime(job)
	}
	n.tasks[t.ID] = &task{
		Task: t, state: platform.TaskRunning, started: now, resumed: now, expires: now.Add(t.LeaseFor), percent: 100, runTime: run,
	}
	if n.faults.FailAll || (w.Fails != nil && w.Fails(job)) {
		n.tasks[t.ID].end(now, platform.TaskFailed, "exit status 1")
	}
	w.checkRoom(worker, n)
	return n.answer()
}

// RenewLease prolongs a task's lease and raises its epoch.
func (w *Workers) RenewLease(ctx context.Context, worker, taskID string, epoch uint64) error {
	return w.command(ctx, worker, taskID, epoch, func(_ *workerNode, t *task) {
		t.expires = w.now().Add(t.LeaseFor)
	})
}

// Checkpoint saves a task's progress and stops it after CheckpointTime.
func (w *Workers) Checkpoint(ctx context.Context, worker, taskID string, epoch uint64) error {
	return w.command(ctx, worker, taskID, epoch, func(n *workerNode, t *task) {
		if !n.faults.NoCheckpoint && t.saveAt.IsZero() {
			t.saveAt = w.now().Add(w.CheckpointTime)
		}
	})
}

// Throttle limits a task's processors.
func (w *Workers) Throttle(ctx context.Context, worker, taskID string, epoch uint64, percent int) error {
	return w.command(ctx, worker, taskID, epoch, func(_ *workerNode, t *task) {
		now := w.now()
		t.progress += now.Sub(t.resumed) * time.Duration(t.percent) / 100
		t.resumed, t.percent = now, percent
		t.state = platform.TaskRunning
		if percent < 100 {
			t.state = platform.TaskThrottled
		}
	})
}

// Stop ends a task.
func (w *Workers) Stop(ctx context.Context, worker, taskID string, epoch uint64) error {
	return w.command(ctx, worker, taskID, epoch, func(_ *workerNode, t *task) {
		t.end(w.now(), platform.TaskStopped, "stopped")
	})
}

// Report returns the usage of a worker's tasks as it was UsageLag ago; ended tasks are listed for a minute.
func (w *Workers) Report(ctx context.Context, worker string) ([]platform.Usage, error) {
	n, err := w.begin(ctx, worker)
	if err != nil {
		return nil, err
	}
	defer w.mu.Unlock()
	asOf := w.now().Add(-w.UsageLag)
	var usages []platform.Usage
	for _, t := range n.tasks {
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

// command applies a change to an active task.
func (w *Workers) command(ctx context.Context, worker, taskID string, epoch uint64, change func(*workerNode, *task)) error {
	n, err := w.begin(ctx, worker)
	if err != nil {
		return err
	}
	defer w.mu.Unlock()
	if epoch < n.epochs[taskID] {
		return platform.ErrTaskLease
	}
	// The epoch is remembered for unknown tasks too, so that a late Start of a former holder is refused.
	n.epochs[taskID] = epoch
	t := n.tasks[taskID]
	if t == nil || !t.active() {
		return platform.ErrUnknownTask
	}
	t.Epoch = epoch
	change(n, t)
	return n.answer()
}

// begin applies the faults that precede a call and returns with the mutex held when it returns no error.
func (w *Workers) begin(ctx context.Context, worker string) (*workerNode, error) {
	w.mu.Lock()
	n := w.nodes[worker]
	if n == nil {
		w.mu.Unlock()
		return nil, platform.ErrUnknownInstance
	}
	if n.faults.Hang {
		w.mu.Unlock()
		<-ctx.Done()
		return nil, platform.ErrUnavailable
	}
	if n.faults.Down || n.lost || ctx.Err() != nil {
		w.mu.Unlock()
		return nil, platform.ErrUnavailable
	}
	w.settle(n)
	return n, nil
}

func (n *workerNode) answer() error {
	if n.faults.LoseAnswers > 0 {
		n.faults.LoseAnswers--
		return platform.ErrUnavailable
	}
	return nil
}

func (n *workerNode) forget() {
	clear(n.tasks)
	clear(n.epochs)
}

// settle ends the tasks whose lease, checkpoint or run time is over.
func (w *Workers) settle(n *workerNode) {
	now := w.now()
	for id, t := range n.tasks {
		if !t.active() {
			if now.Sub(t.ended) > finishedKept+w.UsageLag {
				delete(n.tasks, id)
			}
			continue
		}
		done := t.resumed.Add((t.runTime - t.progress) * 100 / time.Duration(max(t.percent, 1)))
		switch first := earliest(done, t.expires, t.saveAt); {
		case first.After(now):
		case first.Equal(done):
			t.end(first, platform.TaskSucceeded, "")
		case first.Equal(t.expires):
			t.end(first, platform.TaskStopped, "task lease expired")
		default:
			t.end(first, platform.TaskCheckpointed, "")
		}
	}
}

func earliest(done, expires, saveAt time.Time) time.Time {
	first := done
	if expires.Before(first) {
		first = expires
	}
	if !saveAt.IsZero() && saveAt.Before(first) {
		first = saveAt
	}
	return first
}

func (t *task) end(at time.Time, s platform.TaskState, reason string) {
	t.state, t.ended, t.reason = s, at, reason
}

func (w *Workers) checkRoom(id string, n *workerNode) {
	var sum platform.Resources
	for _, t := range n.tasks {
		if t.active() {
			sum.MilliCores += t.Reserved.MilliCores * int64(t.percent) / 100
			sum.MemoryBytes += t.Reserved.MemoryBytes
			sum.Accelerators += t.Reserved.Accelerators
		}
	}
	if sum.MilliCores > n.capacity.MilliCores || sum.MemoryBytes > n.capacity.MemoryBytes || sum.Accelerators > n.capacity.Accelerators {
		w.overfull = append(w.overfull, fmt.Sprintf("worker %s: reserved %+v of %+v", id, sum, n.capacity))
	}
}

func (w *Workers) now() time.Time {
	if w.Now == nil {
		return time.Now()
	}
	return w.Now()
}
