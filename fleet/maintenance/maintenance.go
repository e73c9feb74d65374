package maintenance

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"

	"verbenalanding.example/fleet/chart"
	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/interval"
	"verbenalanding.example/fleet/platform"
	"verbenalanding.example/fleet/record"
	"verbenalanding.example/fleet/store"
)

// Drains reports whether an instance is drained.
type Drains interface {
	// Confirmed reports whether every entry instance has confirmed the drain number and has nothing in flight at the
	// instance; otherwise the error may name the entry instances that have not.
	Confirmed(ctx context.Context, instance string, drain uint64) (bool, error)
}

// Prefixes of the names of the duties; the name of the pool or wave follows.
const (
	PoolDutyPrefix = "pool/"
	WaveDutyPrefix = "wave/"
)

const (
	// stepInterval is the time between two steps of a loop.
	stepInterval = time.Second
	// slowAfter is the duration of a refresh above which the store counts as slow and no planned stop begins.
	slowAfter = time.Second
)

var (
	instanceChart = chart.MustLoad(chart.Instance)
	waveChart     = chart.MustLoad(chart.Wave)
	moveChart     = chart.MustLoad(chart.Move)
)

// Duty is the common part of PoolLoop and WaveLoop; set the exported fields before Run or Step.
type Duty struct {
	Store   store.Store
	Control platform.Control
	Drains  Drains
	// Epoch is the fencing epoch under which the process holds the duty.
	Epoch record.Epoch
	// Configuration returns the declarations in force and their revision.
	Configuration func() (declaration.Set, uint64)
	Now           func() time.Time
	Log           zerolog.Logger
	// Fleet is shared by the loops of a process; when nil, the loop creates its own.
	Fleet *Fleet
	// Interval is the time between steps; 0 means 1 s.
	Interval time.Duration
	// CheckTime is how long an instance must be healthy before it serves; 0 means 5 s.
	CheckTime time.Duration
	// SpareDelay is how long an unassigned instance is reserved for non-spare pools; 0 means 10 s.
	SpareDelay time.Duration
	// ClockSkew is how far the clocks of the platform and of the holder may differ; 0 means 2 s.
	ClockSkew time.Duration

	// stepEnded is when the last step ended.
	stepEnded time.Time
	failing   bool
}

func (d *Duty) setDefaults() {
	if d.Now == nil {
		d.Now = time.Now
	}
	if d.Fleet == nil {
		d.Fleet = &Fleet{Store: d.Store, Control: d.Control, Now: d.Now}
	}
	if d.SpareDelay <= 0 {
		d.SpareDelay = defaultSpareDelay
	}
	if d.Interval <= 0 {
		d.Interval = stepInterval
	}
}

// run repeats a step until the context ends or the duty is fenced.
func (d *Duty) run(ctx context.Context, name string, step func(context.Context, time.Time) error) error {
	for range interval.FromNow(ctx, d.Interval) {
		err := step(ctx, d.Now())
		if errors.Is(err, record.ErrFenced) {
			return err
		}
		if ctx.Err() == nil {
			d.logStep(name, err)
		}
	}
	return ctx.Err()
}

// logStep logs the first failed step and the first successful one after it. Otherwise a store outage of minutes would
// write a line per second for each pool and wave.
func (d *Duty) logStep(name string, err error) {
	log := d.Log.With().Str("duty", name).Uint64("epoch", uint64(d.Epoch)).Logger()
	switch {
	case err != nil && !d.failing:
		log.Warn().Err(err).Msg("step failed; no planned stop begins until a step succeeds")
	case err == nil && d.failing:
		log.Info().Msg("steps succeed again")
	}
	d.failing = err != nil
}

// refresh reads the fleet and reports whether the store was slow to answer.
func (d *Duty) refresh(ctx context.Context) (View, bool, error) {
	d.setDefaults()
	before := d.Now()
	view, err := d.Fleet.Refresh(ctx, d.stepEnded)
	return view, view.Slow || d.Now().Sub(before) > slowAfter, err
}

func (d *Duty) reason(rule, detail string, revision uint64, now time.Time) record.Reason {
	return record.Reason{Rule: rule, Detail: detail, ConfigRevision: revision, At: now}
}
