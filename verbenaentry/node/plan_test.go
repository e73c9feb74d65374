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

// waitingPool is a pool with one worker and one task to start on it; orders that are not answered are on their way.
func waitingPool(limit, unanswered int) *pool {
	p := lockedPool()
	p.wake, p.writeNow = ring.New[struct{}](1), ring.New[struct{}](1)
	p.node.Elector = &leadership.Elector{}
	p.orders.SetLimit(limit)
	for range unanswered {
		p.orders.Go(func() error {
			time.Sleep(answerTime)
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

// answerTime is how long the tests' unanswered orders are waited for.
const answerTime = 2 * time.Second

// Guards against a pool that stands still with work waiting and machines idle: the time in which orders waited for unanswered ones
// was taken for the time of a plan, and the next plan waited for twice as long.
func TestOrdersThatWaitDelayNoPlan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := waitingPool(1, 1)
		began := time.Now()
		rest := p.plan(context.Background())
		if got := time.Since(began); got != answerTime {
			t.Errorf("time until the start was sent: got %v, want %v", got, answerTime)
		}
		if rest != planPause {
			t.Errorf("pause before the next plan: got %v, want %v", rest, planPause)
		}
		_ = p.orders.Wait()
	})
}

// Guards against starts that are refused as late, and machines that stay idle beside waiting work: orders without an answer held all
// of the pool's order slots.
func TestUnansweredOrdersHoldNoOtherBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// Of 700 starts a second three in ten are without answer, and the stops that settle them, for half a second to one.
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
