package dispatch

import (
	"cmp"
	"math"
	"time"

	"verbenalanding.example/fleet/quota"
	"verbenalanding.example/fleet/workload"
)

// Settings configures the scheduling policy; zero values select the defaults.
type Settings struct {
	// Lease is how long a worker keeps its runs without a lease renewal.
	Lease time.Duration
	// MaxLease is the longest lease that a worker grants. It limits a lease end that was meant for an earlier incarnation.
	MaxLease time.Duration
	// MaxOrderDelay is how much later an unanswered order may be carried out.
	MaxOrderDelay time.Duration
	// StartLease is how long a start may be in transit; the worker refuses it afterwards.
	StartLease time.Duration
	// Takeover is how long a lost holder may go on giving orders after its successor began.
	Takeover time.Duration
	// ReportTimeout is the time without a report after which a worker gets no starts and no lease renewals.
	ReportTimeout time.Duration
	// ClockRate is the slowest rate at which a worker's clock may run.
	ClockRate float64
	// RegistrationGrace is how long a worker still gets leases once its registration is gone.
	RegistrationGrace time.Duration
	// StopTime is the longest time that a worker takes to stop a run.
	StopTime time.Duration
	// StopRetry is the time after which an unanswered stop is sent again.
	StopRetry time.Duration
	// MaxSuspicion is the longest time for which a worker whose runs fail gets no starts.
	MaxSuspicion time.Duration
	// StatusRetention is how long the state of a finished job is kept.
	StatusRetention time.Duration
	// LargeTask is the share of a worker, in the resource of which a task needs most, from which on a waiting task gets a reservation; without it
	// there are none.
	LargeTask float64
	// SecondRuns scales the time that a run of a speculative step takes before a second one is started beside it: 1 is that of the slowest
	// twentieth of its kind, relative to their steps. Without it there are no second runs.
	SecondRuns float64
	// KeptBytes is the memory for the jobs that the pool keeps, in bytes; without it there is no limit.
	KeptBytes int64
}

// Never is a share or factor that nothing reaches.
const Never = math.MaxFloat64

// Default returns s with the defaults in unset fields.
func (s Settings) Default() Settings {
	s.Lease = cmp.Or(s.Lease, 3500*time.Millisecond)
	s.MaxLease = max(s.Lease, cmp.Or(s.MaxLease, 6*time.Second))
	// The platform states that an unanswered start may run up to 12 s later.
	s.MaxOrderDelay = cmp.Or(s.MaxOrderDelay, 12*time.Second)
	s.StartLease = cmp.Or(s.StartLease, 1500*time.Millisecond)
	s.Takeover = cmp.Or(s.Takeover, 2500*time.Millisecond)
	s.ReportTimeout = cmp.Or(s.ReportTimeout, 1500*time.Millisecond)
	// The platform states that a worker's clock may be 2% slow.
	s.ClockRate = cmp.Or(s.ClockRate, 0.975)
	s.RegistrationGrace = cmp.Or(s.RegistrationGrace, 2500*time.Millisecond)
	s.StopTime = cmp.Or(s.StopTime, time.Second)
	s.StopRetry = cmp.Or(s.StopRetry, 400*time.Millisecond)
	s.MaxSuspicion = cmp.Or(s.MaxSuspicion, 16*time.Second)
	s.StatusRetention = cmp.Or(s.StatusRetention, 120*time.Second)
	s.LargeTask = cmp.Or(s.LargeTask, Never)
	s.SecondRuns = cmp.Or(s.SecondRuns, Never)
	return s
}

// leaseMargin is added to the computed end of a lease to allow for the granularity of clocks.
const leaseMargin = 60 * time.Millisecond

// Action is an output of Plan.
type Action interface{ action() }

// Start orders a worker to run a task.
type Start struct {
	Worker     workload.Worker
	Task       workload.TaskID
	Run        int
	Spec       string
	Checkpoint string
	Ticket     string
	// LeaseEnd is the time on the worker's clock after which it refuses the start.
	LeaseEnd time.Duration
	// Waited is how long the task was ready before the start.
	Waited time.Duration
}

// Stop orders a worker to end a run.
type Stop struct {
	Worker workload.Worker
	Task   workload.TaskID
	Run    int
	Reason string
}

// Pace sets the share of its full speed at which a run works.
type Pace struct {
	Worker  workload.Worker
	Task    workload.TaskID
	Run     int
	Percent int
}

// AdviceRequest asks the advice service which of the workers may run a step.
type AdviceRequest struct {
	Job        string
	Occurrence int
	Step       int
	Workers    []string
}

func (Start) action()         {}
func (Stop) action()          {}
func (Pace) action()          {}
func (AdviceRequest) action() {}

// Pool schedules the tasks of one pool. It is not safe for concurrent use. Set the exported fields before Begin.
type Pool struct {
	Name     string
	Settings Settings
	// Epoch increases with each holder of the pool.
	Epoch uint64
	// AwaitWorkerList is set where SetLiveWorkers reports all live workers. Until that call any worker may have runs of a lost
	// holder.
	AwaitWorkerList bool
	// RecordWorkers is set where no list of machines shows workers without a registration. A worker then gets starts only once a record
	// in the store names it.
	RecordWorkers bool
	// AwaitConfirmation is set where DutyConfirmed reports when the duty was held. Until such a confirmation no run or worker is given up
	// because a time has passed.
	AwaitConfirmation bool
	// OnEvent receives each decision that concerns a job, and each change of the assumed state of a worker; it may be nil.
	OnEvent func(Event)
	// OnFirstStart receives how long each job has waited for its first run, unless a previous holder may have started it; it may be nil.
	OnFirstStart func(FirstStart)
	// OnMetered receives whether a workspace is owed a job that became known; it may be nil.
	OnMetered func(Metered)

	queues map[string]workload.Queue
	// workspaces holds the workspaces of the configuration by name; it is empty where there are none.
	workspaces map[string]*workspace
	// accounts holds what the jobs of each workspace occupy, limited those of them that have a limit.
	accounts map[string]*account
	limited  []*account
	// usage keeps the memory of WorkspaceUsage.
	usage map[string]quota.Usage
	// uncertainRoom is what runs may occupy as of the last plan that this holder does not know; orphaned holds the workers that listed such runs.
	uncertainRoom workload.Resources
	orphaned      map[string]orphans
	// meanWeight is the mean weight of the workspaces.
	meanWeight float64
	workers    map[string]*worker
	// confirmedAt is the latest time at which the duty is confirmed to have been held.
	confirmedAt time.Time
	// registrationsListed is true once the first list of registrations was applied.
	registrationsListed bool
	// ended holds the last incarnations of workers that have certainly ended while their registration may still exist.
	ended map[string]workload.Worker
	// endConfirmed holds the workers whose end was confirmed while runs of a previous holder might be present on them, with the time of the
	// first plan after that.
	endConfirmed map[string]time.Time
	// index holds the workers that take starts while a plan places tasks; nil at other times.
	index *workerIndex
	// The buffers keep the memory of the longest lists of a plan for the next one.
	indexBuffer     []indexed
	candidateBuffer []candidate
	sortedBuffer    []*candidate
	keyBuffer       []radixKey
	otherKeyBuffer  []radixKey
	priorityBuffer  []int
	pathBuffer      []stepPath
	// startsLeft is how many tasks the present plan may still start.
	startsLeft int
	// freeAtFirst is the largest free CPU of a worker before the present plan placed its first task.
	freeAtFirst int64
	// begunAt is when this holder took the pool over.
	begunAt time.Time
	// suspectCount is the number of suspected workers.
	suspectCount int
	// sortedByID caches the workers sorted by id; it is nil after a change.
	sortedByID []*worker
	jobs       map[string]*job
	kept       keptJobs
	active     []*job
	// unmetered holds the jobs of workspaces that became known since the last plan.
	unmetered []*job
	// outlook is what nodes are told of the pool, made at outlookAt.
	outlook *Outlook
	// incomingCPU is the capacity of the machines on their way to the pool.
	incomingCPU int64
	outlookAt   time.Time
	// refusals holds when jobs were first refused whose callers may return.
	refusals map[string]time.Time
	// absentJobs holds the jobs that are not in the store, and when that was read.
	absentJobs map[string]time.Time
	// means holds the learned run times, queueWork the learned work per job of each queue.
	means map[meanKey]*runningMean
	// runTimes holds the learned run times in seconds, whatever the tasks declare.
	runTimes  map[meanKey]*runningMean
	queueWork map[string]*runningMean
	// runRatios holds the learned spread of run times.
	runRatios map[meanKey]*runRatios
	// withinStep holds the learned spread of run times relative to the other tasks of their step; secondRunsAt is when such long runs were last
	// searched for.
	withinStep   map[meanKey]*runRatios
	secondRunsAt time.Time
	// reservations are those of large tasks that wait; toReserve is the task that gets the next one after the present plan.
	reservations []*reservation
	toReserve    *task
	// roomSoughtAt is when room for a reservation was last searched for.
	roomSoughtAt time.Time
	// searchFrom is the position of the first worker that the next search looks at.
	searchFrom int
	tickets    map[stepKey]*ticketSet
	// priorLeasesUntil is the time until which runs of a previous holder may be present on workers that have not reported;
	// handedOverLeases holds the workers on which those that the handover names may be present for longer.
	priorLeasesUntil time.Time
	handedOverLeases map[string]time.Time
	// priorOrdersUntil is the time until which a lost holder may give orders.
	priorOrdersUntil time.Time
	// reportedBefore holds the incarnations of the workers that had reported to the previous holder; nil if no lost holder may give
	// orders.
	reportedBefore map[string]int64
	// handedOver holds the tasks that the previous holder's handover names for each worker; nil without a handover.
	handedOver TasksByWorker
	// liveWorkers holds the live workers, registered or not, that have not reported yet; nil before the list of workers arrived.
	liveWorkers map[string]bool
	// liveWorkersSeenAt is the time of the first plan after that list arrived.
	liveWorkersSeenAt time.Time
	// endedRuns holds the runs that have ended with their worker and wait for a confirmation of the duty.
	endedRuns []endedRun
	// departed holds the workers that were removed because their registration is gone and their lease has ended, with the time until
	// which the record for a successor names them.
	departed map[string]time.Time
	// inheritedUnresponsive are the unresponsive workers that the previous holder recorded, recordedUnresponsive those that the record in
	// the store names now.
	inheritedUnresponsive TasksByWorker
	recordedUnresponsive  TasksByWorker
	// inheritedKnown are the workers that the previous holder recorded as known. recordedKnown are those that the record in the store
	// certainly names: with an unanswered write, the ones in both the old and the new record.
	inheritedKnown map[string]bool
	recordedKnown  map[string]bool
	// knownObsolete is true while a record in the store may name workers that are gone.
	knownObsolete bool
	actions       []Action
	// stops holds the runs that are to be stopped, so that a plan does not look for them among all runs; some may have ended since.
	stops []*run
	// dirty holds the jobs whose record in the store is out of date.
	dirty map[string]*job
	// backlog counts the tasks with a state as of the last plan, and those that got one since.
	backlog backlog
	// backlogFull is true if an occurrence got no state since the last plan, because the backlog was full.
	backlogFull bool
	// trial notes the placement of a job in a copy of the pool; nil in the pool itself.
	trial *trial
}

// Event is a decision to be logged.
type Event struct {
	Kind   string
	Job    string
	Task   workload.TaskID
	Run    int
	Worker string
	Reason string
	Age    time.Duration
}

// Begin initialises the pool at a takeover of its duty.
func (p *Pool) Begin(now time.Time) {
	p.Settings = p.Settings.Default()
	p.begunAt = now
	p.queues = map[string]workload.Queue{}
	p.workers = map[string]*worker{}
	p.accounts = map[string]*account{}
	p.refusals = map[string]time.Time{}
	p.ended = map[string]workload.Worker{}
	p.endConfirmed = map[string]time.Time{}
	p.departed = map[string]time.Time{}
	p.jobs = map[string]*job{}
	p.kept = keptJobs{largest: AnyJob}
	p.absentJobs = map[string]time.Time{}
	p.runTimes = map[meanKey]*runningMean{}
	p.means, p.queueWork = map[meanKey]*runningMean{}, map[string]*runningMean{}
	p.runRatios, p.withinStep = map[meanKey]*runRatios{}, map[meanKey]*runRatios{}
	p.tickets = map[stepKey]*ticketSet{}
	p.dirty = map[string]*job{}
	p.orphaned, p.uncertainRoom = map[string]orphans{}, anything
	p.backlog = backlog{}
	p.priorOrdersUntil = now.Add(p.Settings.Takeover)
	// The lost holder may have started a task on an incarnation of a worker of which neither holder knows.
	p.priorLeasesUntil = p.priorOrdersUntil.Add(p.longestElapsed(p.Settings.MaxLease))
}

// longestElapsed returns the longest time in which a worker's clock may advance by d.
func (p *Pool) longestElapsed(d time.Duration) time.Duration {
	return time.Duration(float64(d)/p.Settings.ClockRate) + leaseMargin
}

// DutyConfirmed reports that this holder still held the duty at a time.
func (p *Pool) DutyConfirmed(at time.Time) {
	if at.After(p.confirmedAt) {
		p.confirmedAt = at
	}
}

func (p *Pool) emit(e Event) {
	if p.OnEvent != nil {
		p.OnEvent(e)
	}
}

// SetQueues replaces the queues of the pool.
func (p *Pool) SetQueues(queues []workload.Queue) {
	p.queues = make(map[string]workload.Queue, len(queues))
	for _, q := range queues {
		p.queues[q.Name] = q
	}
	for _, j := range p.active {
		if q, ok := p.queues[j.Queue]; ok {
			j.queue = q
		}
	}
}

// JobState returns the state of a job, or false for an unknown one. The end of a job is shown once it is recorded, since a successor would
// find it unfinished in the store before.
func (p *Pool) JobState(id string) (workload.State, bool) {
	j := p.jobs[id]
	if j == nil {
		return "", false
	}
	if j.state.Terminal() && j.recordedVersion >= j.version {
		return j.state, true
	}
	if j.started {
		return workload.Running, true
	}
	return workload.Queued, true
}

// QueueKey returns the key of the queue of a job; it is empty for an unknown job, and for one that an older version stored.
func (p *Pool) QueueKey(id string) string {
	if j := p.jobs[id]; j != nil {
		return j.Terms.Key
	}
	return ""
}

// Pending returns the number of accepted jobs of a queue no task of which has begun, as far as workers have confirmed it.
func (p *Pool) Pending(queue workload.Queue) int {
	n := 0
	for _, j := range p.active {
		if j.Terms.Same(&queue) && !j.started {
			n++
		}
	}
	return n
}
