package node

import (
	"context"
	"time"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/interval"
	"verbenalanding.example/fleet/workload"
)

const (
	// absentEvery is how often the machines of workers that are not heard are looked up.
	endedCheckInterval = 200 * time.Millisecond
	// absentAfter is the silence of a worker after which its machine is looked up: two holds were not answered.
	unresponsiveAfter = 900 * time.Millisecond
	// clockDifference is by how much the times of day of two machines may differ; a worker tells its birth by its own.
	maxClockDifference = 5 * time.Second
)

// dropAbsent compares workers that are not heard with the platform's list of machines, so that nothing waits for one whose machine
// does not run it any more. After a take-over the holder also waits for workers that live without registration.
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

// tellListed tells the decisions which workers live; it reports whether the list could be read.
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
	p.log.Info().Int("listed", len(ids)).Int("unheard", unresponsive).Msg("living workers listed")
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

// absent reports whether a list of machines proves that a worker has ended: one that is younger than the list may be is not in it yet.
func listedAsEnded(w dispatch.WorkerIncarnation, m workload.Machine, listed bool, now time.Time) bool {
	if w.Machine == "" || w.Incarnation == 0 {
		return false
	}
	if now.Sub(w.Since) < listLag && now.Sub(time.UnixMilli(w.Incarnation)) < listLag+maxClockDifference {
		return false
	}
	return !listed || m.State != workload.MachineUp || m.Worker != w.ID
}
