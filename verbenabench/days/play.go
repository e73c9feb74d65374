package days

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"
)

// endTime is longer than the store delays any answer.
const endTime = 5 * time.Second

// Result is what became of a play of a day.
type Result struct {
	Seed    uint64
	Nodes   int
	Workers int
	// Faults is their number by kind.
	Faults map[string]int
	// Jobs is the number of accepted jobs.
	Jobs int
	// Promises counts the checks: starts, margins, answers to questions for jobs, and accepted jobs that had to end.
	Promises int
	Starts   int
	// Margins counts the starts of a task whose earlier run had ended unheard, Least is the least time since that run had surely ended.
	Margins int
	Least   time.Duration
	Broken  []string
	// Script identifies what was drawn, Trace what happened at the workers.
	Script string
	Trace  string
	// Simulated is how long the day took by its own clock.
	Simulated time.Duration
	// Folder holds the logs of a broken play.
	Folder string
	Lines  []string `json:"-"`
	Notes  []string `json:"-"`
	Log    []byte   `json:"-"`
}

// Play plays the day of a seed, with faults for some time. It has to be called in a bubble of simulated time; all that it started has ended
// when it returns.
func Play(ctx context.Context, seed uint64, lasts time.Duration) (Result, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d := &day{script: draw(seed, lasts)}
	var groupCtx context.Context
	d.group, groupCtx = errgroup.WithContext(ctx)
	began := time.Now()
	if err := d.start(groupCtx); err != nil {
		return Result{}, fmt.Errorf("seed %d: %w", seed, err)
	}
	callers, callersCtx := errgroup.WithContext(groupCtx)
	callers.Go(func() error { return d.playFaults(callersCtx) })
	callers.Go(func() error { return d.callAll(callersCtx) })
	err := callers.Wait()
	if err == nil && len(d.violations()) == 0 {
		d.settle(groupCtx)
	}
	r := d.result()
	r.Simulated = time.Since(began)
	cancel()
	for _, p := range d.processes {
		p.kill(true, 0)
	}
	d.net.shut()
	d.client.CloseIdleConnections()
	if ended := d.group.Wait(); err == nil {
		err = ended
	}
	// Answers that the stand-in delays are on their way; a bubble must not end before them.
	time.Sleep(endTime)
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
		r.Starts, r.Margins, r.Least, r.Trace, r.Lines = o.starts, o.margins, o.least, o.hash(), o.lines
	})
	d.mu.Lock()
	defer d.mu.Unlock()
	r.Jobs, r.Notes = len(d.accepted), d.notes
	r.Promises = r.Starts + r.Margins + d.asked + d.ended
	return r
}
