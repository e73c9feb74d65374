package planstep

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"
)

// Guards against a measurement of steps that start nothing, or that leaves fewer tasks waiting than it says.
func TestSteps(t *testing.T) {
	var out bytes.Buffer
	b := &Bench{Seed: 1, Workers: []int{8, 16}, Waiting: 200, Steps: 5, JSON: true, Out: &out}
	if err := b.Run(t.Context()); err != nil {
		t.Fatal(err)
	}
	var rows []Row
	if err := json.Unmarshal(out.Bytes(), &rows); err != nil {
		t.Fatal(err)
	}
	if got, want := len(rows), 4; got != want {
		t.Fatalf("rows: got %d, want %d", got, want)
	}
	for _, r := range rows {
		for _, q := range []Quantiles{r.Processor, r.Elapsed} {
			if r.Started == 0 || q.P50 <= 0 || q.P99 < q.P50 || q.Worst < q.P99 {
				t.Errorf("%s, %d workers: got %+v, want starts and times that increase", r.Case, r.Workers, r)
			}
		}
		if r.Case == full && r.Started > 200 {
			t.Errorf("%d workers: got %v starts a step, want at most the 200 waiting tasks", r.Workers, r.Started)
		}
	}
}

// Guards against a 99th percentile that leaves out the slowest steps of a short measurement.
func TestQuantile(t *testing.T) {
	times := make([]time.Duration, 100)
	for i := range times {
		times[i] = time.Duration(i + 1)
	}
	for q, want := range map[float64]time.Duration{0.5: 50, 0.99: 99, 1: 100} {
		if got := quantile(times, q); got != want {
			t.Errorf("quantile %v of 1 to 100: got %d, want %d", q, got, want)
		}
	}
	if got := quantile(times[:3], 0.99); got != 3 {
		t.Errorf("quantile 0.99 of three times: got %d, want the largest, 3", got)
	}
}

func BenchmarkStep(b *testing.B) {
	m := newModel(1, 4300)
	for range warmUp {
		m.addJobs(2000)
		m.carryOut(m.pool.Plan(m.now))
		m.advance()
	}
	for b.Loop() {
		m.addJobs(2000)
		m.carryOut(m.pool.Plan(m.now))
		m.advance()
	}
}
