package node

import (
	"context"
	"sync"
	"time"

	"verbenalanding.example/fleet/interval"
)

const (
	// firstTry is the least bound of the first attempt at the store, whose answers take milliseconds, and maxTry the largest one
	// of any; the bound doubles from attempt to attempt, so that a lost answer costs little and a slow store is still heard.
	firstTry = 100 * time.Millisecond
	maxTry   = 800 * time.Millisecond
	// storePause lies between two attempts.
	storePause = 40 * time.Millisecond
	// patienceFactor is how many times the usual time of an answer the first attempt at the store waits.
	patienceFactor = 3
	// patienceFall is the share of a quicker answer in the usual time; a slower one counts at once.
	patienceFall = 0.2
)

// patience bounds the attempts at the store by the time that its answers take.
type patience struct {
	mu    sync.Mutex
	usual time.Duration
}

// answered takes note of the time of an answer.
func (p *patience) answered(took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if took > p.usual {
		p.usual = took
		return
	}
	p.usual += time.Duration(patienceFall * float64(took-p.usual))
}

// try bounds an attempt; attempts count from 1.
func (p *patience) try(attempt int) time.Duration {
	p.mu.Lock()
	first := max(firstTry, patienceFactor*p.usual)
	p.mu.Unlock()
	return min(first<<min(attempt-1, 8), maxTry)
}

// nextTry waits before another attempt; it reports false when the context has ended.
func nextTry(ctx context.Context) bool { return interval.Wait(ctx, storePause) }
