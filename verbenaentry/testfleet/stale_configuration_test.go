package testfleet_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"verbenalanding.example/platform/standin"
	"verbenalanding.example/verbenaentry/testfleet"
)

// statusOf returns the status with which the first node answers a request for the state of a job that does not exist, or 0. For a known queue it
// is 410.
func statusOf(ctx context.Context, f *testfleet.Fleet, prefix string) int {
	status, _, err := f.Do(ctx, 0, http.MethodGet, prefix+"00000000000000ff", nil)
	if err != nil {
		return 0
	}
	return status
}

func TestConfigurationOfADisconnectedNode(t *testing.T) {
	// staleWithin is the time after which a node without answers of the store has asked other nodes.
	const staleWithin = 5 * time.Second
	// Guards against a node that refuses requests for new queues as long as the store does not answer it, although other nodes serve them.
	t.Run("comes from other nodes", func(t *testing.T) {
		f, ctx := startFleet(t, 3)
		// The nodes know each other once jobs are served.
		serveJobs(ctx, t, f, 4)
		f.RejectStoreCalls(0, true)
		// Pending watches have ended by then.
		time.Sleep(100 * time.Millisecond)
		version := f.Configure()
		began := time.Now()
		waitUntil(ctx, func() bool { return statusOf(ctx, f, standin.VersionPrefix(version)) == http.StatusGone })
		if took := time.Since(began); took > staleWithin {
			t.Errorf("version %d in force without the store: got after %v, want at most %v", version, took, staleWithin)
		}
		if got := statusOf(ctx, f, standin.VersionPrefix(version-1)); got != http.StatusNotFound {
			t.Errorf("queue of the version before: got status %d, want %d", got, http.StatusNotFound)
		}
	})
	// Guards against a refusal as unknown of a queue that was added while no node received answers of the store.
	t.Run("is not taken for the newest", func(t *testing.T) {
		f, ctx := startFleet(t, 2)
		unknown := standin.VersionPrefix(1000)
		if got := statusOf(ctx, f, unknown); got != http.StatusNotFound {
			t.Errorf("unknown queue: got status %d, want %d", got, http.StatusNotFound)
		}
		for i := range 2 {
			f.RejectStoreCalls(i, true)
		}
		began := time.Now()
		waitUntil(ctx, func() bool { return statusOf(ctx, f, unknown) == http.StatusServiceUnavailable })
		if took := time.Since(began); took > staleWithin {
			t.Errorf("unknown queue refused for a later attempt: got after %v, want at most %v", took, staleWithin)
		}
		for i := range 2 {
			f.RejectStoreCalls(i, false)
		}
		version := f.Configure()
		waitUntil(ctx, func() bool { return statusOf(ctx, f, standin.VersionPrefix(version)) == http.StatusGone })
		if got := statusOf(ctx, f, unknown); got != http.StatusNotFound {
			t.Errorf("unknown queue once the store answers: got status %d, want %d", got, http.StatusNotFound)
		}
	})
}

// Guards against a node that asks the former holder of a pool for the number of its jobs as long as the store does not answer it.
func TestDisconnectedNodeFindsTheHolder(t *testing.T) {
	f, ctx := startFleet(t, 3)
	serveJobs(ctx, t, f, 4)
	holder := f.Holder("cutting")
	disconnected := (holder + 1) % 3
	f.RejectStoreCalls(disconnected, true)
	time.Sleep(time.Second)
	f.Kill(holder)
	waitUntil(ctx, func() bool { return f.Holder("cutting") >= 0 })
	if f.Holder("cutting") == disconnected {
		t.Fatal("holder: got the node without the store, want the other one")
	}
	// The running nodes are counted without the one that was killed.
	index := disconnected
	if holder < disconnected {
		index--
	}
	const bound = 3 * time.Second
	began := time.Now()
	waitUntil(ctx, func() bool {
		status, _, err := f.Do(ctx, index, http.MethodGet, testfleet.Prefix("cutting"), nil)
		return err == nil && status == http.StatusOK
	})
	if took := time.Since(began); took > bound {
		t.Errorf("number of pending jobs from the node without the store: got after %v, want at most %v", took, bound)
	}
}
