package days

import (
	"strings"
	"testing"
	"time"

	"verbenalanding.example/platform/standin"
)

// Guards against an oracle that lets a task run twice, or that takes the luck of a clock that is not slow for a proof.
func TestOracle(t *testing.T) {
	const task = "j.0.0.0"
	// The lease of 1 s that begins with the first run could last that long on the slowest clock.
	lease := float64(time.Second)
	longest := time.Duration(lease / slowestClock)
	began := time.Now()
	event := func(at time.Duration, worker, how string) standin.RunEvent {
		return standin.RunEvent{At: began.Add(at), Worker: worker, How: how, Task: task, Run: 1, Clock: at, LeaseEnd: time.Second}
	}
	first := []standin.RunEvent{event(0, "a", standin.LeaseProlonged), event(0, "a", standin.RunBegan)}
	for _, c := range []struct {
		name   string
		events []standin.RunEvent
		// want is what the only violation begins with; none when empty.
		want   string
		margin time.Duration
	}{
		{"two at once", []standin.RunEvent{event(500*time.Millisecond, "b", standin.RunBegan)}, "twice", 0},
		{"a start in the doubt about the clock", []standin.RunEvent{
			event(time.Second, "a", standin.RunLapsed), event(longest-time.Millisecond, "b", standin.RunBegan),
		}, "margin", -time.Millisecond},
		{"a start after the doubt", []standin.RunEvent{
			event(time.Second, "a", standin.RunLapsed), event(longest+5*time.Millisecond, "b", standin.RunBegan),
		}, "", 5 * time.Millisecond},
		{"a start after an end of which nobody could know", []standin.RunEvent{
			event(100*time.Millisecond, "a", "done"), event(200*time.Millisecond, "b", standin.RunBegan),
		}, "margin", 200*time.Millisecond - longest},
		{"a start after an end that was told", []standin.RunEvent{
			event(100*time.Millisecond, "a", "failed"), event(150*time.Millisecond, "a", standin.RunsListed),
			event(200*time.Millisecond, "b", standin.RunBegan),
		}, "", 0},
		{"a start after a list that came when there was no doubt any more", []standin.RunEvent{
			event(time.Second, "a", standin.RunLapsed), event(longest+time.Millisecond, "a", standin.RunsListed),
			event(longest+2*time.Millisecond, "b", standin.RunBegan),
		}, "", 0},
		{"a start after a stop that was taken", []standin.RunEvent{
			event(100*time.Millisecond, "a", "failed"), event(150*time.Millisecond, "a", standin.StopTaken),
			event(200*time.Millisecond, "b", standin.RunBegan),
		}, "", 0},
		{"a start after the worker's life", []standin.RunEvent{
			event(100*time.Millisecond, "a", standin.LifeEnded), event(200*time.Millisecond, "b", standin.RunBegan),
		}, "", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			o := newOracle()
			for _, e := range append(append([]standin.RunEvent(nil), first...), c.events...) {
				o.seen(e)
			}
			got := strings.Join(o.broken, "; ")
			if (c.want == "") != (got == "") || !strings.HasPrefix(got, c.want) {
				t.Errorf("broken: got %q, want %q", got, c.want)
			}
			// The slowest clock's time is rounded to a nanosecond.
			if off := o.least - c.margin; off < -time.Nanosecond || off > time.Nanosecond {
				t.Errorf("least margin: got %v, want %v", o.least, c.margin)
			}
		})
	}
}
