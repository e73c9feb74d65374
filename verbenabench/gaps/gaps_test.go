package gaps

import (
	"slices"
	"testing"
	"time"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/workload"
)

// Guards against a comparison of placements that play different days, or that leave out jobs or deciles.
func TestBench(t *testing.T) {
	b := &Bench{Seed: 1, Days: 1, Workers: 2, Offline: true}
	rows, err := b.compare(t.Context(), shapes[1], courses[0])
	if err != nil {
		t.Fatal(err)
	}
	if got, want := len(rows), 5; got != want {
		t.Fatalf("placements: got %d, want %d", got, want)
	}
	for _, r := range rows {
		if len(r.P50) != 10 || len(r.P99) != 10 || r.InTime <= 0 || r.InTime > 1 {
			t.Errorf("%s: got %+v, want ten deciles and a share of jobs in time", r.Placement, r)
		}
		if !slices.Equal(r.Sizes, rows[0].Sizes) {
			t.Errorf("%s: got sizes %v, want the same day as %v", r.Placement, r.Sizes, rows[0].Sizes)
		}
	}
}

// Guards against a reference that looks better than any order could be because it exceeds the capacity of a worker.
func TestOfflinePlacementKeepsTheCapacity(t *testing.T) {
	capacity := workload.Resources{CPU: 4, MemoryMB: 4}
	need := workload.Resources{CPU: 3, MemoryMB: 1}
	l := timeline{spans: []span{{0, time.Second, need}, {3 * time.Second, 4 * time.Second, need}}}
	for _, tt := range []struct {
		name string
		runs time.Duration
		want time.Duration
	}{
		{"fits between two others", 2 * time.Second, time.Second},
		{"is longer than the gap", 2*time.Second + 1, 4 * time.Second},
	} {
		t.Run(tt.name, func(t *testing.T) {
			if got, ok := l.earliest(0, time.Hour, tt.runs, need, capacity); !ok || got != tt.want {
				t.Errorf("start: got %v, %v, want %v", got, ok, tt.want)
			}
		})
	}
}

// Load: a pool at nine tenths of its capacity with tasks of up to two thirds of a worker. Guards against reservations that do not shorten the waits of the
// largest tasks, or that are paid for by the jobs as a whole, over three days.
func TestReservationsShortenTheWaitsOfTheLargestTasks(t *testing.T) {
	b := &Bench{Seed: 1, Days: 3, Workers: 24, Settings: dispatch.Settings{LargeTask: 0.25}}
	rows, err := b.compare(t.Context(), shapes[1], courses[1])
	if err != nil {
		t.Fatal(err)
	}
	without, with := rows[0], rows[2]
	if got, limit := with.P99[9], without.P99[9]/2; got > limit {
		t.Errorf("p99 of the waits of the largest tenth: got %v, want at most %v, half of that without reservations", got, limit)
	}
	if got, limit := with.InTime, without.InTime-0.01; got < limit {
		t.Errorf("jobs in time: got %.3f, want at least %.3f", got, limit)
	}
}
