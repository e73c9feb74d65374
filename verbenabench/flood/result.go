package flood

import (
	"time"

	"verbenalanding.example/fleet/admission"
)

// outcome is the result of a request for its caller.
type outcome int

const (
	completed outcome = iota
	refused
	expired
	unknown
	cancelled
)

// counts holds the figures of the requests of one service that arrived in one phase.
type counts struct {
	arrived, completed, refused, expired, unknown, cancelled int
	retries                                                  int
	// serviceTime is the total service time of completed requests.
	serviceTime time.Duration
	// addedLatency is the total latency of completed requests beyond their service time.
	addedLatency time.Duration
}

// phase is the part of a run in which a request arrived.
type phase int

const (
	warmup phase = iota
	baseline
	overloaded
	settling
	recovered
	phaseCount
)

func phaseOf(t time.Duration) phase {
	switch {
	case t < warmupEnd:
		return warmup
	case t < overloadStart:
		return baseline
	case t < overloadEnd:
		return overloaded
	case t < settleEnd:
		return settling
	}
	return recovered
}

// tally holds the counts of a service by phase.
type tally [phaseCount]counts

// result holds the measurements of one simulation.
type result struct {
	services   []tally
	storeCalls int
	// goodServiceTime is the service time of completed requests that falls between the start and the end of the overload, whenever the
	// requests arrived or ended.
	goodServiceTime time.Duration
}

func (r *result) countsOf(q *request) *counts { return &r.services[q.service][phaseOf(q.arrived)] }

// endRequest records the outcome of a request.
func (m *simulation) endRequest(q *request, o outcome) {
	if q.ended {
		panic("request ended twice")
	}
	q.ended = true
	c := m.result.countsOf(q)
	c.retries += max(q.attempts-1, 0)
	switch o {
	case completed:
		c.completed++
		c.serviceTime += q.serviceTime
		c.addedLatency += m.now - q.arrived - q.serviceTime
		m.result.goodServiceTime += max(min(q.workStarted+q.serviceTime, overloadEnd)-max(q.workStarted, overloadStart), 0)
	case refused:
		c.refused++
	case expired:
		c.expired++
	case unknown:
		c.unknown++
	case cancelled:
		c.cancelled++
	}
}

// className returns the name of a class in the report.
func className(c admission.Class) string { return [...]string{"urgent", "standard", "deferrable"}[c] }
