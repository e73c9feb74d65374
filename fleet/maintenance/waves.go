package maintenance

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"time"

	"verbenalanding.example/fleet/budget"
	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/move"
	"verbenalanding.example/fleet/record"
	"verbenalanding.example/fleet/store"
	"verbenalanding.example/fleet/wave"
)

// WaveLoop is the duty wave/<name>: it owns the wave's record and orders stops, which the pools' loops execute.
type WaveLoop struct {
	Duty
	Wave string
	// Planner decides the wave's steps.
	Planner wave.Planner
	// Forecasts learns the demand that limits the width; Demand returns the samples since the last call.
	Forecasts *move.Planner
	Demand    func() []move.Sample

	tookOver        bool
	plannedVersion  uint64
	plannedRevision uint64
	replanAt        time.Time
}

// Run repeats Step until the context ends or another holder has fenced this one.
func (l *WaveLoop) Run(ctx context.Context) error {
	l.setDefaults()
	return l.run(ctx, WaveDutyPrefix+l.Wave, l.Step)
}

// Step executes what is due now; it returns record.ErrFenced when the duty has a newer holder.
func (l *WaveLoop) Step(ctx context.Context, now time.Time) error {
	l.setDefaults()
	defer func() { l.stepEnded = l.Now() }()
	view, slow, err := l.refresh(ctx)
	if err != nil {
		return fmt.Errorf("wave %s: %w", l.Wave, err)
	}
	set, revision := l.Configuration()
	declared, ok := set.Waves[l.Wave]
	if !ok {
		return nil
	}
	if !l.due(view, revision, slow, now) {
		return nil
	}
	current := view.Waves[l.Wave]
	if current.Value.Epoch > l.Epoch {
		return fmt.Errorf("wave %s: %w", l.Wave, record.ErrFenced)
	}
	next := l.decide(view, current.Value, declared, set, revision, slow, now)
	next.Epoch = l.Epoch
	if l.tookOver && reflect.DeepEqual(next, current.Value) {
		return nil
	}
	_, err = record.Save(ctx, l.Store, record.WavePrefix+l.Wave, next, current.Revision, 0)
	if errors.Is(err, store.ErrConflict) {
		// Another holder wrote the record; the next step reads its epoch.
		return nil
	}
	if err != nil {
		return fmt.Errorf("wave %s: %w", l.Wave, err)
	}
	if next.State != current.Value.State {
		l.Log.Info().Str("wave", l.Wave).Str("from", current.Value.State).Str("to", next.State).Str("rule", next.Reason.Rule).Str("detail", next.Reason.Detail).Msg("wave changed state")
	}
	l.tookOver = true
	return nil
}

// replanAfter is how long a plan stays valid while no record changes, and thus how often windows, halts and demand are
// evaluated.
const replanAfter = 5 * time.Second

// due reports whether a new plan is due: a plan of 4,300 instances takes milliseconds, so an unchanged fleet is not planned
// again before replanAt.
func (l *WaveLoop) due(view View, revision uint64, slow bool, now time.Time) bool {
	if l.tookOver && view.Version == l.plannedVersion && revision == l.plannedRevision && !slow && now.Before(l.replanAt) {
		return false
	}
	l.plannedVersion, l.plannedRevision, l.replanAt = view.Version, revision, now.Add(replanAfter)
	return true
}

// decide returns the record after one step.
func (l *WaveLoop) decide(view View, r record.Wave, declared declaration.Wave, set declaration.Set, revision uint64, slow bool, now time.Time) record.Wave {
	r = l.round(r, declared, now)
	r.Active = slices.Clone(r.Active)
	l.removeFinished(view, &r)
	plan := l.Planner.Plan(wave.Input{
		Now: now, Declared: declared, Record: r, Services: set.Services, Budgets: set.Budgets, Index: budget.NewIndex(set),
		Members: l.Fleet.members(view, set, revision), Loads: l.loads(set, now), Resume: set.Intents[resumeKey(l.Wave)].At, StoreSlow: slow,
	})
	r.Done, r.Failed, r.Failures, r.Deadline = plan.Done, plan.Failed, plan.Failures, plan.Deadline
	slices.Sort(r.Done)
	slices.Sort(r.Failed)
	if shift := plan.Predicted.Sub(r.Predicted).Abs(); plan.Remaining > 0 && shift > minPredictionShift {
		r.Predicted, r.LatestStart = plan.Predicted, plan.LatestStart
	}
	l.applyActions(&r, plan, revision, now)
	return r
}

// minPredictionShift is the minimum change of a prediction that is written to the record.
const minPredictionShift = 5 * time.Minute

// applyActions applies the plan's actions to the record and sets one reason: a predicted delay first, then the stops begun,
// then the first reason to wait. The recorded reason changes only with the rule, since new figures in every plan would cause
// a write each time.
func (l *WaveLoop) applyActions(r *record.Wave, plan wave.Plan, revision uint64, now time.Time) {
	rule, detail := "", ""
	begun := false
	for _, a := range plan.Actions {
		switch a := a.(type) {
		case wave.Transition:
			l.transition(r, a, revision, now)
			return
		case wave.Begin:
			r.Active = append(r.Active, a.Instance)
			begun = true
		case wave.Wait:
			if rule == "" {
				rule, detail = a.Rule, a.Detail
			}
		}
	}
	if begun {
		rule, detail = "running", fmt.Sprintf("%d left, %d stopped", plan.Remaining, len(r.Active))
	}
	if late := plan.Late(); late != "" && r.State == wave.Running {
		rule, detail = "late", late
	}
	if rule != "" && rule != r.Reason.Rule {
		r.Reason = l.reason(rule, detail, revision, now)
	}
}

// round returns the record of a new round if none exists or the last one is over, and otherwise the given record.
func (l *WaveLoop) round(r record.Wave, declared declaration.Wave, now time.Time) record.Wave {
	over := r.State == wave.Finished && declared.Every > 0 && !now.Before(r.Started.Add(declared.Every))
	if r.State != "" && !over {
		return r
	}
	return record.Wave{Name: l.Wave, State: waveChart.Initial, Round: r.Round + 1, Since: now}
}

// removeFinished removes the instances whose stop has ended from the orders and adds the duration of the stop to the mean.
func (l *WaveLoop) removeFinished(view View, r *record.Wave) {
	r.Active = slices.DeleteFunc(r.Active, func(id string) bool {
		v, ok := view.Instances[id]
		i := v.Value
		switch {
		case !ok || i.State == wave.Failed || i.State == wave.Retired:
			return true
		case i.State != wave.InService:
			return false
		case i.Maintained.After(r.Started):
			if i.Wave == l.Wave && i.Round == r.Round && i.Maintained.After(i.DrainSince) {
				r.Cycles++
				r.CycleTime += i.Maintained.Sub(i.DrainSince)
			}
			return true
		}
		return r.State != wave.Running
	})
}

func (l *WaveLoop) transition(r *record.Wave, t wave.Transition, revision uint64, now time.Time) {
	next, err := waveChart.Next(r.State, t.Event)
	if err != nil {
		l.Log.Error().Err(err).Str("wave", l.Wave).Msg("state chart rejected the event")
		return
	}
	r.State, r.Since = next, now
	switch t.Event {
	case "start":
		r.Started, r.Resumed = now, now
	case "resume":
		r.Resumed = now
	case "finish":
		r.Finished = now
	}
	r.Reason = l.reason(t.Rule, t.Detail, revision, now)
}

func resumeKey(name string) string {
	return declaration.Intent{Kind: declaration.ResumeWave, Target: name}.Key()
}

// loads returns the demand by pool, or nil when demand is not reported.
func (l *WaveLoop) loads(set declaration.Set, now time.Time) map[string]wave.Load {
	if l.Demand == nil {
		return nil
	}
	if l.Forecasts == nil {
		l.Forecasts = &move.Planner{}
	}
	for _, sample := range l.Demand() {
		l.Forecasts.Observe(sample)
	}
	loads := map[string]wave.Load{}
	ahead := set.Waves[l.Wave].RebootTime
	for name, p := range set.Pools {
		level, expected := l.Forecasts.Forecast(name, now, ahead)
		loads[name] = wave.Load{Slots: float64(p.Slots), Demand: level, Forecast: expected}
	}
	return loads
}

// members returns all instances of the fleet as members for the wave's planner, in id order.
func members(view View, set declaration.Set, inFlight func(string) int) []wave.Member {
	list := make([]wave.Member, 0, len(view.Instances))
	for _, id := range slices.Sorted(maps.Keys(view.Instances)) {
		i := view.Instances[id].Value
		_, cordoned := set.Intents[declaration.Intent{Kind: declaration.CordonRack, Target: i.Location.Rack}.Key()]
		m := wave.Member{
			Member: memberOf(i), State: i.State, Since: i.Since, Maintained: i.Maintained, Wave: i.Wave, Round: i.Round,
			Firmware: i.Firmware, Attempts: i.Attempts, Cordoned: cordoned,
			RebootDuration: i.RebootDuration,
		}
		if inFlight != nil && i.State == wave.InService {
			m.InFlight = inFlight(id)
		}
		list = append(list, m)
	}
	return list
}
