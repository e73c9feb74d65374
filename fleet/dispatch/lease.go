package dispatch

import (
	"time"

	"verbenalanding.example/fleet/workload"
)

// Hold is a call to a worker that renews its lease and acknowledges ends; the worker answers with a report.
type Hold struct {
	// LeaseEnd is a time on the worker's clock; 0 leaves the lease unchanged.
	LeaseEnd     time.Duration
	Acknowledged int64
	// Known is false for a worker that is not in the pool.
	Known  bool
	Worker workload.Worker
}

// NextHold returns the hold to send to a worker; the lease that it grants counts from now.
func (p *Pool) NextHold(id string, now time.Time) Hold {
	w := p.workers[id]
	if w == nil {
		return Hold{}
	}
	h := Hold{Acknowledged: w.recorded, Known: true, Worker: w.Worker}
	if !w.synced || now.Sub(w.reportedAt) > p.Settings.ReportTimeout || p.registrationExpired(w, now) {
		return h
	}
	h.LeaseEnd = w.clockAt(now) + p.Settings.Lease
	p.extendLease(w, now, p.Settings.Lease)
	w.leaseSentAt = now
	return h
}

// registrationExpired reports whether a worker has been without a registration for so long that its lease may end.
func (p *Pool) registrationExpired(w *worker, now time.Time) bool {
	return !w.missingSince.IsZero() && now.Sub(w.missingSince) > p.Settings.RegistrationGrace
}

// extendLease moves the latest local time at which the worker's lease may end.
func (p *Pool) extendLease(w *worker, now time.Time, lease time.Duration) {
	end := w.reportedAt.Add(p.longestElapsed(now.Sub(w.reportedAt) + lease))
	if end.After(w.leaseEnd) {
		w.leaseEnd = end
	}
}

// unattributedEnd returns the latest time at which an incarnation of which this holder does not know may have a run. The clock of such an
// incarnation is far behind the lease ends in orders, so that it grants the longest lease with each, and does not refuse a late start.
func (p *Pool) unattributedEnd(x *run) time.Time {
	from := x.worker.leaseSentAt
	if startedBy := x.orderedAt.Add(p.Settings.MaxOrderDelay); x.startClock == 0 && startedBy.After(from) {
		from = startedBy
	}
	return from.Add(p.longestElapsed(p.Settings.MaxLease))
}

// countPriorLease extends the lease of a worker that reports for the first time by what a previous holder may have granted it, until then or
// until its last order, also by a lease end that was meant for the clock of an earlier incarnation.
func (p *Pool) countPriorLease(w *worker, reportedAt time.Time) {
	from := p.priorOrdersUntil
	if reportedAt.Before(from) {
		from = reportedAt
	}
	if end := from.Add(p.longestElapsed(p.Settings.MaxLease)); end.After(w.leaseEnd) {
		w.leaseEnd = end
	}
}

// departedRetention is how long the record for a successor names a worker that is gone; the platform may list its machine for longer than
// the worker lives.
const departedRetention = time.Minute

// checkLeases gives up the runs of workers whose lease has ended without a report, and removes idle workers whose registration is gone.
func (p *Pool) checkLeases(now time.Time) {
	for _, w := range p.sortedWorkers() {
		unresponsive := now.Sub(w.reportedAt) > p.Settings.ReportTimeout
		if (len(w.runs) > 0 || w.unprocessed.any()) && p.expired(w.leaseEnd, now) && (unresponsive || p.registrationExpired(w, now)) {
			if !w.lapsed {
				p.emit(Event{Kind: "worker lease ended", Worker: w.ID, Age: now.Sub(w.reportedAt)})
			}
			for _, r := range w.sortedRuns() {
				if !r.uncertain && (r.attributed || p.expired(p.unattributedEnd(r), now)) {
					p.lose(r, "lease ended")
				}
			}
			// Ends that were listed before the lease ended and were not acknowledged do not count.
			w.resetUnknown()
			w.partial = false
			// The worker gets no starts before its next report, so what it may run does not change.
			w.synced, w.lapsed = false, true
		}
		if len(w.runs) == 0 && len(w.unknownTasks) == 0 && p.registrationExpired(w, now) && unresponsive {
			if w.synced || w.lapsed {
				p.departed[w.ID] = now.Add(departedRetention)
			}
			p.removeWorker(w.ID)
		}
	}
}

// priorLeasesEnded reports whether the leases of previous holders have certainly ended: a successor of this holder may have extended them,
// so the duty must be confirmed after their end.
func (p *Pool) priorLeasesEnded(now time.Time) bool { return p.expired(p.priorLeasesUntil, now) }

// priorLeaseUntil returns the time until which runs of previous holders may be present on a worker that has not reported.
func (p *Pool) priorLeaseUntil(worker string) time.Time {
	if until := p.handedOverLeases[worker]; until.After(p.priorLeasesUntil) {
		return until
	}
	return p.priorLeasesUntil
}

// priorLeaseEnded reports whether the leases of previous holders have certainly ended on a worker.
func (p *Pool) priorLeaseEnded(worker string, now time.Time) bool {
	return p.expired(p.priorLeaseUntil(worker), now)
}

// expired reports whether a time has passed and the duty is confirmed to have been held after it.
func (p *Pool) expired(end, now time.Time) bool {
	return now.After(end) && (!p.AwaitConfirmation || p.confirmedAt.After(end))
}
