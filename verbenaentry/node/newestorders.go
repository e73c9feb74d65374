package node

import "sync"

// newestOrders holds, for each machine, the fencing token of the newest order that the node has claimed, across all pools that it holds.
type newestOrders struct {
	mu     sync.Mutex
	fences map[string]uint64
}

// record records the fencing token of a claimed order unless a newer one is recorded.
func (o *newestOrders) record(machine string, fence uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.fences == nil {
		o.fences = map[string]uint64{}
	}
	o.fences[machine] = max(o.fences[machine], fence)
}

// superseded reports whether the node has claimed a newer order for a machine.
func (o *newestOrders) superseded(machine string, fence uint64) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.fences[machine] > fence
}

// maySend returns a check that runs right before an order for a machine is sent. A node may give another order for the same machine
// immediately, and the two calls may overtake each other.
func (p *pool) maySend(machine string, fence uint64) func() bool {
	return func() bool { return p.valid() && !p.node.claimedOrders.superseded(machine, fence) }
}
