package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"testing"
	"time"
)

// Guards against a benchmark whose requests fail, and against claims that exceed their share of store writes.
func TestRequestsSucceedAndClaimWritesStayWithinLimit(t *testing.T) {
	var out bytes.Buffer
	b := &Entry{Seed: 1, JSON: true, Out: &out, Duration: 1500 * time.Millisecond}
	if err := b.Run(context.Background()); err != nil {
		t.Fatalf("run: got %v, want none", err)
	}
	var r Report
	if err := json.Unmarshal(out.Bytes(), &r); err != nil {
		t.Fatalf("report: got %v, want JSON", err)
	}
	for _, row := range r.Rows {
		if row.Errors != 0 || row.Requests == 0 {
			t.Errorf("%s: got %d errors of %d requests, want 0 of some", row.Path, row.Errors, row.Requests)
		}
	}
	for _, row := range r.Claims {
		if row.Policy == string(groupCommit) && row.PeakWrites > 100 {
			t.Errorf("%s: got %.0f claim writes/s, want at most 100", row.Deployment, row.PeakWrites)
		}
	}
}

// Prints the whole report: go test ./entry -run TestPrint -v -entry.duration=30s in verbenabench.
func TestPrint(t *testing.T) {
	if *duration == 0 {
		t.Skip("set -entry.duration to measure")
	}
	b := &Entry{Seed: 1, Out: t.Output(), Duration: *duration}
	if err := b.Run(context.Background()); err != nil {
		t.Fatalf("run: got %v, want none", err)
	}
}

var duration = flag.Duration("entry.duration", 0, "total time of all phases over loopback")
