package dispatch_test

import (
	"testing"
	"time"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/workload"
)

// longestLease is the longest lease that workers grant.
const longestLease = 6 * time.Second

// newLifeWithRun brings a worker that started again while a start was on its way, which its new life took with the lease end of the earlier
// life's clock.
func newLifeWithRun(t *testing.T) *bench {
	t.Helper()
	b := newBench(t, 2)
	// The time in which a holder before may have granted leases is over.
	b.pass(7 * time.Second)
	b.addJob("j", oneTask(16000))
	starts, _ := b.orders()
	wantCount(t, "starts", len(starts), 1)
	s := starts[0]
	b.pool.StartAnswered(s, dispatch.Unanswered, 0, b.now)
	b.pool.Report(s.Worker.ID, workload.Report{
		Incarnation: 2, Clock: 10 * time.Millisecond, Active: []workload.ActiveRun{{Task: s.Task, Run: s.Run}},
	}, b.now)
	b.silent[s.Worker.ID] = true
	return b
}

// Guards against a task that runs twice since its worker, which started again and then fell silent, keeps a longer lease than its holder granted:
// the order was meant for the clock of the life before, and is cut to the longest lease.
func TestWorkerThatStartedAgainMayKeepTheLongestLease(t *testing.T) {
	b := newLifeWithRun(t)
	b.pass(longestLease - 100*time.Millisecond)
	wantCount(t, "starts while the lease may last", len(b.starts), 0)
	b.pass(time.Second)
	wantCount(t, "starts after that", len(b.starts), 1)
}

// Guards against the same beside a planned stop: a handover would have the next holder count the shorter lease.
func TestNoHandoverBesideALongLease(t *testing.T) {
	b := newLifeWithRun(t)
	if _, ok := b.pool.Handover(b.now); ok {
		t.Errorf("handover beside a run with the longest lease: got one, want none")
	}
}
