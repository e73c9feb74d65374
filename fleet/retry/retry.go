package retry

import "time"

// Outcome is the known outcome of an attempt.
type Outcome uint8

// The outcomes of an attempt.
const (
	// NotSent means that no byte of the request reached the backend server.
	NotSent Outcome = iota
	// Refused means that the backend server answered that it did not run the request.
	Refused
	// Unknown means that bytes may have been sent and no complete response was received.
	Unknown
	// Completed means that a complete response was received, even if it reports an error; it is never retried.
	Completed
)

// Attempt describes an attempt that failed.
type Attempt struct {
	Outcome Outcome
	// ByteSent is set if a byte of the request may have been sent.
	ByteSent bool
	// Repeatable is the service's declaration.
	Repeatable bool
	// Number is the number of attempts made so far, from 1.
	Number   int
	Deadline time.Time
	// Expected is the learned service time; a retry that cannot finish before the deadline is not made.
	Expected time.Duration
	// Random is a uniformly distributed random number for the jitter of the delay.
	Random uint64
}

// Reason is the reason of a decision.
type Reason uint8

// The reasons of a decision.
const (
	// Allowed means that the attempt is retried.
	Allowed Reason = iota
	// NotRepeatable means that the attempt may have run and the service is not repeatable.
	NotRepeatable
	// DeadlineTooClose means that a further attempt would not finish before the deadline.
	DeadlineTooClose
	// BudgetSpent means that retries have used up their share of the requests.
	BudgetSpent
	// TooManyAttempts means that the request has reached MaxAttempts.
	TooManyAttempts
	// Answered means that a complete response was received.
	Answered
)

// Decision states whether and when the attempt is retried.
type Decision struct {
	Retry  bool
	Delay  time.Duration
	Reason Reason
}

// Budget limits the retries of one pool to a share of its requests.
type Budget struct {
	// Ratio is the maximum ratio of retries to requests.
	Ratio float64
	// Burst is the maximum number of consecutive retries that unused budget permits.
	Burst float64
	// MaxAttempts is the maximum number of attempts of a request.
	MaxAttempts int
	// BaseDelay is the mean delay before the second attempt; it doubles with each further attempt.
	BaseDelay time.Duration

	tokens float64
}

// Default fills unset fields.
func (b *Budget) Default() *Budget {
	if b.Ratio == 0 {
		b.Ratio = 0.1
	}
	if b.Burst == 0 {
		// Budget must not accumulate over an hour without failures, or an outage would begin with a burst of retries.
		b.Burst = 5
	}
	if b.MaxAttempts == 0 {
		b.MaxAttempts = 3
	}
	if b.BaseDelay == 0 {
		b.BaseDelay = 5 * time.Millisecond
	}
	return b
}

// Request counts a request at its first attempt and adds Ratio to the budget.
func (b *Budget) Request() {
	b.tokens = min(b.tokens+b.Ratio, b.Burst)
}

// Decide returns whether a failed attempt is retried and, if so, charges the retry to the budget.
func (b *Budget) Decide(now time.Time, a Attempt) Decision {
	switch {
	case a.Outcome == Completed:
		return Decision{Reason: Answered}
	case !a.Repeatable && (a.ByteSent || a.Outcome != NotSent):
		return Decision{Reason: NotRepeatable}
	case a.Number >= b.MaxAttempts:
		return Decision{Reason: TooManyAttempts}
	}
	delay := b.delay(a)
	if now.Add(delay + a.Expected).After(a.Deadline) {
		return Decision{Reason: DeadlineTooClose}
	}
	// The sum of ten tenths is slightly below 1 in binary floating point.
	if b.tokens < 1-1e-9 {
		return Decision{Reason: BudgetSpent}
	}
	b.tokens--
	return Decision{Retry: true, Delay: delay}
}

// delay returns the exponential back-off with jitter, between 0.5 and 1.5 times its value.
func (b *Budget) delay(a Attempt) time.Duration {
	d := b.BaseDelay << min(max(a.Number-1, 0), 10)
	return d/2 + time.Duration(a.Random%uint64(max(d, 1)))
}
