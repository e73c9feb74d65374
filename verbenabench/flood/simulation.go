package flood

import (
	"math/rand/v2"
	"time"

	"verbenalanding.example/fleet/admission"
	"verbenalanding.example/fleet/retry"
	"verbenalanding.example/fleet/routing"
)

// epoch is the start of simulated time.
var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// request is a caller's request.
type request struct {
	service     int
	arrived     time.Duration
	deadline    time.Duration
	serviceTime time.Duration
	ref         admission.Ref
	attempts    int
	entry       *entry
	ended       bool
	// workStarted is when the backend server started to execute the request.
	workStarted time.Duration
}

// attempt is an attempt to execute a request on a backend server.
type attempt struct {
	*request
	server *server
	sent   time.Duration
	closed bool
	// expected is the service time that was expected when the attempt started.
	expected time.Duration
	// number is the position in the order in which attempts were created.
	number int
	// decision is set if the attempt was abandoned early for a retry.
	decision retry.Decision
}

// server is a simulated backend server. It executes slotsPerInstance requests at a time; further ones wait in the order of arrival.
type server struct {
	id              string
	busy            int
	openConnections int
	waiting         []*attempt
	hung            bool
	// refusing is true while the server refuses connections.
	refusing bool
	// incarnation is incremented when the server loses its requests, whose scheduled ends are then ignored.
	incarnation int
}

// simulation simulates one pool in one scenario with one policy.
type simulation struct {
	deployment deployment
	pool       pool
	scenario   scenario
	policy     policy
	random     *rand.Rand
	// arrivals holds the random numbers of each service, so that its requests are the same with all policies and in all scenarios that do
	// not change its rate.
	arrivals       []*rand.Rand
	events         eventQueue
	attemptCount   int
	now            time.Duration
	servers        []*server
	entries        []*entry
	result         result
	claimedBatches map[[2]int64]bool
}

func (m *simulation) currentTime() time.Time { return epoch.Add(m.now) }

func (m *simulation) schedule(t time.Duration, run func()) { m.events.push(t, run) }

func (m *simulation) run() result {
	m.claimedBatches = map[[2]int64]bool{}
	m.result.services = make([]tally, len(m.pool.services))
	for i := range m.pool.instances {
		m.servers = append(m.servers, &server{id: "i" + string(rune('a'+i))})
	}
	for i := range entryCount {
		m.entries = append(m.entries, newEntry(m, i))
	}
	for k := range m.pool.services {
		m.nextArrival(k)
	}
	for i, e := range m.entries {
		m.scheduleEvery(time.Duration(i)*11*time.Millisecond, admission.TickInterval, e.tick)
		m.scheduleEvery(time.Duration(i)*110*time.Millisecond, time.Second, e.heartbeat)
	}
	m.scheduleFaults()
	for len(m.events.heap) > 0 {
		e := m.events.pop()
		if e.at > runEnd {
			break
		}
		m.now = e.at
		e.callback()
	}
	return m.result
}

func (m *simulation) scheduleEvery(first, interval time.Duration, run func()) {
	m.schedule(first, func() {
		run()
		m.scheduleEvery(m.now+interval, interval, run)
	})
}

func (m *simulation) scheduleFaults() {
	if m.scenario.rackLost {
		m.schedule(overloadStart+rackLossDelay, func() { m.setRackLost(true) })
		m.schedule(overloadEnd, func() { m.setRackLost(false) })
	}
	if m.scenario.massCancellation {
		m.schedule(overloadStart+10*time.Second, func() {
			for _, e := range m.entries {
				e.cancelMost()
			}
		})
	}
}

// setRackLost starts or ends the loss of the first rack. Half of its servers hang, so that they accept connections but do not answer; the
// others refuse connections.
func (m *simulation) setRackLost(lost bool) {
	for i, s := range m.servers {
		if i < instancesPerRack {
			s.hung, s.refusing = lost && i%2 == 0, lost && i%2 == 1
			s.busy, s.openConnections, s.waiting = 0, 0, nil
			s.incarnation++
		}
	}
}

func (m *simulation) nextArrival(k int) {
	gap := m.arrivals[k].ExpFloat64() / m.scenario.rate(m.pool, k, m.now)
	// The rate can change during a long gap, so such a gap is drawn again after the limit.
	if limit := 500 * time.Millisecond; gap > limit.Seconds() {
		m.schedule(m.now+limit, func() { m.nextArrival(k) })
		return
	}
	m.schedule(m.now+time.Duration(gap*float64(time.Second)), func() {
		m.arrive(k)
		m.nextArrival(k)
	})
}

func (m *simulation) arrive(k int) {
	v := m.pool.services[k]
	r := &request{service: k, arrived: m.now, deadline: m.now + v.deadline, entry: m.chooseEntry(m.arrivals[k])}
	r.serviceTime = time.Duration(m.arrivals[k].ExpFloat64() * float64(v.meanTime))
	m.result.countsOf(r).arrived++
	if v.repeatable {
		r.entry.arrive(r)
		return
	}
	if m.scenario.storeDown && m.now >= overloadStart && m.now < overloadEnd {
		m.endRequest(r, refused)
		return
	}
	m.claim(r)
}

// claim delays a request until the group commit of its shard. The first claim of a batch counts as the store write.
func (m *simulation) claim(r *request) {
	const batch = 100 * time.Millisecond
	key := [2]int64{int64(m.random.IntN(8)), int64(m.now / batch)}
	if !m.claimedBatches[key] {
		m.claimedBatches[key] = true
		m.result.storeCalls++
	}
	m.schedule((m.now/batch+1)*batch+5*time.Millisecond, func() { r.entry.arrive(r) })
}

func (m *simulation) chooseEntry(random *rand.Rand) *entry {
	w := m.scenario.weights(m.now)
	sum := 0.0
	for _, weight := range w {
		sum += weight
	}
	remainder := random.Float64() * sum
	for i := range w {
		if remainder -= w[i]; remainder < 0 {
			return m.entries[i]
		}
	}
	return m.entries[entryCount-1]
}

// send sends an attempt to its server and schedules its timeout, which is at the deadline if the given timeout is 0 or later.
func (m *simulation) send(a *attempt, timeout time.Duration) {
	a.sent = m.now
	limit := a.deadline
	if timeout > 0 {
		limit = min(limit, m.now+timeout)
	}
	m.schedule(m.now+m.deployment.hop, func() { m.receive(a) })
	m.schedule(max(limit, m.now), func() {
		if !a.closed {
			m.close(a, routing.TimedOut, admission.TimedOut, retry.Unknown)
		}
	})
}

func (m *simulation) receive(a *attempt) {
	s := a.server
	if a.closed {
		return
	}
	if s.refusing {
		m.close(a, routing.Failed, admission.Failed, retry.NotSent)
		return
	}
	if s.openConnections >= maxConnections {
		m.close(a, routing.Rejected, admission.Rejected, retry.NotSent)
		return
	}
	s.openConnections++
	if s.hung {
		return
	}
	s.waiting = append(s.waiting, a)
	m.startWork(s)
}

// startWork executes waiting attempts in a server's free slots. It skips attempts whose connections were closed.
func (m *simulation) startWork(s *server) {
	for s.busy < slotsPerInstance && len(s.waiting) > 0 {
		a := s.waiting[0]
		s.waiting = s.waiting[1:]
		if a.closed {
			s.openConnections--
			continue
		}
		s.busy++
		a.workStarted = m.now
		incarnation := s.incarnation
		m.schedule(m.now+a.serviceTime, func() {
			if s.incarnation != incarnation {
				return
			}
			s.busy--
			s.openConnections--
			m.schedule(m.now+m.deployment.hop, func() {
				if !a.closed {
					m.close(a, routing.Succeeded, admission.Succeeded, retry.Completed)
				}
			})
			m.startWork(s)
		})
	}
}

// close ends an attempt and reports the result to its entry instance.
func (m *simulation) close(a *attempt, routingOutcome routing.Outcome, admissionResult admission.Result, retryOutcome retry.Outcome) {
	a.closed = true
	a.entry.attemptEnded(a, routingOutcome, admissionResult, retryOutcome)
}
