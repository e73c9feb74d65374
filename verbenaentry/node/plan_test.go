package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"verbenalanding.example/fleet/ring"
	"verbenalanding.example/fleet/tenure"
	"verbenalanding.example/fleet/workload"
)

// Guards against a pool that stands still with work waiting and machines idle: the time in which orders waited for unanswered ones
// was taken for the time of a plan, and the next plan waited for twice as long.
func TestOrdersThatWaitDelayNoPlan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const unanswered = 2 * time.Second
		p := lockedPool()
		p.wake, p.writes = ring.New[struct{}](1), ring.New[struct{}](1)
		p.node.Tenure = &tenure.Tenure{}
		p.orders.SetLimit(1)
		p.orders.Go(func() error {
			time.Sleep(unanswered)
			return nil
		})
		now := p.node.Clock.Now()
		room := workload.Room{CPU: 4000, MemoryMB: 4096}
		p.core.SetWorker(workload.Worker{ID: "w", Pool: p.name, Room: room}, now)
		p.core.Report("w", workload.Report{Clock: time.Second}, now)
		p.core.AddJob(workload.Job{
			ID: "a", Pool: p.name, Accepted: now, Steps: []workload.Step{{Tasks: 1, Need: room, Estimate: time.Second}},
		}, nil, false, now)
		began := time.Now()
		rest := p.plan(context.Background())
		if got := time.Since(began); got != unanswered {
			t.Errorf("time until the start was sent: got %v, want %v", got, unanswered)
		}
		if rest != planPause {
			t.Errorf("pause before the next plan: got %v, want %v", rest, planPause)
		}
		_ = p.orders.Wait()
	})
}
