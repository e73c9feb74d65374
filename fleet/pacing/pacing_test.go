package pacing_test

import (
	"math"
	"testing"
	"time"

	"verbenalanding.example/fleet/internal/check"
	"verbenalanding.example/fleet/pacing"
)

const ms = time.Millisecond

// Guards against a process that has too little processor time for its rounds and keeps their rate, and against one whose rounds are delayed for
// good or although it has enough.
func TestPauseFollowsLateness(t *testing.T) {
	s := pacing.Settings{Stretch: 10, Longest: 250 * ms}
	for _, tt := range []struct {
		name              string
		pause, late, want time.Duration
	}{
		{"in time", 62 * ms, 0, 62 * ms},
		{"some lateness", 62 * ms, 5 * ms, 112 * ms},
		{"much lateness", 62 * ms, time.Second, 250 * ms},
		{"lateness without bound", 62 * ms, math.MaxInt64, 250 * ms},
		{"a clock that was set back", 62 * ms, -time.Second, 62 * ms},
		{"a pause longer than the longest", 400 * ms, 5 * ms, 400 * ms},
	} {
		t.Run(tt.name, func(t *testing.T) {
			check.Equal(t, "pause", s.Pause(tt.pause, tt.late), tt.want)
		})
	}
}

// Guards against a single late timer, as after a pause of the whole machine, that slows the process down for long, and against a lasting shortage
// that is not noticed.
func TestLatenessIsAMean(t *testing.T) {
	observe := func(l *pacing.Lateness, n int, took time.Duration) {
		for range n {
			l.Observe(50*ms, took)
		}
	}
	t.Run("lasting", func(t *testing.T) {
		var l pacing.Lateness
		observe(&l, 50, 70*ms)
		if got := l.Mean(); got < 19*ms || got > 20*ms {
			t.Errorf("mean: got %v, want about 20ms", got)
		}
	})
	t.Run("once", func(t *testing.T) {
		var l pacing.Lateness
		observe(&l, 1, time.Second)
		observe(&l, 50, 50*ms)
		if got := l.Mean(); got > ms {
			t.Errorf("mean: got %v, want at most 1ms", got)
		}
	})
	t.Run("early", func(t *testing.T) {
		var l pacing.Lateness
		observe(&l, 1, 40*ms)
		check.Equal(t, "mean", l.Mean(), 0)
	})
}
