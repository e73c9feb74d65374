package node

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"time"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/interval"
	"verbenalanding.example/fleet/store"
)

// handoverKey is the key of the handover from a pool's holder to its successor.
func (p *pool) handoverKey() string { return "handover/" + p.name }

// handOver records the runs that may be present on workers for the next holder.
func (p *pool) handOver(ctx context.Context) {
	p.mu.Lock()
	h, ok := p.scheduler.Handover(p.node.Clock.Now())
	p.mu.Unlock()
	if !ok {
		p.log.Info().Msg("duty not handed over, the next holder waits for all workers")
		return
	}
	value, err := json.Marshal(h)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), writeTimeout)
	defer cancel()
	if err == nil {
		_, _, err = p.node.Store.Apply(ctx, store.Transaction{
			If: []store.Condition{p.dutyCondition()}, Put: []store.Write{{Key: p.handoverKey(), Value: value}},
		})
	}
	p.log.Info().Err(err).Int("bytes", len(value)).Int("tasks", h.Tasks()).Msg("duty handed over")
}

// readHandover applies the previous holder's handover and deletes it. A handover is valid only until the next holder's first order; if it
// stayed in the store, a later holder would apply it.
func (p *pool) readHandover(ctx context.Context) error {
	var handover *dispatch.Handover
	return p.retryUntilAnswered(ctx, "handover not read yet", func(ctx context.Context) error {
		entry, err := p.node.Store.Get(ctx, p.handoverKey())
		switch {
		case errors.Is(err, store.ErrNotFound):
			// A newer holder may have applied and deleted the handover; that there was none is certain only if the duty is still held.
			if err := p.confirmDuty(ctx); err != nil {
				return err
			}
		case err != nil:
			return err
		default:
			handover = &dispatch.Handover{}
			if err := json.Unmarshal(entry.Value, handover); err != nil {
				p.log.Error().Err(err).Msg("handover cannot be decoded, waiting for all workers")
				handover = nil
			}
			if err := p.deleteHandover(ctx, entry); err != nil {
				return err
			}
		}
		if handover != nil {
			p.applyHandover(*handover)
		}
		return nil
	})
}

func (p *pool) deleteHandover(ctx context.Context, entry store.Entry) error {
	_, current, err := p.node.Store.Apply(ctx, store.Transaction{
		If: []store.Condition{p.dutyCondition(), {Key: entry.Key, Revision: entry.Revision}}, Delete: []string{entry.Key},
	})
	if errors.Is(err, store.ErrConflict) && !p.ownsDuty(current) {
		return errLost
	}
	return err
}

// ownsDuty reports whether the duty's key is among the entries and still has this holder's fencing token.
func (p *pool) ownsDuty(entries []store.Entry) bool {
	duty := p.dutyCondition()
	return findEntry(entries, duty.Key).Revision == duty.Revision
}

// confirmDuty reads the duty's key and returns errLost unless it still has this holder's fencing token.
func (p *pool) confirmDuty(ctx context.Context) error {
	entry, err := p.node.Store.Get(ctx, p.dutyCondition().Key)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return err
	}
	if err != nil || !p.ownsDuty([]store.Entry{entry}) {
		return errLost
	}
	return nil
}

// confirmWorkerList reports whether the duty is still held after the first list of registrations was read; otherwise it ends the duty.
func (p *pool) confirmWorkerList(ctx context.Context) bool {
	err := p.retryUntilAnswered(ctx, "list of workers not confirmed yet", p.confirmDuty)
	if errors.Is(err, errLost) {
		p.markLost()
	}
	return err == nil
}

func (p *pool) applyHandover(h dispatch.Handover) {
	p.mu.Lock()
	p.scheduler.InheritHandover(h, p.node.Clock.Now())
	p.mu.Unlock()
	p.log.Info().Uint64("writer", h.Writer).Int("workers", len(h.Runs)).Int("tasks", h.Tasks()).Msg("handover applied")
}

// retryUntilAnswered repeats a read of previous holders' records until the store has answered or the duty is lost. The timeout of an attempt
// does not limit the transfer of its answer: lists of records have up to a megabyte a page.
func (p *pool) retryUntilAnswered(ctx context.Context, message string, read func(context.Context) error) error {
	for tries := 1; ; tries++ {
		err := read(store.WithAnswerTimeout(ctx, p.node.StoreTimeout.forAttempt(tries)))
		if err == nil || errors.Is(err, errLost) {
			return err
		}
		p.log.Warn().Err(err).Int("tries", tries).Msg(message)
		if !waitRetry(ctx) {
			return context.Cause(ctx)
		}
	}
}

// workerRecord is the record of workers for a successor that takes over without a handover.
type workerRecord struct {
	// Unresponsive holds the tasks that may run on unresponsive workers.
	Unresponsive dispatch.TasksByWorker `json:"silent"`
	// Known names all workers that may run tasks of the holder, on platforms without a list of machines.
	Known []string `json:"known,omitempty"`
}

// unresponsiveKey is the key of the record of a pool's unresponsive workers.
func (p *pool) unresponsiveKey() string { return "silent/" + p.name }

// unresponsiveInterval is how often the pool is checked for unresponsive workers.
const unresponsiveInterval = 100 * time.Millisecond

// recordUnresponsive records the tasks that may run on unresponsive workers, so that a successor without contact to these workers delays
// only those tasks.
func (p *pool) recordUnresponsive(ctx context.Context) error {
	for range interval.EachOr(ctx, unresponsiveInterval, p.recordNow.Items()) {
		now := p.node.Clock.Now()
		if !p.active() {
			continue
		}
		p.mu.Lock()
		unresponsive, unresponsiveChanged := p.scheduler.UnresponsiveRecord(now)
		known, knownChanged := p.scheduler.KnownWorkers(now)
		p.mu.Unlock()
		if unresponsiveChanged || knownChanged {
			p.writeUnresponsive(ctx, workerRecord{Unresponsive: unresponsive, Known: known})
		}
	}
	return nil
}

// writeUnresponsive writes the record on condition that its revision is the last known one, so that a write that arrives late has no effect.
func (p *pool) writeUnresponsive(ctx context.Context, record workerRecord) {
	value, err := json.Marshal(record)
	if err != nil {
		p.log.Error().Err(err).Msg("record of unresponsive workers not encoded")
		return
	}
	p.unresponsiveTries++
	callCtx, cancel := context.WithTimeout(ctx, p.node.StoreTimeout.forAttempt(p.unresponsiveTries))
	defer cancel()
	sent := p.node.Clock.Now()
	revision, current, err := p.node.Store.Apply(callCtx, store.Transaction{
		If:  []store.Condition{p.dutyCondition(), {Key: p.unresponsiveKey(), Revision: p.unresponsiveRevision}},
		Put: []store.Write{{Key: p.unresponsiveKey(), Value: value}},
	})
	if errors.Is(err, store.ErrConflict) {
		// An unanswered earlier attempt may have taken effect; the conflict also shows the duty's current revision.
		stored := findEntry(current, p.unresponsiveKey())
		p.unresponsiveRevision = stored.Revision
		if !p.ownsDuty(current) {
			p.markLost()
		} else if bytes.Equal(stored.Value, value) {
			revision, err = stored.Revision, nil
		}
	}
	p.log.Info().Err(err).Int("workers", len(record.Unresponsive)).Int("known", len(record.Known)).Msg("unresponsive workers recorded")
	if err != nil {
		return
	}
	p.unresponsiveRevision, p.unresponsiveTries = revision, 0
	p.node.Elector.MarkHeld(p.name, p.fence, sent)
	p.mu.Lock()
	p.scheduler.UnresponsiveRecorded(record.Unresponsive)
	p.scheduler.KnownWorkersRecorded(record.Known)
	p.mu.Unlock()
	p.triggerPlan()
}

// findEntry returns the entry of a key, or an empty one.
func findEntry(entries []store.Entry, key string) store.Entry {
	for _, e := range entries {
		if e.Key == key {
			return e
		}
	}
	return store.Entry{}
}

// readUnresponsive reads and applies the previous holder's record of unresponsive workers.
func (p *pool) readUnresponsive(ctx context.Context) error {
	return p.retryUntilAnswered(ctx, "record of unresponsive workers not read yet", func(ctx context.Context) error {
		entry, err := p.node.Store.Get(ctx, p.unresponsiveKey())
		if errors.Is(err, store.ErrNotFound) {
			return nil
		}
		if err != nil {
			return err
		}
		p.inheritRecord(entry)
		return nil
	})
}

func (p *pool) inheritRecord(entry store.Entry) {
	p.unresponsiveRevision = entry.Revision
	var record workerRecord
	if err := json.Unmarshal(entry.Value, &record); err != nil {
		p.log.Error().Err(err).Msg("record of unresponsive workers cannot be decoded, waiting for all workers")
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.scheduler.InheritUnresponsive(record.Unresponsive)
	p.scheduler.InheritKnownWorkers(record.Known)
	p.log.Info().Int("workers", len(record.Unresponsive)).Int("known", len(record.Known)).Msg("record of unresponsive workers applied")
}
