package dispatch_test

import (
	"slices"
	"testing"
	"time"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/workload"
)

const (
	scenarioTick = 10 * time.Millisecond
	// actEvery is how often a holder polls its workers and plans.
	actEvery = 50 * time.Millisecond
	// slowestRate is the slowest clock rate of a worker that the platform allows.
	slowestRate = 0.98
	// maxLease is the longest lease that a worker grants.
	maxLease = 6 * time.Second
)

// scenarioWorker is a worker of the platform with the slowest clock that it may have.
type scenarioWorker struct {
	workload.Worker
	since time.Time
	fence uint64
	lease time.Duration
	// run is the number of the task's present run, lastRun the number of its last one; 0 for none.
	run, lastRun int
	ended        []workload.EndedRun
	lastEnd      int64
	// A disconnected worker is reached by the first holder only, a paused one by no holder; another worker answers at the address of a
	// replaced one.
	disconnected, paused, replaced bool
}

// scenarioHolder is a holder of the pool's duty.
type scenarioHolder struct {
	pool  *dispatch.Pool
	fence uint64
	// until is when the holder gives its last order; zero while that is not decided.
	until time.Time
	// A disconnected holder reaches no worker, one that lost the store writes nothing, and with answersLost the answers to its holds are
	// lost.
	disconnected, paused, storeLost, answersLost bool
	acted                                        time.Time
	// unreachable is a worker that the holder does not reach.
	unreachable *scenarioWorker
}

// scenarioOrder is a start that arrives at its worker later.
type scenarioOrder struct {
	start       dispatch.Start
	fence       uint64
	incarnation int64
	at          time.Time
}

type scenarioEvent struct {
	at time.Time
	do func()
}

// scenario simulates the successive holders of a pool and checks that its only task never has two runs.
type scenario struct {
	t    *testing.T
	name string
	now  time.Time
	// subject is the only worker that the first holder uses, spare the one that successors prefer.
	subject, spare *scenarioWorker
	workers        []*scenarioWorker
	registered     map[string]workload.Worker
	first, newest  *scenarioHolder
	holders        []*scenarioHolder
	events         []scenarioEvent
	orders         []scenarioOrder
	// lostUntil is when the first holder gives its last order, lastBegan when the last successor begins.
	lostUntil, lastBegan time.Time
	// answersAt is when the subject answers a successor again; zero for immediately.
	answersAt time.Time
	// job is the only job in the store, nil before it is stored; the following fields are the records in the store.
	job          *workload.Job
	record       *dispatch.Record
	unresponsive dispatch.TasksByWorker
	known        []string
	handover     *dispatch.Handover
	// lateStarts is true where starts of the first holder arrive as late as they may, and its stops are lost.
	lateStarts bool
	// lossReported is true where a holder ends once a worker refuses its call because of a newer fencing token; otherwise that answer is
	// lost.
	lossReported bool
	// With identified, orders reach only the incarnation that they are meant for, as over connections that lead to it. Without it the decisions have to
	// be safe on their own.
	identified bool
	// With startAnswersLost, starts are carried out and their answers are lost; with anonymousAnswers, the answers to orders do not name the
	// worker's incarnation.
	startAnswersLost, anonymousAnswers bool
	// readsFail is true where reads of the job are not answered.
	readsFail bool
	// unlisted is true where there is no list of machines.
	unlisted bool
}

func newScenario(t *testing.T, name string) *scenario {
	t.Helper()
	s := &scenario{t: t, name: name, now: epoch, registered: map[string]workload.Worker{}, lostUntil: lossAt}
	s.setUp()
	return s
}

// newUnlistedScenario returns a scenario without a list of machines.
func newUnlistedScenario(t *testing.T, name string) *scenario {
	t.Helper()
	s := &scenario{t: t, name: name, now: epoch, registered: map[string]workload.Worker{}, lostUntil: lossAt, unlisted: true}
	s.setUp()
	return s
}

// setUp adds the workers and starts the first holder.
func (s *scenario) setUp() {
	s.subject, s.spare = s.addWorker("x"), s.addWorker("w")
	s.handover = &dispatch.Handover{}
	s.begin()
	s.first = s.newest
	s.first.pool.Cordon(s.spare.ID, true)
}

func (s *scenario) addWorker(id string) *scenarioWorker {
	w := &scenarioWorker{
		Worker: workload.Worker{ID: id, Machine: "m-" + id, Pool: "cutting", Rack: "r", Capacity: workload.Resources{CPU: 1000}, Incarnation: 1},
		since:  s.now.Add(-time.Minute),
	}
	s.workers = append(s.workers, w)
	s.register(w)
	return w
}

func (s *scenario) at(t time.Time, do func()) {
	s.events = append(s.events, scenarioEvent{t, do})
	slices.SortStableFunc(s.events, func(a, b scenarioEvent) int { return a.at.Compare(b.at) })
}

// begin starts a new holder with the records in the store.
func (s *scenario) begin() {
	fence := uint64(100 * (len(s.holders) + 1))
	h := &scenarioHolder{pool: &dispatch.Pool{Name: "cutting", Epoch: fence, AwaitWorkerList: !s.unlisted, RecordWorkers: s.unlisted}, fence: fence}
	h.pool.Begin(s.now)
	h.pool.SetQueues([]workload.Queue{queue})
	if s.handover != nil {
		h.pool.InheritHandover(*s.handover, s.now)
		s.handover = nil
	}
	if s.unresponsive != nil {
		h.pool.InheritUnresponsive(s.unresponsive)
	}
	if s.known != nil {
		h.pool.InheritKnownWorkers(s.known)
	}
	s.holders, s.newest = append(s.holders, h), h
	if s.job != nil {
		h.pool.AddJob(*s.job, s.record, true, s.now)
	}
	for _, w := range s.workers {
		if info, ok := s.registered[w.ID]; ok {
			h.pool.SetWorker(info, s.now)
		}
	}
	h.pool.RegistrationsListed()
	if !s.unlisted {
		s.at(s.now.Add(200*time.Millisecond), func() { h.pool.SetLiveWorkers(s.listed()) })
	}
}

// listed returns the workers that the platform's list of machines shows.
func (s *scenario) listed() []string {
	var ids []string
	for _, w := range s.workers {
		if !w.replaced {
			ids = append(ids, w.ID)
		}
	}
	return ids
}

// beginAt schedules the start of the next holder and returns its time.
func (s *scenario) beginAt(t time.Time) time.Time {
	s.lastBegan = t
	s.at(t, s.begin)
	return t
}

// keepRunningBeside disconnects the first holder from the store at the loss, and lets it give orders for as long as possible after its
// successor began.
func (s *scenario) keepRunningBeside(successor time.Time) {
	s.at(lossAt, func() { s.first.storeLost = true })
	s.lostUntil = successor.Add(lostOrders)
	s.at(s.lostUntil, func() { s.end(s.first) })
}

// end ends a holder after a last action.
func (s *scenario) end(h *scenarioHolder) {
	s.act(h)
	h.until = s.now
}

// leave ends a holder with a handover.
func (s *scenario) leave(h *scenarioHolder) {
	s.end(h)
	s.write(h)
	if left, ok := h.pool.Handover(s.now); ok {
		s.handover = &left
	}
}

func (s *scenario) register(w *scenarioWorker) {
	s.registered[w.ID] = w.Worker
	for _, h := range s.holders {
		h.pool.SetWorker(w.Worker, s.now)
	}
}

func (s *scenario) unregister(w *scenarioWorker) {
	delete(s.registered, w.ID)
	for _, h := range s.holders {
		h.pool.WorkerDeregistered(w.ID, s.now)
	}
}

// restart begins a new incarnation of a worker under its id, without any state of the previous one.
func (s *scenario) restart(w *scenarioWorker) {
	w.Incarnation++
	w.since, w.fence, w.lease, w.run, w.lastRun, w.ended, w.lastEnd = s.now, 0, 0, 0, 0, nil, 0
}

// run simulates until t.
func (s *scenario) run(t time.Time) {
	for s.now.Before(t) {
		s.now = s.now.Add(scenarioTick)
		for len(s.events) > 0 && !s.events[0].at.After(s.now) {
			e := s.events[0]
			s.events = s.events[1:]
			e.do()
		}
		s.expireLeases()
		s.deliver()
		for _, h := range s.holders {
			if (h.until.IsZero() || s.now.Before(h.until)) && !h.paused && s.now.Sub(h.acted) >= actEvery {
				h.acted = s.now
				s.act(h)
			}
		}
	}
}

func (s *scenario) clock(w *scenarioWorker) time.Duration {
	return time.Duration(slowestRate * float64(s.now.Sub(w.since)))
}

// reading returns what each answer of a worker tells of it.
func (s *scenario) reading(w *scenarioWorker) workload.ClockReading {
	if s.anonymousAnswers {
		return workload.ClockReading{Clock: s.clock(w)}
	}
	return workload.ClockReading{Incarnation: w.Incarnation, Clock: s.clock(w)}
}

// expireLeases ends the runs whose lease has ended.
func (s *scenario) expireLeases() {
	for _, w := range s.workers {
		if w.run != 0 && s.clock(w) > w.lease {
			s.endRun(w, workload.EndExpired)
		}
	}
}

func (s *scenario) endRun(w *scenarioWorker, how workload.RunEnd) {
	w.lastEnd++
	w.ended = append(w.ended, workload.EndedRun{Number: w.lastEnd, Task: task("j", 0, 0), Run: w.run, How: how})
	w.run = 0
}

// deliver carries out the orders that are due.
func (s *scenario) deliver() {
	left := s.orders[:0]
	for _, o := range s.orders {
		w := s.worker(o.start.Worker.ID)
		if s.now.Before(o.at) || w.paused {
			left = append(left, o)
			continue
		}
		// A start that is carried out late ends with the incarnation that it was sent to.
		if o.incarnation == w.Incarnation && s.mayReach(w, o.start) {
			s.carryOut(w, o.start, o.fence)
		}
	}
	s.orders = left
}

func (s *scenario) worker(id string) *scenarioWorker {
	return s.workers[slices.IndexFunc(s.workers, func(w *scenarioWorker) bool { return w.ID == id })]
}

func (s *scenario) reaches(h *scenarioHolder, w *scenarioWorker) bool {
	return !h.disconnected && h.unreachable != w && !w.paused && !w.replaced && (!w.disconnected || h == s.first)
}

// mayReach reports whether a start may be sent to the present incarnation of its worker.
func (s *scenario) mayReach(w *scenarioWorker, a dispatch.Start) bool {
	return !s.identified || a.Worker.Incarnation == w.Incarnation
}

func (s *scenario) act(h *scenarioHolder) {
	for _, id := range h.pool.WorkerIDs() {
		s.sendHold(h, s.worker(id))
	}
	s.readUnknown(h)
	if h == s.newest && !h.storeLost {
		s.write(h)
		if unresponsive, changed := h.pool.UnresponsiveRecord(s.now); changed {
			s.unresponsive = unresponsive
			h.pool.UnresponsiveRecorded(unresponsive)
		}
		if known, changed := h.pool.KnownWorkers(s.now); changed {
			s.known = known
			h.pool.KnownWorkersRecorded(known)
		}
	}
	for _, a := range h.pool.Plan(s.now) {
		switch a := a.(type) {
		case dispatch.Start:
			s.start(h, a)
		case dispatch.Stop:
			s.stop(h, a)
		case dispatch.Pace, dispatch.AdviceRequest:
		}
	}
}

// write records the progress of the job.
func (s *scenario) write(h *scenarioHolder) {
	b := h.pool.Batch()
	for _, c := range b.Changes {
		s.record = &c.Record
	}
	h.pool.BatchRecorded(b)
}

func (s *scenario) sendHold(h *scenarioHolder, w *scenarioWorker) {
	next := h.pool.NextHold(w.ID, s.now)
	if w.replaced && !h.disconnected {
		h.pool.WorkerEnded(w.ID, "another worker has its address")
		return
	}
	if !s.reaches(h, w) {
		return
	}
	if h.fence < w.fence {
		if s.lossReported && !h.answersLost {
			h.until = s.now
		}
		return
	}
	w.fence = h.fence
	s.extend(w, next.LeaseEnd)
	w.ended = slices.DeleteFunc(w.ended, func(e workload.EndedRun) bool {
		return next.Worker.Incarnation == w.Incarnation && e.Number <= next.Acknowledged
	})
	if h.answersLost {
		return
	}
	r := workload.Report{Incarnation: w.Incarnation, Clock: s.clock(w), Ended: w.ended}
	if w.run != 0 {
		r.Active = []workload.ActiveRun{{Task: task("j", 0, 0), Run: w.run, Percent: int(s.now.Sub(epoch)/time.Second) % 100}}
	}
	h.pool.Report(w.ID, r, s.now)
}

// extend extends a worker's lease, at most to the longest one that it grants.
func (s *scenario) extend(w *scenarioWorker, end time.Duration) {
	w.lease = max(w.lease, min(end, s.clock(w)+maxLease))
}

func (s *scenario) start(h *scenarioHolder, a dispatch.Start) {
	w := s.worker(a.Worker.ID)
	if s.reaches(h, w) && !s.mayReach(w, a) {
		h.pool.StartAnswered(a, dispatch.Refused, s.reading(w), s.now)
		return
	}
	if h == s.first && s.lateStarts {
		// The latest time at which the worker's clock does not refuse the start.
		left := min(time.Duration(float64(a.LeaseEnd-s.clock(w))/slowestRate), maxOrderDelay)
		s.orders = append(s.orders, scenarioOrder{a, h.fence, w.Incarnation, s.now.Add(left - scenarioTick)})
	} else if w.paused && !h.disconnected {
		s.orders = append(s.orders, scenarioOrder{a, h.fence, w.Incarnation, s.now})
	} else if s.reaches(h, w) {
		answer := s.carryOut(w, a, h.fence)
		if !s.startAnswersLost || h != s.first {
			h.pool.StartAnswered(a, answer, s.reading(w), s.now)
			return
		}
	}
	h.pool.StartAnswered(a, dispatch.Unanswered, workload.ClockReading{}, s.now)
}

// accepts reports whether a worker would carry out a start now.
func (s *scenario) accepts(w *scenarioWorker, a dispatch.Start, fence uint64) bool {
	return fence >= w.fence && s.clock(w) <= a.LeaseEnd && a.Run > w.lastRun
}

// carryOut executes a start on the worker; it checks that the task has no other run that is present or may begin late.
func (s *scenario) carryOut(w *scenarioWorker, a dispatch.Start, fence uint64) dispatch.StartAnswer {
	if w.replaced || !s.accepts(w, a, fence) {
		return dispatch.Refused
	}
	for _, other := range s.workers {
		if other.run != 0 {
			s.t.Errorf("%s: start on %s with fence %d %v after the loss: run %d is on %s", s.name, w.ID, fence, s.now.Sub(lossAt), other.run, other.ID)
		}
	}
	for _, o := range s.orders {
		if other := s.worker(o.start.Worker.ID); other != w && o.incarnation == other.Incarnation && !other.replaced && s.accepts(other, o.start, o.fence) && s.now.Before(o.at) {
			s.t.Errorf("%s: start on %s with fence %d %v after the loss: run %d may begin late on %s", s.name, w.ID, fence, s.now.Sub(lossAt), o.start.Run, other.ID)
		}
	}
	w.fence, w.run, w.lastRun = fence, a.Run, a.Run
	s.extend(w, a.LeaseEnd)
	return dispatch.Present
}

func (s *scenario) stop(h *scenarioHolder, a dispatch.Stop) {
	w := s.worker(a.Worker.ID)
	if !s.reaches(h, w) || h.fence < w.fence || (h == s.first && s.lateStarts) {
		return
	}
	w.fence, w.lastRun = h.fence, max(w.lastRun, a.Run)
	if w.run == a.Run {
		s.endRun(w, workload.EndStopped)
	}
	h.pool.StopAnswered(a, s.reading(w), s.now)
}

// wantTaskRunByLastHolder checks that the task runs on a worker that has the last holder's fencing token.
func (s *scenario) wantTaskRunByLastHolder() {
	s.t.Helper()
	if !slices.ContainsFunc(s.workers, func(w *scenarioWorker) bool { return w.run != 0 && w.fence == s.newest.fence }) {
		s.t.Errorf("%s: %v after the loss: got no run known to the last holder, want one", s.name, s.now.Sub(lossAt))
	}
}
