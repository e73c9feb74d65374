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

// network passes status requests between electors in one process. Partitioned nodes neither send nor receive anything; a request to an
// ended node fails with ErrNoProcess.
type network struct {
	mu          sync.Mutex
	nodes       map[string]*leadership.Elector
	partitioned map[string]bool
	ended       map[string]bool
	// pairs holds the pairs of nodes that do not reach each other.
	pairs map[[2]string]bool
}

var errPartitioned = errors.New("no answer: node is partitioned")

func newNetwork() *network {
	return &network{nodes: map[string]*leadership.Elector{}, partitioned: map[string]bool{}, ended: map[string]bool{}, pairs: map[[2]string]bool{}}
}

// setPair cuts the connection between two nodes, or mends it.
func (net *network) setPair(a, b string, cut bool) {
	net.mu.Lock()
	defer net.mu.Unlock()
	net.pairs[[2]string{a, b}], net.pairs[[2]string{b, a}] = cut, cut
}

func (net *network) mark(nodes map[string]bool, node string) {
	net.mu.Lock()
	defer net.mu.Unlock()
	nodes[node] = true
}

// partitionAnother partitions the first node by name other than the given one.
func (net *network) partitionAnother(node string) {
	net.mu.Lock()
	names := slices.Sorted(maps.Keys(net.nodes))
	net.mu.Unlock()
	net.mark(net.partitioned, names[slices.IndexFunc(names, func(name string) bool { return name != node })])
}

func (net *network) requestStatus(from string) func(context.Context, leadership.Member, leadership.StatusRequest) (leadership.Status, error) {
	return func(_ context.Context, m leadership.Member, q leadership.StatusRequest) (leadership.Status, error) {
		net.mu.Lock()
		to, ended := net.nodes[m.Node], net.ended[m.Node]
		partitioned := net.partitioned[m.Node] || net.partitioned[from] || net.pairs[[2]string{from, m.Node}]
		net.mu.Unlock()
		switch {
		case partitioned || to == nil:
			return leadership.Status{}, errPartitioned
		case ended:
			return leadership.Status{}, leadership.ErrNoProcess
		}
		return to.HandleStatusRequest(q), nil
	}
}

// leaseTTL is long compared to the delays after which standbys replace a holder.
const leaseTTL = 6 * time.Second

// startWithStandbys starts nodes that can send requests to each other; the first of names holds the duty on return.
func startWithStandbys(t *testing.T, n *nodes, names ...string) (*network, term) {
	t.Helper()
	net := newNetwork()
	for i, name := range names {
		el := n.build(name, leaseTTL)
		el.RequestStatus = net.requestStatus(name)
		net.mu.Lock()
		net.nodes[name] = el
		net.mu.Unlock()
		n.run(el)
		if i == 0 {
			n.first = await(t, "first holder", n.began)
		}
	}
	waitUntil(t, "all nodes are registered", func() bool { return len(net.nodes[names[0]].Members()) == len(names) })
	// Standbys begin to monitor the holder once they have read its registration and each other's.
	time.Sleep(500 * time.Millisecond)
	return net, n.first
}

func waitUntil(t *testing.T, condition string, met func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if met() {
			return
		}
	}
	t.Fatalf("%s: got no within 5 s, want yes", condition)
}

func assertTakenOver(t *testing.T, n *nodes, first term, within time.Duration) term {
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
		return term{}
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

// Guards against a duty without a working holder until the lease of its lost holder expires.
func TestLostHolderIsReplacedBeforeItsLeaseExpires(t *testing.T) {
	t.Parallel()
	t.Run("process ended", func(t *testing.T) {
		t.Parallel()
		n := newNodes(t)
		net, first := startWithStandbys(t, n, "a", "b", "c")
		net.mark(net.ended, first.node)
		assertTakenOver(t, n, first, 2*time.Second)
	})
	t.Run("machine unresponsive", func(t *testing.T) {
		t.Parallel()
		n := newNodes(t)
		net, first := startWithStandbys(t, n, "a", "b", "c")
		net.mark(net.partitioned, first.node)
		assertTakenOver(t, n, first, 3*time.Second)
	})
	t.Run("disconnected from the store only", func(t *testing.T) {
		t.Parallel()
		n := newNodes(t)
		_, first := startWithStandbys(t, n, "a", "b", "c")
		n.store.rejectNode(first.node)
		assertTakenOver(t, n, first, 4*time.Second)
		// The successor notifies the lost holder, which receives nothing from the store.
		if end := await(t, "end of the first term", n.ended); !errors.Is(end.cause, leadership.ErrLost) {
			t.Errorf("cause: got %v, want %v", end.cause, leadership.ErrLost)
		}
	})
}

// Guards against a standby that takes over from a healthy holder although it is the standby that is partitioned from all nodes.
func TestPartitionedStandbyTakesOverNoDuty(t *testing.T) {
	t.Parallel()
	n := newNodes(t)
	net, first := startWithStandbys(t, n, "a", "b", "c")
	net.partitionAnother(first.node)
	assertNoSuccessor(t, n, 2500*time.Millisecond)
}

func TestHolderWhileTheStoreIsDownForAllNodes(t *testing.T) {
	t.Parallel()
	// Guards against a holder that stops after the duration of a lease although no node can take over the duty.
	t.Run("holder continues while the others confirm", func(t *testing.T) {
		t.Parallel()
		n := newNodes(t)
		n.ttl = 1200 * time.Millisecond
		net, first := startWithStandbys(t, n, "a", "b", "c")
		n.store.rejectAll()
		time.Sleep(3 * n.ttl)
		select {
		case end := <-n.ended:
			t.Errorf("holder within 3 leases without store: got end %+v, want none", end)
		default:
		}
		// Only a process that was paused for 0.4 s must confirm its duties again before it is valid.
		valid := func() bool { return net.nodes[first.node].Valid("pool", first.fence) }
		validImmediately := valid()
		waitUntil(t, "the holder is valid after 3 leases without store", valid)
		if !validImmediately && !n.paused(first.node) {
			t.Errorf("holder after 3 leases without store, without a pause: got not valid, want valid")
		}
	})
	// Guards against two holders: an unresponsive node may have taken over the duty.
	t.Run("holder stops when a node is unresponsive", func(t *testing.T) {
		t.Parallel()
		n := newNodes(t)
		n.ttl = 1200 * time.Millisecond
		net, first := startWithStandbys(t, n, "a", "b", "c")
		n.store.rejectAll()
		net.partitionAnother(first.node)
		time.Sleep(2 * n.ttl)
		if net.nodes[first.node].Valid("pool", first.fence) {
			t.Errorf("holder after 2 leases without store: got valid, want not")
		}
	})
}

// Guards against a healthy holder that is replaced after an outage of the store for all nodes: a standby that the store answered a moment earlier
// took the age of the holder's last contact for a disconnection of the holder alone.
func TestHolderKeepsItsDutyWhenTheStoreIsBackForAllNodes(t *testing.T) {
	t.Parallel()
	n := newNodes(t)
	net, first := startWithStandbys(t, n, "a", "b", "c")
	n.store.rejectAll()
	// The holder counts as disconnected from 0.44 of a lease on, and keeps its lease in the store.
	time.Sleep(leaseTTL / 2)
	n.store.acceptAll()
	for name, el := range net.nodes {
		if name != first.node {
			el.RecordStoreContact()
		}
	}
	assertNoSuccessor(t, n, 1500*time.Millisecond)
	if !net.nodes[first.node].Valid("pool", first.fence) {
		t.Errorf("holder once the store is back: got not valid, want valid")
	}
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
	// A duty moves after the other node has been the better holder for three seconds; that is checked once a second.
	end := awaitWithin(t, "end of the first term", n.ended, 8*time.Second)
	if !errors.Is(end.cause, leadership.ErrReleased) {
		t.Errorf("cause: got %v, want %v", end.cause, leadership.ErrReleased)
	}
	second := await(t, "second holder", n.began)
	if second.node != "large" || second.fence <= first.fence {
		t.Errorf("second holder: got %+v, want large with a fence above %d", second, first.fence)
	}
	assertNoSuccessor(t, n, time.Second)
}
