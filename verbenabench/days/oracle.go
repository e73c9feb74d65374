package days

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash"
	"slices"
	"time"

	"verbenalanding.example/platform/standin"
)

// slowestClock is the lowest clock rate that the platform allows for a worker, as a share of the true rate.
const slowestClock = 0.98

// taskRun is the time span in which a run of a task may be present on a worker.
type taskRun struct {
	worker    string
	run       int
	startTime time.Time
	// ended is when the run ended on the worker; zero while it is present.
	ended time.Time
	// possibleEnd is the latest end of the run that nodes have to assume: the end of the lease on the slowest clock.
	possibleEnd time.Time
	// answers are the deliveries of answers that report the end: a list of runs or the answer to a stop.
	answers []*delivery
	// confirmed is true when such an answer has arrived or the worker's incarnation has ended.
	confirmed bool
}

// incarnation is an incarnation of a worker.
type incarnation struct {
	// leaseEnd is the latest possible end of the lease, which is its end on the slowest clock.
	leaseEnd time.Time
	openRuns map[string]*taskRun
	// unconfirmedRuns holds the incarnation's ended runs whose end was not confirmed by the time of the worker's last list.
	unconfirmedRuns []*taskRun
}

// oracle checks the events at the workers. The stand-in calls it while holding its own lock.
type oracle struct {
	startTime       time.Time
	tasks           map[string][]*taskRun
	incarnations    map[string]*incarnation
	broken          []string
	trace           hash.Hash
	eventLines      []string
	startCount      int
	marginCount     int
	leastMargin     time.Duration
	leastMarginTask string
}

func newOracle() *oracle {
	return &oracle{startTime: time.Now(), tasks: map[string][]*taskRun{}, incarnations: map[string]*incarnation{}, trace: sha256.New()}
}

func (o *oracle) hash() string { return hex.EncodeToString(o.trace.Sum(nil))[:16] }

func (o *oracle) violate(format string, args ...any) {
	o.broken = append(o.broken, fmt.Sprintf(format, args...))
}

func (o *oracle) incarnation(worker string) *incarnation {
	l := o.incarnations[worker]
	if l == nil {
		l = &incarnation{openRuns: map[string]*taskRun{}}
		o.incarnations[worker] = l
	}
	return l
}

// observe processes an event of a worker. If the event is an answer to a node, answer is its delivery.
func (o *oracle) observe(e standin.RunEvent, answer *delivery) {
	l := o.incarnation(e.Worker)
	switch e.Kind {
	case standin.LeaseExtended:
		left := float64(e.LeaseEnd-e.Clock) / slowestClock
		if end := e.At.Add(time.Duration(left)); end.After(l.leaseEnd) {
			l.leaseEnd = end
		}
		return
	case standin.RunsListed:
		l.unconfirmedRuns = slices.DeleteFunc(l.unconfirmedRuns, func(p *taskRun) bool {
			p.applyAnswers()
			p.addAnswer(answer)
			return p.confirmed
		})
		return
	}
	line := fmt.Sprintf("%v %s %s %s %d %d\n", e.At.Sub(o.startTime), e.Kind, e.Worker, e.Task, e.Run, e.Fence)
	o.trace.Write([]byte(line))
	o.eventLines = append(o.eventLines, line)
	switch e.Kind {
	case standin.RunStarted:
		o.start(l, e)
	case standin.StopAccepted:
		for _, p := range l.unconfirmedRuns {
			if slices.Contains(o.tasks[e.Task], p) {
				p.addAnswer(answer)
			}
		}
	case standin.WorkerEnded:
		for _, p := range l.openRuns {
			p.ended, p.possibleEnd, p.confirmed = e.At, e.At, true
		}
		for _, p := range l.unconfirmedRuns {
			p.confirm(e.At)
		}
		delete(o.incarnations, e.Worker)
	default:
		o.end(l, e)
	}
}

// confirm records that the end of the run was confirmed at a time.
func (p *taskRun) confirm(at time.Time) {
	p.confirmed = true
	if p.possibleEnd.After(at) {
		p.possibleEnd = at
	}
}

// addAnswer adds an answer that confirms the end of the run once it arrives.
func (p *taskRun) addAnswer(answer *delivery) {
	if answer != nil && !p.confirmed {
		p.answers = append(p.answers, answer)
	}
}

// applyAnswers applies the answers that have arrived.
func (p *taskRun) applyAnswers() {
	for _, a := range p.answers {
		if at := a.arrivalTime(); !p.confirmed && !at.IsZero() {
			p.confirm(at)
		}
	}
}

func (o *oracle) end(l *incarnation, e standin.RunEvent) {
	p := l.openRuns[e.Task]
	if p == nil {
		o.violate("days: %s ended on %s without a start", e.Task, e.Worker)
		return
	}
	delete(l.openRuns, e.Task)
	p.ended, p.possibleEnd = e.At, l.leaseEnd
	l.unconfirmedRuns = append(l.unconfirmedRuns, p)
}

// start checks a start against every earlier run of the task that may still be present.
func (o *oracle) start(l *incarnation, e standin.RunEvent) {
	o.startCount++
	for _, p := range o.tasks[e.Task] {
		if p.ended.IsZero() {
			o.violate("twice: %s run %d starts on %s at %v with fence %d while run %d is present on %s since %v",
				e.Task, e.Run, e.Worker, e.At.Sub(o.startTime), e.Fence, p.run, p.worker, p.startTime.Sub(o.startTime))
			continue
		}
		p.applyAnswers()
		// A start on the same worker needs no confirmation, since the worker has the state of its own runs.
		if p.worker == e.Worker || p.confirmed {
			continue
		}
		o.marginCount++
		margin := e.At.Sub(p.possibleEnd)
		if o.marginCount == 1 || margin < o.leastMargin {
			o.leastMargin, o.leastMarginTask = margin, e.Task
		}
		if margin < 0 {
			o.violate("margin: %s run %d starts on %s at %v with fence %d, %v before the latest possible end of run %d on %s, which ended at %v",
				e.Task, e.Run, e.Worker, e.At.Sub(o.startTime), e.Fence, -margin, p.run, p.worker, p.ended.Sub(o.startTime))
		}
	}
	p := &taskRun{worker: e.Worker, run: e.Run, startTime: e.At}
	o.tasks[e.Task] = append(o.tasks[e.Task], p)
	l.openRuns[e.Task] = p
}
