package dispatch_test

import (
	"slices"
	"testing"
	"time"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/workload"
)

// pair is a job of one kind, on a queue or with a step that has one property, on a pool with room for it.
type pair struct {
	*bench
	job   workload.Job
	queue workload.Queue
	// failOnce makes the first run of the job fail.
	failOnce bool
	// checkpoint is kept by the first run, which is then stopped.
	checkpoint string
	stopped    bool
	// early is when a run began that has not ended.
	early map[workload.TaskID]time.Time
}

// steps returns the steps of the job to which a property applies.
func (p *pair) steps(change func(*workload.Step)) {
	for i := range p.job.Steps {
		change(&p.job.Steps[i])
	}
}

// fast is the label of half of the workers, near the rack of the data, near and far the racks.
const (
	fast = "fast"
	near = "near"
	far  = "far"
)

func newPair(t *testing.T) *pair {
	t.Helper()
	p := &pair{bench: newBench(t, 0), queue: queue, early: map[workload.TaskID]time.Time{}}
	for i, id := range []string{"w0", "w1", "w2", "w3"} {
		w := workload.Worker{ID: id, Machine: "m-" + id, Pool: "cutting", Rack: far, Capacity: workload.Resources{CPU: 16000, MemoryMB: 64000}, Incarnation: 1}
		if i%2 == 1 {
			w.Rack, w.Labels = near, []string{fast}
		}
		p.present[id] = map[workload.TaskID]int{}
		p.pool.SetWorker(w, p.now)
	}
	p.report()
	step := workload.Step{Tasks: 2, Need: workload.Resources{CPU: 1000, MemoryMB: 100}, Estimate: 200 * time.Millisecond}
	p.job = workload.Job{ID: "j", Queue: queue.Name, Pool: "cutting", Accepted: p.now, Steps: []workload.Step{step}}
	return p
}

// kinds are the kinds of jobs.
var kinds = []struct {
	name string
	set  func(*pair)
}{
	{"single task", func(p *pair) { p.job.Steps[0].Tasks = 1 }},
	{"steps one after the other", func(p *pair) {
		p.job.Steps = []workload.Step{p.job.Steps[0], p.job.Steps[0]}
		p.job.Steps[1].After = []int{0}
	}},
	{"gang", func(p *pair) { p.job.Steps[0].Gang = true }},
	{"long-running", func(p *pair) { p.job.Steps[0].LongRunning = true }},
	{"speculative", func(p *pair) { p.job.Steps[0].Speculative = true }},
	{"scheduled", func(p *pair) { p.job.Times, p.job.Start, p.job.Interval = 3, p.now, 500*time.Millisecond }},
	{"filling", func(p *pair) {
		// Its processors are those that other tasks leave idle.
		p.addJob("lasting", workload.Step{Tasks: 4, Need: workload.Resources{CPU: 16000, MemoryMB: 100}, Estimate: time.Hour, MaxPerWorker: 1})
		p.plan()
		p.starts = nil
		p.job.Steps[0].Fills, p.job.Steps[0].Need.CPU = true, 8000
	}},
	{"checkpointing", func(p *pair) {
		p.job.Steps[0].Checkpointing, p.checkpoint = true, "half"
	}},
	{"scheduled gang", func(p *pair) {
		p.job.Steps[0].Gang, p.job.Times, p.job.Start, p.job.Interval = true, 3, p.now, 500*time.Millisecond
	}},
	{"checkpointing gang", func(p *pair) {
		p.job.Steps[0].Gang, p.job.Steps[0].Checkpointing, p.checkpoint = true, true, "half"
	}},
	{"long-running gang", func(p *pair) { p.job.Steps[0].Gang, p.job.Steps[0].LongRunning = true, true }},
	{"gang after a step", func(p *pair) {
		p.job.Steps = []workload.Step{p.job.Steps[0], p.job.Steps[0]}
		p.job.Steps[1].After, p.job.Steps[1].Gang = []int{0}, true
	}},
}

// properties are those of a queue or a step. check checks the starts of the job.
var properties = []struct {
	name  string
	set   func(*pair)
	check func(*pair)
}{
	{"none", func(*pair) {}, nil},
	{"Advice", func(p *pair) {
		p.queue.Advice = &workload.AdviceSettings{Decide: 20 * time.Millisecond, Each: time.Millisecond, Valid: 3 * time.Second}
		p.advice = p.queue.Advice.Valid
	}, func(p *pair) {
		p.wantStarts("have the ticket of their worker", func(s dispatch.Start) bool { return s.Ticket == "ticket-"+s.Worker.ID })
	}},
	{"RequiredLabel", func(p *pair) { p.steps(func(s *workload.Step) { s.RequiredLabel = fast }) }, func(p *pair) {
		p.wantStarts("are on workers with the label", func(s dispatch.Start) bool { return slices.Contains(s.Worker.Labels, fast) })
	}},
	{"Affinity", func(p *pair) { p.steps(func(s *workload.Step) { s.DataRack = near }) }, func(p *pair) {
		p.wantStarts("are on the rack of the data", func(s dispatch.Start) bool { return s.Worker.Rack == near })
	}},
	{"SameRack", func(p *pair) { p.steps(func(s *workload.Step) { s.SameRack, s.MaxPerWorker = true, 1 }) }, func(p *pair) {
		p.wantStarts("are on the rack of their step", func(s dispatch.Start) bool {
			return s.Worker.Rack == p.startsOf(workload.TaskID{Job: "j", Occurrence: s.Task.Occurrence, Step: s.Task.Step})[0].Worker.Rack
		})
	}},
	{"MaxPerServer", func(p *pair) { p.steps(func(s *workload.Step) { s.MaxPerWorker = 1 }) }, nil},
	{"MayMiss", func(p *pair) { p.steps(func(s *workload.Step) { s.MaxUnavailable = 1 }) }, nil},
	{"TargetMs", func(p *pair) { p.steps(func(s *workload.Step) { s.TargetTail = 20 * time.Millisecond }) }, nil},
	{"MaxAttempts", func(p *pair) { p.queue.MaxAttempts, p.failOnce = 2, true }, nil},
	{"Priority", func(p *pair) { p.queue.Priority = 3 }, nil},
}

// wantStarts checks a condition of all starts of the job.
func (p *pair) wantStarts(what string, condition func(dispatch.Start) bool) {
	p.t.Helper()
	for _, s := range p.starts {
		if !condition(s) {
			p.t.Errorf("starts of the job: got one of %v on %s on rack %s with ticket %q, want that all %s", s.Task, s.Worker.ID, s.Worker.Rack, s.Ticket, what)
		}
	}
}

// step advances the pool and ends the runs of the job that have lasted long enough.
func (p *pair) step() {
	const lasts = 200 * time.Millisecond
	p.advance(50 * time.Millisecond)
	p.wantSpread()
	for _, id := range p.pool.WorkerIDs() {
		for task := range p.present[id] {
			if task.Job != p.job.ID {
				continue
			}
			if p.early[task].IsZero() {
				p.early[task] = p.now
			}
			if how, ends := p.endOf(task, p.now.Sub(p.early[task]) >= lasts); ends {
				delete(p.early, task)
				p.end(id, task, how)
				if how == workload.EndStopped {
					ended := p.ended[id]
					ended[len(ended)-1].Checkpoint = p.checkpoint
				}
			}
		}
	}
	p.record()
}

// endOf returns how a run ends now, if it does.
func (p *pair) endOf(task workload.TaskID, due bool) (how workload.RunEnd, ends bool) {
	first := task == workload.TaskID{Job: p.job.ID}
	gang := p.job.Steps[task.Step].Gang
	switch {
	case p.failOnce && first && due:
		p.failOnce = false
		if gang {
			p.breakGang()
		}
		return workload.EndFailed, true
	case p.checkpoint != "" && !p.failOnce && first && !p.stopped && due:
		p.stopped = true
		if gang {
			p.breakGang()
		}
		return workload.EndStopped, true
	case gang && (p.failOnce || (p.checkpoint != "" && !p.stopped)):
		return "", false
	case p.job.Steps[task.Step].LongRunning:
		return "", false
	}
	return workload.EndDone, due
}

// breakGang ends the other runs of a gang, one run of which has failed.
func (p *pair) breakGang() {
	for id, runs := range p.present {
		for task := range runs {
			if task.Job == p.job.ID && task.Occurrence == 0 && task.Index > 0 {
				delete(p.early, task)
				p.end(id, task, workload.EndBroken)
			}
		}
	}
}

func (p *pair) startsOf(task workload.TaskID) []dispatch.Start {
	var list []dispatch.Start
	for _, s := range p.starts {
		if s.Task == task {
			list = append(list, s)
		}
	}
	return list
}

// wantSpread checks that no worker runs more tasks of a step and occurrence than may share one.
func (p *pair) wantSpread() {
	type shared struct {
		worker           string
		occurrence, step int
	}
	running := map[shared]int{}
	for id, runs := range p.present {
		for task := range runs {
			if task.Job != p.job.ID {
				continue
			}
			key := shared{id, task.Occurrence, task.Step}
			running[key]++
			if limit := p.job.Steps[task.Step].MaxPerWorker; limit > 0 && running[key] > limit {
				p.t.Errorf("tasks of step %d on %s: got %d, want at most %d", task.Step, id, running[key], limit)
			}
		}
	}
}

// lasts reports whether all tasks of a long-running job run, and none of them is to fail or be stopped yet.
func (p *pair) lasts() bool {
	if p.failOnce {
		return false
	}
	for i := range p.job.Steps[0].Tasks {
		if p.workerOf(task(p.job.ID, 0, i)) == "" {
			return false
		}
	}
	return true
}

// Guards against a job that is accepted and never starts, or never ends, because a property of a queue or a step is handled for other kinds of jobs
// only, as Advice was for gangs. docs/platform.md has the table.
func TestEachKindOfJobWithEachProperty(t *testing.T) {
	const limit = 20 * time.Second
	for _, kind := range kinds {
		for _, property := range properties {
			t.Run(kind.name+"/"+property.name, func(t *testing.T) {
				p := newPair(t)
				kind.set(p)
				property.set(p)
				p.job.Terms = p.queue
				p.pool.SetQueues([]workload.Queue{p.queue})
				p.pool.AddJob(p.job, nil, false, p.now)
				ended := func() bool { state, _ := p.pool.JobState("j"); return state.Terminal() }
				for end := p.now.Add(limit); p.now.Before(end) && !ended(); {
					p.step()
					if p.job.LongRunning() && p.lasts() {
						p.pool.Cancel("j", p.now)
					}
				}
				want := workload.Completed
				if p.job.LongRunning() {
					want = workload.Cancelled
				}
				p.wantState("j", want)
				p.advance(time.Second)
				for i := range p.job.Steps[0].Tasks {
					if on := p.workerOf(task("j", 0, i)); on != "" {
						t.Errorf("task %d after the end of its job: got a run on %s, want none", i, on)
					}
				}
				if property.check != nil {
					property.check(p)
				}
				if starts := p.startsOf(task("j", 0, 0)); p.checkpoint != "" && (len(starts) < 2 || starts[len(starts)-1].Checkpoint != p.checkpoint) {
					t.Errorf("starts of the task with a checkpoint: got %d, want a later one with the checkpoint", len(starts))
				}
			})
		}
	}
}
