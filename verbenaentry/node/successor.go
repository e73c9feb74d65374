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

// handoverKey names what a pool's holder leaves to its successor.
func (p *pool) handoverKey() string { return "handover/" + p.name }

// handOver tells the next holder which runs may be present.
func (p *pool) handOver(ctx context.Context) {
	p.mu.Lock()
	h, ok := p.core.Handover(p.node.Clock.Now())
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
	p.log.Info().Err(err).Int("bytes", len(value)).Msg("duty handed over")
}

// readHandover takes over what the holder before has left. A handover is true only until the next holder's first order, so that none
// may be left in the store by then: a later holder would believe it.
func (p *pool) readHandover(ctx context.Context) error {
	var read *dispatch.Handover
	return p.retryUntilAnswered(ctx, "handover not taken yet", func(ctx context.Context) error {
		entry, err := p.node.Store.Get(ctx, p.handoverKey())
		switch {
		case errors.Is(err, store.ErrNotFound):
			// It is surely gone only if no other node has taken the duty meanwhile, and with it the handover.
			if err := p.confirmDuty(ctx); err != nil {
				return err
			}
		case err != nil:
			return err
		default:
			read = &dispatch.Handover{}
			if err := json.Unmarshal(entry.Value, read); err != nil {
				p.log.Error().Err(err).Msg("handover cannot be read, all workers are waited for")
				read = nil
			}
			if err := p.deleteHandover(ctx, entry); err != nil {
				return err
			}
		}
		if read != nil {
			p.applyHandover(*read)
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

// ownsDuty reports whether entries of the store show the duty as this holder's.
func (p *pool) ownsDuty(entries []store.Entry) bool {
	duty := p.dutyCondition()
	return findEntry(entries, duty.Key).Revision == duty.Revision
}

// proveDuty reads whether the duty is still this holder's.
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

// proveList reports whether the duty is still held after the first list of registrations was read; it ends the duty otherwise.
func (p *pool) confirmWorkerList(ctx context.Context) bool {
	err := p.retryUntilAnswered(ctx, "list of workers not proven yet", p.confirmDuty)
	if errors.Is(err, errLost) {
		p.markLost()
	}
	return err == nil
}

func (p *pool) applyHandover(h dispatch.Handover) {
	p.mu.Lock()
	p.core.InheritHandover(h, p.node.Clock.Now())
	p.mu.Unlock()
	p.log.Info().Uint64("writer", h.Writer).Int("workers", len(h.Runs)).Msg("handover taken")
}

// untilAnswered repeats a read of what the holders before left until the store has answered it or the duty is lost.
func (p *pool) retryUntilAnswered(ctx context.Context, failed string, read func(context.Context) error) error {
	for tries := 1; ; tries++ {
		callCtx, cancel := context.WithTimeout(ctx, p.node.StoreTimeout.forAttempt(tries))
		err := read(callCtx)
		cancel()
		if err == nil || errors.Is(err, errLost) {
			return err
		}
		p.log.Warn().Err(err).Int("tries", tries).Msg(failed)
		if !waitRetry(ctx) {
			return context.Cause(ctx)
		}
	}
}

// workerRecord is what a holder leaves about workers to one that replaces it without a handover.
type workerRecord struct {
	// Silent names what may run on silent workers.
	Unresponsive dispatch.Unresponsive `json:"silent"`
	// Known are all workers with what the holder started, where no list of machines tells of them.
	Known []string `json:"known,omitempty"`
}

// silentKey names the record of a pool's silent workers.
func (p *pool) unresponsiveKey() string { return "silent/" + p.name }

// sealEvery is how often silent workers are looked for.
const unresponsiveInterval = 100 * time.Millisecond

// sealSilent records what may run on workers that became silent, so that a successor that does not hear them either waits for
// those tasks only.
func (p *pool) recordUnresponsive(ctx context.Context) error {
	for range interval.EachOr(ctx, unresponsiveInterval, p.recordNow.Items()) {
		now := p.node.Clock.Now()
		if !p.holds() {
			continue
		}
		p.mu.Lock()
		seals, sealsChanged := p.core.UnresponsiveRecord(now)
		known, knownChanged := p.core.KnownWorkers(now)
		p.mu.Unlock()
		if sealsChanged || knownChanged {
			p.writeUnresponsive(ctx, workerRecord{Unresponsive: seals, Known: known})
		}
	}
	return nil
}

// writeSilent writes the record under the condition of its last revision, so that a write that takes effect late changes nothing.
func (p *pool) writeUnresponsive(ctx context.Context, record workerRecord) {
	value, err := json.Marshal(record)
	if err != nil {
		p.log.Error().Err(err).Msg("record of silent workers not encoded")
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
		// An earlier attempt may have taken effect unheard; the answer shows the duty's present revision too.
		stored := findEntry(current, p.unresponsiveKey())
		p.unresponsiveRevision = stored.Revision
		if !p.ownsDuty(current) {
			p.markLost()
		} else if bytes.Equal(stored.Value, value) {
			revision, err = stored.Revision, nil
		}
	}
	p.log.Info().Err(err).Int("workers", len(record.Unresponsive)).Int("known", len(record.Known)).Msg("silent workers recorded")
	if err != nil {
		return
	}
	p.unresponsiveRevision, p.unresponsiveTries = revision, 0
	p.node.Elector.MarkHeld(p.name, p.fence, sent)
	p.mu.Lock()
	p.core.UnresponsiveRecorded(record.Unresponsive)
	p.core.KnownWorkersRecorded(record.Known)
	p.mu.Unlock()
	p.triggerPlan()
}

// find returns the entry of a key, or an empty one.
func findEntry(entries []store.Entry, key string) store.Entry {
	for _, e := range entries {
		if e.Key == key {
			return e
		}
	}
	return store.Entry{}
}

// readSilent takes over which workers were silent for the holder before.
func (p *pool) readUnresponsive(ctx context.Context) error {
	return p.retryUntilAnswered(ctx, "record of silent workers not read yet", func(ctx context.Context) error {
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
		p.log.Error().Err(err).Msg("record of silent workers cannot be read, all workers are waited for")
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.InheritUnresponsive(record.Unresponsive)
	p.core.InheritKnownWorkers(record.Known)
	p.log.Info().Int("workers", len(record.Unresponsive)).Int("known", len(record.Known)).Msg("silent workers taken over")
}
