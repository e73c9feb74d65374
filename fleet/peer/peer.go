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
	"verbenalanding.example/fleet/inlet"
	"verbenalanding.example/fleet/mirror"
	"verbenalanding.example/fleet/rpc"
	"verbenalanding.example/fleet/store"
)

const (
	// heartbeatInterval is the time between two checks of which peers are due for an exchange.
	heartbeatInterval = time.Second
	// idleInterval is the time between two exchanges with a peer when there is nothing new; one exchange transfers about
	// 0.7 KB with all headers.
	idleInterval = 4 * time.Second
	// minWakeInterval is the minimum time between two exchanges that Wake triggers; it bounds the traffic while demand changes.
	minWakeInterval = 500 * time.Millisecond
	// unresponsiveAfter is the time without contact after which a process itself calls a peer that should have called it.
	unresponsiveAfter = 6 * time.Second
	// callTimeout bounds a call to a peer; regions are some tens of milliseconds apart.
	callTimeout = time.Second
	// maxFanout bounds the exchanges that a process starts in one interval; when more peers are due, they take turns.
	maxFanout = 8
	// maxPools bounds the pools in one heartbeat.
	maxPools = 24
)

// The methods between entry instances.
const (
	methodHeartbeat = "peer.heartbeat"
	methodChanges   = "config.pull"
	methodInstances = "instance.pull"
	methodDrain     = "drain.status"
	methodClaim     = "claim.request"
	methodFinish    = "claim.finish"
	methodObserved  = "report.pull"
)

// Demand is the demand for one pool at one entry instance.
type Demand struct {
	Pool     string                    `json:"pool"`
	Services []admission.ServiceDemand `json:"services"`
}

// Heartbeat is the state that an entry instance reports to a peer. The peer answers with its own heartbeat, so one exchange serves both.
type Heartbeat struct {
	From             string         `json:"from"`
	ConfigRevision   uint64         `json:"configRevision"`
	InstanceRevision store.Revision `json:"instanceRevision"`
	Demand           []Demand       `json:"demand,omitempty"`
	Leaving          []string       `json:"leaving,omitempty"`
}

// Records are instance records that a peer sends.
type Records struct {
	Entries []store.Entry `json:"entries,omitempty"`
	// Revision is the revision up to which the peer's records are complete.
	Revision store.Revision `json:"revision"`
	// SinceStoreContact is the time since the store last answered the peer.
	SinceStoreContact time.Duration `json:"storeHeard"`
}

// Service answers the calls of peers at an entry instance.
type Service interface {
	// Heartbeat processes a peer's heartbeat and returns this entry instance's heartbeat for that peer.
	Heartbeat(h Heartbeat) Heartbeat
	// Changes returns the configuration changes after a revision, or configuration.ErrNotReady.
	Changes(after uint64) (configuration.State, error)
	// Instances returns the instance records written after a revision.
	Instances(after store.Revision) Records
	// DrainStatus returns the state of drains at this entry instance.
	DrainStatus(instances []string) []drain.Status
	// Claim decides a claim; this process must be the holder of the claim's shard.
	Claim(ctx context.Context, r claim.Request) claim.Answer
	// FinishClaim reports the outcome of a claimed request.
	FinishClaim(ctx context.Context, f claim.Finish) error
	// Observed returns what this entry instance has observed about its requests, for reports.
	Observed() any
}

// Address is the id and the address of an entry instance.
type Address struct {
	ID   string
	Addr netip.AddrPort
}

// Node exchanges messages with the other entry instances.
type Node struct {
	Self     string
	Listener net.Listener
	Service  Service
	// Peers returns the other entry instances to exchange messages with.
	Peers func() []Address
	// HeartbeatFor returns the heartbeat to send to a peer; Changed reports whether there is demand that the peer has not received.
	HeartbeatFor func(to string) Heartbeat
	Changed      func(to string) bool
	// OnHeartbeat is called with the heartbeat that a peer answered; nil for none.
	OnHeartbeat func(h Heartbeat)
	Log         zerolog.Logger

	mu          sync.Mutex
	clients     map[netip.AddrPort]*rpc.Client
	lastContact map[string]time.Time
	nextTarget  int
	wake        chan struct{}
}

// sentinels are the errors that keep their identity between entry instances.
var sentinels = rpc.Sentinels{configuration.ErrNotReady}

// Run answers peers and sends heartbeats until the context ends.
func (n *Node) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	listener := &inlet.Listener{Listener: n.Listener, Limit: maxConnections, AnswerTimeout: answerTimeout}
	server := &rpc.Server{Listener: listener, Handler: n.handle, Sentinels: sentinels, Log: n.connectionLog(), Limits: newLimits()}
	group.Go(func() error { return server.Run(ctx) })
	group.Go(func() error { return n.runHeartbeats(ctx) })
	return group.Wait()
}

func (n *Node) runHeartbeats(ctx context.Context) error {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			n.closeAll()
			return nil
		case <-ticker.C:
			n.exchangeHeartbeats(ctx)
		case <-n.wakeSignal():
			n.exchangeHeartbeats(ctx)
			if !mirror.WaitJittered(ctx, minWakeInterval) {
				n.closeAll()
				return nil
			}
		}
	}
}

// exchangeHeartbeats exchanges heartbeats with the peers that are due, concurrently, so that an unreachable peer delays no other.
func (n *Node) exchangeHeartbeats(ctx context.Context) {
	var group errgroup.Group
	for _, p := range n.targets(time.Now()) {
		group.Go(func() error {
			var answer Heartbeat
			if err := n.call(ctx, p.Addr, methodHeartbeat, n.heartbeatTo(p.ID), &answer); err != nil {
				n.Log.Debug().Err(err).Str("peer", p.ID).Msg("heartbeat not answered")
				return nil
			}
			n.recordContact(answer.From)
			if n.OnHeartbeat != nil {
				n.OnHeartbeat(answer)
			}
			return nil
		})
	}
	_ = group.Wait()
}

func (n *Node) heartbeatTo(to string) Heartbeat {
	h := n.HeartbeatFor(to)
	if len(h.Demand) > maxPools {
		h.Demand = h.Demand[:maxPools]
	}
	return h
}

func (n *Node) recordContact(from string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.lastContact == nil {
		n.lastContact = map[string]time.Time{}
	}
	n.lastContact[from] = time.Now()
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
	start := n.nextTarget % len(due)
	n.nextTarget += maxFanout
	return append(due[start:], due[:start]...)[:maxFanout]
}

// due reports whether a peer is to be called now. Of two processes, the one with the lower id calls; the other one calls
// only if it has not been called for unresponsiveAfter, or if it has changed demand to report.
func (n *Node) due(p Address, now time.Time) bool {
	n.mu.Lock()
	sinceContact := now.Sub(n.lastContact[p.ID])
	n.mu.Unlock()
	if n.Changed(p.ID) {
		return true
	}
	if n.Self > p.ID {
		return sinceContact >= unresponsiveAfter
	}
	// The interval is slightly shorter than a whole number of ticks, so that a late tick does not skip an exchange.
	return sinceContact >= idleInterval-heartbeatInterval/4
}

// Wake triggers an exchange of changed demand without waiting for the next interval.
func (n *Node) Wake() {
	select {
	case n.wakeSignal() <- struct{}{}:
	default:
	}
}

func (n *Node) wakeSignal() chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.wake == nil {
		n.wake = make(chan struct{}, 1)
	}
	return n.wake
}

// Pull asks a peer for the configuration changes after a revision.
func (n *Node) Pull(ctx context.Context, addr netip.AddrPort, after uint64) (configuration.State, error) {
	var state configuration.State
	err := n.call(ctx, addr, methodChanges, after, &state)
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

// Observed asks a peer for what it has observed about its requests, as JSON.
func (n *Node) Observed(ctx context.Context, addr netip.AddrPort) (json.RawMessage, error) {
	var observed json.RawMessage
	err := n.call(ctx, addr, methodObserved, struct{}{}, &observed)
	return observed, err
}

// Claim sends a claim to the holder of its shard.
func (n *Node) Claim(ctx context.Context, addr netip.AddrPort, r claim.Request) (claim.Answer, error) {
	var answer claim.Answer
	err := n.callFor(ctx, 0, addr, methodClaim, r, &answer)
	return answer, err
}

// FinishClaim reports the outcome of a claimed request to the holder of its shard.
func (n *Node) FinishClaim(ctx context.Context, addr netip.AddrPort, f claim.Finish) error {
	return n.call(ctx, addr, methodFinish, f, nil)
}

func (n *Node) call(ctx context.Context, addr netip.AddrPort, method string, params, result any) error {
	return n.callFor(ctx, callTimeout, addr, method, params, result)
}

// callFor makes a call bounded by a timeout; with timeout 0 only the context bounds it.
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
		c = &rpc.Client{Addr: addr, Sentinels: sentinels, Log: n.connectionLog()}
		n.clients[addr] = c
	}
	return c
}

// connectionLines is the number of log lines per second about a disturbed connection.
const connectionLines = 10

// connectionLog returns the log of the server's connections, or of those to one peer.
func (n *Node) connectionLog() *zerolog.Logger {
	log := n.Log.Sample(&zerolog.BurstSampler{Burst: connectionLines, Period: time.Second})
	return &log
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
			n.recordContact(h.From)
			return n.Service.Heartbeat(h), nil
		})
	case methodChanges:
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
