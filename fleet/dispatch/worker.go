package dispatch

import (
	"slices"
	"strings"
	"time"

	"verbenalanding.example/fleet/workload"
)

// proof tells whether this holder has proven since a life of a worker began that it still holds the duty.
type proof int

const (
	proven proof = iota
	proofNeeded
	// proofAsked means that a record was asked for after the life began, and is not known to be written.
	proofAsked
)

type worker struct {
	workload.Worker
	// added is since when this holder knows of the present life.
	added time.Time
	// missing is since when the registration is gone; zero while it is there.
	missing  time.Time
	cordoned bool
	synced   bool
	untaken
	// clock is the worker's clock in the last report, heard the local time at which that report arrived.
	clock time.Duration
	heard time.Time
	// leaseEnd is the latest local time at which the worker still runs what it was given.
	leaseEnd time.Time
	// longLease is until when a worker that started again may keep what it took by an order for the life before.
	longLease time.Time
	runs      map[runKey]*run
	used      workload.Resources
	processed int64
	recorded  int64
	// failures is the weight of the runs that failed lately.
	failures     float64
	failedJob    string
	suspectUntil time.Time
	fullUntil    time.Time
	closedUntil  time.Time
	// doubted is when a start was found unanswered; until the next report the worker may be gone.
	doubted time.Time
	// due workers are on machines whose upkeep is still to be done.
	due bool
	// proof is what is left to do before a new life gets starts: it has seen no fence and takes orders of a lost holder too, while a
	// record that is written after its begin shows that this holder is not lost.
	proof proof
	// reborn workers started again while a holder before may give orders, and were not heard since.
	reborn bool
	// lapsed workers were not heard until their lease had surely ended.
	lapsed bool
	// sealed workers are or may be recorded as silent.
	sealed bool
	// slowness is the learned factor of run times against the pool's.
	slowness float64
}

func (w *worker) free() workload.Resources { return w.Capacity.Minus(w.used) }

// clockAt estimates the worker's clock, never ahead of it by more than its rate allows.
func (w *worker) clockAt(now time.Time) time.Duration {
	return w.clock + now.Sub(w.heard)
}

// RegistrationsListed tells that the workers which were registered at a time when this holder surely held the duty are set. A successor lists these lives or
// earlier ones and waits for them; lives that come later get no starts before a proof.
func (p *Pool) RegistrationsListed() { p.listed = true }

// SetWorker adds a worker or takes over a change of its registration.
func (p *Pool) SetWorker(info workload.Worker, now time.Time) {
	e, ended := p.ended[info.ID]
	if ended {
		if info.Incarnation <= e.Incarnation && info.Addr == e.Addr {
			// A registration outlives its worker by some heartbeats, and may change until then.
			return
		}
		delete(p.ended, info.ID)
	}
	w := p.workers[info.ID]
	if w == nil {
		delete(p.quiet, info.ID)
		delete(p.gone, info.ID)
		// A successor would take a sealed worker to run only what its record names.
		_, sealed := p.recordedSeals[info.ID]
		w = &worker{Worker: info, added: now, runs: map[runKey]*run{}, slowness: 1, sealed: sealed}
		if ended || p.listed {
			w.sealed, w.proof = true, proofNeeded
		}
		p.addWorker(w)
		p.note(Event{Kind: "worker added", Worker: info.ID})
		return
	}
	if info.Incarnation > w.Incarnation && w.Incarnation != 0 {
		p.rebirth(w, info.Incarnation, now)
	}
	if info.Draining && !w.Draining {
		p.note(Event{Kind: "worker drains", Worker: info.ID})
	}
	w.Worker, w.missing = info, time.Time{}
}

// WorkerDeregistered takes note that a worker's registration is gone; its runs end with its lease.
func (p *Pool) WorkerDeregistered(id string, now time.Time) {
	delete(p.ended, id)
	w := p.workers[id]
	if w == nil || !w.missing.IsZero() {
		return
	}
	w.missing = now
	gone := Event{Kind: "worker registration gone", Worker: id}
	if !w.heard.IsZero() {
		gone.Age = now.Sub(w.heard)
	}
	p.note(gone)
}

// Terminated takes note of a proof that a worker has ended with all its runs, whatever its life.
func (p *Pool) Terminated(id, reason string) {
	w := p.workers[id]
	if w == nil {
		return
	}
	for _, r := range w.sorted() {
		p.lose(r, reason)
	}
	p.removeWorker(id)
	p.ended[id], p.gone[id] = w.Worker, true
	delete(p.living, id)
	p.note(Event{Kind: "worker ended", Worker: id, Reason: reason})
}

// IncarnationEnded takes note of a proof that one life of a worker has ended; a later life under the same id goes on.
func (p *Pool) IncarnationEnded(life workload.Worker, reason string) {
	if w := p.workers[life.ID]; w != nil && w.Incarnation == life.Incarnation && w.Addr == life.Addr {
		p.Terminated(life.ID, reason)
	}
}

// WorkerIncarnation is a worker and since when this holder knows of its present life.
type WorkerIncarnation struct {
	workload.Worker
	Since time.Time
}

// CurrentIncarnation returns the present life of a worker; known is false for one that is not in the pool.
func (p *Pool) CurrentIncarnation(id string) (life WorkerIncarnation, known bool) {
	w := p.workers[id]
	if w == nil {
		return WorkerIncarnation{}, false
	}
	return WorkerIncarnation{w.Worker, w.added}, true
}

// AwaitingReport returns the workers that may run what a holder before started and have not reported to this one.
func (p *Pool) AwaitingReport(now time.Time) []WorkerIncarnation {
	if p.leasesOver(now) {
		return nil
	}
	var list []WorkerIncarnation
	for _, w := range p.ordered() {
		if p.unheard(w.ID) {
			list = append(list, WorkerIncarnation{w.Worker, w.added})
		}
	}
	return list
}

// ReportOverdue returns the workers with runs that have not reported for a time.
func (p *Pool) ReportOverdue(now time.Time, since time.Duration) []WorkerIncarnation {
	var list []WorkerIncarnation
	for _, w := range p.ordered() {
		if len(w.runs) > 0 && !w.heard.IsZero() && now.Sub(w.heard) >= since {
			list = append(list, WorkerIncarnation{w.Worker, w.added})
		}
	}
	return list
}

// has reports whether a run of the worker has a property.
func (w *worker) has(property func(*run) bool) bool {
	for _, x := range w.runs {
		if property(x) {
			return true
		}
	}
	return false
}

// open reports whether the worker lists ends that are not recorded or not taken over.
func (w *worker) open() bool { return w.withheld || w.processed > w.recorded }

// idle reports whether the worker could be ended without a loss.
func (w *worker) idle() bool { return len(w.runs) == 0 && len(w.early) == 0 && !w.open() }

// mayRun returns the tasks that may be present on the worker, in a fixed order.
func (w *worker) mayRun() []workload.TaskID {
	var tasks []workload.TaskID
	for _, x := range w.sorted() {
		tasks = append(tasks, x.task.id)
	}
	return append(tasks, w.earlyTasks()...)
}

// sorted returns the worker's runs in a fixed order, so that equal inputs give equal decisions.
func (w *worker) sorted() []*run {
	list := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		list = append(list, r)
	}
	slices.SortFunc(list, compareRuns)
	return list
}

// rebirth takes note that a worker started again under its id; it knows nothing of before.
func (p *Pool) rebirth(w *worker, born int64, now time.Time) {
	p.note(Event{Kind: "worker restarted", Worker: w.ID})
	for _, r := range w.sorted() {
		if r.progressAt.IsZero() {
			// No list of the earlier life had it, so that the new one may have taken its start. Its clock began anew: the lease end of a
			// start that is still on its way does not stop it.
			r.uncertain, r.phase, r.startClock, r.stopClock = true, unanswered, 0, 0
			continue
		}
		p.lose(r, "worker restarted")
	}
	w.Incarnation, w.added, w.processed, w.recorded, w.clock, w.synced = born, now, 0, 0, 0, false
	w.sealed, w.proof = true, proofNeeded
	w.forgetLists()
	// What was sent to the life before names a time of a clock that was further ahead.
	w.longLease = now.Add(p.stretch(p.Settings.MaxLease))
	if w.longLease.After(w.leaseEnd) {
		w.leaseEnd = w.longLease
	}
	if now.Before(p.unsureUntil) {
		// A holder before may have started tasks on it.
		w.reborn = true
	}
}

// WorkerIDs returns the ids of the workers of the pool, in order.
func (p *Pool) WorkerIDs() []string {
	ids := make([]string, 0, len(p.workers))
	for _, w := range p.ordered() {
		ids = append(ids, w.ID)
	}
	return ids
}

// Workers returns the number of workers of the pool.
func (p *Pool) Workers() int { return len(p.workers) }

// ordered returns the workers by id; the list is made anew when a worker was added or removed.
func (p *Pool) ordered() []*worker {
	if p.order == nil {
		p.order = make([]*worker, 0, len(p.workers))
		for _, w := range p.workers {
			p.order = append(p.order, w)
		}
		slices.SortFunc(p.order, func(a, b *worker) int { return strings.Compare(a.ID, b.ID) })
	}
	return p.order
}

func (p *Pool) addWorker(w *worker) {
	p.workers[w.ID] = w
	p.order = nil
}

func (p *Pool) removeWorker(id string) {
	delete(p.workers, id)
	p.order = nil
}

// NeedsRecord reports whether a worker waits for a record that proves that this holder is not lost, or that names the worker.
func (p *Pool) NeedsRecord() bool {
	return slices.ContainsFunc(p.ordered(), func(w *worker) bool { return w.proof == proofNeeded || (p.RecordWorkers && !p.named[w.ID]) })
}

func (p *Pool) usable(w *worker, now time.Time) bool {
	return w.synced && (!p.RecordWorkers || p.named[w.ID]) && !w.strays && !w.Draining && !w.cordoned && !w.sealed && w.missing.IsZero() && now.Sub(w.heard) <= p.Settings.ReportTimeout &&
		!now.Before(w.fullUntil) && !now.Before(w.closedUntil) && (w.doubted.IsZero() || w.heard.After(w.doubted)) &&
		!p.shunned(w, now)
}
