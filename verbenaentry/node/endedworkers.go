package node

import (
	"context"
	"time"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/interval"
	"verbenalanding.example/fleet/workload"
)

const (
	// endedCheckInterval is how often the machines of unresponsive workers are looked up.
	endedCheckInterval = 200 * time.Millisecond
	// unresponsiveAfter is the time since a worker's last report after which its machine is looked up: by then two holds are unanswered.
	unresponsiveAfter = 900 * time.Millisecond
	// maxClockDifference is how far the wall clocks of two machines may differ; the incarnation of a worker is its start time by its own
	// clock.
	maxClockDifference = 5 * time.Second
)

// dropEndedWorkers looks up unresponsive workers in the platform's list of machines and drops those whose machine no longer runs them, so
// that no task waits for them. After a takeover it also passes the listed workers to the scheduler, which waits for the reports of all of
// them: a running worker may have no registration.
func (p *pool) dropEndedWorkers(ctx context.Context) error {
	for listApplied := false; ctx.Err() == nil; interval.Wait(ctx, endedCheckInterval) {
		now := p.node.Clock.Now()
		p.mu.Lock()
		unresponsive := append(p.scheduler.AwaitingReport(now), p.scheduler.ReportOverdue(now, unresponsiveAfter)...)
		p.mu.Unlock()
		if listApplied && len(unresponsive) == 0 {
			continue
		}
		p.machines.refresh(ctx, p.machines.endedCheckAge())
		if !listApplied {
			listApplied = p.applyListedWorkers()
		}
		p.dropListedAsEnded(unresponsive, now)
	}
	return nil
}

// endedCheckAge returns the age from which on the list of machines is requested again for unresponsive workers. A list that lacks entries is likely
// to lack them again.
func (mt *machineTracker) endedCheckAge() time.Duration {
	mt.mu.Lock()
	defer mt.mu.Unlock()
	if mt.listPartial {
		return machineListInterval
	}
	return endedCheckInterval / 2
}

// applyListedWorkers passes the workers that run according to the list of machines to the scheduler; it reports whether there is a list that lacks
// none of them.
func (p *pool) applyListedWorkers() bool {
	p.machines.mu.Lock()
	listed := !p.machines.listFailed && !p.machines.listPartial && !p.machines.listedAt.IsZero()
	var ids []string
	for _, m := range p.machines.byID {
		// A machine of which only the name can be decoded may run a worker of the pool.
		listed = listed && m.State != workload.MachineUnknown
		if m.Pool == p.name && m.State == workload.MachineUp && m.Worker != "" {
			ids = append(ids, m.Worker)
		}
	}
	p.machines.mu.Unlock()
	if !listed {
		return false
	}
	p.mu.Lock()
	p.scheduler.SetLiveWorkers(ids)
	unresponsive := len(p.scheduler.AwaitingReport(p.node.Clock.Now()))
	p.mu.Unlock()
	p.log.Info().Int("listed", len(ids)).Int("unheard", unresponsive).Msg("running workers listed")
	p.triggerPlan()
	return true
}

func (p *pool) dropListedAsEnded(unresponsive []dispatch.WorkerIncarnation, now time.Time) {
	ended := p.machines.ended(unresponsive, now)
	if len(ended) == 0 {
		return
	}
	p.update(func(scheduler *dispatch.Pool) {
		for _, w := range ended {
			scheduler.IncarnationEnded(w, "no longer running on its machine")
		}
	})
}

// listedState is what a list of machines shows of a worker.
type listedState int

const (
	// listedUnknown workers may have started after the list was made, or the list does not show their machine.
	listedUnknown listedState = iota
	listedRunning
	listedEnded
)

// mayPostdate reports whether a worker may have started after a list of machines was made.
func mayPostdate(w dispatch.WorkerIncarnation, listedAt time.Time) bool {
	return listedAt.Sub(w.Since) < listLag && listedAt.Sub(time.UnixMilli(w.Incarnation)) < listLag+maxClockDifference
}

// listedAsEnded reports whether the list of machines shows that a worker has ended. A worker that may have started after the list was made
// may be missing from it and does not count as ended.
func listedAsEnded(w dispatch.WorkerIncarnation, m workload.Machine, listed bool, listedAt time.Time) bool {
	if w.Machine == "" || w.Incarnation == 0 || m.State == workload.MachineUnknown || mayPostdate(w, listedAt) {
		return false
	}
	return !listed || m.State != workload.MachineUp || m.Worker != w.ID
}
