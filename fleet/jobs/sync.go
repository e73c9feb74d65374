package jobs

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"

	"verbenalanding.example/fleet/placement"
	"verbenalanding.example/fleet/record"
	"verbenalanding.example/fleet/store"
)

// cancelPart separates the keys of cancellations from those of jobs, whose ids hold no slash.
const cancelPart = "cancel/"

// maxBatch keeps the record of a mass cancellation below the store's limit of 1 MB.
const maxBatch = 4000

// IsCancellation reports whether a key under record.JobPrefix holds a cancellation and no job.
func IsCancellation(key string) bool { return strings.Contains(key, "/"+cancelPart) }

// batch is a mass cancellation whose record is deleted when all its jobs have their final records.
type batch struct {
	key      string
	revision store.Revision
	left     int
}

func cancelEvent(id string) placement.Cancel { return placement.Cancel{IDs: []string{id}} }

// Cancel records the cancellation of jobs of one pool; one write serves up to 4,000 jobs. Jobs that have ended are
// skipped. ErrUnknownOutcome means that the cancellation may have been recorded; it may be sent again.
func (i *Intake) Cancel(ctx context.Context, pool string, ids []string) error {
	for len(ids) > 0 {
		n := min(len(ids), maxBatch)
		key := prefix(ShardOf(pool, i.shards())) + cancelPart + uuid.NewString()
		if err := i.recordCancel(ctx, key, ids[:n]); err != nil {
			return fmt.Errorf("cancel %d jobs of pool %s: %w", len(ids), pool, err)
		}
		ids = ids[n:]
	}
	return nil
}

func (i *Intake) recordCancel(ctx context.Context, key string, ids []string) error {
	encoded, err := json.Marshal(record.JobCancel{IDs: ids})
	if err != nil {
		return err
	}
	for range 3 {
		_, err = i.Store.Put(ctx, store.PutRequest{Key: key, Value: encoded})
		if err == nil || errors.Is(err, store.ErrConflict) {
			return nil
		}
		if !isUnanswered(err) {
			return err
		}
	}
	return fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
}

// follow reads the shard's records: all of them at first, then the changes.
func (h *Holder) follow(ctx context.Context) error {
	if h.storeDown && h.now.Before(h.retryAt) {
		return nil
	}
	if !h.ready {
		return h.load(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, h.Timing.StoreTimeout)
	defer cancel()
	changes, err := h.Store.Watch(ctx, prefix(h.Shard), h.watched, 0)
	switch {
	case errors.Is(err, store.ErrCompacted):
		return h.load(ctx)
	case err != nil:
		h.storeFailed(err)
		return nil
	}
	h.storeAnswered()
	for _, e := range changes.Events {
		if e.Deleted {
			continue
		}
		if err := h.seen(e.Entry, false); err != nil {
			return err
		}
	}
	h.watched = changes.Revision
	return nil
}

// load reads every record of the shard; on the first time it takes them over.
func (h *Holder) load(ctx context.Context) error {
	// A page of a slow store takes 2 s; a shard with its final records has up to 30 pages.
	ctx, cancel := context.WithTimeout(ctx, 40*h.Timing.StoreTimeout)
	defer cancel()
	entries, revision, err := store.ListAll(ctx, h.Store, prefix(h.Shard))
	if err != nil {
		h.storeFailed(err)
		return nil
	}
	h.storeAnswered()
	// Jobs go first: a cancellation needs to find them.
	slices.SortStableFunc(entries, func(a, b store.Entry) int { return cmp.Compare(cancelRank(h.Shard, a.Key), cancelRank(h.Shard, b.Key)) })
	for _, e := range entries {
		if err := h.seen(e, !h.ready); err != nil {
			return err
		}
	}
	h.watched = revision
	h.ready = true
	return nil
}

func cancelRank(shard int, key string) int {
	if strings.HasPrefix(key, prefix(shard)+cancelPart) {
		return 1
	}
	return 0
}

// seen handles one record of the shard.
func (h *Holder) seen(e store.Entry, first bool) error {
	name := strings.TrimPrefix(e.Key, prefix(h.Shard))
	if strings.HasPrefix(name, cancelPart) {
		return h.seenCancel(e)
	}
	var found record.Job
	if err := json.Unmarshal(e.Value, &found); err != nil {
		h.Log.Error().Err(err).Str("key", e.Key).Msg("record cannot be decoded")
		return nil
	}
	if first {
		h.recall(found)
	}
	known := h.jobs[found.ID]
	switch {
	case known != nil && e.Revision <= known.revision:
		return nil
	case known != nil:
		return h.observed(known, found, e.Revision)
	case found.Epoch > h.Epoch:
		return fmt.Errorf("job %s: %w: %d", found.ID, record.ErrFenced, found.Epoch)
	case jobChart.IsFinal(found.State):
		if first {
			h.finished = append(h.finished, finished{key: e.Key, revision: e.Revision, at: found.Finished})
		}
		return nil
	case found.Epoch == h.Epoch && !first:
		// An older write of this holder to a job that has ended since.
		return nil
	}
	h.takeOver(found, e.Revision)
	if first && found.State == accepted {
		// The former holder could still start the job until its record holds this epoch.
		taken := h.jobs[found.ID]
		taken.job.Epoch = h.Epoch
		taken.dirty = true
	}
	return nil
}

// recall keeps workers closed on which a task may still run that the former holder gave up; reports are older than a
// task that began just before the take-over.
func (h *Holder) recall(found record.Job) {
	workers := found.Former
	if jobChart.IsFinal(found.State) {
		if h.now.Sub(found.Finished) > h.Timing.LeaseFor+h.Timing.ClockSkew {
			return
		}
		if found.State == unknown {
			workers = append(slices.Clone(workers), found.Worker)
		}
	}
	for _, worker := range workers {
		h.node(worker)
		h.distrust(worker)
	}
}

// takeOver begins to follow a job in the state that its record says.
func (h *Holder) takeOver(found record.Job, revision store.Revision) {
	if jobChart.IsFinal(found.State) {
		return
	}
	e := &entry{job: found, revision: revision}
	h.jobs[found.ID] = e
	switch found.State {
	case "checkpointed":
		h.move(e, "requeue")
		h.apply(h.planner.Handle(h.now, placement.Submit{Job: h.plannerJob(found)}))
	case accepted, placed:
		h.unexplained = append(h.unexplained, found.ID)
		h.apply(h.planner.Handle(h.now, placement.Submit{Job: h.plannerJob(found)}))
	case starting, running:
		e.phase = probing
		e.since, e.contact = h.now, h.now
		// The fence: from now on a write of the former holder fails.
		e.job.Epoch = h.Epoch
		e.dirty = true
		h.node(found.Worker).tasks[found.ID] = e
		h.planner.Handle(h.now, placement.Adopt{
			Job: h.plannerJob(found), Worker: found.Worker, Reserved: found.Reserved, Started: found.Started,
		})
	}
}

// seenCancel applies a mass cancellation.
func (h *Holder) seenCancel(e store.Entry) error {
	if h.batches[e.Key] != nil {
		return nil
	}
	var found record.JobCancel
	if err := json.Unmarshal(e.Value, &found); err != nil {
		h.Log.Error().Err(err).Str("key", e.Key).Msg("record cannot be decoded")
		return nil
	}
	b := &batch{key: e.Key, revision: e.Revision}
	h.batches[e.Key] = b
	for _, id := range found.IDs {
		if j := h.jobs[id]; j != nil {
			b.left++
			j.batches = append(j.batches, b)
			h.stop(id)
		}
	}
	return nil
}

// finished is a final record that is deleted after its retention.
type finished struct {
	key      string
	revision store.Revision
	at       time.Time
}

// housekeep deletes at most one record in a step, so that deletions take few of the shard's writes.
func (h *Holder) housekeep(ctx context.Context) {
	if h.storeDown || !h.ready {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, h.Timing.StoreTimeout)
	defer cancel()
	if len(h.finished) > 0 && h.now.Sub(h.finished[0].at) > h.Timing.Retention {
		f := h.finished[0]
		if err := h.Store.Delete(ctx, f.key, f.revision); err != nil && !errors.Is(err, store.ErrNotFound) && !errors.Is(err, store.ErrConflict) {
			h.storeFailed(err)
			return
		}
		h.finished = h.finished[1:]
		return
	}
	h.deleteBatches(ctx)
}

// deleteBatches removes the records of mass cancellations that are complete.
func (h *Holder) deleteBatches(ctx context.Context) {
	for _, key := range sortedKeys(h.batches) {
		b := h.batches[key]
		if b.left > 0 {
			continue
		}
		err := h.Store.Delete(ctx, key, b.revision)
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			h.storeFailed(err)
			return
		}
		delete(h.batches, key)
		return
	}
}
