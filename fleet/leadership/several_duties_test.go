package leadership_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"verbenalanding.example/fleet/leadership"
	"verbenalanding.example/fleet/store"
)

// slowStore is a store that answers reads of duty keys after a delay and leaves every loses-th read unanswered; 0 answers all.
type slowStore struct {
	*memory
	delay time.Duration
	loses int64
	reads *atomic.Int64
}

func (s slowStore) Get(ctx context.Context, key string) (store.Entry, error) {
	if !strings.HasPrefix(key, leadership.Prefix) {
		return s.memory.Get(ctx, key)
	}
	delay := s.delay
	if s.loses > 0 && s.reads.Add(1)%s.loses == 0 {
		delay = time.Hour
	}
	select {
	case <-ctx.Done():
		return store.Entry{}, store.ErrUnavailable
	case <-time.After(delay):
		return s.memory.Get(ctx, key)
	}
}

// invalidPercent runs a holder of several duties on a slowStore and returns the percentage of checks that found a duty not valid. It must
// run in a synctest bubble, whose time advances only while all goroutines are blocked: otherwise load on the machine could pause the node
// for 0.4 s, after which it gives no orders until its duties are confirmed.
func invalidPercent(t *testing.T, duties int, delay time.Duration, loses int64) float64 {
	t.Helper()
	const steps = 500
	n := newNodes(t)
	n.now = time.Now
	a := n.build("a", 2500*time.Millisecond)
	a.Store = slowStore{n.store, delay, loses, &atomic.Int64{}}
	var mu sync.Mutex
	fences := map[string]uint64{}
	a.OnAcquired = func(ctx context.Context, name string, fence uint64) error {
		mu.Lock()
		fences[name] = fence
		mu.Unlock()
		<-ctx.Done()
		return nil
	}
	a.SetDuties([]string{"p0", "p1", "p2", "p3", "p4", "p5"}[:duties])
	n.run(a)
	waitUntil(t, "duties are held", func() bool { mu.Lock(); defer mu.Unlock(); return len(fences) == duties })
	invalid := 0
	for range steps {
		time.Sleep(10 * time.Millisecond)
		mu.Lock()
		for name, fence := range fences {
			if !a.Valid(name, fence) {
				invalid++
			}
		}
		mu.Unlock()
	}
	return 100 * float64(invalid) / float64(steps*duties)
}

// Guards against a holder of several duties that is not valid although the store answers and renews its lease, as happened when the keys
// were read one after the other.
func TestHolderOfSeveralDutiesKeepsThem(t *testing.T) {
	for _, duties := range []int{2, 4, 6} {
		t.Run(fmt.Sprintf("%d duties", duties), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				if got := invalidPercent(t, duties, 300*time.Millisecond, 0); got > 0 {
					t.Errorf("time in which duties were not valid: got %.1f%%, want none", got)
				}
			})
		})
	}
}

// Guards against a holder of several duties that is not valid while the store leaves every fifth read unanswered.
func TestHolderOfSeveralDutiesKeepsThemWhenReadsAreLost(t *testing.T) {
	for _, duties := range []int{4, 6} {
		t.Run(fmt.Sprintf("%d duties", duties), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				if got := invalidPercent(t, duties, time.Millisecond, 5); got > 0 {
					t.Errorf("time in which duties were not valid: got %.1f%%, want none", got)
				}
			})
		})
	}
}
