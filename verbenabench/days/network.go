package days

import (
	"context"
	"encoding/binary"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"
)

const (
	// The latency of a message is between minLatency and maxLatency, with a resolution of 1 ns, so that hardly any two events happen at the
	// same time.
	minLatency = 200 * time.Microsecond
	maxLatency = 3 * time.Millisecond
	// dialTimeout is the timeout of opening a connection.
	dialTimeout = 700 * time.Millisecond
	// unackedTimeout is the time after which a caller of the platform gives up bytes that a partition holds back, as with TCP_USER_TIMEOUT.
	// Calls between nodes, and answers, have no such limit: they arrive when the partition ends.
	unackedTimeout = 1500 * time.Millisecond
)

// network connects hosts in memory. Bytes that a partition or a pause holds back arrive when it ends, since TCP retransmits them.
type network struct {
	mu         sync.Mutex
	seed       uint64
	hosts      map[netip.Addr]*host
	listeners  map[netip.AddrPort]*listener
	partitions map[[2]netip.Addr]int
	// heldOutput counts the active faults that hold back what an address sends, while connections to it can still be opened.
	heldOutput map[netip.Addr]int
	conns      map[*conn]struct{}
	// deliveries holds the tracked messages that have not arrived.
	deliveries []*delivery
	// changed is closed and replaced when a partition, a pause or a host changes.
	changed chan struct{}
}

func newNetwork(seed uint64) *network {
	return &network{
		seed: seed, hosts: map[netip.Addr]*host{}, listeners: map[netip.AddrPort]*listener{},
		partitions: map[[2]netip.Addr]int{}, heldOutput: map[netip.Addr]int{}, conns: map[*conn]struct{}{}, changed: make(chan struct{}),
	}
}

// host is one incarnation of a process at an address.
type host struct {
	network *network
	addr    netip.Addr
	// callersTimeOut is true for a server whose callers give up unacknowledged bytes after unackedTimeout.
	callersTimeOut bool
	clockRate      float64
	startTime      time.Time
	paused         bool
	pausedAt       time.Time
	stopped        bool
}

// addHost adds a new incarnation at an address, with a clock that runs at the given rate.
func (n *network) addHost(addr netip.Addr, clockRate float64, callersTimeOut bool) *host {
	n.mu.Lock()
	defer n.mu.Unlock()
	h := &host{network: n, addr: addr, clockRate: clockRate, startTime: time.Now(), callersTimeOut: callersTimeOut}
	n.hosts[addr] = h
	return h
}

// uptime returns the time since the start by the host's clock, which stops while the host is paused and jumps forward when it is resumed.
func (h *host) uptime() time.Duration {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	now := time.Now()
	if h.paused {
		now = h.pausedAt
	}
	return time.Duration(float64(now.Sub(h.startTime)) * h.clockRate)
}

// setPaused pauses or resumes a host. A paused host neither sends nor receives anything.
func (h *host) setPaused(paused bool) {
	h.network.mu.Lock()
	defer h.network.mu.Unlock()
	if paused && !h.paused {
		h.pausedAt = time.Now()
	}
	h.paused = paused
	h.network.notify()
}

// kill stops a host and its connections. Unless powerLoss is true, the other ends see the connections close.
func (h *host) kill(powerLoss bool) {
	n := h.network
	n.mu.Lock()
	defer n.mu.Unlock()
	h.stopped = true
	for addr, l := range n.listeners {
		if l.host == h {
			n.closeListener(addr, l)
		}
	}
	for c := range n.conns {
		if c.local == h {
			c.closeErr = net.ErrClosed
			if !powerLoss {
				c.finish()
			}
			delete(n.conns, c)
		}
	}
	n.notify()
}

// notify wakes all waiting calls after a change. The lock must be held.
func (n *network) notify() {
	n.updateDeliveries()
	close(n.changed)
	n.changed = make(chan struct{})
}

// setPartitioned starts or ends a partition in the direction from one address to another. Overlapping partitions are counted.
func (n *network) setPartitioned(from, to netip.Addr, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	direction := [2]netip.Addr{from, to}
	if partitioned {
		n.partitions[direction]++
		return
	}
	if n.partitions[direction]--; n.partitions[direction] > 0 {
		return
	}
	delete(n.partitions, direction)
	now := time.Now()
	for c := range n.conns {
		if c.local.addr == from && c.remote.addr == to && c.remote.callersTimeOut && c.out.oldestAge(now) > unackedTimeout {
			n.resetConn(c)
		}
	}
	n.notify()
}

// changeHeldOutput changes the number of active faults that hold back what an address sends.
func (n *network) changeHeldOutput(addr netip.Addr, change int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.heldOutput[addr] += change
	n.notify()
}

// resetConns resets all connections of an address.
func (n *network) resetConns(addr netip.Addr) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.local.addr == addr || c.remote.addr == addr {
			n.resetConn(c)
		}
	}
	n.notify()
}

// shutdown stops all hosts, closes all listeners and resets all connections.
func (n *network) shutdown() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, h := range n.hosts {
		h.stopped = true
	}
	for addr, l := range n.listeners {
		n.closeListener(addr, l)
	}
	for c := range n.conns {
		n.resetConn(c)
	}
	n.notify()
}

func (n *network) resetConn(c *conn) {
	c.closeErr, c.peer.closeErr = syscall.ECONNRESET, syscall.ECONNRESET
	delete(n.conns, c)
	delete(n.conns, c.peer)
}

// latency returns the latency of a message between two addresses, as a hash of the time and the content. A shared random sequence would
// depend on the order of goroutines that run at the same time.
func (n *network) latency(from, to netip.Addr, content []byte) time.Duration {
	h := fnv.New64a()
	a, b := from.As4(), to.As4()
	var instant [16]byte
	binary.LittleEndian.PutUint64(instant[:8], uint64(time.Now().UnixNano()))
	binary.LittleEndian.PutUint64(instant[8:], n.seed)
	for _, part := range [][]byte{instant[:], a[:], b[:], content} {
		_, _ = h.Write(part)
	}
	return minLatency + time.Duration(rand.New(rand.NewPCG(h.Sum64(), n.seed)).Int64N(int64(maxLatency-minLatency)))
}

// canReach reports whether a message from one host can reach another one now. The lock must be held.
func (n *network) canReach(from, to *host) bool {
	return !from.paused && !to.paused && n.heldOutput[from.addr] == 0 && n.partitions[[2]netip.Addr{from.addr, to.addr}] == 0
}

// delivery tracks a message that arrives as soon as its receiver is reachable.
type delivery struct {
	from, to  *host
	arrivedAt time.Time
}

// trackDelivery tracks a message from a host to the current incarnation at an address. It returns nil if the message cannot arrive.
func (n *network) trackDelivery(from *host, to netip.Addr) *delivery {
	n.mu.Lock()
	defer n.mu.Unlock()
	target := n.hosts[to]
	if target == nil || target.stopped {
		return nil
	}
	d := &delivery{from: from, to: target}
	n.deliveries = append(n.deliveries, d)
	n.updateDeliveries()
	return d
}

// updateDeliveries records the arrival of the tracked messages whose receivers are reachable. The lock must be held.
func (n *network) updateDeliveries() {
	pending := n.deliveries[:0]
	for _, d := range n.deliveries {
		switch {
		case d.to.stopped:
		case n.canReach(d.from, d.to):
			d.arrivedAt = time.Now()
		default:
			pending = append(pending, d)
		}
	}
	n.deliveries = pending
}

// arrivalTime returns the arrival time of the message, or zero if it has not arrived.
func (d *delivery) arrivalTime() time.Time {
	d.from.network.mu.Lock()
	defer d.from.network.mu.Unlock()
	return d.arrivedAt
}

// dial opens a connection. A paused host still accepts connections, since its kernel would, but it does not open any.
func (h *host) dial(ctx context.Context, _, to string) (net.Conn, error) {
	n := h.network
	addr, err := netip.ParseAddrPort(to)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	timer := time.NewTimer(n.latency(h.addr, addr.Addr(), nil))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	for {
		n.mu.Lock()
		if h.stopped {
			n.mu.Unlock()
			return nil, net.ErrClosed
		}
		direction, back := [2]netip.Addr{h.addr, addr.Addr()}, [2]netip.Addr{addr.Addr(), h.addr}
		target := n.hosts[addr.Addr()]
		if target != nil && !h.paused && n.partitions[direction] == 0 && n.partitions[back] == 0 {
			defer n.mu.Unlock()
			l := n.listeners[addr]
			if l == nil {
				return nil, fmt.Errorf("dial %s: %w", addr, syscall.ECONNREFUSED)
			}
			return n.connect(h, l), nil
		}
		changed := n.changed
		n.mu.Unlock()
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// removeHost removes an address from the network, like that of a machine without power: connections to it time out instead of being
// refused.
func (n *network) removeHost(addr netip.Addr) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.hosts, addr)
}

// listener accepts the connections to an address.
type listener struct {
	host   *host
	addr   netip.AddrPort
	queue  chan net.Conn
	closed chan struct{}
}

// backlog is the maximum number of connections that wait for Accept.
const backlog = 1024

// listen opens a listener. It closes an earlier one at the same address.
func (h *host) listen(addr netip.AddrPort) (net.Listener, error) {
	n := h.network
	n.mu.Lock()
	defer n.mu.Unlock()
	if h.stopped {
		return nil, net.ErrClosed
	}
	if old := n.listeners[addr]; old != nil {
		n.closeListener(addr, old)
	}
	l := &listener{host: h, addr: addr, queue: make(chan net.Conn, backlog), closed: make(chan struct{})}
	n.listeners[addr] = l
	return l, nil
}

func (n *network) closeListener(addr netip.AddrPort, l *listener) {
	close(l.closed)
	if n.listeners[addr] == l {
		delete(n.listeners, addr)
	}
}

// Accept waits for the next connection and returns it.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case <-l.closed:
		return nil, net.ErrClosed
	case c := <-l.queue:
		return c, nil
	}
}

// Close closes the listener.
func (l *listener) Close() error {
	n := l.host.network
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[l.addr] == l {
		n.closeListener(l.addr, l)
	}
	return nil
}

// Addr returns the listener's address.
func (l *listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.addr) }
