package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/store"
	"verbenalanding.example/fleet/workload"
)

const (
	// takenOver is the number of pools that one node can take over while all of them are full: a pool gets this part of the memory for jobs.
	takenOver = 6
	// fullRetryAfter is after how many seconds the caller of a job returns whose pool is full: room comes with the ends of other jobs.
	fullRetryAfter = "5"
	// leastJob is less than the memory of any job, in bytes.
	leastJob = 1
)

// jobLimit is what a pool's holder announces to all nodes under the pool's announcement key.
type jobLimit struct {
	// LargestJob is the memory in bytes up to which the pool takes a job.
	LargestJob int64 `json:"largestJob"`
	// revision is that of the key; 0 if there is none, and the pool takes any job.
	revision store.Revision
}

// jobLimits holds the limits that the holders of pools have announced.
type jobLimits struct {
	mu     sync.Mutex
	byPool map[string]jobLimit
}

func (l *jobLimits) get(pool string) jobLimit {
	l.mu.Lock()
	defer l.mu.Unlock()
	if limit, announced := l.byPool[pool]; announced {
		return limit
	}
	return jobLimit{LargestJob: dispatch.AnyJob}
}

func (l *jobLimits) set(pool string, limit jobLimit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.byPool == nil {
		l.byPool = map[string]jobLimit{}
	}
	l.byPool[pool] = limit
}

func (l *jobLimits) remove(pool string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.byPool, pool)
}

// apply applies a changed announcement of a pool's holder.
func (l *jobLimits) apply(pool string, e store.Event) error {
	if e.Deleted {
		l.remove(pool)
		return nil
	}
	limit := jobLimit{revision: e.Entry.Revision}
	if err := json.Unmarshal(e.Entry.Value, &limit); err != nil {
		return fmt.Errorf("decode announcement of %s: %w", pool, err)
	}
	l.set(pool, limit)
	return nil
}

// announced applies a change of the announcement of a pool's holder.
func (n *Node) announced(pool string, e store.Event) {
	if err := n.jobLimits.apply(pool, e); err != nil {
		n.Log.Error().Err(err).Msg("limit of a pool cannot be decoded")
	}
}

// keptJobBytes returns the memory in bytes for the jobs of a pool. Their sum over takenOver pools is that of the process: a node may take over all of them.
func (n *Node) keptJobBytes() int64 {
	pools := 1
	if c := n.View.Configuration(); c != nil {
		pools = max(1, min(len(c.Pools), takenOver))
	}
	return n.intake.keptBytes / int64(pools)
}

// largestJob returns the memory up to which a pool takes a job, as far as this node knows. Without a holder that counts them, each node takes its part of
// the large jobs only.
func (n *Node) largestJob(ctx context.Context, name string) int64 {
	if p := n.pools.get(name); p != nil {
		return p.largestJob()
	}
	largest := n.jobLimits.get(name).LargestJob
	if largest > dispatch.SmallJob && n.uncountedIsFull(name) && !n.holderAnswers(ctx, name) {
		return dispatch.SmallJob
	}
	return largest
}

// refuseFull refuses a job whose pool has no room for its memory, and reports whether it has done so. A job whose id may have been accepted by an earlier
// call is stored as any other one: that is known only once the store has answered.
func (n *Node) refuseFull(ctx context.Context, w http.ResponseWriter, q *workload.Queue, id string, memory int64, log *zerolog.Logger) bool {
	limit := n.largestJob(ctx, q.Pool)
	if memory <= limit || n.outlooks.perhapsStored(id, n.Clock.Now()) {
		return false
	}
	if _, err := n.acceptanceOf(ctx, n.storeFor(1), q, id, 1); !errors.Is(err, store.ErrNotFound) {
		return false
	}
	count(n.Registry, "refusals.poolFull")
	if leftOut, ok := n.refusals.Allow(time.Now()); ok {
		log.Info().Int64("linesLeftOut", leftOut).Int64("memory", memory).Int64("limit", limit).Msg("job refused: its pool is full")
	}
	w.Header().Set("Retry-After", fullRetryAfter)
	n.refuse(w, http.StatusServiceUnavailable, "the pool keeps as many jobs as it has memory for")
	return true
}
