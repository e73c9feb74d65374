package jobload_test

import (
	"bytes"
	"context"
	"encoding/json"
	"testing"
	"time"

	"verbenalanding.example/verbenabench/jobload"
)

// Checks that the measurement with a killed holder completes without broken promises, and that its JSON can be decoded.
func TestLoadReportsBothRuns(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	rows, err := jobload.Load{PerSecond: 10, Duration: time.Second, KillHolders: true}.Run(ctx)
	if err != nil {
		t.Fatalf("run: got %v, want none", err)
	}
	if len(rows) != 2 {
		t.Fatalf("rows: got %d, want 2", len(rows))
	}
	for _, r := range rows {
		if r.Jobs == 0 || r.Broken != 0 {
			t.Errorf("%s: got %d jobs and %d broken promises, want some and none", r.Run, r.Jobs, r.Broken)
		}
	}
	var out bytes.Buffer
	if err := jobload.Write(&out, rows, true); err != nil {
		t.Fatalf("write: got %v, want none", err)
	}
	var read []jobload.Row
	if err := json.Unmarshal(out.Bytes(), &read); err != nil || len(read) != len(rows) {
		t.Errorf("JSON: got %d rows and %v, want %d", len(read), err, len(rows))
	}
}
