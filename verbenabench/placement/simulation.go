package placement

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"verbenalanding.example/fleet/declaration"
	policy "verbenalanding.example/fleet/placement"
	"verbenalanding.example/fleet/platform"
)

// driver passes the events of a simulation to a placement and returns the placement's actions.
type driver interface {
	workerUp(now time.Time, w policy.Worker)
	workerDown(now time.Time, id string)
	submit(now time.Time, j *jobModel)
	// confirmed reports that a worker has started a job.
	confirmed(now time.Time, j *jobModel, worker string)
	cancel(now time.Time, jobs []*jobModel)
	used(now time.Time, j *jobModel, used platform.Resources, asOf time.Time)
	// ended reports the outcome of an attempt.
	ended(now time.Time, n attemptEnd)
	tick(now time.Time) []policy.Action
}

// simulation runs one scenario against one driver.
type simulation struct {
	driver         driver
	workers        map[string]*workerModel
	orderedWorkers []*workerModel
	jobs           map[string]*jobModel
	running        map[string]*taskModel
	workerOf       map[string]*workerModel
	pendingEnds    []attemptEnd
	now            time.Time
	// usefulWork is what successful jobs used, and offeredWork the capacity of the workers, in seconds of a thousandth of a core.
	usefulWork  float64
	offeredWork float64
	started     int
	// longestTick is the longest real time of a tick of the driver.
	longestTick time.Duration
}

// newSimulation returns a simulation with the workers of a fleet, of which a random share is bad.
func newSimulation(f *fleetModel, d driver, begin time.Time, badShare float64, r *rand.Rand) *simulation {
	s := &simulation{
		driver: d, workers: map[string]*workerModel{}, jobs: map[string]*jobModel{}, running: map[string]*taskModel{},
		workerOf: map[string]*workerModel{}, now: begin,
	}
	for _, w := range f.workers {
		m := &workerModel{Worker: w, bad: r.Float64() < badShare}
		s.workers[w.ID] = m
		s.orderedWorkers = append(s.orderedWorkers, m)
		d.workerUp(begin, w)
	}
	return s
}

// run simulates the arrivals and faults of a scenario.
func (s *simulation) run(sc scenario, arrivals []*jobModel, length time.Duration) {
	begin := s.now
	rackLossDone, cancellationDone := !sc.rackLost, sc.cancelAt == 0
	for ; s.now.Sub(begin) < length; s.now = s.now.Add(tickEvery) {
		for len(arrivals) > 0 && !arrivals[0].Submitted.After(s.now) {
			s.jobs[arrivals[0].ID] = arrivals[0]
			s.driver.submit(s.now, arrivals[0])
			arrivals = arrivals[1:]
		}
		if !rackLossDone && s.now.Sub(begin) >= length/2 {
			rackLossDone = true
			s.loseRack(s.orderedWorkers[1].Location.Rack)
		}
		if !cancellationDone && s.now.Sub(begin).Seconds() >= sc.cancelAt*length.Seconds() {
			cancellationDone = true
			s.cancelWaiting()
		}
		for _, w := range s.orderedWorkers {
			s.advance(w)
		}
		s.deliverEnds()
		if s.now.Sub(begin)%time.Second == 0 {
			s.reportUsage()
		}
		tickStart := time.Now()
		actions := s.driver.tick(s.now)
		s.longestTick = max(s.longestTick, time.Since(tickStart))
		for _, a := range actions {
			s.execute(a)
		}
	}
}

// advance runs a worker's tasks for one tick. If they need more cores than the worker has, all run slower. If they need more memory, the
// task that exceeds its reservation most fails.
func (s *simulation) advance(w *workerModel) {
	if w.down {
		return
	}
	s.offeredWork += float64(w.Capacity.MilliCores) * tickEvery.Seconds()
	var total platform.Resources
	for _, t := range w.tasks {
		usage := t.job.actual
		usage.MilliCores = usage.MilliCores * int64(t.cpuPercent) / 100
		total = plus(total, usage)
	}
	if total.MemoryBytes > w.Capacity.MemoryBytes {
		worst := slices.MaxFunc(w.tasks, func(a, b *taskModel) int {
			return cmp.Compare(a.job.actual.MemoryBytes-a.reserved.MemoryBytes, b.job.actual.MemoryBytes-b.reserved.MemoryBytes)
		})
		s.endTask(w, worst, failed)
	}
	speed := 1.0
	if total.MilliCores > w.Capacity.MilliCores {
		speed = float64(w.Capacity.MilliCores) / float64(total.MilliCores)
	}
	for _, t := range slices.Clone(w.tasks) {
		t.job.progress += time.Duration(float64(tickEvery) * speed * float64(t.cpuPercent) / 100)
		switch {
		case w.bad && s.now.Sub(t.startedAt) >= failAfter:
			t.job.badWorkerFailures++
			s.endTask(w, t, failed)
		case !t.checkpointAt.IsZero() && !s.now.Before(t.checkpointAt):
			s.endTask(w, t, checkpointed)
		case t.job.progress >= t.job.actualRun:
			s.endTask(w, t, succeeded)
		}
	}
}

// endTask removes a task from its worker. The policy receives the outcome after usageLag.
func (s *simulation) endTask(w *workerModel, t *taskModel, outcome attemptOutcome) {
	w.remove(t)
	j := t.job
	delete(s.running, j.ID)
	delete(s.workerOf, j.ID)
	switch outcome {
	case succeeded:
		j.ended, j.done = s.now, j.actualRun
		s.usefulWork += float64(j.actual.MilliCores) * j.actualRun.Seconds()
	case failed, workerLost:
		j.failures++
		j.progress = 0
		if !j.Repeatable {
			j.lost = true
		}
	case checkpointed:
	}
	s.pendingEnds = append(s.pendingEnds, attemptEnd{deliverAt: s.now.Add(usageLag), job: j, worker: w.ID, outcome: outcome})
}

func (s *simulation) deliverEnds() {
	pending := s.pendingEnds[:0]
	due := make([]attemptEnd, 0, len(s.pendingEnds))
	for _, n := range s.pendingEnds {
		if n.deliverAt.After(s.now) {
			pending = append(pending, n)
			continue
		}
		due = append(due, n)
	}
	s.pendingEnds = pending
	for _, n := range due {
		s.driver.ended(s.now, n)
	}
}

func (s *simulation) reportUsage() {
	asOf := s.now.Add(-usageLag)
	for _, w := range s.orderedWorkers {
		for _, t := range w.tasks {
			if !t.startedAt.After(asOf) {
				s.driver.used(s.now, t.job, t.job.actual, asOf)
			}
		}
	}
}

func (s *simulation) loseRack(rack string) {
	for _, w := range s.orderedWorkers {
		if w.Location.Rack != rack {
			continue
		}
		w.down = true
		for _, t := range slices.Clone(w.tasks) {
			s.endTask(w, t, workerLost)
		}
		s.driver.workerDown(s.now, w.ID)
	}
}

// cancelWaiting cancels the deferrable jobs that have not started.
func (s *simulation) cancelWaiting() {
	var cancelled []*jobModel
	for _, j := range s.jobs {
		if j.Class == declaration.Deferrable && j.started.IsZero() {
			j.cancelled = true
			cancelled = append(cancelled, j)
		}
	}
	slices.SortFunc(cancelled, func(a, b *jobModel) int { return cmp.Compare(a.ID, b.ID) })
	s.driver.cancel(s.now, cancelled)
}

func (s *simulation) execute(a policy.Action) {
	switch a := a.(type) {
	case policy.Start:
		s.startTask(a)
	case policy.Checkpoint:
		if t := s.running[a.Job]; t != nil {
			t.checkpointAt = s.now.Add(checkpointTime)
		}
	case policy.Throttle:
		if t := s.running[a.Job]; t != nil {
			t.cpuPercent = a.Percent
		}
	case policy.Stop:
		if t := s.running[a.Job]; t != nil {
			w := s.workerOf[a.Job]
			w.remove(t)
			delete(s.running, a.Job)
			delete(s.workerOf, a.Job)
			t.job.progress = 0
			s.driver.ended(s.now, attemptEnd{job: t.job, worker: w.ID, outcome: checkpointed})
		}
	case policy.Impossible:
		s.jobs[a.Job].refused = true
	case policy.Wait:
	}
}

func (s *simulation) startTask(a policy.Start) {
	j, w := s.jobs[a.Job], s.workers[a.Worker]
	t := &taskModel{job: j, reserved: a.Reserved, cpuPercent: 100, startedAt: s.now}
	if w.down {
		s.pendingEnds = append(s.pendingEnds, attemptEnd{deliverAt: s.now.Add(usageLag), job: j, worker: w.ID, outcome: workerLost})
		return
	}
	if j.started.IsZero() {
		j.started = s.now
	}
	s.started++
	s.driver.confirmed(s.now, j, w.ID)
	w.tasks = append(w.tasks, t)
	s.running[j.ID] = t
	s.workerOf[j.ID] = w
}
