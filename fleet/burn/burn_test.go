package burn

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/internal/check"
)

var (
	begin     = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	objective = declaration.Objective{Name: "o", Service: "s", Target: 0.99, Window: 30 * 24 * time.Hour}
)

func bad(cause Cause, n uint64) Counts {
	var c Counts
	c.AddBad(cause, n)
	return c
}

// fill adds the counts of one minute for every minute of a span.
func fill(s *Series, from time.Time, span time.Duration, good, refused uint64) {
	for at := from; at.Before(from.Add(span)); at = at.Add(time.Minute) {
		c := bad(Refused, refused)
		c.Good = good
		s.Add(at, c)
	}
}

func severities(status Status) []Severity {
	var list []Severity
	for _, a := range status.Alerts {
		list = append(list, a.Severity)
	}
	return list
}

func TestAlerts(t *testing.T) {
	cases := map[string]struct {
		before  time.Duration
		span    time.Duration
		refused uint64
		after   time.Duration
		want    []Severity
	}{
		"fast burn after a time without errors pages once": {72 * time.Hour, time.Hour, 20, 0, []Severity{Page}},
		"fast burn pages":                          {0, time.Hour, 20, 0, []Severity{Page, Page, Ticket}},
		"fast burn that has ended raises no alert": {72 * time.Hour, 50 * time.Minute, 20, 8 * time.Minute, nil},
		"slow burn is a ticket":                    {0, 72 * time.Hour, 2, 0, []Severity{Ticket}},
		"within the budget raises no alert":        {0, 72 * time.Hour, 0, 0, nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := NewSeries(objective.Window)
			fill(s, begin.Add(-c.before), c.before, 100, 0)
			fill(s, begin, c.span, 100-c.refused, c.refused)
			fill(s, begin.Add(c.span), c.after, 100, 0)
			check.Equal(t, "alerts", severities(s.Evaluate(begin.Add(c.span+c.after), objective, declaration.Urgent)), c.want)
		})
	}
}

func TestRemainingBudgetAndCauses(t *testing.T) {
	s := NewSeries(objective.Window)
	c := bad(Late, 3)
	c.AddBad(Maintenance, 2)
	c.Good = 995
	s.Add(begin, c)
	status := s.Evaluate(begin, objective, declaration.Standard)
	check.True(t, "half of the budget left", math.Abs(status.Remaining-0.5) < 1e-9)
	check.True(t, "consumed by late", math.Abs(status.Consumed[Late]-0.3) < 1e-9)
	check.True(t, "consumed by maintenance", math.Abs(status.Consumed[Maintenance]-0.2) < 1e-9)
}

// Guards against windows whose counts differ from those of a list of all requests by more than one slot.
func TestFuzzWindows(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewSeries(objective.Window)
		type event struct {
			at time.Time
			n  uint64
		}
		var events []event
		now := begin
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(20*time.Hour)).Draw(t, "gap")))
			e := event{at: now, n: uint64(rapid.IntRange(1, 5).Draw(t, "n"))}
			events = append(events, e)
			s.Add(e.at, bad(Failed, e.n))
		}
		for _, window := range Windows {
			var least, most uint64
			for _, e := range events {
				age := now.Sub(e.at)
				if age < window-window/12 {
					least += e.n
				}
				if age <= window {
					most += e.n
				}
			}
			if got := s.Sum(now, window).TotalBad(); got < least || got > most {
				t.Fatalf("bad requests in %v: got %d, want %d to %d", window, got, least, most)
			}
		}
	})
}
