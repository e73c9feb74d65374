package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"verbenalanding.example/fleet/admission"
	"verbenalanding.example/fleet/claim"
	"verbenalanding.example/fleet/claim/journal"
	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/deferred"
	"verbenalanding.example/fleet/internal/check"
	"verbenalanding.example/fleet/record"
	"verbenalanding.example/fleet/standin"
)

var testSet = &declaration.Set{
	Pools: map[string]declaration.Pool{"desk": {Name: "desk", Instances: 3, Slots: 8, Connections: 64}},
	Services: map[string]declaration.Service{
		"sizeMatch":    {Name: "sizeMatch", Pool: "desk", Class: declaration.Urgent, Deadline: 2 * time.Second, Repeatable: true, MaxRequest: 1 << 16, MaxAnswer: 1 << 16, Share: 50},
		"tonerReorder": {Name: "tonerReorder", Pool: "desk", Class: declaration.Standard, Deadline: 2 * time.Second, MaxRequest: 1 << 16, MaxAnswer: 1 << 16, Share: 50},
		"uncorrelated": {Name: "uncorrelated", Pool: "desk", Class: declaration.Standard, Deadline: 2 * time.Second, Repeatable: true, CorrelationOptional: true, MaxRequest: 1 << 16, MaxAnswer: 1 << 16},
	},
	Teams: map[string]declaration.Team{"crew": {Name: "crew"}},
}

// fixedConfiguration is a configuration that does not change.
type fixedConfiguration struct{ set *declaration.Set }

func (f fixedConfiguration) Current() (*declaration.Set, uint64, bool) { return f.set, 7, f.set != nil }

// lockedConfiguration is a configuration whose mutex blocks the pools' loops while a test holds it.
type lockedConfiguration struct{ mu sync.Mutex }

func (h *lockedConfiguration) Current() (*declaration.Set, uint64, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return testSet, 7, true
}

var errNoHolder = errors.New("no holder of the shard")

// cluster holds what the entry instances of a test share: the store, backend servers and claim holders.
type cluster struct {
	store    *standin.Store
	log      *standin.ExecutionLog
	backends []*standin.Backend
	holders  [claim.Shards]atomic.Pointer[journal.Holder]
}

// Claim sends the claim to the current holder of the shard.
func (c *cluster) Claim(ctx context.Context, r claim.Request) (claim.Answer, error) {
	h := c.holders[claim.ShardOf(r.Service, r.KeyHash)].Load()
	if h == nil {
		return claim.Answer{}, errNoHolder
	}
	return h.Claim(ctx, r), nil
}

// Finish reports to the current holder of the shard.
func (c *cluster) Finish(_ context.Context, f claim.Finish) error {
	h := c.holders[claim.ShardOf(f.Service, f.KeyHash)].Load()
	if h == nil {
		return errNoHolder
	}
	return h.Finish(f)
}

// background runs a function until the test ends.
func background(t testing.TB, run func(context.Context) error) context.CancelFunc {
	t.Helper()
	return check.Background(t, run, nil, context.Canceled, record.ErrFenced)
}

func newCluster(t testing.TB, backends int) *cluster {
	c := &cluster{store: standin.NewStore(), log: &standin.ExecutionLog{}}
	for range backends {
		c.addBackend(t)
	}
	for shard := range claim.Shards {
		c.hold(t, shard, 1)
	}
	return c
}

func (c *cluster) addBackend(t testing.TB) {
	b := &standin.Backend{Log: c.log, SlowFor: 300 * time.Millisecond}
	check.NoError(t, b.Listen())
	background(t, b.Run)
	c.backends = append(c.backends, b)
}

func (c *cluster) hold(t testing.TB, shard int, epoch record.Epoch) {
	h := &journal.Holder{Store: c.store, Shard: shard, Epoch: epoch}
	background(t, h.Run)
	c.holders[shard].Store(h)
}

func (c *cluster) instances() []record.Instance {
	var all []record.Instance
	for n, b := range c.backends {
		all = append(all, record.Instance{ID: fmt.Sprint("i", n), Pool: "desk", State: stateInService, Addr: b.Addr()})
	}
	return all
}

// entryTest is an entry instance with its address.
type entryTest struct {
	*Entry
	url  string
	stop context.CancelFunc
	done chan struct{}
}

func (c *cluster) start(t testing.TB, change func(*Entry)) *entryTest {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check.NoError(t, err)
	e := &Entry{
		ID: l.Addr().String(), Configuration: fixedConfiguration{testSet}, Claims: c, Store: c.store, Listener: l,
		Deferred: &deferred.Acceptor{Store: c.store}, Alone: func() bool { return true }, LeaveDelay: 50 * time.Millisecond,
	}
	if change != nil {
		change(e)
	}
	e.SetInstances(c.instances())
	done := make(chan struct{})
	stop := background(t, func(ctx context.Context) error {
		defer close(done)
		return e.Run(ctx)
	})
	// The server's shutdown waits 5 s for connections on which no request was sent.
	t.Cleanup(http.DefaultClient.CloseIdleConnections)
	for e.poolLoop("desk") == nil {
		time.Sleep(time.Millisecond)
	}
	return &entryTest{Entry: e, url: "http://" + l.Addr().String(), stop: stop, done: done}
}

// answer is the response that a caller receives.
type answer struct {
	status  int
	body    string
	id      string
	outcome string
	problem Problem
}

func (e *entryTest) call(service, key, body string, headers ...string) answer {
	return e.callContext(context.Background(), service, key, body, headers...)
}

func (e *entryTest) callContext(ctx context.Context, service, key, body string, headers ...string) answer {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, e.url+"/v1/services/"+service, bytes.NewReader([]byte(body)))
	if err != nil {
		return answer{}
	}
	r.Header.Set(headerClass, "deferrable")
	r.Header.Set(headerTeam, "crew")
	if key != "" {
		r.Header.Set(headerKey, key)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return answer{body: err.Error()}
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	if err != nil {
		return answer{body: err.Error()}
	}
	a := answer{status: response.StatusCode, body: string(content), id: response.Header.Get(headerRequestID), outcome: response.Header.Get(headerOutcome)}
	if response.Header.Get("Content-Type") == "application/problem+json" {
		_ = json.Unmarshal(content, &a.problem)
	}
	return a
}

// Guards against forwarding any part of a faulty response to a caller, and against reporting a wrong outcome.
func TestBackendFaults(t *testing.T) {
	c := newCluster(t, 1)
	e := c.start(t, nil)
	cases := []struct {
		fault   standin.BackendFault
		outcome claim.Outcome
		reason  string
	}{
		{standin.Healthy, claim.Completed, ""},
		{standin.Truncated, claim.Unknown, reasonResponseIncomplete},
		{standin.TruncatedChunks, claim.Unknown, reasonResponseIncomplete},
		{standin.Unframed, claim.Unknown, reasonResponseIncomplete},
		{standin.WrongResponse, claim.Unknown, reasonResponseMismatch},
		{standin.Oversized, claim.Unknown, reasonResponseTooLarge},
		{standin.OversizedLength, claim.Unknown, reasonResponseTooLarge},
		{standin.Refusing, claim.Unknown, reasonBackendRefused},
		{standin.ClosedBefore, claim.Unknown, reasonResponseIncomplete},
		{standin.ClosedAfter, claim.Unknown, reasonResponseIncomplete},
		{standin.Hanging, claim.Unknown, reasonBackendTimeout},
		{standin.DuplicatedResponse, claim.Completed, ""},
		{standin.Healthy, claim.Completed, ""},
	}
	for n, k := range cases {
		c.backends[0].PushFaults(k.fault)
		key := fmt.Sprint("key", n)
		a := e.call("tonerReorder", key, key, headerDeadline, "500")
		check.Equal(t, string(k.fault)+" outcome", a.outcome, string(k.outcome))
		check.Equal(t, string(k.fault)+" reason", a.problem.Reason, k.reason)
		if k.outcome == claim.Completed {
			check.Equal(t, "response", a.body, a.id+":"+key)
		}
		again := e.call("tonerReorder", key, key)
		check.Equal(t, string(k.fault)+" repeated", again.problem.Reason, reasonDuplicate)
		check.True(t, "runs at most once", c.log.KeyRuns("tonerReorder", key) <= 1)
	}
}

// Guards against failing a repeatable request whose connection was lost after it ran instead of retrying it.
func TestRetryAfterLostResponse(t *testing.T) {
	c := newCluster(t, 2)
	e := c.start(t, nil)
	for range 30 {
		check.Equal(t, "warm up", e.call("sizeMatch", "", "x").status, 200)
	}
	c.backends[0].PushFaults(standin.ClosedAfter)
	c.backends[1].PushFaults(standin.ClosedAfter)
	for range 3 {
		a := e.call("sizeMatch", "", "x")
		check.Equal(t, "outcome", a.outcome, string(claim.Completed))
	}
}

// Guards against sending a request on a connection that the backend server has closed while it was idle, which would leave
// the outcome of a non-repeatable request unknown, and against sending the request twice.
func TestClosedIdleConnection(t *testing.T) {
	c := newCluster(t, 1)
	e := c.start(t, nil)
	for n := range 5 {
		check.Equal(t, "outcome", e.call("tonerReorder", fmt.Sprint(n), "x").outcome, string(claim.Completed))
		time.Sleep(5 * time.Millisecond)
		c.backends[0].CloseIdle()
		time.Sleep(5 * time.Millisecond)
	}
	check.Equal(t, "executions", c.log.Len(), 5)
}

// Guards against a claim that is not released when no backend server can be reached and the outcome is notRun.
func TestUnreachableBackendReleasesClaim(t *testing.T) {
	c := newCluster(t, 1)
	e := c.start(t, nil)
	reachable := c.instances()
	unreachable := c.instances()
	unreachable[0].Addr = netip.MustParseAddrPort("127.0.0.1:1")
	e.SetInstances(unreachable)
	a := e.call("tonerReorder", "k", "x")
	check.Equal(t, "reason", a.problem.Reason, reasonBackendUnreachable)
	check.Equal(t, "outcome", a.outcome, outcomeNotRun)
	e.SetInstances(reachable)
	time.Sleep(50 * time.Millisecond)
	check.Equal(t, "outcome at a reachable address", e.call("tonerReorder", "k", "x").outcome, string(claim.Completed))
}

// Guards against reporting notRun after an attempt that may have run, when a further attempt was refused.
func TestRefusedRetryKeepsUnknownOutcome(t *testing.T) {
	c := newCluster(t, 2)
	e := c.start(t, nil)
	// The first attempt goes to either backend server; with 60 rounds, the case occurs in all but one of 2^60 runs.
	const minRounds, maxRounds = 12, 60
	ranUnanswered := 0
	for round := 0; round < minRounds || (ranUnanswered == 0 && round < maxRounds); round++ {
		c.backends[0].SetFault(standin.Healthy)
		c.backends[1].SetFault(standin.Healthy)
		// Under load the router may have ejected a backend server as slow; it returns after a second or more.
		const returnLimit = 10 * time.Second
		before, end := c.backends[0].Runs(), time.Now().Add(returnLimit)
		for n := 0; n < 25 || (c.backends[0].Runs() == before && time.Now().Before(end)); n++ {
			check.Equal(t, "without faults", e.call("sizeMatch", "", "x").status, 200)
		}
		c.backends[1].SetFault(standin.Refusing)
		c.backends[0].SetFault(standin.Refusing)
		c.backends[0].PushFaults(standin.ClosedAfter)
		a := e.call("sizeMatch", "", "x")
		if c.log.RequestRuns(a.id) > 0 {
			ranUnanswered++
			check.Equal(t, "outcome of a request that ran", a.outcome, string(claim.Unknown))
		}
	}
	check.True(t, "the case occurred", ranUnanswered > 0)
}

// Guards against two executions of a key that reaches several entry instances at the same time.
func TestConcurrentRequestsRunOncePerKey(t *testing.T) {
	c := newCluster(t, 2)
	entries := []*entryTest{c.start(t, nil), c.start(t, nil), c.start(t, nil)}
	var g errgroup.Group
	var completed atomic.Int64
	for n := range 60 {
		g.Go(func() error {
			a := entries[n%3].call("tonerReorder", fmt.Sprint("key", n/6), "x")
			if a.status == http.StatusOK {
				completed.Add(1)
			}
			return nil
		})
	}
	check.NoError(t, g.Wait())
	check.Equal(t, "completed", completed.Load(), int64(10))
	check.Equal(t, "executions", c.log.Len(), 10)
}

// Guards against a refused connection that counts as a backend server without capacity: it tells that the process is gone, and nothing was sent.
func TestRefusedConnectionIsAFailure(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	check.NoError(t, err)
	addr := netip.MustParseAddrPort(l.Addr().String())
	b := &backend{addr: addr, host: addr.String()}
	check.NoError(t, l.Close())
	a := b.do(t.Context(), &backendRequest{deadline: time.Now().Add(time.Second)})
	check.Equal(t, "result", a.result, admission.Failed)
	check.Equal(t, "sent", a.sent, false)
}
