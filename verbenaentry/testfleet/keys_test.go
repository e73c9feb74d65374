package testfleet_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"verbenalanding.example/platform/standin"
	"verbenalanding.example/platform/wire"
	"verbenalanding.example/verbenaentry/node"
	"verbenalanding.example/verbenaentry/testfleet"
)

const (
	hemlineKey = "hemline-key"
	seamKey    = "seam-key"
)

func startFleetWithKeys(t *testing.T, nodes int) (*testfleet.Fleet, context.Context) {
	t.Helper()
	p := &standin.Platform{
		Seed: 1, Pools: map[string]int{"cutting": 4, "fitting": 4, "spare": 2}, Standby: "spare",
		Capacity: wire.Resources{CPU: 16000, MemMb: 64000}, Tick: 5 * time.Millisecond,
	}
	p.SetTenants([]wire.Tenant{{Name: "hemline", APIKeys: []string{hemlineKey}}, {Name: "seam", APIKeys: []string{seamKey}}})
	return startConfigured(t, &testfleet.Fleet{
		Nodes: nodes, Workspaces: true, Platform: p, Flags: node.Flags{DutyTTL: 800 * time.Millisecond, WorkerLease: 1500 * time.Millisecond, LogLevel: "info"},
	})
}

// statusWithKey returns the status with which a node answers a request for the state of a job of the pool cutting, or 0.
func statusWithKey(ctx context.Context, f *testfleet.Fleet, i int, id, key string) int {
	status, _, err := f.DoWithKey(ctx, i, http.MethodGet, testfleet.Prefix("cutting")+id, key, nil)
	if err != nil {
		return 0
	}
	return status
}

// Guards against a job that another workspace's key reads or cancels through any node, or that its own key does not.
func TestJobBelongsToItsWorkspace(t *testing.T) {
	f, ctx := startFleetWithKeys(t, 3)
	j := job(0)
	path := testfleet.Prefix("cutting") + j.ID
	f.Platform.AddJob(j, testfleet.Attempts)
	submit := func(key string) int {
		status, _, err := f.DoWithKey(ctx, 0, http.MethodPost, path, key, j.Job)
		if err != nil {
			t.Fatalf("submit: got %v, want none", err)
		}
		return status
	}
	waitUntil(ctx, func() bool { return submit(hemlineKey) == http.StatusOK })
	if got := submit(seamKey); got != http.StatusServiceUnavailable {
		t.Errorf("submission of another workspace's id: got %d, want %d", got, http.StatusServiceUnavailable)
	}
	for i := range 3 {
		for key, want := range map[string]int{hemlineKey: http.StatusOK, seamKey: http.StatusGone, "": http.StatusUnauthorized, "other": http.StatusUnauthorized} {
			if got := statusWithKey(ctx, f, i, j.ID, key); got != want {
				t.Errorf("state from node %d with the key %q: got %d, want %d", i, key, got, want)
			}
			if key == hemlineKey {
				continue
			}
			if status, _, err := f.DoWithKey(ctx, i, http.MethodDelete, path, key, nil); err != nil || status != want {
				t.Errorf("cancel at node %d with the key %q: got %d and %v, want %d", i, key, status, err, want)
			}
		}
	}
	waitUntil(ctx, func() bool {
		_, body, err := f.DoWithKey(ctx, 1, http.MethodGet, path, hemlineKey, nil)
		return err == nil && string(body) == `{"State":"completed"}`
	})
	if ctx.Err() != nil {
		t.Error("job: got it not completed, want it completed in spite of the cancels of others")
	}
	assertNoViolations(t, f)
}

// Guards against a node that the store turns away and that refuses an added key, or accepts a removed one, beyond the bound; and against nodes
// without any confirmation that go on by an old configuration.
func TestKeysOfADisconnectedNode(t *testing.T) {
	const unknownID = "00000000000000ff"
	bounds := standin.Bounds()
	limit := bounds.Configuration + bounds.ConfigurationSkew
	f, ctx := startFleetWithKeys(t, 3)
	for i := range 3 {
		waitUntil(ctx, func() bool { return statusWithKey(ctx, f, i, unknownID, hemlineKey) == http.StatusGone })
	}
	// The nodes know each other after some renewals.
	time.Sleep(time.Second)
	f.RejectStoreCalls(0, true)
	time.Sleep(100 * time.Millisecond)
	f.Platform.SetTenants([]wire.Tenant{{Name: "hemline", APIKeys: []string{"hemline-key-2"}}, {Name: "seam", APIKeys: []string{seamKey}}})
	f.Configure()
	changed := time.Now()
	added, removed := time.Duration(0), time.Duration(0)
	waitUntil(ctx, func() bool {
		sent := time.Since(changed)
		if added == 0 && statusWithKey(ctx, f, 0, unknownID, "hemline-key-2") == http.StatusGone {
			added = sent
		}
		if removed == 0 && statusWithKey(ctx, f, 0, unknownID, hemlineKey) != http.StatusGone {
			removed = sent
		}
		return added > 0 && removed > 0
	})
	if added > limit || removed > limit || ctx.Err() != nil {
		t.Errorf("keys at the node without the store: got the new one after %v, the old one until %v, want both within %v", added, removed, limit)
	}
	t.Logf("new key after %v, old key until %v", added, removed)
	for i := range 3 {
		f.RejectStoreCalls(i, true)
	}
	cutOff := time.Now()
	waitUntil(ctx, func() bool { return statusWithKey(ctx, f, 0, unknownID, seamKey) == http.StatusServiceUnavailable })
	if got := statusWithKey(ctx, f, 0, unknownID, "other"); got != http.StatusServiceUnavailable {
		t.Errorf("unknown key by an old configuration: got %d, want %d", got, http.StatusServiceUnavailable)
	}
	// The configuration can have been confirmed at most one wait of a watch before.
	if took := time.Since(cutOff); took > limit+time.Second {
		t.Errorf("valid key by a configuration that nothing confirms: got it accepted for %v, want at most %v", took, limit)
	}
	for i := range 3 {
		f.RejectStoreCalls(i, false)
	}
	waitUntil(ctx, func() bool { return statusWithKey(ctx, f, 0, unknownID, seamKey) == http.StatusGone })
	if ctx.Err() != nil {
		t.Error("valid key once the store answers: got it refused, want it accepted")
	}
}
