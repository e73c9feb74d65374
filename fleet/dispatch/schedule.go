package dispatch

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"verbenalanding.example/fleet/workload"
)

const (
	// openAhead is how long before it is due an occurrence gets a state of its own.
	openAhead = 2 * time.Second
	// maxWaitingTasks is the number of a job's waiting tasks from which on no further occurrences of it get a state. A job whose occurrences come
	// faster than they are done uses no more memory than that, and what the workers run.
	maxWaitingTasks = 4096
	// maxOpenTasks is the number of tasks with a state from which on no further occurrences get one, over all jobs of a pool that go before the
	// occurrence's job or have its priority. It is that of the largest job, some 14 MB.
	maxOpenTasks = 65_536
)

// backlog counts the tasks that have a state, by the level of their job; lower levels go first.
type backlog map[int]int

// longRunningLevel goes before all priorities: long-running tasks are placed first.
const longRunningLevel = math.MinInt

// level returns a job's level in the backlog.
func (j *job) level() int {
	if j.longRunning {
		return longRunningLevel
	}
	return j.queue.Priority
}

// countBacklog counts the tasks of the active jobs that have a state.
func (p *Pool) countBacklog() backlog {
	b := backlog{}
	for _, j := range p.active {
		tasks := 0
		for _, oc := range j.schedule.open {
			tasks += oc.tasks
		}
		if tasks > 0 {
			b[j.level()] += tasks
		}
	}
	return b
}

// isFull reports whether no further occurrence of a job gets a state.
func (b backlog) isFull(j *job) bool {
	n := 0
	for level, tasks := range b {
		if level <= j.level() {
			n += tasks
		}
	}
	return n >= maxOpenTasks
}

// schedule holds the occurrences of a job. Only those have a state that have begun or are due soon: a job may be declared for years.
type schedule struct {
	total int
	// withoutRun is the number of tasks of open occurrences that are not done and have no run.
	withoutRun int
	// open holds the occurrences with a state, by ascending number.
	open []*occurrence
	// next is the number of the first occurrence that was not opened in its turn yet.
	next int
	// done holds the numbers of the occurrences whose tasks are all done.
	done Ranges
}

type occurrence struct {
	number    int
	due       time.Time
	openedAt  time.Time
	steps     []stepState
	stepsLeft int
	// tasks is the number of tasks of all steps.
	tasks int
}

// find returns the open occurrence with a number, or nil.
func (s *schedule) find(number int) *occurrence {
	i, found := s.search(number)
	if !found {
		return nil
	}
	return s.open[i]
}

func (s *schedule) search(number int) (int, bool) {
	return slices.BinarySearchFunc(s.open, number, func(o *occurrence, n int) int { return cmp.Compare(o.number, n) })
}

// isDone reports whether all occurrences are done.
func (s *schedule) isDone() bool { return len(s.open) == 0 && s.done.size() == s.total }

// backlogTurn is how long a job of a full backlog keeps the state of an occurrence of which nothing has started, while other jobs have none. Tasks may
// wait 3 s beside free workers.
const backlogTurn = time.Second

// rotateBacklog drops the state of what has not begun in its turn, if the backlog is full: other jobs may fit where these don't.
func (p *Pool) rotateBacklog(now time.Time) {
	if !p.backlogFull {
		return
	}
	p.backlogFull = false
	full := maps.Clone(p.backlog)
	var kept, passed []*job
	for _, j := range p.active {
		if full.isFull(j) && p.dropUnbegun(j, now) {
			passed = append(passed, j)
		} else {
			kept = append(kept, j)
		}
	}
	p.active = append(kept, passed...)
}

// dropUnbegun drops the state of the last occurrences of a job that have not begun in their turn, and reports whether there were any.
func (p *Pool) dropUnbegun(j *job, now time.Time) (dropped bool) {
	s := &j.schedule
	for len(s.open) > 0 {
		oc := s.open[len(s.open)-1]
		if oc.number != s.next-1 || now.Sub(oc.openedAt) < backlogTurn || oc.begun() {
			return dropped
		}
		p.backlog[j.level()] -= oc.tasks
		s.withoutRun -= oc.tasks
		p.dropTickets(j, oc)
		s.open = s.open[:len(s.open)-1]
		s.next--
		dropped = true
	}
	return dropped
}

// begun reports whether a task of the occurrence has run or may run.
func (oc *occurrence) begun() bool {
	for s := range oc.steps {
		st := &oc.steps[s]
		if st.done > 0 || !st.startedAt.IsZero() || slices.ContainsFunc(st.tasks, (*task).begun) {
			return true
		}
	}
	return false
}

func (t *task) begun() bool {
	return len(t.runs) > 0 || len(t.failedRuns) > 0 || t.lastRun > 0 || t.checkpoint != ""
}

// openDue opens the occurrences of a job that are due soon.
func (p *Pool) openDue(j *job, now time.Time) {
	s := &j.schedule
	for s.next < s.total && !j.Due(s.next).After(now.Add(openAhead)) {
		if p.backlog.isFull(j) {
			p.backlogFull = true
			return
		}
		if len(s.open) > 0 && s.withoutRun >= maxWaitingTasks {
			return
		}
		p.openOccurrence(j, s.next, now)
		s.next++
	}
}

// openOccurrence returns the occurrence with a number, and gives it a state if it has none yet; nil for one that is done or does not exist.
func (p *Pool) openOccurrence(j *job, number int, now time.Time) *occurrence {
	s := &j.schedule
	if !within(number, s.total) || s.done.contains(number) {
		return nil
	}
	i, found := s.search(number)
	if found {
		return s.open[i]
	}
	oc := j.newOccurrence(number, now)
	s.open = slices.Insert(s.open, i, oc)
	p.backlog[j.level()] += oc.tasks
	p.updateReadySteps(j, oc, now)
	return oc
}

func (j *job) newOccurrence(number int, now time.Time) *occurrence {
	oc := &occurrence{number: number, due: j.Due(number), openedAt: now, steps: make([]stepState, len(j.Steps)), stepsLeft: len(j.Steps)}
	for s := range j.Steps {
		step := &j.Steps[s]
		tasks := make([]*task, step.Tasks)
		block := make([]task, step.Tasks)
		for i := range tasks {
			block[i] = task{
				id: workload.TaskID{Job: j.ID, Occurrence: number, Step: s, Index: i}, job: j, step: step, state: &oc.steps[s], readySince: now,
			}
			tasks[i] = &block[i]
		}
		st := &oc.steps[s]
		st.tasks, st.withoutRun = tasks, step.Tasks
		st.longRunning, st.gang, st.after = step.LongRunning, step.Gang, step.After
		st.declared, st.cores, st.reserved = declaredRunTime(step), float64(step.Need.CPU)/1000, step.Reserved()
		oc.tasks += step.Tasks
		j.schedule.withoutRun += step.Tasks
	}
	return oc
}

// closeOccurrence drops the state of an occurrence whose tasks are all done.
func (p *Pool) closeOccurrence(j *job, oc *occurrence) {
	j.schedule.done.add(oc.number)
	if i, found := j.schedule.search(oc.number); found {
		j.schedule.open = slices.Delete(j.schedule.open, i, i+1)
	}
	p.dropTickets(j, oc)
}

// dropTickets forgets the tickets for the steps of an occurrence.
func (p *Pool) dropTickets(j *job, oc *occurrence) {
	for s := range oc.steps {
		delete(p.tickets, stepKey{j.ID, oc.number, s})
	}
}
