package jobload

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"golang.org/x/sync/errgroup"

	"verbenalanding.example/platform/standin"
	"verbenalanding.example/platform/wire"
	"verbenalanding.example/verbenaentry/node"
	"verbenalanding.example/verbenaentry/testfleet"
)

// Load is a load measurement. Set the exported fields before Run.
type Load struct {
	Seed     uint64
	Nodes    int
	Machines int
	// PerSecond is the number of submitted jobs per second, Duration the time in which jobs are submitted.
	PerSecond float64
	Duration  time.Duration
	// KillHolders adds a second run in which the holder of the pool is killed halfway.
	KillHolders bool
}

// Default returns l with default values for unset fields.
func (l Load) Default() Load {
	l.Seed = cmp.Or(l.Seed, 1)
	l.Nodes = cmp.Or(l.Nodes, 3)
	l.Machines = cmp.Or(l.Machines, 8)
	l.PerSecond = cmp.Or(l.PerSecond, 20)
	l.Duration = cmp.Or(l.Duration, 5*time.Second)
	return l
}

// Row is the result of one run. Times are in milliseconds.
type Row struct {
	Run          string  `json:"run"`
	Jobs         int     `json:"jobs"`
	PerSecond    float64 `json:"jobsPerSecond"`
	AcceptedP50  float64 `json:"acceptedP50Ms"`
	AcceptedP99  float64 `json:"acceptedP99Ms"`
	StartP50     float64 `json:"firstStartP50Ms"`
	StartP99     float64 `json:"firstStartP99Ms"`
	CompletedP50 float64 `json:"shownCompletedP50Ms"`
	CompletedP99 float64 `json:"shownCompletedP99Ms"`
	StoreCalls   float64 `json:"storeCallsPerJob"`
	Broken       int     `json:"brokenPromises"`
}

// pool is the pool that receives the jobs.
const pool = "cutting"

// Run measures a run without faults and, if KillHolders is set, one in which the holder is killed.
func (l Load) Run(ctx context.Context) ([]Row, error) {
	l = l.Default()
	names := []string{"calm"}
	if l.KillHolders {
		names = append(names, "holder killed")
	}
	var rows []Row
	for i, name := range names {
		row, err := l.measure(ctx, i == 1)
		if err != nil {
			return rows, fmt.Errorf("%s: %w", name, err)
		}
		row.Run = name
		rows = append(rows, row)
	}
	return rows, nil
}

// durations is a histogram of durations in microseconds.
type durations struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

func newDurations() *durations {
	return &durations{histogram: hdrhistogram.New(1, time.Minute.Microseconds(), 3)}
}

func (t *durations) add(d time.Duration) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.histogram.RecordValue(max(1, d.Microseconds()))
}

func (t *durations) quantileMs(quantile float64) float64 {
	return float64(t.histogram.ValueAtQuantile(quantile)) / 1000
}

func (l Load) measure(ctx context.Context, killHolder bool) (row Row, err error) {
	f := &testfleet.Fleet{
		Nodes: l.Nodes, Flags: node.Flags{DutyTTL: 2500 * time.Millisecond, WorkerLease: 3500 * time.Millisecond, LogLevel: "error"},
		Platform: &standin.Platform{
			Seed: l.Seed, Pools: map[string]int{pool: l.Machines, "spare": 1}, Standby: "spare",
			Capacity: wire.Resources{CPU: 16000, MemMb: 64000}, Tick: 2 * time.Millisecond,
		},
	}
	if err := f.Start(ctx); err != nil {
		return Row{}, err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	accepted, started, completed := newDurations(), newDurations(), newDurations()
	random := rand.New(rand.NewPCG(l.Seed, 3))
	var group errgroup.Group
	startTime := time.Now()
	jobs := 0
	for at := time.Duration(0); at < l.Duration; at += time.Duration(random.ExpFloat64() / l.PerSecond * float64(time.Second)) {
		time.Sleep(time.Until(startTime.Add(at)))
		j := &standin.Job{ID: fmt.Sprintf("%016x", jobs+1), RunTime: time.Duration(50+random.IntN(200)) * time.Millisecond, Job: wire.Job{
			Spec: "load", Steps: []wire.Step{{Count: 1 + random.IntN(6), CPU: 1000, MemMb: 512, EstimateMs: 150}, {Count: 1, CPU: 1000, MemMb: 512, EstimateMs: 150, After: []int{0}}},
		}}
		jobs++
		group.Go(func() error { return measureJob(ctx, f, j, accepted, started, completed) })
		if killHolder && at > l.Duration/2 {
			killHolder = false
			i := f.Holder(pool)
			if i < 0 {
				return Row{}, fmt.Errorf("kill holder of %s: the pool has none", pool)
			}
			f.Kill(i)
		}
	}
	if err := group.Wait(); err != nil {
		return Row{}, err
	}
	calls := 0
	for _, n := range f.Platform.Store.Calls() {
		calls += n
	}
	return Row{
		Jobs: jobs, PerSecond: float64(jobs) / time.Since(startTime).Seconds(),
		AcceptedP50: accepted.quantileMs(50), AcceptedP99: accepted.quantileMs(99), StartP50: started.quantileMs(50), StartP99: started.quantileMs(99),
		CompletedP50: completed.quantileMs(50), CompletedP99: completed.quantileMs(99), StoreCalls: float64(calls) / float64(jobs), Broken: len(f.Platform.Violations()),
	}, nil
}

var errRefused = errors.New("job refused")

func measureJob(ctx context.Context, f *testfleet.Fleet, j *standin.Job, accepted, started, completed *durations) error {
	startTime := time.Now()
	ok, err := f.Submit(ctx, pool, j)
	if err != nil {
		return fmt.Errorf("submit job %s: %w", j.ID, err)
	}
	if !ok {
		return fmt.Errorf("submit job %s: %w", j.ID, errRefused)
	}
	if err := accepted.add(time.Since(startTime)); err != nil {
		return err
	}
	if err := f.Await(ctx, pool, j.ID, "completed"); err != nil {
		return err
	}
	if err := completed.add(time.Since(startTime)); err != nil {
		return err
	}
	return started.add(f.Platform.FirstStart(j.ID).Sub(startTime))
}

// Write prints rows as a table, or as JSON.
func Write(out io.Writer, rows []Row, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(out).Encode(rows)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "run\tjobs\tjobs/s\taccepted p50 ms\tp99\tfirst start p50\tp99\tshown completed p50\tp99\tstore calls a job\tbroken promises")
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\t%d\n", r.Run, r.Jobs, r.PerSecond, r.AcceptedP50, r.AcceptedP99,
			r.StartP50, r.StartP99, r.CompletedP50, r.CompletedP99, r.StoreCalls, r.Broken)
	}
	return w.Flush()
}
