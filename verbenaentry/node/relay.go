package node

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/semaphore"

	"verbenalanding.example/fleet/leadership"
	"verbenalanding.example/fleet/rpc"
	"verbenalanding.example/fleet/store"
	"verbenalanding.example/platform"
)

// storeAccess reads and writes the store on behalf of callers' requests.
type storeAccess interface {
	Get(ctx context.Context, key string) (store.Entry, error)
	// Apply returns the current entries of a conflict only if the node reaches the store directly.
	Apply(ctx context.Context, t store.Transaction) (store.Revision, []store.Entry, error)
	// holderFence returns the fencing token of a pool's newest holder that is known there, or 0.
	holderFence(ctx context.Context, pool string) uint64
}

// directAccess accesses the store over the node's own connections, of which calls for callers and other nodes use a bounded number.
type directAccess struct {
	store   *platform.Store
	elector *leadership.Elector
	slots   *semaphore.Weighted
}

func (n *Node) directAccess() directAccess {
	return directAccess{n.Store, n.Elector, n.intake.storeCalls}
}

// Get returns the entry of key.
func (a directAccess) Get(ctx context.Context, key string) (store.Entry, error) {
	if err := a.acquire(ctx); err != nil {
		return store.Entry{}, err
	}
	defer a.slots.Release(1)
	return a.store.Get(ctx, key)
}

// Apply runs a transaction.
func (a directAccess) Apply(ctx context.Context, t store.Transaction) (store.Revision, []store.Entry, error) {
	if err := a.acquire(ctx); err != nil {
		return 0, nil, err
	}
	defer a.slots.Release(1)
	return a.store.Apply(ctx, t)
}

// acquire waits for a call's turn; a call whose turn does not come was not sent.
func (a directAccess) acquire(ctx context.Context) error {
	if err := a.slots.Acquire(ctx, 1); err != nil {
		return fmt.Errorf("%w: calls to the store take too long: %w", store.ErrRefused, err)
	}
	return nil
}

func (a directAccess) holderFence(_ context.Context, pool string) uint64 {
	d, _ := a.elector.Holder(pool)
	return d.Fence
}

// relay accesses the store through another node: the platform may reject the calls of some nodes while it serves the others.
type relay struct{ node *Node }

// errStoreUnreachable is returned by a node that does not reach the store either.
var errStoreUnreachable = errors.New("node does not reach the store")

// maxRelayNodes is how many nodes one attempt tries at most until one of them reaches the store.
const maxRelayNodes = 3

// storeFor returns the access to the store for an attempt; attempts count from 1. Direct and relayed access alternate, and the direct one
// comes first unless the store has not answered this node recently.
func (n *Node) storeFor(attempt int) storeAccess {
	if odd := attempt%2 == 1; odd == n.Elector.StoreReachable() {
		return n.directAccess()
	}
	return relay{n}
}

// holderFence asks other nodes, since a node whose calls the store rejects does not learn of new holders.
func (r relay) holderFence(ctx context.Context, pool string) uint64 {
	known, _ := r.node.Elector.Holder(pool)
	present, err := r.node.holderFromPeers(ctx, pool)
	if err != nil {
		return known.Fence
	}
	return max(known.Fence, present.Fence)
}

// Get returns the entry of key.
func (r relay) Get(ctx context.Context, key string) (store.Entry, error) {
	var e store.Entry
	return e, r.call(ctx, methodGet, key, &e)
}

// Apply runs a transaction.
func (r relay) Apply(ctx context.Context, t store.Transaction) (store.Revision, []store.Entry, error) {
	var revision store.Revision
	err := r.call(ctx, methodApply, t, &revision)
	return revision, nil, err
}

// call returns store.ErrRefused when no other node has relayed the call to the store, and store.ErrUnavailable when one may have.
func (r relay) call(ctx context.Context, method string, params, result any) error {
	for _, m := range r.node.others(maxRelayNodes) {
		err := r.node.Peers.callRelay(ctx, m.Peer, method, params, result)
		switch {
		case errors.Is(err, rpc.ErrNotSent), errors.Is(err, errStoreUnreachable):
			count(r.node.Registry, "relayed.cutOff")
		case errors.Is(err, rpc.ErrUnreachable):
			count(r.node.Registry, "relayed.unanswered")
			return fmt.Errorf("%w: through %s: %w", store.ErrUnavailable, m.Node, err)
		default:
			count(r.node.Registry, "relayed.answered")
			return err
		}
	}
	return fmt.Errorf("%w: no other node reaches the store", store.ErrRefused)
}

// others returns up to limit other nodes in random order.
func (n *Node) others(limit int) []leadership.Member {
	members := n.Elector.Members()
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	var list []leadership.Member
	for _, m := range members {
		if m.Node != n.Settings.Node && len(list) < limit {
			list = append(list, m)
		}
	}
	return list
}

// othersAnswer is what another node has answered to a call that was sent at a time.
type othersAnswer[A any] struct {
	from  leadership.Member
	sent  time.Time
	value A
}

// askOthers calls other nodes one after the other, each for at most peerTimeout, until use accepts an answer. It returns the last error, or
// errStoreUnreachable if there is no other node or no answer was accepted.
func askOthers[A any](ctx context.Context, n *Node, method string, params any, use func(othersAnswer[A]) bool) error {
	err := errStoreUnreachable
	for _, m := range n.others(maxRelayNodes) {
		a := othersAnswer[A]{from: m, sent: n.Clock.Now()}
		err = n.Peers.callWithin(ctx, peerTimeout, m.Peer, method, params, &a.value)
		if err == nil && use(a) {
			return nil
		}
		if err == nil {
			err = errStoreUnreachable
			continue
		}
		n.Log.Debug().Err(err).Str("peer", m.Node).Str("method", method).Msg("call not answered by another node")
	}
	return err
}

// relayAttempt is the number of the attempt whose timeout applies to a relayed call, which is made only once.
const relayAttempt = 2

// serveRelay calls the store for another node; it returns errStoreUnreachable if this node does not reach it either.
func serveRelay[T any](ctx context.Context, n *Node, call func(context.Context) (T, error)) (any, error) {
	if !n.Elector.StoreReachable() {
		return nil, errStoreUnreachable
	}
	ctx, cancel := context.WithTimeout(ctx, n.StoreTimeout.forAttempt(relayAttempt))
	defer cancel()
	return call(ctx)
}

// relayGet reads a key for another node.
func (n *Node) relayGet(ctx context.Context, key string) (any, error) {
	return serveRelay(ctx, n, func(ctx context.Context) (store.Entry, error) { return n.directAccess().Get(ctx, key) })
}

// relayApply runs a transaction for another node.
func (n *Node) relayApply(ctx context.Context, t store.Transaction) (any, error) {
	return serveRelay(ctx, n, func(ctx context.Context) (store.Revision, error) {
		revision, _, err := n.directAccess().Apply(ctx, t)
		return revision, err
	})
}
