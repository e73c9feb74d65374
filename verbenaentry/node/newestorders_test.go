package node

import "testing"

// Guards against two orders of one node for the same machine that overtake each other, so that the older fencing token arrives last.
func TestOlderOrderOfTheNodeIsSuperseded(t *testing.T) {
	p := offlinePool()
	p.node.claimedOrders.record("m0", 9)
	p.node.claimedOrders.record("m0", 7)
	for _, c := range []struct {
		machine string
		fence   uint64
		want    bool
	}{{"m0", 7, true}, {"m0", 9, false}, {"m0", 11, false}, {"m1", 1, false}} {
		if got := p.node.claimedOrders.superseded(c.machine, c.fence); got != c.want {
			t.Errorf("order for %s with fence %d superseded: got %v, want %v", c.machine, c.fence, got, c.want)
		}
	}
}
