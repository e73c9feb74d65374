package entry

import (
	"context"
	"sync/atomic"
	"time"

	"verbenalanding.example/fleet/interval"
)

// beatEvery is much shorter than the pause limit, so that a busy machine does not look like a pause.
const beatEvery = 200 * time.Millisecond

// guard knows whether the view of the fleet is recent enough for dispatching.
type guard struct {
	origin time.Time
	beat   atomic.Int64
	heard  atomic.Int64
	paused atomic.Bool
}

func (g *guard) start(now time.Time) { g.origin = now }

func (g *guard) since(now time.Time) int64 { return int64(now.Sub(g.origin)) }

func (g *guard) hear(now time.Time) { g.heard.Store(g.since(now)) }

// tick notices a pause between two ticks.
func (g *guard) tick(now time.Time, limit time.Duration) {
	if g.since(now)-g.beat.Load() > int64(limit) {
		g.paused.Store(true)
	}
	g.beat.Store(g.since(now))
}

// blocked returns the reason why nothing may be dispatched now, or an empty string.
func (e *Entry) blocked() string {
	now := e.Now()
	since := e.guard.since(now)
	switch {
	// The request's goroutine may run before the one that notices the pause.
	case e.guard.paused.Load(), since-e.guard.beat.Load() > int64(e.PauseLimit):
		return reasonPaused
	case since-e.guard.heard.Load() > int64(e.ViewTimeout) && (e.Alone == nil || !e.Alone()):
		return reasonViewTimeout
	}
	return ""
}

// watchPauses notices pauses of the process and refreshes the view after them.
func (e *Entry) watchPauses(ctx context.Context) error {
	e.guard.beat.Store(e.guard.since(e.Now()))
	for range interval.Each(ctx, beatEvery) {
		e.guard.tick(e.Now(), e.PauseLimit)
		if e.guard.paused.Load() {
			e.refresh(ctx)
		}
	}
	return ctx.Err()
}

func (e *Entry) refresh(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, e.PauseLimit/2)
	defer cancel()
	if e.Refresh != nil {
		if err := e.Refresh(call); err != nil {
			e.Log.Warn().Err(err).Msg("view was not refreshed after a pause; nothing is dispatched until it is")
			return
		}
	}
	now := e.Now()
	if e.guard.since(now)-e.guard.beat.Load() > int64(e.PauseLimit) {
		// The refresh itself was paused, so what it read is old.
		return
	}
	e.guard.hear(now)
	e.guard.paused.Store(false)
}
