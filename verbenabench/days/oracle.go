package days

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash"
	"slices"
	"strings"
	"time"

	"verbenalanding.example/platform/standin"
)

// slowestClock is how slow the platform states that a worker's clock may be, as a share of the true rate.
const slowestClock = 0.98

// presence is a time in which a task may be present on a worker.
type presence struct {
	worker string
	run    int
	began  time.Time
	// ended is when the run ended by the worker's own clock; zero while it is present.
	ended time.Time
	// possible is the latest time at which it may be present, as far as anybody could know: with the slowest clock the lease ends then.
	possible time.Time
	// answers are those that tell of the end, a list or the answer to a stop.
	answers []*delivery
	// known is true when such an answer has arrived or the worker's life has ended.
	known bool
}

// life is a worker's life.
type life struct {
	// leaseEnd is the latest time at which the lease could end with the slowest clock.
	leaseEnd time.Time
	open     map[string]*presence
	// ended are the runs of the life that have ended and of which nobody was told at the worker's last list.
	ended []*presence
}

// oracle checks what happens at the workers; the stand-in calls it under its own lock.
type oracle struct {
	began     time.Time
	tasks     map[string][]*presence
	lives     map[string]*life
	broken    []string
	trace     hash.Hash
	lines     []string
	starts    int
	margins   int
	least     time.Duration
	leastTask string
}

func newOracle() *oracle {
	return &oracle{began: time.Now(), tasks: map[string][]*presence{}, lives: map[string]*life{}, trace: sha256.New()}
}

func (o *oracle) hash() string { return hex.EncodeToString(o.trace.Sum(nil))[:16] }

func (o *oracle) violate(format string, args ...any) {
	o.broken = append(o.broken, fmt.Sprintf(format, args...))
}

func (o *oracle) life(worker string) *life {
	l := o.lives[worker]
	if l == nil {
		l = &life{open: map[string]*presence{}}
		o.lives[worker] = l
	}
	return l
}

// seen takes an event of a worker, and the way of the answer that it is, if any.
func (o *oracle) seen(e standin.RunEvent, answer *delivery) {
	l := o.life(e.Worker)
	switch e.How {
	case standin.LeaseExtended:
		left := float64(e.LeaseEnd-e.Clock) / slowestClock
		if end := e.At.Add(time.Duration(left)); end.After(l.leaseEnd) {
			l.leaseEnd = end
		}
		return
	case standin.RunsListed:
		l.ended = slices.DeleteFunc(l.ended, func(p *presence) bool {
			p.settle()
			p.promise(answer)
			return p.known
		})
		return
	}
	line := fmt.Sprintf("%v %s %s %s %d %d\n", e.At.Sub(o.began), e.How, e.Worker, e.Task, e.Run, e.Fence)
	o.trace.Write([]byte(line))
	o.lines = append(o.lines, line)
	switch e.How {
	case standin.RunStarted:
		o.start(l, e)
	case standin.StopAccepted:
		for _, p := range l.ended {
			if slices.Contains(o.tasks[e.Task], p) {
				p.promise(answer)
			}
		}
	case standin.WorkerEnded:
		for _, p := range l.open {
			p.ended, p.possible, p.known = e.At, e.At, true
		}
		for _, p := range l.ended {
			p.tell(e.At)
		}
		delete(o.lives, e.Worker)
	default:
		o.end(l, e)
	}
}

// tell ends the doubt about a run that has ended.
func (p *presence) tell(at time.Time) {
	p.known = true
	if p.possible.After(at) {
		p.possible = at
	}
}

// promise adds an answer that tells of the end once it arrives.
func (p *presence) promise(answer *delivery) {
	if answer != nil && !p.known {
		p.answers = append(p.answers, answer)
	}
}

// settle takes note of the answers that have arrived.
func (p *presence) settle() {
	for _, a := range p.answers {
		if at := a.arrived(); !p.known && !at.IsZero() {
			p.tell(at)
		}
	}
}

func (o *oracle) end(l *life, e standin.RunEvent) {
	p := l.open[e.Task]
	if p == nil {
		o.violate("days: an end of %s on %s, which had not begun", e.Task, e.Worker)
		return
	}
	delete(l.open, e.Task)
	p.ended, p.possible = e.At, l.leaseEnd
	l.ended = append(l.ended, p)
}

// start checks a start against every earlier time in which the task may be present.
func (o *oracle) start(l *life, e standin.RunEvent) {
	o.starts++
	for _, p := range o.tasks[e.Task] {
		if p.ended.IsZero() {
			o.violate("twice: %s run %d begins on %s at %v with fence %d while run %d is present on %s since %v",
				e.Task, e.Run, e.Worker, e.At.Sub(o.began), e.Fence, p.run, p.worker, p.began.Sub(o.began))
			continue
		}
		p.settle()
		// A worker knows its own runs.
		if p.worker == e.Worker || p.known {
			continue
		}
		o.margins++
		margin := e.At.Sub(p.possible)
		if o.margins == 1 || margin < o.least {
			o.least, o.leastTask = margin, e.Task
		}
		if margin < 0 {
			o.violate("margin: %s run %d begins on %s at %v with fence %d, %v before run %d on %s has surely ended; it did end at %v",
				e.Task, e.Run, e.Worker, e.At.Sub(o.began), e.Fence, -margin, p.run, p.worker, p.ended.Sub(o.began))
		}
	}
	p := &presence{worker: e.Worker, run: e.Run, began: e.At}
	o.tasks[e.Task] = append(o.tasks[e.Task], p)
	l.open[e.Task] = p
}

// running returns how many tasks of a job are present.
func (o *oracle) running(job string) int {
	n := 0
	for task, list := range o.tasks {
		if strings.HasPrefix(task, job+".") && list[len(list)-1].ended.IsZero() {
			n++
		}
	}
	return n
}
