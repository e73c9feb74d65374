package duty

import (
	"context"
	"fmt"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"verbenalanding.example/fleet/internal/check"
	"verbenalanding.example/fleet/mirror"
	"verbenalanding.example/fleet/record"
	"verbenalanding.example/fleet/standin"
	"verbenalanding.example/fleet/store"
)

const testTTL = 600 * time.Millisecond

// process is an entry instance with its manager and mirrors.
type process struct {
	manager *Manager
	cancel  context.CancelFunc
	group   *errgroup.Group
}

func startProcess(s *standin.Store, id string, names []string) *process {
	ctx, cancel := context.WithCancel(context.Background())
	group, ctx := errgroup.WithContext(ctx)
	members := &mirror.Mirror[record.Entry]{Store: s, Prefix: record.EntryPrefix}
	duties := &mirror.Mirror[record.Duty]{Store: s, Prefix: record.DutyPrefix}
	m := &Manager{
		Store:    s,
		Self:     record.Entry{ID: id},
		Names:    func() []string { return names },
		Work:     func(ctx context.Context, _ Term) error { <-ctx.Done(); return ctx.Err() },
		Members:  members,
		Duties:   duties,
		TTL:      testTTL,
		Interval: testTTL / 6,
	}
	group.Go(func() error { return members.Run(ctx) })
	group.Go(func() error { return duties.Run(ctx) })
	group.Go(func() error { return m.Run(ctx) })
	return &process{manager: m, cancel: cancel, group: group}
}

func (p *process) stop(t *testing.T) {
	t.Helper()
	p.cancel()
	check.NoError(t, p.group.Wait())
}

func eventually(t *testing.T, name string, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(15 * time.Second)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatalf("%s: got false, want true within 15 s", name)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func heldBy(p *process) map[string]record.Epoch {
	held := map[string]record.Epoch{}
	for _, term := range p.manager.Held() {
		held[term.Name] = term.Epoch
	}
	return held
}

func TestManager(t *testing.T) {
	names := []string{"wave/a", "wave/b", "pool/c", "claim/0", "claim/1", "jobs/0"}
	s := standin.NewStore()
	first := startProcess(s, "entry-1", names)
	eventually(t, "first holds all duties", func() bool { return len(heldBy(first)) == len(names) })
	second := startProcess(s, "entry-2", names)
	eventually(t, "second is registered", second.manager.Registered)

	t.Run("an expired lease moves every duty to a higher epoch", func(t *testing.T) {
		before := heldBy(first)
		first.manager.mu.Lock()
		lease := first.manager.lease
		first.manager.mu.Unlock()
		s.ExpireLease(lease)
		eventually(t, "every duty has a higher epoch", func() bool {
			now := heldBy(first)
			for name, epoch := range heldBy(second) {
				now[name] = max(now[name], epoch)
			}
			for name, epoch := range before {
				if now[name] <= epoch {
					return false
				}
			}
			return true
		})
	})
	t.Run("a store outage shorter than the lease keeps each duty with its holder", func(t *testing.T) {
		held := func() int { return len(heldBy(first)) + len(heldBy(second)) }
		// A holder notices the expiry of its lease at its next renewal, so a duty may have two holders until then.
		eventually(t, "each duty has one holder", func() bool { return held() == len(names) })
		s.SetFaults(standin.StoreFaults{Down: true})
		time.Sleep(testTTL / 2)
		check.Equal(t, "held duties", held(), len(names))
		s.SetFaults(standin.StoreFaults{})
	})
	t.Run("a stopped process releases its duties", func(t *testing.T) {
		first.stop(t)
		eventually(t, "second holds all duties", func() bool { return len(heldBy(second)) == len(names) })
		second.stop(t)
	})
}

// Guards against an order that changes the preferred holder of many duties when one member leaves.
func TestOrderMovesFewDuties(t *testing.T) {
	members := []string{"a", "b", "c", "d"}
	moved := 0
	const duties = 400
	for i := range duties {
		name := fmt.Sprint(i)
		before, after := Order(name, members)[0], Order(name, members[:3])[0]
		if before != "d" && before != after {
			t.Fatalf("duty %s: got holder %s, want %s", name, after, before)
		}
		if before == "d" {
			moved++
		}
	}
	check.True(t, "about a quarter of the duties moved", moved > duties/8 && moved < duties*3/8)
}

// Guards against a process that is registered but never serves because reading the records after its registration failed.
func TestRegistrationIsRepeatedUntilJoined(t *testing.T) {
	s := standin.NewStore()
	tries := 0
	m := &Manager{Store: s, Self: record.Entry{ID: "entry-1"}, OnJoined: func(context.Context) error {
		tries++
		if tries == 1 {
			return store.ErrUnavailable
		}
		return nil
	}}
	m.setDefaults()
	m.renew(context.Background())
	check.Equal(t, "registered after a failed read", m.Registered(), false)
	m.renew(context.Background())
	check.Equal(t, "registered", m.Registered(), true)
}
