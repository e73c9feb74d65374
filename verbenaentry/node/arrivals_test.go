package node

import (
	"context"
	"fmt"
	"math"
	"testing"
	"time"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/leadership"
	"verbenalanding.example/fleet/workload"
)

// sharingNode is a node that holds two pools to which a workspace sends.
type sharingNode struct {
	*Node
	held []*pool
}

var sharedWorkspace = workload.Workspace{Name: "hemline", Weight: 40}

// newSharingNode returns a node whose pools have got the given numbers of jobs in the last moment.
func newSharingNode(t *testing.T, jobs ...int) *sharingNode {
	t.Helper()
	first := offlinePool()
	n := &sharingNode{Node: first.node}
	n.Elector = &leadership.Elector{Clock: n.Clock.Now, TTL: time.Second}
	now := n.Clock.Now()
	for i, count := range jobs {
		p := &pool{node: n.Node, name: fmt.Sprint("pool", i), scheduler: &dispatch.Pool{Name: fmt.Sprint("pool", i)}}
		p.scheduler.Begin(now)
		p.scheduler.SetWorkspaces([]workload.Workspace{sharedWorkspace})
		for k := range count {
			j := movedJob(p.name)
			j.ID, j.Workspace, j.Accepted = fmt.Sprintf("%016x", k), sharedWorkspace.Name, now
			p.scheduler.AddJob(j, nil, false, now)
		}
		p.scheduler.Plan(now)
		n.pools.set(p.name, p)
		n.held = append(n.held, p)
	}
	return n
}

// exchange has each pool tell its arrivals, twice, so that the first one learns of the others too.
func (n *sharingNode) exchange(pools []string) {
	for range 2 {
		for _, p := range n.held {
			for home, counts := range p.arrivalsByHome(pools) {
				p.tellArrivals(context.Background(), arrivals{Home: home, Pool: p.name, Counts: counts})
			}
		}
	}
}

func (n *sharingNode) wantRates(t *testing.T, want ...float64) {
	t.Helper()
	for i, p := range n.held {
		e, _ := p.scheduler.Explain(fmt.Sprintf("%016x", 0), n.Clock.Now())
		if math.Abs(e.RateHere-want[i]) > 0.01 {
			t.Errorf("rate that %s owes: got %.2f, want %.2f", p.name, e.RateHere, want[i])
		}
	}
}

// Guards against a workspace that is owed its whole weight by each pool to which it sends.
func TestPoolsDivideAWeightByTheArrivals(t *testing.T) {
	n := newSharingNode(t, 30, 10)
	n.wantRates(t, 40, 40)
	n.exchange([]string{"pool0", "pool1"})
	n.wantRates(t, 30, 10)
}

// Guards against a workspace that gets less than it is owed, or a holder that stops, because the home has no holder.
func TestPoolsOweTheWholeWeightWithoutAHome(t *testing.T) {
	n := newSharingNode(t, 30, 10)
	n.exchange([]string{"lost"})
	n.wantRates(t, 40, 40)
}
