package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"verbenalanding.example/fleet/leadership"
	"verbenalanding.example/fleet/metering"
	"verbenalanding.example/fleet/rpc"
	"verbenalanding.example/fleet/store"
	"verbenalanding.example/fleet/workload"
)

// ErrNotHolder is returned by a peer that does not hold the pool's duty.
var ErrNotHolder = errors.New("duty not held here")

// The methods of calls between nodes.
const (
	methodJobState = "job.state"
	methodPending  = "queue.pending"
	methodStatus   = "member.status"
	// The holder of a pool is notified of stored jobs and of recorded cancellation requests.
	methodStored    = "job.stored"
	methodCancelled = "job.cancelled"
	// The holder of a pool is also notified of jobs that were refused at the call.
	methodRefused = "job.refused"
	// A node whose calls the store rejects reads and writes through other nodes.
	methodGet   = "store.get"
	methodApply = "store.apply"
	// A node without answers of the store asks other nodes for the configuration in force.
	methodConfiguration = "configuration.newest"
	// It also asks them for the holder of a duty.
	methodHolder = "duty.holder"
	// Operators ask any node why a job or the jobs of a queue wait.
	methodExplainJob   = "job.explain"
	methodExplainQueue = "queue.explain"
	// They also ask where a job would go now.
	methodPlacement = "job.placement"
	// The holder of a workspace's home adds up its arrivals at all pools.
	methodArrivals = "workspace.arrivals"
)

// peerTimeout is the timeout of a call to another node; requests fall back to the store when the holder does not answer.
const peerTimeout = 400 * time.Millisecond

// poolItem names a job or a queue of a pool.
type poolItem struct {
	Pool string `json:"pool"`
	Name string `json:"name"`
	// Queue is the key of a queue; empty for a job, and in calls of an older version.
	Queue string `json:"queue,omitempty"`
}

type jobAnswer struct {
	Known bool           `json:"known"`
	State workload.State `json:"state,omitempty"`
	// Workspace is that of the job; empty for a job without one.
	Workspace string `json:"workspace,omitempty"`
}

type pendingAnswer struct {
	Pending int `json:"pending"`
}

// Peers calls other nodes and serves their calls.
type Peers struct {
	Elector *leadership.Elector
	// Handler handles the calls of other nodes.
	Handler rpc.Handler
	// Limits bound what clients of the inner port can take of the process; nil for none.
	Limits *rpc.Limits
	// Dial opens connections to other nodes; nil uses net.Dialer.
	Dial Dial
	// Log gets the lines about disturbed connections, at most connectionLines a second.
	Log zerolog.Logger

	mu      sync.Mutex
	clients map[netip.AddrPort]*rpc.Client
}

var peerSentinels = rpc.Sentinels{ErrNotHolder, errStoreUnreachable, store.ErrNotFound, store.ErrConflict, store.ErrRefused, store.ErrUnavailable, errPlacementBusy}

// connectionLines is the number of log lines per second about disturbed connections to other nodes.
const connectionLines = 10

func newPeers(elector *leadership.Elector, e Environment, log zerolog.Logger) *Peers {
	log = log.Sample(&zerolog.BurstSampler{Burst: connectionLines, Period: time.Second})
	return &Peers{Elector: elector, Dial: e.Dial, Log: log, clients: map[netip.AddrPort]*rpc.Client{}}
}

// Serve serves the calls of other nodes until the context ends.
func (p *Peers) Serve(ctx context.Context, l net.Listener) error {
	server := rpc.Server{Listener: l, Sentinels: peerSentinels, Log: &p.Log, Limits: p.Limits, Handler: func(ctx context.Context, method string, params json.RawMessage) (any, error) {
		return p.Handler(ctx, method, params)
	}}
	return server.Run(ctx)
}

// callHolder calls the holder of a pool's duty. A node that does not reach the store may know a former holder only, and then asks another node
// for the present one.
func (n *Node) callHolder(ctx context.Context, pool, method string, params, result any) error {
	known, ok := n.Elector.Holder(pool)
	err := fmt.Errorf("ask holder of %s: %w", pool, ErrNotHolder)
	if ok {
		err = n.Peers.callWithin(ctx, peerTimeout, known.Peer, method, params, result)
	}
	if err == nil || n.Elector.StoreReachable() {
		return err
	}
	present, holderErr := n.holderFromPeers(ctx, pool)
	if holderErr != nil || present.Session == known.Session {
		return errors.Join(err, holderErr)
	}
	return n.Peers.callWithin(ctx, peerTimeout, present.Peer, method, params, result)
}

// holderFromPeers asks other nodes that reach the store for the holder of a pool's duty, for at most peerTimeout.
func (n *Node) holderFromPeers(ctx context.Context, pool string) (leadership.Duty, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var holder leadership.Duty
	err := askOthers(ctx, n, methodHolder, pool, func(a othersAnswer[leadership.Duty]) bool {
		holder = a.value
		return true
	})
	if err != nil {
		return leadership.Duty{}, fmt.Errorf("ask for holder of %s: %w", pool, err)
	}
	return holder, nil
}

// presentHolder answers methodHolder.
func (n *Node) presentHolder(pool string) (any, error) {
	if !n.Elector.StoreReachable() {
		return nil, errStoreUnreachable
	}
	d, ok := n.Elector.Holder(pool)
	if !ok {
		return nil, ErrNotHolder
	}
	return d, nil
}

// requestStatus requests another node's status; a refused connection adds leadership.ErrNoProcess to the error.
func (p *Peers) requestStatus(ctx context.Context, m leadership.Member, q leadership.StatusRequest) (leadership.Status, error) {
	var status leadership.Status
	err := p.call(ctx, m.Peer, methodStatus, q, &status)
	if errors.Is(err, syscall.ECONNREFUSED) {
		err = fmt.Errorf("%w: %w", leadership.ErrNoProcess, err)
	}
	return status, err
}

// callWithin calls a node with a timeout.
func (p *Peers) callWithin(ctx context.Context, timeout time.Duration, addr netip.AddrPort, method string, params, result any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return p.call(ctx, addr, method, params, result)
}

func (p *Peers) call(ctx context.Context, addr netip.AddrPort, method string, params, result any) error {
	client := p.client(addr)
	err := client.Call(ctx, method, params, result)
	if errors.Is(err, rpc.ErrUnreachable) {
		// The connection may be dead; the next call opens a new one.
		_ = client.Close()
	}
	return err
}

// callRelay calls a node that answers only once the store has answered it. A call without an answer closes the connection only if nothing else
// arrived on it either: with a slow store the calls beside it are still to be answered.
func (p *Peers) callRelay(ctx context.Context, addr netip.AddrPort, method string, params, result any) error {
	client := p.client(addr)
	received := client.Received()
	err := client.Call(ctx, method, params, result)
	if errors.Is(err, rpc.ErrUnreachable) && client.Received() == received {
		_ = client.Close()
	}
	return err
}

func (p *Peers) client(addr netip.AddrPort) *rpc.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.clients[addr]
	if c == nil {
		c = &rpc.Client{Addr: addr, Sentinels: peerSentinels, Dial: p.Dial, Log: &p.Log, MaxMessage: p.maxMessage()}
		p.clients[addr] = c
	}
	return c
}

// maxMessage returns the size of the largest message that another node may send, in bytes; 0 without limits.
func (p *Peers) maxMessage() int64 {
	if p.Limits == nil {
		return 0
	}
	return p.Limits.MaxMessage
}

// handlePeerCall handles the calls of other nodes.
func (n *Node) handlePeerCall(ctx context.Context, method string, params json.RawMessage) (any, error) {
	switch method {
	case methodStatus:
		return rpc.Answer(params, func(q leadership.StatusRequest) (leadership.Status, error) {
			return n.Elector.HandleStatusRequest(q), nil
		})
	case methodGet:
		return rpc.Answer(params, func(key string) (any, error) { return n.relayGet(ctx, key) })
	case methodApply:
		return rpc.Answer(params, func(t store.Transaction) (any, error) { return n.relayApply(ctx, t) })
	case methodConfiguration:
		return rpc.Answer(params, n.configurationAfter)
	case methodHolder:
		return rpc.Answer(params, n.presentHolder)
	case methodStored:
		return rpc.Answer(params, func(s storedJob) (any, error) {
			var answer storedAnswer
			err := n.withPool(s.Pool, func(p *pool) error {
				err := p.addStoredJob(s)
				answer = p.storedAnswer()
				return err
			})
			return answer, err
		})
	case methodPlacement:
		return rpc.Answer(params, func(c placementCall) (answer placement, err error) {
			err = n.withPool(c.Pool, func(p *pool) error {
				answer, err = p.placement(c.Job)
				return err
			})
			return answer, err
		})
	case methodArrivals:
		return rpc.Answer(params, func(a arrivals) (totals []metering.Total, err error) {
			err = n.withPool(a.Home, func(p *pool) error {
				totals = p.addArrivals(a)
				return nil
			})
			return totals, err
		})
	}
	return rpc.Answer(params, func(item poolItem) (answer any, err error) {
		err = n.withPool(item.Pool, func(p *pool) error {
			answer, err = p.handleCall(method, item)
			return err
		})
		return answer, err
	})
}

// withPool runs a call on the named pool, or returns ErrNotHolder if this node does not hold it.
func (n *Node) withPool(name string, call func(*pool) error) error {
	p := n.pools.get(name)
	if p == nil {
		return fmt.Errorf("%w: %s", ErrNotHolder, name)
	}
	return call(p)
}

// handleCall handles another node's call about a job or a queue.
func (p *pool) handleCall(method string, item poolItem) (any, error) {
	name := item.Name
	switch method {
	case methodJobState:
		return p.jobState(name), nil
	case methodPending:
		return p.pending(workload.Queue{Name: name, Key: item.Queue}), nil
	case methodExplainJob:
		return p.explainJob(name), nil
	case methodExplainQueue:
		return p.explainQueue(workload.Queue{Name: name, Key: item.Queue}), nil
	case methodCancelled:
		p.cancelJob(name)
		return nil, nil
	case methodRefused:
		p.noteRefusal(name)
		return nil, nil
	}
	return nil, fmt.Errorf("unknown method %q", method)
}
