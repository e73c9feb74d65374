package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// maxDowntime is longer than a lease of 2.5 s. After it, a restarted process can no longer take a duty back from its previous incarnation.
	maxDowntime = 3500 * time.Millisecond
	// maxReturnTime is the maximum time from the restart to the second kill of all processes. By then some have taken duties, before the
	// leases from before the first kill have expired.
	maxReturnTime = 2 * time.Second
)

// pairFault disturbs the connections between two processes only, in both directions. In half of the draws it chooses a holder of a duty if
// it can.
func (s *Soak) pairFault(random *rand.Rand, duration time.Duration) fault {
	order := random.Perm(len(s.processes))
	p, other := s.processes[order[0]], s.processes[order[1]]
	if random.IntN(2) == 0 {
		if _, holder := s.holder(anyPool(random)); holder != nil && holder != other {
			p = holder
		}
	}
	f := connectionFault(mode(random.IntN(modes)), duration, p.peerProxies[other], other.peerProxies[p])
	f.name = fmt.Sprintf("between %s and %s only: %s", p.settings.Node, other.settings.Node, f.name)
	return f
}

// allKilled kills all processes at the same time, twice in a third of the draws, while the connections of some workers are disturbed. The
// next holders can rely only on the store and on reachable workers. The processes restart together or one after another.
func (s *Soak) allKilled(random *rand.Rand) []fault {
	faultRandom := rand.New(rand.NewPCG(random.Uint64(), 3))
	times := 1
	if random.IntN(3) == 0 {
		times = 2
	}
	return []fault{{name: fmt.Sprintf("all killed at the same time, %d times", times), run: func(ctx context.Context) error {
		var group errgroup.Group
		for range times {
			s.disturbWorkers(ctx, faultRandom, &group)
			downtime := between(faultRandom, restartDelay, maxDowntime)
			together := faultRandom.IntN(2) == 0
			for _, p := range s.processes {
				if !together {
					downtime = between(faultRandom, restartDelay, maxDowntime)
				}
				p.kill(downtime)
			}
			s.record.note(fmt.Sprintf("all killed, restarted together: %v", together), nil)
			if err := sleep(ctx, downtime+between(faultRandom, 0, maxReturnTime)); err != nil {
				break
			}
		}
		return group.Wait()
	}}}
}
