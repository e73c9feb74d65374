package demo

import (
	"math/rand/v2"
	"time"
)

// arrivals draws random intervals between one service's requests and the entry instances that receive the requests.
type arrivals struct {
	rand *rand.Rand
}

func newArrivals(seed uint64) *arrivals {
	return &arrivals{rand: rand.New(rand.NewPCG(seed, seed))}
}

// drawInterval draws an exponentially distributed interval with the given mean.
func (a *arrivals) drawInterval(mean time.Duration) time.Duration {
	return time.Duration(a.rand.ExpFloat64() * float64(mean))
}

// drawEntry draws the index of one of n entry instances. The first one receives about twice as many requests as the last one, as
// behind an uneven load balancer.
func (a *arrivals) drawEntry(n int) int {
	first, second := a.rand.IntN(n), a.rand.IntN(n)
	if a.rand.IntN(2) == 0 {
		return min(first, second)
	}
	return first
}
