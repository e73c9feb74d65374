package dispatch

import (
	"slices"
	"time"
)

type stepKey struct {
	job              string
	occurrence, step int
}

type ticketSet struct {
	tickets map[string]string
	until   time.Time
	// asked is when the last question was sent; zero when none is open.
	asked time.Time
	// denied are the workers that the service did not allow; its policy for a step does not change.
	denied map[string]bool
}

const (
	// askWorkers is how many workers one question names: each costs time at the service.
	askWorkers = 30
	// askRepeat is the time after which an unanswered question is asked again.
	askRepeat = 3 * time.Second
	// ticketReserve is the part of a ticket's time that a start may take to arrive.
	ticketReserve = 300 * time.Millisecond
)

func (p *Pool) ticket(t *task, w *worker, now time.Time) string {
	if t.job.queue.Advice == nil {
		return ""
	}
	s := p.tickets[stepKey{t.id.Job, t.id.Occurrence, t.id.Step}]
	if s == nil || now.After(s.until) {
		return ""
	}
	return s.tickets[w.ID]
}

// hasTickets reports whether tickets for the task's step are at hand, and asks for some when not.
func (p *Pool) hasTickets(t *task, now time.Time) bool {
	key := stepKey{t.id.Job, t.id.Occurrence, t.id.Step}
	s := p.tickets[key]
	if s == nil {
		s = &ticketSet{denied: map[string]bool{}}
		p.tickets[key] = s
	}
	if now.Before(s.until) && len(s.tickets) > 0 {
		return true
	}
	if !s.asked.IsZero() && now.Sub(s.asked) < askRepeat {
		return false
	}
	names := p.worthAsking(t, s, now)
	if len(names) == 0 {
		return false
	}
	s.asked = now
	p.actions = append(p.actions, AdviceRequest{Job: t.id.Job, Occurrence: t.id.Occurrence, Step: t.id.Step, Workers: names})
	return false
}

// worthAsking returns the emptiest workers that could run the task and were not denied.
func (p *Pool) worthAsking(t *task, s *ticketSet, now time.Time) []string {
	var list []*worker
	for _, w := range p.ordered() {
		if p.usable(w, now) && !s.denied[w.ID] && w.Capacity.Fits(t.step.Reserved()) && (t.step.RequiredLabel == "" || slices.Contains(w.Labels, t.step.RequiredLabel)) {
			list = append(list, w)
		}
	}
	slices.SortStableFunc(list, func(a, b *worker) int { return int(b.free().CPU - a.free().CPU) })
	names := make([]string, 0, askWorkers)
	for _, w := range list[:min(askWorkers, len(list))] {
		names = append(names, w.ID)
	}
	if len(names) == 0 && len(s.denied) > 0 {
		clear(s.denied)
	}
	return names
}

// AdviceReceived takes the answer of the advice service over; a nil map means that none arrived.
func (p *Pool) AdviceReceived(a AdviceRequest, tickets map[string]string, until, now time.Time) {
	s := p.tickets[stepKey{a.Job, a.Occurrence, a.Step}]
	if s == nil {
		return
	}
	s.asked = time.Time{}
	if tickets == nil {
		s.asked = now
		return
	}
	s.tickets, s.until = tickets, until.Add(-ticketReserve)
	for _, id := range a.Workers {
		if tickets[id] == "" {
			s.denied[id] = true
		}
	}
}
