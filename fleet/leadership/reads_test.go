package leadership_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"verbenalanding.example/fleet/leadership"
	"verbenalanding.example/fleet/store"
)

// counting is a store that counts the reads of duties' keys, answers them after a time, and loses a share of the answers.
type counting struct {
	*memory
	reads atomic.Int64
	takes time.Duration

	lock sync.Mutex
	// loses is called with the lock held.
	loses func() bool
}

// loss reports whether the answer to the next read is lost.
func (c *counting) loss() bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.loses()
}

func (c *counting) Get(ctx context.Context, key string) (store.Entry, error) {
	if !strings.HasPrefix(key, leadership.Prefix) {
		return c.memory.Get(ctx, key)
	}
	c.reads.Add(1)
	takes := c.takes
	if c.loss() {
		takes = time.Hour
	}
	select {
	case <-ctx.Done():
		return store.Entry{}, store.ErrUnavailable
	case <-time.After(takes):
		return c.memory.Get(ctx, key)
	}
}

func never() bool  { return false }
func always() bool { return true }

// startCounting starts the holder of one duty with a lease of 2.5 s in a bubble of synctest.
func startCounting(t *testing.T, c *counting) (*leadership.Elector, uint64) {
	t.Helper()
	n := newNodes(t)
	n.now = time.Now
	c.memory = n.store
	a := n.build("a", 2500*time.Millisecond)
	a.Store = c
	n.run(a)
	return a, await(t, "holder", n.began).fence
}

// Guards against a duty that is read more often than its proof needs, and against a flood of reads while the store does not answer: the reads of
// all holders are a part of what the store allows.
func TestReadsOfAHeldDuty(t *testing.T) {
	const during = 100 * time.Second
	for _, c := range []struct {
		name string
		// written is how often an acknowledged write proves the duty; zero is never.
		written time.Duration
		takes   time.Duration
		loses   func() bool
		// most is the reads a second that are allowed.
		most float64
	}{
		{"calm", 0, 4 * time.Millisecond, never, 2},
		{"writes each 0.4 s", 400 * time.Millisecond, 4 * time.Millisecond, never, 0},
		{"writes each 0.8 s", 800 * time.Millisecond, 4 * time.Millisecond, never, 1.3},
		{"answers after 0.2 s", 0, 200 * time.Millisecond, never, 2},
		{"answers after 0.4 s", 0, 400 * time.Millisecond, never, 4},
		{"no answers", 0, 0, always, 2.5},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &counting{takes: c.takes, loses: c.loses}
				a, fence := startCounting(t, s)
				if c.written > 0 {
					for range int(during / c.written) {
						time.Sleep(c.written)
						a.MarkHeld("pool", fence, a.Clock())
					}
				} else {
					time.Sleep(during)
				}
				got := float64(s.reads.Load()) / during.Seconds()
				t.Logf("%.2f reads a second", got)
				if got > c.most {
					t.Errorf("reads a second: got %.2f, want %.2f or fewer", got, c.most)
				}
			})
		})
	}
}

// Guards against moments without the right to give orders while each read is lost with a chance of one in five: all reads of a lease may be.
func TestHolderKeepsItsDutyWhenReadsAreLostAtRandom(t *testing.T) {
	const (
		during = 10 * time.Minute
		look   = 10 * time.Millisecond
	)
	for seed := range uint64(2) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, 0))
				s := &counting{takes: 4 * time.Millisecond, loses: func() bool { return random.IntN(5) == 0 }}
				a, fence := startCounting(t, s)
				invalid := 0
				for range int(during / look) {
					time.Sleep(look)
					if !a.Valid("pool", fence) {
						invalid++
					}
				}
				t.Logf("%.2f reads a second", float64(s.reads.Load())/during.Seconds())
				if invalid > 0 {
					t.Errorf("moments without the right to give orders: got %d, want none", invalid)
				}
			})
		})
	}
}

// Guards against a right to give orders that ends after a few lost reads, and against a flood of them: the store falls silent at some moment
// between two proofs.
func TestReadsOfADutyInALeaseWithoutAnswers(t *testing.T) {
	const fewest, most = 10, 14
	for at := 3 * time.Second; at < 3500*time.Millisecond; at += 10 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			var silent atomic.Bool
			s := &counting{takes: 4 * time.Millisecond, loses: func() bool { return silent.Load() }}
			a, fence := startCounting(t, s)
			time.Sleep(at)
			silent.Store(true)
			s.reads.Store(0)
			var got int64
			for a.Valid("pool", fence) {
				got = s.reads.Load()
				time.Sleep(time.Millisecond)
			}
			if got < fewest || got > most {
				t.Errorf("silent from %v on: got %d reads until the right to give orders ended, want %d to %d", at, got, fewest, most)
			}
		})
	}
}
