package daemon

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"verbenalanding.example/fleet/archive"
	"verbenalanding.example/fleet/burn"
	"verbenalanding.example/fleet/configuration"
	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/jobs"
	"verbenalanding.example/fleet/operator"
	"verbenalanding.example/fleet/peer"
	"verbenalanding.example/fleet/record"
	"verbenalanding.example/fleet/report"
	"verbenalanding.example/fleet/store"
)

// records reads the stored records and recent statistics for the operators' API.
type records struct {
	mirrors   *mirrors
	view      *view
	stores    stores
	configLog *configuration.Log
	observer  *observer
	node      *peer.Node
}

// Instances returns the instance records from this process's mirror.
func (r *records) Instances(context.Context) ([]record.Instance, error) {
	return slices.Clone(r.view.instances()), nil
}

// Entries returns the registered entry instances.
func (r *records) Entries(context.Context) ([]operator.Entry, error) {
	members := record.MembersOf(r.mirrors.members.All())
	var entries []operator.Entry
	for id, e := range members.Registered {
		_, live := members.Live[id]
		entries = append(entries, operator.Entry{Entry: e, Live: live})
	}
	slices.SortFunc(entries, func(a, b operator.Entry) int { return cmp.Compare(a.ID, b.ID) })
	return entries, nil
}

// Budgets reads the budget records.
func (r *records) Budgets(ctx context.Context) ([]record.Budget, error) {
	return record.List[record.Budget](ctx, r.stores[store.Maintenance], record.BudgetPrefix)
}

// Waves reads the wave records.
func (r *records) Waves(ctx context.Context) ([]record.Wave, error) {
	return record.List[record.Wave](ctx, r.stores[store.Maintenance], record.WavePrefix)
}

// Moves reads the move records.
func (r *records) Moves(ctx context.Context) ([]record.Move, error) {
	return record.List[record.Move](ctx, r.stores[store.Maintenance], record.MovePrefix)
}

// Jobs reads the job records.
func (r *records) Jobs(ctx context.Context) ([]record.Job, error) {
	entries, _, err := store.ListAll(ctx, r.stores[store.Jobs], record.JobPrefix)
	if err != nil {
		return nil, fmt.Errorf("list jobs: %w", err)
	}
	entries = slices.DeleteFunc(entries, func(e store.Entry) bool { return jobs.IsCancellation(e.Key) })
	return record.Decode[record.Job](entries)
}

// Refusals returns the recent refusals of all reachable entry instances, newest first.
func (r *records) Refusals(ctx context.Context) ([]operator.Refusal, error) {
	var refusals []operator.Refusal
	for _, o := range r.gatherObserved(ctx) {
		for _, f := range o.Refusals {
			refusals = append(refusals, operator.Refusal(f))
		}
	}
	slices.SortStableFunc(refusals, func(a, b operator.Refusal) int { return b.Reason.At.Compare(a.Reason.At) })
	return refusals, nil
}

// gatherObserved reads the statistics of every entry instance and omits those that do not answer.
func (r *records) gatherObserved(ctx context.Context) []Observed {
	all := []Observed{r.observer.snapshot()}
	for _, p := range r.node.Peers() {
		var observed Observed
		raw, err := r.node.Observed(ctx, p.Addr)
		if err == nil {
			err = json.Unmarshal(raw, &observed)
		}
		if err == nil {
			all = append(all, observed)
		}
	}
	return all
}

// Report renders a report, or returns operator.ErrUnknownReport.
func (r *records) Report(ctx context.Context, kind, format string) (operator.Rendered, error) {
	f := report.Format(format)
	contentType, supported := map[report.Format]string{
		report.Text: "text/plain; charset=utf-8", report.JSON: "application/json", report.HTML: "text/html; charset=utf-8",
	}[f]
	if !supported {
		return operator.Rendered{}, fmt.Errorf("format %q: %w", format, operator.ErrUnknownReport)
	}
	var body bytes.Buffer
	now := time.Now()
	var err error
	switch kind {
	case "burn":
		var statuses []burn.Status
		if statuses, err = r.statuses(ctx, now); err == nil {
			err = report.Burn(&body, f, now, statuses)
		}
	case "waves":
		var waves []record.Wave
		if waves, err = r.Waves(ctx); err == nil {
			err = report.Waves(&body, f, now, waves)
		}
	case "moves":
		var moves []record.Move
		if moves, err = r.Moves(ctx); err == nil {
			err = report.Moves(&body, f, now, moves)
		}
	default:
		err = fmt.Errorf("report %q: %w", kind, operator.ErrUnknownReport)
	}
	return operator.Rendered{ContentType: contentType, Body: body.Bytes()}, err
}

// statuses evaluates every objective over the requests of all entry instances. If the store does not answer, it covers only the
// requests that the live processes have counted since they started.
func (r *records) statuses(ctx context.Context, now time.Time) ([]burn.Status, error) {
	set, _, err := r.configLog.Current()
	if err != nil {
		return nil, fmt.Errorf("evaluate objectives: %w", err)
	}
	gathered := r.gatherObserved(ctx)
	series, err := r.archivedSeries(ctx, set, gathered)
	if err != nil {
		series = newSeries(set)
	}
	var statuses []burn.Status
	for name, s := range series {
		o := set.Objectives[name]
		for _, observed := range gathered {
			snapshot := observed.Series[o.Service]
			if err == nil {
				// The archive already covers all tiers except the first one, which has slots of 10 s.
				snapshot.Tiers = snapshot.Tiers[:min(len(snapshot.Tiers), 1)]
			}
			s.Merge(snapshot)
		}
		status := s.Evaluate(now, o, classOf(set, o.Service))
		status.Partial = err != nil
		statuses = append(statuses, status)
	}
	slices.SortFunc(statuses, func(a, b burn.Status) int { return cmp.Compare(a.Objective, b.Objective) })
	return statuses, nil
}

func newSeries(set declaration.Set) map[string]*burn.Series {
	series := make(map[string]*burn.Series, len(set.Objectives))
	for name, o := range set.Objectives {
		series[name] = burn.NewSeries(o.Window)
	}
	return series
}

// archivedSeries returns the series of every objective from the counts in the store and those that live processes have not written
// yet.
func (r *records) archivedSeries(ctx context.Context, set declaration.Set, gathered []Observed) (map[string]*burn.Series, error) {
	var pending []archive.Pending
	for _, observed := range gathered {
		pending = append(pending, observed.Pending...)
	}
	series := newSeries(set)
	byService := map[string][]*burn.Series{}
	for name, o := range set.Objectives {
		byService[o.Service] = append(byService[o.Service], series[name])
	}
	err := archive.Read(ctx, r.stores[store.Maintenance], pending, func(service string, at time.Time, span time.Duration, c burn.Counts) {
		for _, s := range byService[service] {
			s.AddSpan(at, span, c)
		}
	})
	return series, err
}

func classOf(set declaration.Set, service string) declaration.Class {
	return set.Services[service].Class
}
