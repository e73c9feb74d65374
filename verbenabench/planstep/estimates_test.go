package planstep

import (
	"bytes"
	"encoding/json"
	"testing"
)

// Guards against a measurement of estimates in which no job waits, or that leaves out the jobs that start last.
func TestEstimates(t *testing.T) {
	var out bytes.Buffer
	e := &Estimates{Seed: 1, Workers: []int{8}, JSON: true, Out: &out}
	if err := e.Run(t.Context()); err != nil {
		t.Fatal(err)
	}
	var rows []EstimateRow
	if err := json.Unmarshal(out.Bytes(), &rows); err != nil {
		t.Fatal(err)
	}
	if got, want := len(rows), 2; got != want {
		t.Fatalf("rows: got %d, want %d", got, want)
	}
	for _, r := range rows {
		if r.Explained == 0 || r.P10 <= 0 || r.P50 < r.P10 || r.P90 < r.P50 {
			t.Errorf("%s: got %+v, want explanations and quantiles that increase", r.Phase, r)
		}
		if r.Unstarted > 0 {
			t.Errorf("%s: got %d explanations of jobs that had not started, want none at half of the load", r.Phase, r.Unstarted)
		}
	}
}
