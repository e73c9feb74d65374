package deferred

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"verbenalanding.example/fleet/interval"
	"verbenalanding.example/fleet/record"
	"verbenalanding.example/fleet/store"
)

// attemptEnd is how an attempt ended for the queue.
type attemptEnd uint8

const (
	// endRefused attempts were certainly not run.
	endRefused attemptEnd = iota
	// endFailed attempts of repeatable work may have run.
	endFailed
	endDone
	endFenced
)

// attempt runs work once. Non-repeatable work is marked in the store beforehand, so that it never runs a second time.
func (h *Holder) attempt(ctx context.Context, id string, attempt int) attemptEnd {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	r, revision, err := record.Load[Record](callCtx, h.Store, StoreKey(id))
	cancel()
	if unsavedResult, found := h.unsavedResults.Load(id); found && err == nil && r.Epoch <= h.Epoch {
		return h.saveResult(ctx, unsavedResult.(Record), revision)
	}
	// A mark of this Run without a result is left over from an attempt that could not confirm its mark and did not dispatch.
	marked := r.State == Running && r.Mark == h.mark
	switch {
	case errors.Is(err, store.ErrNotFound):
		h.unsavedResults.Delete(id)
		return endDone
	case err != nil:
		return endRefused
	case r.Epoch > h.Epoch:
		return endFenced
	case r.State != Waiting && !marked:
		return endDone
	}
	r.Attempts = max(attempt, r.Attempts+1)
	if !r.Repeatable {
		r.State, r.Epoch, r.Mark, r.Started = Running, h.Epoch, h.mark, h.Now()
		revision, err = h.saveRecord(ctx, r, revision, callTimeout)
		if err != nil {
			return endForError(err)
		}
	}
	runCtx, cancel := context.WithTimeout(ctx, r.Deadline)
	result := h.Executor.Execute(runCtx, r.Work, r.Attempts)
	cancel()
	return h.conclude(ctx, r, revision, result)
}

func (h *Holder) conclude(ctx context.Context, r Record, revision store.Revision, result Result) attemptEnd {
	switch {
	case result.State == Waiting && r.Repeatable:
		return endRefused
	case result.State == Unknown && r.Repeatable:
		return endFailed
	}
	r.Epoch, r.State, r.Reason, r.Status = h.Epoch, result.State, result.Reason, result.Status
	if result.State != Waiting {
		r.AnswerType, r.Answer = result.AnswerType, result.Answer
		if len(r.Answer) > MaxAnswer {
			r.Answer, r.AnswerDropped = nil, true
		}
		r.Body, r.Finished = nil, h.Now()
	}
	return h.saveResult(ctx, r, revision)
}

// saveResult records the result of an attempt. A result that cannot be recorded now is kept in memory, since the work must
// not run again to obtain it.
func (h *Holder) saveResult(ctx context.Context, r Record, revision store.Revision) attemptEnd {
	// A holder that has lost its duty records a result only if the store answers within callTimeout; otherwise its successor
	// recovers the work.
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(h.runCtx, func() { time.AfterFunc(callTimeout, cancel) })()
	if _, err := h.saveRecord(ctx, r, revision, h.SaveTimeout); err != nil {
		h.unsavedResults.Store(r.ID, r)
		if errors.Is(err, ErrFenced) {
			return endFenced
		}
		return endFailed
	}
	h.unsavedResults.Delete(r.ID)
	if r.State == Waiting {
		return endRefused
	}
	return endDone
}

func endForError(err error) attemptEnd {
	if errors.Is(err, ErrFenced) {
		return endFenced
	}
	// After a conflict, the next attempt reads the changed record.
	return endRefused
}

// saveRecord writes a record and, if the answer is lost, reads it back: the write took effect if mark, epoch, attempts and
// state are those written. A write that is abandoned after limit may still take effect later; for a mark this leads to
// Unknown, never to a second run, because only a confirmed mark is followed by a dispatch.
func (h *Holder) saveRecord(ctx context.Context, r Record, expect store.Revision, limit time.Duration) (store.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	value, err := json.Marshal(r)
	if err != nil {
		return 0, fmt.Errorf("encode deferred work %s: %w", r.ID, err)
	}
	wait := pollInterval
	for {
		callCtx, stop := context.WithTimeout(ctx, callTimeout)
		revision, err := h.Store.Put(callCtx, store.PutRequest{Key: StoreKey(r.ID), Value: value, Expect: expect})
		stop()
		if err == nil {
			return revision, nil
		}
		callCtx, stop = context.WithTimeout(ctx, callTimeout)
		stored, current, readErr := record.Load[Record](callCtx, h.Store, StoreKey(r.ID))
		stop()
		switch {
		case readErr == nil && stored.Epoch > h.Epoch:
			return 0, ErrFenced
		case readErr == nil && stored.Mark == r.Mark && stored.Epoch == r.Epoch && stored.Attempts == r.Attempts && stored.State == r.State:
			return current, nil
		case readErr == nil && current != expect, errors.Is(readErr, store.ErrNotFound):
			return 0, fmt.Errorf("write deferred work %s: %w", r.ID, store.ErrConflict)
		}
		if interval.Backoff(ctx, &wait, maxBackoff) != nil {
			return 0, fmt.Errorf("write deferred work %s: %w", r.ID, err)
		}
	}
}

// recover records work as Unknown that another holder has marked and not finished within its deadline.
func (h *Holder) recover(ctx context.Context, id string) error {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	r, revision, err := record.Load[Record](callCtx, h.Store, StoreKey(id))
	switch {
	case errors.Is(err, store.ErrNotFound), err == nil && (r.State != Running || r.Mark == h.mark):
		return nil
	case err != nil:
		h.markedByOthers[id] = h.Now().Add(time.Second)
		return nil
	case r.Epoch > h.Epoch:
		return ErrFenced
	}
	lost := r
	lost.State, lost.Epoch, lost.Reason = Unknown, h.Epoch, "holderLost"
	lost.Body, lost.Finished = nil, h.Now()
	_, err = h.saveRecord(ctx, lost, revision, callTimeout)
	if errors.Is(err, ErrFenced) {
		return err
	}
	if err != nil && !errors.Is(err, store.ErrConflict) {
		h.markedByOthers[id] = h.Now().Add(time.Second)
	}
	return nil
}
