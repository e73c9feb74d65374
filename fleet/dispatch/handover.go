package dispatch

import (
	"maps"
	"slices"
	"time"

	"verbenalanding.example/fleet/workload"
)

// Handover is what a holder that gives its duty back tells its successor: every run that may be present, by worker.
type Handover struct {
	// Writer is the epoch of the holder that wrote it.
	Writer uint64 `json:"writer"`
	// Runs holds the runs that may be present, by worker.
	Runs map[string][]workload.TaskID `json:"runs"`
	// LostHolderLeft is for how much longer a holder that was lost before the writer began may give orders.
	LostHolderLeft time.Duration `json:"lost,omitempty"`
	// Reported holds the births of the workers that the writer had heard, which refuse orders of holders before; empty without Lost.
	Reported map[string]int64 `json:"heard,omitempty"`
}

// Handover returns the runs that may be present; ok is false for a holder that does not know them all itself, or that has
// seen ends which are not recorded.
func (p *Pool) Handover(now time.Time) (h Handover, ok bool) {
	if len(p.dirty) > 0 || p.uncertain(now).everywhere || p.untold(now) {
		return Handover{}, false
	}
	h = Handover{Writer: p.Epoch, Runs: map[string][]workload.TaskID{}}
	if !p.leasesOver(now) {
		told := p.mayRun
		if told == nil {
			told = p.inherited
		}
		for worker, tasks := range told {
			if p.unheard(worker) {
				h.Runs[worker] = append(h.Runs[worker], tasks...)
			}
		}
	}
	for _, w := range p.ordered() {
		if tasks := w.mayRun(); len(tasks) > 0 {
			h.Runs[w.ID] = append(h.Runs[w.ID], tasks...)
		}
	}
	if h.LostHolderLeft = max(p.lostUntil.Sub(now), 0); h.LostHolderLeft > 0 {
		h.Reported = map[string]int64{}
		for _, w := range p.ordered() {
			if w.synced {
				h.Reported[w.ID] = w.Incarnation
			}
		}
	}
	return h, true
}

// untold reports whether a worker has what a handover cannot tell: ends that were not taken over, or a longer lease than a successor counts.
func (p *Pool) untold(now time.Time) bool {
	return slices.ContainsFunc(p.ordered(), func(w *worker) bool {
		return w.untaken.ends() || (len(w.runs) > 0 && now.Before(w.longLease))
	})
}

// InheritHandover takes over what the holder before has told. Tasks that it does not name run nowhere; without a handover every task of
// an older job may run on a worker that was not heard yet.
func (p *Pool) InheritHandover(h Handover, now time.Time) {
	p.mayRun = Unresponsive{}
	maps.Copy(p.mayRun, h.Runs)
	p.heardBefore = h.Reported
	// The writer gives no orders any more, so that only the last leases count: its own and those of a holder lost before it.
	p.lostUntil = now.Add(h.LostHolderLeft)
	p.unsureUntil = p.lostUntil.Add(p.stretch(p.Settings.Lease))
}
