package admission

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	// Small fixed counts keep CI short; -rapid.checks on the command line overrides them.
	_ = flag.Set("rapid.checks", "60")
	_ = flag.Set("rapid.steps", "200")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

type modelRequest struct {
	ref      Ref
	deadline time.Time
	running  bool
	instance string
	lost     bool
}

// model is a simple reference model: it tracks only which requests are waiting or running.
type model struct {
	t        *rapid.T
	pool     *Pool
	now      time.Time
	lastID   uint64
	requests map[uint64]*modelRequest
	members  []Member
	services []Service
	freed    []Ref
}

func (m *model) ids(running bool) []uint64 {
	var ids []uint64
	for id := uint64(1); id <= m.lastID; id++ {
		if r := m.requests[id]; r != nil && r.running == running {
			ids = append(ids, id)
		}
	}
	return ids
}

// countedAgainstLimit returns the number of running requests that count against the limit.
func (m *model) countedAgainstLimit() int {
	n := 0
	for _, r := range m.requests {
		if r.running && !r.lost {
			n++
		}
	}
	return n
}

// apply checks the actions: each request ends once, none is dispatched past its deadline or beyond the limit.
func (m *model) apply(actions []Action) {
	dispatched := false
	for _, a := range append([]Action(nil), actions...) {
		r := m.requests[a.ID]
		if r == nil || r.running {
			m.t.Fatalf("action %+v: request is not waiting", a)
		}
		switch a.Kind {
		case Dispatch:
			if !m.now.Before(r.deadline) {
				m.t.Fatalf("request %d dispatched at %v, deadline %v", a.ID, m.now, r.deadline)
			}
			r.running, r.ref, dispatched = true, a.Ref, true
			if len(m.members) > 0 {
				r.instance = m.members[int(a.ID)%len(m.members)].ID
			}
		case Refuse, Expire:
			if a.Reason == NoReason {
				m.t.Fatalf("action %+v has no reason", a)
			}
			delete(m.requests, a.ID)
		}
	}
	if n := m.countedAgainstLimit(); dispatched && n > m.pool.Limit() {
		m.t.Fatalf("running: got %d, want at most the limit %d", n, m.pool.Limit())
	}
	for _, a := range append([]Action(nil), actions...) {
		if r := m.requests[a.ID]; a.Kind == Dispatch && r.instance != "" {
			m.pool.Started(m.now, a.Ref, r.instance)
			for _, n := range m.members {
				r.lost = r.lost || n.ID == r.instance && (n.Ejected || !n.InService)
			}
		}
	}
}

func (m *model) check() {
	if got, want := m.pool.InFlight(), len(m.ids(true)); got != want {
		m.t.Fatalf("slots in use: got %d, want %d", got, want)
	}
	queued, slots, limit := 0, 0, 0
	for _, s := range m.services {
		queued += m.pool.Queued(s.Name)
		if got := m.pool.Queued(s.Name); got > s.Queue {
			m.t.Fatalf("queue of %s: got %d, want at most %d", s.Name, got, s.Queue)
		}
	}
	if want := len(m.ids(false)); queued != want {
		m.t.Fatalf("waiting: got %d, want %d", queued, want)
	}
	for _, n := range m.members {
		if got := m.pool.Quota(n.ID); got > n.Slots || !n.InService && got > 0 {
			m.t.Fatalf("quota of %+v: got %d", n, got)
		}
		if n.InService {
			slots += n.Slots
			limit = max(limit, 1)
		}
	}
	if got, want := m.pool.Limit(), max(limit, slots+1); got > want {
		m.t.Fatalf("limit: got %d, want at most %d", got, want)
	}
}

func (m *model) configure(t *rapid.T) {
	m.services = nil
	for i := range rapid.IntRange(1, 4).Draw(t, "services") {
		m.services = append(m.services, Service{
			Name: fmt.Sprintf("s%d", i), Class: Class(rapid.IntRange(0, 2).Draw(t, "class")),
			Share: rapid.IntRange(0, 30).Draw(t, "share"), Queue: rapid.IntRange(1, 20).Draw(t, "queue"),
			CallerRate: float64(rapid.SampledFrom([]int{0, 0, 5}).Draw(t, "rate")),
			Expected:   time.Duration(rapid.IntRange(0, 1000).Draw(t, "expected")) * time.Millisecond,
		})
	}
	m.apply(m.pool.Configure(m.now, Config{Services: m.services, Teams: []Team{{Key: 1, Rate: 50}}}))
}

func (m *model) setMembers(t *rapid.T) {
	m.members = nil
	for i := range rapid.IntRange(0, 4).Draw(t, "members") {
		m.members = append(m.members, Member{
			ID: fmt.Sprintf("i%d", i), Slots: rapid.IntRange(1, 4).Draw(t, "slots"),
			InService: rapid.Bool().Draw(t, "inService"), Ejected: rapid.IntRange(0, 3).Draw(t, "ejected") == 0,
		})
	}
	for _, r := range m.requests {
		if !r.running || r.instance == "" || r.lost {
			continue
		}
		r.lost = true
		for _, n := range m.members {
			if n.ID == r.instance {
				r.lost = n.Ejected || !n.InService
			}
		}
	}
	m.apply(m.pool.SetMembers(m.now, m.members))
}

func (m *model) arrive(t *rapid.T) {
	for range rapid.IntRange(1, 6).Draw(t, "arrivals") {
		m.arriveOne(t)
	}
}

func (m *model) arriveOne(t *rapid.T) {
	m.lastID++
	r := &modelRequest{deadline: m.now.Add(time.Duration(rapid.IntRange(-10, 3000).Draw(t, "deadline")) * time.Millisecond)}
	m.requests[m.lastID] = r
	ref, actions := m.pool.Arrive(m.now, Arrival{
		ID: m.lastID, Service: fmt.Sprintf("s%d", rapid.IntRange(0, 4).Draw(t, "service")), Deadline: r.deadline,
		Caller: uint64(rapid.IntRange(0, 2).Draw(t, "caller")), Team: uint64(rapid.IntRange(0, 1).Draw(t, "team")),
	})
	r.ref = ref
	m.apply(actions)
}

func (m *model) finish(t *rapid.T) {
	ids := m.ids(true)
	if len(ids) == 0 {
		return
	}
	id := rapid.SampledFrom(ids).Draw(t, "finish")
	r := m.requests[id]
	m.pool.Completed(m.now, Completion{
		Ref: r.ref, Instance: r.instance, Result: Result(rapid.IntRange(0, 4).Draw(t, "result")),
		Took: time.Duration(rapid.IntRange(1, 800).Draw(t, "took")) * time.Millisecond,
	})
	delete(m.requests, id)
	ref := r.ref
	m.apply(m.pool.SlotFreed(m.now, ref))
	// A slot freed twice, also much later, must not free the slot of another request.
	m.freed = append(m.freed, ref)
	m.apply(m.pool.SlotFreed(m.now, rapid.SampledFrom(m.freed).Draw(t, "again")))
}

func (m *model) cancel(t *rapid.T) {
	running := rapid.Bool().Draw(t, "running")
	ids := m.ids(running)
	if len(ids) == 0 {
		return
	}
	id := rapid.SampledFrom(ids).Draw(t, "cancel")
	ref := m.requests[id].ref
	if !running {
		delete(m.requests, id)
	}
	m.apply(m.pool.Cancel(m.now, ref))
}

func (m *model) peers(t *rapid.T) {
	var ids []string
	for i := range rapid.IntRange(0, 4).Draw(t, "peers") {
		ids = append(ids, fmt.Sprintf("e%d", i))
	}
	m.pool.SetPeers(m.now, ids)
	for _, id := range ids {
		if rapid.Bool().Draw(t, "heard") {
			m.pool.PeerDemand(m.now, id, []ServiceDemand{{Service: "s0", Slots: rapid.Float64Range(0, 30).Draw(t, "demand")}})
		}
	}
	m.pool.Demand(nil)
}

// TestModel guards against requests that end twice or never, dispatches past the deadline or beyond the limit, queues
// beyond their bound, and slots that are not freed, under any order of events.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{pool: (&Pool{Self: "e1"}).Default(), now: time.Unix(0, 0), requests: map[uint64]*modelRequest{}}
		m.t = t
		m.configure(t)
		m.setMembers(t)
		steps := map[string]func(*rapid.T){
			"arrive": m.arrive, "arrive2": m.arrive, "finish": m.finish, "finish2": m.finish,
			"cancel": m.cancel, "peers": m.peers, "members": m.setMembers, "configure": m.configure,
			"tick": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "elapsed")) * time.Millisecond)
				m.apply(m.pool.Tick(m.now))
			},
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "elapsed")) * time.Millisecond)
			},
			"": func(*rapid.T) { m.check() },
		}
		t.Repeat(steps)
		m.drain()
	})
}

// drain ends all requests and checks that none remains.
func (m *model) drain() {
	for len(m.requests) > 0 {
		ids := m.ids(true)
		for _, id := range ids {
			ref := m.requests[id].ref
			delete(m.requests, id)
			m.apply(m.pool.SlotFreed(m.now, ref))
		}
		m.now = m.now.Add(time.Second)
		m.apply(m.pool.Tick(m.now))
	}
	m.check()
}
