package overload

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// Overload compares the policies. Set the exported fields before Run.
type Overload struct {
	Seed uint64
	// Seeds is the number of consecutive seeds over which the results are added up.
	Seeds int
	JSON  bool
	Out   io.Writer
}

// Row is the result of a policy under a load. The others are all workspaces but the first one, which is the hot one.
type Row struct {
	Load    string `json:"load"`
	Order   string `json:"order"`
	Refusal string `json:"refusal"`
	// Goodput is the worth that was earned of the worth that the workspaces were owed, GoodputOthers that of the others.
	Goodput       float64 `json:"goodput"`
	GoodputOthers float64 `json:"goodputOthers"`
	// Beyond is the part of the jobs beyond what is owed that were in time.
	Beyond float64 `json:"beyond"`
	// FirstStart is the 99th percentile of the time from the first call to the first start of the others' owed jobs that were in time.
	FirstStart time.Duration `json:"firstStartP99Ns"`
	// Refused and RefusedOwed count the jobs that were refused for good.
	Refused     int `json:"refused"`
	RefusedOwed int `json:"refusedOwed"`
	// Useless counts the jobs that were taken and ended too late to be of use.
	Useless int `json:"useless"`
}

// Run plays all loads with all policies and prints the results.
func (o *Overload) Run(ctx context.Context) error {
	var rows []Row
	for _, l := range loads {
		for _, p := range policies {
			var calls []*call
			for i := range o.Seeds {
				if err := ctx.Err(); err != nil {
					return err
				}
				seed, began := o.Seed+uint64(i), time.Unix(1_790_000_000, 0)
				drawn := drawCalls(l, seed, began)
				newModel(p, l, seed, began).run(drawn)
				calls = append(calls, drawn...)
			}
			rows = append(rows, newRow(l, p, calls))
		}
	}
	if o.JSON {
		encoder := json.NewEncoder(o.Out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(rows)
	}
	w := tabwriter.NewWriter(o.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "load\torder\trefusal\tgoodput\tof the others\tbeyond in time\tp99 of first start\trefused\tof them owed\ttaken, useless")
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t%s\t%s\t%.3f\t%.3f\t%.3f\t%v\t%d\t%d\t%d\n", r.Load, r.Order, r.Refusal, r.Goodput, r.GoodputOthers, r.Beyond,
			r.FirstStart.Round(10*time.Millisecond), r.Refused, r.RefusedOwed, r.Useless)
	}
	return w.Flush()
}

func newRow(l load, p policy, calls []*call) Row {
	r := Row{Load: l.name, Order: p.order, Refusal: p.refusal}
	var earned, owed, earnedOthers, owedOthers float64
	var starts []time.Duration
	beyond, beyondInTime := 0, 0
	for _, c := range calls {
		credit := c.credit()
		if c.refused {
			r.Refused++
			if c.owed {
				r.RefusedOwed++
			}
		} else if credit == 0 {
			r.Useless++
		}
		if !c.owed {
			beyond++
			if credit == c.worth {
				beyondInTime++
			}
			continue
		}
		earned, owed = earned+credit, owed+c.worth
		if c.job.Workspace == workspaceName(hotWorkspace) {
			continue
		}
		earnedOthers, owedOthers = earnedOthers+credit, owedOthers+c.worth
		if credit == c.worth {
			starts = append(starts, c.began.Sub(c.first))
		}
	}
	r.Goodput, r.GoodputOthers, r.Beyond = earned/owed, earnedOthers/owedOthers, float64(beyondInTime)/float64(max(1, beyond))
	if len(starts) > 0 {
		slices.Sort(starts)
		r.FirstStart = starts[len(starts)*99/100]
	}
	return r
}
