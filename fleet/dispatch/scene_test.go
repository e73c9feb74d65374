package dispatch_test

import (
	"slices"
	"testing"
	"time"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/workload"
)

const (
	sceneTick = 10 * time.Millisecond
	// actEvery is how often a holder asks its workers and plans.
	actEvery = 50 * time.Millisecond
	// slowestRate is that of the slowest worker's clock which the platform allows.
	slowestRate = 0.98
	// holdMax is the longest lease that a worker grants.
	holdMax = 6 * time.Second
)

// sceneWorker is a worker of the platform with the slowest clock that it may have.
type sceneWorker struct {
	workload.Worker
	since time.Time
	fence uint64
	lease time.Duration
	// run is the number of the task's run that is present, least that of the last one; 0 for none.
	run, least int
	ended      []workload.EndedRun
	number     int64
	// cut workers are reached by the first holder only, frozen ones by nobody; at the address of a gone one another worker answers.
	cut, frozen, gone bool
}

// sceneHolder is a holder of the pool's duty.
type sceneHolder struct {
	pool  *dispatch.Pool
	fence uint64
	// until is when it gives its last order; zero while that is not known.
	until time.Time
	// cut holders reach no worker, apart ones write nothing, and answers to the holds of deaf ones are lost.
	cut, frozen, apart, deaf bool
	acted                    time.Time
	// cutFrom is a worker that the holder does not reach.
	cutFrom *sceneWorker
}

// sceneOrder is a start that arrives at its worker later.
type sceneOrder struct {
	start dispatch.Start
	fence uint64
	born  int64
	at    time.Time
}

type sceneEvent struct {
	at time.Time
	do func()
}

// scene drives the holders of a pool one after the other, and keeps the oracle's book of the only task.
type scene struct {
	t    *testing.T
	name string
	now  time.Time
	// suspect is the only worker that the first holder uses, spare the one that successors prefer.
	suspect, spare *sceneWorker
	workers        []*sceneWorker
	registered     map[string]workload.Worker
	first, newest  *sceneHolder
	holders        []*sceneHolder
	events         []sceneEvent
	orders         []sceneOrder
	// lostUntil is when the first holder gives its last order, lastBegan when the last successor begins.
	lostUntil, lastBegan time.Time
	// answers is when the suspect answers a successor again; zero for at once.
	answers time.Time
	// job is what the store has of the only job, nil before it is stored; the rest is what holders have left in the store.
	job      *workload.Job
	record   *dispatch.Record
	seals    dispatch.Unresponsive
	known    []string
	handover *dispatch.Handover
	// late is true where starts of the first holder arrive at the last moment, and its stops are lost.
	late bool
	// told is true where a holder ends that meets a worker which follows a newer one; else what would tell it is lost.
	told bool
	// unread is true where reads of the job are not answered.
	unread bool
	// unlisted is true where there is no list of machines.
	unlisted bool
}

func newScene(t *testing.T, name string) *scene {
	t.Helper()
	s := &scene{t: t, name: name, now: epoch, registered: map[string]workload.Worker{}, lostUntil: lossAt}
	s.open()
	return s
}

// newUnlistedScene returns a scene without a list of machines.
func newUnlistedScene(t *testing.T, name string) *scene {
	t.Helper()
	s := &scene{t: t, name: name, now: epoch, registered: map[string]workload.Worker{}, lostUntil: lossAt, unlisted: true}
	s.open()
	return s
}

// open adds the workers and has the first holder begin.
func (s *scene) open() {
	s.suspect, s.spare = s.addWorker("x"), s.addWorker("w")
	s.handover = &dispatch.Handover{}
	s.begin()
	s.first = s.newest
	s.first.pool.Cordon(s.spare.ID, true)
}

func (s *scene) addWorker(id string) *sceneWorker {
	w := &sceneWorker{
		Worker: workload.Worker{ID: id, Machine: "m-" + id, Pool: "cutting", Rack: "r", Capacity: workload.Resources{CPU: 1000}, Incarnation: 1},
		since:  s.now.Add(-time.Minute),
	}
	s.workers = append(s.workers, w)
	s.register(w)
	return w
}

func (s *scene) at(t time.Time, do func()) {
	s.events = append(s.events, sceneEvent{t, do})
	slices.SortStableFunc(s.events, func(a, b sceneEvent) int { return a.at.Compare(b.at) })
}

// begin has a new holder begin from what is in the store.
func (s *scene) begin() {
	fence := uint64(100 * (len(s.holders) + 1))
	h := &sceneHolder{pool: &dispatch.Pool{Name: "cutting", Epoch: fence, AwaitWorkerList: !s.unlisted, RecordWorkers: s.unlisted}, fence: fence}
	h.pool.Begin(s.now)
	h.pool.SetQueues([]workload.Queue{queue})
	if s.handover != nil {
		h.pool.InheritHandover(*s.handover, s.now)
		s.handover = nil
	}
	if s.seals != nil {
		h.pool.InheritUnresponsive(s.seals)
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
func (s *scene) listed() []string {
	var ids []string
	for _, w := range s.workers {
		if !w.gone {
			ids = append(ids, w.ID)
		}
	}
	return ids
}

// beginAt schedules the beginning of the next holder and returns its time.
func (s *scene) beginAt(t time.Time) time.Time {
	s.lastBegan = t
	s.at(t, s.begin)
	return t
}

// livesOn has the first holder, which does not reach the store from the loss on, give orders for as long as it may once its successor
// began.
func (s *scene) livesOn(successor time.Time) {
	s.at(lossAt, func() { s.first.apart = true })
	s.lostUntil = successor.Add(lostOrders)
	s.at(s.lostUntil, func() { s.end(s.first) })
}

// end ends a holder that has acted until the last moment.
func (s *scene) end(h *sceneHolder) {
	s.act(h)
	h.until = s.now
}

// leave ends a holder in an orderly way.
func (s *scene) leave(h *sceneHolder) {
	s.end(h)
	s.write(h)
	if left, ok := h.pool.Handover(s.now); ok {
		s.handover = &left
	}
}

func (s *scene) register(w *sceneWorker) {
	s.registered[w.ID] = w.Worker
	for _, h := range s.holders {
		h.pool.SetWorker(w.Worker, s.now)
	}
}

func (s *scene) unregister(w *sceneWorker) {
	delete(s.registered, w.ID)
	for _, h := range s.holders {
		h.pool.WorkerDeregistered(w.ID, s.now)
	}
}

// restart begins a new life of a worker under its id, which knows nothing of before.
func (s *scene) restart(w *sceneWorker) {
	w.Incarnation++
	w.since, w.fence, w.lease, w.run, w.least, w.ended, w.number = s.now, 0, 0, 0, 0, nil, 0
}

// run lets time pass until t.
func (s *scene) run(t time.Time) {
	for s.now.Before(t) {
		s.now = s.now.Add(sceneTick)
		for len(s.events) > 0 && !s.events[0].at.After(s.now) {
			e := s.events[0]
			s.events = s.events[1:]
			e.do()
		}
		s.lapse()
		s.deliver()
		for _, h := range s.holders {
			if (h.until.IsZero() || s.now.Before(h.until)) && !h.frozen && s.now.Sub(h.acted) >= actEvery {
				h.acted = s.now
				s.act(h)
			}
		}
	}
}

func (s *scene) clock(w *sceneWorker) time.Duration {
	return time.Duration(slowestRate * float64(s.now.Sub(w.since)))
}

// lapse ends what has no lease any more.
func (s *scene) lapse() {
	for _, w := range s.workers {
		if w.run != 0 && s.clock(w) > w.lease {
			s.endRun(w, workload.EndLapsed)
		}
	}
}

func (s *scene) endRun(w *sceneWorker, how workload.RunEnd) {
	w.number++
	w.ended = append(w.ended, workload.EndedRun{Number: w.number, Task: task("j", 0, 0), Run: w.run, How: how})
	w.run = 0
}

// deliver carries out the orders whose time has come.
func (s *scene) deliver() {
	left := s.orders[:0]
	for _, o := range s.orders {
		w := s.worker(o.start.Worker.ID)
		if s.now.Before(o.at) || w.frozen {
			left = append(left, o)
			continue
		}
		// A start that is carried out late ends with the life that it was sent to.
		if o.born == w.Incarnation {
			s.carryOut(w, o.start, o.fence)
		}
	}
	s.orders = left
}

func (s *scene) worker(id string) *sceneWorker {
	return s.workers[slices.IndexFunc(s.workers, func(w *sceneWorker) bool { return w.ID == id })]
}

func (s *scene) reaches(h *sceneHolder, w *sceneWorker) bool {
	return !h.cut && h.cutFrom != w && !w.frozen && !w.gone && (!w.cut || h == s.first)
}

func (s *scene) act(h *sceneHolder) {
	for _, id := range h.pool.WorkerIDs() {
		s.hold(h, s.worker(id))
	}
	s.ask(h)
	if h == s.newest && !h.apart {
		s.write(h)
		if seals, changed := h.pool.UnresponsiveRecord(s.now); changed {
			s.seals = seals
			h.pool.UnresponsiveRecorded(seals)
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
func (s *scene) write(h *sceneHolder) {
	b := h.pool.Batch()
	for _, c := range b.Changes {
		s.record = &c.Record
	}
	h.pool.Recorded(b)
}

func (s *scene) hold(h *sceneHolder, w *sceneWorker) {
	next := h.pool.NextHold(w.ID, s.now)
	if w.gone && !h.cut {
		h.pool.Terminated(w.ID, "another worker has its address")
		return
	}
	if !s.reaches(h, w) || h.deaf {
		return
	}
	if h.fence < w.fence {
		if s.told {
			h.until = s.now
		}
		return
	}
	w.fence = h.fence
	s.extend(w, next.LeaseEnd)
	w.ended = slices.DeleteFunc(w.ended, func(e workload.EndedRun) bool {
		return next.Worker.Incarnation == w.Incarnation && e.Number <= next.Acknowledged
	})
	r := workload.Report{Incarnation: w.Incarnation, Clock: s.clock(w), Ended: w.ended}
	if w.run != 0 {
		r.Active = []workload.ActiveRun{{Task: task("j", 0, 0), Run: w.run, Percent: int(s.now.Sub(epoch)/time.Second) % 100}}
	}
	h.pool.Report(w.ID, r, s.now)
}

// extend prolongs a worker's lease, at most to the longest one that it grants.
func (s *scene) extend(w *sceneWorker, end time.Duration) {
	w.lease = max(w.lease, min(end, s.clock(w)+holdMax))
}

func (s *scene) start(h *sceneHolder, a dispatch.Start) {
	w := s.worker(a.Worker.ID)
	if h == s.first && s.late {
		// The last moment at which the worker's clock does not refuse the start.
		left := time.Duration(float64(a.LeaseEnd-s.clock(w)) / slowestRate)
		s.orders = append(s.orders, sceneOrder{a, h.fence, w.Incarnation, s.now.Add(left - sceneTick)})
	} else if w.frozen && !h.cut {
		s.orders = append(s.orders, sceneOrder{a, h.fence, w.Incarnation, s.now})
	} else if s.reaches(h, w) {
		h.pool.StartAnswered(a, s.carryOut(w, a, h.fence), s.clock(w), s.now)
		return
	}
	h.pool.StartAnswered(a, dispatch.Unanswered, 0, s.now)
}

// accepts reports whether a worker would carry out a start now.
func (s *scene) accepts(w *sceneWorker, a dispatch.Start, fence uint64) bool {
	return fence >= w.fence && s.clock(w) <= a.LeaseEnd && a.Run > w.least
}

// carryOut is a start at the worker; it checks the oracle's rule.
func (s *scene) carryOut(w *sceneWorker, a dispatch.Start, fence uint64) dispatch.StartAnswer {
	if w.gone || !s.accepts(w, a, fence) {
		return dispatch.Refused
	}
	for _, other := range s.workers {
		if other.run != 0 {
			s.t.Errorf("%s: start on %s with fence %d %v after the loss: run %d is on %s", s.name, w.ID, fence, s.now.Sub(lossAt), other.run, other.ID)
		}
	}
	for _, o := range s.orders {
		if other := s.worker(o.start.Worker.ID); other != w && o.born == other.Incarnation && !other.gone && s.accepts(other, o.start, o.fence) && s.now.Before(o.at) {
			s.t.Errorf("%s: start on %s with fence %d %v after the loss: run %d may begin late on %s", s.name, w.ID, fence, s.now.Sub(lossAt), o.start.Run, other.ID)
		}
	}
	w.fence, w.run, w.least = fence, a.Run, a.Run
	s.extend(w, a.LeaseEnd)
	return dispatch.Present
}

func (s *scene) stop(h *sceneHolder, a dispatch.Stop) {
	w := s.worker(a.Worker.ID)
	if !s.reaches(h, w) || h.fence < w.fence || (h == s.first && s.late) {
		return
	}
	w.fence, w.least = h.fence, max(w.least, a.Run)
	if w.run == a.Run {
		s.endRun(w, workload.EndStopped)
	}
	h.pool.StopAnswered(a, s.clock(w))
}

// wantTaskHeld checks that the task runs on a worker that follows the last holder.
func (s *scene) wantTaskHeld() {
	s.t.Helper()
	if !slices.ContainsFunc(s.workers, func(w *sceneWorker) bool { return w.run != 0 && w.fence == s.newest.fence }) {
		s.t.Errorf("%s: %v after the loss: got no run that the last holder knows, want one", s.name, s.now.Sub(lossAt))
	}
}
