package chart

import (
	"os"
	"testing"

	"verbenalanding.example/fleet/internal/check"
)

const pagePath = "../../docs/charts.md"

// Guards against a documentation page that differs from the charts that the code interprets.
func TestPageMatchesFiles(t *testing.T) {
	want, err := Page()
	check.NoError(t, err)
	if os.Getenv("VERBENA_WRITE_CHARTS") != "" {
		check.NoError(t, os.WriteFile(pagePath, []byte(want), 0o644))
	}
	got, err := os.ReadFile(pagePath)
	check.NoError(t, err)
	check.Equal(t, "docs/charts.md", string(got), want)
}

// Guards against transitions that stop an instance without a drain or return a retired or failed instance to service.
func TestInstanceRefusesSkippedSteps(t *testing.T) {
	c := MustLoad(Instance)
	for _, tr := range []Transition{
		{From: "inService", Event: "stop"},
		{From: "inService", Event: "reboot"},
		{From: "stopping", Event: "abandon"},
		{From: "retired", Event: "return"},
		{From: "failed", Event: "return"},
	} {
		_, err := c.Next(tr.From, tr.Event)
		check.ErrorIs(t, err, ErrTransition)
	}
	to, err := c.Next("draining", "abandon")
	check.NoError(t, err)
	check.Equal(t, "state", to, "inService")
}

// Guards against inconsistent chart files that are accepted and fail only at run time.
func TestParseRefusesInconsistentCharts(t *testing.T) {
	for name, content := range map[string]string{
		"unknown field":     `{"name":"x","initial":"a","final":["a"],"states":["a"],"colour":"red"}`,
		"unknown target":    `{"name":"x","initial":"a","states":["a"],"transitions":[{"from":"a","event":"e","to":"b"}]}`,
		"ambiguous event":   `{"name":"x","initial":"a","final":["b","c"],"states":["a","b","c"],"transitions":[{"from":"a","event":"e","to":"b"},{"from":"a","event":"e","to":"c"}]}`,
		"unreachable state": `{"name":"x","initial":"a","final":["a","b"],"states":["a","b"]}`,
		"dead end":          `{"name":"x","initial":"a","states":["a"]}`,
		"exit from final":   `{"name":"x","initial":"a","final":["a"],"states":["a"],"transitions":[{"from":"a","event":"e","to":"a"}]}`,
		"no initial state":  `{"name":"x","states":["a"],"final":["a"]}`,
	} {
		t.Run(name, func(t *testing.T) {
			_, err := Parse([]byte(content))
			check.ErrorIs(t, err, ErrInvalid)
		})
	}
}
