package node

import (
	"context"
	"sync"
	"time"

	"verbenalanding.example/fleet/interval"
)

const (
	// minFirstTimeout is the shortest timeout of the first attempt of a call to the store, whose answers take milliseconds; maxTimeout
	// is the longest of any attempt. The timeout doubles with each attempt, so that a lost answer costs little time and the answers of
	// a slow store still arrive.
	minFirstTimeout = 100 * time.Millisecond
	maxTimeout      = 800 * time.Millisecond
	// storeRetryPause is the pause between two attempts.
	storeRetryPause = 40 * time.Millisecond
	// firstTimeoutFactor is the timeout of the first attempt as a multiple of the recent response time.
	firstTimeoutFactor = 3
	// fasterAnswerWeight is the weight of a faster answer in the moving average of response times; a slower answer replaces the average.
	fasterAnswerWeight = 0.2
)

// storeTimeout derives the timeouts of calls to the store from its recent response times.
type storeTimeout struct {
	mu sync.Mutex
	// responseTime is the recent response time of the store.
	responseTime time.Duration
}

// record updates the recent response time with that of an answer.
func (t *storeTimeout) record(took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if took > t.responseTime {
		t.responseTime = took
		return
	}
	t.responseTime += time.Duration(fasterAnswerWeight * float64(took-t.responseTime))
}

// forAttempt returns the timeout of an attempt; the first attempt is 1.
func (t *storeTimeout) forAttempt(attempt int) time.Duration {
	t.mu.Lock()
	first := max(minFirstTimeout, firstTimeoutFactor*t.responseTime)
	t.mu.Unlock()
	return min(first<<min(attempt-1, 8), maxTimeout)
}

// waitRetry waits before the next attempt; it returns false when the context has ended.
func waitRetry(ctx context.Context) bool { return interval.Wait(ctx, storeRetryPause) }
