package jobs

import (
	"context"
	"fmt"
	"testing"
	"time"

	"verbenalanding.example/fleet/declaration"
)

// BenchmarkStep measures one step of a shard with 540 workers, an eighth of 4,300, and 2,000 running jobs; a step is due
// every 250 ms, so 1 ms per step is 0.4% of a core.
func BenchmarkStep(b *testing.B) {
	w := newFixture(540)
	w.set.Teams["red"] = declaration.Team{MilliCores: 2_160_000, MemoryBytes: 4000 * gib}
	w.holder.writers, w.holder.callers = writersAtOnce, workersAtOnce
	w.workers.RunTime = func(string) time.Duration { return 1000 * time.Hour }
	for i := range 2000 {
		j := w.job(fmt.Sprintf("j%d", i), "standard", 1, true)
		if _, err := w.intake.Submit(context.Background(), j); err != nil {
			b.Fatalf("submit: got %v, want none", err)
		}
	}
	w.run(b, time.Minute)
	b.ReportAllocs()
	for b.Loop() {
		w.run(b, 250*time.Millisecond)
	}
}
