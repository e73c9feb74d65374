package placement

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"
)

// sweepResult sums up the policy's results of one scenario over several seeds.
type sweepResult struct {
	Scenario        string        `json:"scenario"`
	Seeds           int           `json:"seeds"`
	SeedsMissed     int           `json:"seedsMissed"`
	MeanP99         time.Duration `json:"meanUrgentP99"`
	WorstP99        time.Duration `json:"worstUrgentP99"`
	DeadlinesKept   float64       `json:"deadlinesKept"`
	Utilization     float64       `json:"utilization"`
	Lost            int           `json:"jobsLost"`
	GoodQuarantined int           `json:"goodWorkersQuarantined"`
}

// sweep runs the policy with several seeds, since the tail of urgent start times varies between seeds.
func (b *Benchmark) sweep(ctx context.Context) ([]sweepResult, error) {
	var results []sweepResult
	for i, sc := range scenarios {
		total := sweepResult{Scenario: sc.name, Seeds: b.Seeds}
		measured := 0
		for n := range b.Seeds {
			if err := ctx.Err(); err != nil {
				return nil, err
			}
			seeded := *b
			seeded.Seed += int64(n)
			r, err := seeded.runScenario(sc, i, "policy")
			if err != nil {
				return nil, err
			}
			total.add(r)
			if r.DeadlinesDue > 0 {
				measured++
				total.DeadlinesKept += r.DeadlinesKept
			}
		}
		total.MeanP99 /= time.Duration(b.Seeds)
		total.Utilization /= float64(b.Seeds)
		total.DeadlinesKept /= float64(max(measured, 1))
		results = append(results, total)
	}
	return results, nil
}

func (t *sweepResult) add(r result) {
	t.MeanP99 += r.UrgentP99
	t.WorstP99 = max(t.WorstP99, r.UrgentP99)
	t.Utilization += r.Utilization
	t.Lost += r.Lost
	t.GoodQuarantined += r.GoodQuarantined
	if r.UrgentP99 > urgentStartTarget {
		t.SeedsMissed++
	}
}

func writeSweep(out io.Writer, results []sweepResult) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "\nscenario (policy)\tseeds\tseeds whose urgent p99 is above 8.7s\tmean p99\tworst p99\tdeadlines\tutilization\tlost\tgood quarantined")
	for _, s := range results {
		fmt.Fprintf(w, "%s\t%d\t%d\t%v\t%v\t%.1f%%\t%.1f%%\t%d\t%d\n",
			s.Scenario, s.Seeds, s.SeedsMissed, round(s.MeanP99), round(s.WorstP99), 100*s.DeadlinesKept, 100*s.Utilization, s.Lost, s.GoodQuarantined)
	}
	return w.Flush()
}
