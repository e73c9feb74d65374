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

	"verbenalanding.example/fleet/rpc"
	"verbenalanding.example/fleet/tenure"
	"verbenalanding.example/fleet/workload"
)

// ErrNotHolder is returned by a peer that does not hold the pool's duty.
var ErrNotHolder = errors.New("duty not held here")

// Methods that nodes call at each other.
const (
	methodJobState = "job.state"
	methodPending  = "queue.pending"
	methodStatus   = "member.status"
)

// peerTimeout bounds a call to another node; the store answers when the holder does not.
const peerTimeout = 400 * time.Millisecond

// askedFor names a job or a queue of a pool.
type askedFor struct {
	Pool string `json:"pool"`
	Name string `json:"name"`
}

type jobAnswer struct {
	Known bool           `json:"known"`
	State workload.State `json:"state,omitempty"`
}

type pendingAnswer struct {
	Pending int `json:"pending"`
}

// Peers calls other nodes and answers them.
type Peers struct {
	Tenure *tenure.Tenure
	// Answer runs a call of another node.
	Answer rpc.Handler

	mu      sync.Mutex
	clients map[netip.AddrPort]*rpc.Client
}

var peerSentinels = rpc.Sentinels{ErrNotHolder}

func newPeers(t *tenure.Tenure) *Peers {
	return &Peers{Tenure: t, clients: map[netip.AddrPort]*rpc.Client{}}
}

// Serve answers the calls of other nodes until the context ends.
func (p *Peers) Serve(ctx context.Context, l net.Listener) error {
	server := rpc.Server{Listener: l, Sentinels: peerSentinels, Handler: func(ctx context.Context, method string, params json.RawMessage) (any, error) {
		return p.Answer(ctx, method, params)
	}}
	return server.Run(ctx)
}

// askHolder calls the holder of a pool's duty.
func (p *Peers) askHolder(ctx context.Context, pool, method string, params, result any) error {
	d, ok := p.Tenure.Of(pool)
	if !ok {
		return fmt.Errorf("ask holder of %s: %w", pool, ErrNotHolder)
	}
	client := p.client(d.Peer)
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	err := client.Call(ctx, method, params, result)
	if errors.Is(err, rpc.ErrUnreachable) {
		// The connection may have gone silent; the next call opens a new one.
		_ = client.Close()
	}
	return err
}

// askMember asks another node for its status.
func (p *Peers) askMember(ctx context.Context, m tenure.Member, q tenure.Question) (tenure.Status, error) {
	var status tenure.Status
	client := p.client(m.Peer)
	err := client.Call(ctx, methodStatus, q, &status)
	if errors.Is(err, rpc.ErrUnreachable) {
		// The connection may have gone silent; the next question opens a new one.
		_ = client.Close()
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		err = fmt.Errorf("%w: %w", tenure.ErrNoProcess, err)
	}
	return status, err
}

func (p *Peers) client(addr netip.AddrPort) *rpc.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	c := p.clients[addr]
	if c == nil {
		c = &rpc.Client{Addr: addr, Sentinels: peerSentinels}
		p.clients[addr] = c
	}
	return c
}

// answerPeer answers the calls of other nodes from the pools that this node holds.
func (n *Node) answerPeer(_ context.Context, method string, params json.RawMessage) (any, error) {
	if method == methodStatus {
		q, err := rpc.Decode[tenure.Question](params)
		if err != nil {
			return nil, err
		}
		return n.Tenure.Answer(q), nil
	}
	asked, err := rpc.Decode[askedFor](params)
	if err != nil {
		return nil, err
	}
	pool := n.pools.get(asked.Pool)
	if pool == nil {
		return nil, fmt.Errorf("%w: %s", ErrNotHolder, asked.Pool)
	}
	switch method {
	case methodJobState:
		return pool.jobState(asked.Name), nil
	case methodPending:
		return pool.pending(asked.Name)
	}
	return nil, fmt.Errorf("unknown method %q", method)
}
