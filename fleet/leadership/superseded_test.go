package leadership_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"verbenalanding.example/fleet/leadership"
	"verbenalanding.example/fleet/store"
)

// cutStore is one node's access to the store; while it is cut, the store refuses each call.
type cutStore struct {
	*memory
	cut atomic.Bool
}

func (c *cutStore) refused() bool {
	if c.cut.Load() {
		time.Sleep(5 * time.Millisecond)
		return true
	}
	return false
}

func (c *cutStore) List(ctx context.Context, prefix, from string, limit int) (store.Page, error) {
	if c.refused() {
		return store.Page{}, store.ErrRefused
	}
	return c.memory.List(ctx, prefix, from, limit)
}

func (c *cutStore) Watch(ctx context.Context, prefix string, after store.Revision, wait time.Duration) (store.Batch, error) {
	if c.refused() {
		return store.Batch{}, store.ErrRefused
	}
	batch, err := c.memory.Watch(ctx, prefix, after, wait)
	if c.cut.Load() {
		return store.Batch{}, store.ErrRefused
	}
	return batch, err
}

func (c *cutStore) Get(ctx context.Context, key string) (store.Entry, error) {
	if c.refused() {
		return store.Entry{}, store.ErrRefused
	}
	return c.memory.Get(ctx, key)
}

func (c *cutStore) Apply(ctx context.Context, t store.Transaction) (store.Revision, []store.Entry, error) {
	if c.refused() {
		return 0, nil, store.ErrRefused
	}
	return c.memory.Apply(ctx, t)
}

func (c *cutStore) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	if c.refused() {
		return 0, store.ErrRefused
	}
	return c.memory.Grant(ctx, ttl)
}

func (c *cutStore) Renew(ctx context.Context, id store.LeaseID) error {
	if c.refused() {
		return store.ErrRefused
	}
	return c.memory.Renew(ctx, id)
}

// supersededFleet runs nodes of which each may be cut from the store; a is the first holder.
type supersededFleet struct {
	*nodes
	net    *network
	access map[string]*cutStore
	a      *leadership.Elector
}

const supersededTTL = 1200 * time.Millisecond

func newSupersededFleet(t *testing.T, names ...string) *supersededFleet {
	t.Helper()
	n := newNodes(t)
	n.ttl = supersededTTL
	f := &supersededFleet{nodes: n, net: newNetwork(), access: map[string]*cutStore{}}
	f.a = f.join("a", "a")
	f.first = await(t, "first holder", n.began)
	for _, name := range names {
		f.join(name, name)
	}
	waitUntil(t, "all nodes are registered", func() bool { return len(f.a.Members()) == len(names)+1 })
	// The holder has seen its standbys, and they monitor it.
	time.Sleep(500 * time.Millisecond)
	return f
}

func (f *supersededFleet) join(name, session string) *leadership.Elector {
	return f.joinWith(name, session, &cutStore{memory: f.store})
}

// joinCut starts a node that does not reach the store.
func (f *supersededFleet) joinCut(name, session string) {
	access := &cutStore{memory: f.store}
	access.cut.Store(true)
	f.joinWith(name, session, access)
}

func (f *supersededFleet) nodeOf(name string) *leadership.Elector {
	f.net.mu.Lock()
	defer f.net.mu.Unlock()
	return f.net.nodes[name]
}

func (f *supersededFleet) joinWith(name, session string, access *cutStore) *leadership.Elector {
	el := f.build(name, 0)
	el.Store, el.Self.Session = access, session
	el.RequestStatus = f.net.requestStatus(name)
	f.net.mu.Lock()
	f.net.nodes[name], f.access[name] = el, access
	f.net.mu.Unlock()
	f.run(el)
	return el
}

// cut cuts nodes from the store, and ends their leases there.
func (f *supersededFleet) cut(names ...string) {
	for _, name := range names {
		f.access[name].cut.Store(true)
	}
	for _, name := range names {
		f.expireNode(name)
	}
}

func (f *supersededFleet) expireNode(name string) {
	f.store.mu.Lock()
	lease := f.store.entries["control/node/"+name].Lease
	f.store.mu.Unlock()
	if lease != 0 {
		f.store.expireLease(lease)
	}
}

// assertSuperseded asserts that a gives no orders once its successor takes them for ended, and does not take its duty for held after the
// successor began.
func (f *supersededFleet) assertSuperseded(t *testing.T, successor term, began time.Time) {
	t.Helper()
	if successor.node == "a" {
		t.Fatalf("successor: got a, want another node")
	}
	for end := began.Add(4 * supersededTTL); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		since := time.Since(began)
		if f.a.Valid("pool", f.first.fence) && since > supersededTTL {
			t.Fatalf("superseded holder %v after its successor began: got valid, want not, within %v", since, supersededTTL)
		}
		if held := f.a.HeldAt("pool", f.first.fence); held.At.After(f.a.Clock().Add(-time.Since(began))) {
			t.Fatalf("superseded holder: got the duty confirmed by the %s %v after its successor began, want no confirmation", held.By, since)
		}
	}
}

// Guards against a superseded holder that goes on, and gives up the runs of unresponsive workers, because nodes that cannot know of its
// successor confirm its duty.
func TestSupersededHolderIsNotConfirmed(t *testing.T) {
	t.Run("by nodes without the successor, whose registration was gone", func(t *testing.T) {
		t.Parallel()
		f := newSupersededFleet(t, "b", "c", "d")
		f.cut("b")
		waitUntil(t, "the registration of b is gone", func() bool { return len(f.a.Members()) == 3 })
		f.access["a"].cut.Store(true)
		f.access["b"].cut.Store(false)
		f.cut("a", "c", "d")
		successor := await(t, "successor", f.began)
		f.assertSuperseded(t, successor, time.Now())
	})
	t.Run("by nodes that do not know a successor that joined", func(t *testing.T) {
		t.Parallel()
		f := newSupersededFleet(t, "c", "d")
		f.cut("a", "c", "d")
		f.join("e", "e")
		successor := await(t, "successor", f.began)
		f.assertSuperseded(t, successor, time.Now())
	})
	t.Run("by nodes that know that the successor is gone again", func(t *testing.T) {
		t.Parallel()
		f := newSupersededFleet(t, "b", "c")
		f.access["c"].cut.Store(true)
		f.net.setPair("a", "b", true)
		f.cut("a")
		successor := await(t, "successor", f.began)
		began := time.Now()
		f.nodeOf("b").Leave(f.ctx)
		f.net.setPair("a", "b", false)
		f.assertSuperseded(t, successor, began)
	})
	t.Run("by a successor that has started again without the store", func(t *testing.T) {
		t.Parallel()
		f := newSupersededFleet(t, "b", "c")
		f.access["c"].cut.Store(true)
		f.net.setPair("a", "b", true)
		f.cut("a")
		successor := await(t, "successor", f.began)
		began := time.Now()
		f.access["b"].cut.Store(true)
		f.joinCut("b", "b2")
		f.net.setPair("a", "b", false)
		f.assertSuperseded(t, successor, began)
	})
}
