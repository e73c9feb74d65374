package dispatch

import (
	"slices"
	"time"

	"verbenalanding.example/fleet/workload"
)

// Report applies a worker's report, which arrived at receivedAt.
func (p *Pool) Report(id string, r workload.Report, receivedAt time.Time) {
	w := p.workers[id]
	if w == nil || !p.noticeIncarnation(w, r.Incarnation, receivedAt) {
		return
	}
	if w.synced && r.Clock < w.clock {
		return
	}
	w.clock, w.reportedAt, w.lapsed, w.restarted = r.Clock, receivedAt, false, false
	delete(p.liveWorkers, id)
	w.resetUnknown()
	r, w.withheld = p.truncateEnds(w, r)
	w.partial = r.Partial && (w.partial || !w.synced)
	if !w.synced {
		w.synced = true
		p.countPriorLease(w, receivedAt)
		p.emit(Event{Kind: "worker reported", Worker: id})
	}
	for _, e := range r.Ended {
		if e.Number > w.processed {
			w.processed = e.Number
			p.runEnded(w, e, receivedAt)
		}
	}
	listed := make(map[runKey]bool, len(r.Active))
	for _, a := range r.Active {
		listed[runKey{a.Task, a.Run}] = true
		p.observe(w, a, receivedAt)
	}
	w.orphans = slices.ContainsFunc(r.Active, func(a workload.ActiveRun) bool { return w.runs[runKey{a.Task, a.Run}] == nil })
	p.noteOrphans(w, r)
	if !r.Partial {
		p.endUnlisted(w, r, listed)
	}
	p.stopStalled(w, receivedAt)
	p.adjustPace(w, receivedAt)
}

// truncateEnds drops a report's ends from the first one on whose job is not known yet. To process that end or a later one would
// acknowledge it, and its task would be started again once its job becomes known.
func (p *Pool) truncateEnds(w *worker, r workload.Report) (truncated workload.Report, withheld bool) {
	first := len(r.Ended)
	for i, e := range r.Ended {
		if e.Number > w.processed && p.mayExist(e.Task.Job) {
			first = min(first, i)
			w.addUnknown(e.Task)
		}
	}
	if first == len(r.Ended) {
		return r, false
	}
	r.Ended, r.Partial = r.Ended[:first], true
	return r, true
}

const (
	// stallTimeout is the shortest time without progress after which a task counts as stalled; a worker reports at least once a second.
	stallTimeout = 1500 * time.Millisecond
	// stallShare is the part of a task's expected duration that it may go without progress, since slow tasks advance seldom.
	stallShare = 0.5
)

// stopStalled stops the stalled finite tasks of a worker, so that they run elsewhere; the worker gets no starts for a while.
func (p *Pool) stopStalled(w *worker, now time.Time) {
	for _, x := range w.sortedRuns() {
		// A run that was in no report yet has shown no progress to compare with.
		if x.phase != present || x.progressAt.IsZero() || x.task.step.LongRunning || x.task.step.Gang || x.percent >= 100 {
			continue
		}
		if now.Sub(x.progressAt) < max(stallTimeout, time.Duration(stallShare*float64(p.expectedDuration(x.task)))) {
			continue
		}
		if now.After(w.suspectUntil) {
			p.emit(Event{Kind: "worker suspected", Worker: w.ID, Reason: "its tasks are stalled"})
		}
		w.suspectUntil = now.Add(2 * firstSuspicion)
		p.stop(x, "stalled")
	}
}

// endUnlisted gives up the runs that a worker does not list although it would if they were present.
func (p *Pool) endUnlisted(w *worker, r workload.Report, listed map[runKey]bool) {
	for _, x := range w.sortedRuns() {
		if listed[runKey{x.task.id, x.number}] {
			continue
		}
		if x.phase == stopping && x.startClock == 0 && x.stopClock != 0 && r.Clock > x.stopClock {
			p.lose(x, "stopped before it started")
			continue
		}
		if x.phase == unanswered && (x.uncertain || !x.task.step.Gang) {
			// The answer to a stop settles before the start's lease ends whether the run will be present.
			p.stop(x, "start not answered")
		}
		// An ordered run is kept until its start's lease has ended, after which the worker refuses the start; a present one was listed
		// before.
		if (x.phase == ordered || x.phase == unanswered || x.startClock == 0) && (x.uncertain || r.Clock <= x.startLeaseEnd) {
			continue
		}
		if x.startClock != 0 && r.Clock <= x.startClock {
			continue
		}
		p.lose(x, "not listed by the worker")
	}
}

// observe applies a worker's report of a present run.
func (p *Pool) observe(w *worker, a workload.ActiveRun, now time.Time) {
	x := w.runs[runKey{a.Task, a.Run}]
	if x == nil {
		x = p.adopt(w, a, now)
		if x == nil {
			return
		}
	}
	if x.phase == ordered || x.phase == unanswered {
		x.phase = present
	}
	p.runBegan(x.task, now)
	x.uncertain, x.attributed = false, true
	if x.presentAt.IsZero() {
		x.presentAt = now
	}
	if x.startClock == 0 {
		x.startClock = w.clock
	}
	if x.firstSeen.IsZero() {
		x.firstSeen, x.firstPercent = now, a.Percent
	}
	if x.progressAt.IsZero() || a.Percent != x.percent {
		x.progressAt = now
	}
	x.percent, x.metric = a.Percent, a.Metric
	if a.Checkpoint != "" {
		x.task.checkpoint = a.Checkpoint
	}
}

// adopt takes over a run that another holder started, or has it stopped.
func (p *Pool) adopt(w *worker, a workload.ActiveRun, now time.Time) *run {
	t := p.taskByID(a.Task, now)
	if p.mayExist(a.Task.Job) {
		w.addUnknown(a.Task)
		p.emit(Event{Kind: "run of an unknown job", Job: a.Task.Job, Task: a.Task, Run: a.Run, Worker: w.ID})
		return nil
	}
	if t == nil || t.done || (len(t.runs) > 0 && !t.step.Speculative) {
		p.emit(Event{Kind: "orphaned run", Job: a.Task.Job, Task: a.Task, Run: a.Run, Worker: w.ID})
		p.actions = append(p.actions, Stop{Worker: w.Worker, Task: a.Task, Run: a.Run, Reason: "orphaned run"})
		return nil
	}
	x := &run{task: t, number: a.Run, worker: w, phase: present, orderedAt: now, presentAt: now, startClock: w.clock, pace: 100, adopted: true, attributed: true}
	x.attach()
	t.job.first = nil
	p.emit(Event{Kind: "run taken over", Job: a.Task.Job, Task: a.Task, Run: a.Run, Worker: w.ID})
	return x
}

// runEnded processes the end of a run that a worker lists for the first time.
func (p *Pool) runEnded(w *worker, e workload.EndedRun, now time.Time) {
	x := w.runs[runKey{e.Task, e.Run}]
	t := p.taskByID(e.Task, now)
	if x != nil {
		p.removeRun(x)
		t = x.task
	}
	p.emit(Event{Kind: "run ended", Job: e.Task.Job, Task: e.Task, Run: e.Run, Worker: w.ID, Reason: string(e.How)})
	if t == nil || t.job.state.Terminal() || t.done {
		return
	}
	if x == nil {
		t.job.first = nil
	}
	p.runBegan(t, now)
	t.lastRun = max(t.lastRun, e.Run)
	t.readySince = now
	// An orphaned run was given up when its worker's lease ended, or was started by another holder; the task runs elsewhere.
	orphaned := x == nil && len(t.runs) > 0 && !t.step.Speculative
	if e.Checkpoint != "" && !orphaned {
		t.checkpoint = e.Checkpoint
		p.markDirty(t.job)
	}
	switch {
	case t.step.LongRunning:
	case e.How == workload.EndFailed:
		// The failure of an orphaned run counts too, since its end is acknowledged like the others.
		p.taskFailed(w, t, e.Run, now)
	case e.How == workload.EndDone && !orphaned:
		p.taskDone(w, x, t, now)
	}
}

func (p *Pool) taskDone(w *worker, x *run, t *task, now time.Time) {
	w.recordSuccess()
	if x != nil {
		p.learnDuration(x, now)
		p.learnSpread(x, now)
		p.learnSibling(x, now)
	}
	tasks := []*task{t}
	if t.step.Gang {
		// The tasks of a gang end together, so one end completes them all.
		tasks = t.state.tasks
	}
	for _, d := range tasks {
		for _, other := range d.runs {
			p.stop(other, "done elsewhere")
		}
		if p.markDone(d, now) {
			return
		}
	}
}

func (p *Pool) taskFailed(w *worker, t *task, number int, now time.Time) {
	if slices.Contains(t.failedRuns, number) {
		// An earlier holder counted this end but could not acknowledge it.
		return
	}
	t.failedRuns = append(t.failedRuns, number)
	p.markDirty(t.job)
	if !slices.Contains(t.failedOn, w.ID) {
		t.failedOn = append(t.failedOn, w.ID)
	}
	p.recordFailure(w, t, now)
	if t.failedAttempts() >= t.job.queue.MaxAttempts {
		p.finish(t.job, workload.Failed, now)
	}
}

// StartAnswer is the outcome of a start.
type StartAnswer int

// The outcomes of a start.
const (
	// Present means that the run is on the worker.
	Present StartAnswer = iota
	// Refused means that the run is not on the worker and this start will never be carried out.
	Refused
	// RefusedCapacity means that the worker had too little free capacity.
	RefusedCapacity
	// RefusedRunNumber means that the run number was used before.
	RefusedRunNumber
	// RefusedUnhealthy means that the worker accepts no work now.
	RefusedUnhealthy
	// RefusedTicket means that the ticket is no longer valid.
	RefusedTicket
	// Unanswered means that the start may be carried out until its lease ends.
	Unanswered
)

// fullBackoff is how long a worker that reported too little free capacity gets no starts; by then its next report has arrived.
const fullBackoff = 150 * time.Millisecond

// AwaitsStart reports whether the answer to a start is awaited, and the worker has not restarted since the order.
func (p *Pool) AwaitsStart(s Start) bool {
	w := p.workers[s.Worker.ID]
	if w == nil || w.Incarnation != s.Worker.Incarnation {
		return false
	}
	x := w.runs[runKey{s.Task, s.Run}]
	return x != nil && x.phase == ordered
}

// StartAnswered applies the answer to a start; at is the reading of the worker that answered.
func (p *Pool) StartAnswered(s Start, a StartAnswer, at workload.ClockReading, now time.Time) {
	w := p.workers[s.Worker.ID]
	if w == nil {
		return
	}
	current := p.noticeIncarnation(w, at.Incarnation, now)
	x := w.runs[runKey{s.Task, s.Run}]
	if x == nil {
		return
	}
	if a == Present {
		p.runBegan(x.task, now)
	}
	if a == Present && !current {
		// The run ended with the incarnation that had it; another attempt of the start may have reached the present one.
		return
	}
	if a == Unanswered {
		if x.phase == ordered {
			x.phase = unanswered
		}
		w.unansweredAt = now
		return
	}
	if a == Present {
		if x.phase == ordered || x.phase == unanswered {
			x.phase = present
		}
		x.startClock, x.presentAt = at.Clock, now
		x.uncertain, x.attributed = false, x.attributed || at.Incarnation != 0
		return
	}
	p.removeRun(x)
	p.emit(Event{Kind: "start refused", Job: s.Task.Job, Task: s.Task, Run: s.Run, Worker: w.ID, Reason: a.String()})
	switch a {
	case RefusedCapacity:
		w.fullUntil = now.Add(fullBackoff)
	case RefusedUnhealthy:
		w.suspectUntil = now.Add(firstSuspicion / 2)
	case RefusedTicket:
		delete(p.tickets, stepKey{s.Task.Job, s.Task.Occurrence, s.Task.Step})
	}
}

// String returns the answer's name.
func (a StartAnswer) String() string {
	return [...]string{"present", "refused", "room", "old", "unhealthy", "ticket", "unanswered"}[a]
}

// StopAnswered reports that a worker accepted a stop, with its reading; from then on the worker refuses a start of that run that is still
// in transit. needsReport is true if only the worker's next report shows whether the run had begun.
func (p *Pool) StopAnswered(s Stop, at workload.ClockReading, now time.Time) (needsReport bool) {
	w := p.workers[s.Worker.ID]
	if w == nil || !p.noticeIncarnation(w, at.Incarnation, now) {
		return false
	}
	x := w.runs[runKey{s.Task, s.Run}]
	if x == nil {
		return false
	}
	if x.phase == stopping && x.stopClock == 0 {
		x.stopClock = at.Clock
	}
	return x.startClock == 0
}
