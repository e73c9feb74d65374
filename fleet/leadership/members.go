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
	// newNodePeriod is how long the load of a node that has just started counts with newNodeWeight only: in a rolling restart such a node
	// will not be restarted again.
	newNodePeriod = 20 * time.Second
	newNodeWeight = 0.5
	// minCores is assumed for a node that reports no share of processors.
	minCores = 0.05
)

// member is what is known of a registered node.
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
	// hash breaks ties.
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
		x := candidate{node: node, load: float64(held[node]+1) / max(m.Cores, minCores), hash: xxhash.Sum64String(node + "\x00" + name)}
		x.weightedLoad = x.load
		if !m.since.IsZero() && now.Sub(m.since) < newNodePeriod {
			x.weightedLoad *= newNodeWeight
		}
		list = append(list, x)
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.weightedLoad, b.weightedLoad), cmp.Compare(a.load, b.load), cmp.Compare(a.hash, b.hash))
	})
	return list
}

// rank returns this node's index among the candidates for a duty; the lock must be held.
func (el *Elector) rank(name, except string) int {
	list := el.candidates(name, except)
	if i := slices.IndexFunc(list, func(s candidate) bool { return s.node == el.Self.Node }); i >= 0 {
		return i
	}
	return len(list)
}

// register writes the node's own key under its lease.
func (el *Elector) register(ctx context.Context) {
	el.mu.Lock()
	own := el.members[el.Self.Node]
	lease := el.lease
	due := el.synced && !el.leaving && lease != 0 && el.registered != lease
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
		el.registered = lease
	case errors.Is(err, store.ErrConflict):
		// An earlier attempt or an earlier incarnation of the node wrote the key, or its lease has expired since.
		own.revision = 0
		for _, e := range current {
			own.revision = e.Revision
			if e.Lease == lease {
				el.registered = lease
			}
		}
		el.members[el.Self.Node] = member{Member: el.Self, revision: own.revision}
	}
}

// setMember updates a node from a change in the store; listed is whether the node was in the initial list. The lock must be held.
func (el *Elector) setMember(e store.Event, node string, listed bool) {
	if e.Deleted {
		delete(el.members, node)
		if node == el.Self.Node {
			el.registered = 0
		}
		return
	}
	var m Member
	if err := json.Unmarshal(e.Entry.Value, &m); err != nil {
		el.notify("node record not decoded", node, err)
		return
	}
	since := el.Clock()
	if listed {
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
