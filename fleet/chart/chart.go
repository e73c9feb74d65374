package chart

import (
	"embed"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// ErrTransition is returned when a chart has no transition for an event in a state.
var ErrTransition = errors.New("no such transition")

// ErrInvalid is returned by Parse for a malformed or inconsistent chart.
var ErrInvalid = errors.New("invalid state chart")

// Names of the embedded charts.
const (
	Instance = "instance"
	Wave     = "wave"
	Job      = "job"
	Move     = "move"
)

// Names lists the embedded charts in the order of the documentation.
var Names = []string{Instance, Wave, Job, Move}

//go:embed charts/*.json
var files embed.FS

// Transition leads from one state to another on an event.
type Transition struct {
	From  string `json:"from"`
	Event string `json:"event"`
	To    string `json:"to"`
}

// Chart is a state chart; use Parse, Load or MustLoad to make one.
type Chart struct {
	Name        string       `json:"name"`
	Initial     string       `json:"initial"`
	Final       []string     `json:"final"`
	States      []string     `json:"states"`
	Transitions []Transition `json:"transitions"`

	// targets holds the target state by source state and event; To is empty in its keys.
	targets map[Transition]string
}

// Load reads and validates an embedded chart.
func Load(name string) (*Chart, error) {
	content, err := files.ReadFile("charts/" + name + ".json")
	if err != nil {
		return nil, fmt.Errorf("read chart %s: %w", name, err)
	}
	return Parse(content)
}

// MustLoad is like Load but panics on an error.
func MustLoad(name string) *Chart {
	c, err := Load(name)
	if err != nil {
		panic(err)
	}
	return c
}

// Parse decodes and validates a chart. It returns ErrInvalid if the chart is malformed or inconsistent.
func Parse(content []byte) (*Chart, error) {
	decoder := json.NewDecoder(strings.NewReader(string(content)))
	decoder.DisallowUnknownFields()
	c := &Chart{targets: map[Transition]string{}}
	if err := decoder.Decode(c); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalid, err)
	}
	for _, t := range c.Transitions {
		if err := c.add(t); err != nil {
			return nil, fmt.Errorf("%w: chart %s: %w", ErrInvalid, c.Name, err)
		}
	}
	if err := c.validate(); err != nil {
		return nil, fmt.Errorf("%w: chart %s: %w", ErrInvalid, c.Name, err)
	}
	return c, nil
}

// Next returns the state after an event, or ErrTransition.
func (c *Chart) Next(state, event string) (string, error) {
	to, ok := c.targets[Transition{From: state, Event: event}]
	if !ok {
		return "", fmt.Errorf("%w: chart %s, state %q, event %q", ErrTransition, c.Name, state, event)
	}
	return to, nil
}

// Event returns the event that leads from one state to another, or ErrTransition.
func (c *Chart) Event(from, to string) (string, error) {
	for _, t := range c.Transitions {
		if t.From == from && t.To == to {
			return t.Event, nil
		}
	}
	return "", fmt.Errorf("%w: chart %s, from %q to %q", ErrTransition, c.Name, from, to)
}

// IsFinal reports whether the state is final, which means that it has no outgoing transition.
func (c *Chart) IsFinal(state string) bool { return slices.Contains(c.Final, state) }

func (c *Chart) add(t Transition) error {
	key := Transition{From: t.From, Event: t.Event}
	switch {
	case !slices.Contains(c.States, t.From):
		return fmt.Errorf("transition from unknown state %q", t.From)
	case !slices.Contains(c.States, t.To):
		return fmt.Errorf("transition to unknown state %q", t.To)
	case t.Event == "":
		return fmt.Errorf("transition from %q to %q has no event", t.From, t.To)
	case c.targets[key] != "":
		return fmt.Errorf("state %q has two transitions for event %q", t.From, t.Event)
	case c.IsFinal(t.From):
		return fmt.Errorf("final state %q has a transition", t.From)
	}
	c.targets[key] = t.To
	return nil
}

func (c *Chart) validate() error {
	if c.Name == "" || !slices.Contains(c.States, c.Initial) {
		return fmt.Errorf("name %q or initial state %q is missing", c.Name, c.Initial)
	}
	reached := map[string]bool{c.Initial: true}
	for changed := true; changed; {
		changed = false
		for _, t := range c.Transitions {
			if reached[t.From] && !reached[t.To] {
				reached[t.To] = true
				changed = true
			}
		}
	}
	hasExit := map[string]bool{}
	for _, t := range c.Transitions {
		hasExit[t.From] = true
	}
	for _, s := range c.States {
		switch {
		case !reached[s]:
			return fmt.Errorf("state %q cannot be reached", s)
		case !hasExit[s] && !c.IsFinal(s):
			return fmt.Errorf("state %q has no outgoing transition and is not final", s)
		}
	}
	for _, s := range c.Final {
		if !slices.Contains(c.States, s) {
			return fmt.Errorf("unknown final state %q", s)
		}
	}
	return nil
}

// Mermaid returns the chart as a Mermaid diagram.
func (c *Chart) Mermaid() string {
	var b strings.Builder
	b.WriteString("stateDiagram-v2\n")
	fmt.Fprintf(&b, "    [*] --> %s\n", c.Initial)
	for _, t := range c.Transitions {
		fmt.Fprintf(&b, "    %s --> %s: %s\n", t.From, t.To, t.Event)
	}
	for _, s := range c.Final {
		fmt.Fprintf(&b, "    %s --> [*]\n", s)
	}
	return b.String()
}

// Page returns the documentation page with the diagrams of all embedded charts.
func Page() (string, error) {
	var b strings.Builder
	b.WriteString("# State charts\n\nThe pictures are generated from `fleet/chart/charts/*.json`, which the code interprets. ")
	b.WriteString("After a change of a file run\n`VERBENA_WRITE_CHARTS=1 go test ./fleet/chart`.\n")
	for _, name := range Names {
		c, err := Load(name)
		if err != nil {
			return "", err
		}
		fmt.Fprintf(&b, "\n## %s\n\n```mermaid\n%s```\n", name, c.Mermaid())
	}
	return b.String(), nil
}
