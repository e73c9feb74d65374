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
