package node

import (
	"net/http"
	"net/netip"
	"slices"
	"testing"
	"time"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/workload"
	"verbenalanding.example/platform"
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
	p.pool.book = newMachineBook(p.pool)
	p.worker = workload.Worker{ID: "w", Machine: "m", Pool: "cutting", Room: workload.Room{CPU: 1000}}
	return p
}

// hear has the pool hear a life of the worker.
func (p *proof) hear(born time.Time, addr netip.AddrPort) {
	now := p.pool.node.Clock.Now()
	p.worker.Born, p.worker.Addr = born.UnixMilli(), addr
	p.pool.mu.Lock()
	defer p.pool.mu.Unlock()
	p.pool.core.SetWorker(p.worker, now)
	p.pool.core.Report("w", workload.Report{Born: p.worker.Born, Clock: time.Millisecond}, now)
}

// list has the list of machines show the worker's machine without it.
func (p *proof) list() time.Time {
	now := p.pool.node.Clock.Now()
	p.pool.book.list["m"] = workload.Machine{ID: "m", Pool: "cutting", State: workload.MachineUp, Worker: "earlier"}
	p.pool.book.listed = now
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
	unheard := []dispatch.SeenWorker{{Worker: p.worker}}
	asked := p.list()
	p.hear(time.Now(), netip.AddrPort{})
	p.pool.dropListedAbsent(unheard, asked)
	p.wantAlive()
}
