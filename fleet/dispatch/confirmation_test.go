package dispatch_test

import (
	"cmp"
	"os"
	"slices"
	"strings"
	"testing"
	"time"
)

// The confirmations after which a successor may start a task that may still run on a worker, as in "What confirms that a task may start" in
// docs/platform.md.
const (
	// byReport: the worker reported to the successor, which adopts its runs; the worker refuses earlier holders from then on.
	byReport confirmation = "report"
	// byLease: all leases and orders of the previous holders have ended.
	byLease confirmation = "lease"
	// byLastLease: as byLease, after a handover, whose writer gives no further orders and knows on which incarnation each run is.
	byLastLease confirmation = "last lease"
	// byLateLease: as byLastLease for a start that no answer has confirmed: an incarnation of which the writer did not know may carry it out
	// late, with the longest lease.
	byLateLease confirmation = "late lease"
	// byAddress: another worker answers at the worker's address.
	byAddress confirmation = "address"
)

type confirmation string

// Limits for a successor to start a task, or to adopt its run, once there is a confirmation.
const (
	promptLimit = 400 * time.Millisecond
	// countedLease is 3.5 s on a clock that is 2.5% slow, plus the margin for the granularity of clocks.
	countedLease = 3650 * time.Millisecond
	// countedLongestLease is the longest lease that a worker grants, 6 s, on such a clock, plus the margin.
	countedLongestLease = 6214 * time.Millisecond
	// maxOrderDelay is how much later an unanswered order may be carried out.
	maxOrderDelay = 12 * time.Second
	takeover      = 2500 * time.Millisecond
)

// lossAt is when the first holder is lost; it was the only one for long enough before.
var lossAt = epoch.Add(4 * time.Second)

func afterLoss(d time.Duration) time.Time { return lossAt.Add(d) }

// lostOrders is how long a lost holder that still runs gives orders after its successor began: the lease of a duty less its safety
// margin.
const lostOrders = 2350 * time.Millisecond

// loss is a way in which a holder is lost.
type loss struct {
	name string
	// variants schedule the end of the first holder and the beginning of its successors.
	variants []func(*scenario)
	// disconnectedAt is when the first holder is disconnected from the workers; zero if it is not.
	disconnectedAt time.Time
	// complete is true where the holder's records name all that may run, so that other tasks start immediately.
	complete bool
	// confirmations are those for each state of a worker, in the order of workerStates.
	confirmations [7]confirmation
}

var losses = []loss{
	{
		name: "planned", complete: true,
		variants: []func(*scenario){func(s *scenario) {
			s.at(lossAt, func() { s.leave(s.first) })
			s.beginAt(afterLoss(20 * time.Millisecond))
		}},
		confirmations: [7]confirmation{byReport, byLastLease, byLastLease, byReport, byAddress, byLastLease, byLateLease},
	},
	{
		name: "killed",
		variants: []func(*scenario){
			func(s *scenario) { s.endFirst(); s.beginAt(afterLoss(300 * time.Millisecond)) },
			// The holder's node restarted before another node took over.
			func(s *scenario) { s.endFirst(); s.beginAt(afterLoss(100 * time.Millisecond)) },
		},
		confirmations: unplanned,
	},
	{
		name: "paused at a renewal",
		variants: []func(*scenario){func(s *scenario) {
			s.at(lossAt, func() { s.first.paused = true })
			s.at(afterLoss(time.Second), func() { s.first.paused = false })
			s.keepRunningBeside(s.beginAt(afterLoss(900 * time.Millisecond)))
		}},
		confirmations: unplanned,
	},
	{
		name:          "disconnected from the store only",
		variants:      []func(*scenario){func(s *scenario) { s.keepRunningBeside(s.beginAt(afterLoss(1100 * time.Millisecond))) }},
		confirmations: unplanned,
	},
	{
		// No other node takes over from such a holder; its records apply once it is lost as well.
		name: "disconnected from workers only", complete: true, disconnectedAt: afterLoss(-2 * time.Second),
		variants: []func(*scenario){func(s *scenario) {
			s.at(afterLoss(-2*time.Second), func() { s.first.disconnected = true })
			s.endFirst()
			s.beginAt(afterLoss(300 * time.Millisecond))
		}},
		confirmations: unplanned,
	},
	{
		name:          "without power",
		variants:      []func(*scenario){func(s *scenario) { s.endFirst(); s.beginAt(afterLoss(900 * time.Millisecond)) }},
		confirmations: unplanned,
	},
	{
		name: "all at once",
		variants: []func(*scenario){
			func(s *scenario) { s.endFirst(); s.beginAt(afterLoss(1500 * time.Millisecond)) },
			func(s *scenario) { s.endFirst(); s.beginAt(afterLoss(5 * time.Second)) },
		},
		confirmations: unplanned,
	},
	{
		name: "successor lost in the middle",
		variants: []func(*scenario){
			// The successor is lost after it has given orders, or before.
			func(s *scenario) { s.lostInTheMiddle(700 * time.Millisecond) },
			func(s *scenario) { s.lostInTheMiddle(40 * time.Millisecond) },
		},
		confirmations: unplanned,
	},
	{
		name: "two in a row within a lease",
		variants: []func(*scenario){
			// The second holder leaves while the first may still give orders, or while only the first one's leases may last.
			func(s *scenario) { s.twoInARow(700 * time.Millisecond) },
			func(s *scenario) { s.twoInARow(2600 * time.Millisecond) },
		},
		confirmations: unplanned,
	},
}

// unplanned are the confirmations for a loss without a handover.
var unplanned = [7]confirmation{byReport, byLease, byReport, byReport, byAddress, byLease, byLease}

func (s *scenario) endFirst() {
	s.at(lossAt, func() { s.end(s.first) })
}

func (s *scenario) lostInTheMiddle(held time.Duration) {
	second := s.beginAt(afterLoss(900 * time.Millisecond))
	s.keepRunningBeside(second)
	s.at(second.Add(held), func() { s.end(s.newest) })
	s.beginAt(second.Add(held + 300*time.Millisecond))
}

func (s *scenario) twoInARow(held time.Duration) {
	second := s.beginAt(afterLoss(900 * time.Millisecond))
	s.keepRunningBeside(second)
	s.at(second.Add(held), func() { s.leave(s.newest) })
	s.beginAt(second.Add(held + 20*time.Millisecond))
}

// variant is a sequence of events that affects a worker.
type variant struct {
	// beginsAt returns the time of the first event.
	beginsAt func(*scenario) time.Time
	// schedule schedules the events, and sets when the worker answers a successor again.
	schedule func(s *scenario, at time.Time)
	// confirmation replaces the one of the loss; empty for no replacement.
	confirmation confirmation
}

// workerState is a state of the worker that may run the task.
type workerState struct {
	name     string
	variants []variant
	// lateOrders is true where the first holder's starts are carried out as late as possible and its stops are lost.
	lateOrders bool
}

func beforeLoss(*scenario) time.Time           { return afterLoss(-100 * time.Millisecond) }
func atLoss(*scenario) time.Time               { return lossAt }
func beforeLastTakeover(s *scenario) time.Time { return s.lastBegan.Add(-20 * time.Millisecond) }
func duringLastTakeover(s *scenario) time.Time { return s.lastBegan.Add(300 * time.Millisecond) }

var workerStates = [7]workerState{
	{name: "reported", variants: []variant{{beginsAt: atLoss, schedule: nothing}}},
	{name: "disconnected", variants: []variant{{beginsAt: atLoss, schedule: disconnect}, {beginsAt: beforeLastTakeover, schedule: disconnect}}},
	{name: "paused", variants: []variant{{beginsAt: beforeLoss, schedule: pause}, {beginsAt: beforeLastTakeover, schedule: pause}}},
	{name: "restarted", variants: []variant{
		{beginsAt: atLoss, schedule: restartSubject},
		{beginsAt: beforeLastTakeover, schedule: restartSubject},
		{beginsAt: duringLastTakeover, schedule: restartSubject},
		{beginsAt: atLoss, schedule: join},
		{beginsAt: beforeLastTakeover, schedule: join},
		{beginsAt: duringLastTakeover, schedule: join},
	}},
	{name: "address reused by another service", variants: []variant{{beginsAt: atLoss, schedule: reuseAddress}, {beginsAt: beforeLastTakeover, schedule: reuseAddress}}},
	{name: "registration lapsed", variants: []variant{{beginsAt: beforeLoss, schedule: lapseRegistration}, {beginsAt: beforeLastTakeover, schedule: lapseRegistration}}},
	{name: "late orders in transit", lateOrders: true, variants: []variant{
		{beginsAt: atLoss, schedule: disconnect},
		{beginsAt: atLoss, schedule: nothing, confirmation: byReport},
	}},
}

func nothing(*scenario, time.Time) {}

func disconnect(s *scenario, at time.Time) { s.at(at, func() { s.subject.disconnected = true }) }

func pause(s *scenario, at time.Time) {
	s.answersAt = at.Add(4 * time.Second)
	s.at(at, func() { s.subject.paused = true })
	s.at(s.answersAt, func() { s.subject.paused = false })
}

func restartSubject(s *scenario, at time.Time) {
	s.answerAfterFirst(at.Add(350 * time.Millisecond))
	s.at(at, func() { s.restart(s.subject); s.subject.disconnected = true })
	s.at(at.Add(300*time.Millisecond), func() { s.register(s.subject) })
	s.at(s.answersAt, func() { s.subject.disconnected = false })
}

// join registers a worker that is new to all holders; the first holder uses it alone.
func join(s *scenario, at time.Time) {
	s.answerAfterFirst(at.Add(350 * time.Millisecond))
	s.at(at, func() {
		s.subject = s.addWorker("z")
		s.subject.disconnected = true
		s.first.pool.Cordon("x", true)
	})
	s.at(s.answersAt, func() { s.subject.disconnected = false })
}

func reuseAddress(s *scenario, at time.Time) {
	s.at(at, func() { s.subject.replaced, s.subject.run = true, 0 })
	s.at(at.Add(2500*time.Millisecond), func() { s.unregister(s.subject) })
}

// lapseRegistration removes a worker's registration; a lost holder receives it again, the others do not.
func lapseRegistration(s *scenario, at time.Time) {
	s.at(at, func() { s.unregister(s.subject) })
	if back := s.lostUntil.Add(-300 * time.Millisecond); back.After(at) {
		s.at(back, func() { s.first.pool.SetWorker(s.subject.Worker, s.now) })
	}
}

// answerAfterFirst has the subject answer a successor from a time on, but not before the first holder has given its last order.
func (s *scenario) answerAfterFirst(t time.Time) {
	s.answersAt = t
	if after := s.lostUntil.Add(50 * time.Millisecond); after.After(t) {
		s.answersAt = after
	}
}

// origin is when the holders learn of the task's job, and so whether the first holder starts the task.
type origin struct {
	name string
	// offer schedules when the job is stored and when the holders learn of it.
	offer func(s *scenario, w workerState, l loss)
	// neverOrdered is true where the first holder did not start the task.
	neverOrdered bool
}

var origins = []origin{
	{name: "started before", offer: func(s *scenario, w workerState, l loss) {
		at := afterLoss(-700 * time.Millisecond)
		if w.lateOrders {
			at = afterLoss(-100 * time.Millisecond)
		}
		if !l.disconnectedAt.IsZero() {
			at = l.disconnectedAt.Add(at.Sub(lossAt))
		}
		s.at(at, func() { s.store(); s.announce(s.first) })
	}},
	{name: "ordered at the last moment", offer: func(s *scenario, _ workerState, l loss) {
		s.at(afterLoss(-3*time.Second), s.store)
		at := s.lostUntil.Add(-100 * time.Millisecond)
		if !l.disconnectedAt.IsZero() {
			at = l.disconnectedAt.Add(-100 * time.Millisecond)
		}
		s.at(at, func() { s.announce(s.first) })
	}},
	{name: "accepted after the loss", offer: func(s *scenario, _ workerState, _ loss) {
		s.at(s.lastBegan.Add(50*time.Millisecond), func() { s.store(); s.announce(s.newest) })
		if s.lostUntil.After(s.lastBegan) {
			s.at(s.lostUntil.Add(-100*time.Millisecond), func() { s.announce(s.first) })
		}
	}},
	{name: "never ordered", neverOrdered: true, offer: func(s *scenario, _ workerState, _ loss) {
		s.at(afterLoss(-3*time.Second), s.store)
	}},
}

// confirmationOf returns the confirmation for a variant of a worker's state after a loss.
func confirmationOf(v variant, l loss, state int) confirmation {
	return cmp.Or(v.confirmation, l.confirmations[state])
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// startBy returns the time by which the last successor must have started the task, or adopted its run.
func startBy(s *scenario, l loss, k confirmation, o origin) time.Time {
	prompt := s.lastBegan.Add(promptLimit)
	if s.answersAt.After(s.lastBegan) {
		prompt = s.answersAt.Add(promptLimit)
	}
	if o.neverOrdered && l.complete {
		return prompt
	}
	switch k {
	case byReport, byAddress:
		return prompt
	case byLease:
		return s.lastBegan.Add(takeover + countedLongestLease + promptLimit)
	case byLastLease:
		return s.lastBegan.Add(countedLease + promptLimit)
	case byLateLease:
		return s.lastBegan.Add(maxOrderDelay + countedLongestLease + promptLimit)
	}
	return time.Time{}
}

// Guards against a successor that starts a task while a run of it may be present or may begin late, or that does not start it in spite of a
// confirmation, for each way in which a holder is lost and each state of the worker.
func TestWhatConfirmsThatATaskMayStart(t *testing.T) {
	for _, l := range losses {
		for i, w := range workerStates {
			t.Run(l.name+"/"+w.name, func(t *testing.T) {
				for _, v := range w.variants {
					for _, schedule := range l.variants {
						for _, o := range origins {
							s := newScenario(t, o.name)
							s.lateStarts = w.lateOrders
							schedule(s)
							v.schedule(s, v.beginsAt(s))
							o.offer(s, w, l)
							s.run(startBy(s, l, confirmationOf(v, l, i), o))
							s.wantTaskRunByLastHolder()
							s.run(afterLoss(20 * time.Second))
						}
					}
				}
			})
		}
	}
}

// Guards against a page whose table differs from the confirmations that the test above checks.
func TestPageListsTheConfirmationsOfTheTable(t *testing.T) {
	page, err := os.ReadFile("../../docs/platform.md")
	if err != nil {
		t.Fatalf("read page: got %v, want none", err)
	}
	_, section, _ := strings.Cut(string(page), "\n## What confirms that a task may start\n")
	rows := map[string][]string{}
	for line := range strings.Lines(section) {
		cells := strings.Split(strings.Trim(strings.TrimSpace(line), "|"), " | ")
		if name := strings.TrimSpace(cells[0]); rows[name] == nil {
			rows[name] = cells[1:]
		}
	}
	for _, l := range losses {
		if got, want := len(rows[l.name]), len(workerStates); got != want {
			t.Errorf("%s: got %d fields, want %d", l.name, got, want)
			continue
		}
		for i, w := range workerStates {
			if got, want := strings.TrimSpace(rows["loss of the holder"][i]), w.name; got != want {
				t.Errorf("column %d: got %q, want %q", i, got, want)
			}
			if got, want := strings.TrimSpace(rows[l.name][i]), string(l.confirmations[i]); !strings.HasPrefix(got, want) {
				t.Errorf("%s/%s: got %q, want it to begin with %q", l.name, w.name, got, want)
			}
		}
	}
}

// lossByName returns a way in which a holder is lost.
func lossByName(name string) loss {
	return losses[slices.IndexFunc(losses, func(l loss) bool { return l.name == name })]
}

// lostButAlive are the losses after which the lost holder may give orders.
var lostButAlive = []string{"paused at a renewal", "disconnected from the store only", "successor lost in the middle", "two in a row within a lease"}

// secondBegan returns when the successor of a lost holder that still runs began.
func (s *scenario) secondBegan() time.Time { return s.lostUntil.Add(-lostOrders) }

// Guards against a second run of a task that a lost holder has started on a restarted worker: the lost holder has not learned of the
// restart, and the worker has reported to the successor only in its earlier incarnation.
func TestSuccessorWaitsForANewIncarnationOfAWorkerThatReported(t *testing.T) {
	for _, name := range lostButAlive {
		t.Run(name, func(t *testing.T) {
			s := newScenario(t, "accepted after the loss")
			lossByName(name).variants[0](s)
			restarted := s.secondBegan().Add(250 * time.Millisecond)
			s.at(restarted, func() { s.restart(s.subject); s.subject.disconnected, s.first.answersLost = true, true })
			s.at(restarted.Add(50*time.Millisecond), func() { s.store(); s.announce(s.first) })
			s.at(restarted.Add(200*time.Millisecond), func() { s.register(s.subject) })
			s.at(restarted.Add(250*time.Millisecond), func() { s.announce(s.newest) })
			reported := s.lastBegan.Add(1500 * time.Millisecond)
			s.at(reported, func() { s.subject.disconnected = false })
			s.run(reported.Add(promptLimit))
			s.wantTaskRunByLastHolder()
			s.run(afterLoss(14 * time.Second))
		})
	}
}
