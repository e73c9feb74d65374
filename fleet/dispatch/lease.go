package dispatch

import (
	"time"

	"verbenalanding.example/fleet/workload"
)

// Hold is what to send to a worker next.
type Hold struct {
	// LeaseEnd is a time of the worker's clock; 0 leaves the lease as it is.
	LeaseEnd     time.Duration
	Acknowledged int64
	// Known is false for a worker that is not in the pool any more.
	Known  bool
	Worker workload.Worker
}

// NextHold returns the hold to send to a worker; the lease that it grants is counted from now on.
func (p *Pool) NextHold(id string, now time.Time) Hold {
	w := p.workers[id]
	if w == nil {
		return Hold{}
	}
	h := Hold{Acknowledged: w.recorded, Known: true, Worker: w.Worker}
	if !w.synced || now.Sub(w.heard) > p.Settings.ReportTimeout || p.abandoned(w, now) {
		return h
	}
	h.LeaseEnd = w.clockAt(now) + p.Settings.Lease
	p.extend(w, now, p.Settings.Lease)
	return h
}

// abandoned reports whether a worker has been without registration for so long that its lease may end.
func (p *Pool) abandoned(w *worker, now time.Time) bool {
	return !w.missing.IsZero() && now.Sub(w.missing) > p.Settings.RegistrationGrace
}

// extend moves the latest end of the worker's lease, by the local clock.
func (p *Pool) extend(w *worker, now time.Time, lease time.Duration) {
	end := w.heard.Add(p.stretch(now.Sub(w.heard) + lease))
	if end.After(w.leaseEnd) {
		w.leaseEnd = end
	}
}

// quietFor is how long a successor is told of a worker that is gone; the platform may list its machine for longer than it lives.
const quietFor = time.Minute

// checkLeases declares the runs of workers lost whose lease has ended unheard, and forgets workers that left.
func (p *Pool) checkLeases(now time.Time) {
	for _, w := range p.ordered() {
		silent := now.Sub(w.heard) > p.Settings.ReportTimeout
		if (len(w.runs) > 0 || w.untaken.any()) && p.over(w.leaseEnd, now) && (silent || p.abandoned(w, now)) {
			p.note(Event{Kind: "worker lease ended", Worker: w.ID, Age: now.Sub(w.heard)})
			for _, r := range w.sorted() {
				if !r.uncertain {
					p.lose(r, "lease ended")
				}
			}
			// Ends that were listed before the lease ended, and not acknowledged, do not count.
			w.forgetLists()
			w.partial = false
			// What runs here from now on was not ordered after the last report.
			w.synced, w.lapsed = false, true
		}
		if len(w.runs) == 0 && len(w.early) == 0 && p.abandoned(w, now) && silent {
			if w.synced || w.lapsed {
				p.quiet[w.ID] = now.Add(quietFor)
			}
			p.removeWorker(w.ID)
		}
	}
}

// leasesOver reports whether the leases of holders before have surely ended: a holder that began since may have prolonged them.
func (p *Pool) leasesOver(now time.Time) bool { return p.over(p.unsureUntil, now) }

// over reports whether a time has passed that the duty was still held after.
func (p *Pool) over(end, now time.Time) bool {
	return now.After(end) && (!p.AwaitConfirmation || p.provenAt.After(end))
}
