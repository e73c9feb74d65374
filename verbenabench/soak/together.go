package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// longestOutage is longer than a lease of 2.5 s, after which no process takes a duty of its own earlier life.
	longestOutage = 3500 * time.Millisecond
	// All are killed again within longestReturn: some have taken duties by then, within the leases of the first loss.
	longestReturn = 2 * time.Second
)

// pairFault harms the connections between two processes only, in both directions; one of them holds a duty in half of the draws.
func (s *Soak) pairFault(random *rand.Rand, lasts time.Duration) fault {
	order := random.Perm(len(s.processes))
	p, other := s.processes[order[0]], s.processes[order[1]]
	if random.IntN(2) == 0 {
		if _, holder := s.holder(anyPool(random)); holder != nil && holder != other {
			p = holder
		}
	}
	f := connectionFault(mode(random.IntN(modes)), lasts, p.peers[other], other.peers[p])
	f.name = fmt.Sprintf("between %s and %s only: %s", p.settings.Node, other.settings.Node, f.name)
	return f
}

// allKilled kills all processes at the same moment, in a third of the draws twice, while the connections of some workers are harmed: the next
// holders know only what the store and the workers that they reach tell. The processes are back together, or one after another.
func (s *Soak) allKilled(random *rand.Rand) []fault {
	own := rand.New(rand.NewPCG(random.Uint64(), 3))
	times := 1
	if random.IntN(3) == 0 {
		times = 2
	}
	return []fault{{name: fmt.Sprintf("all killed at once, %d times", times), run: func(ctx context.Context) error {
		var group errgroup.Group
		for range times {
			s.harmWorkers(ctx, own, &group)
			away := between(own, restartAfter, longestOutage)
			together := own.IntN(2) == 0
			for _, p := range s.processes {
				if !together {
					away = between(own, restartAfter, longestOutage)
				}
				p.kill(away)
			}
			s.book.note(fmt.Sprintf("all killed, back together: %v", together), nil)
			if err := sleep(ctx, away+between(own, 0, longestReturn)); err != nil {
				break
			}
		}
		return group.Wait()
	}}}
}
