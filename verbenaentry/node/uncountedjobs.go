package node

import (
	"context"
	"sync"
)

// uncountedShare is the part of a pool's memory for jobs that all nodes together take while no holder counts them: one of so many.
const uncountedShare = 4

// uncountedIsFull reports whether this node has stored its part of the jobs that all nodes together store for a pool before its holder counts them; that is
// one of the largest bodies at least.
func (n *Node) uncountedIsFull(pool string) bool {
	stored := n.uncounted.of(pool)
	return stored >= largeBody && stored >= n.keptJobBytes()/int64(uncountedShare*max(1, len(n.Elector.Members())))
}

// holderAnswers reports whether a pool has a holder, which then has counted what was stored before.
func (n *Node) holderAnswers(ctx context.Context, pool string) bool {
	var answer pendingAnswer
	if err := n.callHolder(ctx, pool, methodPending, poolItem{Pool: pool}, &answer); err != nil {
		return false
	}
	n.uncounted.clear(pool)
	return true
}

// uncountedJobs counts the bytes of the jobs that this node has stored since a pool's holder last answered, by pool.
type uncountedJobs struct {
	mu     sync.Mutex
	byPool map[string]int64
}

func (u *uncountedJobs) add(pool string, bytes int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.byPool == nil {
		u.byPool = map[string]int64{}
	}
	u.byPool[pool] += bytes
}

func (u *uncountedJobs) of(pool string) int64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.byPool[pool]
}

func (u *uncountedJobs) clear(pool string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.byPool, pool)
}

func (p *pool) largestJob() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.scheduler.LargestJob()
}
