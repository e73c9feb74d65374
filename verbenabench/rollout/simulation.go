package rollout

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"verbenalanding.example/fleet/budget"
	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/record"
	"verbenalanding.example/fleet/wave"
)

const (
	// listDelay is the time until a loop sees that an instance has returned: 3 s of lag of the instance list plus a step of 1 s.
	listDelay = 4 * time.Second
	// checkTime is the time of the check, 5 s, plus up to 1 s until the next step.
	checkTime = 6 * time.Second
	// horizon is the time limit of a simulation whose wave does not finish.
	horizon = 60 * 24 * time.Hour
)

// scenario describes the faults and conditions of a wave.
type scenario struct {
	name string
	// rebootsFailFrom and rebootsFailUntil bound the time in which rebooted instances do not return.
	rebootsFailFrom, rebootsFailUntil time.Duration
	// rackLostAt is when the rack of the first stopped instance is lost for an hour.
	rackLostAt time.Duration
	// storeDownAt is when the store goes down for 10 minutes, in which no decisions are made.
	storeDownAt time.Duration
	// rebootFactor is the factor of the actual to the declared reboot time.
	rebootFactor float64
	// equalRebootTimes is true if every reboot takes the declared time. Otherwise reboot times differ by up to a tenth.
	equalRebootTimes bool
	// rebootTimesKnown is true if the wave knows each member's reboot time from an earlier round.
	rebootTimesKnown bool
	// from and until are the wave's daily window. If they are equal, the window is the whole day.
	from, until time.Duration
}

// outcome is the result of a wave in a scenario.
type outcome struct {
	Duration time.Duration `json:"duration"`
	Finished bool          `json:"finished"`
	// Violations is the sum of the budgets that each stop exceeded.
	Violations int `json:"violations"`
	// RequestsCut is the number of requests that were still in flight when their instance rebooted.
	RequestsCut int `json:"cut"`
	// NotReturned is the number of instances that failed to return in time at least once.
	NotReturned int    `json:"broken"`
	Halts       int    `json:"halts"`
	HaltReason  string `json:"haltReason,omitempty"`
	// LatePredicted is the time from the first prediction of a missed deadline to the deadline.
	LatePredicted time.Duration `json:"latePredicted,omitempty"`
	Overdue       time.Duration `json:"overdue,omitempty"`
}

// event is a scheduled change of a member. An event of kind rackLost has no member.
type event struct {
	at     time.Time
	member int
	kind   string
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(a, b int) bool { return e[a].at.Before(e[b].at) }
func (e events) Swap(a, b int)      { e[a], e[b] = e[b], e[a] }

// Push adds an event.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes the last event.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// simulation runs one wave over a fleet.
type simulation struct {
	set             declaration.Set
	index           *budget.Index
	members         []wave.Member
	byID            map[string]int
	record          record.Wave
	scenario        scenario
	random          *rand.Rand
	usage           map[string]*usage
	coveringBudgets [][]string
	start           time.Time
	now             time.Time
	queue           events
	outcome         outcome
	// inFlight is the number of requests in flight at each member, which complete during the drain.
	inFlight []int
	// failedOnce holds the members that failed to return in time at least once.
	failedOnce map[int]bool
	planner    *wave.Planner
	// serial selects the baseline, which stops one instance at a time and never halts.
	serial bool
	// planInterval is the time between two planning steps while there is work to do.
	planInterval time.Duration
}

func newSimulation(set declaration.Set, members []wave.Member, sc scenario, seed int64) *simulation {
	s := &simulation{
		set: set, index: budget.NewIndex(set), members: append([]wave.Member(nil), members...), byID: map[string]int{}, scenario: sc,
		random: rand.New(rand.NewPCG(uint64(seed), 1)), start: time.Date(2027, 3, 1, 21, 0, 0, 0, time.UTC), planner: &wave.Planner{},
		inFlight: make([]int, len(members)), failedOnce: map[int]bool{}, usage: map[string]*usage{},
	}
	w := set.Waves[waveName]
	w.From, w.Until = sc.from, sc.until
	w.ResumeAfter = 30 * time.Minute
	if sc.from != sc.until {
		w.Every = 24 * time.Hour
	}
	s.set.Waves = map[string]declaration.Wave{waveName: w}
	for k, m := range members {
		s.byID[m.ID] = k
		if sc.rebootTimesKnown {
			s.members[k].RebootDuration = s.rebootTimeOf(k)
		}
		s.coveringBudgets = append(s.coveringBudgets, s.index.Covering(m.Member))
	}
	for name := range set.Budgets {
		s.usage[name] = &usage{racks: map[budget.Domain]int{}}
	}
	s.now = s.start
	s.planInterval = time.Second
	if len(members) > 1000 {
		// Plan the large fleet every 5 s, so that the simulation ends within a minute.
		s.planInterval = 5 * time.Second
	}
	s.record = record.Wave{Name: waveName, State: wave.Planned, Round: 1, Since: s.now}
	if sc.rackLostAt > 0 {
		heap.Push(&s.queue, event{at: s.start.Add(sc.rackLostAt), member: -1, kind: "rackLost"})
	}
	return s
}

func (s *simulation) elapsed() time.Duration { return s.now.Sub(s.start) }

// run simulates the wave. It plans in every planInterval with pending work or events, and once a minute otherwise.
func (s *simulation) run() outcome {
	for s.elapsed() < horizon && s.record.State != wave.Finished {
		if !s.storeDown() {
			s.startOrdered()
			s.plan()
		}
		next := s.now.Add(time.Minute)
		if s.hasPendingWork() {
			next = s.now.Add(s.planInterval)
		}
		if len(s.queue) > 0 && s.queue[0].at.Before(next) {
			next = s.queue[0].at.Truncate(s.planInterval).Add(s.planInterval)
		}
		for len(s.queue) > 0 && !s.queue[0].at.After(next) {
			s.apply(heap.Pop(&s.queue).(event))
		}
		s.now = next
	}
	s.outcome.Finished = s.record.State == wave.Finished
	s.outcome.Duration = s.elapsed()
	if !s.record.Deadline.IsZero() {
		s.outcome.Overdue = max(0, s.now.Sub(s.record.Deadline))
	}
	return s.outcome
}

// hasPendingWork reports whether the wave has just changed its state or an ordered stop has not started yet.
func (s *simulation) hasPendingWork() bool {
	if s.record.Since.Equal(s.now) {
		return true
	}
	for _, id := range s.record.Active {
		if s.members[s.byID[id]].State == wave.InService {
			return true
		}
	}
	return false
}

func (s *simulation) storeDown() bool {
	at := s.scenario.storeDownAt
	return at > 0 && s.elapsed() >= at && s.elapsed() < at+10*time.Minute
}

func (s *simulation) plan() {
	if s.serial {
		s.planSerial()
		return
	}
	r := &s.record
	plan := s.planner.Plan(s.planInput())
	r.Failures, r.Deadline = plan.Failures, plan.Deadline
	if plan.Late() != "" && s.outcome.LatePredicted == 0 {
		s.outcome.LatePredicted = plan.Deadline.Sub(s.now)
	}
	for _, a := range plan.Actions {
		switch a := a.(type) {
		case wave.Transition:
			s.transition(a)
		case wave.Begin:
			r.Active = append(r.Active, a.Instance)
		}
	}
}

// startOrdered stops the ordered members if the budgets allow it, as the loops of the pools do.
func (s *simulation) startOrdered() {
	s.record.Active = slices.DeleteFunc(s.record.Active, func(id string) bool {
		k := s.byID[id]
		if s.members[k].State != wave.InService {
			return true
		}
		if s.record.State != wave.Running || s.members[k].Maintained.After(s.record.Started) {
			return true
		}
		s.setState(k, "draining")
		allowed := s.exceededBudgets(k) == 0
		s.setState(k, wave.InService)
		if allowed {
			s.startStop(k)
		}
		return allowed
	})
}

// exceededBudgets returns the number of exceeded budgets that cover a member.
func (s *simulation) exceededBudgets(k int) int {
	n := 0
	for _, name := range s.coveringBudgets[k] {
		if !s.withinLimits(name) {
			n++
		}
	}
	return n
}

func (s *simulation) planInput() wave.Input {
	return wave.Input{
		Now: s.now, Declared: s.set.Waves[waveName], Record: s.record, Budgets: s.set.Budgets, Index: s.index, Members: s.members,
	}
}

func (s *simulation) transition(t wave.Transition) {
	r := &s.record
	r.State = map[string]string{"start": wave.Running, "resume": wave.Running, "halt": wave.Halted, "finish": wave.Finished, "pause": wave.Paused}[t.Event]
	r.Since = s.now
	switch t.Event {
	case "start":
		r.Started, r.Resumed = s.now, s.now
		s.start = s.now
	case "resume":
		r.Resumed = s.now
	case "halt":
		s.outcome.Halts++
		s.outcome.HaltReason = t.Rule
	}
}

// planSerial stops the next instance if none is stopped. It skips failed instances.
func (s *simulation) planSerial() {
	if s.record.State == wave.Planned {
		s.transition(wave.Transition{Event: "start"})
	}
	next := -1
	for k, m := range s.members {
		if m.State != wave.InService && m.State != wave.Failed {
			return
		}
		if m.State == wave.InService && m.Maintained.IsZero() && next < 0 {
			next = k
		}
	}
	if next < 0 {
		s.record.State = wave.Finished
		return
	}
	s.startStop(next)
}

// startStop starts to drain a member and counts a violation for each exceeded budget that covers it.
func (s *simulation) startStop(k int) {
	s.setState(k, "draining")
	s.outcome.Violations += s.exceededBudgets(k)
	s.inFlight[k] = s.random.IntN(9)
	// Requests in flight complete within their service times of up to 5 s.
	service := time.Duration(s.random.Int64N(int64(5 * time.Second)))
	heap.Push(&s.queue, event{at: s.now.Add(service), member: k, kind: "idle"})
	heap.Push(&s.queue, event{at: s.now.Add(service).Truncate(time.Second).Add(time.Second), member: k, kind: "rebooting"})
}

// usage is the usage of one budget, counted independently of the planner.
type usage struct {
	unavailable int
	racks       map[budget.Domain]int
}

// withinLimits reports whether the usage of a budget is within its limits.
func (s *simulation) withinLimits(name string) bool {
	b, u := s.set.Budgets[name], s.usage[name]
	return u.unavailable <= b.MaxUnavailable && (b.MaxRacks == 0 || len(u.racks) <= b.MaxRacks)
}

// setState changes the state of a member and updates the usage of its budgets. Racks count for planned stops only.
func (s *simulation) setState(k int, state string) {
	m := &s.members[k]
	s.addUsage(k, -1)
	m.State, m.Since = state, s.now
	s.addUsage(k, 1)
}

func (s *simulation) addUsage(k, change int) {
	m := s.members[k]
	if m.State == wave.InService {
		return
	}
	for _, name := range s.coveringBudgets[k] {
		u := s.usage[name]
		u.unavailable += change
		if m.State == wave.Failed {
			continue
		}
		rack := budget.RackOf(m.Member)
		if u.racks[rack] += change; u.racks[rack] == 0 {
			delete(u.racks, rack)
		}
	}
}

// rebootTimeOf returns the time of a member's reboot, which differs by up to a tenth between members.
func (s *simulation) rebootTimeOf(k int) time.Duration {
	spread := 0.9 + 0.2*float64((k*7919)%101)/100
	if s.scenario.equalRebootTimes {
		spread = 1
	}
	return time.Duration(float64(rebootTime) * spread * math.Max(1, s.scenario.rebootFactor))
}

func (s *simulation) apply(e event) {
	s.now = e.at
	if e.kind == "rackLost" {
		s.loseRack()
		return
	}
	m := &s.members[e.member]
	switch e.kind {
	case "idle":
		s.inFlight[e.member] = 0
	case "rebooting":
		if m.State != "draining" {
			return
		}
		s.outcome.RequestsCut += s.inFlight[e.member]
		s.setState(e.member, "rebooting")
		m.Wave, m.Round, m.Firmware = waveName, s.record.Round, wave.Firmware(waveName, s.record.Round)
		s.scheduleReboot(e.member)
	case "checking":
		s.setState(e.member, "checking")
		heap.Push(&s.queue, event{at: s.now.Add(checkTime), member: e.member, kind: wave.InService})
	case wave.InService:
		s.setState(e.member, wave.InService)
		m.Maintained = s.now
		m.Attempts = 0
		s.record.Cycles++
		s.record.CycleTime += s.rebootTimeOf(e.member) + listDelay + checkTime
	case wave.Failed:
		s.fail(e.member)
	case "retry":
		s.retry(e.member)
	case "returned":
		s.setState(e.member, wave.InService)
	}
}

// scheduleReboot schedules the results of a reboot: a return, or a retry and a failure if the firmware is bad or the reboot takes too long.
func (s *simulation) scheduleReboot(k int) {
	bad := s.scenario.rebootsFailUntil > 0 && s.elapsed() >= s.scenario.rebootsFailFrom && s.elapsed() < s.scenario.rebootsFailUntil
	expected := time.Duration(rebootTime)
	if s.record.Cycles > 0 {
		expected = max(expected, s.record.CycleTime/time.Duration(s.record.Cycles))
	}
	took, limit := s.rebootTimeOf(k)+listDelay, wave.RebootTimeout(expected)
	if bad || took > limit {
		heap.Push(&s.queue, event{at: s.now.Add(limit), member: k, kind: wave.Failed})
	}
	if bad || took > wave.RebootRetryInterval(expected) {
		heap.Push(&s.queue, event{at: s.now.Add(wave.RebootRetryInterval(expected)), member: k, kind: "retry"})
		return
	}
	heap.Push(&s.queue, event{at: s.now.Add(took), member: k, kind: "checking"})
}

// fail marks a member as failed.
func (s *simulation) fail(k int) {
	s.setState(k, wave.Failed)
	if !s.failedOnce[k] {
		s.outcome.NotReturned++
	}
	s.failedOnce[k] = true
}

// retry reboots a failed member, at most three times.
func (s *simulation) retry(k int) {
	m := &s.members[k]
	if m.Attempts >= wave.MaxAttempts {
		return
	}
	m.Attempts++
	s.setState(k, "rebooting")
	s.scheduleReboot(k)
}

func (s *simulation) loseRack() {
	lost := budget.RackOf(s.members[0].Member)
	for _, m := range s.members {
		if m.State != wave.InService {
			lost = budget.RackOf(m.Member)
			break
		}
	}
	for k, m := range s.members {
		if budget.RackOf(m.Member) == lost {
			s.setState(k, wave.Failed)
			s.inFlight[k] = 0
			heap.Push(&s.queue, event{at: s.now.Add(time.Hour), member: k, kind: "returned"})
		}
	}
}
