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

// Member is a node as it registers itself in the store, and the value of the key of a duty that it holds.
type Member struct {
	Node string `json:"node"`
	// Session tells the lives of a node apart.
	Session string `json:"session"`
	// Peer is where the node answers other nodes.
	Peer netip.AddrPort `json:"peer"`
	// Cores is the node's share of processors; nodes with more of them hold more duties.
	Cores float64 `json:"cores"`
}

const (
	// youngFor is how long the load of a node that started counts for less, by youngWeight: in a rolling restart its turn is over.
	youngFor    = 20 * time.Second
	youngWeight = 0.5
	// leastCores stands for a node that states no share of processors.
	leastCores = 0.05
)

// member is what is known of a registered node.
type member struct {
	Member
	revision store.Revision
	// since is when the node was first seen; zero for one that was there before this node.
	since time.Time
}

// standing is a node's place among those that may take a duty.
type standing struct {
	node string
	// load is the number of duties for each core, with one more than the node holds; weight is what it counts.
	load   float64
	weight float64
	drawn  uint64
}

// heldBy counts the duties of each node; the lock must be held.
func (el *Elector) heldBy() map[string]int {
	counts := map[string]int{}
	for _, d := range el.seen {
		counts[d.Node]++
	}
	return counts
}

// standings returns the registered nodes but one, those that should take the duty first at the front; the lock must be held.
func (el *Elector) standings(name, without string) []standing {
	now := el.Clock()
	held := el.heldBy()
	list := make([]standing, 0, len(el.members))
	for node, m := range el.members {
		if node == without {
			continue
		}
		x := standing{node: node, load: float64(held[node]+1) / max(m.Cores, leastCores), drawn: xxhash.Sum64String(node + "\x00" + name)}
		x.weight = x.load
		if !m.since.IsZero() && now.Sub(m.since) < youngFor {
			x.weight *= youngWeight
		}
		list = append(list, x)
	}
	slices.SortFunc(list, func(a, b standing) int {
		return cmp.Or(cmp.Compare(a.weight, b.weight), cmp.Compare(a.load, b.load), cmp.Compare(a.drawn, b.drawn))
	})
	return list
}

// place returns the node's own index among those that may take a duty; the lock must be held.
func (el *Elector) place(name, without string) int {
	list := el.standings(name, without)
	if i := slices.IndexFunc(list, func(s standing) bool { return s.node == el.Self.Node }); i >= 0 {
		return i
	}
	return len(list)
}

// register writes the node's own key under its lease.
func (el *Elector) register(ctx context.Context) {
	el.mu.Lock()
	own := el.members[el.Self.Node]
	lease := el.lease
	due := el.listed && !el.leaving && lease != 0 && el.registered != lease
	el.mu.Unlock()
	if !due {
		return
	}
	value, err := json.Marshal(el.Self)
	if err != nil {
		el.note("node not registered", "", err)
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
		// An earlier attempt or an earlier life of the node wrote the key, or its lease has ended since.
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

// setMember takes over what the store shows of a node; the lock must be held.
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
		el.note("unreadable node", node, err)
		return
	}
	since := el.Clock()
	if listed {
		since = time.Time{}
	}
	el.members[node] = member{Member: m, revision: e.Entry.Revision, since: since}
}

// Members returns the nodes that are registered, by name.
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
