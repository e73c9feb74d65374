package node

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// Guards against ends of runs that become known late, and workers that count as unresponsive, beside workers that leave half of their calls
// unanswered: a single unanswered hold cost up to 0.9 s.
func TestRepeatedCallBesideUnansweredCalls(t *testing.T) {
	const delay, every, timeout = 580 * time.Millisecond, 80 * time.Millisecond, 750 * time.Millisecond
	for _, c := range []struct {
		name       string
		unanswered int
		failed     bool
		mayRepeat  bool
		wantOK     bool
		wantSent   int
		wantTook   time.Duration
	}{
		{"answered at once", 0, false, true, true, 1, 0},
		{"first attempt unanswered", 1, false, true, true, 2, delay},
		{"two attempts unanswered", 2, false, true, true, 3, delay + every},
		{"all attempts unanswered", 9, false, true, false, 3, timeout},
		{"not to be repeated", 1, false, false, false, 1, timeout},
		{"connection closed by the other side", 1, true, true, true, 2, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), timeout)
				defer cancel()
				calls := repeatedCall[bool]{
					max: 3,
					send: func(ctx context.Context, attempt int) bool {
						if attempt <= c.unanswered && !c.failed {
							<-ctx.Done()
						}
						return attempt > c.unanswered
					},
					settles:   func(answered bool, _ int) bool { return answered },
					mayRepeat: func(int) bool { return c.mayRepeat },
				}
				began := time.Now()
				_, ok := calls.run(ctx, delay, every)
				if ok != c.wantOK {
					t.Errorf("answered: got %v, want %v", ok, c.wantOK)
				}
				if calls.sent != c.wantSent {
					t.Errorf("attempts: got %d, want %d", calls.sent, c.wantSent)
				}
				if got := time.Since(began); got != c.wantTook {
					t.Errorf("time: got %v, want %v", got, c.wantTook)
				}
			})
		})
	}
}
