package node

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/interval"
	"verbenalanding.example/fleet/leadership"
	"verbenalanding.example/fleet/store"
)

// announceInterval is how often a holder checks its announcement without a plan that shows a difference.
const announceInterval = time.Second

// announceLimit tells all nodes of the largest job that the pool takes, whenever that has changed, until the context ends.
func (p *pool) announceLimit(ctx context.Context) error {
	for range interval.EachOr(ctx, announceInterval, p.announceNow.Items()) {
		for ctx.Err() == nil && p.active() && p.announcementDiffers() {
			if err := p.announce(ctx); err != nil {
				p.log.Warn().Err(err).Msg("limit of the pool not announced yet")
				waitRetry(ctx)
			}
		}
	}
	return nil
}

func (p *pool) announcementDiffers() bool {
	return p.node.jobLimits.get(p.name).LargestJob != p.largestJob()
}

// announce writes the announcement on condition that the duty is still held and that the key has its last known revision, so that a write that arrives
// late has no effect.
func (p *pool) announce(ctx context.Context) error {
	key, known := leadership.AnnouncementPrefix+p.name, p.node.jobLimits.get(p.name)
	limit := jobLimit{LargestJob: p.largestJob()}
	t := store.Transaction{If: []store.Condition{p.dutyCondition(), {Key: key, Revision: known.revision}}}
	if limit.LargestJob == dispatch.AnyJob {
		t.Delete = []string{key}
	} else {
		value, err := json.Marshal(limit)
		if err != nil {
			return err
		}
		t.Put = []store.Write{{Key: key, Value: value}}
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	revision, current, err := p.node.Store.Apply(ctx, t)
	switch {
	case errors.Is(err, store.ErrConflict):
		// An unanswered attempt may have taken effect, or this node has not learned of the former holder's announcement yet.
		e := findEntry(current, key)
		e.Key = key
		p.node.announced(p.name, store.Event{Entry: e, Deleted: e.Revision == 0})
		return err
	case err != nil:
		return err
	case len(t.Delete) > 0:
		p.node.jobLimits.remove(p.name)
	default:
		limit.revision = revision
		p.node.jobLimits.set(p.name, limit)
	}
	p.log.Info().Int64("largestJob", limit.LargestJob).Int64("keptBytes", p.keptBytes()).Msg("limit of the pool announced")
	return nil
}

func (p *pool) keptBytes() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.scheduler.KeptBytes()
}
