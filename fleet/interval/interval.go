package interval

import (
	"context"
	"iter"
	"time"
)

// Each yields the time at the end of each interval until the context ends. Like a time.Ticker it delivers only one of the ticks that
// occur while the body of the loop runs.
func Each(ctx context.Context, d time.Duration) iter.Seq[time.Time] {
	return func(yield func(time.Time) bool) {
		ticker := time.NewTicker(d)
		defer ticker.Stop()
		each(ctx, ticker, nil, func(now time.Time, _ bool) bool { return yield(now) })
	}
}

// EachOr yields false at the end of each interval, as Each does, and true for each item of wake, until the context ends. An item does not
// restart the interval.
func EachOr(ctx context.Context, d time.Duration, wake <-chan struct{}) iter.Seq[bool] {
	return func(yield func(bool) bool) {
		ticker := time.NewTicker(d)
		defer ticker.Stop()
		each(ctx, ticker, wake, func(_ time.Time, woken bool) bool { return yield(woken) })
	}
}

// FromNow yields once immediately, even if the context has ended, and then as Each does.
func FromNow(ctx context.Context, d time.Duration) iter.Seq[time.Time] {
	return func(yield func(time.Time) bool) {
		ticker := time.NewTicker(d)
		defer ticker.Stop()
		if yield(time.Now()) {
			each(ctx, ticker, nil, func(now time.Time, _ bool) bool { return yield(now) })
		}
	}
}

// Wait waits for d or until the context ends. It reports whether the context is still active.
func Wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return ctx.Err() == nil
	}
}

// Backoff waits for *wait or until the context ends, and doubles the wait up to a limit. It returns the context's error if that has ended.
func Backoff(ctx context.Context, wait *time.Duration, limit time.Duration) error {
	if !Wait(ctx, *wait) {
		return ctx.Err()
	}
	*wait = min(2**wait, limit)
	return nil
}

// each yields the time at the end of each interval, and true for each item of wake, which may be nil.
func each(ctx context.Context, ticker *time.Ticker, wake <-chan struct{}, yield func(now time.Time, woken bool) bool) {
	for {
		var now time.Time
		woken := false
		select {
		case <-ctx.Done():
			return
		case now = <-ticker.C:
		case <-wake:
			woken = true
		}
		if !yield(now, woken) {
			return
		}
	}
}
