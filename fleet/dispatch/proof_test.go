package dispatch_test

import (
	"cmp"
	"os"
	"slices"
	"strings"
	"testing"
	"time"
)

// The proofs for a task that may run on a worker, as in "What proves that a task may start" in docs/platform.md.
const (
	// byReport: the worker answered the successor, which adopts what is there; the worker refuses older holders from then on.
	byReport proofKind = "report"
	// byLease: all leases and orders of the holders before have ended.
	byLease proofKind = "lease"
	// byLastLease: as byLease, after a handover, whose writer gives no orders any more.
	byLastLease proofKind = "last lease"
	// byAddress: another worker answers at the worker's address.
	byAddress proofKind = "address"
)

type proofKind string

// Times in which a successor starts a task, or has taken its run over, once there is a proof.
const (
	promptly = 400 * time.Millisecond
	// countedLease is 3.5 s on a clock that is 2.5% slow, and the margin for the granularity of clocks.
	countedLease = 3650 * time.Millisecond
	takeover     = 2500 * time.Millisecond
)

// lossAt is when the first holder is lost; it was the only one for long enough before.
var lossAt = epoch.Add(4 * time.Second)

func afterLoss(d time.Duration) time.Time { return lossAt.Add(d) }

// lostOrders is for how long a lost holder that lives gives orders after its successor began: a lease of a duty less its safety.
const lostOrders = 2350 * time.Millisecond

// loss is a way in which a holder is lost.
type loss struct {
	name string
	// happen schedules, in one or more variants, the end of the first holder and the beginning of its successors.
	happen []func(*scene)
	// cutAt is when the first holder is cut from the workers; zero when it is not.
	cutAt time.Time
	// tells is true where what the holder leaves names all that may run, so that other tasks start at once.
	tells bool
	// proofs are those of each state of a worker, in the order of workerStates.
	proofs [7]proofKind
}

var losses = []loss{
	{
		name: "planned", tells: true,
		happen: []func(*scene){func(s *scene) {
			s.at(lossAt, func() { s.leave(s.first) })
			s.beginAt(afterLoss(20 * time.Millisecond))
		}},
		proofs: [7]proofKind{byReport, byLastLease, byLastLease, byReport, byAddress, byLastLease, byLastLease},
	},
	{
		name: "killed",
		happen: []func(*scene){
			func(s *scene) { s.endFirst(); s.beginAt(afterLoss(300 * time.Millisecond)) },
			// The holder's node was back sooner than another one acted.
			func(s *scene) { s.endFirst(); s.beginAt(afterLoss(100 * time.Millisecond)) },
		},
		proofs: unplanned,
	},
	{
		name: "frozen at a renewal",
		happen: []func(*scene){func(s *scene) {
			s.at(lossAt, func() { s.first.frozen = true })
			s.at(afterLoss(time.Second), func() { s.first.frozen = false })
			s.livesOn(s.beginAt(afterLoss(900 * time.Millisecond)))
		}},
		proofs: unplanned,
	},
	{
		name:   "cut from the store only",
		happen: []func(*scene){func(s *scene) { s.livesOn(s.beginAt(afterLoss(1100 * time.Millisecond))) }},
		proofs: unplanned,
	},
	{
		// Nobody replaces such a holder; what it has recorded counts when it is lost then.
		name: "cut from workers only", tells: true, cutAt: afterLoss(-2 * time.Second),
		happen: []func(*scene){func(s *scene) {
			s.at(afterLoss(-2*time.Second), func() { s.first.cut = true })
			s.endFirst()
			s.beginAt(afterLoss(300 * time.Millisecond))
		}},
		proofs: unplanned,
	},
	{
		name:   "without power",
		happen: []func(*scene){func(s *scene) { s.endFirst(); s.beginAt(afterLoss(900 * time.Millisecond)) }},
		proofs: unplanned,
	},
	{
		name: "all at once",
		happen: []func(*scene){
			func(s *scene) { s.endFirst(); s.beginAt(afterLoss(1500 * time.Millisecond)) },
			func(s *scene) { s.endFirst(); s.beginAt(afterLoss(5 * time.Second)) },
		},
		proofs: unplanned,
	},
	{
		name: "successor lost in the middle",
		happen: []func(*scene){
			// It is lost once it has given orders, or before.
			func(s *scene) { s.lostInTheMiddle(700 * time.Millisecond) },
			func(s *scene) { s.lostInTheMiddle(40 * time.Millisecond) },
		},
		proofs: unplanned,
	},
	{
		name: "two in a row within a lease",
		happen: []func(*scene){
			// The second one leaves while the first one may still give orders, or while only its leases may last.
			func(s *scene) { s.twoInARow(700 * time.Millisecond) },
			func(s *scene) { s.twoInARow(2600 * time.Millisecond) },
		},
		proofs: unplanned,
	},
}

// unplanned are the proofs where nothing was handed over.
var unplanned = [7]proofKind{byReport, byLease, byReport, byReport, byAddress, byLease, byLease}

func (s *scene) endFirst() {
	s.at(lossAt, func() { s.end(s.first) })
}

func (s *scene) lostInTheMiddle(held time.Duration) {
	second := s.beginAt(afterLoss(900 * time.Millisecond))
	s.livesOn(second)
	s.at(second.Add(held), func() { s.end(s.newest) })
	s.beginAt(second.Add(held + 300*time.Millisecond))
}

func (s *scene) twoInARow(held time.Duration) {
	second := s.beginAt(afterLoss(900 * time.Millisecond))
	s.livesOn(second)
	s.at(second.Add(held), func() { s.leave(s.newest) })
	s.beginAt(second.Add(held + 20*time.Millisecond))
}

// variant is one course of a worker's state.
type variant struct {
	// moment tells when it begins.
	moment func(*scene) time.Time
	// happen schedules it, and sets when the worker answers a successor again.
	happen func(s *scene, at time.Time)
	// proof is the variant's own one; empty for that of the field.
	proof proofKind
}

// workerState is what becomes of the worker that may run the task.
type workerState struct {
	name     string
	variants []variant
	// late is true where the first holder's starts are carried out at the last moment and its stops are lost.
	late bool
}

func beforeLoss(*scene) time.Time   { return afterLoss(-100 * time.Millisecond) }
func atLoss(*scene) time.Time       { return lossAt }
func beforeLast(s *scene) time.Time { return s.lastBegan.Add(-20 * time.Millisecond) }
func duringLast(s *scene) time.Time { return s.lastBegan.Add(300 * time.Millisecond) }

var workerStates = [7]workerState{
	{name: "heard", variants: []variant{{moment: atLoss, happen: nothing}}},
	{name: "cut", variants: []variant{{moment: atLoss, happen: cutOff}, {moment: beforeLast, happen: cutOff}}},
	{name: "frozen", variants: []variant{{moment: beforeLoss, happen: freeze}, {moment: beforeLast, happen: freeze}}},
	{name: "born again", variants: []variant{
		{moment: atLoss, happen: bearAgain},
		{moment: beforeLast, happen: bearAgain},
		{moment: duringLast, happen: bearAgain},
		{moment: atLoss, happen: join},
		{moment: beforeLast, happen: join},
		{moment: duringLast, happen: join},
	}},
	{name: "address gone to another service", variants: []variant{{moment: atLoss, happen: passAddressOn}, {moment: beforeLast, happen: passAddressOn}}},
	{name: "registration lapsed", variants: []variant{{moment: beforeLoss, happen: lapseRegistration}, {moment: beforeLast, happen: lapseRegistration}}},
	{name: "late orders on their way", late: true, variants: []variant{
		{moment: atLoss, happen: cutOff},
		{moment: atLoss, happen: nothing, proof: byReport},
	}},
}

func nothing(*scene, time.Time) {}

func cutOff(s *scene, at time.Time) { s.at(at, func() { s.suspect.cut = true }) }

func freeze(s *scene, at time.Time) {
	s.answers = at.Add(4 * time.Second)
	s.at(at, func() { s.suspect.frozen = true })
	s.at(s.answers, func() { s.suspect.frozen = false })
}

func bearAgain(s *scene, at time.Time) {
	s.answerAfterFirst(at.Add(350 * time.Millisecond))
	s.at(at, func() { s.restart(s.suspect); s.suspect.cut = true })
	s.at(at.Add(300*time.Millisecond), func() { s.register(s.suspect) })
	s.at(s.answers, func() { s.suspect.cut = false })
}

// join has a worker that is new to all register; the first holder uses it alone.
func join(s *scene, at time.Time) {
	s.answerAfterFirst(at.Add(350 * time.Millisecond))
	s.at(at, func() {
		s.suspect = s.addWorker("z")
		s.suspect.cut = true
		s.first.pool.Cordon("x", true)
	})
	s.at(s.answers, func() { s.suspect.cut = false })
}

func passAddressOn(s *scene, at time.Time) {
	s.at(at, func() { s.suspect.gone, s.suspect.run = true, 0 })
	s.at(at.Add(2500*time.Millisecond), func() { s.unregister(s.suspect) })
}

// lapseRegistration removes a worker's registration; a lost holder sees it again, the others do not.
func lapseRegistration(s *scene, at time.Time) {
	s.at(at, func() { s.unregister(s.suspect) })
	if back := s.lostUntil.Add(-300 * time.Millisecond); back.After(at) {
		s.at(back, func() { s.first.pool.SetWorker(s.suspect.Worker, s.now) })
	}
}

// answerAfterFirst has the suspect answer a successor at a time, or as long as the first holder gives orders only that one.
func (s *scene) answerAfterFirst(t time.Time) {
	s.answers = t
	if after := s.lostUntil.Add(50 * time.Millisecond); after.After(t) {
		s.answers = after
	}
}

// origin is what the first holder had to do with the task.
type origin struct {
	name string
	// offer schedules when the holders hear of the job.
	offer func(s *scene, w workerState, l loss)
	// never is true where the first holder did not order the task.
	never bool
}

var origins = []origin{
	{name: "started before", offer: func(s *scene, w workerState, l loss) {
		at := afterLoss(-700 * time.Millisecond)
		if w.late {
			at = afterLoss(-100 * time.Millisecond)
		}
		if !l.cutAt.IsZero() {
			at = l.cutAt.Add(at.Sub(lossAt))
		}
		s.at(at, func() { s.store(); s.tell(s.first) })
	}},
	{name: "ordered at the last moment", offer: func(s *scene, _ workerState, l loss) {
		s.at(afterLoss(-3*time.Second), s.store)
		at := s.lostUntil.Add(-100 * time.Millisecond)
		if !l.cutAt.IsZero() {
			at = l.cutAt.Add(-100 * time.Millisecond)
		}
		s.at(at, func() { s.tell(s.first) })
	}},
	{name: "accepted after the loss", offer: func(s *scene, _ workerState, _ loss) {
		s.at(s.lastBegan.Add(50*time.Millisecond), func() { s.store(); s.tell(s.newest) })
		if s.lostUntil.After(s.lastBegan) {
			s.at(s.lostUntil.Add(-100*time.Millisecond), func() { s.tell(s.first) })
		}
	}},
	{name: "never ordered", never: true, offer: func(s *scene, _ workerState, _ loss) {
		s.at(afterLoss(-3*time.Second), s.store)
	}},
}

// startBy returns when the last successor must have started the task, or taken its run over.
func startBy(s *scene, l loss, k proofKind, o origin) time.Time {
	prompt := s.lastBegan.Add(promptly)
	if s.answers.After(s.lastBegan) {
		prompt = s.answers.Add(promptly)
	}
	if o.never && l.tells {
		return prompt
	}
	switch k {
	case byReport, byAddress:
		return prompt
	case byLease:
		return s.lastBegan.Add(takeover + countedLease + promptly)
	case byLastLease:
		return s.lastBegan.Add(countedLease + promptly)
	}
	return time.Time{}
}

// Guards against a task that a successor starts while a run of it may be present or begin late, for each way in which a holder is lost and
// each state of the worker, and against one that waits although there is a proof.
func TestWhatProvesThatATaskMayStart(t *testing.T) {
	for _, l := range losses {
		for i, w := range workerStates {
			t.Run(l.name+"/"+w.name, func(t *testing.T) {
				for _, v := range w.variants {
					for _, happen := range l.happen {
						for _, o := range origins {
							s := newScene(t, o.name)
							s.late = w.late
							happen(s)
							v.happen(s, v.moment(s))
							o.offer(s, w, l)
							s.run(startBy(s, l, cmp.Or(v.proof, l.proofs[i]), o))
							s.wantTaskHeld()
							s.run(afterLoss(14 * time.Second))
						}
					}
				}
			})
		}
	}
}

// Guards against a page that does not say of each field what its test shows.
func TestPageNamesTheProofOfEachField(t *testing.T) {
	page, err := os.ReadFile("../../docs/platform.md")
	if err != nil {
		t.Fatalf("read page: got %v, want none", err)
	}
	_, section, _ := strings.Cut(string(page), "\n## What proves that a task may start\n")
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
			if got, want := strings.TrimSpace(rows[l.name][i]), string(l.proofs[i]); !strings.HasPrefix(got, want) {
				t.Errorf("%s/%s: got %q, want it to begin with %q", l.name, w.name, got, want)
			}
		}
	}
}

// lossNamed returns a way in which a holder is lost.
func lossNamed(name string) loss {
	return losses[slices.IndexFunc(losses, func(l loss) bool { return l.name == name })]
}

// lostButAlive are the losses after which the lost holder may give orders.
var lostButAlive = []string{"frozen at a renewal", "cut from the store only", "successor lost in the middle", "two in a row within a lease"}

// secondBegan is when the successor of a lost holder that lives began.
func (s *scene) secondBegan() time.Time { return s.lostUntil.Add(-lostOrders) }

// Guards against a task that starts beside a run on the new life of a worker which the successor has heard in its earlier life only: a lost
// holder that has not heard of the new life may have started it there.
func TestSuccessorWaitsForANewLifeOfAWorkerThatItHasHeard(t *testing.T) {
	for _, name := range lostButAlive {
		t.Run(name, func(t *testing.T) {
			s := newScene(t, "accepted after the loss")
			lossNamed(name).happen[0](s)
			restarted := s.secondBegan().Add(250 * time.Millisecond)
			s.at(restarted, func() { s.restart(s.suspect); s.suspect.cut, s.first.deaf = true, true })
			s.at(restarted.Add(50*time.Millisecond), func() { s.store(); s.tell(s.first) })
			s.at(restarted.Add(200*time.Millisecond), func() { s.register(s.suspect) })
			s.at(restarted.Add(250*time.Millisecond), func() { s.tell(s.newest) })
			heard := s.lastBegan.Add(1500 * time.Millisecond)
			s.at(heard, func() { s.suspect.cut = false })
			s.run(heard.Add(promptly))
			s.wantTaskHeld()
			s.run(afterLoss(14 * time.Second))
		})
	}
}
