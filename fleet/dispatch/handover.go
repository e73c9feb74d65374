package dispatch

import (
	"maps"
	"slices"
	"time"

	"verbenalanding.example/fleet/workload"
)

// Handover lists, for the successor of a holder that releases its duty, the tasks whose runs may be present.
type Handover struct {
	// Writer is the epoch of the holder that wrote the handover.
	Writer uint64 `json:"writer"`
	// Runs holds the tasks whose runs may be present, by worker.
	Runs map[string][]workload.TaskID `json:"runs"`
	// Leases holds, for workers on which these runs may be present for longer than a holder's leases usually last, how long that is.
	Leases map[string]time.Duration `json:"leases,omitempty"`
	// LostHolderLeft is how much longer a holder that was lost before the writer began may give orders.
	LostHolderLeft time.Duration `json:"lost,omitempty"`
	// LostLeasesLeft is how much longer its leases may last on workers that have not reported to the writer.
	LostLeasesLeft time.Duration `json:"lostLeases,omitempty"`
	// Reported holds the incarnations of the workers that had reported to the writer and so refuse orders of previous holders; empty
	// without LostHolderLeft.
	Reported map[string]int64 `json:"heard,omitempty"`
}

// Tasks returns the number of tasks whose runs may be present.
func (h Handover) Tasks() int {
	n := 0
	for _, tasks := range h.Runs {
		n += len(tasks)
	}
	return n
}

// Handover returns the handover for a successor. ok is false for a holder that does not know all runs that may be present, or that has
// processed ends which are not recorded.
func (p *Pool) Handover(now time.Time) (h Handover, ok bool) {
	if len(p.dirty) > 0 || p.currentUncertainty(now).allRestored || p.handoverIncomplete(now) {
		return Handover{}, false
	}
	h = Handover{Writer: p.Epoch, Runs: map[string][]workload.TaskID{}}
	inherited := p.handedOver
	if inherited == nil {
		inherited = p.inheritedUnresponsive
	}
	for worker, tasks := range inherited {
		if !p.priorLeaseEnded(worker, now) && p.awaitsReport(worker) {
			h.Runs[worker] = append(h.Runs[worker], tasks...)
			h.addLease(worker, p.handedOverLeases[worker].Sub(now))
		}
	}
	for _, w := range p.sortedWorkers() {
		if tasks := w.possibleTasks(); len(tasks) > 0 {
			h.Runs[w.ID] = append(h.Runs[w.ID], tasks...)
		}
		for _, x := range w.runs {
			if !x.attributed {
				h.addLease(w.ID, p.unattributedEnd(x).Sub(now))
			}
		}
	}
	h.LostLeasesLeft = max(p.priorLeasesUntil.Sub(now), 0)
	if h.LostHolderLeft = max(p.priorOrdersUntil.Sub(now), 0); h.LostHolderLeft > 0 {
		h.Reported = map[string]int64{}
		for _, w := range p.sortedWorkers() {
			if w.synced {
				h.Reported[w.ID] = w.Incarnation
			}
		}
	}
	return h, true
}

// addLease records for how long runs may be present on a worker, unless a longer time is recorded.
func (h *Handover) addLease(worker string, left time.Duration) {
	if left <= h.Leases[worker] {
		return
	}
	if h.Leases == nil {
		h.Leases = map[string]time.Duration{}
	}
	h.Leases[worker] = left
}

// handoverIncomplete reports whether a worker has state that a handover cannot express: ends that were not processed, or a longer lease
// than a successor assumes.
func (p *Pool) handoverIncomplete(now time.Time) bool {
	return slices.ContainsFunc(p.sortedWorkers(), func(w *worker) bool {
		return w.unprocessed.hasEnds() || (len(w.runs) > 0 && now.Before(w.earlierLeaseEnd))
	})
}

// InheritHandover applies the handover of the previous holder. Tasks that it does not name have no run; without a handover every task of
// an older job may run on a worker that has not reported yet.
func (p *Pool) InheritHandover(h Handover, now time.Time) {
	p.handedOver = TasksByWorker{}
	maps.Copy(p.handedOver, h.Runs)
	p.reportedBefore = h.Reported
	// The writer gives no further orders, so only the last leases count: its own and those of a holder lost before it.
	p.priorOrdersUntil = now.Add(h.LostHolderLeft)
	p.priorLeasesUntil = now.Add(max(p.longestElapsed(p.Settings.Lease), h.LostLeasesLeft))
	p.handedOverLeases = map[string]time.Time{}
	for worker, left := range h.Leases {
		p.handedOverLeases[worker] = now.Add(left)
	}
}
