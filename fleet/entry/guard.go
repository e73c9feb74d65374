package entry

import (
	"context"
	"sync/atomic"
	"time"

	"verbenalanding.example/fleet/interval"
)

// pauseCheckInterval is much shorter than the pause limit, so that a late check on a busy machine is not taken for a pause.
const pauseCheckInterval = 200 * time.Millisecond

// guard tracks whether the view of the fleet is recent enough for dispatching. Times are durations since origin.
type guard struct {
	origin      time.Time
	lastTick    atomic.Int64
	lastContact atomic.Int64
	paused      atomic.Bool
}

func (g *guard) start(now time.Time) { g.origin = now }

func (g *guard) elapsed(now time.Time) int64 { return int64(now.Sub(g.origin)) }

func (g *guard) recordContact(now time.Time) { g.lastContact.Store(g.elapsed(now)) }

// tick detects a pause of the process since the last tick.
func (g *guard) tick(now time.Time, limit time.Duration) {
	if g.elapsed(now)-g.lastTick.Load() > int64(limit) {
		g.paused.Store(true)
	}
	g.lastTick.Store(g.elapsed(now))
}

// blocked returns the reason why nothing may be dispatched now, or an empty string.
func (e *Entry) blocked() string {
	now := e.Now()
	elapsed := e.guard.elapsed(now)
	switch {
	// After a pause, the request's goroutine may run before the one that detects the pause.
	case e.guard.paused.Load(), elapsed-e.guard.lastTick.Load() > int64(e.PauseLimit):
		return reasonPaused
	case elapsed-e.guard.lastContact.Load() > int64(e.ViewTimeout) && (e.Alone == nil || !e.Alone()):
		return reasonViewTimeout
	}
	return ""
}

// watchPauses detects pauses of the process and refreshes the view after them.
func (e *Entry) watchPauses(ctx context.Context) error {
	e.guard.lastTick.Store(e.guard.elapsed(e.Now()))
	for range interval.Each(ctx, pauseCheckInterval) {
		e.guard.tick(e.Now(), e.PauseLimit)
		if e.guard.paused.Load() {
			e.refresh(ctx)
		}
	}
	return ctx.Err()
}

func (e *Entry) refresh(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, e.PauseLimit/2)
	defer cancel()
	if e.Refresh != nil {
		if err := e.Refresh(callCtx); err != nil {
			e.Log.Warn().Err(err).Msg("refresh after a pause failed; requests are refused until it succeeds")
			return
		}
	}
	now := e.Now()
	if e.guard.elapsed(now)-e.guard.lastTick.Load() > int64(e.PauseLimit) {
		// The process was paused during the refresh, so the result may be outdated.
		return
	}
	e.guard.recordContact(now)
	e.guard.paused.Store(false)
}
