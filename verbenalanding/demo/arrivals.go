package demo

import (
	"math/rand/v2"
	"time"
)

// arrivals draws the intervals between one service's requests and the entry instances that receive them.
type arrivals struct {
	rand *rand.Rand
}

func newArrivals(seed uint64) *arrivals {
	return &arrivals{rand: rand.New(rand.NewPCG(seed, seed))}
}

// next draws an exponentially distributed interval with the given mean.
func (s *arrivals) next(mean time.Duration) time.Duration {
	return time.Duration(s.rand.ExpFloat64() * float64(mean))
}

// entry draws one of n entry instances; the first receives about twice as many requests as the last, as behind an uneven load balancer.
func (s *arrivals) entry(n int) int {
	a, b := s.rand.IntN(n), s.rand.IntN(n)
	if s.rand.IntN(2) == 0 {
		return min(a, b)
	}
	return a
}
