package node

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"verbenalanding.example/fleet/dispatch"
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

// readHandover takes over what the holder before has left. It counts only once it is deleted: a holder after this one must not
// find it.
func (p *pool) readHandover(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	entry, err := p.node.Store.Get(ctx, p.handoverKey())
	if errors.Is(err, store.ErrNotFound) {
		return
	}
	var h dispatch.Handover
	if err == nil {
		err = json.Unmarshal(entry.Value, &h)
	}
	if err == nil {
		_, _, err = p.node.Store.Apply(ctx, store.Transaction{
			If: []store.Condition{p.dutyCondition(), {Key: entry.Key, Revision: entry.Revision}}, Delete: []string{entry.Key},
		})
	}
	if err != nil {
		p.log.Warn().Err(err).Msg("handover not taken, all workers are waited for")
		return
	}
	p.mu.Lock()
	p.core.Follow(h, p.node.Clock.Now())
	p.mu.Unlock()
	p.log.Info().Uint64("writer", h.Writer).Int("workers", len(h.Runs)).Msg("handover taken")
}

// silentKey names the record of a pool's silent workers and of what may run on them.
func (p *pool) silentKey() string { return "silent/" + p.name }

// sealEvery is how often silent workers are looked for.
const sealEvery = 100 * time.Millisecond

// sealSilent records what may run on workers that became silent, so that a successor that does not hear them either waits for
// those tasks only.
func (p *pool) sealSilent(ctx context.Context) error {
	ticker := time.NewTicker(sealEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		now := p.node.Clock.Now()
		if !p.holds() {
			continue
		}
		p.mu.Lock()
		seals, changed := p.core.Seals(now)
		p.mu.Unlock()
		if changed {
			p.writeSilent(ctx, seals)
		}
	}
}

// writeSilent writes the record under the condition of its last revision, so that a write that takes effect late changes nothing.
func (p *pool) writeSilent(ctx context.Context, seals dispatch.Seals) {
	value, err := json.Marshal(seals)
	if err != nil {
		p.log.Error().Err(err).Msg("silent workers not encoded")
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	revision, current, err := p.node.Store.Apply(callCtx, store.Transaction{
		If:  []store.Condition{p.dutyCondition(), {Key: p.silentKey(), Revision: p.silentRevision}},
		Put: []store.Write{{Key: p.silentKey(), Value: value}},
	})
	if errors.Is(err, store.ErrConflict) {
		for _, e := range current {
			if e.Key == p.silentKey() {
				p.silentRevision = e.Revision
			}
		}
	}
	p.log.Info().Err(err).Int("workers", len(seals)).Msg("silent workers recorded")
	if err != nil {
		return
	}
	p.silentRevision = revision
	p.mu.Lock()
	p.core.Sealed(seals)
	p.mu.Unlock()
}

// readSilent takes over which workers were silent for the holder before. A record that was not read may not stay in the store,
// where the next holder would find it, so that the read is repeated until it is answered.
func (p *pool) readSilent(ctx context.Context) error {
	for tries := 1; ; tries++ {
		callCtx, cancel := context.WithTimeout(ctx, p.node.Patience.try(tries))
		entry, err := p.node.Store.Get(callCtx, p.silentKey())
		cancel()
		if errors.Is(err, store.ErrNotFound) {
			return nil
		}
		if err == nil {
			return p.inherit(entry)
		}
		p.log.Warn().Err(err).Int("tries", tries).Msg("record of silent workers not read yet")
		pause(ctx, storePause)
		if ctx.Err() != nil {
			return context.Cause(ctx)
		}
	}
}

func (p *pool) inherit(entry store.Entry) error {
	var seals dispatch.Seals
	if err := json.Unmarshal(entry.Value, &seals); err != nil {
		return fmt.Errorf("read record of silent workers: %w", err)
	}
	p.silentRevision = entry.Revision
	p.mu.Lock()
	defer p.mu.Unlock()
	p.core.Inherit(seals)
	p.log.Info().Int("workers", len(seals)).Msg("silent workers taken over")
	return nil
}
