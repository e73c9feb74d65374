package dispatch

import (
	"slices"
	"time"
)

const (
	// agingWait is how long a task waits, where workspaces share a pool, until its job joins those that are placed first by their age.
	agingWait = 10 * time.Second
	// agedParts divides the pool's CPU: jobs that are placed by their age may occupy 1/agedParts of it. Work that is always overtaken begins after agingWait
	// and the time that this part of the pool needs for work that has waited longer.
	agedParts = 16
)

// placeAged places the jobs that have waited longest, where workspaces share the pool, until their runs occupy their part of it. Each gets the room that
// it needs if none of them runs.
func (p *Pool) placeAged(list []*candidate, u uncertainty, now time.Time) {
	if len(p.workspaces) == 0 {
		return
	}
	limit := p.capacity().CPU / agedParts
	used := p.agedCPU()
	if used > 0 && used >= limit {
		return
	}
	var aged []agedCandidate
	for _, c := range list {
		if c.longRunning || now.Sub(c.job.Accepted) < agingWait {
			continue
		}
		if since := c.waitingSince(u); now.Sub(since) >= agingWait {
			aged = append(aged, agedCandidate{c, since})
		}
	}
	if len(aged) == 0 {
		return
	}
	slices.SortStableFunc(aged, func(a, b agedCandidate) int { return a.since.Compare(b.since) })
	for _, c := range aged {
		if used > 0 && used >= limit {
			return
		}
		before := p.startsLeft
		c.job.aged = true
		p.place(c.candidate, u, now)
		c.job.aged = false
		if p.startsLeft != before {
			used = p.agedCPU()
		}
	}
}

// agedCandidate is a candidate that has waited since a time.
type agedCandidate struct {
	*candidate
	since time.Time
}

// waitingSince returns since when the candidate's oldest waiting task has been ready.
func (c *candidate) waitingSince(u uncertainty) time.Time {
	var since time.Time
	for t := range c.waitingTasks(u) {
		if since.IsZero() || t.readySince.Before(since) {
			since = t.readySince
		}
	}
	return since
}
