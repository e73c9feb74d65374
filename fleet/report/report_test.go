package report

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"verbenalanding.example/fleet/burn"
	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/internal/check"
	"verbenalanding.example/fleet/record"
)

var reportTime = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

func sampleStatuses() []burn.Status {
	s := burn.NewSeries(0)
	var c burn.Counts
	c.AddBad(burn.Late, 30)
	c.Good = 70
	s.Add(reportTime, c)
	return []burn.Status{s.Evaluate(reportTime, declaration.Objective{Name: "<script>", Service: "quickCheck", Target: 0.99}, declaration.Urgent)}
}

func renderAll(t *testing.T, f Format) map[string]string {
	t.Helper()
	waves := []record.Wave{{Name: "<script>", State: "halted", Done: []string{"a"}, Started: reportTime, Reason: record.Reason{Rule: "haltAfter"}}}
	moves := []record.Move{{Instance: "<script>", From: "a", To: "b", State: "done"}, {Instance: "y", From: "a", To: "b", State: "abandoned"}}
	var b, w, m bytes.Buffer
	check.NoError(t, Burn(&b, f, reportTime, sampleStatuses()))
	check.NoError(t, Waves(&w, f, reportTime, waves))
	check.NoError(t, Moves(&m, f, reportTime, moves))
	return map[string]string{"burn": b.String(), "waves": w.String(), "moves": m.String()}
}

// Guards against pages that need other files to show their plots, and against names that are inserted as markup.
func TestHTMLIsSelfContained(t *testing.T) {
	for name, page := range renderAll(t, HTML) {
		check.True(t, name+" has a plot", strings.Contains(page, "<svg"))
		check.True(t, name+" escapes names", !strings.Contains(page, "<script>"))
		for _, reference := range []string{"src=", "href=", "@import", "url("} {
			check.True(t, name+" has no "+reference, !strings.Contains(page, reference))
		}
	}
}

func TestTextAndJSON(t *testing.T) {
	for name, text := range renderAll(t, Text) {
		check.True(t, name+" contains the name", strings.Contains(text, "<script>"))
	}
	for name, text := range renderAll(t, JSON) {
		check.True(t, name+" is JSON", json.Valid([]byte(text)))
	}
	check.True(t, "alert in the text", strings.Contains(renderAll(t, Text)["burn"], "page"))
	check.ErrorIs(t, Burn(&bytes.Buffer{}, "pdf", reportTime, nil), ErrFormat)
	var empty bytes.Buffer
	check.NoError(t, Burn(&empty, HTML, reportTime, nil))
}
