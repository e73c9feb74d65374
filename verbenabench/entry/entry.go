package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"text/tabwriter"
	"time"
)

const (
	rounds = 5
	// phases is the number of phases per round: paced and saturated for each of direct, forwarder and entry.
	phases = 6
	// Targets from section 1.7 of the design page.
	maxAddedP99   = 1.0
	minThroughput = 0.8
)

// Entry measures added latency, throughput and allocations of the callers' HTTP, and the claims' store writes.
type Entry struct {
	Seed int64
	JSON bool
	Out  io.Writer
	// Duration is the total time of all phases over loopback. The default is 20 s.
	Duration time.Duration
}

// Row holds the figures of one path. Latencies are in milliseconds.
type Row struct {
	Path string `json:"path"`
	// P50 and P99 are the latencies at a paced load.
	P50 float64 `json:"p50"`
	P99 float64 `json:"p99"`
	// AddedP50 and AddedP99 are the differences to the direct call.
	AddedP50 float64 `json:"addedP50"`
	AddedP99 float64 `json:"addedP99"`
	// Throughput is the number of requests per second at saturation.
	Throughput float64 `json:"throughput"`
	// Allocations is the number of allocations per request beyond those of the direct call.
	Allocations float64 `json:"allocations"`
	Requests    int64   `json:"requests"`
	Errors      int64   `json:"errors"`
}

// Target is a target of the design page with the measured value.
type Target struct {
	Name  string  `json:"name"`
	Bound string  `json:"bound"`
	Got   float64 `json:"got"`
	Met   bool    `json:"met"`
}

// Report is the output of a run.
type Report struct {
	Seed    int64      `json:"seed"`
	Rows    []Row      `json:"rows"`
	Claims  []ClaimRow `json:"claims"`
	Targets []Target   `json:"targets"`
}

// Run measures and prints the report.
func (b *Entry) Run(ctx context.Context) error {
	if b.Duration == 0 {
		b.Duration = 20 * time.Second
	}
	r := Report{Seed: b.Seed}
	random := rand.New(rand.NewPCG(uint64(b.Seed), 1))
	for _, d := range deployments {
		for _, policy := range []claimPolicy{onePerRequest, groupCommit} {
			r.Claims = append(r.Claims, simulateClaims(d, policy, rand.New(rand.NewPCG(uint64(b.Seed), 2))))
		}
	}
	rows, err := measure(ctx, b.Duration/(rounds*phases), random)
	if err != nil {
		return fmt.Errorf("measure entry: %w", err)
	}
	r.Rows = rows
	r.Targets = targets(r)
	return b.print(r)
}

func targets(r Report) []Target {
	forwarder, entry := r.Rows[1], r.Rows[2]
	added := entry.P99 - forwarder.P99
	ratio := entry.Throughput / forwarder.Throughput
	list := []Target{
		{Name: "p99 beyond the forwarder's, ms", Bound: "<= 1", Got: added, Met: added <= maxAddedP99},
		{Name: "throughput in parts of the forwarder's", Bound: ">= 0.8", Got: ratio, Met: ratio >= minThroughput},
	}
	for _, c := range r.Claims {
		if c.Policy == string(groupCommit) && c.Load == "peak" {
			list = append(list, Target{
				Name: "claim writes/s at the peak, " + c.Deployment, Bound: "<= 100", Got: c.PeakWrites, Met: c.PeakWrites <= 100,
			})
		}
	}
	return list
}

func (b *Entry) print(r Report) error {
	if b.JSON {
		encoder := json.NewEncoder(b.Out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(r)
	}
	w := tabwriter.NewWriter(b.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "path\tp50 ms\tp99 ms\tadded p50\tadded p99\trequests/s\tallocations\trequests\terrors")
	for _, row := range r.Rows {
		fmt.Fprintf(w, "%s\t%.3f\t%.3f\t%.3f\t%.3f\t%.0f\t%.1f\t%d\t%d\n",
			row.Path, row.P50, row.P99, row.AddedP50, row.AddedP99, row.Throughput, row.Allocations, row.Requests, row.Errors)
	}
	fmt.Fprintln(w, "\ndeployment\tload\tpolicy\tclaims/s\twrites/s\tpeak writes/s\tKB/s\tp50 ms\tp99 ms\trefused")
	for _, row := range r.Claims {
		fmt.Fprintf(w, "%s\t%s\t%s\t%.0f\t%.1f\t%.0f\t%.1f\t%.1f\t%.1f\t%d\n",
			row.Deployment, row.Load, row.Policy, row.Offered, row.Writes, row.PeakWrites, row.KiloBytes, row.P50, row.P99, row.Refused)
	}
	fmt.Fprintln(w, "\ntarget\tbound\tgot\tmet")
	for _, target := range r.Targets {
		fmt.Fprintf(w, "%s\t%s\t%.3f\t%t\n", target.Name, target.Bound, target.Got, target.Met)
	}
	return w.Flush()
}
