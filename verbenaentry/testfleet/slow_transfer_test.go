package testfleet_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"verbenalanding.example/platform/standin"
	"verbenalanding.example/platform/wire"
	"verbenalanding.example/verbenaentry/node"
	"verbenalanding.example/verbenaentry/testfleet"
)

// Guards against a node whose configuration stays old after it was disconnected from the store, because the answer with all missed versions
// takes longer than the timeout of a call.
func TestConfigurationInForceAfterManyMissedVersions(t *testing.T) {
	const (
		// missed versions of 250 queues are 1.3 MB, for which the limited rate takes 1.1 s.
		missed   = 30
		queues   = 250
		rate     = 1_200_000
		stableIn = 3 * time.Second
	)
	f, ctx := startConfigured(t, &testfleet.Fleet{
		Nodes: 2, Flags: node.Flags{DutyTTL: 800 * time.Millisecond, WorkerLease: 1500 * time.Millisecond, LogLevel: "info"},
		Platform: &standin.Platform{
			Seed: 1, Pools: map[string]int{"cutting": 2}, Capacity: wire.Resources{CPU: 16000, MemMb: 64000}, Tick: 5 * time.Millisecond, ExtraQueues: queues,
		},
	})
	f.RejectStoreCalls(0, true)
	for range missed {
		f.Configure()
	}
	f.LimitStoreRate(0, rate)
	f.RejectStoreCalls(0, false)
	time.Sleep(stableIn)
	version := f.Configure()
	acknowledged := time.Now()
	waitCtx, cancel := context.WithTimeout(ctx, testTimeout)
	defer cancel()
	waitUntil(waitCtx, func() bool {
		status, _, err := f.Do(ctx, 0, http.MethodGet, standin.VersionPrefix(version), nil)
		return err == nil && status == http.StatusOK
	})
	if took, want := time.Since(acknowledged), standin.Bounds().Configuration; took > want {
		t.Errorf("version %d in force on the node: got after %v, want at most %v", version, took, want)
	}
}

// Guards against a pool that nobody takes over, because a page of its records takes longer than the timeout of a call.
func TestTakeoverWithManyRecordsOverASlowLink(t *testing.T) {
	const (
		records = 400
		// recordBytes makes the page 1.6 MB, for which the limited rate takes 1.3 s.
		recordBytes = 3000
		rate        = 1_200_000
	)
	f, ctx := startFleet(t, 2)
	serveJobs(ctx, t, f, 2)
	for i := range records {
		f.Platform.Store.Put(fmt.Sprintf("state/cutting/%016x", 1<<40+i), map[string]string{"padding": strings.Repeat("x", recordBytes)})
	}
	holder := f.Holder("cutting")
	f.LimitStoreRate(1-holder, rate)
	f.Kill(holder)
	j := job(int(jobs.Add(1)))
	submit(ctx, t, f, j)
	if err := f.Await(ctx, "cutting", j.ID, "completed"); err != nil {
		t.Errorf("job after the takeover: got %v, want it completed", err)
	}
}
