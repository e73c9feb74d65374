package moves

import (
	"bytes"
	"context"
	"strings"
	"testing"
)

// Checks that moves meet all targets in today's deployments.
func TestPolicyMeetsItsTargets(t *testing.T) {
	for _, deployment := range []string{"cascade", "tintaviva"} {
		t.Run(deployment, func(t *testing.T) {
			var out bytes.Buffer
			b := Benchmark{Deployment: deployment, Seed: 1, Out: &out}
			if err := b.Run(context.Background()); err != nil {
				t.Fatalf("error: got %v, want none", err)
			}
			if strings.Contains(out.String(), "missed: ") {
				t.Fatalf("targets: got\n%s\nwant all met", out.String())
			}
		})
	}
}
