package leadership

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
func (el *Elector) running(now time.Time) bool { return now.Sub(el.ran) < pauseLimit }

// provenSincePause reports whether the store has shown a duty as held, or all other nodes have, by calls that were sent after the last pause
// was found; the lock must be held.
func (el *Elector) provenSincePause(h *holding) bool {
	return !h.proven.Before(el.woke) || !el.vouched.Before(el.woke)
}

// watchPauses finds pauses of the node, as of a suspended machine: another node may have taken its duties meanwhile and nothing has told
// it yet, so that no orders are given for a duty until it is proven to be held.
func (el *Elector) watchPauses(ctx context.Context) error {
	for range interval.Each(ctx, pauseEvery) {
		if pause, began := el.noteRunning(); began {
			el.note("node stood still", "", nil)
			el.group.Go(func() error { return el.endPause(ctx, pause) })
		}
	}
	return nil
}

// noteRunning takes note that the node runs; began is true when a pause was found, which counts from 1.
func (el *Elector) noteRunning() (pause int, began bool) {
	el.mu.Lock()
	defer el.mu.Unlock()
	now := el.Clock()
	began = now.Sub(el.ran) >= pauseLimit
	el.ran = now
	if began {
		el.woke = now
		el.pauses++
	}
	return el.pauses, began
}

// endPause goes on until all held duties are proven to be held; a later pause has proofs of its own.
func (el *Elector) endPause(ctx context.Context, pause int) error {
	for !el.pauseEnded(pause) {
		el.proveDuties(ctx)
		if !el.pauseEnded(pause) && !interval.Wait(ctx, proofPause) {
			return nil
		}
	}
	return nil
}

// pauseEnded reports whether all held duties were proven since a pause, or a later pause has begun.
func (el *Elector) pauseEnded(pause int) bool {
	el.mu.Lock()
	defer el.mu.Unlock()
	if el.pauses != pause {
		return true
	}
	for _, h := range el.held {
		if !el.provenSincePause(h) {
			return false
		}
	}
	return true
}

// proveDuties reads the keys of the held duties; when the store does not answer for each of them, it asks all other nodes.
func (el *Elector) proveDuties(ctx context.Context) {
	if el.readDuties(ctx) {
		return
	}
	sent := el.Clock()
	q, others := el.question()
	if len(others) == 0 || !el.confirm(ctx, q, others) {
		return
	}
	el.mu.Lock()
	defer el.mu.Unlock()
	el.vouched = sent
}
