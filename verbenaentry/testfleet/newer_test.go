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

// Guards against a holder that goes on although a worker has refused its order, since it has met a newer holder.
func TestHolderStopsWhenAWorkerRefusesItsFence(t *testing.T) {
	// A single node: it gives no duty away for another reason.
	f, ctx := startFleet(t, 1)
	serveJobs(ctx, t, f, 2)
	duty := items(t, f, leadership.Prefix+"cutting")[0]
	for _, i := range items(t, f, wire.PrefixWorkers) {
		var w wire.Worker
		if err := json.Unmarshal(i.Value, &w); err != nil {
			t.Fatalf("registration: got %v, want one", err)
		}
		if w.Backend == "cutting" {
			holdAs(t, w.Address, duty.Revision+1)
		}
	}
	const soon = 10 * time.Second
	left := false
	for end := time.Now().Add(soon); !left && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		now := items(t, f, leadership.Prefix+"cutting")
		left = len(now) != 1 || now[0].Revision != duty.Revision
	}
	if !left {
		t.Fatalf("duty: got revision %d still after %v, want it given up", duty.Revision, soon)
	}
	serveJobs(ctx, t, f, 4)
	wantKept(t, f)
}

// items returns what the store has under a prefix.
func items(t *testing.T, f *testfleet.Fleet, prefix string) []wire.Item {
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

// holdAs shows a worker a holder with a fence.
func holdAs(t *testing.T, address string, fence uint64) {
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
	wantStatus(t, "hold with a newer fence", answer.StatusCode, http.StatusOK)
}
