package dispatch

import (
	"maps"
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
	// requestedAt is when the last request was sent; zero if none is outstanding.
	requestedAt time.Time
	// denied holds the workers for which the service gave no ticket; its policy for a step does not change.
	denied map[string]bool
}

const (
	// adviceWorkers is the largest number of workers in a request: each adds to the response time of the service.
	adviceWorkers = 30
	// maxAdviceWorkers is the largest number of workers in a request that the service takes.
	maxAdviceWorkers = 100
	// adviceRetry is the time after which an unanswered request is repeated.
	adviceRetry = 3 * time.Second
	// ticketReserve is how long before its expiry a ticket is used no more, so that it is still valid when the start arrives.
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

// hasTickets reports whether valid tickets for the task's step are available, and requests some if not.
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
	if !p.requestTickets(t, s, now) {
		clear(s.denied)
	}
	return false
}

// requestMoreTickets requests tickets for further workers, beside the valid ones, which are too few for a gang.
func (p *Pool) requestMoreTickets(t *task, now time.Time) {
	if s := p.tickets[stepKey{t.id.Job, t.id.Occurrence, t.id.Step}]; s != nil {
		p.requestTickets(t, s, now)
	}
}

// requestTickets requests tickets, unless a request is outstanding; it returns false if there is no worker for which it could.
func (p *Pool) requestTickets(t *task, s *ticketSet, now time.Time) bool {
	if !s.requestedAt.IsZero() && now.Sub(s.requestedAt) < adviceRetry {
		return true
	}
	names := p.adviceCandidates(t, s, now)
	if len(names) == 0 {
		return false
	}
	s.requestedAt = now
	p.actions = append(p.actions, AdviceRequest{Job: t.id.Job, Occurrence: t.id.Occurrence, Step: t.id.Step, Workers: names})
	return true
}

// adviceCandidates returns the workers with the most free CPU that could run the task, and that were neither denied nor have a valid ticket.
func (p *Pool) adviceCandidates(t *task, s *ticketSet, now time.Time) []string {
	var list []*worker
	for _, w := range p.sortedWorkers() {
		if now.Before(s.until) && s.tickets[w.ID] != "" {
			continue
		}
		if p.usable(w, now) && !s.denied[w.ID] && w.Capacity.Fits(t.step.Reserved()) && (t.step.RequiredLabel == "" || slices.Contains(w.Labels, t.step.RequiredLabel)) {
			list = append(list, w)
		}
	}
	slices.SortStableFunc(list, func(a, b *worker) int { return int(b.free().CPU - a.free().CPU) })
	limit := adviceWorkers
	if t.step.Gang {
		limit = min(max(limit, t.step.Tasks), maxAdviceWorkers)
	}
	names := make([]string, 0, limit)
	for _, w := range list[:min(limit, len(list))] {
		names = append(names, w.ID)
	}
	return names
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// AdviceReceived applies the answer of the advice service; a nil map means that no answer arrived.
func (p *Pool) AdviceReceived(a AdviceRequest, tickets map[string]string, until, now time.Time) {
	s := p.tickets[stepKey{a.Job, a.Occurrence, a.Step}]
	if s == nil {
		return
	}
	s.requestedAt = time.Time{}
	if tickets == nil {
		s.requestedAt = now
		return
	}
	for _, id := range a.Workers {
		if tickets[id] == "" {
			s.denied[id] = true
		}
	}
	stillValid := now.Before(s.until) && len(s.tickets) > 0
	if len(tickets) == 0 {
		if !stillValid {
			s.tickets = tickets
		}
		return
	}
	valid := until.Sub(now)
	if valid <= 0 {
		// Nothing can be started with such tickets; the next ones may be valid.
		s.requestedAt = now
		return
	}
	until = until.Add(-min(ticketReserve, valid/2))
	if stillValid {
		maps.Copy(s.tickets, tickets)
		s.until = earlier(s.until, until)
	} else {
		s.tickets, s.until = tickets, until
	}
}
