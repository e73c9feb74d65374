package jobs

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"

	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/record"
	"verbenalanding.example/fleet/store"
)

// outcome is the result of a write.
type outcome int

const (
	// writeUnknown means that it is unknown whether the write takes effect.
	writeUnknown outcome = iota
	// writeApplied means that the store holds the record.
	writeApplied
	// writeConflict means that the store holds a different record with a newer revision.
	writeConflict
	// writeDeferred means that the write was not sent because the shard's share of writes is used up.
	writeDeferred
)

type writeResult struct {
	tracked  *trackedJob
	outcome  outcome
	revision store.Revision
	stored   record.Job
	err      error
}

// flush writes changed records in order of priority, at most maxWrites per step.
func (h *Holder) flush(ctx context.Context) error {
	if !h.ready || (h.storeDown && h.now.Before(h.retryAt)) {
		return nil
	}
	var changed []*trackedJob
	for _, e := range h.jobs {
		if e.dirty {
			changed = append(changed, e)
		}
	}
	slices.SortFunc(changed, func(a, b *trackedJob) int {
		return cmp.Or(cmp.Compare(writePriority(a), writePriority(b)), a.job.Accepted.Compare(b.job.Accepted), cmp.Compare(a.job.ID, b.job.ID))
	})
	changed = changed[:min(len(changed), maxWrites)]
	results := make([]writeResult, len(changed))
	var group errgroup.Group
	group.SetLimit(h.writers)
	for i, e := range changed {
		group.Go(func() error {
			results[i] = h.write(ctx, e)
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	for _, r := range results {
		if err := h.handleWrite(r); err != nil {
			return err
		}
	}
	return nil
}

// writePriority orders writes: those that a start waits for come first, explanations last.
func writePriority(e *trackedJob) int {
	urgent := e.job.Class == string(declaration.Urgent)
	switch {
	case e.phase == verifying:
		return 0
	case e.phase == recordingStart && urgent:
		return 1
	case e.phase == recordingStart:
		return 2
	case e.phase == ended:
		return 3
	case e.phase == active:
		return 4
	}
	return 5
}

// write makes one compare-and-swap. If its answer is lost or reports a conflict, it reads the record from the store.
func (h *Holder) write(ctx context.Context, e *trackedJob) writeResult {
	ctx, cancel := context.WithTimeout(ctx, 2*h.Timing.StoreTimeout)
	defer cancel()
	key := Key(h.Shard, e.job.ID)
	writeCtx, stop := context.WithTimeout(ctx, h.Timing.StoreTimeout)
	defer stop()
	revision, err := record.Save(writeCtx, h.Store, key, e.job, e.revision, 0)
	switch {
	case err == nil:
		return writeResult{tracked: e, outcome: writeApplied, revision: revision}
	case errors.Is(err, store.ErrOverShare):
		return writeResult{tracked: e, outcome: writeDeferred}
	case !errors.Is(err, store.ErrConflict) && !isUnanswered(err):
		return writeResult{tracked: e, outcome: writeUnknown, err: err}
	}
	stored, revision, readErr := record.Load[record.Job](ctx, h.Store, key)
	switch {
	case readErr != nil:
		return writeResult{tracked: e, outcome: writeUnknown, err: readErr}
	case revision == e.revision:
		return writeResult{tracked: e, outcome: writeUnknown, err: err}
	}
	return writeResult{tracked: e, outcome: writeConflict, revision: revision, stored: stored}
}

func sameRecord(a, b record.Job) bool {
	encodedA, errA := json.Marshal(a)
	encodedB, errB := json.Marshal(b)
	return errA == nil && errB == nil && bytes.Equal(encodedA, encodedB)
}

// handleWrite handles the result of a write.
func (h *Holder) handleWrite(r writeResult) error {
	switch r.outcome {
	case writeApplied:
		h.storeAnswered()
		h.recordStored(r.tracked, r.revision)
	case writeConflict:
		h.storeAnswered()
		return h.reconcile(r.tracked, r.stored, r.revision)
	case writeUnknown:
		h.storeFailed(r.err)
	case writeDeferred:
	}
	return nil
}

// recordStored continues with a job once its record is confirmed to be stored.
func (h *Holder) recordStored(e *trackedJob, revision store.Revision) {
	e.revision = revision
	e.dirty = false
	switch e.phase {
	case recordingStart:
		if h.Valid != nil && !h.Valid() {
			// The duty may have passed to another holder. The record's state is starting, so the next holder verifies the job.
			return
		}
		e.phase = startSent
		e.since, e.lastConfirmed, e.renewedAt = h.now, h.now, h.now
		h.addCall(e, opStart)
	case ended:
		h.stopTracking(e)
	case queued, startSent, verifying, active:
	}
}

// stopTracking removes a job whose final record is stored from the tracked jobs.
func (h *Holder) stopTracking(e *trackedJob) {
	delete(h.jobs, e.job.ID)
	h.finalRecords = append(h.finalRecords, finalRecord{key: Key(h.Shard, e.job.ID), revision: e.revision, at: e.job.Finished})
	for _, c := range e.cancellations {
		c.pending--
	}
}

// reconcile handles a record in the store that differs from the expected one.
func (h *Holder) reconcile(e *trackedJob, stored record.Job, revision store.Revision) error {
	switch {
	case stored.Epoch > h.Epoch:
		return fmt.Errorf("job %s: %w: %d", stored.ID, record.ErrFenced, stored.Epoch)
	case sameRecord(stored, e.job):
		h.recordStored(e, revision)
	case stored.Epoch == h.Epoch:
		// An earlier write of this holder took effect although its answer was lost.
		e.revision = revision
		e.dirty = true
	default:
		// A former holder changed the record before it was fenced. Its change is valid and is taken over.
		h.detach(e)
		delete(h.jobs, e.job.ID)
		h.applyPlacement(h.planner.Handle(h.now, cancelEvent(e.job.ID)))
		h.takeOver(stored, revision)
	}
	return nil
}

func (h *Holder) storeAnswered() { h.storeDown, h.storeFailures = false, 0 }

// storeFailed delays the next call to the store by a backoff with jitter, so that the shards do not all call it at the same time after an
// outage.
func (h *Holder) storeFailed(err error) {
	if errors.Is(err, store.ErrOverShare) || errors.Is(err, store.ErrConflict) {
		return
	}
	if !h.storeDown {
		h.Log.Warn().Err(err).Msg("store unavailable; renewing running tasks, starting no new jobs")
	}
	h.storeDown = true
	h.storeFailures = min(h.storeFailures+1, 5)
	wait := 125 * time.Millisecond << h.storeFailures
	jitter := xxhash.Sum64String(strconv.Itoa(h.Shard)+"/"+strconv.FormatInt(h.now.UnixNano(), 10)) % uint64(wait/2)
	h.retryAt = h.now.Add(wait/2 + time.Duration(jitter))
}
