package dispatch

import (
	"fmt"
	"slices"
	"time"

	"verbenalanding.example/fleet/workload"
)

// Placement says where a job would go if it were added to a pool now, and why.
type Placement struct {
	Queue string `json:"queue"`
	Pool  string `json:"pool"`
	// Time is the moment of the answer, on the clock of the pool's holder.
	Time time.Time `json:"time"`
	workspaceExplanation
	// Refusal is nil for a job that would be taken.
	Refusal *PlacementRefusal `json:"refusal,omitempty"`
	// JobsBefore counts the jobs whose waiting tasks the plan places first, WorkBefore is the work of these tasks in core-seconds.
	JobsBefore int     `json:"jobsBefore"`
	WorkBefore float64 `json:"workBefore"`
	// Cores is the capacity of the workers that take starts, FreeCores what no task has reserved before the plan.
	Cores     float64 `json:"cores"`
	FreeCores float64 `json:"freeCores"`
	// Reason is that of the next task that would wait, Basis what the estimate of the first start is based on.
	Reason         WaitReason `json:"reason"`
	EstimatedStart time.Time  `json:"estimatedStart,omitzero"`
	Basis          string     `json:"basis"`
	// Steps holds the steps of the occurrences that are due, in the order in which the plan places them.
	Steps []StepPlacement `json:"steps"`
}

// PlacementRefusal says why a job would be refused at the call.
type PlacementRefusal struct {
	Cause RefusalCause `json:"cause"`
	// WaitSeconds is the time that the pool needs for what goes before, UsefulSeconds how long from now a start is of use.
	WaitSeconds   float64 `json:"waitSeconds"`
	UsefulSeconds float64 `json:"usefulSeconds"`
	// EachSeconds is the time that the pool needs for the job alone.
	EachSeconds float64 `json:"eachSeconds"`
	// RetryAfterSeconds is what the caller would be told by the instance that was asked.
	RetryAfterSeconds int `json:"retryAfterSeconds,omitempty"`
}

// Refusal returns the refusal in the form in which a call decides it.
func (r *PlacementRefusal) Refusal() *Refusal {
	seconds := func(n float64) time.Duration { return workload.Scale(time.Second, n) }
	return &Refusal{Cause: r.Cause, Wait: seconds(r.WaitSeconds), Useful: seconds(r.UsefulSeconds), Each: seconds(r.EachSeconds)}
}

// StepPlacement says which tasks of a step would start, and why the others would wait.
type StepPlacement struct {
	Occurrence int `json:"occurrence,omitempty"`
	Step       int `json:"step"`
	Tasks      int `json:"tasks"`
	// After lists the steps that must be done first.
	After  []int       `json:"after,omitempty"`
	Starts []TaskStart `json:"starts,omitempty"`
	// Waiting counts the tasks that would wait; the reason, the estimate and its basis are those of the first of them.
	Waiting        int        `json:"waiting"`
	Reason         WaitReason `json:"reason"`
	EstimatedStart time.Time  `json:"estimatedStart,omitzero"`
	Basis          string     `json:"basis,omitempty"`
}

// TaskStart is a task that would start now.
type TaskStart struct {
	Task       int    `json:"task"`
	Worker     string `json:"worker"`
	DataCentre string `json:"dataCentre"`
	Rack       string `json:"rack"`
	// Score is that with which the worker was chosen; a lower one is better.
	Score float64 `json:"score"`
}

// placementID is the id of the job of a trial; callers choose hexadecimal ids.
const placementID = "placement"

// trial notes what a plan decides about one job.
type trial struct {
	job    *job
	before workBefore
	listed bool
	starts map[*stepState][]TaskStart
	scores map[gangMember]float64
}

// gangMember identifies a worker that a gang was given; all its tasks were chosen before the first one was started.
type gangMember struct {
	state  *stepState
	worker *worker
}

// noteOrder notes what a plan places before the job.
func (r *trial) noteOrder(p *Pool, list []*candidate, u uncertainty) {
	if r == nil {
		return
	}
	for _, c := range list {
		if c.job == r.job {
			r.listed = true
			return
		}
		r.before.jobs++
		r.before.work += p.waitingWork(c, u)
	}
}

// noteStart notes a start of a task of the job, before it has reserved its room.
func (r *trial) noteStart(p *Pool, t *task, w *worker, now time.Time) {
	if r == nil || t.job != r.job {
		return
	}
	score := 0.0
	if member := (gangMember{t.state, w}); t.step.Gang {
		if _, known := r.scores[member]; !known {
			r.scores[member] = p.score(w, t, w.free(), now)
		}
		score = r.scores[member]
	} else {
		score = p.scoreBeside(w, t, w.free(), siblingRack(t), now)
	}
	r.starts[t.state] = append(r.starts[t.state], TaskStart{Task: t.id.Index, Worker: w.ID, DataCentre: w.Zone, Rack: w.Rack, Score: score})
}

// Place says where a job would go if it were added now. It adds the job to a copy of the pool and plans there, so that the pool stays as it is and the
// decisions are those of a plan.
func (p *Pool) Place(spec workload.Job, now time.Time) Placement {
	spec.ID, spec.Fence, spec.Accepted = placementID, p.Epoch, now
	a := Placement{Queue: spec.Queue, Pool: p.Name, Time: now}
	if refusal := p.outlook.Decide(&spec); refusal != nil {
		a.Refusal = &PlacementRefusal{
			Cause: refusal.Cause, WaitSeconds: refusal.Wait.Seconds(), UsefulSeconds: refusal.Useful.Seconds(), EachSeconds: refusal.Each.Seconds(),
		}
	}
	d := p.copy()
	a.Cores, a.FreeCores = d.cores(now)
	d.AddJob(spec, nil, false, now)
	j := d.jobs[placementID]
	d.trial = &trial{job: j, starts: map[*stepState][]TaskStart{}, scores: map[gangMember]float64{}}
	d.Plan(now)
	if d.trial.listed {
		a.JobsBefore, a.WorkBefore = d.trial.before.jobs, d.trial.before.work
	}
	a.explain(d, j, now)
	return a
}

// explain adds what a plan of a copy of the pool has decided about the job.
func (a *Placement) explain(d *Pool, j *job, now time.Time) {
	x := d.newExplainer(now)
	e := x.explain(j)
	a.workspaceExplanation, a.Reason, a.EstimatedStart, a.Basis = e.workspaceExplanation, e.Reason, e.EstimatedStart, e.Basis
	starts := 0
	for _, oc := range j.schedule.open {
		if oc.due.After(now) {
			continue
		}
		for s := range oc.steps {
			step := x.stepPlacement(j, oc, s)
			starts += len(step.Starts)
			a.Steps = append(a.Steps, step)
		}
	}
	if starts > 0 {
		a.EstimatedStart, a.Basis = now, fmt.Sprintf("%d tasks start with the next plan", starts)
	}
	if starts > 0 && e.Reason == WaitUnconfirmed {
		a.Reason = WaitNone
	}
}

func (x *explainer) stepPlacement(j *job, oc *occurrence, s int) StepPlacement {
	st := &oc.steps[s]
	a := StepPlacement{Occurrence: oc.number, Step: s, Tasks: len(st.tasks), After: j.Steps[s].After, Starts: x.pool.trial.starts[st], Waiting: st.withoutRun, Reason: WaitNone}
	i := slices.IndexFunc(st.tasks, func(t *task) bool { return !t.done && len(t.runs) == 0 })
	if i < 0 {
		return a
	}
	before := x.before[j]
	e := Explanation{
		JobsBefore: before.jobs, WorkBefore: before.work, Cores: x.cores, FreeCores: x.free, workspaceExplanation: x.workspaceOf(j),
	}
	e.explainTask(x, j, oc, st.tasks[i])
	a.Reason, a.EstimatedStart, a.Basis = e.Reason, e.EstimatedStart, e.Basis
	return a
}
