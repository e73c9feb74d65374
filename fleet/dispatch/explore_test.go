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
	exploredStates = flag.Int("explore.states", 4000, "states to expand in the exhaustive exploration")
	exploredFaults = flag.Int("explore.faults", 3, "faults in one history of the exhaustive exploration")
)

// exploredWorkers are the workers at the beginning; one more may join.
const exploredWorkers = 2

// choices are the values that each choice of the model has in the exploration, what goes well first; others have their whole range.
var choices = map[string][]int{
	"stop":  {2, 0, 1},
	"fate":  {3, 0, 1, 2},
	"late":  {700, 3000},
	"write": {2, 0, 1},
	"seal":  {2, 0, 1},
	// Registrations are heard by an action of their own.
	"watch":    {0},
	"ms":       {800, 2400},
	"back":     {1500},
	"list":     {1, 0},
	"read":     {1, 0},
	"told":     {1, 0},
	"watched":  {1, 0},
	"ask":      {1, 0},
	"proof":    {1, 0},
	"hold":     {1, 0},
	"listing":  {1, 0},
	"delete":   {2, 0, 1},
	"handover": {1, 0},
	"recorded": {1, 0},
}

// faulty are the choices whose other values are faults.
var faulty = map[string]bool{"stop": true, "fate": true, "write": true, "seal": true, "list": true, "told": true, "watched": true, "ask": true, "proof": true, "hold": true, "listing": true, "read": true, "delete": true, "handover": true}

// script makes the choices of a model from a list, and the first of each further one.
type script struct {
	list []int
	// names are those of the choices that were made.
	names []string
	// options holds how many values each choice that was made had.
	options []int
	actions int
	faults  int
	// most is how many faults the script may have; one with more is not played to its end.
	most int
	// state and violation are what the script led to.
	state     [sha256.Size]byte
	violation string
}

// tooMany is the panic of a script that has more faults than it may.
type tooMany struct{}

// fault counts faults.
func (s *script) fault(n int) {
	if s.faults += n; s.faults > s.most {
		panic(tooMany{})
	}
}

// broken is the panic of a promise that was seen broken.
type broken string

func (s *script) Fatalf(format string, args ...any) { panic(broken(fmt.Sprintf(format, args...))) }

// Logf drops what happens: a script tells its choices.
func (*script) Logf(string, ...any) {}

func (s *script) pick(name string, low, high int) int {
	values := choices[name]
	switch {
	case name == "heard" || name == "lapsed":
		// All workers, or one of them.
		values = append(values, high)
		for v := 1; v < high; v *= 2 {
			values = append(values, v)
		}
	case values == nil:
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
		s.fault(1)
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
	{"registrations are heard", 0, func(m *model) { m.registerAll(m.drawHolder()) }},
	{"jobs are heard", 0, func(m *model) { m.hearJobs(m.drawHolder(), m.now) }},
	{"a job is accepted", 0, func(m *model) {
		if len(m.specs) == 1 {
			m.store(workload.Job{ID: "k", Queue: queue.Name, Pool: "cutting", Terms: queue, Accepted: m.now, Steps: []workload.Step{
				{Tasks: 1, Need: workload.Resources{CPU: 2000}, Estimate: time.Second},
			}})
		}
	}},
	{"time passes", 0, func(m *model) { m.pass(time.Duration(m.t.pick("ms", 800, 2400)) * time.Millisecond) }},
	{"another holder takes over", 1, (*model).takeOver},
	{"the holder leaves", 0, (*model).leave},
	{"a worker is cut off", 1, func(m *model) { w := m.draw(); w.cut = !w.cut }},
	{"a worker starts again", 1, func(m *model) { m.restart(m.draw()) }},
	{"a worker joins", 1, func(m *model) {
		if len(m.workers) == exploredWorkers {
			m.join(m.now)
		}
	}},
	{"a worker leaves", 1, func(m *model) { m.depart(m.draw()) }},
	{"registrations lapse", 1, (*model).lapse},
}

// exploredRoots are the situations from which the exploration begins.
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
	{"worker that joined after a loss", func(m *model) {
		m.store(exploredJob(m))
		m.takeOver()
		m.act(m.present)
		m.join(m.now)
	}},
	{"lease that a successor prolongs", prolongedLease},
	{"unheard worker whose lease a successor prolongs", prolongedUnheard},
	{"two holders in a row within a lease", twoInARow},
	{"holder that left with an end that it had not taken over", leftUntold},
	{"lost holder that lists registrations late", func(m *model) {
		m.act(m.present)
		m.store(exploredJob(m))
		m.leave()
		m.readHandover(m.present)
		m.begin(m.present)
		m.takeOver()
		m.act(m.present)
		m.restart(m.workers[1])
	}},
	{"job that is heard of much later", hearMuchLater},
}

// unasked is a source with which holders read no job from the store.
type unasked struct{ source }

func (u unasked) pick(name string, low, high int) int {
	if name == "ask" {
		return 0
	}
	return u.source.pick(name, low, high)
}

// hearMuchLater has a lost holder start the tasks of a job of which its successor hears nothing until all that may be present of before has ended.
func hearMuchLater(m *model) {
	j := startUnheard(m)
	m.deaf[j.ID] = true
	m.endOne()
	m.t = unasked{m.t}
	const step = time.Second
	for m.now.Sub(j.Accepted) < modelDeaf-step {
		m.pass(step)
		m.act(m.present)
		m.record()
	}
}

func exploredJob(m *model) workload.Job {
	return workload.Job{ID: "j", Queue: queue.Name, Pool: "cutting", Terms: queue, Accepted: m.now, Steps: []workload.Step{
		{Tasks: 2, Need: workload.Resources{CPU: 2000}, Estimate: time.Second},
		{Tasks: 1, Need: workload.Resources{CPU: 2000}, Estimate: time.Second, After: []int{0}},
	}}
}

// play runs a script from a root on, sets the fingerprint of the state that it leads to, and the promise that was broken, if any.
func (s *script) play(root func(*model)) {
	defer func() {
		switch r := recover().(type) {
		case nil, tooMany:
		case broken:
			s.violation = string(r)
		default:
			panic(r)
		}
	}()
	m := newModel(&script{}, exploredWorkers)
	m.pass(modelSettled)
	root(m)
	m.t = s
	for planned := len(s.list); len(s.options) < planned; {
		a := exploredActions[s.pick("action", 0, len(exploredActions)-1)]
		s.actions++
		s.fault(a.faults)
		a.do(m)
	}
	if s.faults < s.most {
		return
	}
	s.state = sha256.Sum256([]byte(m.fingerprint()))
}

// fingerprint describes the state of holders, workers and store, with times relative to now.
func (m *model) fingerprint() string {
	out := fmt.Sprintln(m.records, m.seals, m.handover, m.deaf, m.cancelled, m.noted, m.failures, m.doneLost)
	for _, h := range m.holders() {
		out += fmt.Sprintln(h.fence, h.loaded, h.registered, h.seen, h.listed, h.until.Sub(m.now), h.pool.Fingerprint(m.now))
	}
	for _, w := range m.workers {
		out += fmt.Sprintln(w.id, w.born, w.fence, max(w.leaseEnd-m.clock(w), 0), w.runs, w.number, w.least, w.cut, w.unregistered, age(m.now, w.backAt), w.left)
		for _, e := range w.ended {
			out += fmt.Sprintln(e.EndedRun, e.lapsed, m.now.Sub(e.at))
		}
	}
	for _, l := range m.late {
		out += fmt.Sprintln("late", l.order.Worker.ID, l.born, l.order.Task, l.order.Run, l.fence, l.at.Sub(m.now))
	}
	return out
}

// age is how far a time lies back; no time is far back.
func age(now, t time.Time) time.Duration {
	if t.IsZero() {
		return time.Hour
	}
	return now.Sub(t)
}

// successors returns the scripts of all that can happen after a script with so many faults, played.
func successors(root func(*model), list []int, faults int) []*script {
	var out []*script
	for a := range exploredActions {
		next := append(slices.Clone(list), a)
		for next != nil {
			s := &script{list: next, most: faults}
			s.play(root)
			if s.faults == faults {
				out = append(out, s)
			}
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
// repeated calls, are explored with the product's decisions; histories with few actions and faults come first.
func TestAllOrdersOfEventsKeepThePromises(t *testing.T) {
	for _, root := range exploredRoots {
		t.Run(root.name, func(t *testing.T) { explore(t, root.begin) })
	}
}

// opened is a script to go on from with a number of further faults in the next action.
type opened struct {
	list            []int
	faults, further int
}

func explore(t *testing.T, root func(*model)) {
	seen := map[[sha256.Size]byte]bool{}
	// open holds the scripts to go on from, by the actions and faults that they and their next action have.
	open := [][]opened{{{}}}
	put := func(cost int, o opened) {
		for len(open) <= cost {
			open = append(open, nil)
		}
		open[cost] = append(open[cost], o)
	}
	expanded, deepest := 0, 0
	for cost := 0; cost < len(open) && expanded < *exploredStates/len(exploredRoots); {
		if len(open[cost]) == 0 {
			cost++
			continue
		}
		from := open[cost][0]
		open[cost] = open[cost][1:]
		expanded++
		faults := from.faults + from.further
		for _, s := range successors(root, from.list, faults) {
			if s.violation != "" {
				t.Fatalf("%d states expanded, %d seen, after %v: %s", expanded, len(seen), s.tell(), s.violation)
			}
			if !seen[s.state] {
				seen[s.state] = true
				put(cost+1, opened{list: s.list, faults: faults})
				deepest = max(deepest, s.actions)
			}
		}
		if faults < *exploredFaults {
			put(cost+1, opened{from.list, from.faults, from.further + 1})
		}
	}
	left := 0
	for _, list := range open {
		left += len(list)
	}
	t.Logf("%d states expanded, %d seen, up to %d actions, %d left", expanded, len(seen), deepest, left)
}
