package deferred

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"verbenalanding.example/fleet/interval"
	"verbenalanding.example/fleet/record"
	"verbenalanding.example/fleet/ring"
	"verbenalanding.example/fleet/store"
)

const (
	// pageLimit bounds the size of one read to about 5 MB.
	pageLimit      = 20
	watchWait      = 10 * time.Second
	pollInterval   = 100 * time.Millisecond
	countInterval  = 2 * time.Second
	deleteInterval = 500 * time.Millisecond
	// lossMargin is a lease of 10 s plus 4 s of clock skew.
	lossMargin = 14 * time.Second
)

// ErrFenced is returned by Run when a holder with a higher epoch has taken the shard over.
var ErrFenced = fmt.Errorf("deferred shard was taken over: %w", record.ErrFenced)

// Holder runs the deferred work of one shard; set the exported fields before Run.
type Holder struct {
	Store store.Store
	Shard int
	// Epoch is the fencing epoch of the duty.
	Epoch    record.Epoch
	Executor Executor
	// Retention is how long finished records are kept for status reads; 24 h when 0.
	Retention time.Duration
	// SaveTimeout bounds the attempts to record a result; after that, the next attempt of the work records it. 5 min when 0.
	SaveTimeout time.Duration
	// LossMargin is added to an attempt's deadline before the holder that marked it counts as lost; 14 s when 0.
	LossMargin time.Duration
	// Now returns the current time; time.Now when nil.
	Now func() time.Time
	Log zerolog.Logger
	// Queue holds the limits; unset fields get their defaults.
	Queue Queue

	events *ring.Ring[store.Batch]
	ends   *ring.Ring[finishedAttempt]
	// markedByOthers maps work that other holders have marked to the time at which the attempt counts as lost.
	markedByOthers  map[string]time.Time
	finishedAt      map[string]time.Time
	mark            string
	runCtx          context.Context
	unsavedResults  sync.Map
	writtenCounts   map[string]int
	dirty           bool
	backlogRevision store.Revision
	countedAt       time.Time
	deletedAt       time.Time
}

type finishedAttempt struct {
	id     string
	result attemptEnd
}

// Default fills unset fields.
func (h *Holder) Default() {
	if h.Now == nil {
		h.Now = time.Now
	}
	if h.Retention == 0 {
		h.Retention = 24 * time.Hour
	}
	if h.SaveTimeout == 0 {
		h.SaveTimeout = 5 * time.Minute
	}
	if h.LossMargin == 0 {
		h.LossMargin = lossMargin
	}
	h.Queue.Default()
	h.events = ring.New[store.Batch](4)
	h.ends = ring.New[finishedAttempt](2 * h.Queue.MaxRunning)
	h.markedByOthers = map[string]time.Time{}
	h.finishedAt = map[string]time.Time{}
	h.mark = rand.Text()
}

// Run runs the work of the shard until ctx ends or another holder takes over; it then waits for the attempts in flight.
func (h *Holder) Run(ctx context.Context) error {
	h.Default()
	g, runCtx := errgroup.WithContext(ctx)
	h.runCtx = runCtx
	var attempts errgroup.Group
	g.Go(func() error { return h.follow(runCtx) })
	g.Go(func() error { return h.runAttempts(runCtx, &attempts) })
	err := g.Wait()
	_ = attempts.Wait()
	return err
}

// follow lists the shard once and then watches it for changes; after a compaction, or store.ReplayLimit without an answer, it lists the shard
// again.
func (h *Holder) follow(ctx context.Context) error {
	after, listed, wait := store.Revision(0), false, pollInterval
	answeredAt := h.Now()
	for {
		var batch store.Batch
		var err error
		if !listed {
			batch, err = h.list(ctx)
		} else {
			batch, err = h.Store.Watch(ctx, Prefix(h.Shard), after, watchWait)
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			listed = listed && !errors.Is(err, store.ErrCompacted) && h.Now().Sub(answeredAt) < store.ReplayLimit
			if err := interval.Backoff(ctx, &wait, maxBackoff); err != nil {
				return err
			}
			continue
		}
		listed, after, wait, answeredAt = true, batch.Revision, pollInterval, h.Now()
		for h.events.Offer(batch) != nil {
			if err := interval.Backoff(ctx, &wait, maxBackoff); err != nil {
				return err
			}
		}
		wait = pollInterval
	}
}

// list returns the records of the shard as a batch, without the bodies. A page that is not answered is read again, so that a long backlog is
// listed although some answers are lost; pages are not a snapshot, and the watch returns what has changed since the first one.
func (h *Holder) list(ctx context.Context) (store.Batch, error) {
	var batch store.Batch
	from, wait := "", pollInterval
	for {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		page, err := h.Store.List(callCtx, Prefix(h.Shard), from, pageLimit)
		cancel()
		if err != nil {
			if err := interval.Backoff(ctx, &wait, maxBackoff); err != nil {
				return store.Batch{}, fmt.Errorf("list deferred shard %d: %w", h.Shard, err)
			}
			continue
		}
		wait = pollInterval
		if from == "" {
			batch.Revision = page.Revision
		}
		for _, e := range page.Entries {
			batch.Events = append(batch.Events, store.Event{Entry: withoutBody(e)})
		}
		if page.Next == "" {
			return batch, nil
		}
		from = page.Next
	}
}

// withoutBody removes the body and the answer of a record, so that a long backlog does not keep all bodies in memory.
func withoutBody(e store.Entry) store.Entry {
	r, err := decode(e.Value)
	if err != nil || r.ID == "" {
		return e
	}
	r.Body, r.Answer = nil, nil
	if value, err := json.Marshal(r); err == nil {
		e.Value = value
	}
	return e
}

// maxBackoff bounds the wait before the next attempt of a call.
const maxBackoff = 2 * time.Second

// runAttempts starts the attempts and applies events; only this goroutine accesses the queue.
func (h *Holder) runAttempts(ctx context.Context, attempts *errgroup.Group) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case b := <-h.events.Items():
			for _, e := range b.Events {
				if err := h.applyEvent(e); err != nil {
					return err
				}
			}
		case e := <-h.ends.Items():
			if err := h.applyEnd(e); err != nil {
				return err
			}
		case <-ticker.C:
			if err := h.maintain(ctx); err != nil {
				return err
			}
		}
		for {
			id, attempt, found := h.Queue.Next(h.Now())
			if !found {
				break
			}
			attempts.Go(func() error {
				// The attempt continues if the duty is lost: the mark prevents other holders from running the work.
				end := h.attempt(context.WithoutCancel(ctx), id, attempt)
				_ = h.ends.Offer(finishedAttempt{id: id, result: end})
				return nil
			})
		}
	}
}

// applyEvent applies a change of a record.
func (h *Holder) applyEvent(e store.Event) error {
	id := strings.TrimPrefix(e.Entry.Key, Prefix(h.Shard))
	if id == backlogName {
		return h.applyBacklog(e.Entry)
	}
	if e.Deleted {
		delete(h.finishedAt, id)
		delete(h.markedByOthers, id)
		return nil
	}
	r, err := decode(e.Entry.Value)
	if err != nil {
		h.Log.Error().Err(err).Str("key", e.Entry.Key).Msg("deferred record cannot be decoded; it is left unchanged")
		return nil
	}
	if r.Epoch > h.Epoch {
		return ErrFenced
	}
	delete(h.markedByOthers, id)
	h.dirty = true
	switch r.State {
	case Waiting:
		h.Queue.Add(r.Work, r.Attempts, h.Now())
	case Running:
		if r.Mark != h.mark {
			h.markedByOthers[id] = r.Started.Add(r.Deadline + h.LossMargin)
		}
	default:
		h.finishedAt[id] = r.Finished
	}
	return nil
}

func (h *Holder) applyBacklog(e store.Entry) error {
	var b backlog
	if err := json.Unmarshal(e.Value, &b); err != nil {
		return nil
	}
	if b.Epoch > h.Epoch {
		return ErrFenced
	}
	h.backlogRevision = e.Revision
	return nil
}

func (h *Holder) applyEnd(e finishedAttempt) error {
	now := h.Now()
	h.dirty = true
	switch e.result {
	case endFenced:
		return ErrFenced
	case endRefused:
		h.Queue.Refused(e.id, now)
	case endFailed:
		h.Queue.Failed(e.id, now)
	case endDone:
		h.Queue.Done(e.id)
	}
	return nil
}

// maintain performs the periodic tasks: it recovers lost attempts, writes the backlog record and deletes expired records.
func (h *Holder) maintain(ctx context.Context) error {
	now := h.Now()
	for id, due := range h.markedByOthers {
		if now.After(due) {
			delete(h.markedByOthers, id)
			if err := h.recover(ctx, id); err != nil {
				return err
			}
		}
	}
	if now.Sub(h.countedAt) >= countInterval {
		h.countedAt = now
		h.writeBacklog(ctx)
	}
	if now.Sub(h.deletedAt) >= deleteInterval {
		h.deletedAt = now
		h.deleteExpired(ctx, now)
	}
	return nil
}

func (h *Holder) writeBacklog(ctx context.Context) {
	counts := h.Queue.Counts()
	// Acceptors add the work accepted since the last write to the counts, so the record is written again after any change of
	// the shard.
	if !h.dirty && h.writtenCounts != nil && maps.Equal(counts, h.writtenCounts) {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	revision, err := record.Save(callCtx, h.Store, Prefix(h.Shard)+backlogName, backlog{Epoch: h.Epoch, Counts: counts}, h.backlogRevision, 0)
	if err == nil {
		h.backlogRevision, h.writtenCounts, h.dirty = revision, counts, false
	}
}

func (h *Holder) deleteExpired(ctx context.Context, now time.Time) {
	for id, finishedAt := range h.finishedAt {
		if now.Sub(finishedAt) <= h.Retention {
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		r, revision, err := record.Load[Record](callCtx, h.Store, StoreKey(id))
		if err == nil && !r.Finished.IsZero() && now.Sub(r.Finished) > h.Retention {
			err = h.Store.Delete(callCtx, StoreKey(id), revision)
		}
		cancel()
		if err == nil || errors.Is(err, store.ErrNotFound) {
			delete(h.finishedAt, id)
		}
		return
	}
}
