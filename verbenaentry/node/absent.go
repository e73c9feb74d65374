package node

import (
	"context"
	"time"

	"verbenalanding.example/fleet/workload"
)

const (
	// absentEvery is how often the machines of workers that were not heard are looked up after a take-over.
	absentEvery = 200 * time.Millisecond
	// absentFirst leaves the workers the time for a first report.
	absentFirst = 100 * time.Millisecond
	// absentAge is the least age of a worker that the list of machines may prove to be gone; the list may lag behind.
	absentAge = 3 * time.Second
)

// dropAbsent finds registered workers whose machines do not run them any more, so that a new holder waits only for workers
// that may run something.
func (p *pool) dropAbsent(ctx context.Context) error {
	pause(ctx, absentFirst)
	for ctx.Err() == nil {
		now := p.node.Clock.Now()
		p.mu.Lock()
		unheard := p.core.Unheard(now)
		p.mu.Unlock()
		if len(unheard) == 0 && p.node.pools.get(p.name) == p {
			return nil
		}
		if len(unheard) > 0 {
			p.book.refresh(ctx, absentEvery/2)
			p.dropListedAbsent(unheard, now)
		}
		pause(ctx, absentEvery)
	}
	return nil
}

func (p *pool) dropListedAbsent(unheard []workload.Worker, now time.Time) {
	p.book.mu.Lock()
	var gone []string
	for _, w := range unheard {
		m, listed := p.book.list[w.Machine]
		if !p.book.failed && !p.book.listed.Before(now) && absent(w, m, listed, now) {
			gone = append(gone, w.ID)
		}
	}
	p.book.mu.Unlock()
	if len(gone) == 0 {
		return
	}
	p.mu.Lock()
	for _, id := range gone {
		p.core.Terminated(id, "its machine does not run it any more")
	}
	p.mu.Unlock()
	p.kick()
}

// absent reports whether a list of machines proves that a worker has ended.
func absent(w workload.Worker, m workload.Machine, listed bool, now time.Time) bool {
	if w.Machine == "" || w.Born == 0 || now.Sub(time.UnixMilli(w.Born)) < absentAge {
		return false
	}
	return !listed || m.State != workload.MachineUp || m.Worker != w.ID
}
