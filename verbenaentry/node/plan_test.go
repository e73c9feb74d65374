package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"verbenalanding.example/fleet/leadership"
	"verbenalanding.example/fleet/ring"
	"verbenalanding.example/fleet/workload"
)

// waitingPool returns a pool with one worker, one task to start on it, and the given number of unanswered orders in flight.
func waitingPool(limit, unanswered int) *pool {
	p := offlinePool()
	p.wake, p.writeNow = ring.New[struct{}](1), ring.New[struct{}](1)
	p.node.Elector = &leadership.Elector{}
	p.orders.SetLimit(limit)
	for range unanswered {
		p.orders.Go(func() error {
			time.Sleep(unansweredTime)
			return nil
		})
	}
	now := p.node.Clock.Now()
	room := workload.Resources{CPU: 4000, MemoryMB: 4096}
	p.core.SetWorker(workload.Worker{ID: "w", Pool: p.name, Capacity: room}, now)
	p.core.Report("w", workload.Report{Clock: time.Second}, now)
	p.core.AddJob(workload.Job{
		ID: "a", Pool: p.name, Accepted: now, Steps: []workload.Step{{Tasks: 1, Need: room, Estimate: time.Second}},
	}, nil, false, now)
	return p
}

// unansweredTime is how long the unanswered orders of these tests take.
const unansweredTime = 2 * time.Second

// Guards against a pool that stalls with tasks waiting and machines idle: the time for which orders waited for unanswered ones counted as
// the time of the plan, and the next plan waited twice as long.
func TestQueuedOrdersDoNotDelayNextPlan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := waitingPool(1, 1)
		began := time.Now()
		rest := p.plan(context.Background())
		if got := time.Since(began); got != unansweredTime {
			t.Errorf("time until the start was sent: got %v, want %v", got, unansweredTime)
		}
		if rest != planPause {
			t.Errorf("pause before the next plan: got %v, want %v", rest, planPause)
		}
		_ = p.orders.Wait()
	})
}

// Guards against starts that are refused as late, and machines that stay idle although tasks wait: unanswered orders occupied all of the
// pool's order slots.
func TestUnansweredOrdersDoNotBlockOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// Of 700 starts a second, three in ten stay without an answer for 0.5 s to 1 s, and so do the stops that follow them.
		const unanswered = 200
		began := time.Now()
		p := waitingPool(maxOrders, unanswered)
		p.plan(context.Background())
		if got := time.Since(began); got != 0 {
			t.Errorf("time until the start was sent: got %v, want 0", got)
		}
		_ = p.orders.Wait()
	})
}
