package planstep

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"runtime"
	"slices"
	"text/tabwriter"
	"time"

	"verbenalanding.example/verbenabench/target"
)

// Limit is the required 99th percentile of a step, at 540 and at 4,300 workers.
const Limit = 10 * time.Millisecond

// Bench measures the steps of the scheduler of one pool. Set the exported fields before Run.
type Bench struct {
	Seed uint64
	// Workers are the numbers of workers to measure, in increasing order.
	Workers []int
	// Waiting is the number of tasks that wait before each step.
	Waiting int
	// Steps is the number of measured steps of each row.
	Steps int
	JSON  bool
	Out   io.Writer
}

// Row holds the times of the steps of one case and size.
type Row struct {
	Case    string  `json:"case"`
	Workers int     `json:"workers"`
	Waiting int     `json:"waiting"`
	Started float64 `json:"startedEachStep"`
	// Processor is the processor time of a step, which leaves out the work of other processes on the machine; Elapsed is its whole time.
	Processor Quantiles `json:"processor"`
	Elapsed   Quantiles `json:"elapsed"`
	// Growth is the power of the number of workers by which the median of the processor time has grown since the first size; 0 for the first one.
	Growth float64 `json:"growth"`
}

// Quantiles describes the times of the steps of a row.
type Quantiles struct {
	P50   time.Duration `json:"p50Ns"`
	P99   time.Duration `json:"p99Ns"`
	Worst time.Duration `json:"worstNs"`
}

// The measured cases: workers that are full but for what has ended since the step before, and workers that are all idle.
const (
	full = "full workers"
	idle = "idle workers"
)

// warmUp is the number of steps in which the workers become full.
const warmUp = 30

// Run measures all rows and prints them.
func (b *Bench) Run(ctx context.Context) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var rows []Row
	for _, c := range []struct {
		name    string
		measure func(ctx context.Context, workers int) (Row, error)
	}{{full, b.full}, {idle, b.idle}} {
		first := len(rows)
		for _, workers := range b.Workers {
			r, err := c.measure(ctx, workers)
			if err != nil {
				return err
			}
			r.Case, r.Workers, r.Waiting = c.name, workers, b.Waiting
			rows = append(rows, r)
			rows[len(rows)-1].Growth = growth(rows[first], r)
		}
	}
	if b.JSON {
		encoder := json.NewEncoder(b.Out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(rows)
	}
	return b.print(rows)
}

func growth(first, r Row) float64 {
	if r.Workers == first.Workers {
		return 0
	}
	return math.Log(float64(r.Processor.P50)/float64(first.Processor.P50)) / math.Log(float64(r.Workers)/float64(first.Workers))
}

// full measures steps of a pool in which tasks end and jobs arrive between two steps.
func (b *Bench) full(ctx context.Context, workers int) (Row, error) {
	m := newModel(b.Seed, workers)
	var measured samples
	for n := range warmUp + b.Steps {
		if err := ctx.Err(); err != nil {
			return Row{}, err
		}
		m.addJobs(b.Waiting)
		if n == warmUp {
			measured = samples{}
		}
		if err := measured.step(m); err != nil {
			return Row{}, err
		}
		m.advance()
	}
	return measured.row(), nil
}

// idle measures the first step of a pool whose workers are all idle.
func (b *Bench) idle(ctx context.Context, workers int) (Row, error) {
	var measured samples
	for n := range b.Steps {
		if err := ctx.Err(); err != nil {
			return Row{}, err
		}
		m := newModel(b.Seed+uint64(n), workers)
		m.addJobs(b.Waiting)
		if err := measured.step(m); err != nil {
			return Row{}, err
		}
	}
	return measured.row(), nil
}

// samples holds the measured steps of a row.
type samples struct {
	processor, elapsed []time.Duration
	starts             int
}

// step plans once and carries out the orders, which is not in the time of the step.
func (s *samples) step(m *model) error {
	before, err := target.ThreadTime()
	if err != nil {
		return err
	}
	began := time.Now()
	actions := m.pool.Plan(m.now)
	s.elapsed = append(s.elapsed, time.Since(began))
	after, err := target.ThreadTime()
	if err != nil {
		return err
	}
	s.processor = append(s.processor, after-before)
	s.starts += m.carryOut(actions)
	return nil
}

func (s *samples) row() Row {
	return Row{Started: float64(s.starts) / float64(len(s.elapsed)), Processor: quantiles(s.processor), Elapsed: quantiles(s.elapsed)}
}

func quantiles(times []time.Duration) Quantiles {
	slices.Sort(times)
	return Quantiles{P50: quantile(times, 0.5), P99: quantile(times, 0.99), Worst: times[len(times)-1]}
}

// quantile returns the smallest of the sorted values that at least a share q of them does not exceed.
func quantile[T any](times []T, q float64) T {
	return times[max(0, int(math.Ceil(q*float64(len(times))))-1)]
}

func (b *Bench) print(rows []Row) error {
	w := tabwriter.NewWriter(b.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "case\tworkers\twaiting tasks\tstarts a step\tprocessor time p50, p99, worst\telapsed p50, p99, worst\tgrowth of p50\tlimit of p99\tverdict")
	for _, r := range rows {
		verdict := "met"
		if r.Processor.P99 > Limit {
			verdict = "missed"
		}
		fmt.Fprintf(w, "%s\t%d\t%d\t%.0f\t%v\t%v\tn^%.2f\t%v\t%s\n",
			r.Case, r.Workers, r.Waiting, r.Started, r.Processor, r.Elapsed, r.Growth, Limit, verdict)
	}
	return w.Flush()
}

// String returns the quantiles in milliseconds.
func (q Quantiles) String() string {
	ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	return fmt.Sprintf("%.1f, %.1f, %.1f ms", ms(q.P50), ms(q.P99), ms(q.Worst))
}
