package ring

import (
	"context"
	"errors"
	"sync/atomic"
)

// ErrFull is returned when a ring has no free capacity.
var ErrFull = errors.New("ring is full")

// Ring is a bounded first-in-first-out queue between goroutines.
type Ring[T any] struct {
	items   chan T
	refused atomic.Int64
}

// New returns a ring with the capacity for size items.
func New[T any](size int) *Ring[T] {
	return &Ring[T]{items: make(chan T, size)}
}

// Offer adds an item without blocking, or returns ErrFull.
func (r *Ring[T]) Offer(item T) error {
	select {
	case r.items <- item:
		return nil
	default:
		r.refused.Add(1)
		return ErrFull
	}
}

// Take waits for the next item, or returns the context's error.
func (r *Ring[T]) Take(ctx context.Context) (T, error) {
	select {
	case item := <-r.items:
		return item, nil
	case <-ctx.Done():
		var none T
		return none, ctx.Err()
	}
}

// Items returns the channel of waiting items for use in a select statement.
func (r *Ring[T]) Items() <-chan T { return r.items }

// Len returns the number of waiting items.
func (r *Ring[T]) Len() int { return len(r.items) }

// Refused returns how many items were rejected because the ring was full.
func (r *Ring[T]) Refused() int64 { return r.refused.Load() }
