package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/monotonic"
	"verbenalanding.example/fleet/ring"
	"verbenalanding.example/fleet/workload"
)

// offlinePool returns a pool with machines and a wave, without a store, a platform or other nodes.
func offlinePool() *pool {
	n := &Node{Clock: monotonic.New(), Registry: metrics.NewRegistry(), View: &View{waves: map[string]workload.Wave{}}}
	p := &pool{node: n, name: "cutting", scheduler: &dispatch.Pool{Name: "cutting"}}
	p.scheduler.Begin(n.Clock.Now())
	p.machines, p.upkeeps, p.grants = newMachineTracker(p), newUpkeeps(p), newGrants(p)
	w := workload.Wave{ID: "1", Within: time.Minute, MaxDown: 2}
	for i := range 20 {
		id := fmt.Sprintf("m%d", i)
		p.machines.byID[id] = workload.Machine{ID: id, Pool: []string{"cutting", "spare"}[i%2], State: workload.MachineUp}
		w.Machines = append(w.Machines, id)
	}
	n.View.waves["w"] = w
	n.pools.set(p.name, p)
	return p
}

// Guards against a deadlock of a holder: the planning of a wave, the choice of spare machines, a changed configuration and the registration
// of a worker acquired its locks in different orders.
func TestLocksAreTakenInOneOrder(t *testing.T) {
	p := offlinePool()
	p.planNow = ring.New[struct{}](1)
	n := p.node
	s := sizer{pool: p}
	wave := n.View.Waves()[0]
	configuration := &workload.Configuration{}
	var group errgroup.Group
	const rounds = 20000
	for _, operation := range []func(){
		func() { s.spareMachines("spare", n.Clock.Now(), 3) },
		func() { p.upkeeps.input(wave, n.Clock.Now()) },
		func() { p.upkeeps.evacuateDue(n.Clock.Now()) },
		func() { n.pools.configure(configuration) },
		func() {
			takenOver := n.pools.get(p.name) == p
			p.mu.Lock()
			defer p.mu.Unlock()
			if takenOver {
				p.scheduler.Plan(n.Clock.Now())
			}
			p.machines.registered(workload.Worker{ID: "w", Machine: "m0"})
		},
	} {
		group.Go(func() error {
			for range rounds {
				operation()
			}
			return nil
		})
	}
	ended := make(chan struct{})
	var waiter errgroup.Group
	waiter.Go(func() error {
		_ = group.Wait()
		close(ended)
		return nil
	})
	select {
	case <-ended:
	case <-time.After(30 * time.Second):
		t.Fatal("locks: got a deadlock, want none within 30 s")
	}
}
