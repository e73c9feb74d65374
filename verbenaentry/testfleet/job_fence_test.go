package testfleet_test

import (
	"encoding/json"
	"net/http"
	"testing"

	"verbenalanding.example/fleet/leadership"
	"verbenalanding.example/fleet/workload"
	"verbenalanding.example/platform"
	"verbenalanding.example/verbenaentry/testfleet"
)

// Guards against jobs that a successor delays as if a lost holder might have started them: a node that the store rejects does not learn of the
// successor, and stores callers' jobs through other nodes.
func TestJobStoredThroughAnotherNodeNamesThePresentHolder(t *testing.T) {
	f, ctx := startFleet(t, 3)
	waitUntil(ctx, func() bool { return f.Holder("cutting") >= 0 })
	lost := f.Holder("cutting")
	cut := (lost + 1) % 3
	// The store rejects the node before the duty changes, so that it knows the former holder only.
	f.RejectStoreCalls(cut, true)
	f.Kill(lost)
	waitUntil(ctx, func() bool {
		h := f.Holder("cutting")
		return h >= 0 && h != lost && h != cut
	})
	st := &platform.Store{Client: platform.NewClient(), Addr: f.Platform.StoreAddr}
	duty, err := st.Get(ctx, leadership.Prefix+"cutting")
	if err != nil {
		t.Fatalf("duty: got %v, want one", err)
	}
	j := job(1)
	f.Platform.AddJob(j, testfleet.Attempts)
	index := cut
	if cut > lost {
		// The index leaves out the instance that has ended.
		index--
	}
	waitUntil(ctx, func() bool {
		status, _, err := f.Do(ctx, index, http.MethodPost, testfleet.Prefix("cutting")+j.ID, j.Job)
		return err == nil && status == http.StatusOK
	})
	content, ok := f.Platform.Store.Get("job/cutting/" + j.ID)
	var stored workload.Job
	if err := json.Unmarshal(content, &stored); !ok || err != nil {
		t.Fatalf("stored job: got found %v and %v, want found", ok, err)
	}
	if got, want := stored.Fence, uint64(duty.Revision); got != want {
		t.Errorf("fencing token in the job: got %d, want that of the present holder, %d", got, want)
	}
}
