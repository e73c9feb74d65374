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

// cancelSegment distinguishes the keys of cancellations from those of jobs, whose ids contain no slash.
const cancelSegment = "cancel/"

// maxCancelBatch keeps the record of a mass cancellation below the store's limit of 1 MB.
const maxCancelBatch = 4000

// IsCancellation reports whether a key under record.JobPrefix belongs to a cancellation rather than a job.
func IsCancellation(key string) bool { return strings.Contains(key, "/"+cancelSegment) }

// cancellation is a mass cancellation. Its record is deleted once the final records of all its jobs are stored.
type cancellation struct {
	key      string
	revision store.Revision
	pending  int
}

func cancelEvent(id string) placement.Cancel { return placement.Cancel{IDs: []string{id}} }

// Cancel records the cancellation of jobs of one pool; one write serves up to 4,000 jobs. Jobs that have ended are
// skipped. ErrUnknownOutcome means that the cancellation may have been recorded; it may be sent again.
func (i *Intake) Cancel(ctx context.Context, pool string, ids []string) error {
	for len(ids) > 0 {
		n := min(len(ids), maxCancelBatch)
		key := shardPrefix(ShardOf(pool, i.shards())) + cancelSegment + uuid.NewString()
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

// syncRecords reads the shard's records: all of them the first time and after store.ReplayLimit without an answer, otherwise only changes.
func (h *Holder) syncRecords(ctx context.Context) error {
	if h.storeDown && h.now.Before(h.retryAt) {
		return nil
	}
	if !h.ready || h.now.Sub(h.syncedAt) >= store.ReplayLimit {
		return h.load(ctx)
	}
	ctx, cancel := context.WithTimeout(ctx, h.Timing.StoreTimeout)
	defer cancel()
	changes, err := h.Store.Watch(ctx, shardPrefix(h.Shard), h.watchRevision, 0)
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
		if err := h.handleRecord(e.Entry, false); err != nil {
			return err
		}
	}
	h.watchRevision, h.syncedAt = changes.Revision, h.now
	return nil
}

// load reads every record of the shard; the first time, it takes over the jobs.
func (h *Holder) load(ctx context.Context) error {
	// A page from a slow store takes 2 s, and a shard with its final records has up to 30 pages.
	ctx, cancel := context.WithTimeout(ctx, 40*h.Timing.StoreTimeout)
	defer cancel()
	entries, revision, err := store.ListAll(ctx, h.Store, shardPrefix(h.Shard))
	if err != nil {
		h.storeFailed(err)
		return nil
	}
	h.storeAnswered()
	// Jobs come before cancellations, which refer to them.
	slices.SortStableFunc(entries, func(a, b store.Entry) int { return cmp.Compare(cancelRank(h.Shard, a.Key), cancelRank(h.Shard, b.Key)) })
	for _, e := range entries {
		if err := h.handleRecord(e, !h.ready); err != nil {
			return err
		}
	}
	h.watchRevision, h.syncedAt = revision, h.now
	h.ready = true
	return nil
}

func cancelRank(shard int, key string) int {
	if strings.HasPrefix(key, shardPrefix(shard)+cancelSegment) {
		return 1
	}
	return 0
}

// handleRecord handles one record of the shard; initial means that it comes from the first load.
func (h *Holder) handleRecord(e store.Entry, initial bool) error {
	name := strings.TrimPrefix(e.Key, shardPrefix(h.Shard))
	if strings.HasPrefix(name, cancelSegment) {
		return h.handleCancellation(e)
	}
	var stored record.Job
	if err := json.Unmarshal(e.Value, &stored); err != nil {
		h.Log.Error().Err(err).Str("key", e.Key).Msg("record cannot be decoded")
		return nil
	}
	if initial {
		h.closeFormerWorkers(stored)
	}
	tracked := h.jobs[stored.ID]
	switch {
	case tracked != nil && e.Revision <= tracked.revision:
		return nil
	case tracked != nil:
		return h.reconcile(tracked, stored, e.Revision)
	case stored.Epoch > h.Epoch:
		return fmt.Errorf("job %s: %w: %d", stored.ID, record.ErrFenced, stored.Epoch)
	case jobChart.IsFinal(stored.State):
		if initial {
			h.finalRecords = append(h.finalRecords, finalRecord{key: e.Key, revision: e.Revision, at: stored.Finished})
		}
		return nil
	case stored.Epoch == h.Epoch && !initial:
		// The record is an earlier write of this holder to a job that has ended since.
		return nil
	}
	h.takeOver(stored, e.Revision)
	if initial && stored.State == accepted {
		// The former holder could start the job until its record carries this epoch.
		added := h.jobs[stored.ID]
		added.job.Epoch = h.Epoch
		added.dirty = true
	}
	return nil
}

// closeFormerWorkers closes the workers on which an abandoned task of the former holder may still run. Usage reports lag, so
// they may not show a task that started just before the takeover.
func (h *Holder) closeFormerWorkers(stored record.Job) {
	workers := stored.FormerWorkers
	if jobChart.IsFinal(stored.State) {
		if h.now.Sub(stored.Finished) > h.Timing.LeaseFor+h.Timing.ClockSkew {
			return
		}
		if stored.State == unknown {
			workers = append(slices.Clone(workers), stored.Worker)
		}
	}
	for _, worker := range workers {
		h.workerState(worker)
		h.closeUntilClear(worker)
	}
}

// takeOver starts tracking a job in the state given by its record.
func (h *Holder) takeOver(stored record.Job, revision store.Revision) {
	if jobChart.IsFinal(stored.State) {
		return
	}
	e := &trackedJob{job: stored, revision: revision}
	h.jobs[stored.ID] = e
	switch stored.State {
	case "checkpointed":
		h.transition(e, "requeue")
		h.applyPlacement(h.planner.Handle(h.now, placement.Submit{Job: h.plannerJob(stored)}))
	case accepted, placed:
		h.unexplained = append(h.unexplained, stored.ID)
		h.applyPlacement(h.planner.Handle(h.now, placement.Submit{Job: h.plannerJob(stored)}))
	case starting, running:
		e.phase = verifying
		e.since, e.lastConfirmed = h.now, h.now
		// The new epoch fences the former holder: once it is stored, its writes fail.
		e.job.Epoch = h.Epoch
		e.dirty = true
		h.workerState(stored.Worker).tasks[stored.ID] = e
		h.planner.Handle(h.now, placement.Adopt{
			Job: h.plannerJob(stored), Worker: stored.Worker, Reserved: stored.Reserved, Started: stored.Started,
		})
	}
}

// handleCancellation applies the record of a mass cancellation.
func (h *Holder) handleCancellation(e store.Entry) error {
	if h.cancellations[e.Key] != nil {
		return nil
	}
	var stored record.JobCancel
	if err := json.Unmarshal(e.Value, &stored); err != nil {
		h.Log.Error().Err(err).Str("key", e.Key).Msg("record cannot be decoded")
		return nil
	}
	c := &cancellation{key: e.Key, revision: e.Revision}
	h.cancellations[e.Key] = c
	for _, id := range stored.IDs {
		if j := h.jobs[id]; j != nil {
			c.pending++
			j.cancellations = append(j.cancellations, c)
			h.cancelJob(id)
		}
	}
	return nil
}

// finalRecord is the record of an ended job, which is deleted after the retention time.
type finalRecord struct {
	key      string
	revision store.Revision
	at       time.Time
}

// deleteExpired deletes at most one record per step, so that deletions use little of the shard's share of writes.
func (h *Holder) deleteExpired(ctx context.Context) {
	if h.storeDown || !h.ready {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, h.Timing.StoreTimeout)
	defer cancel()
	if len(h.finalRecords) > 0 && h.now.Sub(h.finalRecords[0].at) > h.Timing.Retention {
		f := h.finalRecords[0]
		if err := h.Store.Delete(ctx, f.key, f.revision); err != nil && !errors.Is(err, store.ErrNotFound) && !errors.Is(err, store.ErrConflict) {
			h.storeFailed(err)
			return
		}
		h.finalRecords = h.finalRecords[1:]
		return
	}
	h.deleteCompletedCancellation(ctx)
}

// deleteCompletedCancellation deletes the record of one completed mass cancellation.
func (h *Holder) deleteCompletedCancellation(ctx context.Context) {
	for _, key := range sortedKeys(h.cancellations) {
		c := h.cancellations[key]
		if c.pending > 0 {
			continue
		}
		err := h.Store.Delete(ctx, key, c.revision)
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			h.storeFailed(err)
			return
		}
		delete(h.cancellations, key)
		return
	}
}
