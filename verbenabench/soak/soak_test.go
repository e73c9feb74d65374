package soak_test

import (
	"context"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"verbenalanding.example/verbenabench/soak"
)

// Checks the promises with real processes under kills, pauses, disturbed connections and store faults. This is a short version of
// `verbenabench soak` with fixed seeds.
func TestSoak(t *testing.T) {
	program := filepath.Join(t.TempDir(), "verbenaentry")
	if out, err := exec.Command("go", "build", "-o", program, "verbenalanding.example/verbenaentry").CombinedOutput(); err != nil {
		t.Fatalf("build verbenaentry: got %v: %s", err, out)
	}
	for _, seed := range []uint64{1, 2} {
		s := &soak.Soak{Seed: seed, Duration: 6 * time.Second, Program: program, Out: t.Output()}
		if err := s.Run(context.Background()); err != nil {
			t.Errorf("seed %d: got %v, want all promises kept", seed, err)
		}
	}
}
