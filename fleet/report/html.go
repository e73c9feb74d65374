package report

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"time"
)

//go:embed page.html
var pageSource string

var pageTemplate = template.Must(template.New("page").Parse(pageSource))

type pageView struct {
	Title  string
	At     string
	Plots  []template.HTML
	Tables []table
}

// html writes a self-contained HTML page with the plots embedded as SVG.
func (p page) html(w io.Writer) error {
	view := pageView{Title: p.title, At: p.at.UTC().Format(time.RFC3339), Tables: p.tables}
	for _, chart := range p.plots {
		svg, err := chart.svg()
		if err != nil {
			return err
		}
		if svg != "" {
			// The conversion is safe, since vgsvg escapes the labels.
			view.Plots = append(view.Plots, template.HTML(svg))
		}
	}
	if err := pageTemplate.Execute(w, view); err != nil {
		return fmt.Errorf("render %s: %w", p.title, err)
	}
	return nil
}
