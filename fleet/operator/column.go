package operator

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/record"
)

// column is a column of the answer to a show statement; text returns the cell for a record.
type column[T any] struct {
	name string
	text func(T) string
}

func formatNumber[N int | int64 | uint64 | record.Epoch](n N) string {
	return strconv.FormatInt(int64(n), 10)
}

func formatTime(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return t.UTC().Format(time.RFC3339)
}

func yesNo(b bool) string {
	if b {
		return "yes"
	}
	return "no"
}

// withReason appends the columns of a reason.
func withReason[T any](columns []column[T], reason func(T) record.Reason) []column[T] {
	return append(
		columns,
		column[T]{"rule", func(t T) string { return reason(t).Rule }},
		column[T]{"detail", func(t T) string { return reason(t).Detail }},
		column[T]{"revision", func(t T) string { return formatNumber(reason(t).ConfigRevision) }},
	)
}

var instanceColumns = withReason([]column[record.Instance]{
	{"id", func(i record.Instance) string { return i.ID }},
	{"pool", func(i record.Instance) string { return i.Pool }},
	{"state", func(i record.Instance) string { return i.State }},
	{"region", func(i record.Instance) string { return i.Location.Region }},
	{"dataCentre", func(i record.Instance) string { return i.Location.DataCentre }},
	{"rack", func(i record.Instance) string { return i.Location.Rack }},
	{"wave", func(i record.Instance) string { return i.Wave }},
	{"since", func(i record.Instance) string { return formatTime(i.Since) }},
	{"maintained", func(i record.Instance) string { return formatTime(i.Maintained) }},
	{"bootCount", func(i record.Instance) string { return formatNumber(i.BootCount) }},
	{"cores", func(i record.Instance) string { return declaration.FormatCores(i.Capacity.MilliCores) }},
	{"memory", func(i record.Instance) string { return declaration.FormatSize(i.Capacity.MemoryBytes) }},
	{"accelerators", func(i record.Instance) string { return formatNumber(i.Capacity.Accelerators) }},
}, func(i record.Instance) record.Reason { return i.Reason })

var moveColumns = withReason([]column[record.Move]{
	{"instance", func(m record.Move) string { return m.Instance }},
	{"from", func(m record.Move) string { return m.From }},
	{"to", func(m record.Move) string { return m.To }},
	{"state", func(m record.Move) string { return m.State }},
	{"since", func(m record.Move) string { return formatTime(m.Since) }},
}, func(m record.Move) record.Reason { return m.Reason })

var jobColumns = withReason([]column[record.Job]{
	{"id", func(j record.Job) string { return j.ID }},
	{"team", func(j record.Job) string { return j.Team }},
	{"pool", func(j record.Job) string { return j.Pool }},
	{"class", func(j record.Job) string { return j.Class }},
	{"kind", func(j record.Job) string { return j.Kind }},
	{"state", func(j record.Job) string { return j.State }},
	{"worker", func(j record.Job) string { return j.Worker }},
	{"repeatable", func(j record.Job) string { return yesNo(j.Repeatable) }},
	{"failures", func(j record.Job) string { return formatNumber(j.Failures) }},
	{"accepted", func(j record.Job) string { return formatTime(j.Accepted) }},
	{"started", func(j record.Job) string { return formatTime(j.Started) }},
	{"finished", func(j record.Job) string { return formatTime(j.Finished) }},
	{"deadline", func(j record.Job) string { return formatTime(j.Deadline) }},
}, func(j record.Job) record.Reason { return j.Reason })

var refusalColumns = withReason([]column[Refusal]{
	{"request", func(r Refusal) string { return r.RequestID }},
	{"service", func(r Refusal) string { return r.Service }},
	{"team", func(r Refusal) string { return r.Team }},
	{"class", func(r Refusal) string { return r.Class }},
	{"outcome", func(r Refusal) string { return r.Outcome }},
	{"at", func(r Refusal) string { return formatTime(r.Reason.At) }},
}, func(r Refusal) record.Reason { return r.Reason })

var quarantineColumns = withReason([]column[Quarantine]{
	{"kind", func(q Quarantine) string { return q.Kind }},
	{"name", func(q Quarantine) string { return q.Name }},
	{"since", func(q Quarantine) string { return formatTime(q.Since) }},
}, func(q Quarantine) record.Reason { return q.Reason })

var entryColumns = []column[Entry]{
	{"id", func(e Entry) string { return e.ID }},
	{"live", func(e Entry) string { return yesNo(e.Live) }},
	{"region", func(e Entry) string { return e.Location.Region }},
	{"dataCentre", func(e Entry) string { return e.Location.DataCentre }},
	{"callerAddr", func(e Entry) string { return e.CallerAddr.String() }},
	{"peerAddr", func(e Entry) string { return e.PeerAddr.String() }},
	{"started", func(e Entry) string { return formatTime(e.Started) }},
}

var budgetColumns = []column[record.Budget]{
	{"reserved", func(b record.Budget) string { return formatNumber(len(b.Reservations)) }},
	{"down", func(b record.Budget) string { return formatNumber(len(b.Down)) }},
}

var waveColumns = withReason([]column[record.Wave]{
	{"state", func(w record.Wave) string { return w.State }},
	{"round", func(w record.Wave) string { return formatNumber(w.Round) }},
	{"done", func(w record.Wave) string { return formatNumber(len(w.Done)) }},
	{"active", func(w record.Wave) string { return strings.Join(w.Active, " ") }},
	{"failed", func(w record.Wave) string { return strings.Join(w.Failed, " ") }},
	{"started", func(w record.Wave) string { return formatTime(w.Started) }},
	{"finished", func(w record.Wave) string { return formatTime(w.Finished) }},
	{"deadline", func(w record.Wave) string { return formatTime(w.Deadline) }},
	{"predicted", func(w record.Wave) string { return formatTime(w.Predicted) }},
}, func(w record.Wave) record.Reason { return w.Reason })

// poolMembers counts the instances of a pool.
type poolMembers struct{ total, inService int }

var memberColumns = []column[poolMembers]{
	{"members", func(m poolMembers) string { return formatNumber(m.total) }},
	{"inService", func(m poolMembers) string { return formatNumber(m.inService) }},
}

// list returns the column names and rows of a kind.
func (s *Server) list(ctx context.Context, set declaration.Set, kind string) ([]string, [][]string, error) {
	switch kind {
	case "instance":
		return listAll(ctx, s.Records.Instances, instanceColumns)
	case "entry":
		return listAll(ctx, s.Records.Entries, entryColumns)
	case "move":
		return listAll(ctx, s.Records.Moves, moveColumns)
	case "job":
		return listAll(ctx, s.Records.Jobs, jobColumns)
	case "refusal":
		return listAll(ctx, s.Records.Refusals, refusalColumns)
	case "quarantine":
		return listAll(ctx, s.Records.Quarantined, quarantineColumns)
	case "budget":
		records, err := byName(ctx, s.Records.Budgets, func(b record.Budget) string { return b.Name })
		return joinRecords(set, declaration.KindBudget, set.Budgets, records, budgetColumns, err)
	case "wave":
		records, err := byName(ctx, s.Records.Waves, func(w record.Wave) string { return w.Name })
		return joinRecords(set, declaration.KindWave, set.Waves, records, waveColumns, err)
	case "pool":
		records, err := s.poolMembers(ctx)
		return joinRecords(set, declaration.KindPool, set.Pools, records, memberColumns, err)
	case "service":
		return joinRecords(set, declaration.KindService, set.Services, map[string]poolMembers{}, nil, nil)
	case "team":
		return joinRecords(set, declaration.KindTeam, set.Teams, map[string]poolMembers{}, nil, nil)
	case "objective":
		return joinRecords(set, declaration.KindObjective, set.Objectives, map[string]poolMembers{}, nil, nil)
	}
	return listIntents(set)
}

func listAll[T any](ctx context.Context, read func(context.Context) ([]T, error), columns []column[T]) ([]string, [][]string, error) {
	all, err := read(ctx)
	if err != nil {
		return nil, nil, err
	}
	rows := make([][]string, len(all))
	for i, one := range all {
		rows[i] = cells(one, columns)
	}
	return columnNames(columns), rows, nil
}

func cells[T any](one T, columns []column[T]) []string {
	row := make([]string, len(columns))
	for i, c := range columns {
		row[i] = c.text(one)
	}
	return row
}

func columnNames[T any](columns []column[T]) []string {
	names := make([]string, len(columns))
	for i, c := range columns {
		names[i] = c.name
	}
	return names
}

func byName[T any](ctx context.Context, read func(context.Context) ([]T, error), name func(T) string) (map[string]T, error) {
	all, err := read(ctx)
	named := make(map[string]T, len(all))
	for _, one := range all {
		named[name(one)] = one
	}
	return named, err
}

func (s *Server) poolMembers(ctx context.Context) (map[string]poolMembers, error) {
	all, err := s.Records.Instances(ctx)
	pools := map[string]poolMembers{}
	for _, i := range all {
		if i.State == "retired" {
			continue
		}
		m := pools[i.Pool]
		m.total++
		if i.State == "inService" {
			m.inService++
		}
		pools[i.Pool] = m
	}
	return pools, err
}

// joinRecords lists the declared objects of a kind with the columns of their records; without a record these cells are empty.
func joinRecords[D, T any](set declaration.Set, kind declaration.Kind, declared map[string]D, records map[string]T, columns []column[T], err error) ([]string, [][]string, error) {
	if err != nil {
		return nil, nil, err
	}
	names := append([]string{"name"}, declaration.Fields(kind)...)
	rows := make([][]string, 0, len(declared))
	for _, name := range slices.Sorted(maps.Keys(declared)) {
		row := []string{name}
		fields, _ := set.Describe(declaration.Ref{Kind: kind, Name: name})
		for _, f := range fields {
			row = append(row, f.Value)
		}
		if one, ok := records[name]; ok {
			row = append(row, cells(one, columns)...)
		} else {
			row = append(row, make([]string, len(columns))...)
		}
		rows = append(rows, row)
	}
	return append(names, columnNames(columns)...), rows, nil
}

func listIntents(set declaration.Set) ([]string, [][]string, error) {
	var rows [][]string
	for _, key := range slices.Sorted(maps.Keys(set.Intents)) {
		i := set.Intents[key]
		rows = append(rows, []string{string(i.Kind), i.Target, i.By, formatTime(i.At)})
	}
	return []string{"kind", "target", "by", "at"}, rows, nil
}
