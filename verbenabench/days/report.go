package days

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"text/tabwriter"
	"time"
)

// Row is the result for one kind of fault. A day with several kinds of fault counts in the row of each.
type Row struct {
	Kind     string `json:"kind"`
	Days     int    `json:"days"`
	Faults   int    `json:"faults"`
	Jobs     int    `json:"jobs"`
	Promises int    `json:"promises"`
	Broken   int    `json:"broken"`
}

// Report sums up the results of all simulations.
type Report struct {
	Plays    int   `json:"plays"`
	Broken   int   `json:"broken"`
	Jobs     int   `json:"jobs"`
	Promises int   `json:"promises"`
	Starts   int   `json:"starts"`
	Margins  int   `json:"margins"`
	Rows     []Row `json:"rows"`
	// Least is the shortest margin in milliseconds, and LeastSeed the seed of its day. Least is nil if there were no margins.
	Least     *float64 `json:"leastMarginMs,omitempty"`
	LeastSeed uint64   `json:"leastMarginSeed,omitempty"`
	// BrokenSeeds holds the seeds of the simulations that broke a promise.
	BrokenSeeds []uint64 `json:"brokenSeeds"`

	rows map[string]*Row
}

func newReport() *Report { return &Report{rows: map[string]*Row{}, BrokenSeeds: []uint64{}} }

func (r *Report) add(day *Result) {
	r.Plays++
	r.Jobs, r.Promises, r.Starts, r.Margins = r.Jobs+day.Jobs, r.Promises+day.Promises, r.Starts+day.Starts, r.Margins+day.Margins
	if len(day.Broken) > 0 {
		r.Broken++
		r.BrokenSeeds = append(r.BrokenSeeds, day.Seed)
	}
	if least := float64(day.Least) / float64(time.Millisecond); day.Margins > 0 && (r.Least == nil || least < *r.Least) {
		r.Least, r.LeastSeed = &least, day.Seed
	}
	for kind, faults := range day.Faults {
		row := r.rows[kind]
		if row == nil {
			row = &Row{Kind: kind}
			r.rows[kind] = row
		}
		row.Days, row.Faults, row.Jobs, row.Promises = row.Days+1, row.Faults+faults, row.Jobs+day.Jobs, row.Promises+day.Promises
		if len(day.Broken) > 0 {
			row.Broken++
		}
	}
}

// write prints the report.
func (d *Days) write(r *Report) error {
	for _, kind := range slices.Sorted(maps.Keys(r.rows)) {
		r.Rows = append(r.Rows, *r.rows[kind])
	}
	if d.JSON {
		encoder := json.NewEncoder(d.Out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(r)
	}
	w := tabwriter.NewWriter(d.Out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "kind of fault\tdays\tfaults\tjobs\tpromises checked\tbroken\t")
	for _, row := range r.Rows {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t\n", row.Kind, row.Days, row.Faults, row.Jobs, row.Promises, row.Broken)
	}
	fmt.Fprintf(w, "all\t%d\t\t%d\t%d\t%d\t\n", r.Plays, r.Jobs, r.Promises, r.Broken)
	if err := w.Flush(); err != nil {
		return err
	}
	if r.Least == nil {
		fmt.Fprintf(d.Out, "%d starts, no margins\n", r.Starts)
		return nil
	}
	fmt.Fprintf(d.Out, "%d starts, %d margins, shortest %.1f ms, seed %d\n", r.Starts, r.Margins, *r.Least, r.LeastSeed)
	return nil
}
