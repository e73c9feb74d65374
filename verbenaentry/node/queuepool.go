package node

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"verbenalanding.example/fleet/store"
	"verbenalanding.example/fleet/workload"
)

// acceptance is the value of the key that marks an id of a queue as accepted, or as one that will not be.
type acceptance struct {
	Pool string `json:"pool,omitempty"`
	// Workspace is that of the job; empty for a job without one.
	Workspace string `json:"workspace,omitempty"`
	// Cancelled is set for an id whose cancellation was requested before a job with it was stored.
	Cancelled bool `json:"cancelled,omitempty"`
}

// acceptanceOf returns whether a job was accepted, and the pool in which it runs, which differs from the one that its queue is configured for if
// the queue was moved after that. It returns store.ErrNotFound for an id of which nothing is known.
func (n *Node) acceptanceOf(ctx context.Context, st storeAccess, q *workload.Queue, id string, attempt int) (acceptance, error) {
	ctx, cancel := context.WithTimeout(ctx, n.StoreTimeout.forAttempt(attempt))
	defer cancel()
	entry, err := st.Get(ctx, acceptedKey(q.Key, id))
	if err != nil {
		return acceptance{}, err
	}
	var a acceptance
	if err := json.Unmarshal(entry.Value, &a); err != nil {
		return acceptance{}, fmt.Errorf("read acceptance of job %s: %w", id, err)
	}
	return a, nil
}

// acceptJob returns the transaction that stores a job unless its id was accepted in the queue before, for this or another pool.
func (n *Node) acceptJob(job workload.Job) (store.Transaction, error) {
	value, err := json.Marshal(job)
	if err != nil {
		return store.Transaction{}, err
	}
	accepted, err := json.Marshal(acceptance{Pool: job.Pool, Workspace: job.Workspace})
	if err != nil {
		return store.Transaction{}, err
	}
	keys := [...]string{jobKey(job.Pool, job.ID), acceptedKey(job.Terms.Key, job.ID)}
	t := store.Transaction{
		If:  []store.Condition{{Key: keys[0]}, {Key: keys[1]}},
		Put: []store.Write{{Key: keys[0], Value: value}, {Key: keys[1], Value: accepted}},
	}
	if !n.queuePools.recorded(job.Terms.Key, job.Pool) {
		t.Put = append(t.Put, store.Write{Key: queuePoolKey(job.Terms.Key, job.Pool), Value: []byte("{}")})
	}
	return t, nil
}

// queuePoolsMaxAge is how old the known pools of a queue may be; a number of waiting jobs may be 2 s old.
const queuePoolsMaxAge = time.Second

// queuePools holds, by the key of a queue, the pools for which jobs of it have been stored: those of which this node knows that the store names
// them. Pools are never removed, since a job may stay in the pool that the queue has left for as long as its callers want.
type queuePools struct {
	mu     sync.Mutex
	pools  map[string][]string
	readAt map[string]time.Time
}

// recorded reports whether the store certainly names a pool of a queue.
func (q *queuePools) recorded(queue, pool string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return slices.Contains(q.pools[queue], pool)
}

// record notes that the store names pools of a queue.
func (q *queuePools) record(queue string, pools ...string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.pools == nil {
		q.pools, q.readAt = map[string][]string{}, map[string]time.Time{}
	}
	for _, pool := range pools {
		if !slices.Contains(q.pools[queue], pool) {
			q.pools[queue] = append(q.pools[queue], pool)
		}
	}
}

// known returns the known pools of a queue, and whether they were read from the store recently.
func (q *queuePools) known(queue string, now time.Time) (pools []string, recent bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	at, read := q.readAt[queue]
	return slices.Clone(q.pools[queue]), read && now.Sub(at) < queuePoolsMaxAge
}

func (q *queuePools) setReadAt(queue string, at time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.readAt[queue] = at
}

// poolsOf returns the pools in which jobs of a queue may wait: the one that it is configured for, and those that it has left. While the store
// does not answer, the pools that are known so far count.
func (n *Node) poolsOf(ctx context.Context, q *workload.Queue) []string {
	now := n.Clock.Now()
	pools, recent := n.queuePools.known(q.Key, now)
	if !recent && n.Elector.StoreReachable() {
		if err := n.readQueuePools(ctx, q.Key, now); err != nil {
			n.Log.Debug().Str("queue", q.Name).Err(err).Msg("pools of a queue not read from the store")
		}
		pools, _ = n.queuePools.known(q.Key, now)
	}
	configured := n.View.Configuration().Pools
	list := []string{q.Pool}
	for _, pool := range pools {
		// A pool that the operator has removed has no holder.
		if pool != q.Pool && slices.ContainsFunc(configured, func(p workload.PoolSettings) bool { return p.Name == pool }) {
			list = append(list, pool)
		}
	}
	return list
}

func (n *Node) readQueuePools(ctx context.Context, queue string, now time.Time) error {
	ctx, cancel := context.WithTimeout(ctx, n.StoreTimeout.forAttempt(1))
	defer cancel()
	page, err := n.Store.List(ctx, queuePoolPrefix(queue), "", 0)
	if err != nil {
		return err
	}
	var pools []string
	for _, e := range page.Entries {
		pools = append(pools, strings.TrimPrefix(e.Key, queuePoolPrefix(queue)))
	}
	n.queuePools.record(queue, pools...)
	n.queuePools.setReadAt(queue, now)
	return nil
}
