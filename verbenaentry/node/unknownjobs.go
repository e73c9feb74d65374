package node

import (
	"context"
	"errors"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/interval"
	"verbenalanding.example/fleet/store"
	"verbenalanding.example/fleet/workload"
)

const (
	// unknownJobInterval is how often unknown jobs that workers report are looked up. The runs of such a job continue meanwhile.
	unknownJobInterval = 50 * time.Millisecond
	// unknownJobReads bounds the concurrent reads of unknown jobs.
	unknownJobReads = 8
)

// readUnknownJobs reads the jobs that workers report and that are unknown to the scheduler: an earlier holder was notified of them before
// the watch delivered them, or they no longer exist. Unanswered reads are repeated.
func (p *pool) readUnknownJobs(ctx context.Context) error {
	for tries := 1; ctx.Err() == nil; interval.Wait(ctx, unknownJobInterval) {
		if !p.active() {
			continue
		}
		p.mu.Lock()
		ids := p.scheduler.UnknownJobs()
		p.mu.Unlock()
		err := p.readUnknown(ctx, ids, tries)
		if err == nil {
			tries = 1
			continue
		}
		p.log.Warn().Err(err).Int("jobs", len(ids)).Int("tries", tries).Msg("unknown jobs not read from the store, retrying")
		tries++
	}
	return nil
}

// readUnknown reads each job from the store once and starts no further reads after one has failed; it returns the first error.
func (p *pool) readUnknown(ctx context.Context, ids []string, tries int) error {
	group, groupCtx := errgroup.WithContext(ctx)
	group.SetLimit(unknownJobReads)
	for _, id := range ids {
		group.Go(func() error {
			if groupCtx.Err() != nil {
				return nil
			}
			return p.readUnknownJob(ctx, id, tries)
		})
	}
	return group.Wait()
}

// readUnknownJob reads a job and passes its stored state to the scheduler; the watch may also deliver the job, earlier or later. A job is
// stored before its first run begins, so a reported job that is not in the store was deleted.
func (p *pool) readUnknownJob(ctx context.Context, id string, tries int) error {
	snapshot, err := p.readJob(ctx, id, tries)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return err
	}
	now := p.node.Clock.Now()
	p.mu.Lock()
	if err != nil {
		p.scheduler.NoSuchJob(id, now)
	} else {
		p.scheduler.AddJob(snapshot.job, snapshot.record, uint64(snapshot.revision) < p.fence, now)
		if snapshot.cancelled {
			p.scheduler.Cancel(id, now)
		}
	}
	p.mu.Unlock()
	p.log.Info().Str("job", id).Bool("exists", err == nil).Msg("unknown job read from the store")
	p.triggerPlan()
	return nil
}

// jobSnapshot is the stored state of a job.
type jobSnapshot struct {
	job       workload.Job
	revision  store.Revision
	record    *dispatch.Record
	cancelled bool
}

// readJob reads a job with the record of its progress, or returns store.ErrNotFound. A finished job and its record are deleted together, so
// that a missing record means "no progress" only if the job still exists after the read of the record.
func (p *pool) readJob(ctx context.Context, id string, tries int) (jobSnapshot, error) {
	entry, err := p.get(ctx, jobKey(p.name, id), tries)
	if err != nil {
		return jobSnapshot{}, err
	}
	snapshot := jobSnapshot{revision: entry.Revision}
	snapshot.job, err = p.decodeJob(entry.Value, entry.Revision)
	if errors.Is(err, errStoredUnderNewer) {
		return jobSnapshot{}, err
	}
	if err != nil {
		// No holder starts a job that it cannot decode.
		p.log.Error().Err(err).Str("job", id).Msg("stored job cannot be decoded")
		return jobSnapshot{}, store.ErrNotFound
	}
	if _, err = p.get(ctx, cancelKey(p.name, id), tries); err == nil {
		snapshot.cancelled = true
	} else if !errors.Is(err, store.ErrNotFound) {
		return jobSnapshot{}, err
	}
	state, err := p.get(ctx, stateKey(p.name, id), tries)
	if errors.Is(err, store.ErrNotFound) {
		_, err = p.get(ctx, entry.Key, tries)
		return snapshot, err
	}
	if err != nil {
		return jobSnapshot{}, err
	}
	record, err := dispatch.DecodeRecord(state.Value)
	if err != nil {
		return jobSnapshot{}, fmt.Errorf("read record of job %s: %w", id, err)
	}
	snapshot.record = &record
	return snapshot, nil
}

// get reads a key once, with the timeout of the attempt.
func (p *pool) get(ctx context.Context, key string, tries int) (store.Entry, error) {
	ctx, cancel := context.WithTimeout(ctx, p.node.StoreTimeout.forAttempt(tries))
	defer cancel()
	return p.node.Store.Get(ctx, key)
}
