package daemon

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/platform"
	"verbenalanding.example/fleet/rpc"
	"verbenalanding.example/fleet/standin"
	"verbenalanding.example/fleet/store"
)

// serveStore serves a stand-in's store over TCP and returns its address.
func serveStore(t *testing.T, s *standin.Store) netip.AddrPort {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	server := &rpc.Server{Listener: listener, Handler: store.Serve(s), Sentinels: store.Sentinels()}
	var group errgroup.Group
	group.Go(func() error { return server.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		if err := group.Wait(); err != nil {
			t.Errorf("store server: got %v, want none", err)
		}
	})
	return netip.MustParseAddrPort(listener.Addr().String())
}

func startWithRemoteStore(t *testing.T, s *standin.Site, addr netip.AddrPort, id string, peers ...netip.AddrPort) *process {
	t.Helper()
	return startWithStore(t, s, store.NewRemote(addr), id, peers...)
}

// Guards invariant P8: a process that replaces another one during a store outage starts from its peers and serves, no process reverts
// to an earlier revision, and after the outage a new change is in force everywhere within 10 s.
func TestReplacementDuringStoreOutage(t *testing.T) {
	s := startSite(t)
	addr := serveStore(t, s.Store)
	applySample(t, s.Store)
	first, second, third := startWithRemoteStore(t, s, addr, "e1"), startWithRemoteStore(t, s, addr, "e2"), startWithRemoteStore(t, s, addr, "e3")
	defer first.stop(t)
	defer second.stop(t)
	eventually(t, "pools are filled", 20*time.Second, func() bool { return inService(t, s.Store)["fittingDesk"] == 9 })
	eventually(t, "all ready", 10*time.Second, func() bool { return ready(first) && ready(second) && ready(third) })
	apply(t, s.Store, "second", raiseTeamRate("cutting"))
	eventually(t, "second revision everywhere", 10*time.Second, func() bool {
		return first.Revision() == 2 && second.Revision() == 2 && third.Revision() == 2
	})

	s.Store.SetFaults(standin.StoreFaults{Down: true})
	third.stop(t)
	replacement := startWithRemoteStore(t, s, addr, "e4", first.PeerAddr(), second.PeerAddr())
	defer replacement.stop(t)
	eventually(t, "the replacement serves during the outage", 20*time.Second, func() bool { return ready(replacement) })
	if got := replacement.Revision(); got != 2 {
		t.Fatalf("revision of the replacement: got %d, want 2", got)
	}
	status, body, err := call(replacement.CallerAddr(), "sizeMatch", "urgent", "", "hello")
	if err != nil || status != 200 {
		t.Fatalf("call during the outage: got %d %q %v, want 200", status, body, err)
	}
	status, body, err = call(replacement.CallerAddr(), "alterationCharge", "standard", "key-1", "charge")
	if err != nil || status != 503 || s.Executions.KeyRuns("alterationCharge", "key-1") != 0 {
		t.Fatalf("charge during the outage: got %d %q %v, want 503 and no execution", status, body, err)
	}

	s.Store.SetFaults(standin.StoreFaults{})
	apply(t, s.Store, "third", raiseTeamRate("cutting"))
	outageEnd := time.Now()
	for first.Revision() != 3 || second.Revision() != 3 || replacement.Revision() != 3 {
		for _, p := range []*process{first, second, replacement} {
			if got := p.Revision(); got < 2 {
				t.Fatalf("revision after the outage: got %d, want 2 or more", got)
			}
		}
		if time.Since(outageEnd) > 10*time.Second {
			t.Fatalf("revisions 10 s after the outage: got %d, %d, %d, want 3", first.Revision(), second.Revision(), replacement.Revision())
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// raiseTeamRate returns a change that raises a team's rate, so that the next revision differs from the current one.
func raiseTeamRate(team string) func(*declaration.Set) {
	return func(next *declaration.Set) {
		raised := next.Teams[team]
		raised.Rate++
		next.Teams[team] = raised
	}
}

// Guards invariant P6: a backend server that the platform lists as leaving gets no new requests after 5 s, also during a store outage.
func TestLeavingInstanceGetsNoNewRequests(t *testing.T) {
	s := startSite(t)
	applySample(t, s.Store)
	p := start(t, s, "e1")
	defer p.stop(t)
	eventually(t, "pools are filled", 20*time.Second, func() bool { return inService(t, s.Store)["fittingDesk"] == 9 })
	eventually(t, "ready", 10*time.Second, func() bool { return ready(p) })
	leaving := markLeaving(t, s, "fittingDesk")
	s.Store.SetFaults(standin.StoreFaults{Down: true})
	time.Sleep(5 * time.Second)
	before := s.Backend(leaving).Runs()
	for range 40 {
		status, body, err := call(p.CallerAddr(), "sizeMatch", "urgent", "", "hello")
		if err != nil || status != 200 {
			t.Fatalf("call: got %d %q %v, want 200", status, body, err)
		}
	}
	if got := s.Backend(leaving).Runs(); got != before {
		t.Fatalf("requests that ran at the leaving instance: got %d, want %d", got, before)
	}
}

// markLeaving marks an instance of a pool as leaving in the platform's list and returns its id.
func markLeaving(t *testing.T, s *standin.Site, pool string) string {
	t.Helper()
	for _, i := range instances(t, s.Store) {
		if i.Pool != pool {
			continue
		}
		s.Control.Add(platform.Instance{
			ID: i.ID, Addr: i.Addr, Location: i.Location, Capacity: i.Capacity, Status: platform.Leaving, Healthy: true,
		})
		return i.ID
	}
	t.Fatalf("instances of pool %s: got none", pool)
	return ""
}

// Guards invariant P8 and the serving of requests while every store call takes 2 s.
func TestConfigurationChangeAndRequestsWithSlowStore(t *testing.T) {
	s := startSite(t)
	applySample(t, s.Store)
	processes := []*process{start(t, s, "e1"), start(t, s, "e2")}
	for _, p := range processes {
		defer p.stop(t)
	}
	eventually(t, "pools are filled", 20*time.Second, func() bool { return inService(t, s.Store)["billing"] == 11 })
	for _, p := range processes {
		eventually(t, "ready", 10*time.Second, func() bool { return ready(p) })
	}
	s.Store.SetFaults(standin.StoreFaults{Delay: 2 * time.Second})
	defer s.Store.SetFaults(standin.StoreFaults{})
	began := time.Now()
	apply(t, s.Store, "second", raiseTeamRate("cutting"))
	eventually(t, "the change is in force", 10*time.Second, func() bool {
		return processes[0].Revision() == 2 && processes[1].Revision() == 2
	})
	t.Logf("in force after %s", time.Since(began))
	for _, p := range processes {
		status, body, err := call(p.CallerAddr(), "sizeMatch", "urgent", "", "hello")
		if err != nil || status != 200 {
			t.Fatalf("call: got %d %q %v, want 200", status, body, err)
		}
	}
	status, body, err := call(processes[0].CallerAddr(), "alterationCharge", "standard", "key-1", "charge")
	ran := s.Executions.KeyRuns("alterationCharge", "key-1")
	if err != nil || (status == 200) != (ran == 1) || ran > 1 {
		t.Fatalf("charge: got %d %q %v after %d executions, want 200 after one or a refusal after none", status, body, err, ran)
	}
}
