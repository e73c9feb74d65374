package placement

import (
	"cmp"
	"container/heap"
	"fmt"
	"slices"
	"time"

	"verbenalanding.example/fleet/platform"
)

// Settings configures the placement policy; zero values mean the defaults.
type Settings struct {
	// CheckpointGrace is how long a preempted job may take to checkpoint before it is stopped.
	CheckpointGrace time.Duration
	// ThrottlePercent is the percentage of its CPU that a throttled job keeps.
	ThrottlePercent int
	// WaitLimitStandard and WaitLimitDeferrable are the waiting times after which a job of the class counts as aged.
	WaitLimitStandard   time.Duration
	WaitLimitDeferrable time.Duration
	// AgedShare is the percentage of a pool that aged jobs may take ahead of urgent ones.
	AgedShare int
	// MinSamples is the number of runs of a kind after which learned sizes and run times replace declared ones.
	MinSamples int
	// MaxStarts limits the jobs placed in one step; the next step continues with the pool that was planned last.
	MaxStarts int
	// ReplanEvery is the longest interval between two planning steps of a pool with waiting jobs.
	ReplanEvery time.Duration
}

// Default returns s with unset fields filled.
func (s Settings) Default() Settings {
	s.CheckpointGrace = cmp.Or(s.CheckpointGrace, 2*time.Second)
	s.ThrottlePercent = cmp.Or(s.ThrottlePercent, 25)
	s.WaitLimitStandard = cmp.Or(s.WaitLimitStandard, 2*time.Minute)
	s.WaitLimitDeferrable = cmp.Or(s.WaitLimitDeferrable, 15*time.Minute)
	s.AgedShare = cmp.Or(s.AgedShare, 5)
	s.MinSamples = cmp.Or(s.MinSamples, 5)
	// 3,000 starts take about 20 ms, less than half of the time budget of a step. The store accepts far fewer writes anyway.
	s.MaxStarts = cmp.Or(s.MaxStarts, 3000)
	s.ReplanEvery = cmp.Or(s.ReplanEvery, 5*time.Second)
	return s
}

// maxAvoided and avoidDuration limit how many workers a job avoids after it failed on them, and for how long. In a small pool
// the job must be able to run on them again.
const (
	maxAvoided    = 4
	avoidDuration = time.Minute
)

// Planner is the state of the placement policy; it is not safe for concurrent use.
type Planner struct {
	settings Settings
	jobs     map[string]*job
	workers  map[string]*worker
	pools    map[string]*pool
	kinds    map[string]*kind
	teams    map[string]*team
	suspects map[string]bool
	delayed  delayedHeap
	dirty    map[*pool]bool
	evicting map[*job]bool
	pending  map[*job]bool
	actions  []Action
	now      time.Time
	// starts counts the jobs placed in this step; lastPool is the name of the pool planned last, where the next step continues.
	starts    int
	serial    uint64
	kindOrder []string
	lastPool  string
}

// New returns a planner without workers and jobs.
func New(s Settings) *Planner {
	return &Planner{
		settings: s.Default(),
		jobs:     map[string]*job{},
		workers:  map[string]*worker{},
		pools:    map[string]*pool{},
		kinds:    map[string]*kind{},
		teams:    map[string]*team{},
		suspects: map[string]bool{},
		dirty:    map[*pool]bool{},
		evicting: map[*job]bool{},
		pending:  map[*job]bool{},
	}
}

// Handle applies an event that happened at the given time and returns the actions that follow from it.
func (p *Planner) Handle(at time.Time, e Event) []Action {
	p.actions, p.now = nil, at
	switch e := e.(type) {
	case Submit:
		p.submit(e.Job)
	case Adopt:
		p.adopt(e)
	case Confirmed:
		p.confirm(p.jobs[e.ID])
	case Cancel:
		for _, id := range e.IDs {
			p.remove(p.jobs[id])
		}
	case Requeue:
		p.requeue(e)
	case Ended:
		p.ended(e)
	case Used:
		p.used(e)
	case WorkerUp:
		p.workerUp(e.Worker)
	case WorkerDown:
		p.workerDown(e.ID)
	case Quotas:
		p.quotas(e.Teams)
	case Suspects:
		p.setSuspects(e.Kinds)
	case Tick:
		p.tick()
	}
	return p.actions
}

func (p *Planner) emit(a Action) { p.actions = append(p.actions, a) }

func (p *Planner) submit(j Job) {
	if p.jobs[j.ID] != nil {
		return
	}
	if !ValidSize(j.Declared) || j.RunTime < 0 {
		p.emit(Impossible{Job: j.ID, Rule: RuleInvalidSize, Detail: "sizes must be positive and below 2^40 thousandths of a core, 2^50 bytes and 2^30 accelerators"})
		return
	}
	p.serial++
	n := &job{Job: j, percent: 100, serial: p.serial}
	p.jobs[j.ID] = n
	p.enqueue(n)
}

func (p *Planner) adopt(e Adopt) {
	if p.jobs[e.Job.ID] != nil {
		return
	}
	n := &job{Job: e.Job, percent: 100, need: e.Reserved, state: inactive}
	p.jobs[e.Job.ID] = n
	w := p.workers[e.Worker]
	if w == nil {
		// The worker has not been added yet. Until WorkerUp adds it, it is closed and only tracks its reservations.
		w = p.addWorker(Worker{ID: e.Worker, Pool: e.Job.Pool, Closed: true})
	}
	p.assign(n, w, running)
	n.since = e.Started
}

func (p *Planner) confirm(j *job) {
	if j == nil || j.confirmed || j.state != running {
		return
	}
	w := j.worker
	if w == nil {
		return
	}
	w.reclaimable = sub(w.reclaimable, p.reclaim(j))
	j.confirmed = true
	w.reclaimable = add(w.reclaimable, p.reclaim(j))
	p.refresh(w)
}

func (p *Planner) enqueue(j *job) {
	po := p.pool(j.Pool)
	if j.notBefore.After(p.now) {
		j.state = delayed
		heap.Push(&p.delayed, delayedJob{at: j.notBefore, job: j})
		return
	}
	j.state = waiting
	j.due = p.dueTime(j.Job)
	key := groupKey{class: j.Class, kind: j.Kind, declared: j.Declared, repeatable: j.Repeatable}
	g := po.groups[key]
	if g == nil {
		g = &group{key: key, teams: map[string]*queue{}}
		po.groups[key] = g
	}
	q := g.teams[j.Team]
	if q == nil {
		q = &queue{group: g, team: p.team(j.Team), name: j.Team, slotIndex: -1}
		g.teams[j.Team] = q
	}
	j.queue = q
	q.push(j)
	if j.urgent() {
		need, _ := p.estimate(j.Job)
		j.need = need
		po.urgentDemand = add(po.urgentDemand, need)
	}
	p.touch(po)
}

// leaveQueue reverts the accounting of enqueue. The heap entry is removed later, when it reaches the head of the queue.
func (p *Planner) leaveQueue(j *job) {
	if j.state == waiting && j.urgent() {
		po := p.pools[j.Pool]
		po.urgentDemand = sub(po.urgentDemand, j.need)
	}
	if j.queue != nil {
		j.queue.touch()
	}
	j.queue = nil
}

func (p *Planner) remove(j *job) {
	if j == nil {
		return
	}
	p.release(j)
	j.releaseHold()
	j.state = inactive
	delete(p.jobs, j.ID)
}

// release removes a job from its queue or its worker.
func (p *Planner) release(j *job) {
	switch j.state {
	case waiting, delayed:
		p.leaveQueue(j)
	case pending, running, evicting:
		p.unassign(j)
	case inactive:
	}
}

func (p *Planner) requeue(e Requeue) {
	j := p.jobs[e.ID]
	if j == nil || j.state == waiting || j.state == delayed {
		return
	}
	p.release(j)
	j.notBefore = e.NotBefore
	if e.Avoid != "" {
		j.avoid = append(j.avoid[max(0, len(j.avoid)-maxAvoided+1):], e.Avoid)
		j.avoidUntil = p.now.Add(avoidDuration)
	}
	j.percent, j.stopOrdered, j.aged, j.confirmed, j.rule = 100, false, false, false, ""
	j.peak, j.excess = platform.Resources{}, platform.Resources{}
	p.enqueue(j)
}

func (p *Planner) ended(e Ended) {
	j := p.jobs[e.ID]
	if j == nil {
		return
	}
	if j.state == running || j.state == evicting {
		k := p.kind(j.Kind)
		if e.Succeeded {
			k.addRun(p.now.Sub(j.since))
			if j.peak != (platform.Resources{}) {
				k.addPeak(j.peak)
			}
		}
	}
	p.remove(j)
}

func (p *Planner) used(e Used) {
	j := p.jobs[e.ID]
	if j == nil || j.worker == nil || e.AsOf.Before(j.since) {
		return
	}
	j.peak = maximum(j.peak, e.Used)
	// An estimate that turns out too small is raised immediately. It is lowered only after completed runs, since usage often
	// rises late in a run.
	if size, learned := p.estimate(j.Job); !fits(e.Used, size) && !fits(e.Used, scale(j.recordedPeak, 11, 10)) {
		j.recordedPeak = j.peak
		k := p.kind(j.Kind)
		k.addPeak(j.peak)
		for !learned && k.peakCount < p.settings.MinSamples {
			k.addPeak(j.peak)
		}
	}
	excess := maximum(sub(e.Used, j.need), platform.Resources{})
	if excess != j.excess {
		j.worker.excess = add(j.worker.excess, sub(excess, j.excess))
		j.excess = excess
		p.refresh(j.worker)
	}
}

// Explain returns the rule by which a job waits, with details: the job's own rule, or that of the first job of its queue.
func (p *Planner) Explain(id string) (Rule, string) {
	j := p.jobs[id]
	switch {
	case j == nil:
		return "", ""
	case j.state == delayed:
		return RuleBackoff, "waits until " + j.notBefore.UTC().Format(time.RFC3339)
	case j.state == pending:
		return RuleAwaitingPreemption, "preempted jobs make room on worker " + j.worker.ID
	case j.state != waiting || j.queue == nil:
		return "", ""
	}
	head := j.queue.head()
	if head == nil || head.rule == "" {
		return RuleQueued, fmt.Sprintf("%d jobs of kind %s and team %s wait", len(j.queue.jobs), j.Kind, j.Team)
	}
	return head.rule, fmt.Sprintf("%d jobs of kind %s and team %s wait; the first is %s", len(j.queue.jobs), j.Kind, j.Team, head.ID)
}

func (p *Planner) setSuspects(kinds []string) {
	p.suspects = map[string]bool{}
	for _, k := range kinds {
		p.suspects[k] = true
	}
	for _, po := range p.pools {
		p.touch(po)
	}
}

func (p *Planner) touch(po *pool) { p.dirty[po] = true }

func (p *Planner) tick() {
	for len(p.delayed) > 0 && !p.delayed[0].at.After(p.now) {
		d := heap.Pop(&p.delayed).(delayedJob)
		if d.job.state == delayed && d.job.notBefore.Equal(d.at) {
			p.enqueue(d.job)
		}
	}
	p.escalate()
	due := make([]*pool, 0, len(p.dirty))
	for _, po := range p.pools {
		if p.dirty[po] || (len(po.groups) > 0 && p.now.Sub(po.lastPlanned) >= p.settings.ReplanEvery) {
			due = append(due, po)
		}
	}
	clear(p.dirty)
	slices.SortFunc(due, func(a, b *pool) int { return compareStrings(a.name, b.name) })
	from, _ := slices.BinarySearchFunc(due, p.lastPool, func(po *pool, name string) int { return compareStrings(po.name, name) })
	p.starts = 0
	for i := range due {
		po := due[(from+i)%len(due)]
		if p.starts >= p.settings.MaxStarts {
			p.touch(po)
			continue
		}
		p.plan(po)
		p.lastPool = po.name
	}
}

// escalate stops preempted jobs whose checkpoint takes too long, and handles pending jobs that wait for capacity.
func (p *Planner) escalate() {
	for _, j := range sortedByID(p.evicting) {
		if !j.stopOrdered && p.now.Sub(j.evictingSince) >= p.settings.CheckpointGrace {
			j.stopOrdered = true
			p.emit(Stop{Job: j.ID, Worker: j.worker.ID, Detail: fmt.Sprintf("checkpoint not finished after %v", p.settings.CheckpointGrace)})
		}
	}
	for _, j := range sortedByID(p.pending) {
		p.escalatePending(j)
	}
}

// escalatePending handles a pending job whose capacity is not free yet. If usage above the reservations has taken up the
// capacity in the meantime, it preempts more jobs. If the stopped jobs do not end, it queues the job again for another worker.
func (p *Planner) escalatePending(j *job) {
	w := j.worker
	if w.releasing == (platform.Resources{}) {
		if e, ok := p.evictionOn(w, j, platform.Resources{}); ok && len(e.victims) > 0 {
			for _, v := range e.victims {
				p.evict(v, j)
			}
			p.startPending(w)
			return
		}
	}
	if p.now.Sub(j.since) < 2*p.settings.CheckpointGrace {
		return
	}
	for t := range w.tasks {
		if t.state == evicting && t.stopOrdered && p.now.Sub(t.evictingSince) >= 2*p.settings.CheckpointGrace {
			// The worker does not end its tasks, so urgent jobs avoid it for ten times the grace period.
			w.avoidUntil = p.now.Add(10 * p.settings.CheckpointGrace)
		}
	}
	p.unassign(j)
	p.enqueue(j)
}

func sortedByID(set map[*job]bool) []*job {
	jobs := make([]*job, 0, len(set))
	for j := range set {
		jobs = append(jobs, j)
	}
	slices.SortFunc(jobs, func(a, b *job) int { return compareStrings(a.ID, b.ID) })
	return jobs
}
