package soak

import (
	"context"
	"net/netip"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"verbenalanding.example/platform/standin"
)

// Guards against a run that hangs: a configuration waits for the lock under which the stand-in starts a worker, and that start for the lock of the
// run.
func TestConfigurationBesideAWorkerThatStarts(t *testing.T) {
	var group errgroup.Group
	s := &Soak{}
	s.platform = &standin.Platform{Seed: 1, Pools: map[string]int{pools[0]: 1}, Tick: time.Millisecond}
	configured := false
	s.platform.AdvertisedAddr = func(addr netip.AddrPort) (netip.AddrPort, error) {
		if configured {
			return addr, nil
		}
		configured = true
		group.Go(func() error {
			s.configure()
			return nil
		})
		// The configuration waits for the stand-in's lock by then.
		time.Sleep(50 * time.Millisecond)
		if !s.mu.TryLock() {
			t.Errorf("lock of the run while the stand-in is called: got held, want free")
			return addr, nil
		}
		s.mu.Unlock()
		return addr, nil
	}
	ctx, cancel := context.WithCancel(t.Context())
	var running errgroup.Group
	if err := s.platform.Start(ctx, &running); err != nil {
		t.Fatalf("start: got %v, want none", err)
	}
	t.Cleanup(func() {
		cancel()
		_ = running.Wait()
	})
	if err := group.Wait(); err != nil {
		t.Errorf("configuration: got %v, want none", err)
	}
}
