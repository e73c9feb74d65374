package interval

import (
	"context"
	"iter"
	"time"
)

// Each yields the time at the end of each interval until the context ends. Of the intervals that end while the body of the loop
// runs, one is made up for, as with a time.Ticker.
func Each(ctx context.Context, d time.Duration) iter.Seq[time.Time] {
	return func(yield func(time.Time) bool) {
		ticker := time.NewTicker(d)
		defer ticker.Stop()
		each(ctx, ticker, nil, func(now time.Time, _ bool) bool { return yield(now) })
	}
}

// EachOr yields false at the end of each interval, as Each does, and true for each item of wake, until the context ends. The interval goes
// on at an item.
func EachOr(ctx context.Context, d time.Duration, wake <-chan struct{}) iter.Seq[bool] {
	return func(yield func(bool) bool) {
		ticker := time.NewTicker(d)
		defer ticker.Stop()
		each(ctx, ticker, wake, func(_ time.Time, woken bool) bool { return yield(woken) })
	}
}

// FromNow yields once at the beginning, even when the context has ended, and then as Each does.
func FromNow(ctx context.Context, d time.Duration) iter.Seq[time.Time] {
	return func(yield func(time.Time) bool) {
		ticker := time.NewTicker(d)
		defer ticker.Stop()
		if yield(time.Now()) {
			each(ctx, ticker, nil, func(now time.Time, _ bool) bool { return yield(now) })
		}
	}
}

// Wait waits for d or until the context ends; it reports whether the context goes on.
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
