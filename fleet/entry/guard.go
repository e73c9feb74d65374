package entry

import (
	"context"
	"sync/atomic"
	"time"

	"verbenalanding.example/fleet/interval"
)

// pauseCheckInterval is much shorter than the pause limit, so that a busy machine does not look like a pause.
const pauseCheckInterval = 200 * time.Millisecond

// guard tracks whether the view of the fleet is recent enough for dispatching.
type guard struct {
	origin      time.Time
	lastTick    atomic.Int64
	lastContact atomic.Int64
	paused      atomic.Bool
}

func (g *guard) start(now time.Time) { g.origin = now }

func (g *guard) since(now time.Time) int64 { return int64(now.Sub(g.origin)) }

func (g *guard) recordContact(now time.Time) { g.lastContact.Store(g.since(now)) }

// tick detects a pause of the process since the last tick.
func (g *guard) tick(now time.Time, limit time.Duration) {
	if g.since(now)-g.lastTick.Load() > int64(limit) {
		g.paused.Store(true)
	}
	g.lastTick.Store(g.since(now))
}

// blocked returns the reason why nothing may be dispatched now, or an empty string.
func (e *Entry) blocked() string {
	now := e.Now()
	since := e.guard.since(now)
	switch {
	// After a pause, the request's goroutine may run before the one that detects the pause.
	case e.guard.paused.Load(), since-e.guard.lastTick.Load() > int64(e.PauseLimit):
		return reasonPaused
	case since-e.guard.lastContact.Load() > int64(e.ViewTimeout) && (e.Alone == nil || !e.Alone()):
		return reasonViewTimeout
	}
	return ""
}

// watchPauses detects pauses of the process and refreshes the view after them.
func (e *Entry) watchPauses(ctx context.Context) error {
	e.guard.lastTick.Store(e.guard.since(e.Now()))
	for range interval.Each(ctx, pauseCheckInterval) {
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
			e.Log.Warn().Err(err).Msg("refresh after a pause failed; requests are refused until it succeeds")
			return
		}
	}
	now := e.Now()
	if e.guard.since(now)-e.guard.lastTick.Load() > int64(e.PauseLimit) {
		// The process was paused during the refresh, so the result may be outdated.
		return
	}
	e.guard.recordContact(now)
	e.guard.paused.Store(false)
}
