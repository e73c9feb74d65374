package dispatch

import (
	"slices"
	"time"

	"verbenalanding.example/fleet/workload"
)

// Record is the progress of a job as it is kept in the store.
type Record struct {
	State    workload.State `json:"state"`
	Started  bool           `json:"started,omitempty"`
	Finished time.Time      `json:"finished,omitzero"`
	// Workspace is that of the job, so that its state can be read from the record alone; empty for a job without one.
	Workspace string `json:"workspace,omitempty"`
	// Done holds the occurrences of a scheduled job whose tasks are all done; Steps has the progress of the others.
	Done  Ranges       `json:"done,omitempty"`
	Steps []StepRecord `json:"steps,omitempty"`
}

// StepRecord is the progress of a step in one occurrence.
type StepRecord struct {
	Occurrence int   `json:"occurrence,omitempty"`
	Step       int   `json:"step,omitempty"`
	Done       []int `json:"done,omitempty"`
	// Tasks holds the tasks that are not done and have failures or a checkpoint.
	Tasks []TaskRecord `json:"tasks,omitempty"`
}

// TaskRecord is the progress of a task that is not done.
type TaskRecord struct {
	Index      int    `json:"index"`
	FailedRuns []int  `json:"failedRuns,omitempty"`
	LastRun    int    `json:"lastRun,omitempty"`
	Checkpoint string `json:"checkpoint,omitempty"`
}

// Change is a record that has to be written.
type Change struct {
	Job    string
	Record Record
	// Value is the encoded record; the one that writes it sets it.
	Value   []byte
	version int
}

// Batch is a set of changes together with the ends that may be acknowledged once they are written.
type Batch struct {
	Changes      []Change
	ends         map[string]int64
	incarnations map[string]int64
}

// EndedJobs returns the unwritten changes that end a job; recording them acknowledges no ends.
func (p *Pool) EndedJobs() Batch {
	return p.batch(func(j *job) bool { return j.state.Terminal() })
}

// Batch returns all unwritten changes.
func (p *Pool) Batch() Batch {
	b := p.batch(func(*job) bool { return true })
	b.ends, b.incarnations = map[string]int64{}, map[string]int64{}
	for id, w := range p.workers {
		if w.processed > w.recorded {
			b.ends[id], b.incarnations[id] = w.processed, w.Incarnation
		}
	}
	return b
}

func (p *Pool) batch(include func(*job) bool) Batch {
	var b Batch
	for _, j := range p.dirty {
		if include(j) {
			b.Changes = append(b.Changes, Change{Job: j.ID, Record: j.record(), version: j.version})
		}
	}
	slices.SortFunc(b.Changes, func(a, c Change) int {
		return compareTasks(workload.TaskID{Job: a.Job}, workload.TaskID{Job: c.Job}, 0, 0)
	})
	return b
}

// RefuseRecord ends a job whose record cannot be stored: without a record its ends could not be acknowledged, nor those of other jobs on the same
// workers. It returns false for a job that has ended, whose record is then left out from now on.
func (p *Pool) RefuseRecord(id string, now time.Time) bool {
	j := p.jobs[id]
	if j == nil || j.state.Terminal() {
		delete(p.dirty, id)
		return false
	}
	p.finish(j, workload.Failed, now)
	return true
}

// HasEndedJobs reports whether a job has ended whose record is not written yet.
func (p *Pool) HasEndedJobs() bool {
	for _, j := range p.dirty {
		if j.state.Terminal() {
			return true
		}
	}
	return false
}

// HasUnrecordedEnds reports whether a worker has ends that wait to be recorded or processed. Until they are acknowledged, the worker
// answers each hold immediately.
func (p *Pool) HasUnrecordedEnds(id string) bool {
	w := p.workers[id]
	return w != nil && w.hasUnrecordedEnds()
}

// BatchRecorded reports that all changes of a batch are in the store, so that its ends may be acknowledged.
func (p *Pool) BatchRecorded(b Batch) {
	for _, c := range b.Changes {
		j := p.dirty[c.Job]
		if j == nil {
			continue
		}
		j.recordedVersion = c.version
		if j.version == c.version {
			delete(p.dirty, c.Job)
		}
		if j.state.Terminal() {
			p.releaseJob(j)
		}
	}
	for id, n := range b.ends {
		if w := p.workers[id]; w != nil && w.Incarnation == b.incarnations[id] {
			w.recorded = max(w.recorded, n)
		}
	}
}

// releaseJob drops the tasks, the steps and the specification of a job that has ended and has no runs left.
func (p *Pool) releaseJob(j *job) {
	for _, oc := range j.schedule.open {
		for s := range oc.steps {
			for _, t := range oc.steps[s].tasks {
				if len(t.runs) > 0 {
					return
				}
			}
		}
	}
	j.schedule.open, j.Job.Steps, j.Job.Spec = nil, nil, ""
	p.recount(j)
}

func (j *job) record() Record {
	r := Record{State: j.state, Started: j.started, Workspace: j.Workspace}
	if j.state.Terminal() {
		r.Finished = j.finished
		return r
	}
	r.Done = slices.Clone(j.schedule.done)
	for _, oc := range j.schedule.open {
		for s := range oc.steps {
			step := StepRecord{Occurrence: oc.number, Step: s}
			for i, t := range oc.steps[s].tasks {
				switch {
				case t.done:
					step.Done = append(step.Done, i)
				case len(t.failedRuns) > 0 || t.checkpoint != "":
					step.Tasks = append(step.Tasks, TaskRecord{i, t.failedRuns, t.lastRun, t.checkpoint})
				}
			}
			if len(step.Done)+len(step.Tasks) > 0 {
				r.Steps = append(r.Steps, step)
			}
		}
	}
	return r
}
