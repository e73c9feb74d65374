package ring

import (
	"context"
	"testing"

	"verbenalanding.example/fleet/internal/check"
)

// Guards against a producer that blocks, or overwrites items, after the consumer has stopped.
func TestOfferRefusesWhenFull(t *testing.T) {
	r := New[int](1)
	check.NoError(t, r.Offer(1))
	check.ErrorIs(t, r.Offer(2), ErrFull)
	got, err := r.Take(context.Background())
	check.NoError(t, err)
	check.Equal(t, "item", got, 1)
	check.Equal(t, "refused", r.Refused(), int64(1))
}
