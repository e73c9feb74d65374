package dispatch_test

import (
	"crypto/sha256"
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"verbenalanding.example/fleet/workload"
)

// Bounds of the exploration; a run by hand goes further.
var (
	exploredStates = flag.Int("explore.states", 3000, "states to expand in the exhaustive exploration")
	exploredFaults = flag.Int("explore.faults", 3, "faults in one history of the exhaustive exploration")
)

// choices are the values that each choice of the model has in the exploration, what goes well first; others have their whole range.
var choices = map[string][]int{
	"stop":  {2, 0, 1},
	"fate":  {3, 0, 1, 2},
	"late":  {700, 3000},
	"write": {2, 0, 1},
	"seal":  {2, 0, 1},
	"heard": {3, 1, 2},
}

// faulty are the choices whose other values are faults.
var faulty = map[string]bool{"stop": true, "fate": true, "write": true, "seal": true}

// script makes the choices of a model from a list, and the first of each further one.
type script struct {
	list []int
	// options holds how many values each choice that was made had.
	options []int
	faults  int
}

// broken is the panic of a promise that was seen broken.
type broken string

func (s *script) Fatalf(format string, args ...any) { panic(broken(fmt.Sprintf(format, args...))) }

func (s *script) pick(name string, low, high int) int {
	values := choices[name]
	if values == nil {
		for v := low; v <= high; v++ {
			values = append(values, v)
		}
	}
	at := len(s.options)
	s.options = append(s.options, len(values))
	if at == len(s.list) {
		s.list = append(s.list, 0)
	}
	if s.list[at] > 0 && faulty[name] {
		s.faults++
	}
	return values[s.list[at]]
}

// exploredActions are what can happen next; late answers, lost orders and lost writes are choices within them.
var exploredActions = []struct {
	name   string
	faults int
	do     func(*model)
}{
	{"holder acts", 0, func(m *model) { m.pass(50 * time.Millisecond); m.act() }},
	{"old holder acts", 0, (*model).oldActs},
	{"records are written", 0, (*model).record},
	{"a run ends", 0, (*model).endOne},
	{"a registration is heard", 0, func(m *model) { m.register(m.draw()) }},
	{"time passes", 0, func(m *model) { m.pass(1200 * time.Millisecond) }},
	{"another holder takes over", 1, (*model).takeOver},
	{"a worker is cut off", 1, func(m *model) { w := m.draw(); w.cut = !w.cut }},
	{"a worker starts again", 1, func(m *model) { m.restart(m.draw()) }},
}

// play runs a script from the beginning and returns the fingerprint of the state that it leads to.
func play(s *script) (state [sha256.Size]byte, violation string) {
	defer func() {
		if r := recover(); r != nil {
			b, ok := r.(broken)
			if !ok {
				panic(r)
			}
			violation = string(b)
		}
	}()
	m := newModel(s, 2)
	j := workload.Job{ID: "j", Queue: queue.Name, Pool: "cutting", Terms: queue, Accepted: m.now, Steps: []workload.Step{
		{Tasks: 2, Need: workload.Room{CPU: 2000}, Estimate: time.Second},
		{Tasks: 1, Need: workload.Room{CPU: 2000}, Estimate: time.Second, After: []int{0}},
	}}
	m.specs[j.ID] = j
	m.pool.AddJob(j, nil, false, m.now)
	for planned := len(s.list); len(s.options) < planned; {
		a := exploredActions[s.pick("action", 0, len(exploredActions)-1)]
		s.faults += a.faults
		a.do(m)
	}
	return sha256.Sum256([]byte(m.fingerprint())), ""
}

// fingerprint describes the state of holders, workers and store, with times relative to now.
func (m *model) fingerprint() string {
	out := fmt.Sprintln(m.fence, m.pool.Fingerprint(m.now), m.records, m.seals, len(m.cancelled), m.noted, m.failures, m.doneLost)
	if m.old != nil && m.now.Before(m.oldUntil) {
		out += fmt.Sprintln("old", m.oldFence, m.oldUntil.Sub(m.now), m.old.Fingerprint(m.now))
	}
	for _, w := range m.workers {
		out += fmt.Sprintln(w.id, w.born, w.fence, max(w.leaseEnd-m.clock(w), 0), w.runs, w.number, w.least, w.cut)
		for _, e := range w.ended {
			out += fmt.Sprintln(e.EndedRun, e.lapsed, m.now.Sub(e.at))
		}
	}
	for _, l := range m.late {
		out += fmt.Sprintln("late", l.order.Worker.ID, l.born, l.order.Task, l.order.Run, l.fence, l.at.Sub(m.now))
	}
	return out
}

// successors returns the scripts of everything that can happen after a script.
func successors(list []int) [][]int {
	var out [][]int
	for a := range exploredActions {
		next := append(slices.Clone(list), a)
		for next != nil {
			s := &script{list: slices.Clone(next)}
			play(s)
			out = append(out, s.list)
			next = advanceScript(s, len(list)+1)
		}
	}
	return out
}

// advanceScript returns the script with the next values of the choices from an index on; nil after the last.
func advanceScript(s *script, from int) []int {
	for i := len(s.list) - 1; i >= from; i-- {
		if s.list[i]+1 < s.options[i] {
			return append(slices.Clone(s.list[:i]), s.list[i]+1)
		}
	}
	return nil
}

// Guards against an unsafe order of events that random runs miss: two holders, two workers and three tasks, with all lost, late and
// repeated calls, are explored breadth first with the product's decisions.
func TestAllOrdersOfEventsKeepThePromises(t *testing.T) {
	seen := map[[sha256.Size]byte]bool{}
	queue := [][]int{nil}
	expanded, depth := 0, 0
	for len(queue) > 0 && expanded < *exploredStates {
		list := queue[0]
		queue = queue[1:]
		expanded++
		for _, next := range successors(list) {
			s := &script{list: next}
			state, violation := play(s)
			if s.faults > *exploredFaults {
				continue
			}
			if violation != "" {
				t.Fatalf("after %v: %s", next, violation)
			}
			if !seen[state] {
				seen[state] = true
				queue = append(queue, next)
				depth = max(depth, len(next))
			}
		}
	}
	t.Logf("%d states expanded, %d seen, scripts of up to %d choices, %d left", expanded, len(seen), depth, len(queue))
}
