package testfleet_test

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/platform/standin"
	"verbenalanding.example/platform/wire"
	"verbenalanding.example/verbenaentry/testfleet"
)

// moveQueue moves the queue of cutting to a pool, and waits until each node has put the configuration in force.
func moveQueue(ctx context.Context, t *testing.T, f *testfleet.Fleet, to string, nodes int) {
	t.Helper()
	f.Platform.RouteQueue("cutting", to)
	version := f.Configure()
	for i := range nodes {
		waitUntil(ctx, func() bool {
			status, _, err := f.Do(ctx, i, http.MethodGet, standin.VersionPrefix(version)+"00000000000000ff", nil)
			return err == nil && status == http.StatusGone
		})
	}
	if ctx.Err() != nil {
		t.Fatalf("version %d: got not in force on all nodes, want in force", version)
	}
}

// longRunningJob returns a job whose tasks run until it is cancelled.
func longRunningJob(n int) *standin.Job {
	j := job(n)
	j.Steps = []wire.Step{{Count: 2, CPU: 2000, MemMb: 512, LongRunning: true, EstimateMs: 80}}
	return j
}

// Guards against an accepted job that is answered as unknown, is accepted again by a repeated request and runs twice, or goes on after its
// cancel, because the operator has moved its queue to another pool meanwhile.
func TestJobOfAMovedQueueRemainsOneJob(t *testing.T) {
	const nodes = 3
	f, ctx := startFleet(t, nodes)
	running := longRunningJob(1)
	submit(ctx, t, f, running)
	waitUntil(ctx, func() bool { return f.Platform.RunsOf(running.ID) == 2 })
	waiting := job(2)
	// No worker is that large.
	waiting.Steps[0].CPU = 1 << 30
	submit(ctx, t, f, waiting)

	moveQueue(ctx, t, f, "fitting", nodes)
	for i := range nodes {
		status, body, err := f.Do(ctx, i, http.MethodGet, testfleet.Prefix("cutting")+running.ID, nil)
		if err != nil || status != http.StatusOK {
			t.Errorf("state by node %d: got status %d, %s and %v, want %d", i, status, body, err, http.StatusOK)
		}
		status, body, err = f.Do(ctx, i, http.MethodPost, testfleet.Prefix("cutting")+running.ID, running.Job)
		if err != nil || status != http.StatusOK {
			t.Errorf("repeated request at node %d: got status %d, %s and %v, want %d", i, status, body, err, http.StatusOK)
		}
		wantPending(ctx, t, f, i, 1)
		wantWaitingTooLarge(ctx, t, f, i, "q-cutting-in-fitting")
	}
	if got := f.Platform.RunsOf(running.ID); got != 2 {
		t.Errorf("runs after the repeated requests: got %d, want 2", got)
	}
	after := job(3)
	submit(ctx, t, f, after)
	if err := f.Await(ctx, "cutting", after.ID, "completed"); err != nil {
		t.Errorf("job submitted after the move: got %v, want none", err)
	}
	if _, ok := f.Platform.Store.Get("job/fitting/" + after.ID); !ok {
		t.Error("pool of a job submitted after the move: got another one, want fitting")
	}

	// The queue comes back, so that now the last job is of a pool that the queue has left.
	moveQueue(ctx, t, f, "cutting", nodes)
	submit(ctx, t, f, after)
	for _, j := range []*standin.Job{running, after} {
		if state, err := f.State(ctx, "cutting", j.ID); err != nil || state == "" {
			t.Errorf("state of %s after the queue came back: got %q and %v, want one", j.ID, state, err)
		}
	}
	moveQueue(ctx, t, f, "fitting", nodes)
	status, _, err := f.Do(ctx, 1, http.MethodDelete, testfleet.Prefix("cutting")+running.ID, nil)
	if err != nil {
		t.Fatalf("cancel: got %v, want none", err)
	}
	assertStatus(t, "cancel", status, http.StatusOK)
	began := time.Now()
	waitUntil(ctx, func() bool { return f.Platform.RunsOf(running.ID) == 0 })
	if took, limit := time.Since(began), 3*time.Second; took > limit {
		t.Errorf("runs of the cancelled job ended: got after %v, want at most %v", took, limit)
	}
	if err := f.Await(ctx, "cutting", running.ID, "cancelled"); err != nil {
		t.Errorf("cancelled job: got %v, want none", err)
	}
	assertNoViolations(t, f)
}

func wantPending(ctx context.Context, t *testing.T, f *testfleet.Fleet, node, want int) {
	t.Helper()
	status, body, err := f.Do(ctx, node, http.MethodGet, testfleet.Prefix("cutting"), nil)
	var p wire.Pending
	if err != nil || status != http.StatusOK || json.Unmarshal(body, &p) != nil || p.Pending != want {
		t.Errorf("pending by node %d: got status %d, %s and %v, want %d jobs", node, status, body, err, want)
	}
}

func wantWaitingTooLarge(ctx context.Context, t *testing.T, f *testfleet.Fleet, node int, queue string) {
	t.Helper()
	var q dispatch.QueueExplanation
	status, body, err := f.Explain(ctx, node, "queues/"+queue)
	if err != nil || status != http.StatusOK || json.Unmarshal(body, &q) != nil || q.Reasons[dispatch.WaitTooLarge] != 1 {
		t.Errorf("queue by node %d: got status %d, %s and %v, want one job that is too large", node, status, body, err)
	}
}

// Guards against a job of a moved queue that a node finds only while the store answers it.
func TestJobOfAMovedQueueIsFoundThroughOtherNodes(t *testing.T) {
	const nodes = 3
	f, ctx := startFleet(t, nodes)
	j := longRunningJob(1)
	submit(ctx, t, f, j)
	waitUntil(ctx, func() bool { return f.Platform.RunsOf(j.ID) == 2 })
	moveQueue(ctx, t, f, "fitting", nodes)
	cut := (f.Holder("cutting") + 1) % nodes
	f.RejectStoreCalls(cut, true)
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodDelete} {
		var body any
		if method == http.MethodPost {
			body = j.Job
		}
		status, answer, err := f.Do(ctx, cut, method, testfleet.Prefix("cutting")+j.ID, body)
		if err != nil || status != http.StatusOK {
			t.Errorf("%s at a node without the store: got status %d, %s and %v, want %d", method, status, answer, err, http.StatusOK)
		}
	}
	waitUntil(ctx, func() bool { return f.Platform.RunsOf(j.ID) == 0 })
	assertNoViolations(t, f)
}
