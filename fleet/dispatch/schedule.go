package dispatch

import (
	"cmp"
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
)

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
	steps     []stepState
	stepsLeft int
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

// openDue opens the occurrences of a job that are due soon.
func (p *Pool) openDue(j *job, now time.Time) {
	s := &j.schedule
	for s.next < s.total && !j.Due(s.next).After(now.Add(openAhead)) {
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
	p.updateReadySteps(j, oc, now)
	return oc
}

func (j *job) newOccurrence(number int, now time.Time) *occurrence {
	oc := &occurrence{number: number, due: j.Due(number), steps: make([]stepState, len(j.Steps)), stepsLeft: len(j.Steps)}
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
		oc.steps[s].tasks, oc.steps[s].withoutRun = tasks, step.Tasks
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
