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
	absentEvery = 200 * time.Millisecond
	// absentAfter is the silence of a worker after which its machine is looked up: two holds were not answered.
	absentAfter = 900 * time.Millisecond
	// clockDifference is by how much the times of day of two machines may differ; a worker tells its birth by its own.
	clockDifference = 5 * time.Second
)

// dropAbsent compares workers that are not heard with the platform's list of machines, so that nothing waits for one whose machine
// does not run it any more. After a take-over the holder also waits for workers that live without registration.
func (p *pool) dropAbsent(ctx context.Context) error {
	for told := false; ctx.Err() == nil; interval.Wait(ctx, absentEvery) {
		now := p.node.Clock.Now()
		p.mu.Lock()
		unheard := append(p.core.Unheard(now), p.core.Silent(now, absentAfter)...)
		p.mu.Unlock()
		if told && len(unheard) == 0 {
			continue
		}
		p.book.refresh(ctx, absentEvery/2)
		if !told {
			told = p.tellListed()
		}
		p.dropListedAbsent(unheard, now)
	}
	return nil
}

// tellListed tells the decisions which workers live; it reports whether the list could be read.
func (p *pool) tellListed() bool {
	p.book.mu.Lock()
	known := !p.book.failed && !p.book.listed.IsZero()
	var ids []string
	for _, m := range p.book.list {
		if m.Pool == p.name && m.State == workload.MachineUp && m.Worker != "" {
			ids = append(ids, m.Worker)
		}
	}
	p.book.mu.Unlock()
	if !known {
		return false
	}
	p.mu.Lock()
	p.core.Expect(ids)
	unheard := len(p.core.Unheard(p.node.Clock.Now()))
	p.mu.Unlock()
	p.log.Info().Int("listed", len(ids)).Int("unheard", unheard).Msg("living workers listed")
	p.kick()
	return true
}

func (p *pool) dropListedAbsent(unheard []dispatch.SeenWorker, now time.Time) {
	gone, _ := p.book.gone(unheard, now)
	if len(gone) == 0 {
		return
	}
	p.update(func(core *dispatch.Pool) {
		for _, w := range gone {
			core.LifeEnded(w, "its machine does not run it any more")
		}
	})
}

// absent reports whether a list of machines proves that a worker has ended: one that is younger than the list may be is not in it yet.
func absent(w dispatch.SeenWorker, m workload.Machine, listed bool, now time.Time) bool {
	if w.Machine == "" || w.Incarnation == 0 {
		return false
	}
	if now.Sub(w.Since) < listLag && now.Sub(time.UnixMilli(w.Incarnation)) < listLag+clockDifference {
		return false
	}
	return !listed || m.State != workload.MachineUp || m.Worker != w.ID
}
