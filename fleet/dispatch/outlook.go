package dispatch

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"verbenalanding.example/fleet/workload"
)

const (
	// outlookInterval is the time between two outlooks of a pool.
	outlookInterval = 200 * time.Millisecond
	// OutlookValid is how long a node uses an outlook after it has received it.
	OutlookValid = time.Second
	// leastPath is the part of its declared run time that a job is assumed to need when a refusal is decided: declared times are wrong by up to a factor
	// of two.
	leastPath = 0.5
	// maxOutlookWorkspaces bounds the workspaces of an outlook, which is sent with the answer to each stored job; those with the most work are kept.
	maxOutlookWorkspaces = 24
)

// Outlook says how much work waits before a new job of a pool; the pool's holder sends it to the nodes that take jobs. There is one only where workspaces
// share a pool in which work waits.
type Outlook struct {
	// Cores is the capacity of the workers that take starts, and of the machines on their way.
	Cores float64 `json:"cores"`
	// Levels holds the priorities with waiting work, the most urgent first.
	Levels []OutlookLevel `json:"levels"`
	// Beyond holds the workspaces that have used up what they are owed.
	Beyond []OutlookWorkspace `json:"beyond,omitempty"`
}

// OutlookLevel is the work in core-seconds that waits at a priority, without that which is of no use any more.
type OutlookLevel struct {
	Priority int `json:"priority"`
	// InTime is the work that workspaces are owed and that can still be in time; Owed also has the owed work that is late.
	InTime float64 `json:"inTime"`
	Owed   float64 `json:"owed"`
}

// OutlookWorkspace is a workspace whose next job is beyond what it is owed.
type OutlookWorkspace struct {
	Workspace string `json:"workspace"`
	// Work is the waiting work of its jobs beyond what it is owed, in core-seconds.
	Work float64 `json:"work"`
}

// SetIncomingCPU sets the capacity of the machines on their way to the pool, in thousandths of a core.
func (p *Pool) SetIncomingCPU(cpu int64) { p.incomingCPU = cpu }

// Outlook returns the outlook of the pool as of one of the last plans; nil while no job needs to be refused.
func (p *Pool) Outlook() *Outlook { return p.outlook }

// updateOutlook makes the outlook after a plan has placed what it could of the candidates.
func (p *Pool) updateOutlook(list []*candidate, u uncertainty, now time.Time) {
	if len(p.workspaces) == 0 {
		p.outlook = nil
		return
	}
	if now.Sub(p.outlookAt) < outlookInterval {
		return
	}
	p.outlook, p.outlookAt = nil, now
	o := &Outlook{Cores: float64(p.incomingCPU) / milliPerCore}
	for _, w := range p.workers {
		if p.usable(w, now) {
			o.Cores += float64(w.Capacity.CPU) / milliPerCore
		}
	}
	work := map[string]float64{}
	for _, c := range list {
		waits := p.waitingWork(c, u)
		if waits <= 0 || c.use == useNone {
			continue
		}
		if c.job.beyond {
			work[c.job.Workspace] += waits
			continue
		}
		level := o.level(c.job.queue.Priority)
		level.Owed += waits
		if c.use == useInTime {
			level.InTime += waits
		}
	}
	for name, w := range p.workspaces {
		if w.meter.Beyond(now) {
			o.Beyond = append(o.Beyond, OutlookWorkspace{Workspace: name, Work: work[name]})
		}
	}
	if len(o.Levels) == 0 && len(work) == 0 {
		return
	}
	slices.SortFunc(o.Levels, func(a, b OutlookLevel) int { return cmp.Compare(a.Priority, b.Priority) })
	slices.SortFunc(o.Beyond, func(a, b OutlookWorkspace) int {
		return cmp.Or(-cmp.Compare(a.Work, b.Work), cmp.Compare(a.Workspace, b.Workspace))
	})
	o.Beyond = o.Beyond[:min(len(o.Beyond), maxOutlookWorkspaces)]
	p.outlook = o
}

func (o *Outlook) level(priority int) *OutlookLevel {
	i := slices.IndexFunc(o.Levels, func(l OutlookLevel) bool { return l.Priority == priority })
	if i < 0 {
		i = len(o.Levels)
		o.Levels = append(o.Levels, OutlookLevel{Priority: priority})
	}
	return &o.Levels[i]
}

// RefusalCause is why a job is refused at the call.
type RefusalCause string

// The causes of a refusal.
const (
	// RefusedBeyond means that the job's workspace has used up what it is owed, and that the work before the job takes too long for it to be of use.
	RefusedBeyond RefusalCause = "beyond"
	// RefusedBacklog means that the owed work before the job takes too long for it to be of use.
	RefusedBacklog RefusalCause = "backlog"
)

// Refusal says why a new job would be of no use, with the figures that decided.
type Refusal struct {
	Cause RefusalCause
	// Wait is the time that the pool needs for the work that goes before the job, Useful how long from now a start of the job is of use.
	Wait   time.Duration
	Useful time.Duration
	// Each is the time that the pool needs for the job alone.
	Each time.Duration
}

// Decide returns why a new job is refused, or nil for a job that is taken. It is refused only if it certainly ends later than it is of use to its caller:
// with the shortest likely run times, and counting only what goes before it in any case. Long-running and scheduled jobs are always taken.
func (o *Outlook) Decide(j *workload.Job) *Refusal {
	if o == nil || o.Cores <= 0 || j.Times > 0 || j.LongRunning() {
		return nil
	}
	path, work := declaredPath(j)
	objective := workload.Scale(path, j.Terms.Stretch) + j.Terms.TargetDuration
	r := &Refusal{
		Cause: RefusedBacklog, Each: workload.Scale(time.Second, work/o.Cores),
		Useful: workload.Scale(objective, lateFactor) - workload.Scale(path, leastPath),
	}
	before := 0.0
	i := slices.IndexFunc(o.Beyond, func(w OutlookWorkspace) bool { return w.Workspace == j.Workspace })
	if i >= 0 {
		r.Cause, before = RefusedBeyond, o.Beyond[i].Work
	}
	for _, l := range o.Levels {
		switch {
		case l.Priority > j.Terms.Priority:
		case i >= 0:
			before += l.Owed
		default:
			before += l.InTime
		}
	}
	r.Wait = workload.Scale(time.Second, before/o.Cores)
	if r.Wait <= r.Useful {
		return nil
	}
	return r
}

const (
	// refusalKept is how long a refusal is remembered: longer than callers are asked to wait. maxRefusals bounds the number of remembered ones.
	refusalKept = 4 * maxReturn
	maxRefusals = 10_000
)

// NoteRefusal records that a job was refused at the call. If its caller returns with it, its objective counts from the first call.
func (p *Pool) NoteRefusal(id string, now time.Time) {
	if len(p.workspaces) == 0 {
		return
	}
	if len(p.refusals) >= maxRefusals {
		maps.DeleteFunc(p.refusals, func(_ string, at time.Time) bool { return now.Sub(at) > refusalKept })
	}
	if _, noted := p.refusals[id]; !noted && len(p.refusals) < maxRefusals {
		p.refusals[id] = now
	}
}

// firstCallOf returns when a job was first refused, and forgets that; zero for a job that was not, or too long before.
func (p *Pool) firstCallOf(id string, now time.Time) time.Time {
	at, noted := p.refusals[id]
	if !noted {
		return time.Time{}
	}
	delete(p.refusals, id)
	if now.Sub(at) > refusalKept {
		return time.Time{}
	}
	return at
}

// declaredPath returns the time of the job's longest chain of steps and its work in core-seconds, by the declared run times.
func declaredPath(j *workload.Job) (longest time.Duration, work float64) {
	paths := make([]time.Duration, len(j.Steps))
	for s := range j.Steps {
		step := &j.Steps[s]
		each := step.Estimate
		if each <= 0 {
			each = defaultEstimate
		}
		for _, a := range step.After {
			paths[s] = max(paths[s], paths[a])
		}
		paths[s] += each
		longest = max(longest, paths[s])
		work += float64(step.Reserved().CPU) / milliPerCore * each.Seconds() * float64(step.Tasks)
	}
	return longest, work
}

// maxReturn bounds the time after which a refused caller is asked to return: what waits now says nothing about later.
const maxReturn = 30 * time.Second

// Returns spreads the times at which refused callers are asked to return: once the pool has done the waiting work, in the order of their refusals, and no
// faster than the pool can take their jobs. If callers returned as soon as their jobs were of some use again, these would take the room of jobs that can be
// in time. The zero value is ready to use.
type Returns struct{ last time.Time }

// After returns after how many whole seconds a caller should return that is refused now.
func (t *Returns) After(r *Refusal, now time.Time) time.Duration {
	at := now.Add(r.Wait)
	if next := t.last.Add(r.Each); next.After(at) {
		at = next
	}
	if latest := now.Add(maxReturn); at.After(latest) {
		at = latest
	}
	t.last = at
	return time.Duration(math.Ceil(max(at.Sub(now), time.Second).Seconds())) * time.Second
}
