package flood

import (
	"slices"
	"strconv"
	"time"

	"verbenalanding.example/fleet/admission"
	"verbenalanding.example/fleet/retry"
	"verbenalanding.example/fleet/routing"
)

// policy selects which of the decision packages a baseline replaces.
type policy struct {
	name       string
	fcfs       bool
	roundRobin bool
	noBudget   bool
}

var policies = []policy{
	{name: "policy"},
	{name: "fcfs, static limits", fcfs: true},
	{name: "round robin", roundRobin: true},
	{name: "no retry budget", noBudget: true},
}

// entry is one entry instance of the model.
type entry struct {
	m        *simulation
	id       string
	pool     *admission.Pool
	router   *routing.Router
	budget   *retry.Budget
	waiting  map[uint64]*request
	next     uint64
	members  []admission.Member
	changes  []routing.Change
	rotation int
	static   firstCome
	// open is the attempts without a result.
	open map[*attempt]bool
}

func newEntry(m *simulation, i int) *entry {
	e := &entry{m: m, id: "e" + strconv.Itoa(i), waiting: map[uint64]*request{}, open: map[*attempt]bool{}, rotation: i}
	e.pool = (&admission.Pool{Self: e.id}).Default()
	e.router = (&routing.Router{DataCentre: dataCentre(i)}).Default()
	e.budget = (&retry.Budget{}).Default()
	e.static.limit = m.pool.instances * slots / entryCount
	e.act(e.pool.Configure(m.time(), e.configuration()))
	var members []routing.Member
	for k, s := range m.servers {
		e.members = append(e.members, admission.Member{ID: s.id, Slots: slots, InService: true, RoundTrip: 2 * m.deployment.hop})
		members = append(members, routing.Member{ID: s.id, DataCentre: dataCentre(k), RoundTrip: 2 * m.deployment.hop})
	}
	var peers []string
	for k := range entryCount {
		if k != i {
			peers = append(peers, "e"+strconv.Itoa(k))
		}
	}
	e.router.SetMembers(m.time(), members)
	e.router.SetEntries(entryCount)
	e.pool.Peers(m.time(), peers)
	e.act(e.pool.Members(m.time(), e.members))
	e.setQuotas()
	return e
}

func dataCentre(i int) string { return "dc" + strconv.Itoa(i%3) }

func (e *entry) configuration() admission.Config {
	var c admission.Config
	for i, v := range e.m.pool.services {
		expected := v.mean
		if e.m.scenario.wrongTimes {
			if expected *= 10; i%2 == 1 {
				expected /= 100
			}
		}
		c.Services = append(c.Services, admission.Service{Name: v.name, Class: v.class, Share: v.share, Expected: expected})
	}
	return c
}

func (e *entry) arrive(r *request) {
	if e.m.policy.fcfs {
		e.static.arrive(e, r)
		return
	}
	e.next++
	e.waiting[e.next] = r
	ref, actions := e.pool.Arrive(e.m.time(), admission.Arrival{
		ID: e.next, Service: e.m.pool.services[r.service].name, Deadline: epoch.Add(r.deadline),
	})
	r.ref = ref
	e.act(actions)
}

// act carries out the actions of admission. The slice is reused, so nothing may call the pool before the loop ends;
// requests for which no instance is found are ended afterwards.
func (e *entry) act(actions []admission.Action) {
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
			e.m.end(r, refused)
		case admission.Expire:
			e.m.end(r, expired)
		}
	}
	for _, r := range unplaced {
		e.m.end(r, refused)
		e.freed(r)
	}
}

// attempt sends a request to an instance; it returns false if there is none.
func (e *entry) attempt(r *request, avoid string) bool {
	server, patience, ok := e.pick(r, avoid)
	if !ok {
		return false
	}
	if r.attempts == 0 {
		e.budget.Request()
	}
	r.attempts++
	expected := e.pool.ServiceTime(e.m.pool.services[r.service].name)
	e.router.Started(e.m.time(), server.id, expected)
	e.pool.Started(e.m.time(), r.ref, server.id)
	a := &attempt{request: r, server: server, expected: expected, number: e.m.attempts}
	e.m.attempts++
	e.open[a] = true
	e.m.send(a, patience)
	return true
}

func (e *entry) pick(r *request, avoid string) (*server, time.Duration, bool) {
	if e.m.policy.roundRobin {
		e.rotation++
		return e.m.servers[e.rotation%len(e.m.servers)], 0, true
	}
	c, ok := e.router.Pick(routing.Query{
		Random: e.m.random.Uint64(), Avoid: avoid, Repeatable: e.m.pool.services[r.service].repeatable,
	})
	if !ok {
		return nil, 0, false
	}
	return e.m.servers[c.Instance[1]-'a'], c.Timeout, true
}

// ended handles the end of an attempt: a retry on the same slot, or the end of the request.
func (e *entry) ended(a *attempt, o routing.Outcome, c admission.Result, known retry.Outcome) {
	delete(e.open, a)
	now, v := e.m.time(), e.m.pool.services[a.service]
	took := e.m.now - a.sent
	e.router.Finished(now, routing.Result{Instance: a.server.id, Outcome: o, Took: took, Expected: a.expected})
	e.pool.Completed(now, admission.Completion{Ref: a.ref, Instance: a.server.id, Result: c, Took: took})
	e.applyChanges()
	if known == retry.Completed {
		e.m.end(a.request, good)
		e.freed(a.request)
		return
	}
	decision := a.decision
	if !decision.Retry {
		decision = e.decide(a, known, v)
	}
	if !decision.Retry {
		o := unknown
		if known == retry.NotSent {
			o = refused
		}
		e.m.end(a.request, o)
		e.freed(a.request)
		return
	}
	e.m.at(e.m.now+decision.Delay, func() {
		if !e.attempt(a.request, a.server.id) {
			e.m.end(a.request, refused)
			e.freed(a.request)
		}
	})
}

func (e *entry) decide(a *attempt, known retry.Outcome, v service) retry.Decision {
	if e.m.policy.noBudget {
		return retry.Decision{Retry: (v.repeatable || known == retry.NotSent) && e.m.now < a.deadline}
	}
	return e.budget.Decide(e.m.time(), retry.Attempt{
		Outcome: known, ByteSent: known != retry.NotSent, Repeatable: v.repeatable, Number: a.attempts,
		Deadline: epoch.Add(a.deadline), Expected: e.pool.ServiceTime(v.name), Random: e.m.random.Uint64(),
	})
}

func (e *entry) freed(r *request) {
	if e.m.policy.fcfs {
		e.static.freed(e)
		return
	}
	e.act(e.pool.SlotFreed(e.m.time(), r.ref))
}

func (e *entry) tick() {
	e.router.Tick(e.m.time())
	for _, id := range e.router.Probes(e.m.time(), nil) {
		e.probe(e.m.servers[id[1]-'a'])
	}
	e.applyChanges()
	if !e.m.policy.fcfs {
		e.act(e.pool.Tick(e.m.time()))
		e.setQuotas()
	}
}

// probe asks a server without a caller's request; a hung one does not answer, another one may refuse the connection.
func (e *entry) probe(s *server) {
	wait := 2 * e.m.deployment.hop
	if s.hung {
		wait = routing.ProbeTimeout
	}
	e.m.at(e.m.now+wait, func() {
		e.router.Probed(e.m.time(), s.id, !s.hung && !s.refusing)
		e.applyChanges()
	})
}

// applyChanges tells admission which instances routing ejected or returned.
func (e *entry) applyChanges() {
	e.changes = e.router.Changes(e.changes[:0])
	if len(e.changes) == 0 {
		return
	}
	for i := range e.members {
		e.members[i].Ejected = !e.router.Usable(e.members[i].ID)
	}
	if e.m.policy.roundRobin {
		return
	}
	unreachable := map[string]bool{}
	for _, c := range e.changes {
		if c.Ejected && c.Reason == routing.Unreachable {
			unreachable[c.Instance] = true
		}
	}
	e.act(e.pool.Members(e.m.time(), e.members))
	e.abandon(unreachable)
}

// abandon ends the attempts at unreachable instances that may be repeated now, instead of at their deadlines.
func (e *entry) abandon(unreachable map[string]bool) {
	var stuck []*attempt
	for a := range e.open {
		if unreachable[a.server.id] {
			stuck = append(stuck, a)
		}
	}
	slices.SortFunc(stuck, func(a, b *attempt) int { return a.number - b.number })
	for _, a := range stuck {
		if a.closed {
			continue
		}
		if a.decision = e.decide(a, retry.Unknown, e.m.pool.services[a.service]); a.decision.Retry {
			e.m.close(a, routing.TimedOut, admission.TimedOut, retry.Unknown)
		}
	}
}

func (e *entry) setQuotas() {
	for _, s := range e.m.servers {
		e.router.SetQuota(s.id, e.pool.Quota(s.id))
	}
}

func (e *entry) heartbeat() {
	demand := e.pool.Demand(nil)
	e.m.at(e.m.now+time.Millisecond, func() {
		for _, p := range e.m.entries {
			switch {
			case p == e:
			case len(demand) == 0:
				p.pool.PeerHeartbeat(e.m.time(), e.id)
			default:
				p.pool.PeerDemand(e.m.time(), e.id, demand)
			}
		}
	})
}

// cancelMost makes 80% of the waiting callers leave.
func (e *entry) cancelMost() {
	var leaving []uint64
	for id := uint64(1); id <= e.next; id++ {
		if e.waiting[id] != nil && e.m.random.IntN(10) < 8 {
			leaving = append(leaving, id)
		}
	}
	for _, id := range leaving {
		// A cancellation dispatches others, which may include those that are about to leave.
		r := e.waiting[id]
		if r == nil {
			continue
		}
		delete(e.waiting, id)
		e.m.end(r, cancelled)
		e.act(e.pool.Cancel(e.m.time(), r.ref))
	}
	e.static.cancelMost(e)
}
