package dispatch

import (
	"slices"
	"time"

	"verbenalanding.example/fleet/workload"
)

// Report takes a worker's lists over; heard is when the answer arrived.
func (p *Pool) Report(id string, r workload.Report, heard time.Time) {
	w := p.workers[id]
	if w == nil || (r.Incarnation != 0 && r.Incarnation < w.Incarnation) {
		return
	}
	if r.Incarnation > w.Incarnation {
		if w.Incarnation != 0 || len(w.runs) > 0 {
			p.rebirth(w, r.Incarnation, heard)
		}
		w.Incarnation = r.Incarnation
	}
	if w.synced && r.Clock < w.clock {
		return
	}
	w.clock, w.heard, w.lapsed, w.reborn = r.Clock, heard, false, false
	delete(p.living, id)
	w.forgetLists()
	r, w.withheld = p.withoutLaterEnds(w, r)
	w.partial = r.Partial && (w.partial || !w.synced)
	if !w.synced {
		w.synced = true
		if heard.Before(p.unsureUntil) && p.unsureUntil.After(w.leaseEnd) {
			w.leaseEnd = p.unsureUntil
		}
		p.note(Event{Kind: "worker heard", Worker: id})
	}
	for _, e := range r.Ended {
		if e.Number > w.processed {
			w.processed = e.Number
			p.end(w, e, heard)
		}
	}
	seen := make(map[runKey]bool, len(r.Active))
	for _, a := range r.Active {
		seen[runKey{a.Task, a.Run}] = true
		p.observe(w, a, heard)
	}
	w.strays = slices.ContainsFunc(r.Active, func(a workload.ActiveRun) bool { return w.runs[runKey{a.Task, a.Run}] == nil })
	if !r.Partial {
		p.missing(w, r, seen)
	}
	p.stopStalled(w, heard)
	p.pace(w, heard)
}

// withoutLaterEnds returns a report without the ends from the first one on whose job is not known yet: what is taken over is acknowledged,
// and the task would be started when its job is heard of.
func (p *Pool) withoutLaterEnds(w *worker, r workload.Report) (rest workload.Report, withheld bool) {
	first := len(r.Ended)
	for i, e := range r.Ended {
		if e.Number > w.processed && p.mayCome(e.Task.Job) {
			first = min(first, i)
			w.tooEarly(e.Task)
		}
	}
	if first == len(r.Ended) {
		return r, false
	}
	r.Ended, r.Partial = r.Ended[:first], true
	return r, true
}

const (
	// stallAfter is the least time without progress after which a task stands still; a worker reports at least once a second.
	stallAfter = 1500 * time.Millisecond
	// stallShare is the part of a task's expected time that it may be without progress, since slow tasks advance seldom.
	stallShare = 0.5
)

// stopStalled has finite tasks that stand still on a worker stopped, so that they run elsewhere; the worker gets no starts for a
// while.
func (p *Pool) stopStalled(w *worker, now time.Time) {
	for _, x := range w.sorted() {
		// A run that was present in no report yet has shown nothing.
		if x.phase != present || x.progressAt.IsZero() || x.task.step.LongRunning || x.task.step.Gang || x.percent >= 100 {
			continue
		}
		if now.Sub(x.progressAt) < max(stallAfter, time.Duration(stallShare*float64(p.expected(x.task)))) {
			continue
		}
		if now.After(w.suspectUntil) {
			p.note(Event{Kind: "worker suspected", Worker: w.ID, Reason: "its tasks stand still"})
		}
		w.suspectUntil = now.Add(2 * firstSuspicion)
		p.stop(x, "stands still")
	}
}

// missing ends the runs that a worker does not list though it would have to.
func (p *Pool) missing(w *worker, r workload.Report, seen map[runKey]bool) {
	for _, x := range w.sorted() {
		if seen[runKey{x.task.id, x.number}] {
			continue
		}
		if x.phase == stopping && x.startClock == 0 && x.stopClock != 0 && r.Clock > x.stopClock {
			p.lose(x, "stopped before it began")
			continue
		}
		if x.phase == unanswered && (x.uncertain || !x.task.step.Gang) {
			// A stop settles sooner than the start's lease end whether the run will be there.
			p.stop(x, "start not answered")
		}
		// An ordered run is kept until its start is refused by its own lease end, a present one was listed before.
		if (x.phase == ordered || x.phase == unanswered || x.startClock == 0) && (x.uncertain || r.Clock <= x.startEnd) {
			continue
		}
		if x.startClock != 0 && r.Clock <= x.startClock {
			continue
		}
		p.lose(x, "not listed by the worker")
	}
}

// observe takes over what a worker says of a run that is present.
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
	x.uncertain = false
	if x.presentAt.IsZero() {
		x.presentAt = now
	}
	if x.startClock == 0 {
		x.startClock = w.clock
	}
	if x.progressAt.IsZero() || a.Percent != x.percent {
		x.progressAt = now
	}
	x.percent, x.figure = a.Percent, a.Figure
	if a.Checkpoint != "" {
		x.task.checkpoint = a.Checkpoint
	}
}

// adopt takes a run over that another holder started, or has it stopped.
func (p *Pool) adopt(w *worker, a workload.ActiveRun, now time.Time) *run {
	t := p.find(a.Task)
	if p.mayCome(a.Task.Job) {
		w.tooEarly(a.Task)
		p.note(Event{Kind: "run of a job that is not known yet", Job: a.Task.Job, Task: a.Task, Run: a.Run, Worker: w.ID})
		return nil
	}
	if t == nil || t.done || (len(t.runs) > 0 && !t.step.Speculative) {
		p.note(Event{Kind: "unknown run", Job: a.Task.Job, Task: a.Task, Run: a.Run, Worker: w.ID})
		p.actions = append(p.actions, Stop{Worker: w.Worker, Task: a.Task, Run: a.Run, Reason: "not wanted"})
		return nil
	}
	x := &run{task: t, number: a.Run, worker: w, phase: present, orderedAt: now, presentAt: now, startClock: w.clock, pace: 100, adopted: true}
	x.attach()
	p.note(Event{Kind: "run taken over", Job: a.Task.Job, Task: a.Task, Run: a.Run, Worker: w.ID})
	return x
}

// end takes note of an end that a worker lists for the first time.
func (p *Pool) end(w *worker, e workload.EndedRun, now time.Time) {
	x := w.runs[runKey{e.Task, e.Run}]
	t := p.find(e.Task)
	if x != nil {
		p.removeRun(x)
		t = x.task
	}
	p.note(Event{Kind: "run ended", Job: e.Task.Job, Task: e.Task, Run: e.Run, Worker: w.ID, Reason: string(e.How)})
	if t == nil || t.job.state.Terminal() || t.done {
		return
	}
	t.lastRun = max(t.lastRun, e.Run)
	t.readySince = now
	t.job.started = true
	// A stray run was given up when its worker's lease ended, or is another holder's; the task runs elsewhere.
	stray := x == nil && len(t.runs) > 0 && !t.step.Speculative
	if e.Checkpoint != "" && !stray {
		t.checkpoint = e.Checkpoint
		p.touch(t.job)
	}
	switch {
	case t.step.LongRunning:
	case e.How == workload.EndFailed:
		// The end of a stray run counts too: it is acknowledged like the others.
		p.failed(w, t, e.Run, now)
	case e.How == workload.EndDone && !stray:
		p.done(w, x, t, now)
	}
}

func (p *Pool) done(w *worker, x *run, t *task, now time.Time) {
	w.succeeded()
	if x != nil {
		p.learn(x, now)
	}
	tasks := []*task{t}
	if t.step.Gang {
		// One end stands for all tasks of the gang.
		tasks = t.job.occurrences[t.id.Occurrence].steps[t.id.Step].tasks
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

func (p *Pool) failed(w *worker, t *task, number int, now time.Time) {
	if slices.Contains(t.failedRuns, number) {
		// The end was counted by an earlier holder that could not acknowledge it any more.
		return
	}
	t.failedRuns = append(t.failedRuns, number)
	p.touch(t.job)
	if !slices.Contains(t.avoid, w.ID) {
		t.avoid = append(t.avoid, w.ID)
	}
	p.failedOn(w, t, now)
	if len(t.failedRuns) >= t.job.queue.MaxAttempts {
		p.finish(t.job, workload.Failed, now)
	}
}

// StartAnswer is what became of a start.
type StartAnswer int

// The answers to a start.
const (
	// Present means that the run is on the worker.
	Present StartAnswer = iota
	// Refused means that the run is not there and never comes from this start.
	Refused
	// RefusedCapacity means that the worker had no room.
	RefusedCapacity
	// RefusedRunNumber means that the run number was used before.
	RefusedRunNumber
	// RefusedUnhealthy means that the worker takes no work now.
	RefusedUnhealthy
	// RefusedTicket means that the ticket is not valid any more.
	RefusedTicket
	// Unanswered means that the start may be carried out until its lease ends.
	Unanswered
)

// fullWait keeps starts away from a worker that said it had no room, until its next report.
const fullWait = 150 * time.Millisecond

// StartAnswered takes the answer to a start over; clock is the worker's clock in it.
func (p *Pool) StartAnswered(s Start, a StartAnswer, clock time.Duration, now time.Time) {
	w := p.workers[s.Worker.ID]
	if w == nil {
		return
	}
	x := w.runs[runKey{s.Task, s.Run}]
	if x == nil {
		return
	}
	if a == Unanswered {
		if x.phase == ordered {
			x.phase = unanswered
		}
		w.doubted = now
		return
	}
	if a == Present {
		if x.phase == ordered || x.phase == unanswered {
			x.phase = present
		}
		x.startClock, x.presentAt = clock, now
		return
	}
	p.removeRun(x)
	p.note(Event{Kind: "start refused", Job: s.Task.Job, Task: s.Task, Run: s.Run, Worker: w.ID, Reason: a.String()})
	switch a {
	case RefusedCapacity:
		w.fullUntil = now.Add(fullWait)
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

// StopAnswered takes note that a worker took a stop, at a time of its clock: a start of that run that is still on its way is
// refused from now on. It reports whether the worker's next list is what tells if the run had begun.
func (p *Pool) StopAnswered(s Stop, clock time.Duration) (listDecides bool) {
	w := p.workers[s.Worker.ID]
	if w == nil {
		return false
	}
	x := w.runs[runKey{s.Task, s.Run}]
	if x == nil {
		return false
	}
	if x.phase == stopping && x.stopClock == 0 {
		x.stopClock = clock
	}
	return x.startClock == 0
}
