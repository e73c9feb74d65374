package deferred

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"verbenalanding.example/fleet/internal/clock"
	"verbenalanding.example/fleet/interval"
	"verbenalanding.example/fleet/record"
	"verbenalanding.example/fleet/store"
)

// resolveTimeout bounds the time to find out whether a write with a lost answer took effect.
const resolveTimeout = 3 * time.Second

// Acceptor records deferred work in the store; set the exported fields before use.
type Acceptor struct {
	Store store.Store
	// Now returns the current time; time.Now when nil.
	Now func() time.Time
	// Limit is the largest backlog of a service over all shards; 8,192 when 0. Other entry instances learn of accepted
	// work after about two seconds, so the limit may be exceeded by what they accept in that time.
	Limit int

	mu     sync.Mutex
	counts [Shards]shardCount
}

// shardCount is the backlog of a shard: the work that its holder has counted and the work that this acceptor has accepted
// since that count.
type shardCount struct {
	revision     store.Revision
	counted      map[string]int
	acceptedHere map[string]int
}

// Accept records work and returns nil once the record is known to be in the store. ErrFull, ErrStoreDown and
// ErrMismatch mean that this call has not recorded the work; ErrUnknown means that it may have.
func (a *Acceptor) Accept(ctx context.Context, w Work) error {
	shard := ShardOf(w.ID)
	// Reading before the write detects a store that is down while it is certain that nothing was recorded.
	if err := a.readBacklog(ctx, shard); err != nil {
		return fmt.Errorf("deferred work %s: %w: %w", w.ID, ErrStoreDown, err)
	}
	if !a.reserve(shard, w.Service) {
		return fmt.Errorf("deferred work of service %s: %w", w.Service, ErrFull)
	}
	r := Record{Work: w, State: Waiting}
	r.Accepted = a.now()
	value, err := json.Marshal(r)
	if err == nil && len(value) > MaxRecord {
		err = store.ErrTooLarge
	}
	if err != nil {
		a.release(shard, w.Service)
		return fmt.Errorf("deferred work %s: %w", w.ID, err)
	}
	_, err = a.Store.Put(ctx, store.PutRequest{Key: StoreKey(w.ID), Value: value})
	switch {
	case err == nil:
		return nil
	case errors.Is(err, store.ErrOverShare):
		a.release(shard, w.Service)
		return fmt.Errorf("deferred work %s: %w: %w", w.ID, ErrStoreDown, err)
	}
	recorded, err := a.resolveWrite(ctx, w)
	if !recorded {
		a.release(shard, w.Service)
	}
	return err
}

// resolveWrite finds out whether a failed write took effect, and reports whether the work is or may be recorded. If the record
// is absent, a withdrawn record takes the key, so that a write still in flight cannot take effect after the refusal.
func (a *Acceptor) resolveWrite(ctx context.Context, w Work) (bool, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), resolveTimeout)
	defer cancel()
	key := StoreKey(w.ID)
	for wait := 20 * time.Millisecond; ; wait *= 2 {
		r, revision, err := record.Load[Record](ctx, a.Store, key)
		switch {
		case err == nil && r.State == Withdrawn:
			// An earlier attempt with this key was withdrawn; the caller now sends it resubmitted.
			resubmitted := Record{Work: w, State: Waiting}
			resubmitted.Accepted = a.now()
			if _, err = record.Save(ctx, a.Store, key, resubmitted, revision, 0); err == nil {
				return true, nil
			}
		case err == nil && r.BodyDigest != w.BodyDigest:
			return false, fmt.Errorf("deferred work %s: %w", w.ID, ErrMismatch)
		case err == nil:
			return true, nil
		case errors.Is(err, store.ErrNotFound):
			withdrawn := Record{Work: Work{ID: w.ID, Service: w.Service}, State: Withdrawn, Finished: a.now()}
			if _, err = record.Save(ctx, a.Store, key, withdrawn, 0, 0); err == nil {
				return false, fmt.Errorf("deferred work %s: %w", w.ID, ErrStoreDown)
			}
		}
		if !interval.Wait(ctx, wait) {
			return true, fmt.Errorf("deferred work %s: %w", w.ID, ErrUnknown)
		}
	}
}

func (a *Acceptor) now() time.Time { return clock.Now(a.Now) }

// readBacklog reads the backlog as the holder of the shard last counted it.
func (a *Acceptor) readBacklog(ctx context.Context, shard int) error {
	b, revision, err := record.Load[backlog](ctx, a.Store, Prefix(shard)+backlogName)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	c := &a.counts[shard]
	if c.acceptedHere == nil || revision != c.revision {
		*c = shardCount{revision: revision, counted: b.Counts, acceptedHere: map[string]int{}}
	}
	return nil
}

func (a *Acceptor) reserve(shard int, service string) bool {
	limit := a.Limit
	if limit == 0 {
		limit = 8192
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	c := &a.counts[shard]
	if c.counted[service]+c.acceptedHere[service] >= (limit+Shards-1)/Shards {
		return false
	}
	c.acceptedHere[service]++
	return true
}

func (a *Acceptor) release(shard int, service string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c := &a.counts[shard]; c.acceptedHere[service] > 0 {
		c.acceptedHere[service]--
	}
}
