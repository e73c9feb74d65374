package flood

import (
	"slices"
	"strconv"
	"time"

	"verbenalanding.example/fleet/admission"
	"verbenalanding.example/fleet/retry"
	"verbenalanding.example/fleet/routing"
)

// policy selects the package that a baseline replaces: admission by a first come, first served queue, routing by round robin, or the retry
// budget by unlimited retries.
type policy struct {
	name          string
	fcfs          bool
	roundRobin    bool
	noRetryBudget bool
}

var policies = []policy{
	{name: "policy"},
	{name: "fcfs, static limits", fcfs: true},
	{name: "round robin", roundRobin: true},
	{name: "no retry budget", noRetryBudget: true},
}

// entry is a simulated entry instance.
type entry struct {
	sim         *simulation
	id          string
	pool        *admission.Pool
	router      *routing.Router
	budget      *retry.Budget
	waiting     map[uint64]*request
	lastID      uint64
	members     []admission.Member
	changes     []routing.Change
	rotation    int
	staticQueue firstCome
	// openAttempts holds the attempts without a result.
	openAttempts map[*attempt]bool
}

func newEntry(m *simulation, i int) *entry {
	e := &entry{sim: m, id: "e" + strconv.Itoa(i), waiting: map[uint64]*request{}, openAttempts: map[*attempt]bool{}, rotation: i}
	e.pool = (&admission.Pool{Self: e.id}).Default()
	e.router = (&routing.Router{DataCentre: dataCentre(i)}).Default()
	e.budget = (&retry.Budget{}).Default()
	e.staticQueue.limit = m.pool.instances * slotsPerInstance / entryCount
	e.execute(e.pool.Configure(m.currentTime(), e.configuration()))
	var members []routing.Member
	for k, s := range m.servers {
		e.members = append(e.members, admission.Member{ID: s.id, Slots: slotsPerInstance, InService: true, RoundTrip: 2 * m.deployment.hop})
		members = append(members, routing.Member{ID: s.id, DataCentre: dataCentre(k), RoundTrip: 2 * m.deployment.hop})
	}
	var peers []string
	for k := range entryCount {
		if k != i {
			peers = append(peers, "e"+strconv.Itoa(k))
		}
	}
	e.router.SetMembers(m.currentTime(), members)
	e.router.SetEntries(entryCount)
	e.pool.SetPeers(m.currentTime(), peers)
	e.execute(e.pool.SetMembers(m.currentTime(), e.members))
	e.setQuotas()
	return e
}

func dataCentre(i int) string { return "dc" + strconv.Itoa(i%3) }

func (e *entry) configuration() admission.Config {
	var c admission.Config
	for i, v := range e.sim.pool.services {
		expected := v.meanTime
		if e.sim.scenario.wrongServiceTimes {
			if expected *= 10; i%2 == 1 {
				expected /= 100
			}
		}
		c.Services = append(c.Services, admission.Service{Name: v.name, Class: v.class, Share: v.guaranteedShare, Expected: expected})
	}
	return c
}

func (e *entry) arrive(r *request) {
	if e.sim.policy.fcfs {
		e.staticQueue.arrive(e, r)
		return
	}
	e.lastID++
	e.waiting[e.lastID] = r
	ref, actions := e.pool.Arrive(e.sim.currentTime(), admission.Arrival{
		ID: e.lastID, Service: e.sim.pool.services[r.service].name, Deadline: epoch.Add(r.deadline),
	})
	r.ref = ref
	e.execute(actions)
}

// execute carries out the actions of admission. The pool reuses the slice of actions and must not be called within the loop, so requests
// without an available instance end after it.
func (e *entry) execute(actions []admission.Action) {
	var unplaced []*request
	for _, a := range actions {
		r := e.waiting[a.ID]
		delete(e.waiting, a.ID)
		switch a.Kind {
		case admission.Dispatch:
			r.ref = a.Ref
			if !e.attempt(r, "") {
				unplaced = append(unplaced, r)
			}
		case admission.Refuse:
			e.sim.endRequest(r, refused)
		case admission.Expire:
			e.sim.endRequest(r, expired)
		}
	}
	for _, r := range unplaced {
		e.sim.endRequest(r, refused)
		e.releaseSlot(r)
	}
}

// attempt sends a request to an instance. It returns false if no instance is available.
func (e *entry) attempt(r *request, avoid string) bool {
	server, timeout, ok := e.pick(r, avoid)
	if !ok {
		return false
	}
	if r.attempts == 0 {
		e.budget.Request()
	}
	r.attempts++
	expected := e.pool.ServiceTime(e.sim.pool.services[r.service].name)
	e.router.Started(e.sim.currentTime(), server.id, expected)
	e.pool.Started(e.sim.currentTime(), r.ref, server.id)
	a := &attempt{request: r, server: server, expected: expected, number: e.sim.attemptCount}
	e.sim.attemptCount++
	e.openAttempts[a] = true
	e.sim.send(a, timeout)
	return true
}

// pick chooses an instance for an attempt and returns it with the attempt's timeout, or 0 if only the deadline limits the attempt. The second
// character of an instance ID encodes the index of its server, with a as 0.
func (e *entry) pick(r *request, avoid string) (*server, time.Duration, bool) {
	if e.sim.policy.roundRobin {
		e.rotation++
		return e.sim.servers[e.rotation%len(e.sim.servers)], 0, true
	}
	c, ok := e.router.Pick(routing.Query{
		Random: e.sim.random.Uint64(), Avoid: avoid, Repeatable: e.sim.pool.services[r.service].repeatable,
	})
	if !ok {
		return nil, 0, false
	}
	return e.sim.servers[c.Instance[1]-'a'], c.Timeout, true
}

// attemptEnded handles the result of an attempt. It either retries the request, which keeps its slot, or ends the request.
func (e *entry) attemptEnded(a *attempt, routingOutcome routing.Outcome, admissionResult admission.Result, retryOutcome retry.Outcome) {
	delete(e.openAttempts, a)
	now, v := e.sim.currentTime(), e.sim.pool.services[a.service]
	took := e.sim.now - a.sent
	e.router.Finished(now, routing.Result{Instance: a.server.id, Outcome: routingOutcome, Took: took, Expected: a.expected})
	e.pool.Completed(now, admission.Completion{Ref: a.ref, Instance: a.server.id, Result: admissionResult, Took: took})
	e.applyChanges()
	if retryOutcome == retry.Completed {
		e.sim.endRequest(a.request, completed)
		e.releaseSlot(a.request)
		return
	}
	decision := a.decision
	if !decision.Retry {
		decision = e.decide(a, retryOutcome, v)
	}
	if !decision.Retry {
		requestOutcome := unknown
		if retryOutcome == retry.NotSent {
			requestOutcome = refused
		}
		e.sim.endRequest(a.request, requestOutcome)
		e.releaseSlot(a.request)
		return
	}
	e.sim.schedule(e.sim.now+decision.Delay, func() {
		if !e.attempt(a.request, a.server.id) {
			e.sim.endRequest(a.request, refused)
			e.releaseSlot(a.request)
		}
	})
}

func (e *entry) decide(a *attempt, retryOutcome retry.Outcome, v service) retry.Decision {
	if e.sim.policy.noRetryBudget {
		return retry.Decision{Retry: (v.repeatable || retryOutcome == retry.NotSent) && e.sim.now < a.deadline}
	}
	return e.budget.Decide(e.sim.currentTime(), retry.Attempt{
		Outcome: retryOutcome, ByteSent: retryOutcome != retry.NotSent, Repeatable: v.repeatable, Number: a.attempts,
		Deadline: epoch.Add(a.deadline), Expected: e.pool.ServiceTime(v.name), Random: e.sim.random.Uint64(),
	})
}

func (e *entry) releaseSlot(r *request) {
	if e.sim.policy.fcfs {
		e.staticQueue.releaseSlot(e)
		return
	}
	e.execute(e.pool.SlotFreed(e.sim.currentTime(), r.ref))
}

func (e *entry) tick() {
	e.router.Tick(e.sim.currentTime())
	for _, id := range e.router.Probes(e.sim.currentTime(), nil) {
		e.probe(e.sim.servers[id[1]-'a'])
	}
	e.applyChanges()
	if !e.sim.policy.fcfs {
		e.execute(e.pool.Tick(e.sim.currentTime()))
		e.setQuotas()
	}
}

// probe sends a health probe to a server. A hung server does not answer; a refusing one fails the probe.
func (e *entry) probe(s *server) {
	wait := 2 * e.sim.deployment.hop
	if s.hung {
		wait = routing.ProbeTimeout
	}
	e.sim.schedule(e.sim.now+wait, func() {
		e.router.Probed(e.sim.currentTime(), s.id, !s.hung && !s.refusing)
		e.applyChanges()
	})
}

// applyChanges passes the ejections and returns of instances on from routing to admission.
func (e *entry) applyChanges() {
	e.changes = e.router.Changes(e.changes[:0])
	if len(e.changes) == 0 {
		return
	}
	for i := range e.members {
		e.members[i].Ejected = !e.router.Usable(e.members[i].ID)
	}
	if e.sim.policy.roundRobin {
		return
	}
	unreachable := map[string]bool{}
	for _, c := range e.changes {
		if c.Ejected && c.Reason == routing.Unreachable {
			unreachable[c.Instance] = true
		}
	}
	e.execute(e.pool.SetMembers(e.sim.currentTime(), e.members))
	e.abandonUnreachable(unreachable)
}

// abandonUnreachable times out the attempts at unreachable instances early if their requests may be retried.
func (e *entry) abandonUnreachable(unreachable map[string]bool) {
	var abandoned []*attempt
	for a := range e.openAttempts {
		if unreachable[a.server.id] {
			abandoned = append(abandoned, a)
		}
	}
	slices.SortFunc(abandoned, func(a, b *attempt) int { return a.number - b.number })
	for _, a := range abandoned {
		if a.closed {
			continue
		}
		if a.decision = e.decide(a, retry.Unknown, e.sim.pool.services[a.service]); a.decision.Retry {
			e.sim.close(a, routing.TimedOut, admission.TimedOut, retry.Unknown)
		}
	}
}

func (e *entry) setQuotas() {
	for _, s := range e.sim.servers {
		e.router.SetQuota(s.id, e.pool.Quota(s.id))
	}
}

func (e *entry) heartbeat() {
	demand := e.pool.Demand(nil)
	e.sim.schedule(e.sim.now+time.Millisecond, func() {
		for _, p := range e.sim.entries {
			switch {
			case p == e:
			case len(demand) == 0:
				p.pool.PeerHeartbeat(e.sim.currentTime(), e.id)
			default:
				p.pool.PeerDemand(e.sim.currentTime(), e.id, demand)
			}
		}
	})
}

// cancelMost cancels 80% of the waiting requests.
func (e *entry) cancelMost() {
	var ids []uint64
	for id := uint64(1); id <= e.lastID; id++ {
		if e.waiting[id] != nil && e.sim.random.IntN(10) < 8 {
			ids = append(ids, id)
		}
	}
	for _, id := range ids {
		// A cancellation can dispatch other requests, including ones that were selected for cancellation.
		r := e.waiting[id]
		if r == nil {
			continue
		}
		delete(e.waiting, id)
		e.sim.endRequest(r, cancelled)
		e.execute(e.pool.Cancel(e.sim.currentTime(), r.ref))
	}
	e.staticQueue.cancelMost(e)
}
