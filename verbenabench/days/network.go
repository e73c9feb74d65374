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
	// A message takes leastLatency to mostLatency; drawn to the nanosecond, so that hardly two events share a moment.
	leastLatency = 200 * time.Microsecond
	mostLatency  = 3 * time.Millisecond
	// dialLimit bounds the opening of a connection.
	dialLimit = 700 * time.Millisecond
	// unackedLimit is after what time the bytes of a call to the platform that a cut keeps are given up, as by TCP_USER_TIMEOUT. Calls
	// between nodes and answers have no such limit: they arrive when the cut ends.
	unackedLimit = 1500 * time.Millisecond
)

// network connects hosts in memory. Bytes that a cut or a freeze keeps arrive when it ends, as TCP repeats them.
type network struct {
	mu        sync.Mutex
	seed      uint64
	hosts     map[netip.Addr]*host
	listeners map[netip.AddrPort]*listener
	cuts      map[[2]netip.Addr]int
	// mute counts the faults that keep what is sent from an address, though connections to it open.
	mute  map[netip.Addr]int
	conns map[*conn]struct{}
	// waiting are the followed messages that have not arrived.
	waiting []*delivery
	// changed is closed when a cut, a freeze or a host changes.
	changed chan struct{}
}

func newNetwork(seed uint64) *network {
	return &network{
		seed: seed, hosts: map[netip.Addr]*host{}, listeners: map[netip.AddrPort]*listener{},
		cuts: map[[2]netip.Addr]int{}, mute: map[netip.Addr]int{}, conns: map[*conn]struct{}{}, changed: make(chan struct{}),
	}
}

// host is one life of a process at an address.
type host struct {
	net  *network
	addr netip.Addr
	// impatient hosts are servers whose callers give up bytes that are not acknowledged.
	impatient bool
	rate      float64
	began     time.Time
	frozen    bool
	frozenAt  time.Time
	dead      bool
}

// host returns a new life at an address, whose clock runs at a rate.
func (n *network) host(addr netip.Addr, rate float64, impatient bool) *host {
	n.mu.Lock()
	defer n.mu.Unlock()
	h := &host{net: n, addr: addr, rate: rate, began: time.Now(), impatient: impatient}
	n.hosts[addr] = h
	return h
}

// since is the host's count of time, which stands still while the host is frozen and then jumps.
func (h *host) since() time.Duration {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	now := time.Now()
	if h.frozen {
		now = h.frozenAt
	}
	return time.Duration(float64(now.Sub(h.began)) * h.rate)
}

// freeze suspends a host, or lets it go on; nothing leaves it or reaches it meanwhile.
func (h *host) freeze(frozen bool) {
	h.net.mu.Lock()
	defer h.net.mu.Unlock()
	if frozen && !h.frozen {
		h.frozenAt = time.Now()
	}
	h.frozen = frozen
	h.net.wake()
}

// kill ends a host with all its connections. Others hear of it, unless power is lost.
func (h *host) kill(silent bool) {
	n := h.net
	n.mu.Lock()
	defer n.mu.Unlock()
	h.dead = true
	for addr, l := range n.listeners {
		if l.host == h {
			n.closeListener(addr, l)
		}
	}
	for c := range n.conns {
		if c.local == h {
			c.broken = net.ErrClosed
			if !silent {
				c.finish()
			}
			delete(n.conns, c)
		}
	}
	n.wake()
}

// wake has all that wait look again; the lock must be held.
func (n *network) wake() {
	n.arrive()
	close(n.changed)
	n.changed = make(chan struct{})
}

// cut ends or restores the way from one address to another; cuts that overlap count.
func (n *network) cut(from, to netip.Addr, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	way := [2]netip.Addr{from, to}
	if on {
		n.cuts[way]++
		return
	}
	if n.cuts[way]--; n.cuts[way] > 0 {
		return
	}
	delete(n.cuts, way)
	now := time.Now()
	for c := range n.conns {
		if c.local.addr == from && c.remote.addr == to && c.remote.impatient && c.out.waiting(now) > unackedLimit {
			n.breakConn(c)
		}
	}
	n.wake()
}

// silence keeps what is sent from an address, or lets it go on; faults that overlap count.
func (n *network) silence(addr netip.Addr, change int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.mute[addr] += change
	n.wake()
}

// reset breaks the connections of an address.
func (n *network) reset(addr netip.Addr) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.local.addr == addr || c.remote.addr == addr {
			n.breakConn(c)
		}
	}
	n.wake()
}

// shut breaks all connections and ends all listeners.
func (n *network) shut() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, h := range n.hosts {
		h.dead = true
	}
	for addr, l := range n.listeners {
		n.closeListener(addr, l)
	}
	for c := range n.conns {
		n.breakConn(c)
	}
	n.wake()
}

func (n *network) breakConn(c *conn) {
	c.broken, c.peer.broken = syscall.ECONNRESET, syscall.ECONNRESET
	delete(n.conns, c)
	delete(n.conns, c.peer)
}

// latency is how long a message from one address to another one takes, by the moment and what it says: draws in turn would depend on the order of
// goroutines that run at the same moment.
func (n *network) latency(from, to netip.Addr, content []byte) time.Duration {
	h := fnv.New64a()
	a, b := from.As4(), to.As4()
	var moment [16]byte
	binary.LittleEndian.PutUint64(moment[:8], uint64(time.Now().UnixNano()))
	binary.LittleEndian.PutUint64(moment[8:], n.seed)
	for _, part := range [][]byte{moment[:], a[:], b[:], content} {
		_, _ = h.Write(part)
	}
	return leastLatency + time.Duration(rand.New(rand.NewPCG(h.Sum64(), n.seed)).Int64N(int64(mostLatency-leastLatency)))
}

// passes reports whether a message from one host reaches another one now; the lock must be held.
func (n *network) passes(from, to *host) bool {
	return !from.frozen && !to.frozen && n.mute[from.addr] == 0 && n.cuts[[2]netip.Addr{from.addr, to.addr}] == 0
}

// delivery is a message that arrives as soon as its way is open.
type delivery struct {
	from, to *host
	at       time.Time
}

// deliver follows a message from a host to the present life at an address; nil means that it cannot arrive.
func (n *network) deliver(from *host, to netip.Addr) *delivery {
	n.mu.Lock()
	defer n.mu.Unlock()
	there := n.hosts[to]
	if there == nil || there.dead {
		return nil
	}
	d := &delivery{from: from, to: there}
	n.waiting = append(n.waiting, d)
	n.arrive()
	return d
}

// arrive has the messages arrive whose way is open; the lock must be held.
func (n *network) arrive() {
	left := n.waiting[:0]
	for _, d := range n.waiting {
		switch {
		case d.to.dead:
		case n.passes(d.from, d.to):
			d.at = time.Now()
		default:
			left = append(left, d)
		}
	}
	n.waiting = left
}

// arrived returns when the message arrived; zero if it has not.
func (d *delivery) arrived() time.Time {
	d.from.net.mu.Lock()
	defer d.from.net.mu.Unlock()
	return d.at
}

// dial opens a connection. A frozen host takes connections, since its kernel would; it does not open any.
func (h *host) dial(ctx context.Context, _, to string) (net.Conn, error) {
	n := h.net
	addr, err := netip.ParseAddrPort(to)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, dialLimit)
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
		if h.dead {
			n.mu.Unlock()
			return nil, net.ErrClosed
		}
		way, back := [2]netip.Addr{h.addr, addr.Addr()}, [2]netip.Addr{addr.Addr(), h.addr}
		there := n.hosts[addr.Addr()]
		if there != nil && !h.frozen && n.cuts[way] == 0 && n.cuts[back] == 0 {
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

// away takes an address from the network, as of a machine without power: connections to it are not refused, they get no answer.
func (n *network) away(addr netip.Addr) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.hosts, addr)
}

// listener takes the connections to an address.
type listener struct {
	host   *host
	addr   netip.AddrPort
	queue  chan net.Conn
	closed chan struct{}
}

// backlog is how many connections may wait for their listener.
const backlog = 1024

// listen opens a listener; one that listens at the same address ends.
func (h *host) listen(addr netip.AddrPort) (net.Listener, error) {
	n := h.net
	n.mu.Lock()
	defer n.mu.Unlock()
	if h.dead {
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

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case <-l.closed:
		return nil, net.ErrClosed
	case c := <-l.queue:
		return c, nil
	}
}

// Close ends the listener.
func (l *listener) Close() error {
	n := l.host.net
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.listeners[l.addr] == l {
		n.closeListener(l.addr, l)
	}
	return nil
}

// Addr returns the listener's address.
func (l *listener) Addr() net.Addr { return net.TCPAddrFromAddrPort(l.addr) }
