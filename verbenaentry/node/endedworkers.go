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
	// unresponsiveAfter is the time since a worker's last contact after which its machine is looked up: two holds were not answered.
	unresponsiveAfter = 900 * time.Millisecond
	// maxClockDifference is how far the wall clocks of two machines may differ; a worker's incarnation is the time of its start by its own
	// clock.
	maxClockDifference = 5 * time.Second
)

// dropEndedWorkers looks up unresponsive workers in the platform's list of machines and drops those whose machine no longer runs them, so
// that no task waits for them. After a takeover the holder also waits for running workers that have no registration.
func (p *pool) dropEndedWorkers(ctx context.Context) error {
	for reported := false; ctx.Err() == nil; interval.Wait(ctx, endedCheckInterval) {
		now := p.node.Clock.Now()
		p.mu.Lock()
		unresponsive := append(p.core.AwaitingReport(now), p.core.ReportOverdue(now, unresponsiveAfter)...)
		p.mu.Unlock()
		if reported && len(unresponsive) == 0 {
			continue
		}
		p.machines.refresh(ctx, endedCheckInterval/2)
		if !reported {
			reported = p.reportListedWorkers()
		}
		p.dropListedAsEnded(unresponsive, now)
	}
	return nil
}

// reportListedWorkers passes the workers that the list of machines shows as running on to the pool's core; it reports whether the list
// could be read.
func (p *pool) reportListedWorkers() bool {
	p.machines.mu.Lock()
	known := !p.machines.failed && !p.machines.listed.IsZero()
	var ids []string
	for _, m := range p.machines.list {
		if m.Pool == p.name && m.State == workload.MachineUp && m.Worker != "" {
			ids = append(ids, m.Worker)
		}
	}
	p.machines.mu.Unlock()
	if !known {
		return false
	}
	p.mu.Lock()
	p.core.SetLiveWorkers(ids)
	unresponsive := len(p.core.AwaitingReport(p.node.Clock.Now()))
	p.mu.Unlock()
	p.log.Info().Int("listed", len(ids)).Int("unheard", unresponsive).Msg("running workers listed")
	p.triggerPlan()
	return true
}

func (p *pool) dropListedAsEnded(unresponsive []dispatch.WorkerIncarnation, now time.Time) {
	ended, _ := p.machines.ended(unresponsive, now)
	if len(ended) == 0 {
		return
	}
	p.update(func(core *dispatch.Pool) {
		for _, w := range ended {
			core.IncarnationEnded(w, "its machine does not run it any more")
		}
	})
}

// listedAsEnded reports whether the list of machines shows that a worker has ended. A worker that may have started after the list was
// made is not in it yet and does not count as ended.
func listedAsEnded(w dispatch.WorkerIncarnation, m workload.Machine, listed bool, now time.Time) bool {
	if w.Machine == "" || w.Incarnation == 0 {
		return false
	}
	if now.Sub(w.Since) < listLag && now.Sub(time.UnixMilli(w.Incarnation)) < listLag+maxClockDifference {
		return false
	}
	return !listed || m.State != workload.MachineUp || m.Worker != w.ID
}
