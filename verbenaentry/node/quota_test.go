package node

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sync/errgroup"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/leadership"
	"verbenalanding.example/fleet/monotonic"
	"verbenalanding.example/fleet/ring"
	"verbenalanding.example/fleet/store"
	"verbenalanding.example/fleet/workload"
	"verbenalanding.example/platform"
	"verbenalanding.example/platform/standin"
	"verbenalanding.example/platform/wire"
)

const quotaWorkspace = "fitters"

// quotaFixture has holders of pools that share the limit of a workspace, on a stand-in of the store. Workers accept each start and run it for good.
type quotaFixture struct {
	t        *testing.T
	platform *standin.Platform
	group    *errgroup.Group
	ctx      context.Context
	version  int64
	limit    int64
	holders  []*quotaHolder
}

// quotaHolder is a holder of a pool with one large worker.
type quotaHolder struct {
	*pool
	gate *standin.Gate
	ctx  context.Context
	stop context.CancelFunc
	// started is what the tasks that it started need, in cores.
	started atomic.Int64
	ended   *errgroup.Group
	// reporting is set once the worker has reported; the pool's lock guards active, its runs.
	reporting atomic.Bool
	active    []workload.ActiveRun
	began     time.Time
}

func newQuotaFixture(t *testing.T, limit int64) *quotaFixture {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	group, groupCtx := errgroup.WithContext(ctx)
	t.Cleanup(func() {
		cancel()
		_ = group.Wait()
	})
	f := &quotaFixture{t: t, platform: &standin.Platform{Seed: 1}, group: group, ctx: groupCtx, version: 1, limit: limit}
	if err := f.platform.Start(groupCtx, group); err != nil {
		t.Fatalf("start stand-in: got %v, want none", err)
	}
	return f
}

func (f *quotaFixture) configuration() *workload.Configuration {
	return &workload.Configuration{Version: f.version, Workspaces: []workload.Workspace{{Name: quotaWorkspace, Weight: 1, MaxRunning: workload.Resources{CPU: f.limit * 1000}}}}
}

// hold takes the duty of a pool; the workers of a holder that was lost have not reported to the new one.
func (f *quotaFixture) hold(name string, reported bool) *quotaHolder {
	f.t.Helper()
	gate, err := f.platform.OpenGate()
	if err != nil {
		f.t.Fatalf("open gate: got %v, want none", err)
	}
	n := &Node{
		Clock: monotonic.New(), Elector: &leadership.Elector{}, Store: &platform.Store{Client: platform.NewClient(), Addr: gate.Addr}, StoreTimeout: &storeTimeout{},
		Registry: metrics.NewRegistry(),
	}
	p := &pool{node: n, name: name, planNow: ring.New[struct{}](1)}
	revision, _, err := n.Store.Apply(f.ctx, store.Transaction{Put: []store.Write{{Key: leadership.Prefix + name, Value: []byte("{}")}}})
	if err != nil {
		f.t.Fatalf("take duty: got %v, want none", err)
	}
	p.fence = uint64(revision)
	p.scheduler = &dispatch.Pool{Name: name, Epoch: p.fence}
	p.scheduler.Begin(n.Clock.Now())
	p.grants = newGrants(p)
	p.configure(f.configuration())
	now := n.Clock.Now()
	p.scheduler.SetWorker(workload.Worker{ID: "w-" + name, Pool: name, Capacity: workload.Resources{CPU: 1e6, MemoryMB: 1e6}, Incarnation: 1}, now)
	h := &quotaHolder{pool: p, gate: gate, ended: &errgroup.Group{}, began: time.Now()}
	if reported {
		h.report()
	}
	h.ctx, h.stop = context.WithCancel(f.ctx)
	f.holders = append(f.holders, h)
	return h
}

// report has the worker report its runs.
func (h *quotaHolder) report() {
	h.reporting.Store(true)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.scheduler.Report("w-"+h.name, workload.Report{Incarnation: 1, Clock: h.clock(), Active: h.active}, h.node.Clock.Now())
}

// clock is the worker's clock.
func (h *quotaHolder) clock() time.Duration { return time.Minute + time.Since(h.began) }

func (h *quotaHolder) addJob(id string, tasks int) {
	job := workload.Job{ID: id, Pool: h.name, Workspace: quotaWorkspace, Accepted: h.node.Clock.Now(), Steps: []workload.Step{{Tasks: tasks, Need: workload.Resources{CPU: 1000}, Estimate: time.Hour}}}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.scheduler.AddJob(job, nil, false, h.node.Clock.Now())
}

// run follows the grants, decides and plans until the holder is stopped.
func (h *quotaHolder) run() {
	h.pool.group, _ = errgroup.WithContext(h.ctx)
	h.node.pools.set(h.name, h.pool)
	h.ended.Go(func() error {
		h.followGrants(h.ctx)
		for h.ctx.Err() == nil {
			h.grants.step(h.ctx)
			h.plan()
			if h.reporting.Load() {
				h.report()
			}
			time.Sleep(5 * time.Millisecond)
		}
		return h.pool.group.Wait()
	})
}

func (h *quotaHolder) followGrants(ctx context.Context) {
	h.pool.group.Go(func() error { return h.grants.follower().Run(ctx) })
}

// plan starts what may start; the worker accepts all.
func (h *quotaHolder) plan() {
	now := h.node.Clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, a := range h.scheduler.Plan(now) {
		if s, ok := a.(dispatch.Start); ok {
			h.started.Add(1)
			h.active = append(h.active, workload.ActiveRun{Task: s.Task, Run: s.Run, Percent: 100})
			h.scheduler.StartAnswered(s, dispatch.Present, workload.ClockReading{Incarnation: 1, Clock: h.clock()}, now)
		}
	}
}

// halt ends a holder at once.
func (h *quotaHolder) halt() {
	h.stop()
	_ = h.ended.Wait()
}

func (f *quotaFixture) started() (sum int64) {
	for _, h := range f.holders {
		sum += h.started.Load()
	}
	return sum
}

// wantStarted waits until a number of cores is in use, and checks that no more follow.
func (f *quotaFixture) wantStarted(what string, least, most int64) {
	f.t.Helper()
	for end := time.Now().Add(4 * time.Second); f.started() < least && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(200 * time.Millisecond)
	if got := f.started(); got < least || got > most {
		f.t.Errorf("cores in use %s: got %d, want %d to %d", what, got, least, most)
	}
}

// Guards against two holders that both start up to the limit of a workspace at the same moment, and against a limit of which they use a part only.
func TestTwoHoldersShareALimit(t *testing.T) {
	f := newQuotaFixture(t, 40)
	a, b := f.hold("a", true), f.hold("b", true)
	for _, h := range []*quotaHolder{a, b} {
		h.addJob("job-"+h.name, 100)
		h.run()
	}
	f.wantStarted("with demand in both pools", 36, 40)
	for _, h := range []*quotaHolder{a, b} {
		if got := h.started.Load(); got == 0 {
			t.Errorf("cores in use of pool %s: got none, want a part", h.name)
		}
	}
}

// Guards against a limit that is exceeded, or in part lost, when a holder is lost in one of the steps of a grant: before the store has a write, after it
// without an answer, or after it with one.
func TestHolderIsLostInAStepOfAGrant(t *testing.T) {
	for _, c := range []struct {
		name string
		// lose is called before the n-th write of the first holder.
		lose func(h *quotaHolder)
	}{
		{"before a write", func(h *quotaHolder) { h.gate.SetClosed(true) }},
		{"after a write without an answer", func(h *quotaHolder) {
			h.gate.LoseAnswers(func(r *http.Request) bool { return strings.HasPrefix(r.URL.Path, wire.PathTransaction) })
		}},
		{"after a write", func(*quotaHolder) {}},
	} {
		for n := range 4 {
			t.Run(fmt.Sprintf("%s, %d", c.name, n), func(t *testing.T) {
				t.Parallel()
				f := newQuotaFixture(t, 40)
				first, other := f.hold("a", true), f.hold("b", true)
				first.pool.group, _ = errgroup.WithContext(first.ctx)
				first.followGrants(first.ctx)
				first.addJob("old", 15)
				other.addJob("other", 100)
				other.run()
				for step := range 30 {
					if step == 24+n {
						c.lose(first)
						first.addJob("more", 5)
					}
					if step > 24+n {
						break
					}
					first.grants.step(first.ctx)
					first.plan()
					time.Sleep(60 * time.Millisecond)
				}
				first.plan()
				first.halt()
				second := f.hold("a", false)
				second.addJob("new", 100)
				second.run()
				time.Sleep(300 * time.Millisecond)
				if got := second.started.Load(); got != 0 {
					t.Errorf("starts of the successor before the worker reports: got %d, want 0", got)
				}
				if got := f.started(); got > f.limit {
					t.Errorf("cores in use: got %d, want %d at most", got, f.limit)
				}
				// The worker has restarted: what the first holder started has ended.
				first.started.Store(0)
				second.report()
				f.wantStarted("after the worker's report", 36, 40)
			})
		}
	}
}

// Guards against starts above a grant while the store does not answer, and against a pool that then starts nothing although it has a grant.
func TestStoreIsAway(t *testing.T) {
	f := newQuotaFixture(t, 40)
	a, b := f.hold("a", true), f.hold("b", true)
	a.addJob("a", 4)
	b.addJob("b", 4)
	a.run()
	b.run()
	f.wantStarted("before", 8, 8)
	a.gate.SetClosed(true)
	b.gate.SetClosed(true)
	a.addJob("more", 100)
	// The second pool to ask holds at least a quarter of the limit.
	f.wantStarted("while the store is away", 4+10, 40)
	before := f.started()
	a.gate.SetClosed(false)
	b.gate.SetClosed(false)
	f.wantStarted("afterwards", max(before, 36), 40)
}

// Guards against starts above a limit that was halved under load, and against a limit that is not used once it is doubled again.
func TestLimitIsHalvedUnderLoad(t *testing.T) {
	f := newQuotaFixture(t, 40)
	a, b := f.hold("a", true), f.hold("b", true)
	for _, h := range f.holders {
		h.addJob("job-"+h.name, 200)
		h.run()
	}
	f.wantStarted("before", 36, 40)
	before := f.started()
	f.version, f.limit = 2, 20
	a.configure(f.configuration())
	time.Sleep(100 * time.Millisecond)
	b.configure(f.configuration())
	time.Sleep(500 * time.Millisecond)
	if got := f.started(); got != before {
		t.Errorf("cores in use under the lower limit: got %d, want %d", got, before)
	}
	f.version, f.limit = 3, 80
	a.configure(f.configuration())
	b.configure(f.configuration())
	f.wantStarted("under the higher limit", 72, 80)
}

// Guards against calls to the store, and records, of a configuration without limits.
func TestNoLimitMakesNoCalls(t *testing.T) {
	f := newQuotaFixture(t, 0)
	h := f.hold("a", true)
	h.addJob("a", 5)
	before := f.platform.Store.Calls()
	ctx, cancel := context.WithTimeout(f.ctx, 300*time.Millisecond)
	defer cancel()
	h.pool.group, _ = errgroup.WithContext(ctx)
	if err := h.grants.run(ctx); err != nil {
		t.Errorf("grants: got %v, want none", err)
	}
	h.plan()
	if got := h.started.Load(); got != 5 {
		t.Errorf("starts: got %d, want 5", got)
	}
	for mechanism, calls := range f.platform.Store.Calls() {
		if calls != before[mechanism] {
			t.Errorf("calls %s: got %d, want none", mechanism, calls-before[mechanism])
		}
	}
}
