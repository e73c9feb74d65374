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
		each(ctx, ticker, yield)
	}
}

// FromNow yields once at the beginning, even when the context has ended, and then as Each does.
func FromNow(ctx context.Context, d time.Duration) iter.Seq[time.Time] {
	return func(yield func(time.Time) bool) {
		ticker := time.NewTicker(d)
		defer ticker.Stop()
		if yield(time.Now()) {
			each(ctx, ticker, yield)
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

func each(ctx context.Context, ticker *time.Ticker, yield func(time.Time) bool) {
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			if !yield(now) {
				return
			}
		}
	}
}
