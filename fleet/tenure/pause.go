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

// running reports whether the node has taken note lately that it runs; the lock must be held.
func (t *Tenure) running(now time.Time) bool { return now.Sub(t.ran) < pauseLimit }

// provenSincePause reports whether the store has shown a duty as held, or all other nodes have, by calls that were sent after the last pause
// was found; the lock must be held.
func (t *Tenure) provenSincePause(h *holding) bool {
	return !h.proven.Before(t.woke) || !t.vouched.Before(t.woke)
}

// watchPauses finds pauses of the node, as of a suspended machine: another node may have taken its duties meanwhile and nothing has told
// it yet, so that no orders are given for a duty until it is proven to be held.
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
		t.woke = now
		t.pauses++
	}
	return t.pauses, began
}

// endPause goes on until all held duties are proven to be held; a later pause has proofs of its own.
func (t *Tenure) endPause(ctx context.Context, pause int) error {
	for !t.pauseEnded(pause) {
		t.proveDuties(ctx)
		if !t.pauseEnded(pause) && !interval.Wait(ctx, proofPause) {
			return nil
		}
	}
	return nil
}

// pauseEnded reports whether all held duties were proven since a pause, or a later pause has begun.
func (t *Tenure) pauseEnded(pause int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.pauses != pause {
		return true
	}
	for _, h := range t.held {
		if !t.provenSincePause(h) {
			return false
		}
	}
	return true
}

// proveDuties reads the keys of the held duties; when the store does not answer for each of them, it asks all other nodes.
func (t *Tenure) proveDuties(ctx context.Context) {
	if t.readDuties(ctx) {
		return
	}
	sent := t.Clock()
	q, others := t.question()
	if len(others) == 0 || !t.confirm(ctx, q, others) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.vouched = sent
}
