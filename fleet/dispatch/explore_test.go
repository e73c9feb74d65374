package dispatch_test

import (
	"crypto/sha256"
	"flag"
	"fmt"
	"slices"
	"strings"
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
	"stop":     {2, 0, 1},
	"fate":     {3, 0, 1, 2},
	"late":     {700, 3000},
	"write":    {2, 0, 1},
	"seal":     {2, 0, 1},
	"heard":    {3, 1, 2},
	"list":     {1, 0},
	"read":     {1, 0},
	"delete":   {2, 0, 1},
	"handover": {1, 0},
	"recorded": {1, 0},
}

// faulty are the choices whose other values are faults.
var faulty = map[string]bool{"stop": true, "fate": true, "write": true, "seal": true, "read": true, "delete": true, "handover": true}

// script makes the choices of a model from a list, and the first of each further one.
type script struct {
	list []int
	// names are those of the choices that were made.
	names []string
	// options holds how many values each choice that was made had.
	options []int
	faults  int
	// state and violation are what the script led to.
	state     [sha256.Size]byte
	violation string
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
	s.names = append(s.names, name)
	s.options = append(s.options, len(values))
	if at == len(s.list) {
		s.list = append(s.list, 0)
	}
	if s.list[at] > 0 && faulty[name] {
		s.faults++
	}
	return values[s.list[at]]
}

// tell names the choices of a script.
func (s *script) tell() string {
	var out []string
	for i, name := range s.names {
		if name == "action" {
			name = "\n\t" + exploredActions[s.list[i]].name
		} else {
			name = fmt.Sprintf("%s %d", name, s.list[i])
		}
		out = append(out, name)
	}
	return strings.Join(out, ", ")
}

// exploredActions are what can happen next; late answers, lost orders and lost writes are choices within them.
var exploredActions = []struct {
	name   string
	faults int
	do     func(*model)
}{
	{"holder acts", 0, func(m *model) { m.pass(50 * time.Millisecond); m.act(m.present) }},
	{"lost holders act", 0, (*model).lostAct},
	{"records are written", 0, (*model).record},
	{"a run ends", 0, (*model).endOne},
	{"a registration is heard", 0, func(m *model) { m.register(m.present, m.draw()) }},
	{"time passes", 0, func(m *model) { m.pass(1200 * time.Millisecond) }},
	{"another holder takes over", 1, (*model).takeOver},
	{"the holder leaves", 0, (*model).leave},
	{"a worker is cut off", 1, func(m *model) { w := m.draw(); w.cut = !w.cut }},
	{"a worker starts again", 1, func(m *model) { m.restart(m.draw()) }},
}

// exploredRoots are the situations from which the exploration begins. The job's tasks are not started in any of them.
var exploredRoots = []struct {
	name  string
	begin func(*model)
}{
	{"first holder", func(m *model) { m.store(exploredJob(m)) }},
	{"holder that left", func(m *model) {
		m.act(m.present)
		m.store(exploredJob(m))
		m.leave()
	}},
	{"holder that was lost", func(m *model) {
		m.act(m.present)
		m.store(exploredJob(m))
		m.takeOver()
	}},
}

func exploredJob(m *model) workload.Job {
	return workload.Job{ID: "j", Queue: queue.Name, Pool: "cutting", Terms: queue, Accepted: m.now, Steps: []workload.Step{
		{Tasks: 2, Need: workload.Room{CPU: 2000}, Estimate: time.Second},
		{Tasks: 1, Need: workload.Room{CPU: 2000}, Estimate: time.Second, After: []int{0}},
	}}
}

// play runs a script from a root on, sets the fingerprint of the state that it leads to, and the promise that was broken, if any.
func (s *script) play(root func(*model)) {
	defer func() {
		if r := recover(); r != nil {
			b, ok := r.(broken)
			if !ok {
				panic(r)
			}
			s.violation = string(b)
		}
	}()
	m := newModel(&script{}, 2)
	root(m)
	m.t = s
	for planned := len(s.list); len(s.options) < planned; {
		a := exploredActions[s.pick("action", 0, len(exploredActions)-1)]
		s.faults += a.faults
		a.do(m)
	}
	s.state = sha256.Sum256([]byte(m.fingerprint()))
}

// fingerprint describes the state of holders, workers and store, with times relative to now.
func (m *model) fingerprint() string {
	out := fmt.Sprintln(m.records, m.seals, m.handover, len(m.cancelled), m.noted, m.failures, m.doneLost)
	for _, h := range m.holders() {
		out += fmt.Sprintln(h.fence, h.loaded, h.seen, h.listed, h.until.Sub(m.now), h.pool.Fingerprint(m.now))
	}
	for _, w := range m.workers {
		out += fmt.Sprintln(w.id, w.born, w.fence, max(w.leaseEnd-m.clock(w), 0), w.runs, w.number, w.least, w.cut, w.unregistered, w.left)
		for _, e := range w.ended {
			out += fmt.Sprintln(e.EndedRun, e.lapsed, m.now.Sub(e.at))
		}
	}
	for _, l := range m.late {
		out += fmt.Sprintln("late", l.order.Worker.ID, l.born, l.order.Task, l.order.Run, l.fence, l.at.Sub(m.now))
	}
	return out
}

// successors returns the scripts of everything that can happen after a script, played.
func successors(root func(*model), list []int) []*script {
	var out []*script
	for a := range exploredActions {
		next := append(slices.Clone(list), a)
		for next != nil {
			s := &script{list: next}
			s.play(root)
			out = append(out, s)
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

// Guards against an unsafe order of events that random runs miss: several holders, two workers and three tasks, with all lost, late and
// repeated calls, are explored breadth first with the product's decisions.
func TestAllOrdersOfEventsKeepThePromises(t *testing.T) {
	for _, root := range exploredRoots {
		t.Run(root.name, func(t *testing.T) { explore(t, root.begin) })
	}
}

func explore(t *testing.T, root func(*model)) {
	seen := map[[sha256.Size]byte]bool{}
	queue := [][]int{nil}
	expanded, depth := 0, 0
	for len(queue) > 0 && expanded < *exploredStates/len(exploredRoots) {
		list := queue[0]
		queue = queue[1:]
		expanded++
		for _, s := range successors(root, list) {
			if s.faults > *exploredFaults {
				continue
			}
			if s.violation != "" {
				t.Fatalf("%d states expanded, after %v: %s", expanded, s.tell(), s.violation)
			}
			if !seen[s.state] {
				seen[s.state] = true
				queue = append(queue, s.list)
				depth = max(depth, len(s.list))
			}
		}
	}
	t.Logf("%d states expanded, %d seen, scripts of up to %d choices, %d left", expanded, len(seen), depth, len(queue))
}
