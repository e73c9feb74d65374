package testfleet_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"verbenalanding.example/fleet/leadership"
	"verbenalanding.example/platform/wire"
	"verbenalanding.example/verbenaentry/testfleet"
)

// Guards against a holder that continues although a worker has rejected its order because of a newer fence.
func TestHolderStopsWhenAWorkerRejectsItsFence(t *testing.T) {
	// A single node has no other reason to lose its duty.
	f, ctx := startFleet(t, 1)
	serveJobs(ctx, t, f, 2)
	duty := listItems(t, f, leadership.Prefix+"cutting")[0]
	for _, i := range listItems(t, f, wire.PrefixWorkers) {
		var w wire.Worker
		if err := json.Unmarshal(i.Value, &w); err != nil {
			t.Fatalf("registration: got %v, want one", err)
		}
		if w.Backend == "cutting" {
			sendHold(t, w.Address, duty.Revision+1)
		}
	}
	const timeout = 10 * time.Second
	changed := false
	for end := time.Now().Add(timeout); !changed && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		current := listItems(t, f, leadership.Prefix+"cutting")
		changed = len(current) != 1 || current[0].Revision != duty.Revision
	}
	if !changed {
		t.Fatalf("duty: got revision %d still after %v, want another or none", duty.Revision, timeout)
	}
	serveJobs(ctx, t, f, 4)
	assertNoViolations(t, f)
}

// listItems returns the items with a prefix from the store.
func listItems(t *testing.T, f *testfleet.Fleet, prefix string) []wire.Item {
	t.Helper()
	answer, err := http.Get("http://" + f.Platform.StoreAddr.String() + wire.PathRange + "?Prefix=" + prefix)
	if err != nil {
		t.Fatalf("list: got %v, want an answer", err)
	}
	defer answer.Body.Close()
	var list wire.Items
	if err := json.NewDecoder(answer.Body).Decode(&list); err != nil {
		t.Fatalf("list: got %v, want items", err)
	}
	return list.Items
}

// sendHold sends a hold order with the given fence to a worker.
func sendHold(t *testing.T, address string, fence uint64) {
	t.Helper()
	body, err := json.Marshal(wire.Hold{Fence: fence})
	if err != nil {
		t.Fatal(err)
	}
	answer, err := http.Post("http://"+address+wire.PathHold, "application/json", bytes.NewReader(body))
	if err != nil {
		t.Fatalf("hold: got %v, want an answer", err)
	}
	_ = answer.Body.Close()
	assertStatus(t, "hold with a newer fence", answer.StatusCode, http.StatusOK)
}
