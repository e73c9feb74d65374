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

// countingStore is a store that counts the reads of duty keys, answers them after a delay, and loses some of the answers.
type countingStore struct {
	*memory
	reads atomic.Int64
	delay time.Duration

	lock sync.Mutex
	// loses reports whether the next answer is lost; it is called with the lock held.
	loses func() bool
}

// nextReadLost calls loses with the lock held.
func (c *countingStore) nextReadLost() bool {
	c.lock.Lock()
	defer c.lock.Unlock()
	return c.loses()
}

func (c *countingStore) Get(ctx context.Context, key string) (store.Entry, error) {
	if !strings.HasPrefix(key, leadership.Prefix) {
		return c.memory.Get(ctx, key)
	}
	c.reads.Add(1)
	delay := c.delay
	if c.nextReadLost() {
		delay = time.Hour
	}
	select {
	case <-ctx.Done():
		return store.Entry{}, store.ErrUnavailable
	case <-time.After(delay):
		return c.memory.Get(ctx, key)
	}
}

func loseNone() bool { return false }
func loseAll() bool  { return true }

// startCounting starts the holder of one duty with a lease of 2.5 s; it must run in a synctest bubble.
func startCounting(t *testing.T, c *countingStore) (*leadership.Elector, uint64) {
	t.Helper()
	n := newNodes(t)
	n.now = time.Now
	c.memory = n.store
	a := n.build("a", 2500*time.Millisecond)
	a.Store = c
	n.run(a)
	return a, await(t, "holder", n.began).fence
}

// Guards against a duty that is read more often than its confirmation requires, and against a burst of reads while the store does not
// answer: the reads of all holders count against the rate that the store allows.
func TestReadRateOfAHeldDuty(t *testing.T) {
	const during = 100 * time.Second
	for _, c := range []struct {
		name string
		// written is the interval of acknowledged writes that confirm the duty; zero means none.
		written time.Duration
		delay   time.Duration
		loses   func() bool
		// most is the allowed number of reads per second.
		most float64
	}{
		{"answers after 4 ms", 0, 4 * time.Millisecond, loseNone, 2},
		{"writes each 0.4 s", 400 * time.Millisecond, 4 * time.Millisecond, loseNone, 0},
		{"writes each 0.8 s", 800 * time.Millisecond, 4 * time.Millisecond, loseNone, 1.3},
		{"answers after 0.2 s", 0, 200 * time.Millisecond, loseNone, 2},
		{"answers after 0.4 s", 0, 400 * time.Millisecond, loseNone, 4},
		{"no answers", 0, 0, loseAll, 2.5},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &countingStore{delay: c.delay, loses: c.loses}
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

// Guards against a holder that is not valid at some time while each read is lost with a probability of one in five, because all reads within
// a lease were lost.
func TestHolderKeepsItsDutyWhenReadsAreLostAtRandom(t *testing.T) {
	const (
		during        = 10 * time.Minute
		checkInterval = 10 * time.Millisecond
	)
	for seed := range uint64(2) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, 0))
				s := &countingStore{delay: 4 * time.Millisecond, loses: func() bool { return random.IntN(5) == 0 }}
				a, fence := startCounting(t, s)
				invalid := 0
				for range int(during / checkInterval) {
					time.Sleep(checkInterval)
					if !a.Valid("pool", fence) {
						invalid++
					}
				}
				t.Logf("%.2f reads a second", float64(s.reads.Load())/during.Seconds())
				if invalid > 0 {
					t.Errorf("checks that found the holder not valid: got %d, want none", invalid)
				}
			})
		})
	}
}

// Guards against a holder that is no longer valid after a few lost reads, and against a burst of reads, when the store becomes unresponsive
// at any time between two confirmations.
func TestReadsOfADutyBeforeItsConfirmationExpires(t *testing.T) {
	const fewest, most = 10, 14
	for at := 3 * time.Second; at < 3500*time.Millisecond; at += 10 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			var unresponsive atomic.Bool
			s := &countingStore{delay: 4 * time.Millisecond, loses: func() bool { return unresponsive.Load() }}
			a, fence := startCounting(t, s)
			time.Sleep(at)
			unresponsive.Store(true)
			s.reads.Store(0)
			var got int64
			for a.Valid("pool", fence) {
				got = s.reads.Load()
				time.Sleep(time.Millisecond)
			}
			if got < fewest || got > most {
				t.Errorf("unresponsive from %v on: got %d reads until orders were no longer valid, want %d to %d", at, got, fewest, most)
			}
		})
	}
}
