package routing

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"verbenalanding.example/fleet/internal/hash"
)

func TestMain(m *testing.M) {
	// Small fixed counts keep CI short; -rapid.checks on the command line overrides them.
	_ = flag.Set("rapid.checks", "60")
	_ = flag.Set("rapid.steps", "200")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

type model struct {
	router   *Router
	now      time.Time
	members  []Member
	inFlight map[string]int
	limit    int
	random   uint64
}

func (m *model) setMembers(t *rapid.T) {
	m.members = nil
	for i := range 8 {
		if rapid.IntRange(0, 4).Draw(t, "member") == 0 {
			delete(m.inFlight, fmt.Sprint(i))
			continue
		}
		m.members = append(m.members, Member{ID: fmt.Sprint(i), State: State(max(rapid.IntRange(-5, 2).Draw(t, "state"), 0))})
	}
	m.router.SetMembers(m.now, m.members)
}

func (m *model) pick(t *rapid.T) {
	m.random = hash.Mix(m.random)
	q := Query{Random: m.random, Avoid: fmt.Sprint(rapid.IntRange(0, 8).Draw(t, "avoid"))}
	c, ok := m.router.Pick(q)
	usable, other := 0, 0
	for _, n := range m.members {
		if m.available(n) {
			usable++
			if n.ID != q.Avoid {
				other++
			}
		}
	}
	if !ok && usable > 0 {
		t.Fatalf("nothing picked, although %d instances are usable", usable)
	}
	if !ok {
		return
	}
	for _, n := range m.members {
		if n.ID == c.Instance && (!m.available(n) || n.ID == q.Avoid && other > 0) {
			t.Fatalf("picked %+v with %d in flight, ejected %v, avoid %s", n, m.inFlight[n.ID], !m.router.Usable(n.ID), q.Avoid)
		}
	}
	m.inFlight[c.Instance]++
	m.router.Started(m.now, c.Instance, 50*time.Millisecond)
}

// available reports whether an instance may receive a request; a returned one is unavailable at its ramp limit.
func (m *model) available(n Member) bool {
	ramp := m.router.members[m.router.index[n.ID]].rampLimit
	return n.State == InService && m.router.Usable(n.ID) && m.inFlight[n.ID] < m.limit && (ramp == 0 || m.router.members[m.router.index[n.ID]].load() < ramp)
}

func (m *model) finish(t *rapid.T) {
	id := fmt.Sprint(rapid.IntRange(0, 7).Draw(t, "finish"))
	if m.inFlight[id] == 0 {
		return
	}
	m.inFlight[id]--
	m.router.Finished(m.now, Result{
		Instance: id, Outcome: Outcome(rapid.IntRange(0, 4).Draw(t, "outcome")), Expected: 50 * time.Millisecond,
		Took: time.Duration(rapid.IntRange(1, 2000).Draw(t, "took")) * time.Millisecond,
	})
}

func (m *model) check(t *rapid.T) {
	serving, ejected := 0, 0
	for _, n := range m.members {
		if got, want := m.router.InFlight(n.ID), m.inFlight[n.ID]; got != want {
			t.Fatalf("in flight at %s: got %d, want %d", n.ID, got, want)
		}
		if n.State != InService {
			continue
		}
		serving++
		if !m.router.Usable(n.ID) {
			ejected++
		}
	}
	if 2*ejected > serving {
		t.Fatalf("ejected: got %d of %d, want at most half", ejected, serving)
	}
}

// TestModel guards against picking draining, leaving, full or ejected instances, against picking none although one is
// usable, and against ejecting more than half of the pool, under any order of events.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{router: (&Router{Connections: 12}).Default(), now: time.Unix(0, 0), inFlight: map[string]int{}, limit: 4}
		m.router.SetEntries(3)
		m.setMembers(t)
		t.Repeat(map[string]func(*rapid.T){
			"pick": m.pick, "pick2": m.pick, "pick3": m.pick, "finish": m.finish, "finish2": m.finish, "members": m.setMembers,
			"quota": func(t *rapid.T) {
				m.router.SetQuota(fmt.Sprint(rapid.IntRange(0, 7).Draw(t, "instance")), rapid.IntRange(0, 3).Draw(t, "quota"))
			},
			"tick": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "elapsed")) * time.Millisecond)
				m.router.Tick(m.now)
				if rapid.Bool().Draw(t, "probe") {
					for _, id := range m.router.Probes(m.now, nil) {
						m.router.Probed(m.now, id, rapid.Bool().Draw(t, "good"))
					}
				}
			},
			"": m.check,
		})
	})
}

// simulateFaultyInstance sends requests to ten instances for 20 s; attempts at instance 0 end with outcome after took. It
// returns the part of the requests that instance 0 got and the time of its first ejection, 0 if it was never ejected.
func simulateFaultyInstance(outcome Outcome, took time.Duration) (part float64, ejected time.Duration) {
	r := (&Router{}).Default()
	now := time.Unix(0, 0)
	var members []Member
	for i := range 10 {
		members = append(members, Member{ID: fmt.Sprint(i)})
	}
	r.SetMembers(now, members)
	type end struct {
		at     time.Time
		result Result
	}
	var running []end
	faulty, total, random := 0.0, 0.0, uint64(1)
	for ; now.Before(time.Unix(20, 0)); now = now.Add(5 * time.Millisecond) {
		for i := 0; i < len(running); i++ {
			if !now.Before(running[i].at) {
				r.Finished(now, running[i].result)
				running = append(running[:i], running[i+1:]...)
				i--
			}
		}
		r.Tick(now)
		if len(r.Changes(nil)) > 0 && ejected == 0 {
			ejected = now.Sub(time.Unix(0, 0))
		}
		for _, id := range r.Probes(now, nil) {
			r.Probed(now, id, true)
		}
		random = hash.Mix(random)
		c, ok := r.Pick(Query{Random: random, Repeatable: true})
		if !ok {
			continue
		}
		f := Result{Instance: c.Instance, Took: 50 * time.Millisecond, Expected: 50 * time.Millisecond}
		total++
		if c.Instance == "0" {
			faulty++
			f.Outcome, f.Took = outcome, took
		}
		r.Started(now, c.Instance, f.Expected)
		running = append(running, end{now.Add(f.Took), f})
	}
	return faulty / total, ejected
}

// TestFaultyInstanceIsAvoided guards against sending requests to instances that fail fast, are slow, reject or never
// answer; an equal part would be 0.1.
func TestFaultyInstanceIsAvoided(t *testing.T) {
	for _, c := range []struct {
		name    string
		outcome Outcome
		took    time.Duration
	}{
		{"fails everything fast", Failed, time.Millisecond},
		{"ten times slower", Succeeded, 500 * time.Millisecond},
		{"never answers", TimedOut, 10 * time.Second},
		{"rejects everything", Rejected, time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, ejected := simulateFaultyInstance(c.outcome, c.took)
			if got > 0.03 {
				t.Errorf("part of the requests: got %.3f, want at most 0.03", got)
			}
			if ejected == 0 || ejected > 9*time.Second {
				t.Errorf("first ejection: got %v, want before the first request of 10 s ends", ejected)
			}
		})
	}
	t.Run("healthy", func(t *testing.T) {
		if got, ejected := simulateFaultyInstance(Succeeded, 50*time.Millisecond); got < 0.05 || got > 0.15 || ejected != 0 {
			t.Errorf("part of the requests: got %.3f, ejected after %v, want about 0.1 and never", got, ejected)
		}
	})
}

// newStep returns a function that picks an instance and, once three requests per instance run, ends one of them.
func newStep(instances int) func() {
	r := (&Router{}).Default()
	now, random := time.Unix(0, 0), uint64(1)
	var members []Member
	for i := range instances {
		members = append(members, Member{ID: fmt.Sprint("i", i)})
	}
	r.SetMembers(now, members)
	r.SetEntries(9)
	var running []string
	return func() {
		random = hash.Mix(random)
		now = now.Add(50 * time.Microsecond)
		if c, ok := r.Pick(Query{Random: random}); ok {
			r.Started(now, c.Instance, 5*time.Millisecond)
			running = append(running, c.Instance)
		}
		if len(running) > 3*instances {
			// The last element replaces the removed one, so that the cost of the test itself does not depend on the size.
			k := int(random % uint64(len(running)))
			r.Finished(now, Result{Instance: running[k], Took: 5 * time.Millisecond, Expected: 5 * time.Millisecond})
			running[k] = running[len(running)-1]
			running = running[:len(running)-1]
		}
	}
}

// TestAllocations guards against allocations in a decision, which would make latency depend on the garbage collector.
func TestAllocations(t *testing.T) {
	for _, n := range []int{10, 100, 1000} {
		step := newStep(n)
		for range 10 * n {
			step()
		}
		if got := testing.AllocsPerRun(5000, step); got != 0 {
			t.Errorf("allocations of a decision at %d instances: got %v, want 0", n, got)
		}
	}
}

func BenchmarkDecision(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			step := newStep(n)
			b.ReportAllocs()
			for b.Loop() {
				step()
			}
		})
	}
}
