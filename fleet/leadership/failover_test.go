package leadership_test

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync"
	"testing"
	"time"

	"verbenalanding.example/fleet/leadership"
)

// network passes questions between tenures in one process; cut nodes answer nobody and hear nobody.
type network struct {
	mu    sync.Mutex
	nodes map[string]*leadership.Elector
	cut   map[string]bool
	ended map[string]bool
}

var errCut = errors.New("no answer")

func newNetwork() *network {
	return &network{nodes: map[string]*leadership.Elector{}, cut: map[string]bool{}, ended: map[string]bool{}}
}

func (w *network) set(in map[string]bool, node string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	in[node] = true
}

// cutAnother cuts the first node by name that is not the given one.
func (w *network) cutAnother(node string) {
	w.mu.Lock()
	names := slices.Sorted(maps.Keys(w.nodes))
	w.mu.Unlock()
	w.set(w.cut, names[slices.IndexFunc(names, func(name string) bool { return name != node })])
}

func (w *network) ask(from string) func(context.Context, leadership.Member, leadership.StatusRequest) (leadership.Status, error) {
	return func(_ context.Context, m leadership.Member, q leadership.StatusRequest) (leadership.Status, error) {
		w.mu.Lock()
		to, cut, ended := w.nodes[m.Node], w.cut[m.Node] || w.cut[from], w.ended[m.Node]
		w.mu.Unlock()
		switch {
		case cut || to == nil:
			return leadership.Status{}, errCut
		case ended:
			return leadership.Status{}, leadership.ErrNoProcess
		}
		return to.HandleStatusRequest(q), nil
	}
}

// leaseTTL is long against the times after which guards act.
const leaseTTL = 6 * time.Second

// startGuarded starts nodes that can ask each other; the first one has the duty when it returns.
func startGuarded(t *testing.T, n *nodes, names ...string) (*network, spell) {
	t.Helper()
	w := newNetwork()
	for i, name := range names {
		x := n.build(name, leaseTTL)
		x.RequestStatus = w.ask(name)
		w.mu.Lock()
		w.nodes[name] = x
		w.mu.Unlock()
		n.run(x)
		if i == 0 {
			n.first = await(t, "first holder", n.began)
		}
	}
	waitUntil(t, "all nodes are registered", func() bool { return len(w.nodes[names[0]].Members()) == len(names) })
	// Guards begin to watch once they know the holder and each other.
	time.Sleep(500 * time.Millisecond)
	return w, n.first
}

func waitUntil(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("%s: got not within 5 s", what)
}

func assertTaken(t *testing.T, n *nodes, first spell, within time.Duration) spell {
	t.Helper()
	began := time.Now()
	select {
	case s := <-n.began:
		if s.node == first.node || s.fence <= first.fence {
			t.Errorf("successor: got %+v, want another node with a fence above %d", s, first.fence)
		}
		return s
	case <-time.After(within):
		t.Fatalf("successor: got none within %v", time.Since(began))
		return spell{}
	}
}

func assertNoSuccessor(t *testing.T, n *nodes, d time.Duration) {
	t.Helper()
	select {
	case s := <-n.began:
		t.Errorf("successor: got %+v, want none", s)
	case <-time.After(d):
	}
}

func TestLostHolderIsReplacedBeforeItsLeaseEnds(t *testing.T) {
	t.Parallel()
	t.Run("process ended", func(t *testing.T) {
		t.Parallel()
		n := newNodes(t)
		w, first := startGuarded(t, n, "a", "b", "c")
		w.set(w.ended, first.node)
		assertTaken(t, n, first, 2*time.Second)
	})
	t.Run("machine silent", func(t *testing.T) {
		t.Parallel()
		n := newNodes(t)
		w, first := startGuarded(t, n, "a", "b", "c")
		w.set(w.cut, first.node)
		assertTaken(t, n, first, 3*time.Second)
	})
	t.Run("cut from the store only", func(t *testing.T) {
		t.Parallel()
		n := newNodes(t)
		_, first := startGuarded(t, n, "a", "b", "c")
		n.store.refuseNode(first.node)
		assertTaken(t, n, first, 4*time.Second)
		// The lost holder is told by its successor, since it cannot hear it from the store.
		if end := await(t, "end of the first spell", n.ended); !errors.Is(end.cause, leadership.ErrLost) {
			t.Errorf("cause: got %v, want %v", end.cause, leadership.ErrLost)
		}
	})
}

// Guards against a duty that is taken from a holder that works because its guard hears nobody.
func TestGuardThatIsCutOffTakesNothing(t *testing.T) {
	t.Parallel()
	n := newNodes(t)
	w, first := startGuarded(t, n, "a", "b", "c")
	w.cutAnother(first.node)
	assertNoSuccessor(t, n, 2500*time.Millisecond)
}

func TestStoreDownForAll(t *testing.T) {
	t.Parallel()
	// Guards against work that stops after a lease's time though no node can take the duty.
	t.Run("holder goes on while the others confirm", func(t *testing.T) {
		t.Parallel()
		n := newNodes(t)
		n.ttl = 1200 * time.Millisecond
		w, first := startGuarded(t, n, "a", "b", "c")
		n.store.refuseAll()
		time.Sleep(3 * n.ttl)
		select {
		case end := <-n.ended:
			t.Errorf("holder within 3 leases without store: got the end %+v, want none", end)
		default:
		}
		// A node that does not run for 0.4 s has to prove its duties anew, and only such a one.
		valid := func() bool { return w.nodes[first.node].Valid("pool", first.fence) }
		validAtOnce := valid()
		waitUntil(t, "the holder is valid after 3 leases without store", valid)
		if !validAtOnce && !n.paused(first.node) {
			t.Errorf("holder after 3 leases without store, without a pause: got not valid, want valid")
		}
	})
	// Guards against two holders: a node that does not answer may have taken the duty.
	t.Run("holder stops when a node does not answer", func(t *testing.T) {
		t.Parallel()
		n := newNodes(t)
		n.ttl = 1200 * time.Millisecond
		w, first := startGuarded(t, n, "a", "b", "c")
		n.store.refuseAll()
		w.cutAnother(first.node)
		time.Sleep(2 * n.ttl)
		if w.nodes[first.node].Valid("pool", first.fence) {
			t.Errorf("holder after 2 leases without store: got valid, want not")
		}
	})
}

// Guards against duties that stay on a node with few processors while another one is idle.
func TestDutyMovesToTheNodeWithMoreProcessors(t *testing.T) {
	t.Parallel()
	n := newNodes(t)
	small := n.build("small", leaseTTL)
	small.Self.Cores = 0.2
	n.run(small)
	first := await(t, "first holder", n.began)
	large := n.build("large", leaseTTL)
	large.Self.Cores = 0.8
	n.run(large)
	// A duty moves after three seconds in which the other node was better placed, looked at once a second.
	end := awaitWithin(t, "end of the first spell", n.ended, 8*time.Second)
	if !errors.Is(end.cause, leadership.ErrLeaving) {
		t.Errorf("cause: got %v, want %v", end.cause, leadership.ErrLeaving)
	}
	second := await(t, "second holder", n.began)
	if second.node != "large" || second.fence <= first.fence {
		t.Errorf("second holder: got %+v, want large with more than %d", second, first.fence)
	}
	assertNoSuccessor(t, n, time.Second)
}
