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

// poolWithUnansweredOrders returns a pool with one worker, one task to start on it, and the given number of unanswered orders in flight.
func poolWithUnansweredOrders(limit, unanswered int) *pool {
	p := offlinePool()
	p.planNow, p.writeNow = ring.New[struct{}](1), ring.New[struct{}](1)
	p.node.Elector = &leadership.Elector{}
	p.orders.SetLimit(limit)
	for range unanswered {
		p.orders.Go(func() error {
			time.Sleep(unansweredTime)
			return nil
		})
	}
	now := p.node.Clock.Now()
	capacity := workload.Resources{CPU: 4000, MemoryMB: 4096}
	p.scheduler.SetWorker(workload.Worker{ID: "w", Pool: p.name, Capacity: capacity}, now)
	p.scheduler.Report("w", workload.Report{Clock: time.Second}, now)
	p.scheduler.AddJob(workload.Job{
		ID: "a", Pool: p.name, Accepted: now, Steps: []workload.Step{{Tasks: 1, Need: capacity, Estimate: time.Second}},
	}, nil, false, now)
	return p
}

// unansweredTime is how long the unanswered orders of these tests take.
const unansweredTime = 2 * time.Second

// Guards against a pool that stalls with tasks queued and machines idle: the time for which orders waited behind unanswered ones counted as
// planning time, and the next plan was delayed by twice that time.
func TestQueuedOrdersDoNotDelayNextPlan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := poolWithUnansweredOrders(1, 1)
		began := time.Now()
		pause := p.plan(context.Background())
		if got := time.Since(began); got != unansweredTime {
			t.Errorf("time until the start was sent: got %v, want %v", got, unansweredTime)
		}
		if pause != planPause {
			t.Errorf("pause before the next plan: got %v, want %v", pause, planPause)
		}
		_ = p.orders.Wait()
	})
}

// Guards against starts that are refused as late, and machines that stay idle although tasks are queued, because unanswered orders occupied
// all of the pool's order slots.
func TestUnansweredOrdersDoNotBlockOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// Of 700 starts a second, three in ten are unanswered for 0.5 s to 1 s, and so are the stops that follow them.
		const unanswered = 200
		began := time.Now()
		p := poolWithUnansweredOrders(maxOrders, unanswered)
		p.plan(context.Background())
		if got := time.Since(began); got != 0 {
			t.Errorf("time until the start was sent: got %v, want 0", got)
		}
		_ = p.orders.Wait()
	})
}
