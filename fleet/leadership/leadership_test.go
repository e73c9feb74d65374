package leadership_test

import (
	"cmp"
	"context"
	"errors"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"verbenalanding.example/fleet/leadership"
	"verbenalanding.example/fleet/monotonic"
	"verbenalanding.example/fleet/store"
)

// memory is an in-memory store with one lease for each node.
type memory struct {
	store.Transactor

	mu       sync.Mutex
	entries  map[string]store.Entry
	events   []store.Event
	revision store.Revision
	leases   map[store.LeaseID]bool
	next     store.LeaseID
	// rejected holds the leases whose calls are rejected.
	rejected map[store.LeaseID]bool
	// down rejects all calls; watchSilent makes watches return no changes.
	down, watchSilent bool
}

func newMemory() *memory {
	return &memory{entries: map[string]store.Entry{}, leases: map[store.LeaseID]bool{}, rejected: map[store.LeaseID]bool{}, revision: 1}
}

func (m *memory) List(_ context.Context, prefix, _ string, _ int) (store.Page, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	page := store.Page{Revision: m.revision}
	for key, e := range m.entries {
		if strings.HasPrefix(key, prefix) {
			page.Entries = append(page.Entries, e)
		}
	}
	return page, nil
}

func (m *memory) Watch(ctx context.Context, _ string, after store.Revision, _ time.Duration) (store.Batch, error) {
	select {
	case <-ctx.Done():
		return store.Batch{}, store.ErrUnavailable
	case <-time.After(5 * time.Millisecond):
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.watchSilent {
		return store.Batch{Revision: after}, nil
	}
	batch := store.Batch{Revision: m.revision}
	for _, e := range m.events {
		if e.Entry.Revision > after {
			batch.Events = append(batch.Events, e)
		}
	}
	return batch, nil
}

func (m *memory) Get(_ context.Context, key string) (store.Entry, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return store.Entry{}, store.ErrRefused
	}
	e, ok := m.entries[key]
	if !ok {
		return store.Entry{}, store.ErrNotFound
	}
	return e, nil
}

func (m *memory) Apply(_ context.Context, t store.Transaction) (store.Revision, []store.Entry, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down {
		return 0, nil, store.ErrRefused
	}
	for _, w := range t.Put {
		if m.rejected[w.Lease] {
			return 0, nil, store.ErrRefused
		}
	}
	for _, c := range t.If {
		if m.entries[c.Key].Revision != c.Revision {
			return 0, []store.Entry{m.entries[c.Key]}, store.ErrConflict
		}
	}
	m.revision++
	for _, w := range t.Put {
		e := store.Entry{Key: w.Key, Value: w.Value, Revision: m.revision, Lease: w.Lease}
		m.entries[w.Key] = e
		m.events = append(m.events, store.Event{Entry: e})
	}
	for _, key := range t.Delete {
		delete(m.entries, key)
		m.events = append(m.events, store.Event{Entry: store.Entry{Key: key, Revision: m.revision}, Deleted: true})
	}
	return m.revision, nil, nil
}

func (m *memory) Grant(context.Context, time.Duration) (store.LeaseID, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.next++
	m.leases[m.next] = true
	return m.next, nil
}

func (m *memory) Renew(_ context.Context, id store.LeaseID) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.down || m.rejected[id] {
		return store.ErrRefused
	}
	if !m.leases[id] {
		return store.ErrLeaseExpired
	}
	return nil
}

func (m *memory) Revoke(_ context.Context, id store.LeaseID) error {
	m.expireLease(id)
	return nil
}

// expireLease ends a lease and deletes its keys.
func (m *memory) expireLease(id store.LeaseID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.leases, id)
	for key, e := range m.entries {
		if e.Lease == id {
			m.revision++
			delete(m.entries, key)
			m.events = append(m.events, store.Event{Entry: store.Entry{Key: key, Revision: m.revision}, Deleted: true})
		}
	}
}

// rejectNode rejects the calls under the lease of a registered node.
func (m *memory) rejectNode(node string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rejected[m.entries["control/node/"+node].Lease] = true
}

// rejectAll rejects all calls.
func (m *memory) rejectAll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = true
}

// acceptAll ends rejectAll.
func (m *memory) acceptAll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.down = false
}

// term is the time for which a node holds a duty.
type term struct {
	node  string
	fence uint64
	cause error
}

// nodes runs electors on one store and collects their terms.
type nodes struct {
	t      *testing.T
	store  *memory
	group  errgroup.Group
	cancel context.CancelFunc
	ctx    context.Context
	began  chan term
	ended  chan term
	// clockOffset is how far the clocks of all nodes have jumped ahead.
	clockOffset atomic.Int64
	// ttl overrides the lease duration that is passed to build; zero does not.
	ttl time.Duration
	// first is the first term of the nodes of startWithStandbys.
	first term
	// now is the clock of the nodes; a monotonic clock by default.
	now func() time.Time

	mu sync.Mutex
	// pauses holds the nodes that detected a pause.
	pauses map[string]bool
}

func newNodes(t *testing.T) *nodes {
	t.Helper()
	n := &nodes{t: t, store: newMemory(), began: make(chan term, 16), ended: make(chan term, 16), now: monotonic.New().Now, pauses: map[string]bool{}}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	t.Cleanup(func() {
		n.cancel()
		_ = n.group.Wait()
	})
	return n
}

func (n *nodes) start(name string) *leadership.Elector {
	el := n.build(name, 600*time.Millisecond)
	n.run(el)
	return el
}

func (n *nodes) build(name string, ttl time.Duration) *leadership.Elector {
	el := &leadership.Elector{
		Store: n.store, Self: leadership.Member{Node: name, Session: name, Cores: 1}, TTL: cmp.Or(n.ttl, ttl),
		Clock:   func() time.Time { return n.now().Add(time.Duration(n.clockOffset.Load())) },
		OnEvent: func(e leadership.Event) { n.record(name, e) },
	}
	el.OnAcquired = func(ctx context.Context, _ string, fence uint64) error {
		n.began <- term{node: name, fence: fence}
		<-ctx.Done()
		n.ended <- term{name, fence, context.Cause(ctx)}
		return nil
	}
	el.SetDuties([]string{"pool"})
	return el
}

// record logs an event of a node, for the output of a failed test, and records pauses.
func (n *nodes) record(node string, e leadership.Event) {
	n.t.Log(time.Now().Format("05.000"), node, e.Kind, e.Duty, e.Err, e.Fence, e.Former.Node, e.Reason, e.Answers)
	if e.Kind == "process was paused" {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.pauses[node] = true
	}
}

// paused reports whether a node detected a pause.
func (n *nodes) paused(node string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.pauses[node]
}

func (n *nodes) run(el *leadership.Elector) {
	n.group.Go(func() error {
		_ = el.Run(n.ctx)
		return nil
	})
}

func await(t *testing.T, event string, terms <-chan term) term {
	t.Helper()
	return awaitWithin(t, event, terms, 5*time.Second)
}

func awaitWithin(t *testing.T, event string, terms <-chan term, limit time.Duration) term {
	t.Helper()
	select {
	case s := <-terms:
		return s
	case <-time.After(limit):
		t.Fatalf("%s: got none within %v", event, limit)
		return term{}
	}
}

// Guards against a duty that has two holders, or none after its holder has released it.
func TestReleasedDutyIsAcquiredWithAHigherFence(t *testing.T) {
	n := newNodes(t)
	a := n.start("a")
	first := await(t, "first holder", n.began)
	n.start("b")
	if !a.Valid("pool", first.fence) {
		t.Errorf("first holder: got not valid, want valid")
	}
	a.Leave(n.ctx)
	end := await(t, "end of the first term", n.ended)
	if !errors.Is(end.cause, leadership.ErrReleased) {
		t.Errorf("cause: got %v, want %v", end.cause, leadership.ErrReleased)
	}
	second := await(t, "second holder", n.began)
	if second.node != "b" || second.fence <= first.fence {
		t.Errorf("second holder: got %+v, want b with a fence above %d", second, first.fence)
	}
}

// Guards against a holder that continues after its lease may have expired because the store rejects its renewals.
func TestHolderStopsWhenItsRenewalsAreRejected(t *testing.T) {
	n := newNodes(t)
	a := n.start("a")
	first := await(t, "first holder", n.began)
	n.store.mu.Lock()
	n.store.rejected[1] = true
	n.store.mu.Unlock()
	end := await(t, "end of the term", n.ended)
	if !errors.Is(end.cause, leadership.ErrLost) {
		t.Errorf("cause: got %v, want %v", end.cause, leadership.ErrLost)
	}
	if a.Valid("pool", first.fence) {
		t.Errorf("after the end: got valid, want not")
	}
}

// pausingStore is a store that pauses a node while the node waits for the answer to a renewal.
type pausingStore struct {
	*memory
	armed  atomic.Bool
	paused chan struct{}
	pause  func()
}

func (f *pausingStore) Renew(ctx context.Context, id store.LeaseID) error {
	err := f.memory.Renew(ctx, id)
	if f.armed.CompareAndSwap(true, false) {
		f.pause()
		defer close(f.paused)
	}
	return err
}

// Guards against a holder that counts its lease from the answer to a renewal: it may be paused between the request and the answer.
func TestHolderPausedAtARenewalGivesNoMoreOrders(t *testing.T) {
	const ttl = 600 * time.Millisecond
	n := newNodes(t)
	a := n.build("a", ttl)
	var ahead atomic.Int64
	clock := a.Clock
	a.Clock = func() time.Time { return clock().Add(time.Duration(ahead.Load())) }
	s := &pausingStore{memory: n.store, paused: make(chan struct{}), pause: func() { ahead.Store(int64(ttl)) }}
	a.Store = s
	n.run(a)
	first := await(t, "first holder", n.began)
	s.armed.Store(true)
	<-s.paused
	for range 20 {
		if a.Valid("pool", first.fence) {
			t.Fatalf("holder after the pause: got valid, want not valid")
		}
		time.Sleep(5 * time.Millisecond)
	}
	if end := await(t, "end of the term", n.ended); !errors.Is(end.cause, leadership.ErrLost) {
		t.Errorf("cause: got %v, want %v", end.cause, leadership.ErrLost)
	}
}

// Guards against a holder that continues although its key was deleted.
func TestHolderStopsWhenItsKeyIsDeleted(t *testing.T) {
	n := newNodes(t)
	n.start("a")
	first := await(t, "first holder", n.began)
	n.store.expireLease(1)
	await(t, "end of the term", n.ended)
	second := await(t, "second term", n.began)
	if second.fence <= first.fence {
		t.Errorf("second term: got fence %d, want more than %d", second.fence, first.fence)
	}
}
