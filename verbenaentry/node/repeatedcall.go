package node

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"
)

// repeatedCall makes a call that may be carried out more than once, and again while it is unanswered. Earlier attempts stay open: their answers
// count too.
type repeatedCall[A any] struct {
	// max is the largest number of attempts.
	max int
	// send makes an attempt; attempts count from 1.
	send func(ctx context.Context, attempt int) A
	// settles reports whether an answer is that of the call, of which a number of attempts were sent.
	settles func(a A, sent int) bool
	// mayRepeat reports whether the call may be sent again after a number of attempts.
	mayRepeat func(sent int) bool

	answers chan A
	group   errgroup.Group
	// sent counts the attempts, open those that have not ended.
	sent, open int
}

// run makes the call until an answer settles it, all attempts have failed, or the context ends; ok is false without an answer that settles it. The
// first repetition comes after a delay, the others at an interval.
func (c *repeatedCall[A]) run(ctx context.Context, delay, every time.Duration) (answer A, ok bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer func() {
		cancel()
		_ = c.group.Wait()
	}()
	c.answers = make(chan A, c.max)
	c.attempt(ctx)
	repeat := time.NewTimer(delay)
	defer repeat.Stop()
	for c.open > 0 {
		select {
		case a := <-c.answers:
			c.open--
			if c.settles(a, c.sent) {
				return a, true
			}
			// The first attempt may have used a connection that the other side had closed.
			if c.sent == 1 {
				c.repeat(ctx)
			}
		case <-repeat.C:
			c.repeat(ctx)
			repeat.Reset(every)
		}
	}
	return answer, false
}

func (c *repeatedCall[A]) repeat(ctx context.Context) {
	if ctx.Err() == nil && c.sent < c.max && c.mayRepeat(c.sent) {
		c.attempt(ctx)
	}
}

func (c *repeatedCall[A]) attempt(ctx context.Context) {
	c.sent++
	c.open++
	number := c.sent
	c.group.Go(func() error {
		c.answers <- c.send(ctx, number)
		return nil
	})
}
