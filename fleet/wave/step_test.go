package wave

import (
	"testing"
	"time"

	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/internal/check"
	"verbenalanding.example/fleet/platform"
	"verbenalanding.example/fleet/record"
)

// Guards against a drain that waits without telling the operator why: the detail must name the entry instances that have not
// confirmed.
func TestDrainNamesUnconfirmedEntries(t *testing.T) {
	now := time.Unix(1000, 0)
	o := Observation{
		Now: now, AsOf: now, StopOrdered: true, Present: true,
		Instance:    record.Instance{ID: "a", State: "draining", Since: now},
		Listed:      platform.Instance{ID: "a", Status: platform.Live, Healthy: true},
		Unconfirmed: "entry instance e3 has not confirmed drain 7",
	}
	stay, ok := Next(o).(Stay)
	check.True(t, "the instance stays", ok)
	check.Equal(t, "detail", stay.Detail, o.Unconfirmed)
	o.Confirmed, o.InFlightKnown, o.InFlight = true, true, 2
	stay, ok = Next(o).(Stay)
	check.True(t, "the instance stays", ok)
	check.Equal(t, "detail", stay.Detail, "2 requests are in flight at the backend server")
}

// Guards against a deadline that ignores the declared time of day by which the wave must be finished.
func TestDeadlineFollowsFinishBefore(t *testing.T) {
	w := declaration.Wave{From: 22 * time.Hour, Until: 4*time.Hour + 30*time.Minute, FinishBefore: 5*time.Hour + 30*time.Minute, Every: 21 * day}
	evening := time.Date(2026, 12, 4, 22, 0, 0, 0, time.UTC)
	want := time.Date(2026, 12, 5, 5, 30, 0, 0, time.UTC)
	check.Equal(t, "deadline of a round that starts in the evening", Deadline(w, evening), want)
	check.Equal(t, "deadline of a round that starts after midnight", Deadline(w, evening.Add(4*time.Hour)), want)
	w.FinishBefore = 0
	check.True(t, "without it the next round is the deadline", Deadline(w, evening).After(want.Add(day)))
}
