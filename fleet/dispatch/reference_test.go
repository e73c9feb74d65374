package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"verbenalanding.example/fleet/workload"
)

// referenceCandidate is a candidate with all that the order compares.
type referenceCandidate struct {
	job                        *job
	occurrence                 *occurrence
	longRunning, inTime, begun bool
	use                        use
	density, share             float64
}

// ListedCandidate is a candidate in the order of a plan.
type ListedCandidate struct {
	Job           string
	Occurrence    int
	Use           int
	Density, Work float64
}

// CandidateLists returns the candidates of a plan, and those of the reference.
func (p *Pool) CandidateLists(now time.Time) (got, want []ListedCandidate) {
	u := p.currentUncertainty(now)
	for _, c := range p.candidates(u, now) {
		got = append(got, ListedCandidate{c.job.ID, c.occurrence.number, int(c.use), c.density, p.waitingWork(c, u)})
	}
	for _, c := range p.referenceCandidates(u, now) {
		work := 0.0
		for _, t := range c.waitingTasks(u) {
			took := p.referenceRunTime(t)
			if t.step.LongRunning {
				took = time.Second
			}
			work += float64(float64(t.step.Reserved().CPU) / milliPerCore * took.Seconds())
		}
		want = append(want, ListedCandidate{c.job.ID, c.occurrence.number, int(c.use), c.density, work})
	}
	return got, want
}

// WaitingCPU returns the CPU of the waiting tasks that Demand counts, and that of the reference.
func (p *Pool) WaitingCPU(now time.Time) (got, want int64) {
	u := p.currentUncertainty(now)
	for _, c := range p.referenceCandidates(u, now) {
		if c.longRunning || c.inTime {
			for _, t := range c.waitingTasks(u) {
				want += t.step.Reserved().CPU
			}
		}
	}
	return p.waitingCPU(now), want
}

// waitingTasks returns the waiting tasks of the steps that are ready.
func (c *referenceCandidate) waitingTasks(u uncertainty) (list []*task) {
	for s := range c.occurrence.steps {
		if st := &c.occurrence.steps[s]; st.ready {
			for _, t := range st.tasks {
				if !t.done && len(t.runs) == 0 && !u.tasks[t.id] && !(t.job.restored && u.allRestored) {
					list = append(list, t)
				}
			}
		}
	}
	return list
}

func (p *Pool) referenceCandidates(u uncertainty, now time.Time) []referenceCandidate {
	var list []referenceCandidate
	for _, j := range p.active {
		for _, oc := range j.schedule.open {
			c := referenceCandidate{job: j, occurrence: oc}
			waiting := c.waitingTasks(u)
			if len(waiting) == 0 || oc.due.After(now) {
				continue
			}
			c.longRunning = slices.ContainsFunc(waiting, func(t *task) bool { return t.step.LongRunning })
			for s := range oc.steps {
				st := &oc.steps[s]
				c.begun = c.begun || !st.startedAt.IsZero() || slices.ContainsFunc(st.tasks, func(t *task) bool { return t.done || len(t.runs) > 0 })
			}
			if !c.longRunning {
				p.referenceUse(&c, now)
			}
			list = append(list, c)
		}
	}
	if len(p.workspaces) == 0 {
		slices.SortStableFunc(list, compareByUrgency)
		return list
	}
	slices.SortStableFunc(list, compareByWorkspace)
	planned := map[string]workload.Resources{}
	for i := range list {
		c := &list[i]
		name := c.job.Workspace
		if _, counted := planned[name]; !counted {
			planned[name] = p.accounts[name].reservedUse
		}
		c.share = dominantShare(planned[name], p.capacity()) / p.weightOf(name)
		for s := range c.occurrence.steps {
			for _, t := range c.occurrence.steps[s].tasks {
				if t.state.ready && !t.done && len(t.runs) == 0 {
					planned[name] = planned[name].Plus(t.step.Reserved())
				}
			}
		}
	}
	slices.SortStableFunc(list, compareByWorkspace)
	return list
}

// referenceUse sets what depends on the estimated work of a candidate. The worth of its job is known from the pool's own list.
func (p *Pool) referenceUse(c *referenceCandidate, now time.Time) {
	remaining, critical := make([]time.Duration, len(c.occurrence.steps)), make([]time.Duration, len(c.occurrence.steps))
	work := 0.0
	for s := range c.occurrence.steps {
		st, step := &c.occurrence.steps[s], &c.job.Steps[s]
		done, without := 0, 0
		for _, t := range st.tasks {
			switch {
			case t.done:
				done++
			case len(t.runs) == 0:
				without++
			}
		}
		each := p.referenceRunTime(st.tasks[0])
		work += float64(float64(step.Need.CPU) / 1000 * each.Seconds() * float64(len(st.tasks)-done))
		for _, a := range step.After {
			remaining[s], critical[s] = max(remaining[s], remaining[a]), max(critical[s], critical[a])
		}
		critical[s] += each
		switch {
		case done == len(st.tasks):
		case !st.startedAt.IsZero() && without == 0:
			remaining[s] += max(0, each-now.Sub(st.startedAt))
		default:
			remaining[s] += each
		}
	}
	from := c.job.from
	if c.occurrence.due.After(from) {
		from = c.occurrence.due
	}
	objective := workload.Scale(slices.Max(critical), c.job.queue.Stretch) + c.job.queue.TargetDuration
	end := now.Add(slices.Max(remaining))
	c.inTime = !end.After(from.Add(objective))
	switch {
	case c.inTime:
	case !end.After(from.Add(workload.Scale(objective, lateFactor))):
		c.use = useLate
	default:
		c.use = useNone
	}
	c.density = c.job.worth / max(work, 0.001)
}

// referenceRunTime returns how long a task is likely to run, by the pool's maps.
func (p *Pool) referenceRunTime(t *task) time.Duration {
	declared := t.step.Estimate
	if declared <= 0 {
		declared = defaultEstimate
	}
	ratio, runTime := p.means[meanKey{t.job.Queue, t.step.Image}], p.runTimes[meanKey{t.job.Queue, t.step.Image}]
	switch {
	case len(p.workspaces) > 0 && ratio != nil && runTime != nil && runTime.samples >= minKindSamples && runTime.spread < ratio.spread:
		return min(workload.Scale(time.Second, runTime.mean), workload.MaxEstimate)
	case ratio != nil:
		return min(workload.Scale(declared, ratio.mean), workload.MaxEstimate)
	}
	return declared
}

func compareByUrgency(a, b referenceCandidate) int {
	return cmp.Or(
		compareTrueFirst(a.longRunning, b.longRunning),
		cmp.Compare(a.job.queue.Priority, b.job.queue.Priority),
		compareTrueFirst(a.inTime, b.inTime),
		compareTrueFirst(a.begun, b.begun),
		-cmp.Compare(a.density, b.density),
		a.job.Accepted.Compare(b.job.Accepted),
	)
}

func compareByWorkspace(a, b referenceCandidate) int {
	return cmp.Or(
		compareTrueFirst(a.longRunning, b.longRunning),
		cmp.Compare(a.job.queue.Priority, b.job.queue.Priority),
		compareTrueFirst(a.use != useNone, b.use != useNone),
		compareTrueFirst(!a.job.beyond, !b.job.beyond),
		cmp.Compare(a.use, b.use),
		compareTrueFirst(a.begun, b.begun),
		-cmp.Compare(math.Ilogb(a.density), math.Ilogb(b.density)),
		cmp.Compare(a.share, b.share),
		-cmp.Compare(a.density, b.density),
		a.job.Accepted.Compare(b.job.Accepted),
	)
}
