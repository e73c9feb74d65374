package dispatch

import (
	"cmp"
	"time"

	"verbenalanding.example/fleet/workload"
)

// Settings are the figures of the policy; zero values mean the defaults.
type Settings struct {
	// Lease is how long a worker goes on without a hold.
	Lease time.Duration
	// MaxLease is the longest lease that workers grant: a lease end that was meant for an earlier life is cut to it.
	MaxLease time.Duration
	// StartLease is how long a start may be on its way; a worker refuses it later.
	StartLease time.Duration
	// Takeover is how long a lost holder may have gone on giving orders after its successor began.
	Takeover time.Duration
	// ReportTimeout is the time without a report after which a worker gets no starts and no longer leases.
	ReportTimeout time.Duration
	// ClockRate is the slowest that a worker's clock may run.
	ClockRate float64
	// RegistrationGrace is how long a worker whose registration is gone is still held.
	RegistrationGrace time.Duration
	// StopTime is the longest time that a worker takes to stop a run.
	StopTime time.Duration
	// StopRetry is the time after which an unanswered stop is sent again.
	StopRetry time.Duration
	// MaxSuspicion is the longest time for which a worker whose runs fail gets no starts.
	MaxSuspicion time.Duration
	// StatusRetention is how long the state of a finished job is kept.
	StatusRetention time.Duration
}

// Default returns s with unset fields filled.
func (s Settings) Default() Settings {
	s.Lease = cmp.Or(s.Lease, 3500*time.Millisecond)
	s.MaxLease = max(s.Lease, cmp.Or(s.MaxLease, 6*time.Second))
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
	return s
}

// leaseMargin is added to the computed end of a lease for the granularity of clocks.
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
	// LeaseEnd is the time of the worker's clock after which it refuses the start.
	LeaseEnd time.Duration
	// Waited is how long the task was ready before the start.
	Waited time.Duration
}

// Stop orders the end of a run.
type Stop struct {
	Worker workload.Worker
	Task   workload.TaskID
	Run    int
	Reason string
}

// Pace sets the share of its speed at which a task works.
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

// Pool decides for one pool; it is not safe for concurrent use. Set the exported fields before Begin.
type Pool struct {
	Name     string
	Settings Settings
	// Epoch rises with each holder of the pool.
	Epoch uint64
	// AwaitWorkerList is set where Expect tells all workers that live; until then any of them may run what a lost holder started.
	AwaitWorkerList bool
	// RecordWorkers is set where no list of machines tells of workers without registration: a worker gets starts once a record in the store
	// names it.
	RecordWorkers bool
	// AwaitConfirmation is set where Proven tells when the duty was held; until then nothing that rests on time is given up.
	AwaitConfirmation bool
	// OnEvent is told each decision that touches a job or changes what is believed; unset drops them.
	OnEvent func(Event)

	queues  map[string]workload.Queue
	workers map[string]*worker
	// provenAt is the latest time at which the duty was surely held.
	provenAt time.Time
	// listed is true once the first list of registrations was taken over.
	listed bool
	// ended holds the workers whose life has surely ended while their registrations may still be there.
	ended map[string]workload.Worker
	// gone are the workers whose end was proven while a holder before may have had runs on them.
	gone map[string]bool
	// roomiest is the largest free CPU of a worker that takes starts; -1 when there is none.
	roomiest int64
	// suspects is how many workers are suspected.
	suspects int
	// order holds the workers by id; nil after a change.
	order  []*worker
	jobs   map[string]*job
	active []*job
	// absent holds the jobs that are known not to exist, and since when.
	absent  map[string]time.Time
	learned map[string]*figures
	tickets map[stepKey]*ticketSet
	// unsureUntil is the end of the time in which a lost holder's runs may be present on workers that were not heard.
	unsureUntil time.Time
	// lostUntil is until when a lost holder may give orders.
	lostUntil time.Time
	// heardBefore holds the births of the workers that the holder before had heard; nil when no lost holder may give orders.
	heardBefore map[string]int64
	// mayRun holds the workers on which the holder before had runs; nil when it has not told.
	mayRun Unresponsive
	// living are workers that were not heard yet, registered or not; nil before they were told.
	living map[string]bool
	// quiet are workers that were forgotten because their registration is gone and their lease has ended, and until when a
	// successor is told so.
	quiet map[string]time.Time
	// inherited are the silent workers of which the holder before told, recordedSeals those that the store's record names.
	inherited     Unresponsive
	recordedSeals Unresponsive
	// inheritedKnown are the workers that the holder before knew, named those that each record names which may be in the store.
	inheritedKnown map[string]bool
	named          map[string]bool
	// obsolete is true while a record in the store may name workers that are gone.
	obsolete bool
	actions  []Action
	dirty    map[string]*job
}

// Event tells a decision for the log.
type Event struct {
	Kind   string
	Job    string
	Task   workload.TaskID
	Run    int
	Worker string
	Reason string
	Age    time.Duration
}

// Begin starts the pool's decisions at a take-over.
func (p *Pool) Begin(now time.Time) {
	p.Settings = p.Settings.Default()
	p.queues = map[string]workload.Queue{}
	p.workers = map[string]*worker{}
	p.ended = map[string]workload.Worker{}
	p.gone = map[string]bool{}
	p.quiet = map[string]time.Time{}
	p.jobs = map[string]*job{}
	p.absent = map[string]time.Time{}
	p.learned = map[string]*figures{}
	p.tickets = map[stepKey]*ticketSet{}
	p.dirty = map[string]*job{}
	p.lostUntil = now.Add(p.Settings.Takeover)
	p.unsureUntil = p.lostUntil.Add(p.stretch(p.Settings.Lease))
}

// stretch returns the longest time in which a worker's clock advances by d.
func (p *Pool) stretch(d time.Duration) time.Duration {
	return time.Duration(float64(d)/p.Settings.ClockRate) + leaseMargin
}

// DutyConfirmed tells that the duty was held at a time, or later.
func (p *Pool) DutyConfirmed(at time.Time) {
	if at.After(p.provenAt) {
		p.provenAt = at
	}
}

func (p *Pool) note(e Event) {
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

// JobState returns what is known of a job; its end is told once it is recorded, since a lost holder would leave it open.
func (p *Pool) JobState(id string) (workload.State, bool) {
	j := p.jobs[id]
	if j == nil {
		return "", false
	}
	if j.state.Terminal() && j.recordedVersion < j.version {
		return workload.Running, true
	}
	if j.state == workload.Queued && j.started {
		return workload.Running, true
	}
	return j.state, true
}

// Pending returns the number of accepted jobs of a queue of which no task has started.
func (p *Pool) Pending(queue string) int {
	n := 0
	for _, j := range p.active {
		if j.Queue == queue && !j.started {
			n++
		}
	}
	return n
}
