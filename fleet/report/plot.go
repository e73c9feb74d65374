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
	// maxBars bounds the groups of a plot; the table above it lists the rest.
	maxBars = 24
)

// plotted is a plot of grouped bars: one series per legend entry, one value per label.
type plotted struct {
	title  string
	axis   string
	labels []string
	legend []string
	values [][]float64
	// stacked puts the series on top of each other.
	stacked bool
}

func (p plotted) svg() (string, error) {
	if len(p.labels) == 0 {
		return "", nil
	}
	canvas := plot.New()
	canvas.Title.Text = p.title
	canvas.Y.Label.Text = p.axis
	canvas.Legend.Top = true
	var below *plotter.BarChart
	for i, values := range p.values {
		bars, err := plotter.NewBarChart(plotter.Values(values), barWidth)
		if err != nil {
			return "", fmt.Errorf("plot %s: %w", p.title, err)
		}
		bars.Color = plotutil.Color(i)
		bars.LineStyle.Width = 0
		if p.stacked && below != nil {
			bars.StackOn(below)
		}
		if !p.stacked {
			bars.Offset = barWidth * (vg.Length(i) - vg.Length(len(p.values)-1)/2)
		}
		below = bars
		canvas.Add(bars)
		canvas.Legend.Add(p.legend[i], bars)
	}
	canvas.NominalX(p.labels...)
	sheet := vgsvg.New(plotWidth, plotHeight)
	canvas.Draw(draw.New(sheet))
	var out bytes.Buffer
	if _, err := sheet.WriteTo(&out); err != nil {
		return "", fmt.Errorf("plot %s: %w", p.title, err)
	}
	// The XML declaration and document type are not allowed inside an HTML page.
	content := out.Bytes()
	if i := bytes.Index(content, []byte("<svg")); i >= 0 {
		content = content[i:]
	}
	return string(content), nil
}

func burnPlot(levels []burn.Status) plotted {
	levels = levels[:min(len(levels), maxBars)]
	p := plotted{title: "Burn rate by window", axis: "burn (1 uses the budget up)"}
	for _, w := range burn.Windows {
		p.legend = append(p.legend, duration(w))
	}
	p.legend = append(p.legend, "whole window")
	p.values = make([][]float64, len(p.legend))
	for _, l := range levels {
		p.labels = append(p.labels, l.Objective)
		for i := range p.legend {
			value := 0.0
			if i < len(l.Rates) {
				value = l.Rates[i].Burn
			}
			p.values[i] = append(p.values[i], value)
		}
	}
	return p
}

func causePlot(levels []burn.Status) plotted {
	levels = levels[:min(len(levels), maxBars)]
	p := plotted{title: "Budget consumed by reason", axis: "hundredths of the budget", stacked: true}
	p.values = make([][]float64, len(burn.Causes))
	for i, c := range burn.Causes {
		p.legend = append(p.legend, string(c))
		for _, l := range levels {
			p.values[i] = append(p.values[i], 100*l.Consumed[c])
		}
	}
	for _, l := range levels {
		p.labels = append(p.labels, l.Objective)
	}
	return p
}

func wavePlot(waves []record.Wave) plotted {
	waves = waves[:min(len(waves), maxBars)]
	p := plotted{title: "Progress of waves", axis: "instances", stacked: true, legend: []string{"done", "active", "failed"}}
	p.values = make([][]float64, len(p.legend))
	for _, v := range waves {
		p.labels = append(p.labels, v.Name)
		for i, ids := range [][]string{v.Done, v.Active, v.Failed} {
			p.values[i] = append(p.values[i], float64(len(ids)))
		}
	}
	return p
}

// balance is what moves give to and take from a pool.
type balance struct {
	pool     string
	in, out  int
	underway int
}

func poolBalances(moves []record.Move) []balance {
	byPool := map[string]*balance{}
	at := func(pool string) *balance {
		if byPool[pool] == nil {
			byPool[pool] = &balance{pool: pool}
		}
		return byPool[pool]
	}
	for _, m := range moves {
		switch m.State {
		case "abandoned":
		case "done":
			at(m.From).out++
			at(m.To).in++
		default:
			at(m.From).underway++
			at(m.To).underway++
		}
	}
	list := make([]balance, 0, len(byPool))
	for _, b := range byPool {
		list = append(list, *b)
	}
	slices.SortFunc(list, func(a, b balance) int {
		return bytes.Compare([]byte(a.pool), []byte(b.pool))
	})
	return list
}

func balances(moves []record.Move) table {
	t := table{Title: "Pools", Columns: []string{"pool", "gained", "given", "under way"}}
	for _, b := range poolBalances(moves) {
		t.Rows = append(t.Rows, []string{b.pool, strconv.Itoa(b.in), strconv.Itoa(b.out), strconv.Itoa(b.underway)})
	}
	return t
}

func movePlot(moves []record.Move) plotted {
	list := poolBalances(moves)
	list = list[:min(len(list), maxBars)]
	p := plotted{title: "Moves by pool", axis: "instances", legend: []string{"gained", "given", "under way"}}
	p.values = make([][]float64, len(p.legend))
	for _, b := range list {
		p.labels = append(p.labels, b.pool)
		for i, n := range []int{b.in, b.out, b.underway} {
			p.values[i] = append(p.values[i], float64(n))
		}
	}
	return p
}
