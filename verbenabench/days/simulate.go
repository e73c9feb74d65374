package days

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"
)

// drainTime is longer than any answer delay of the store.
const drainTime = 5 * time.Second

// Result is the result of one simulation of a day.
type Result struct {
	Seed    uint64
	Nodes   int
	Workers int
	// Faults holds the number of faults by kind.
	Faults map[string]int
	// Jobs is the number of accepted jobs.
	Jobs int
	// Promises counts the checks: starts, margins, answers to job state requests, and accepted jobs that had to end.
	Promises int
	Starts   int
	// Margins counts the starts of a task whose earlier run had ended without a confirmation. Least is the shortest time between the
	// latest possible end of such a run and the next start.
	Margins int
	Least   time.Duration
	Broken  []string
	// Script is a hash of the generated faults and jobs, Trace one of the events at the workers.
	Script string
	Trace  string
	// Simulated is the duration of the day in simulated time.
	Simulated time.Duration
	// Folder holds the logs if a promise was broken.
	Folder string
	Lines  []string `json:"-"`
	Notes  []string `json:"-"`
	Log    []byte   `json:"-"`
}

// Simulate simulates the day of a seed with faults for the given time. It must be called in a synctest bubble. All goroutines that it
// started have ended when it returns.
func Simulate(ctx context.Context, seed uint64, duration time.Duration) (Result, error) {
	return newScript(seed, duration).simulate(ctx)
}

// simulate simulates the day of a script; see Simulate.
func (s *script) simulate(ctx context.Context) (Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d := &day{script: s}
	var groupCtx context.Context
	d.group, groupCtx = errgroup.WithContext(ctx)
	startTime := time.Now()
	if err := d.start(groupCtx); err != nil {
		return Result{}, fmt.Errorf("seed %d: %w", s.seed, err)
	}
	callers, callersCtx := errgroup.WithContext(groupCtx)
	callers.Go(func() error { return d.injectFaults(callersCtx) })
	callers.Go(func() error { return d.runCallers(callersCtx) })
	err := callers.Wait()
	if err == nil && len(d.violations()) == 0 {
		d.settle(groupCtx)
	}
	r := d.result()
	r.Simulated = time.Since(startTime)
	cancel()
	for _, p := range d.processes {
		p.kill(true, 0)
	}
	d.network.shutdown()
	d.client.CloseIdleConnections()
	if ended := d.group.Wait(); err == nil {
		err = ended
	}
	// The bubble must not end before the answers that the stand-in delays.
	time.Sleep(drainTime)
	r.Log = d.log.Bytes()
	return r, err
}

func (d *day) result() Result {
	r := Result{Seed: d.script.seed, Nodes: len(d.script.cores), Faults: map[string]int{}, Broken: d.violations(), Script: d.script.hash()}
	for _, n := range d.script.pools {
		r.Workers += n
	}
	for i := range d.script.faults {
		r.Faults[d.script.faults[i].kind]++
	}
	d.platform.WithLock(func() {
		o := d.oracle
		r.Starts, r.Margins, r.Least, r.Trace, r.Lines = o.startCount, o.marginCount, o.leastMargin, o.hash(), o.eventLines
	})
	d.mu.Lock()
	defer d.mu.Unlock()
	r.Jobs, r.Notes = len(d.accepted), d.notes
	r.Promises = r.Starts + r.Margins + d.stateChecks + d.endedJobs
	return r
}
