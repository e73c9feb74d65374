package testfleet_test

import (
	"encoding/json"
	"net/http"
	"testing"

	"verbenalanding.example/fleet/dispatch"
)

// Guards against a job that waits while an operator cannot learn why from a node that does not hold its pool.
func TestEachNodeExplainsAWaitingJob(t *testing.T) {
	f, ctx := startFleet(t, 3)
	j := job(1)
	// No worker is that large.
	j.Job.Steps[0].CPU = 1 << 30
	if accepted, err := f.Submit(ctx, "cutting", j); !accepted || err != nil {
		t.Fatalf("submit: got %v and %v, want accepted", accepted, err)
	}
	for i := range 3 {
		var e dispatch.Explanation
		waitUntil(ctx, func() bool {
			status, body, err := f.Explain(ctx, i, "jobs/"+j.ID)
			return err == nil && status == http.StatusOK && json.Unmarshal(body, &e) == nil && e.Reason == dispatch.WaitTooLarge
		})
		if e.Reason != dispatch.WaitTooLarge {
			t.Errorf("reason given by node %d: got %q, want %q", i, e.Reason, dispatch.WaitTooLarge)
		}
		var q dispatch.QueueExplanation
		status, body, err := f.Explain(ctx, i, "queues/"+e.Queue)
		if err != nil || status != http.StatusOK || json.Unmarshal(body, &q) != nil || q.Reasons[dispatch.WaitTooLarge] != 1 {
			t.Errorf("queue by node %d: got status %d, %s and %v, want one job that is too large", i, status, body, err)
		}
		status, _, err = f.Explain(ctx, i, "jobs/00000000000000ff")
		if err != nil {
			t.Fatalf("unknown job: got %v, want an answer", err)
		}
		assertStatus(t, "unknown job", status, http.StatusNotFound)
	}
}
