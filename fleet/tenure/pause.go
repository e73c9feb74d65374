package tenure

import (
	"context"
	"time"

	"verbenalanding.example/fleet/interval"
)

const (
	// pauseEvery is how often a node takes note that it runs; a longer gap than pauseLimit counts as a pause. Guards replace a holder
	// that was silent for twice as long.
	pauseEvery = 100 * time.Millisecond
	pauseLimit = 400 * time.Millisecond
	// proofPause lies between two attempts at proving duties.
	proofPause = 50 * time.Millisecond
)

// running reports whether the node has run without a pause since its duties were last known to be held; the lock must be held.
func (t *Tenure) running(now time.Time) bool { return !t.paused && now.Sub(t.ran) < pauseLimit }

// watchPauses finds pauses of the node, as of a suspended machine: another node may have taken its duties meanwhile and nothing has told
// it yet, so that no orders are given until the duties are proven to be held.
func (t *Tenure) watchPauses(ctx context.Context) error {
	for range interval.Each(ctx, pauseEvery) {
		if pause, began := t.noteRunning(); began {
			t.note("node stood still", "", nil)
			t.group.Go(func() error { return t.endPause(ctx, pause) })
		}
	}
	return nil
}

// noteRunning takes note that the node runs; began is true when a pause was found, which counts from 1.
func (t *Tenure) noteRunning() (pause int, began bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.Clock()
	began = now.Sub(t.ran) >= pauseLimit
	t.ran = now
	if began {
		t.paused = true
		t.pauses++
	}
	return t.pauses, began
}

// endPause ends a pause once all held duties are proven to be held; a later pause has a proof of its own.
func (t *Tenure) endPause(ctx context.Context, pause int) error {
	for ctx.Err() == nil {
		proven := t.proveDuties(ctx)
		t.mu.Lock()
		if t.pauses == pause && proven {
			t.paused = false
		}
		ended := t.pauses != pause || proven
		t.mu.Unlock()
		if ended {
			return nil
		}
		interval.Wait(ctx, proofPause)
	}
	return nil
}
