package node

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"slices"
	"testing"
	"time"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/workload"
	"verbenalanding.example/platform"
	"verbenalanding.example/platform/wire"
)

// proof is a pool with a worker whose new life was heard, and evidence about the one before.
type proof struct {
	*succession
	worker workload.Worker
}

func newProof(t *testing.T) *proof {
	t.Helper()
	p := &proof{succession: newSuccession(t)}
	p.pool.node.Workers = &platform.Workers{Client: platform.NewClient()}
	p.pool.machines = newMachineTracker(p.pool)
	p.worker = workload.Worker{ID: "w", Machine: "m", Pool: "cutting", Capacity: workload.Resources{CPU: 1000}}
	return p
}

// hear has the pool hear a life of the worker.
func (p *proof) hear(born time.Time, addr netip.AddrPort) {
	now := p.pool.node.Clock.Now()
	p.worker.Incarnation, p.worker.Addr = born.UnixMilli(), addr
	p.pool.mu.Lock()
	defer p.pool.mu.Unlock()
	p.pool.core.SetWorker(p.worker, now)
	p.pool.core.Report("w", workload.Report{Incarnation: p.worker.Incarnation, Clock: time.Millisecond}, now)
}

// list has the list of machines show the worker's machine without it.
func (p *proof) list() time.Time {
	now := p.pool.node.Clock.Now()
	p.pool.machines.list["m"] = workload.Machine{ID: "m", Pool: "cutting", State: workload.MachineUp, Worker: "earlier"}
	p.pool.machines.listed = now
	return now
}

func (p *proof) wantAlive() {
	p.t.Helper()
	if got := p.pool.core.WorkerIDs(); !slices.Contains(got, "w") {
		p.t.Errorf("workers: got %v, want the new life of w among them", got)
	}
}

// Guards against runs of a worker's new life that are taken for ended since another worker answers a hold at the address of the earlier life.
func TestAnswerAtTheAddressOfAnEarlierLife(t *testing.T) {
	p := newProof(t)
	addr := serve(t, func(w http.ResponseWriter, _ *http.Request) {
		p.hear(time.Now(), netip.MustParseAddrPort("127.0.0.1:9"))
		w.WriteHeader(http.StatusMisdirectedRequest)
	})
	p.hear(time.Now().Add(-time.Minute), addr)
	p.pool.holdOnce(p.ctx, p.pool.core.NextHold("w", p.pool.node.Clock.Now()), 0)
	p.wantAlive()
}

// Guards against runs of a worker's new life that are taken for ended since a list of machines was asked for about the earlier life.
func TestListAskedForAboutAnEarlierLife(t *testing.T) {
	p := newProof(t)
	p.hear(time.Now().Add(-time.Minute), netip.AddrPort{})
	unresponsive := []dispatch.WorkerIncarnation{{Worker: p.worker}}
	asked := p.list()
	p.hear(time.Now(), netip.AddrPort{})
	p.pool.dropListedAsEnded(unresponsive, asked)
	p.wantAlive()
}

// Guards against runs of a worker that are taken for ended after an upkeep order that was carried out before: the list of machines may show an
// earlier life of the machine, and may be answered after a new life was heard.
func TestRepeatedUpkeepOrderEndsNoNewLife(t *testing.T) {
	for _, c := range []struct {
		name string
		// age is that of the life that the machine had when the order was given.
		age  time.Duration
		born bool
	}{
		{"the life is younger than the list may be", 0, false},
		{"a new life is heard before the list", time.Minute, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newProof(t)
			p.hear(time.Now().Add(-c.age), netip.AddrPort{})
			p.listWith(func() wire.Machine {
				if c.born {
					p.hear(time.Now(), netip.AddrPort{})
				}
				return wire.Machine{Machine: "m", Pool: "cutting", State: "up", ID: "earlier"}
			})
			p.confirmEnd()
			p.wantAlive()
			p.wantUsed()
		})
	}
}

// Guards against tasks that wait for the end of a lease although an upkeep has ended their worker.
func TestUpkeepEndsTheLifeOfItsMachine(t *testing.T) {
	p := newProof(t)
	p.hear(time.Now().Add(-time.Minute), netip.AddrPort{})
	p.listWith(func() wire.Machine { return wire.Machine{Machine: "m", Pool: "cutting", State: "upkeep"} })
	p.confirmEnd()
	if got := p.pool.core.WorkerIDs(); len(got) != 0 {
		t.Errorf("workers: got %v, want none", got)
	}
}

// listWith has the platform answer a list of machines with one.
func (p *proof) listWith(machine func() wire.Machine) {
	addr := serve(p.t, func(w http.ResponseWriter, _ *http.Request) {
		if err := json.NewEncoder(w).Encode(wire.Machines{Machines: []wire.Machine{machine()}}); err != nil {
			p.t.Errorf("list of machines: got %v, want none", err)
		}
	})
	p.pool.node.Machines = &platform.Machines{Client: platform.NewClient(), Addr: addr}
}

// settle has an upkeep order be accepted for the present life of the worker, which gets no starts since.
func (p *proof) confirmEnd() {
	p.t.Helper()
	life, known := p.pool.core.CurrentIncarnation("w")
	if !known {
		p.t.Fatalf("life of w: got none, want one")
	}
	p.pool.core.Cordon("w", true)
	newUpkeeps(p.pool).confirmEnd(p.ctx, life)
}

// wantUsed checks that the worker gets starts.
func (p *proof) wantUsed() {
	p.t.Helper()
	now := p.pool.node.Clock.Now()
	seals, _ := p.pool.core.UnresponsiveRecord(now)
	p.pool.core.UnresponsiveRecorded(seals)
	p.pool.core.AddJob(workload.Job{ID: "j", Pool: "cutting", Accepted: now, Steps: []workload.Step{{Tasks: 1}}}, nil, false, now)
	if got := p.pool.core.Plan(now); len(got) != 1 {
		p.t.Errorf("orders: got %v, want a start on w", got)
	}
}
