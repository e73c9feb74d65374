package gaps

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"text/tabwriter"
	"time"

	"verbenalanding.example/fleet/dispatch"
)

// Bench measures the waits of tasks by their size. Set the exported fields before Run.
type Bench struct {
	Seed uint64
	// Days is the number of drawn days of each shape and load.
	Days int
	// Workers is the number of workers of the pool.
	Workers int
	// Settings are those of the scheduler that is compared with the one without reservations and second runs.
	Settings dispatch.Settings
	// Offline also places the days with all run times known, which takes most of the time.
	Offline bool
	JSON    bool
	Out     io.Writer
}

// Row holds what the callers of one shape and load see of a placement.
type Row struct {
	Shape     string `json:"shape"`
	Load      string `json:"load"`
	Placement string `json:"placement"`
	// Sizes are the upper bounds of the first nine deciles of the tasks' sizes, as shares of a worker in the resource of which they need most.
	Sizes []float64 `json:"sizes"`
	// P50 and P99 are quantiles of the tasks' waits by decile of size.
	P50 []time.Duration `json:"p50Ns"`
	P99 []time.Duration `json:"p99Ns"`
	// InTime is the share of the jobs that ended within their target, InTimeLargest that of the tenth with the most work, InTimeSmall that of the
	// half with the least.
	InTime        float64 `json:"inTime"`
	InTimeLargest float64 `json:"inTimeLargest"`
	InTimeSmall   float64 `json:"inTimeSmall"`
	// Events counts the reservations and second runs.
	Events map[string]int `json:"events"`
}

// The compared placements.
const (
	before       = "without reservations"
	reserved     = "with reservations"
	after        = "and second runs"
	offline      = "run times known, by arrival"
	largestFirst = "run times known, largest first"
)

// Run measures all rows and prints them.
func (b *Bench) Run(ctx context.Context) error {
	var rows []Row
	for _, s := range shapes {
		for _, c := range courses {
			r, err := b.compare(ctx, s, c)
			if err != nil {
				return err
			}
			rows = append(rows, r...)
		}
	}
	if b.JSON {
		encoder := json.NewEncoder(b.Out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(rows)
	}
	return b.print(rows)
}

// compare plays the same days with each placement.
func (b *Bench) compare(ctx context.Context, s shape, c course) ([]Row, error) {
	placements := []struct {
		name  string
		place func(jobs []drawnJob) (*outcome, error)
	}{
		{before, func(jobs []drawnJob) (*outcome, error) {
			return place(ctx, s, jobs, b.Workers, dispatch.Settings{LargeTask: dispatch.Never, SecondRuns: dispatch.Never})
		}},
		{reserved, func(jobs []drawnJob) (*outcome, error) {
			settings := b.Settings
			settings.SecondRuns = dispatch.Never
			return place(ctx, s, jobs, b.Workers, settings)
		}},
		{after, func(jobs []drawnJob) (*outcome, error) { return place(ctx, s, jobs, b.Workers, b.Settings) }},
		{offline, func(jobs []drawnJob) (*outcome, error) { return placeOffline(s, jobs, b.Workers, false), nil }},
		{largestFirst, func(jobs []drawnJob) (*outcome, error) { return placeOffline(s, jobs, b.Workers, true), nil }},
	}
	if !b.Offline {
		placements = placements[:3]
	}
	var rows []Row
	for _, p := range placements {
		var all []*outcome
		for day := range b.Days {
			o, err := p.place(drawDay(rand.New(rand.NewPCG(b.Seed, uint64(day))), s, c, b.Workers))
			if err != nil {
				return nil, fmt.Errorf("%s, %s, %s: %w", s.name, c.name, p.name, err)
			}
			all = append(all, o)
		}
		rows = append(rows, row(s, c, p.name, all))
	}
	return rows, nil
}

// row sums up the outcomes of several days.
func row(s shape, c course, placement string, all []*outcome) Row {
	r := Row{Shape: s.name, Load: c.name, Placement: placement, Sizes: all[0].bounds, Events: map[string]int{}}
	for d := range 10 {
		var waits []time.Duration
		for _, o := range all {
			waits = append(waits, o.waits[d]...)
		}
		r.P50, r.P99 = append(r.P50, quantile(waits, 0.5)), append(r.P99, quantile(waits, 0.99))
	}
	for _, o := range all {
		days := float64(len(all))
		r.InTime += o.inTimeShare(0, 10) / days
		r.InTimeLargest += o.inTimeShare(9, 10) / days
		r.InTimeSmall += o.inTimeShare(0, 5) / days
		for _, kind := range []string{"worker reserved", "reservation released", "second run"} {
			r.Events[kind] += o.events[kind]
		}
	}
	return r
}

func (b *Bench) print(rows []Row) error {
	w := tabwriter.NewWriter(b.Out, 0, 0, 2, ' ', 0)
	for i, r := range rows {
		if i == 0 || rows[i-1].Load != r.Load || rows[i-1].Shape != r.Shape {
			fmt.Fprintf(w, "\n%s; load %s; decile from\t%s\tjobs in time: all, largest tenth, smaller half\tevents\n", r.Shape, r.Load, columns(r.Sizes, func(size float64) string { return fmt.Sprintf("%.2f", size) }))
		}
		fmt.Fprintf(w, "%s: p50 s\t%s\t%.3f, %.3f, %.3f\t%v\n", r.Placement, columns(r.P50, inSeconds), r.InTime, r.InTimeLargest, r.InTimeSmall, r.Events)
		fmt.Fprintf(w, "  p99 s\t%s\t\t\n", columns(r.P99, inSeconds))
	}
	return w.Flush()
}

func inSeconds(d time.Duration) string { return fmt.Sprintf("%.2f", d.Seconds()) }

// columns prints the smallest decile, the middle one and the largest three.
func columns[T any](values []T, format func(T) string) string {
	var cells []string
	if len(values) == 9 {
		values = append([]T{*new(T)}, values...)
	}
	for _, d := range []int{0, 2, 4, 6, 7, 8, 9} {
		cells = append(cells, format(values[d]))
	}
	return strings.Join(cells, "\t")
}
