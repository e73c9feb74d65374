package dispatch_test

import (
	"crypto/sha256"
	"flag"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"verbenalanding.example/fleet/workload"
)

// Bounds of the exploration; manual runs may raise them.
var (
	exploredStates = flag.Int("explore.states", 4000, "states to expand in the exhaustive exploration")
	exploredFaults = flag.Int("explore.faults", 3, "faults in one history of the exhaustive exploration")
)

// exploredWorkers is the initial number of workers; one more may join.
const exploredWorkers = 2

// choices holds the possible values of each choice in the exploration, the fault-free one first; a choice without an entry has its whole
// range.
var choices = map[string][]int{
	"stop":         {2, 0, 1},
	"outcome":      {3, 0, 1, 2},
	"late":         {700, 3000},
	"write":        {2, 0, 1},
	"unresponsive": {2, 0, 1},
	// Registrations are reported by an action of their own.
	"watch":        {0},
	"ms":           {800, 2400},
	"back":         {1500},
	"list":         {1, 0},
	"read":         {1, 0},
	"announced":    {1, 0},
	"watched":      {1, 0},
	"fence":        {1, 0},
	"ask":          {1, 0},
	"confirmation": {1, 0},
	"hold":         {1, 0},
	"listing":      {1, 0},
	"delete":       {2, 0, 1},
	"handover":     {1, 0},
	"recorded":     {1, 0},
}

// faulty holds the choices whose other values are faults.
var faulty = map[string]bool{"stop": true, "outcome": true, "write": true, "unresponsive": true, "list": true, "announced": true, "watched": true, "ask": true, "confirmation": true, "hold": true, "listing": true, "read": true, "delete": true, "handover": true}

// script makes the choices of a model from a list, and takes the first value for choices beyond its end.
type script struct {
	list []int
	// names holds the names of the choices that were made.
	names []string
	// options holds how many values each of these choices had.
	options []int
	actions int
	faults  int
	// maxFaults is how many faults the script may have; a script with more is aborted.
	maxFaults int
	// state is the fingerprint of the final state, violation the violated invariant, if any.
	state     [sha256.Size]byte
	violation string
}

// tooManyFaults is the panic of a script that has more faults than it may.
type tooManyFaults struct{}

// fault counts n faults and aborts the script if there are too many.
func (s *script) fault(n int) {
	if s.faults += n; s.faults > s.maxFaults {
		panic(tooManyFaults{})
	}
}

// invariantBroken is the panic of a violated invariant.
type invariantBroken string

func (s *script) Fatalf(format string, args ...any) {
	panic(invariantBroken(fmt.Sprintf(format, args...)))
}

// Logf discards its input: a script is described by its choices.
func (*script) Logf(string, ...any) {}

func (s *script) pick(name string, low, high int) int {
	values := choices[name]
	switch {
	case name == "reports" || name == "lapsed":
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

// describe names the choices of a script.
func (s *script) describe() string {
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

// exploredActions are the possible events; late answers, lost orders and lost writes are choices within them.
var exploredActions = []struct {
	name   string
	faults int
	do     func(*model)
}{
	{"holder acts", 0, func(m *model) { m.advance(50 * time.Millisecond); m.act(m.current) }},
	{"lost holders act", 0, (*model).lostAct},
	{"records are written", 0, (*model).record},
	{"a run ends", 0, (*model).endOne},
	{"registrations are reported", 0, func(m *model) { m.registerAll(m.drawHolder()) }},
	{"jobs become known", 0, func(m *model) { m.learnJobs(m.drawHolder(), m.now) }},
	{"a job is accepted", 0, func(m *model) {
		if len(m.specs) == 1 {
			m.store(workload.Job{ID: "k", Queue: queue.Name, Pool: "cutting", Terms: queue, Accepted: m.now, Steps: []workload.Step{
				{Tasks: 1, Need: workload.Resources{CPU: 2000}, Estimate: time.Second},
			}})
		}
	}},
	{"time passes", 0, func(m *model) { m.advance(time.Duration(m.t.pick("ms", 800, 2400)) * time.Millisecond) }},
	{"another holder takes over", 1, (*model).takeOver},
	{"the holder leaves", 0, (*model).leave},
	{"a worker is disconnected", 1, func(m *model) { w := m.drawWorker(); w.disconnected = !w.disconnected }},
	{"a worker restarts", 1, func(m *model) { m.restart(m.drawWorker()) }},
	{"a worker joins", 1, func(m *model) {
		if len(m.workers) == exploredWorkers {
			m.join(m.now)
		}
	}},
	{"a worker leaves", 1, func(m *model) { m.depart(m.drawWorker()) }},
	{"registrations lapse", 1, (*model).lapseRegistrations},
}

// exploredRoots are the states from which the exploration begins.
var exploredRoots = []struct {
	name  string
	begin func(*model)
}{
	{"first holder", func(m *model) { m.store(exploredJob(m)) }},
	{"holder that left", func(m *model) {
		m.act(m.current)
		m.store(exploredJob(m))
		m.leave()
	}},
	{"holder that was lost", func(m *model) {
		m.act(m.current)
		m.store(exploredJob(m))
		m.takeOver()
	}},
	{"worker that joined after a loss", func(m *model) {
		m.store(exploredJob(m))
		m.takeOver()
		m.act(m.current)
		m.join(m.now)
	}},
	{"lease that a successor extends", extendedLease},
	{"unresponsive worker whose lease a successor extends", extendedLeaseOfAwaited},
	{"two holders in a row within a lease", twoInARow},
	{"holder that left with an unprocessed end", leaveUnprocessed},
	{"lost holder that lists registrations late", func(m *model) {
		m.act(m.current)
		m.store(exploredJob(m))
		m.leave()
		m.readHandover(m.current)
		m.begin(m.current)
		m.takeOver()
		m.act(m.current)
		m.restart(m.workers[1])
	}},
	{"job that becomes known much later", learnMuchLater},
}

// withoutReads is a source with which the holders' reads of unknown jobs are not answered.
type withoutReads struct{ source }

func (u withoutReads) pick(name string, low, high int) int {
	if name == "ask" {
		return 0
	}
	return u.source.pick(name, low, high)
}

// learnMuchLater has a lost holder start the tasks of a job that its successor does not learn of until all earlier runs have certainly
// ended.
func learnMuchLater(m *model) {
	j := startUnknown(m)
	m.unwatched[j.ID] = true
	m.endOne()
	m.t = withoutReads{m.t}
	const step = time.Second
	for m.now.Sub(j.Accepted) < modelLateWatchDelay-step {
		m.advance(step)
		m.act(m.current)
		m.record()
	}
}

func exploredJob(m *model) workload.Job {
	return workload.Job{ID: "j", Queue: queue.Name, Pool: "cutting", Terms: queue, Accepted: m.now, Steps: []workload.Step{
		{Tasks: 2, Need: workload.Resources{CPU: 2000}, Estimate: time.Second},
		{Tasks: 1, Need: workload.Resources{CPU: 2000}, Estimate: time.Second, After: []int{0}},
	}}
}

// run simulates a script from a root, and sets the fingerprint of the resulting state and the violated invariant, if any.
func (s *script) run(root func(*model)) {
	defer func() {
		switch r := recover().(type) {
		case nil, tooManyFaults:
		case invariantBroken:
			s.violation = string(r)
		default:
			panic(r)
		}
	}()
	m := newModel(&script{}, exploredWorkers)
	m.advance(modelSettleTime)
	root(m)
	m.t = s
	for planned := len(s.list); len(s.options) < planned; {
		a := exploredActions[s.pick("action", 0, len(exploredActions)-1)]
		s.actions++
		s.fault(a.faults)
		a.do(m)
	}
	if s.faults < s.maxFaults {
		return
	}
	s.state = sha256.Sum256([]byte(m.fingerprint()))
}

// fingerprint describes the state of holders, workers and store, with times relative to now.
func (m *model) fingerprint() string {
	out := fmt.Sprintln(m.records, m.unresponsive, m.handover, m.unwatched, m.cancelled, m.acknowledged, m.failures, m.doneLost)
	for _, id := range slices.Sorted(maps.Keys(m.specs)) {
		out += fmt.Sprintln(id, m.specs[id].Fence)
	}
	for _, h := range m.holders() {
		out += fmt.Sprintln(h.fence, h.loaded, h.registered, h.handoverRead, h.machinesListed, h.until.Sub(m.now), h.pool.Fingerprint(m.now))
	}
	for _, w := range m.workers {
		out += fmt.Sprintln(w.id, w.incarnation, w.fence, max(w.leaseEnd-m.clock(w), 0), w.runs, w.lastEnd, w.lastRun, w.disconnected, w.unregistered, age(m.now, w.backAt), w.departed)
		for _, e := range w.ended {
			out += fmt.Sprintln(e.EndedRun, e.lapsed, m.now.Sub(e.at))
		}
	}
	for _, l := range m.late {
		out += fmt.Sprintln("late", l.order.Worker.ID, l.incarnation, l.order.Task, l.order.Run, l.fence, l.at.Sub(m.now))
	}
	return out
}

// age returns how long ago a time was; the zero time counts as long ago.
func age(now, t time.Time) time.Duration {
	if t.IsZero() {
		return time.Hour
	}
	return now.Sub(t)
}

// successors returns, after simulating them, the scripts that extend a script by one action with the given total number of faults.
func successors(root func(*model), list []int, faults int) []*script {
	var out []*script
	for a := range exploredActions {
		next := append(slices.Clone(list), a)
		for next != nil {
			s := &script{list: next, maxFaults: faults}
			s.run(root)
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

// Guards against an unsafe order of events that random runs miss: explores several holders, two workers and three tasks, with lost, late
// and repeated calls, against the production decisions; histories with few actions and faults come first.
func TestAllOrdersOfEventsKeepTheInvariants(t *testing.T) {
	for _, root := range exploredRoots {
		t.Run(root.name, func(t *testing.T) { explore(t, root.begin) })
	}
}

// openState is a script to extend by an action with a number of further faults.
type openState struct {
	list            []int
	faults, further int
}

func explore(t *testing.T, root func(*model)) {
	seen := map[[sha256.Size]byte]bool{}
	// open holds the scripts to extend, by the number of actions and faults that they and their next action have.
	open := [][]openState{{{}}}
	push := func(cost int, o openState) {
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
				t.Fatalf("%d states expanded, %d seen, after %v: %s", expanded, len(seen), s.describe(), s.violation)
			}
			if !seen[s.state] {
				seen[s.state] = true
				push(cost+1, openState{list: s.list, faults: faults})
				deepest = max(deepest, s.actions)
			}
		}
		if faults < *exploredFaults {
			push(cost+1, openState{from.list, from.faults, from.further + 1})
		}
	}
	left := 0
	for _, list := range open {
		left += len(list)
	}
	t.Logf("%d states expanded, %d seen, up to %d actions, %d left", expanded, len(seen), deepest, left)
}
