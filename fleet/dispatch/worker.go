package dispatch

import (
	"slices"
	"strings"
	"time"

	"verbenalanding.example/fleet/workload"
)

// confirmation states whether a write since the beginning of a worker's incarnation has confirmed that this holder still holds the duty.
type confirmation int

const (
	confirmed confirmation = iota
	confirmationNeeded
	// confirmationPending means that a record was requested after the incarnation began and is not known to be written.
	confirmationPending
)

type worker struct {
	workload.Worker
	// knownSince is when this holder learned of the current incarnation.
	knownSince time.Time
	// missingSince is when the registration disappeared; zero while it exists.
	missingSince time.Time
	cordoned     bool
	// synced is true once the current incarnation has reported to this holder, until its lease ends without a further report.
	synced bool
	unprocessed
	// clock is the worker's clock in the last report, reportedAt the local time at which that report arrived.
	clock      time.Duration
	reportedAt time.Time
	// leaseEnd is the latest local time at which the lease of the incarnations that this holder knows may still last.
	leaseEnd time.Time
	// leaseSentAt is when the last order with a lease end was sent.
	leaseSentAt time.Time
	// earlierLeaseEnd is the latest time at which a restarted worker may have a run whose start was sent to its previous incarnation.
	earlierLeaseEnd time.Time
	runs            map[runKey]*run
	used            workload.Resources
	// longRunningCPU is the part of the used CPU that long-running tasks reserve.
	longRunningCPU int64
	// position is the place of the worker in the list that is sorted by id, during a plan.
	position int
	// processed is the number of the last processed end, recorded that of the last one whose record is in the store.
	processed int64
	recorded  int64
	// failures is the weight of the recently failed runs.
	failures     float64
	failedJob    string
	suspectUntil time.Time
	fullUntil    time.Time
	blockedUntil time.Time
	// unansweredAt is when a start was last found unanswered; the worker may have ended, so it gets no starts until its next report.
	unansweredAt time.Time
	// upkeepDue workers are on machines that are due for upkeep.
	upkeepDue bool
	// A new incarnation gets no starts before a confirmation. It has received no fencing token yet and so accepts orders of a lost holder
	// too, while a record written after it began shows that this holder has not lost the duty.
	confirmation confirmation
	// restarted workers have restarted while runs of a previous holder might be present, and have not reported since.
	restarted bool
	// endedEarlier workers have restarted while runs of a previous holder might be present; endedEarlierSeenAt is the time of the first plan
	// after that. A newer holder may have received the ends of these runs.
	endedEarlier       bool
	endedEarlierSeenAt time.Time
	// lapsed workers have not reported since their lease certainly ended.
	lapsed bool
	// excluded workers get no starts: the record in the store names them as unresponsive, or may do so, or no write has confirmed the duty
	// since their incarnation began.
	excluded bool
	// slowness is the learned ratio of the worker's run times to the pool's.
	slowness float64
}

func (w *worker) free() workload.Resources { return w.Capacity.Minus(w.used) }

// clockAt estimates the worker's clock. The estimate exceeds the clock by no more than the slowest clock rate allows.
func (w *worker) clockAt(now time.Time) time.Duration {
	return w.clock + now.Sub(w.reportedAt)
}

// RegistrationsListed reports that SetWorker was called for all workers that were registered at a time when this holder certainly held the
// duty. A successor lists these incarnations or earlier ones and waits for them; later ones get no starts before a confirmation.
func (p *Pool) RegistrationsListed() { p.registrationsListed = true }

// SetWorker adds a worker or applies a change of its registration.
func (p *Pool) SetWorker(info workload.Worker, now time.Time) {
	e, ended := p.ended[info.ID]
	if ended {
		if info.Incarnation <= e.Incarnation && info.Addr == e.Addr {
			// A registration outlives its worker by some heartbeats, and may change during that time.
			return
		}
		delete(p.ended, info.ID)
	}
	w := p.workers[info.ID]
	if w == nil {
		delete(p.departed, info.ID)
		delete(p.endConfirmed, info.ID)
		// A successor assumes that a recorded worker runs only what its record names.
		_, recorded := p.recordedUnresponsive[info.ID]
		w = &worker{Worker: info, knownSince: now, runs: map[runKey]*run{}, slowness: 1, excluded: recorded}
		if ended || p.registrationsListed {
			w.excluded, w.confirmation = true, confirmationNeeded
		}
		p.addWorker(w)
		p.emit(Event{Kind: "worker added", Worker: info.ID})
		return
	}
	if !p.noticeIncarnation(w, info.Incarnation, now) {
		// An answer showed the restart before the new incarnation has registered.
		return
	}
	if info.Draining && !w.Draining {
		p.emit(Event{Kind: "worker drains", Worker: info.ID})
	}
	info.Incarnation = w.Incarnation
	w.Worker, w.missingSince = info, time.Time{}
}

// WorkerDeregistered reports that a worker's registration is gone; its runs end with its lease.
func (p *Pool) WorkerDeregistered(id string, now time.Time) {
	delete(p.ended, id)
	w := p.workers[id]
	if w == nil || !w.missingSince.IsZero() {
		return
	}
	w.missingSince = now
	gone := Event{Kind: "worker deregistered", Worker: id}
	if !w.reportedAt.IsZero() {
		gone.Age = now.Sub(w.reportedAt)
	}
	p.emit(gone)
}

// WorkerEnded reports that a worker has ended with all its runs, whatever its incarnation.
func (p *Pool) WorkerEnded(id, reason string) {
	w := p.workers[id]
	if w == nil {
		return
	}
	for _, r := range w.sortedRuns() {
		p.loseWithWorker(r, reason)
	}
	p.removeWorker(id)
	p.ended[id], p.endConfirmed[id] = w.Worker, time.Time{}
	delete(p.liveWorkers, id)
	p.emit(Event{Kind: "worker ended", Worker: id, Reason: reason})
}

// IncarnationEnded reports that one incarnation of a worker has ended; a later one under the same id continues.
func (p *Pool) IncarnationEnded(incarnation workload.Worker, reason string) {
	if w := p.workers[incarnation.ID]; w != nil && w.Incarnation == incarnation.Incarnation && w.Addr == incarnation.Addr {
		p.WorkerEnded(incarnation.ID, reason)
	}
}

// WorkerIncarnation is the current incarnation of a worker, with the time at which this holder learned of it.
type WorkerIncarnation struct {
	workload.Worker
	Since time.Time
}

// CurrentIncarnation returns the current incarnation of a worker; known is false for one that is not in the pool.
func (p *Pool) CurrentIncarnation(id string) (current WorkerIncarnation, known bool) {
	w := p.workers[id]
	if w == nil {
		return WorkerIncarnation{}, false
	}
	return WorkerIncarnation{w.Worker, w.knownSince}, true
}

// AwaitingReport returns the workers that may have runs of a previous holder and have not reported to this one.
func (p *Pool) AwaitingReport(now time.Time) []WorkerIncarnation {
	var list []WorkerIncarnation
	for _, w := range p.sortedWorkers() {
		if !p.priorLeaseEnded(w.ID, now) && p.awaitsReport(w.ID) {
			list = append(list, WorkerIncarnation{w.Worker, w.knownSince})
		}
	}
	return list
}

// ReportOverdue returns the workers with runs whose last report is at least minAge old.
func (p *Pool) ReportOverdue(now time.Time, minAge time.Duration) []WorkerIncarnation {
	var list []WorkerIncarnation
	for _, w := range p.sortedWorkers() {
		if len(w.runs) > 0 && !w.reportedAt.IsZero() && now.Sub(w.reportedAt) >= minAge {
			list = append(list, WorkerIncarnation{w.Worker, w.knownSince})
		}
	}
	return list
}

// hasUnrecordedEnds reports whether the worker lists ends that are not recorded or not processed.
func (w *worker) hasUnrecordedEnds() bool { return w.withheld || w.processed > w.recorded }

// idle reports whether the worker could be removed without a loss.
func (w *worker) idle() bool {
	return len(w.runs) == 0 && len(w.unknownTasks) == 0 && !w.hasUnrecordedEnds()
}

// possibleTasks returns the tasks that may be present on the worker, in a fixed order.
func (w *worker) possibleTasks() []workload.TaskID {
	var tasks []workload.TaskID
	for _, x := range w.sortedRuns() {
		tasks = append(tasks, x.task.id)
	}
	return append(tasks, w.sortedUnknown()...)
}

// sortedRuns returns the worker's runs in a fixed order, so that equal inputs give equal decisions.
func (w *worker) sortedRuns() []*run {
	list := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		list = append(list, r)
	}
	slices.SortFunc(list, compareRuns)
	return list
}

// noticeIncarnation compares the incarnation that an answer names with the worker's current one: a later one shows that the worker has
// restarted. It returns false for an answer of an earlier one.
func (p *Pool) noticeIncarnation(w *worker, incarnation int64, now time.Time) bool {
	if incarnation > w.Incarnation {
		if w.Incarnation != 0 || len(w.runs) > 0 {
			p.workerRestarted(w, incarnation, now)
		}
		w.Incarnation = incarnation
	}
	return incarnation == 0 || incarnation == w.Incarnation
}

// workerRestarted handles the restart of a worker under its id; the new incarnation has no state of the previous one.
func (p *Pool) workerRestarted(w *worker, incarnation int64, now time.Time) {
	p.emit(Event{Kind: "worker restarted", Worker: w.ID})
	for _, r := range w.sortedRuns() {
		if r.progressAt.IsZero() {
			// No report of the earlier incarnation listed the run, so the new one may have accepted its start, or may still accept it:
			// its clock starts at zero, far before the lease end of the start.
			r.uncertain, r.attributed, r.phase, r.startClock, r.stopClock, r.presentAt = true, false, unanswered, 0, 0, time.Time{}
			continue
		}
		p.loseWithWorker(r, "worker restarted")
	}
	w.Incarnation, w.knownSince, w.processed, w.recorded, w.clock, w.synced = incarnation, now, 0, 0, 0, false
	w.excluded, w.confirmation = true, confirmationNeeded
	w.Labels = rackLabels(w.Rack)
	w.resetUnknown()
	if now.Before(p.priorLeasesUntil) {
		w.endedEarlier, w.endedEarlierSeenAt = true, time.Time{}
	}
	// The lease ends in orders to the previous incarnation refer to a clock that was further ahead.
	w.earlierLeaseEnd = now.Add(p.longestElapsed(p.Settings.MaxLease))
	if w.earlierLeaseEnd.After(w.leaseEnd) {
		w.leaseEnd = w.earlierLeaseEnd
	}
	if now.Before(p.priorLeasesUntil) {
		// A previous holder may have started tasks on the new incarnation.
		w.restarted = true
		p.uncertainRoom = p.uncertainRoom.Plus(w.Capacity)
	}
}

// rackLabels returns the labels that a worker is known to have before its incarnation has registered: its rack stays with the machine, its kind may
// differ.
func rackLabels(rack string) []string {
	if rack == "" {
		return nil
	}
	return []string{rack}
}

// WorkerIDs returns the sorted ids of the pool's workers.
func (p *Pool) WorkerIDs() []string {
	ids := make([]string, 0, len(p.workers))
	for _, w := range p.sortedWorkers() {
		ids = append(ids, w.ID)
	}
	return ids
}

// Workers returns the number of workers of the pool.
func (p *Pool) Workers() int { return len(p.workers) }

// sortedWorkers returns the workers sorted by id; the list is rebuilt after a worker was added or removed.
func (p *Pool) sortedWorkers() []*worker {
	if p.sortedByID == nil {
		p.sortedByID = make([]*worker, 0, len(p.workers))
		for _, w := range p.workers {
			p.sortedByID = append(p.sortedByID, w)
		}
		slices.SortFunc(p.sortedByID, func(a, b *worker) int { return strings.Compare(a.ID, b.ID) })
	}
	return p.sortedByID
}

func (p *Pool) addWorker(w *worker) {
	p.workers[w.ID] = w
	p.sortedByID = nil
}

func (p *Pool) removeWorker(id string) {
	delete(p.workers, id)
	delete(p.orphaned, id)
	p.sortedByID = nil
}

// NeedsRecord reports whether a worker gets no starts until a record is written that confirms the duty, or that names the worker.
func (p *Pool) NeedsRecord() bool {
	return slices.ContainsFunc(p.sortedWorkers(), func(w *worker) bool {
		return w.confirmation == confirmationNeeded || (p.RecordWorkers && !p.recordedKnown[w.ID])
	})
}

func (p *Pool) usable(w *worker, now time.Time) bool {
	return w.synced && (!p.RecordWorkers || p.recordedKnown[w.ID]) && !w.orphans && !w.Draining && !w.cordoned && !w.excluded && w.missingSince.IsZero() && now.Sub(w.reportedAt) <= p.Settings.ReportTimeout &&
		!now.Before(w.fullUntil) && !now.Before(w.blockedUntil) && (w.unansweredAt.IsZero() || w.reportedAt.After(w.unansweredAt)) &&
		!p.suspended(w, now)
}
