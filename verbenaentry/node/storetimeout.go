package node

import (
	"context"
	"sync"
	"time"

	"verbenalanding.example/fleet/interval"
)

const (
	// firstTry is the least bound of the first attempt at the store, whose answers take milliseconds, and maxTry the largest one
	// of any; the bound doubles from attempt to attempt, so that a lost answer costs little and a slow store is still heard.
	minFirstTimeout = 100 * time.Millisecond
	maxTimeout      = 800 * time.Millisecond
	// storePause lies between two attempts.
	storeRetryPause = 40 * time.Millisecond
	// patienceFactor is how many times the usual time of an answer the first attempt at the store waits.
	firstTimeoutFactor = 3
	// patienceFall is the share of a quicker answer in the usual time; a slower one counts at once.
	fasterAnswerWeight = 0.2
)

// patience bounds the attempts at the store by the time that its answers take.
type storeTimeout struct {
	mu    sync.Mutex
	usual time.Duration
}

// answered takes note of the time of an answer.
func (t *storeTimeout) record(took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if took > t.usual {
		t.usual = took
		return
	}
	t.usual += time.Duration(fasterAnswerWeight * float64(took-t.usual))
}

// try bounds an attempt; attempts count from 1.
func (t *storeTimeout) forAttempt(attempt int) time.Duration {
	t.mu.Lock()
	first := max(minFirstTimeout, firstTimeoutFactor*t.usual)
	t.mu.Unlock()
	return min(first<<min(attempt-1, 8), maxTimeout)
}

// nextTry waits before another attempt; it reports false when the context has ended.
func waitRetry(ctx context.Context) bool { return interval.Wait(ctx, storeRetryPause) }
