package store

import (
	"context"
	"time"
)

type answerTimeoutKey struct{}

// ReplayLimit is the time without an answer to a watch after which a follower lists the keys again: the changes since then may be more than one
// answer transfers in the time of a call, and a repeated watch would ask for more of them each time.
const ReplayLimit = 15 * time.Second

// WithAnswerTimeout returns a context whose calls fail unless their answer begins within d. Unlike a deadline it does not limit the transfer of
// a large answer, which would be requested again from its beginning, as long as it keeps arriving.
func WithAnswerTimeout(ctx context.Context, d time.Duration) context.Context {
	return context.WithValue(ctx, answerTimeoutKey{}, d)
}

// AnswerTimeout returns the time within which an answer has to begin, or 0 if the context has none.
func AnswerTimeout(ctx context.Context) time.Duration {
	d, _ := ctx.Value(answerTimeoutKey{}).(time.Duration)
	return d
}
