package retry

import (
	"testing"
	"time"

	"verbenalanding.example/fleet/internal/check"
)

// TestDecisionReasons guards against retrying a non-repeatable request that may have run, one that was answered, and one that
// cannot finish before its deadline.
func TestDecisionReasons(t *testing.T) {
	now := time.Unix(0, 0)
	base := Attempt{Repeatable: true, Number: 1, Deadline: now.Add(time.Second), Expected: 100 * time.Millisecond}
	for _, c := range []struct {
		name   string
		change func(*Attempt)
		want   Reason
	}{
		{"not sent", func(a *Attempt) { a.Repeatable = false }, Allowed},
		{"unknown, repeatable", func(a *Attempt) { a.Outcome, a.ByteSent = Unknown, true }, Allowed},
		{"unknown, not repeatable", func(a *Attempt) { a.Outcome, a.Repeatable = Unknown, false }, NotRepeatable},
		{"byte sent, not repeatable", func(a *Attempt) { a.ByteSent, a.Repeatable = true, false }, NotRepeatable},
		{"refused, not repeatable", func(a *Attempt) { a.Outcome, a.ByteSent, a.Repeatable = Refused, true, false }, NotRepeatable},
		{"answered", func(a *Attempt) { a.Outcome = Completed }, Answered},
		{"deadline", func(a *Attempt) { a.Deadline = now.Add(100 * time.Millisecond) }, DeadlineTooClose},
		{"third attempt", func(a *Attempt) { a.Number = 3 }, TooManyAttempts},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := (&Budget{}).Default()
			for range 10 {
				b.Request()
			}
			a := base
			c.change(&a)
			d := b.Decide(now, a)
			check.Equal(t, "reason", d.Reason, c.want)
			check.Equal(t, "retry", d.Retry, c.want == Allowed)
		})
	}
}

// TestRetriesStayWithinBudget guards against retries that exceed a tenth of the requests in an outage, also after a long
// time without failures that left budget unused.
func TestRetriesStayWithinBudget(t *testing.T) {
	b := (&Budget{}).Default()
	for range 100000 {
		b.Request()
	}
	now, retries := time.Unix(0, 0), 0
	for range 1000 {
		b.Request()
		if b.Decide(now, Attempt{Repeatable: true, Number: 1, Deadline: now.Add(time.Second)}).Retry {
			retries++
		}
	}
	check.True(t, "retries of 1,000 failed requests are at most a tenth and the burst", retries <= 105)
	check.True(t, "retries use the budget", retries >= 100)
}
