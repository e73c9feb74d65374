package leadership

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"verbenalanding.example/fleet/store"
)

// Member is the registration of a node in the store; the key of a duty has the Member of its holder as value.
type Member struct {
	Node string `json:"node"`
	// Session identifies the incarnation of the node.
	Session string `json:"session"`
	// Peer is the address at which the node serves requests of other nodes.
	Peer netip.AddrPort `json:"peer"`
	// Cores is the node's share of processors; nodes with more of them hold more duties.
	Cores float64 `json:"cores"`
}

const (
	// newNodePeriod is how long after its start the load of a node counts with newNodeWeight: in a rolling restart a node that has just
	// started is not restarted again, so it is the better holder.
	newNodePeriod = 20 * time.Second
	newNodeWeight = 0.5
	// minCores is the lower bound of the share of processors in the computation of loads: a node may report none.
	minCores = 0.05
)

// member is a registered node.
type member struct {
	Member
	revision store.Revision
	// since is when the node was first seen; zero for one that was registered before this node started.
	since time.Time
}

// candidate is a node that may acquire a duty.
type candidate struct {
	node string
	// load is the number of duties per core, with one more duty than the node holds.
	load float64
	// weightedLoad is the load by which candidates are ranked.
	weightedLoad float64
	// hash decides between nodes of equal load.
	hash uint64
}

// dutyCounts returns the number of duties of each node; the lock must be held.
func (el *Elector) dutyCounts() map[string]int {
	counts := map[string]int{}
	for _, d := range el.duties {
		counts[d.Node]++
	}
	return counts
}

// candidates returns all registered nodes except one, in the order in which they should acquire the duty; the lock must be held.
func (el *Elector) candidates(name, except string) []candidate {
	now := el.Clock()
	held := el.dutyCounts()
	list := make([]candidate, 0, len(el.members))
	for node, m := range el.members {
		if node == except {
			continue
		}
		c := candidate{node: node, load: float64(held[node]+1) / max(m.Cores, minCores), hash: xxhash.Sum64String(node + "\x00" + name)}
		c.weightedLoad = c.load
		if !m.since.IsZero() && now.Sub(m.since) < newNodePeriod {
			c.weightedLoad *= newNodeWeight
		}
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.weightedLoad, b.weightedLoad), cmp.Compare(a.load, b.load), cmp.Compare(a.hash, b.hash))
	})
	return list
}

// rank returns this node's index among the candidates for a duty; the lock must be held.
func (el *Elector) rank(name, except string) int {
	list := el.candidates(name, except)
	if i := slices.IndexFunc(list, func(c candidate) bool { return c.node == el.Self.Node }); i >= 0 {
		return i
	}
	return len(list)
}

// register writes the node's own key under its lease.
func (el *Elector) register(ctx context.Context) {
	el.mu.Lock()
	own := el.members[el.Self.Node]
	lease := el.lease
	due := el.synced && !el.leaving && lease != 0 && el.registeredLease != lease
	el.mu.Unlock()
	if !due {
		return
	}
	value, err := json.Marshal(el.Self)
	if err != nil {
		el.notify("node not registered", "", err)
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, current, err := el.Store.Apply(callCtx, store.Transaction{
		If:  []store.Condition{{Key: nodePrefix + el.Self.Node, Revision: own.revision}},
		Put: []store.Write{{Key: nodePrefix + el.Self.Node, Value: value, Lease: lease}},
	})
	el.mu.Lock()
	defer el.mu.Unlock()
	switch {
	case err == nil:
		el.registeredLease = lease
	case errors.Is(err, store.ErrConflict):
		// An earlier attempt or an earlier incarnation of the node wrote the key, or its lease has expired since.
		own.revision = 0
		for _, e := range current {
			own.revision = e.Revision
			if e.Lease == lease {
				el.registeredLease = lease
			}
		}
		el.members[el.Self.Node] = member{Member: el.Self, revision: own.revision}
	}
}

// setMember updates a node from a change in the store; initial is true for a node in the initial list. The lock must be held.
func (el *Elector) setMember(e store.Event, node string, initial bool) {
	if e.Deleted {
		delete(el.members, node)
		if node == el.Self.Node {
			el.registeredLease = 0
		}
		return
	}
	var m Member
	if err := json.Unmarshal(e.Entry.Value, &m); err != nil {
		el.notify("node record not decoded", node, err)
		return
	}
	since := el.Clock()
	if initial {
		since = time.Time{}
	}
	el.members[node] = member{Member: m, revision: e.Entry.Revision, since: since}
}

// Members returns the registered nodes, sorted by name.
func (el *Elector) Members() []Member {
	el.mu.Lock()
	defer el.mu.Unlock()
	list := make([]Member, 0, len(el.members))
	for _, m := range el.members {
		list = append(list, m.Member)
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.Node, b.Node) })
	return list
}
