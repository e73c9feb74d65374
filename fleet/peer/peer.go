package peer

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"verbenalanding.example/fleet/admission"
	"verbenalanding.example/fleet/claim"
	"verbenalanding.example/fleet/configuration"
	"verbenalanding.example/fleet/drain"
	"verbenalanding.example/fleet/mirror"
	"verbenalanding.example/fleet/rpc"
	"verbenalanding.example/fleet/store"
)

const (
	// heartbeatInterval is the time between two looks at which peers are due.
	heartbeatInterval = time.Second
	// quietInterval is the time between two exchanges with a peer when there is nothing new; one exchange costs about
	// 0.7 KB with all headers.
	quietInterval = 4 * time.Second
	// wakeGap is the least time between two exchanges out of turn, which bounds the traffic while demand moves.
	wakeGap = 500 * time.Millisecond
	// silentAfter is the time after which a process calls a peer that it usually waits for.
	silentAfter = 6 * time.Second
	// callTimeout bounds a call to a peer; regions are some tens of milliseconds apart.
	callTimeout = time.Second
	// maxFanout bounds the exchanges that a process begins in one interval; above it the peers take turns.
	maxFanout = 8
	// maxPools bounds the pools in one heartbeat.
	maxPools = 24
)

// The methods between entry instances.
const (
	methodHeartbeat = "peer.heartbeat"
	methodPull      = "config.pull"
	methodInstances = "instance.pull"
	methodDrain     = "drain.status"
	methodClaim     = "claim.request"
	methodFinish    = "claim.finish"
	methodObserved  = "report.pull"
)

// Demand is what one entry instance is asked for in one pool.
type Demand struct {
	Pool     string                    `json:"pool"`
	Services []admission.ServiceDemand `json:"services"`
}

// Heartbeat is what an entry instance tells a peer; the answer is the peer's own, so that one exchange serves both.
type Heartbeat struct {
	From             string         `json:"from"`
	ConfigRevision   uint64         `json:"configRevision"`
	InstanceRevision store.Revision `json:"instanceRevision"`
	Demand           []Demand       `json:"demand,omitempty"`
	Leaving          []string       `json:"leaving,omitempty"`
}

// Records are instance records that a peer hands over.
type Records struct {
	Entries []store.Entry `json:"entries,omitempty"`
	// Revision is the revision up to which the peer's records are complete.
	Revision store.Revision `json:"revision"`
	// SinceStoreContact is the time since the peer last heard the store.
	SinceStoreContact time.Duration `json:"storeHeard"`
}

// Service is what an entry instance offers to its peers.
type Service interface {
	// Heartbeat takes in a peer's heartbeat and returns the own one for that peer.
	Heartbeat(h Heartbeat) Heartbeat
	// Changes returns the configuration beyond a revision, or configuration.ErrNotReady.
	Changes(after uint64) (configuration.State, error)
	// Instances returns the instance records written after a revision.
	Instances(after store.Revision) Records
	// DrainStatus returns the state of drains at this entry instance.
	DrainStatus(instances []string) []drain.Status
	// Claim asks the shard's holder, which this process must be.
	Claim(ctx context.Context, r claim.Request) claim.Answer
	// FinishClaim reports the outcome of a claimed request.
	FinishClaim(ctx context.Context, f claim.Finish) error
	// Observed returns what this entry instance has seen of its requests, for reports.
	Observed() any
}

// Address names an entry instance that can be called.
type Address struct {
	ID   string
	Addr netip.AddrPort
}

// Node exchanges messages with the other entry instances.
type Node struct {
	Self     string
	Listener net.Listener
	Service  Service
	// Peers returns the other entry instances that are known now.
	Peers func() []Address
	// HeartbeatFor returns the heartbeat to send to a peer, and Changed whether it has something new for the peer.
	HeartbeatFor func(to string) Heartbeat
	Changed      func(to string) bool
	// OnHeartbeat is called when a peer answered a heartbeat; nil for none.
	OnHeartbeat func(h Heartbeat)
	Log         zerolog.Logger

	mu      sync.Mutex
	clients map[netip.AddrPort]*rpc.Client
	heard   map[string]time.Time
	turn    int
	wake    chan struct{}
}

// sentinels keeps the identity of errors between entry instances.
var sentinels = rpc.Sentinels{configuration.ErrNotReady}

// Run answers peers and sends heartbeats until the context ends.
func (n *Node) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	server := &rpc.Server{Listener: n.Listener, Handler: n.handle, Sentinels: sentinels}
	group.Go(func() error { return server.Run(ctx) })
	group.Go(func() error { return n.beat(ctx) })
	return group.Wait()
}

func (n *Node) beat(ctx context.Context) error {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			n.closeAll()
			return nil
		case <-ticker.C:
			n.beatOnce(ctx)
		case <-n.woken():
			n.beatOnce(ctx)
			if !mirror.WaitJittered(ctx, wakeGap) {
				n.closeAll()
				return nil
			}
		}
	}
}

// beatOnce exchanges heartbeats with the peers that are due, all at the same time, so that a dead peer delays no other.
func (n *Node) beatOnce(ctx context.Context) {
	var group errgroup.Group
	for _, p := range n.targets(time.Now()) {
		group.Go(func() error {
			var answer Heartbeat
			if err := n.call(ctx, p.Addr, methodHeartbeat, n.bounded(p.ID), &answer); err != nil {
				n.Log.Debug().Err(err).Str("peer", p.ID).Msg("heartbeat was not answered")
				return nil
			}
			n.note(answer.From)
			if n.OnHeartbeat != nil {
				n.OnHeartbeat(answer)
			}
			return nil
		})
	}
	_ = group.Wait()
}

func (n *Node) bounded(to string) Heartbeat {
	h := n.HeartbeatFor(to)
	if len(h.Demand) > maxPools {
		h.Demand = h.Demand[:maxPools]
	}
	return h
}

func (n *Node) note(from string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.heard == nil {
		n.heard = map[string]time.Time{}
	}
	n.heard[from] = time.Now()
}

// targets returns the peers to call in this interval; above maxFanout they take turns.
func (n *Node) targets(now time.Time) []Address {
	var due []Address
	for _, p := range n.Peers() {
		if n.due(p, now) {
			due = append(due, p)
		}
	}
	if len(due) <= maxFanout {
		return due
	}
	slices.SortFunc(due, func(a, b Address) int { return a.Addr.Compare(b.Addr) })
	first := n.turn % len(due)
	n.turn += maxFanout
	return append(due[first:], due[:first]...)[:maxFanout]
}

// due reports whether a peer is to be called. Of two processes the one with the lower id calls, and the other one only
// when it was not called for a while; changed demand is told by whoever has it.
func (n *Node) due(p Address, now time.Time) bool {
	n.mu.Lock()
	silent := now.Sub(n.heard[p.ID])
	n.mu.Unlock()
	if n.Changed(p.ID) {
		return true
	}
	if n.Self > p.ID {
		return silent >= silentAfter
	}
	// The interval is a little shorter than a whole number of ticks, so that a late tick does not skip a turn.
	return silent >= quietInterval-heartbeatInterval/4
}

// Wake sends changed demand to the peers without waiting for the next interval.
func (n *Node) Wake() {
	select {
	case n.woken() <- struct{}{}:
	default:
	}
}

func (n *Node) woken() chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.wake == nil {
		n.wake = make(chan struct{}, 1)
	}
	return n.wake
}

// Pull asks a peer for the configuration beyond a revision.
func (n *Node) Pull(ctx context.Context, addr netip.AddrPort, after uint64) (configuration.State, error) {
	var state configuration.State
	err := n.call(ctx, addr, methodPull, after, &state)
	return state, err
}

// Instances asks a peer for the instance records written after a revision.
func (n *Node) Instances(ctx context.Context, addr netip.AddrPort, after store.Revision) (Records, error) {
	var records Records
	err := n.call(ctx, addr, methodInstances, after, &records)
	return records, err
}

// DrainStatus asks a peer for the state of drains.
func (n *Node) DrainStatus(ctx context.Context, addr netip.AddrPort, instances []string) ([]drain.Status, error) {
	var statuses []drain.Status
	err := n.call(ctx, addr, methodDrain, instances, &statuses)
	return statuses, err
}

// Observed asks a peer for what it has seen of its requests, as JSON.
func (n *Node) Observed(ctx context.Context, addr netip.AddrPort) (json.RawMessage, error) {
	var seen json.RawMessage
	err := n.call(ctx, addr, methodObserved, struct{}{}, &seen)
	return seen, err
}

// Claim asks the holder of a claim shard.
func (n *Node) Claim(ctx context.Context, addr netip.AddrPort, r claim.Request) (claim.Answer, error) {
	var answer claim.Answer
	err := n.callFor(ctx, 0, addr, methodClaim, r, &answer)
	return answer, err
}

// FinishClaim reports an outcome to the holder of a claim shard.
func (n *Node) FinishClaim(ctx context.Context, addr netip.AddrPort, f claim.Finish) error {
	return n.call(ctx, addr, methodFinish, f, nil)
}

func (n *Node) call(ctx context.Context, addr netip.AddrPort, method string, params, result any) error {
	return n.callFor(ctx, callTimeout, addr, method, params, result)
}

// callFor bounds a call by a time, or by the context alone when the time is 0.
func (n *Node) callFor(ctx context.Context, timeout time.Duration, addr netip.AddrPort, method string, params, result any) error {
	if timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	if err := n.client(addr).Call(ctx, method, params, result); err != nil {
		return fmt.Errorf("%s at %s: %w", method, addr, err)
	}
	return nil
}

func (n *Node) client(addr netip.AddrPort) *rpc.Client {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.clients == nil {
		n.clients = map[netip.AddrPort]*rpc.Client{}
	}
	c, ok := n.clients[addr]
	if !ok {
		c = &rpc.Client{Addr: addr, Sentinels: sentinels}
		n.clients[addr] = c
	}
	return c
}

func (n *Node) closeAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.clients {
		_ = c.Close()
	}
}

func (n *Node) handle(ctx context.Context, method string, params json.RawMessage) (any, error) {
	switch method {
	case methodHeartbeat:
		return rpc.Answer(params, func(h Heartbeat) (Heartbeat, error) {
			n.note(h.From)
			return n.Service.Heartbeat(h), nil
		})
	case methodPull:
		return rpc.Answer(params, n.Service.Changes)
	case methodInstances:
		return rpc.Answer(params, func(after store.Revision) (Records, error) { return n.Service.Instances(after), nil })
	case methodDrain:
		return rpc.Answer(params, func(instances []string) ([]drain.Status, error) { return n.Service.DrainStatus(instances), nil })
	case methodClaim:
		return rpc.Answer(params, func(r claim.Request) (claim.Answer, error) { return n.Service.Claim(ctx, r), nil })
	case methodFinish:
		return rpc.Answer(params, func(f claim.Finish) (struct{}, error) { return struct{}{}, n.Service.FinishClaim(ctx, f) })
	case methodObserved:
		return n.Service.Observed(), nil
	default:
		return nil, fmt.Errorf("no method %s", method)
	}
}
