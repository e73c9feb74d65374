package report

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"verbenalanding.example/fleet/burn"
	"verbenalanding.example/fleet/record"
)

// Format is the output format of a report.
type Format string

// The formats of reports.
const (
	Text Format = "text"
	JSON Format = "json"
	HTML Format = "html"
)

// ErrFormat is returned for an unknown format.
var ErrFormat = errors.New("unknown report format")

// table is a table of a report in text or HTML.
type table struct {
	Title   string
	Columns []string
	Rows    [][]string
}

// page is a report in a form that can be rendered in every format.
type page struct {
	title  string
	at     time.Time
	data   any
	tables []table
	plots  []barPlot
}

func (p page) render(w io.Writer, f Format) error {
	switch f {
	case Text:
		return p.text(w)
	case JSON:
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		return e.Encode(p.data)
	case HTML:
		return p.html(w)
	}
	return fmt.Errorf("render %s: %w %q", p.title, ErrFormat, f)
}

func (p page) text(w io.Writer) error {
	if _, err := fmt.Fprintf(w, "%s at %s\n", p.title, p.at.UTC().Format(time.RFC3339)); err != nil {
		return err
	}
	for _, t := range p.tables {
		if _, err := fmt.Fprintf(w, "\n%s\n", t.Title); err != nil {
			return err
		}
		tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		fmt.Fprintln(tw, strings.Join(t.Columns, "\t"))
		for _, r := range t.Rows {
			fmt.Fprintln(tw, strings.Join(r, "\t"))
		}
		if err := tw.Flush(); err != nil {
			return err
		}
	}
	return nil
}

// Burn writes a report of the service-level burn of objectives at the given time.
func Burn(w io.Writer, f Format, at time.Time, statuses []burn.Status) error {
	p := page{title: "Service-level burn", at: at, data: statuses}
	objectives := table{Title: "Objectives", Columns: []string{"objective", "service", "class", "target", "budget left"}}
	causes := table{Title: "Budget consumed by reason", Columns: []string{"objective"}}
	alerts := table{Title: "Alerts", Columns: []string{"objective", "severity", "detail"}}
	for _, window := range burn.Windows {
		objectives.Columns = append(objectives.Columns, "burn "+duration(window))
	}
	objectives.Columns = append(objectives.Columns, "burn whole window")
	for _, c := range burn.Causes {
		causes.Columns = append(causes.Columns, string(c))
	}
	for _, s := range statuses {
		if s.Partial {
			p.title = "Service-level burn, without the counts of earlier processes because the store did not answer,"
		}
		row := []string{s.Objective, s.Service, string(s.Class), strconv.FormatFloat(s.Target, 'g', -1, 64), percent(s.Remaining)}
		for _, r := range s.Rates {
			row = append(row, fmt.Sprintf("%.2f", r.Burn))
		}
		objectives.Rows = append(objectives.Rows, row)
		row = []string{s.Objective}
		for _, c := range burn.Causes {
			row = append(row, percent(s.Consumed[c]))
		}
		causes.Rows = append(causes.Rows, row)
		for _, a := range s.Alerts {
			alerts.Rows = append(alerts.Rows, []string{s.Objective, string(a.Severity), a.Detail})
		}
	}
	p.tables = []table{objectives, causes, alerts}
	p.plots = []barPlot{burnPlot(statuses), causePlot(statuses)}
	return p.render(w, f)
}

// Waves writes a report of the progress of maintenance waves at the given time.
func Waves(w io.Writer, f Format, at time.Time, waves []record.Wave) error {
	p := page{title: "Maintenance waves", at: at, data: waves}
	t := table{Title: "Waves", Columns: []string{"wave", "state", "round", "done", "active", "failed", "running for", "rule", "detail"}}
	for _, v := range waves {
		t.Rows = append(t.Rows, []string{
			v.Name, v.State, strconv.FormatUint(v.Round, 10), strconv.Itoa(len(v.Done)), strconv.Itoa(len(v.Active)),
			strconv.Itoa(len(v.Failed)), elapsed(v, at), v.Reason.Rule, v.Reason.Detail,
		})
	}
	p.tables = []table{t}
	p.plots = []barPlot{wavePlot(waves)}
	return p.render(w, f)
}

// Moves writes a report of the moves of instances between pools at the given time.
func Moves(w io.Writer, f Format, at time.Time, moves []record.Move) error {
	p := page{title: "Instance moves", at: at, data: moves}
	t := table{Title: "Moves", Columns: []string{"instance", "from", "to", "state", "since", "rule", "detail"}}
	for _, m := range moves {
		t.Rows = append(t.Rows, []string{m.Instance, m.From, m.To, m.State, m.Since.UTC().Format(time.RFC3339), m.Reason.Rule, m.Reason.Detail})
	}
	p.tables = []table{balanceTable(moves), t}
	p.plots = []barPlot{movePlot(moves)}
	return p.render(w, f)
}

// elapsed returns the duration of a wave's current or last round, or "-" if no round has started.
func elapsed(v record.Wave, at time.Time) string {
	if v.Started.IsZero() {
		return "-"
	}
	end := at
	if v.Finished.After(v.Started) {
		end = v.Finished
	}
	return end.Sub(v.Started).Round(time.Second).String()
}

func percent(f float64) string { return fmt.Sprintf("%.1f%%", 100*f) }

func duration(d time.Duration) string {
	switch {
	case d >= 48*time.Hour:
		return fmt.Sprintf("%dd", d/(24*time.Hour))
	case d >= time.Hour:
		return fmt.Sprintf("%dh", d/time.Hour)
	}
	return fmt.Sprintf("%dmin", d/time.Minute)
}
