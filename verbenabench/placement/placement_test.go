package placement

import (
	"bytes"
	"context"
	"encoding/json"
	"testing"
	"time"
)

// Guards against a comparison of placements that got different jobs or different bad workers.
func TestRunGivesBothPlacementsTheSameInput(t *testing.T) {
	var out bytes.Buffer
	b := Benchmark{Deployment: "cascade", Seed: 1, JSON: true, Out: &out, Length: 20 * time.Second}
	if err := b.Run(context.Background()); err != nil {
		t.Fatalf("run: got %v, want no error", err)
	}
	var o output
	if err := json.Unmarshal(out.Bytes(), &o); err != nil {
		t.Fatalf("decode: got %v, want JSON", err)
	}
	if got, want := len(o.Results), 2*len(scenarios); got != want {
		t.Fatalf("results: got %d, want %d", got, want)
	}
	for i := 0; i < len(o.Results); i += 2 {
		if a, b := o.Results[i], o.Results[i+1]; a.Jobs != b.Jobs || a.BadWorkers != b.BadWorkers {
			t.Fatalf("%s: got %d and %d jobs, %d and %d bad workers, want equal inputs", a.Scenario, a.Jobs, b.Jobs, a.BadWorkers, b.BadWorkers)
		}
	}
}
