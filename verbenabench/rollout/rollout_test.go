package rollout

import (
	"bytes"
	"context"
	"encoding/json"
	"testing"
)

// runBenchmark simulates a deployment and returns its report.
func runBenchmark(t *testing.T, deployment string) report {
	t.Helper()
	var out bytes.Buffer
	b := Benchmark{Deployment: deployment, Seed: 1, JSON: true, Out: &out}
	if err := b.Run(context.Background()); err != nil {
		t.Fatalf("error: got %v, want none", err)
	}
	var r report
	if err := json.Unmarshal(out.Bytes(), &r); err != nil {
		t.Fatalf("error: got %v, want none", err)
	}
	return r
}

// Checks that rollouts meet their targets in today's deployments, except the target that TestBoundWithUnequalReboots checks.
func TestPolicyMeetsItsTargets(t *testing.T) {
	for _, deployment := range []string{"cascade", "tintaviva"} {
		t.Run(deployment, func(t *testing.T) {
			r := runBenchmark(t, deployment)
			for _, v := range r.Verdicts[1:] {
				if !v.Met {
					t.Errorf("%s: got %s, want met", v.Target, v.Figure)
				}
			}
			for _, result := range r.Results {
				if !result.Policy.Finished {
					t.Errorf("%s: got an unfinished wave after %s, want it finished", result.Scenario, result.Policy.Duration)
				}
			}
		})
	}
}
