package dispatch_test

import (
	"testing"
	"time"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/workload"
)

// longestLease is the longest lease that workers grant.
const longestLease = 6 * time.Second

// restartedWithRun returns a bench with a worker that restarted while a start was in transit: its new incarnation accepted the start with
// the lease end of the earlier incarnation's clock.
func restartedWithRun(t *testing.T) *bench {
	t.Helper()
	b := newBench(t, 2)
	// Wait until the leases of previous holders have ended.
	b.advance(priorLeases)
	b.addJob("j", oneTask(16000))
	starts, _ := b.orders()
	wantCount(t, "starts", len(starts), 1)
	s := starts[0]
	b.pool.StartAnswered(s, dispatch.Unanswered, workload.ClockReading{}, b.now)
	b.pool.Report(s.Worker.ID, workload.Report{
		Incarnation: 2, Clock: 10 * time.Millisecond, Active: []workload.ActiveRun{{Task: s.Task, Run: s.Run}},
	}, b.now)
	b.unresponsive[s.Worker.ID] = true
	return b
}

// Guards against a task that runs twice because its worker, which restarted and then became unresponsive, keeps a longer lease than its
// holder granted: the order was meant for the clock of the previous incarnation, and is shortened to the longest lease.
func TestRestartedWorkerMayKeepTheLongestLease(t *testing.T) {
	b := restartedWithRun(t)
	b.advance(longestLease - 100*time.Millisecond)
	wantCount(t, "starts while the lease may last", len(b.starts), 0)
	b.advance(time.Second)
	wantCount(t, "starts after that", len(b.starts), 1)
}

// Guards against the same fault after a planned stop: with a handover the next holder would assume the shorter lease.
func TestNoHandoverBesideALongLease(t *testing.T) {
	b := restartedWithRun(t)
	if _, ok := b.pool.Handover(b.now); ok {
		t.Errorf("handover while a run may have the longest lease: got one, want none")
	}
}
