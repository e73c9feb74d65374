package interval_test

import (
	"context"
	"iter"
	"testing"
	"testing/synctest"
	"time"

	"verbenalanding.example/fleet/internal/check"
	"verbenalanding.example/fleet/interval"
)

// Guards against a loop that starts too early or too late, misses an interval, or continues after its context has ended.
func TestLoops(t *testing.T) {
	for _, c := range []struct {
		name  string
		steps func(context.Context, time.Duration) iter.Seq[time.Time]
		want  []time.Duration
	}{
		{"each", interval.Each, []time.Duration{time.Second, 2 * time.Second, 3 * time.Second}},
		{"from now", interval.FromNow, []time.Duration{0, time.Second, 2 * time.Second, 3 * time.Second}},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), 3500*time.Millisecond)
				defer cancel()
				began := time.Now()
				var got []time.Duration
				for now := range c.steps(ctx, time.Second) {
					got = append(got, now.Sub(began))
				}
				check.Equal(t, "steps", got, c.want)
				check.Equal(t, "end", time.Since(began), 3500*time.Millisecond)
			})
		})
	}
}

// Guards against an item that is missed, is mistaken for the end of an interval, or delays the end of the interval.
func TestEachOr(t *testing.T) {
	type step struct {
		after time.Duration
		woken bool
	}
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 2500*time.Millisecond)
		defer cancel()
		wake := make(chan struct{}, 1)
		wake <- struct{}{}
		time.AfterFunc(1500*time.Millisecond, func() { wake <- struct{}{} })
		began := time.Now()
		var got []step
		for woken := range interval.EachOr(ctx, time.Second, wake) {
			got = append(got, step{time.Since(began), woken})
		}
		check.Equal(t, "steps", got, []step{{0, true}, {time.Second, false}, {1500 * time.Millisecond, true}, {2 * time.Second, false}})
		check.Equal(t, "end", time.Since(began), 2500*time.Millisecond)
	})
}

// Guards against a loop that continues after a break.
func TestBreak(t *testing.T) {
	for _, steps := range []iter.Seq[time.Time]{
		interval.Each(t.Context(), time.Millisecond), interval.FromNow(t.Context(), time.Millisecond),
	} {
		n := 0
		for range steps {
			n++
			if n == 2 {
				break
			}
		}
		check.Equal(t, "steps", n, 2)
	}
}

// Guards against a wait that ends too early, continues after its context has ended, or does not report that it has ended.
func TestWait(t *testing.T) {
	for _, c := range []struct {
		name          string
		timeout, wait time.Duration
		took          time.Duration
		active        bool
	}{
		{"to the end", time.Minute, 2 * time.Second, 2 * time.Second, true},
		{"context ends first", time.Second, 2 * time.Second, time.Second, false},
		{"context has ended, zero duration", 0, 0, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), c.timeout)
				defer cancel()
				began := time.Now()
				check.Equal(t, "context is active", interval.Wait(ctx, c.wait), c.active)
				check.Equal(t, "time", time.Since(began), c.took)
			})
		})
	}
}
