package report

import (
	"bytes"
	"fmt"
	"slices"
	"strconv"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"verbenalanding.example/fleet/burn"
	"verbenalanding.example/fleet/record"
)

const (
	plotHeight = 8 * vg.Centimeter
	plotWidth  = 18 * vg.Centimeter
	barWidth   = vg.Length(9)
	// maxBars bounds the groups of bars in a plot. The table of the same report lists all objects.
	maxBars = 24
)

// barPlot is a bar chart with one series per legend entry and one group of bars per label.
type barPlot struct {
	title  string
	axis   string
	labels []string
	legend []string
	values [][]float64
	// stacked draws the bars of a group on top of each other instead of side by side.
	stacked bool
}

func (p barPlot) svg() (string, error) {
	if len(p.labels) == 0 {
		return "", nil
	}
	canvas := plot.New()
	canvas.Title.Text = p.title
	canvas.Y.Label.Text = p.axis
	canvas.Legend.Top = true
	var previous *plotter.BarChart
	for i, values := range p.values {
		bars, err := plotter.NewBarChart(plotter.Values(values), barWidth)
		if err != nil {
			return "", fmt.Errorf("plot %s: %w", p.title, err)
		}
		bars.Color = plotutil.Color(i)
		bars.LineStyle.Width = 0
		if p.stacked && previous != nil {
			bars.StackOn(previous)
		}
		if !p.stacked {
			bars.Offset = barWidth * (vg.Length(i) - vg.Length(len(p.values)-1)/2)
		}
		previous = bars
		canvas.Add(bars)
		canvas.Legend.Add(p.legend[i], bars)
	}
	canvas.NominalX(p.labels...)
	svgCanvas := vgsvg.New(plotWidth, plotHeight)
	canvas.Draw(draw.New(svgCanvas))
	var out bytes.Buffer
	if _, err := svgCanvas.WriteTo(&out); err != nil {
		return "", fmt.Errorf("plot %s: %w", p.title, err)
	}
	// Removes the XML declaration and document type, which are not allowed inside an HTML page.
	content := out.Bytes()
	if i := bytes.Index(content, []byte("<svg")); i >= 0 {
		content = content[i:]
	}
	return string(content), nil
}

func burnPlot(statuses []burn.Status) barPlot {
	statuses = statuses[:min(len(statuses), maxBars)]
	p := barPlot{title: "Burn rate by window", axis: "burn (1 uses the budget up)"}
	for _, w := range burn.Windows {
		p.legend = append(p.legend, duration(w))
	}
	p.legend = append(p.legend, "whole window")
	p.values = make([][]float64, len(p.legend))
	for _, s := range statuses {
		p.labels = append(p.labels, s.Objective)
		for i := range p.legend {
			value := 0.0
			if i < len(s.Rates) {
				value = s.Rates[i].Burn
			}
			p.values[i] = append(p.values[i], value)
		}
	}
	return p
}

func causePlot(statuses []burn.Status) barPlot {
	statuses = statuses[:min(len(statuses), maxBars)]
	p := barPlot{title: "Budget consumed by reason", axis: "hundredths of the budget", stacked: true}
	p.values = make([][]float64, len(burn.Causes))
	for i, c := range burn.Causes {
		p.legend = append(p.legend, string(c))
		for _, s := range statuses {
			p.values[i] = append(p.values[i], 100*s.Consumed[c])
		}
	}
	for _, s := range statuses {
		p.labels = append(p.labels, s.Objective)
	}
	return p
}

func wavePlot(waves []record.Wave) barPlot {
	waves = waves[:min(len(waves), maxBars)]
	p := barPlot{title: "Progress of waves", axis: "instances", stacked: true, legend: []string{"done", "active", "failed"}}
	p.values = make([][]float64, len(p.legend))
	for _, v := range waves {
		p.labels = append(p.labels, v.Name)
		for i, ids := range [][]string{v.Done, v.Active, v.Failed} {
			p.values[i] = append(p.values[i], float64(len(ids)))
		}
	}
	return p
}

// balance is the number of instances that a pool has gained and given by moves, and of its moves that have not ended.
type balance struct {
	pool          string
	gained, given int
	underway      int
}

func poolBalances(moves []record.Move) []balance {
	byPool := map[string]*balance{}
	balanceOf := func(pool string) *balance {
		if byPool[pool] == nil {
			byPool[pool] = &balance{pool: pool}
		}
		return byPool[pool]
	}
	for _, m := range moves {
		switch m.State {
		case "abandoned":
		case "done":
			balanceOf(m.From).given++
			balanceOf(m.To).gained++
		default:
			balanceOf(m.From).underway++
			balanceOf(m.To).underway++
		}
	}
	balances := make([]balance, 0, len(byPool))
	for _, b := range byPool {
		balances = append(balances, *b)
	}
	slices.SortFunc(balances, func(a, b balance) int {
		return bytes.Compare([]byte(a.pool), []byte(b.pool))
	})
	return balances
}

func balanceTable(moves []record.Move) table {
	t := table{Title: "Pools", Columns: []string{"pool", "gained", "given", "under way"}}
	for _, b := range poolBalances(moves) {
		t.Rows = append(t.Rows, []string{b.pool, strconv.Itoa(b.gained), strconv.Itoa(b.given), strconv.Itoa(b.underway)})
	}
	return t
}

func movePlot(moves []record.Move) barPlot {
	balances := poolBalances(moves)
	balances = balances[:min(len(balances), maxBars)]
	p := barPlot{title: "Moves by pool", axis: "instances", legend: []string{"gained", "given", "under way"}}
	p.values = make([][]float64, len(p.legend))
	for _, b := range balances {
		p.labels = append(p.labels, b.pool)
		for i, n := range []int{b.gained, b.given, b.underway} {
			p.values[i] = append(p.values[i], float64(n))
		}
	}
	return p
}
