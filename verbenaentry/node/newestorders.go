package node

import "sync"

// newestOrders holds the fencing token of the newest order that the node has claimed for each machine, over all pools that it holds.
type newestOrders struct {
	mu     sync.Mutex
	fences map[string]uint64
}

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

// maySend returns what an order for a machine asks right before it is sent: a node orders a machine again at once, and the calls of two orders
// may overtake each other.
func (p *pool) maySend(machine string, fence uint64) func() bool {
	return func() bool { return p.valid() && !p.node.newest.superseded(machine, fence) }
}
