package dispatch

import (
	"cmp"
	"slices"
	"time"

	"verbenalanding.example/fleet/workload"
)

const (
	// largeTaskWait is how long a large task waits before it gets a reservation.
	largeTaskWait = 200 * time.Millisecond
	// overdueAfter is how long a large task waits before it gets a reservation whatever else waits; one at a time has such a reservation.
	overdueAfter = 15 * time.Second
	// longestReservation bounds a reservation as a multiple of the likely run time of its task: what is kept free for longer costs more than the
	// task is worth. shortestReservation is the least bound.
	longestReservation  = 1
	shortestReservation = time.Second
	// reservedShare is the largest part of the workers, as one in so many, that may be reserved; one may be in any case, and maxReserved at most,
	// since a plan looks at each of them for each task.
	reservedShare = 8
	maxReserved   = 16
	// roomInterval is the time between two searches for the room of a reservation, searchedWorkers how many workers each looks at.
	roomInterval    = 50 * time.Millisecond
	searchedWorkers = 128
	// reservationBacklog is the CPU that other waiting tasks need, as a share of the capacity, above which no reservation is made: then the order of the
	// jobs decides who waits, and room that is kept free makes all of them later.
	reservationBacklog = 0.5
)

// reservation keeps room for a large task, or for a gang, on the workers where it is likely to fit first. Smaller tasks get that room only if
// they are likely to have ended by then.
type reservation struct {
	step   *stepState
	task   *task
	places []place
	// madeAt is when it was made, at when the room is likely to be free; it ends without a start at until.
	madeAt, at, until time.Time
	// overdue reservations do not end because too much waits.
	overdue bool
}

// place is the room that a reservation keeps on a worker.
type place struct {
	worker *worker
	need   workload.Resources
}

// sizeOf returns the largest share of the largest worker that a need takes of a resource.
func (x *workerIndex) sizeOf(need workload.Resources) float64 {
	size := 0.0
	for _, pair := range [...][2]int64{{need.CPU, x.largest.CPU}, {need.MemoryMB, x.largest.MemoryMB}, {need.GPU, x.largest.GPU}} {
		if pair[1] > 0 {
			size = max(size, float64(pair[0])/float64(pair[1]))
		}
	}
	return size
}

// isLarge reports whether the tasks of a step are large.
func (p *Pool) isLarge(st *stepState) bool {
	return !st.longRunning && p.index.sizeOf(st.reserved) >= p.Settings.LargeTask
}

// checkReservations ends the reservations whose tasks do not wait any more, whose workers take no starts, or that have proved wrong.
func (p *Pool) checkReservations(now time.Time) {
	p.toReserve = nil
	p.reservations = slices.DeleteFunc(p.reservations, func(r *reservation) bool {
		t := r.task
		if t.done || len(t.runs) > 0 || t.job.state.Terminal() {
			return true
		}
		reason := ""
		if !now.Before(r.until) {
			reason = "room not free in time"
		}
		for _, pl := range r.places {
			if p.workers[pl.worker.ID] != pl.worker || !p.takesWork(pl.worker, now) {
				reason = "worker takes no starts"
			}
		}
		if reason == "" {
			return false
		}
		p.release(r, reason, now)
		return true
	})
}

// release reports the end of a reservation whose task has not started.
func (p *Pool) release(r *reservation, reason string, now time.Time) {
	// The next one begins as much later as this one has kept room free, so that a wrong estimate does not do so for good.
	r.step.reserveFrom = now.Add(now.Sub(r.madeAt))
	p.emit(Event{Kind: "reservation released", Job: r.task.id.Job, Task: r.task.id, Worker: r.places[0].worker.ID, Reason: reason, Age: now.Sub(r.madeAt)})
}

// placedTogether returns how many tasks are placed at a time: one, or those of a gang.
func (t *task) placedTogether() int {
	if t.step.Gang {
		return len(t.state.tasks)
	}
	return 1
}

// takesWork reports whether a worker may take starts, leaving out conditions that end within a moment.
func (p *Pool) takesWork(w *worker, now time.Time) bool {
	return w.synced && !w.Draining && !w.cordoned && !w.excluded && !w.upkeepDue && w.missingSince.IsZero() &&
		now.Sub(w.reportedAt) <= p.Settings.ReportTimeout && !w.suspected(now)
}

// noteLargeWait remembers the largest task that the present plan has not placed and that has waited, for a reservation.
func (p *Pool) noteLargeWait(t *task, now time.Time) {
	if t.job.queue.Advice != nil || now.Before(t.state.reserveFrom) || now.Sub(t.readySince) < largeTaskWait || p.reservationOf(t.state) != nil {
		return
	}
	if p.toReserve == nil || cmp.Or(compareTrueFirst(t.overdue(now), p.toReserve.overdue(now)), -cmp.Compare(p.index.sizeOf(t.step.Reserved()), p.index.sizeOf(p.toReserve.step.Reserved()))) < 0 {
		p.toReserve = t
	}
}

// overdue reports whether a task has waited so long that it gets a reservation whatever else waits.
func (t *task) overdue(now time.Time) bool { return now.Sub(t.readySince) >= overdueAfter }

func (p *Pool) reservationOf(st *stepState) *reservation {
	for _, r := range p.reservations {
		if r.step == st {
			return r
		}
	}
	return nil
}

// reserve makes a reservation for the largest task that waits, and ends all of them while too much waits.
func (p *Pool) reserve(now time.Time) {
	t := p.toReserve
	p.toReserve = nil
	others := p.index.unplacedCPU
	if t != nil {
		others -= int64(t.placedTogether()) * t.step.Reserved().CPU
	}
	for _, r := range p.reservations {
		others -= int64(r.task.placedTogether()) * r.task.step.Reserved().CPU
	}
	if float64(others) > reservationBacklog*float64(p.index.totalCPU) {
		p.reservations = slices.DeleteFunc(p.reservations, func(r *reservation) bool {
			if !r.overdue {
				p.release(r, "too much waits", now)
			}
			return !r.overdue
		})
		if t == nil || !t.overdue(now) || len(p.reservations) > 0 {
			return
		}
	}
	if t == nil {
		return
	}
	reserved := 0
	for _, r := range p.reservations {
		reserved += len(r.places)
	}
	most := min(max(1, len(p.workers)/reservedShare), maxReserved) - reserved
	if most <= 0 || now.Sub(p.roomSoughtAt) < roomInterval {
		return
	}
	p.roomSoughtAt = now
	r := p.earliestRoom(t, t.placedTogether(), now)
	if r == nil || len(r.places) > most {
		return
	}
	bound := max(shortestReservation, workload.Scale(p.likelyDuration(t, medianShare), longestReservation))
	if r.at.Sub(now) > bound {
		return
	}
	r.until, r.overdue = now.Add(min(r.until.Sub(now), bound)), t.overdue(now)
	p.reservations = append(p.reservations, r)
	p.emit(Event{Kind: "worker reserved", Job: t.id.Job, Task: t.id, Worker: r.places[0].worker.ID, Reason: "large task waits", Age: r.at.Sub(now)})
}

// freeing is the likely end of a run, and the ratio by which it may be later.
type freeing struct {
	run    *run
	after  time.Duration
	spread float64
}

// earliestRoom returns where a number of equal tasks are likely to fit first, by the likely ends of what runs; nil if that is not known.
func (p *Pool) earliestRoom(t *task, tasks int, now time.Time) *reservation {
	need := t.step.Reserved()
	free := map[*worker]workload.Resources{}
	var ends []freeing
	workers := p.searched()
	for _, w := range workers {
		if !p.takesWork(w, now) || !w.Capacity.Fits(need) || slices.Contains(t.failedOn, w.ID) || !p.admits(w, t, now) || p.reservedFor(w) != nil {
			continue
		}
		free[w] = w.free()
		for _, x := range w.runs {
			if left, spread, ok := p.timeLeft(x, now); ok {
				ends = append(ends, freeing{x, left, spread})
			}
		}
	}
	slices.SortFunc(ends, func(a, b freeing) int { return cmp.Or(cmp.Compare(a.after, b.after), compareRuns(a.run, b.run)) })
	fits := map[*worker]int{}
	found, spread := 0, 1.0
	count := func(w *worker) {
		found -= fits[w]
		fits[w] = p.howMany(t, w, free[w])
		found += fits[w]
	}
	for _, w := range workers {
		if _, ok := free[w]; ok {
			count(w)
		}
	}
	after := time.Duration(0)
	for _, e := range ends {
		if found >= tasks {
			break
		}
		w := e.run.worker
		free[w] = free[w].Plus(e.run.task.step.Reserved())
		after, spread = e.after, max(spread, e.spread)
		count(w)
	}
	if found < tasks {
		return nil
	}
	r := &reservation{step: t.state, task: t, madeAt: now, at: now.Add(after), until: now.Add(workload.Scale(after, spread) + p.Settings.StopTime)}
	for _, w := range workers {
		if n := min(fits[w], tasks); n > 0 {
			pl := place{worker: w, need: times(need, int64(n))}
			r.places = append(r.places, pl)
			tasks -= n
		}
	}
	return r
}

// searched returns the workers that a search for room looks at, the next ones at each search where there are more.
func (p *Pool) searched() []*worker {
	all := p.sortedWorkers()
	if len(all) <= searchedWorkers {
		return all
	}
	from := p.searchFrom % len(all)
	p.searchFrom = from + searchedWorkers
	return all[from:min(from+searchedWorkers, len(all))]
}

// howMany returns how many of a step's tasks fit into free capacity of a worker.
func (p *Pool) howMany(t *task, w *worker, free workload.Resources) int {
	most := len(t.state.tasks)
	if limit := t.step.MaxPerWorker; limit > 0 {
		most = max(0, limit-p.onWorker(t, w))
	}
	n := 0
	for need := t.step.Reserved(); n < most && free.Fits(need); n++ {
		free = free.Minus(need)
	}
	return n
}

func (p *Pool) reservedFor(w *worker) *reservation {
	for _, r := range p.reservations {
		if slices.ContainsFunc(r.places, func(pl place) bool { return pl.worker == w }) {
			return r
		}
	}
	return nil
}

// keptFree reports whether a reservation keeps a task from a worker: it would neither have ended by then nor fit beside what is reserved.
func (p *Pool) keptFree(w *worker, t *task, now time.Time) bool {
	if len(p.reservations) == 0 || t.step.LongRunning {
		return false
	}
	r := p.reservedFor(w)
	if r == nil || r.step == t.state || t.job.queue.Priority < r.task.job.queue.Priority {
		return false
	}
	if now.Add(p.likelyDuration(t, mostShare)).Before(r.at) {
		return false
	}
	left := w.free()
	for _, x := range w.runs {
		if after, _, ok := p.timeLeft(x, now); ok && !now.Add(after).After(r.at) {
			left = left.Plus(x.task.step.Reserved())
		}
	}
	for _, pl := range r.places {
		if pl.worker == w {
			left = left.Minus(pl.need)
		}
	}
	return !left.Fits(t.step.Reserved())
}
