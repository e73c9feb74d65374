package placement

import (
	"cmp"
	"container/heap"
	"fmt"
	"slices"
	"time"

	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/platform"
)

// Settings are the figures of the policy; zero values mean the defaults.
type Settings struct {
	// CheckpointGrace is how long a checkpoint may take before the job is stopped.
	CheckpointGrace time.Duration
	// ThrottlePercent is the share of its processors that a throttled job keeps, in hundredths.
	ThrottlePercent int
	// WaitLimitStandard and WaitLimitDeferrable are the waits after which a job counts as aged.
	WaitLimitStandard   time.Duration
	WaitLimitDeferrable time.Duration
	// AgedShare is the part of a pool, in hundredths, that aged jobs may take before urgent ones.
	AgedShare int
	// MinSamples is the number of runs of a kind after which learned figures replace declared ones.
	MinSamples int
	// MaxStarts bounds the jobs placed in one step; the next step goes on where it ended.
	MaxStarts int
	// ReplanEvery is the longest time between two plans of a pool with waiting jobs.
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
	// 3,000 starts take about 20 ms, less than half of the time that a step may take, and the store takes far fewer writes.
	s.MaxStarts = cmp.Or(s.MaxStarts, 3000)
	s.ReplanEvery = cmp.Or(s.ReplanEvery, 5*time.Second)
	return s
}

// avoided and avoidFor bound how many workers a job that failed on them avoids, and for how long: in a small pool it must
// run there again.
const (
	avoided  = 4
	avoidFor = time.Minute
)

type jobState int

const (
	waiting jobState = iota
	// delayed jobs wait for their NotBefore time.
	delayed
	// pending jobs have a worker on which preempted jobs still hold the room.
	pending
	running
	// leaving jobs were asked to make room and still hold it.
	leaving
	over
)

type job struct {
	Job
	state jobState
	// serial orders jobs with equal due times by their arrival.
	serial    uint64
	queue     *queue
	due       time.Time
	notBefore time.Time
	need      platform.Resources
	// charged is what the job takes of its team's quota.
	charged platform.Resources
	worker  *worker
	since   time.Time
	// asked is when a leaving job was asked to leave.
	asked   time.Time
	peak    platform.Resources
	excess  platform.Resources
	percent int
	// whole is the processors that a throttled job gets back.
	whole     int64
	taught    platform.Resources
	aged      bool
	confirmed bool
	holdOn    *worker
	// avoid is the workers on which the job failed, until the time avoidUntil.
	avoid      []string
	avoidUntil time.Time
	stopped    bool
	preempted  int
	rule       Rule
}

// fixed reports whether a running job cannot be ended to make room.
func (j *job) fixed() bool { return !j.Repeatable }

func (j *job) urgent() bool { return j.Class == declaration.Urgent }

// Planner is the state of the placement policy; it is not safe for concurrent use.
type Planner struct {
	settings Settings
	jobs     map[string]*job
	workers  map[string]*worker
	pools    map[string]*pool
	kinds    map[string]*kind
	teams    map[string]*team
	suspects map[string]bool
	later    laterHeap
	dirty    map[*pool]bool
	leaving  map[*job]bool
	pending  map[*job]bool
	out      []Action
	now      time.Time
	// starts counts the jobs placed in this step; resume is the pool that the last step ended with.
	starts    int
	serial    uint64
	kindOrder []string
	resume    string
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
		leaving:  map[*job]bool{},
		pending:  map[*job]bool{},
	}
}

// Handle applies an event that happened at the given time and returns the actions that follow from it.
func (p *Planner) Handle(at time.Time, e Event) []Action {
	p.out, p.now = nil, at
	switch e := e.(type) {
	case Submit:
		p.submit(e.Job)
	case Adopt:
		p.adopt(e)
	case Confirmed:
		p.confirm(p.jobs[e.ID])
	case Cancel:
		for _, id := range e.IDs {
			p.drop(p.jobs[id])
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
	return p.out
}

func (p *Planner) emit(a Action) { p.out = append(p.out, a) }

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
	n := &job{Job: e.Job, percent: 100, need: e.Reserved, state: over}
	p.jobs[e.Job.ID] = n
	w := p.workers[e.Worker]
	if w == nil {
		// The worker is not listed yet; it is known by its reservation only until then.
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
		heap.Push(&p.later, later{at: j.notBefore, job: j})
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
		q = &queue{group: g, team: p.team(j.Team), name: j.Team, place: -1}
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

// leaveQueue undoes the bookkeeping of enqueue; the heap entry is dropped when it surfaces.
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

func (p *Planner) drop(j *job) {
	if j == nil {
		return
	}
	p.release(j)
	j.unhold()
	j.state = over
	delete(p.jobs, j.ID)
}

// unhold gives up the worker that is kept free for the job.
func (j *job) unhold() {
	if j.holdOn != nil {
		j.holdOn.held = nil
		j.holdOn.pool.holds--
		j.holdOn = nil
	}
}

// release takes a job out of its queue or off its worker.
func (p *Planner) release(j *job) {
	switch j.state {
	case waiting, delayed:
		p.leaveQueue(j)
	case pending, running, leaving:
		p.unassign(j)
	case over:
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
		j.avoid = append(j.avoid[max(0, len(j.avoid)-avoided+1):], e.Avoid)
		j.avoidUntil = p.now.Add(avoidFor)
	}
	j.percent, j.stopped, j.aged, j.confirmed, j.rule = 100, false, false, false, ""
	j.peak, j.excess = platform.Resources{}, platform.Resources{}
	p.enqueue(j)
}

func (p *Planner) ended(e Ended) {
	j := p.jobs[e.ID]
	if j == nil {
		return
	}
	if j.state == running || j.state == leaving {
		k := p.learn(j.Kind)
		if e.Succeeded {
			k.addRun(p.now.Sub(j.since))
			if j.peak != (platform.Resources{}) {
				k.addPeak(j.peak)
			}
		}
	}
	p.drop(j)
}

func (p *Planner) used(e Used) {
	j := p.jobs[e.ID]
	if j == nil || j.worker == nil || e.AsOf.Before(j.since) {
		return
	}
	j.peak = maximum(j.peak, e.Used)
	// A kind that outgrows its estimate is learned at once; shrinking waits for whole runs, since use often rises late.
	if size, learned := p.estimate(j.Job); !fits(e.Used, size) && !fits(e.Used, scale(j.taught, 11, 10)) {
		j.taught = j.peak
		k := p.learn(j.Kind)
		k.addPeak(j.peak)
		for !learned && k.seen < p.settings.MinSamples {
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

// Explain says why a job waits: its own rule, or that of the first jobs of its kind.
func (p *Planner) Explain(id string) (Rule, string) {
	j := p.jobs[id]
	switch {
	case j == nil:
		return "", ""
	case j.state == delayed:
		return RuleBackoff, "waits until " + j.notBefore.UTC().Format(time.RFC3339)
	case j.state == pending:
		return RulePreempting, "preempted jobs make room on worker " + j.worker.ID
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
	for len(p.later) > 0 && !p.later[0].at.After(p.now) {
		l := heap.Pop(&p.later).(later)
		if l.job.state == delayed && l.job.notBefore.Equal(l.at) {
			p.enqueue(l.job)
		}
	}
	p.escalate()
	due := make([]*pool, 0, len(p.dirty))
	for _, po := range p.pools {
		if p.dirty[po] || (len(po.groups) > 0 && p.now.Sub(po.planned) >= p.settings.ReplanEvery) {
			due = append(due, po)
		}
	}
	clear(p.dirty)
	slices.SortFunc(due, func(a, b *pool) int { return compareStrings(a.name, b.name) })
	from, _ := slices.BinarySearchFunc(due, p.resume, func(po *pool, name string) int { return compareStrings(po.name, name) })
	p.starts = 0
	for i := range due {
		po := due[(from+i)%len(due)]
		if p.starts >= p.settings.MaxStarts {
			p.touch(po)
			continue
		}
		p.plan(po)
		p.resume = po.name
	}
}

// escalate stops preempted jobs whose checkpoint takes too long and looks after the jobs that wait for their room.
func (p *Planner) escalate() {
	for _, j := range sorted(p.leaving) {
		if !j.stopped && p.now.Sub(j.asked) >= p.settings.CheckpointGrace {
			j.stopped = true
			p.emit(Stop{Job: j.ID, Worker: j.worker.ID, Detail: fmt.Sprintf("checkpoint not finished after %v", p.settings.CheckpointGrace)})
		}
	}
	for _, j := range sorted(p.pending) {
		p.hasten(j)
	}
}

// hasten looks after a job whose room is not free yet. When use above the reservations has taken the room meanwhile,
// more jobs make room; when the stopped jobs do not go, the job gets another worker.
func (p *Planner) hasten(j *job) {
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
		if t.state == leaving && t.stopped && p.now.Sub(t.asked) >= 2*p.settings.CheckpointGrace {
			// The worker does not end its tasks; urgent jobs avoid it for a while.
			w.avoidUntil = p.now.Add(10 * p.settings.CheckpointGrace)
		}
	}
	p.unassign(j)
	p.enqueue(j)
}

func sorted(set map[*job]bool) []*job {
	jobs := make([]*job, 0, len(set))
	for j := range set {
		jobs = append(jobs, j)
	}
	slices.SortFunc(jobs, func(a, b *job) int { return compareStrings(a.ID, b.ID) })
	return jobs
}
