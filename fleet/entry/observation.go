package entry

import (
	"time"

	"verbenalanding.example/fleet/claim"
)

// Observation describes how a request ended; service-level reports and explanations of refusals are based on it.
type Observation struct {
	RequestID string
	Service   string
	Class     string
	Team      string
	Outcome   claim.Outcome
	// Reason is empty for a response of the backend server.
	Reason string
	// Status is the backend server's status; 0 without a response.
	Status   int
	Revision uint64
	At       time.Time
	Took     time.Duration
}

func observationOf(req *checkedRequest, r reply) Observation {
	o := Observation{
		RequestID: req.id, Service: req.service.Name, Class: req.class, Team: req.team,
		Outcome: r.outcome, Reason: r.reason, Revision: req.revision,
	}
	if r.response != nil {
		o.Outcome, o.Status = claim.Completed, r.response.status
	}
	return o
}

func (e *Entry) observe(o Observation, arrived time.Time) {
	if e.Observed == nil || o.Service == "" {
		return
	}
	o.At = e.Now()
	o.Took = o.At.Sub(arrived)
	e.Observed(o)
}
