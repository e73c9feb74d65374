package entry

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"

	"verbenalanding.example/fleet/claim"
	"verbenalanding.example/fleet/claim/journal"
	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/deferred"
	"verbenalanding.example/fleet/record"
	"verbenalanding.example/fleet/standin"
	"verbenalanding.example/fleet/store"
)

// caseScope is a testing.TB whose clean-up functions run at the end of one fuzz case.
type caseScope struct {
	testing.TB
	cleanups []func()
	stops    []context.CancelFunc
}

func (s *caseScope) Cleanup(f func()) { s.cleanups = append(s.cleanups, f) }

func (s *caseScope) close() {
	http.DefaultClient.CloseIdleConnections()
	for _, stop := range s.stops {
		stop()
	}
	for _, f := range slices.Backward(s.cleanups) {
		f()
	}
}

// background runs a function until the case ends; all functions are stopped before any is waited for.
func (s *caseScope) background(run func(context.Context) error) {
	s.stops = append(s.stops, background(s, run))
}

// breakableConnection is the connection of one entry instance to the store and the claim holders; disconnecting it
// simulates a killed process.
type breakableConnection struct {
	store.Store
	*fuzzFixture
	disconnected atomic.Bool
}

func (s *breakableConnection) Get(ctx context.Context, key string) (store.Entry, error) {
	if s.disconnected.Load() {
		// A killed process reads nothing; this error ends its attempts without waiting for the store.
		return store.Entry{}, store.ErrNotFound
	}
	return s.Store.Get(ctx, key)
}

func (s *breakableConnection) Put(ctx context.Context, r store.PutRequest) (store.Revision, error) {
	if s.disconnected.Load() {
		return 0, store.ErrUnavailable
	}
	return s.Store.Put(ctx, r)
}

func (s *breakableConnection) List(ctx context.Context, prefix, from string, limit int) (store.Page, error) {
	if s.disconnected.Load() {
		return store.Page{}, store.ErrUnavailable
	}
	return s.Store.List(ctx, prefix, from, limit)
}

func (s *breakableConnection) Watch(ctx context.Context, prefix string, after store.Revision, wait time.Duration) (store.Batch, error) {
	b, err := s.Store.Watch(ctx, prefix, after, wait)
	if s.disconnected.Load() {
		return store.Batch{}, store.ErrUnavailable
	}
	return b, err
}

// Claim sends the claim to the current or the previous holder of the shard, like an entry instance with an outdated list of
// duties.
func (s *breakableConnection) Claim(ctx context.Context, r claim.Request) (claim.Answer, error) {
	h := s.anyHolder(claim.ShardOf(r.Service, r.KeyHash))
	if s.disconnected.Load() || h == nil {
		return claim.Answer{}, errNoHolder
	}
	a := h.Claim(ctx, r)
	if s.disconnected.Load() {
		return claim.Answer{}, errNoHolder
	}
	return a, nil
}

func (s *breakableConnection) Finish(_ context.Context, f claim.Finish) error {
	h := s.anyHolder(claim.ShardOf(f.Service, f.KeyHash))
	if s.disconnected.Load() || h == nil {
		return errNoHolder
	}
	return h.Finish(f)
}

type fuzzEntry struct {
	*entryTest
	connection *breakableConnection
}

// fuzzFixture is one fuzz case: entry instances, backend servers and holders on one store, and the outcomes reported to
// callers.
type fuzzFixture struct {
	*caseScope
	*cluster
	rt      *rapid.T
	set     *declaration.Set
	entries []*fuzzEntry
	records []record.Instance

	drains int
	// abandoned is set once a request may have been abandoned before its backend server began it.
	abandoned bool

	mu           sync.Mutex
	claimHolders [claim.Shards][]*journal.Holder
	epoch        record.Epoch
	// deferredEpoch is incremented by each takeover of a deferred shard.
	deferredEpoch record.Epoch
	notRun        []string
	completed     []string
	accepted      []string
	wrongBodies   []string
}

func newFuzzFixture(rt *rapid.T, t *testing.T) *fuzzFixture {
	w := &fuzzFixture{caseScope: &caseScope{TB: t}, rt: rt, set: fuzzSet()}
	w.cluster = &cluster{store: standin.NewStore(), log: &standin.ExecutionLog{}}
	for range 3 {
		b := &standin.Backend{Log: w.log, ServiceTime: time.Millisecond, SlowFor: 100 * time.Millisecond}
		if err := b.Listen(); err != nil {
			t.Fatal(err)
		}
		w.background(b.Run)
		w.backends = append(w.backends, b)
	}
	w.records = w.instances()
	w.takeOver()
	for range 3 {
		w.addEntry()
	}
	for shard := range deferred.Shards {
		w.holdDeferred(shard)
	}
	return w
}

func fuzzSet() *declaration.Set {
	set := *testSet
	set.Services = map[string]declaration.Service{}
	for name, s := range testSet.Services {
		s.Deadline = 400 * time.Millisecond
		set.Services[name] = s
	}
	return &set
}

// takeOver starts new claim holders while the previous ones continue, as after a lease was lost during a pause.
func (w *fuzzFixture) takeOver() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.epoch++
	for shard := range claim.Shards {
		h := &journal.Holder{Store: w.store, Shard: shard, Epoch: w.epoch}
		w.background(h.Run)
		w.claimHolders[shard] = append(w.claimHolders[shard], h)
	}
}

func (w *fuzzFixture) anyHolder(shard int) *journal.Holder {
	w.mu.Lock()
	defer w.mu.Unlock()
	holders := w.claimHolders[shard]
	return holders[len(holders)-1-rand.IntN(min(2, len(holders)))]
}

func (w *fuzzFixture) addEntry() {
	connection := &breakableConnection{Store: w.store, fuzzFixture: w}
	e := w.start(w, func(e *Entry) {
		e.Configuration, e.Claims, e.Store = fixedConfiguration{w.set}, connection, connection
		e.Deferred = &deferred.Acceptor{Store: connection}
		e.LeaveDelay = time.Millisecond
	})
	e.SetInstances(w.records)
	w.entries = append(w.entries, &fuzzEntry{entryTest: e, connection: connection})
}

func (w *fuzzFixture) holdDeferred(shard int) {
	w.deferredEpoch++
	e := w.entries[shard%len(w.entries)]
	h := &deferred.Holder{
		Store: e.connection, Shard: shard, Epoch: w.deferredEpoch, Executor: e.Entry, LossMargin: 100 * time.Millisecond,
		Queue: deferred.Queue{FirstBackoff: 20 * time.Millisecond},
	}
	w.background(h.Run)
}

// recordOutcome records the outcome that was reported to the caller of a synchronous request.
func (w *fuzzFixture) recordOutcome(a answer, body string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case a.status == 0:
	case a.outcome == outcomeNotRun:
		w.notRun = append(w.notRun, a.id)
	case a.status == http.StatusOK && a.problem.Type == "":
		w.completed = append(w.completed, a.id)
		if a.body != a.id+":"+body {
			w.wrongBodies = append(w.wrongBodies, fmt.Sprintf("request %s got %q, want its own body %q", a.id, a.body, body))
		}
	}
}

var faults = []standin.BackendFault{
	standin.Slow, standin.Truncated, standin.TruncatedChunks, standin.WrongResponse, standin.DuplicatedResponse, standin.Oversized,
	standin.OversizedLength, standin.Refusing, standin.Unframed, standin.ClosedBefore, standin.ClosedAfter, standin.Failing, standin.Hanging,
}

// sendRequests sends a few concurrent requests; they share keys, so that claims race.
func (w *fuzzFixture) sendRequests(rt *rapid.T) { w.sendRequestsWithKeys(rt, "k") }

func (w *fuzzFixture) sendRequestsWithKeys(rt *rapid.T, prefix string) {
	type request struct {
		entry        int
		service, key string
		cancel       time.Duration
	}
	draw := rapid.Custom(func(rt *rapid.T) request {
		return request{
			entry:   rapid.IntRange(0, 2).Draw(rt, "entry"),
			service: rapid.SampledFrom([]string{"sizeMatch", "tonerReorder", "tonerReorder"}).Draw(rt, "service"),
			key:     fmt.Sprint(prefix, rapid.IntRange(0, 8).Draw(rt, "key")),
			cancel:  time.Duration(rapid.IntRange(0, 40).Draw(rt, "cancel")) * time.Millisecond,
		}
	})
	var g errgroup.Group
	for _, r := range rapid.SliceOfN(draw, 1, 6).Draw(rt, "requests") {
		w.abandoned = w.abandoned || r.cancel > 30*time.Millisecond
		g.Go(func() error {
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			if r.cancel > 30*time.Millisecond {
				ctx, stop = context.WithTimeout(ctx, r.cancel-30*time.Millisecond)
				defer stop()
			}
			w.recordOutcome(w.entries[r.entry].callContext(ctx, r.service, r.key, r.key), r.key)
			return nil
		})
	}
	_ = g.Wait()
}

func (w *fuzzFixture) deferWork(rt *rapid.T) {
	key := fmt.Sprint("d", rapid.IntRange(0, 20).Draw(rt, "key"))
	service := rapid.SampledFrom([]string{"sizeMatch", "tonerReorder"}).Draw(rt, "service")
	a := w.entries[rapid.IntRange(0, 2).Draw(rt, "entry")].call(service+"/deferred", key, key)
	if a.status == http.StatusAccepted {
		w.accepted = append(w.accepted, deferred.NewID(service, key))
	}
}

func (w *fuzzFixture) breakBackend(rt *rapid.T) {
	b := w.backends[rapid.IntRange(0, 2).Draw(rt, "backend")]
	b.PushFaults(rapid.SliceOfN(rapid.SampledFrom(faults), 1, 3).Draw(rt, "faults")...)
	b.CloseIdle()
	w.abandoned = true
}

func (w *fuzzFixture) breakStore(rt *rapid.T) {
	w.store.SetFaults(rapid.SampledFrom([]standin.StoreFaults{
		{}, {LoseAnswers: 2}, {Down: true}, {Delay: 50 * time.Millisecond},
	}).Draw(rt, "fault"))
}

// kill replaces an entry instance without a graceful shutdown.
func (w *fuzzFixture) kill(rt *rapid.T) {
	n := rapid.IntRange(0, 2).Draw(rt, "entry")
	w.entries[n].connection.disconnected.Store(true)
	w.abandoned = true
	w.addEntry()
	w.entries[n] = w.entries[len(w.entries)-1]
	w.entries = w.entries[:3]
	for shard := n; shard < deferred.Shards; shard += 3 {
		w.holdDeferred(shard)
	}
}

// drain drains an instance, checks that it runs no new request once every entry instance has confirmed, and returns it to
// service.
func (w *fuzzFixture) drain(rt *rapid.T) {
	n := rapid.IntRange(0, 2).Draw(rt, "instance")
	w.records = slices.Clone(w.records)
	w.records[n].State, w.records[n].Drain = "draining", w.records[n].Drain+1
	for _, e := range w.entries {
		e.SetInstances(w.records)
	}
	for _, e := range w.entries {
		want := DrainStatus{Instance: w.records[n].ID, Applied: w.records[n].Drain}
		for began := time.Now(); !slices.Contains(e.DrainStatus(), want); time.Sleep(time.Millisecond) {
			if time.Since(began) > 5*time.Second {
				rt.Fatalf("P7: drain status: got %+v, want %+v within 5 s", e.DrainStatus(), want)
			}
		}
	}
	w.drains++
	keys := fmt.Sprintf("drain%d-", w.drains)
	runsBefore, wasAbandoned := w.backends[n].Runs(), w.abandoned
	w.checkDrained(rt, n, keys)
	// A backend server may begin a request that its caller or a killed entry instance abandoned earlier.
	if got := w.backends[n].Runs(); got != runsBefore && !wasAbandoned {
		rt.Fatalf("P7: runs at a drained instance: got %d, want %d", got, runsBefore)
	}
	w.records = slices.Clone(w.records)
	w.records[n].State = stateInService
	for _, e := range w.entries {
		e.SetInstances(w.records)
	}
}

// leaving takes an instance out of service only by the platform's list.
func (w *fuzzFixture) leaving(rt *rapid.T) {
	n := rapid.IntRange(0, 2).Draw(rt, "instance")
	for _, e := range w.entries {
		e.SetLeaving([]string{w.records[n].ID})
		for !e.applied("desk", e.view.Load().generation) {
			time.Sleep(time.Millisecond)
		}
	}
	w.drains++
	w.checkDrained(rt, n, fmt.Sprintf("leaving%d-", w.drains))
	for _, e := range w.entries {
		e.SetLeaving(nil)
	}
}

// checkDrained sends requests with new keys and checks that none of them reaches the instance.
func (w *fuzzFixture) checkDrained(rt *rapid.T, n int, keys string) {
	w.sendRequestsWithKeys(rt, keys)
	for _, x := range w.log.All() {
		if x.Backend == w.backends[n].Addr() && strings.HasPrefix(x.Key, keys) {
			rt.Fatalf("P6: request %s began after the instance was taken out and ran there", x.RequestID)
		}
	}
}

// awaitAcceptedWork ends the faults and waits until all accepted work has finished.
func (w *fuzzFixture) awaitAcceptedWork(rt *rapid.T) {
	w.store.SetFaults(standin.StoreFaults{})
	deadline := time.Now().Add(40 * time.Second)
	for _, id := range w.accepted {
		for {
			r, err := deferred.Lookup(context.Background(), w.store, id)
			if err == nil && !r.Finished.IsZero() {
				break
			}
			if errors.Is(err, deferred.ErrNotFound) || time.Now().After(deadline) {
				rt.Fatalf("accepted work %s: got state %q, error %v, want a finished record", id, r.State, err)
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
}

func (w *fuzzFixture) verify(rt *rapid.T) {
	for _, text := range w.wrongBodies {
		rt.Fatalf("P3: %s", text)
	}
	for _, id := range w.notRun {
		if n := w.log.RequestRuns(id); n != 0 {
			rt.Fatalf("P4: request %s was refused as notRun: got %d executions, want 0", id, n)
		}
	}
	for _, id := range w.completed {
		if w.log.RequestRuns(id) == 0 {
			rt.Fatalf("P3: request %s was answered as completed: got 0 executions", id)
		}
	}
	for _, x := range w.log.All() {
		if got := w.log.KeyRuns(x.Service, x.Key); x.Service == "tonerReorder" && got > 1 {
			rt.Fatalf("P5: key %s: got %d executions, want at most 1", x.Key, got)
		}
	}
}

// Guards the invariants P3 to P7 on the callers' side under combined faults. A longer run:
// go test ./entry -run TestInvariants -rapid.checks=2000 -timeout 2h
func TestInvariants(t *testing.T) {
	if f := flag.Lookup("rapid.checks"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("4")
		_ = flag.Set("rapid.steps", "20")
	}
	rapid.Check(t, func(rt *rapid.T) {
		w := newFuzzFixture(rt, t)
		defer w.close()
		steps := map[string]func(*rapid.T){
			"calls": w.sendRequests, "callsAgain": w.sendRequests, "defer": w.deferWork, "backend": w.breakBackend, "store": w.breakStore,
			"kill": w.kill, "drain": w.drain, "leaving": w.leaving, "takeOver": func(*rapid.T) { w.takeOver() }, "": w.verify,
		}
		rt.Repeat(steps)
		w.awaitAcceptedWork(rt)
		w.verify(rt)
	})
}
