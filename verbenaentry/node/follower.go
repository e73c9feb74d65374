package node

import (
	"context"
	"errors"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/store"
	"verbenalanding.example/platform"
)

// jobFollower watches the pool's jobs in the store and passes accepted and cancelled jobs to the pool's scheduler.
type jobFollower struct {
	pool    *pool
	records map[string]dispatch.Record
	// invalidRecords names the jobs whose records cannot be decoded.
	invalidRecords map[string]bool
	// applied is true once the first list of jobs has been applied.
	applied bool
	// loaded is closed once the job records and the records of the previous holder are read, ready once the scheduler has all stored jobs.
	loaded, ready chan struct{}
}

// load reads the records of previous holders. It reads them concurrently, since each call may take long with a slow store.
func (f *jobFollower) load(ctx context.Context) error {
	p := f.pool
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error {
		var err error
		f.records, f.invalidRecords, err = p.loadRecords(groupCtx)
		return err
	})
	group.Go(func() error { return p.readHandover(groupCtx) })
	group.Go(func() error { return p.readUnresponsive(groupCtx) })
	if err := group.Wait(); err != nil {
		return err
	}
	close(f.loaded)
	return nil
}

// staleListAge is the age above which the first list of jobs is read again before it is applied: a caller may have cancelled a job since the
// list was read, and no task may start more than 3 s, the platform's bound, after the cancellation of its job.
const staleListAge = 500 * time.Millisecond

func (f *jobFollower) await(ctx context.Context, c <-chan struct{}) bool {
	select {
	case <-ctx.Done():
		return false
	case <-c:
		return true
	}
}

// apply passes changed jobs to the scheduler; the first call, with the list of all jobs, waits for the records of previous holders.
func (f *jobFollower) apply(ctx context.Context, events []store.Event) {
	p := f.pool
	receivedAt := p.node.Clock.Now()
	if !f.await(ctx, f.loaded) {
		return
	}
	if !f.applied && p.node.Clock.Now().Sub(receivedAt) > staleListAge {
		var err error
		if events, err = f.listJobs(ctx); err != nil {
			return
		}
	}
	now := p.node.Clock.Now()
	p.mu.Lock()
	var cancelled []string
	for i, e := range events {
		// The memory of a value is free once it is decoded: a first list may be large.
		events[i].Entry.Value = nil
		id := strings.TrimPrefix(e.Entry.Key, "job/"+p.name+"/")
		if e.Deleted {
			continue
		}
		if strings.HasSuffix(id, cancelSuffix) {
			cancelled = append(cancelled, strings.TrimSuffix(id, cancelSuffix))
			continue
		}
		j, err := p.decodeJob(e.Entry.Value, e.Entry.Revision)
		if errors.Is(err, errStoredUnderNewer) {
			p.log.Info().Str("job", id).Msg("duty ends: a job was stored under a newer holder")
			continue
		}
		if err != nil {
			p.log.Error().Err(err).Str("job", id).Msg("stored job cannot be decoded")
			continue
		}
		if f.invalidRecords[id] {
			p.log.Error().Str("job", id).Msg("job left out, since its record cannot be decoded and its tasks may have run")
			continue
		}
		var record *dispatch.Record
		if r, ok := f.records[id]; ok {
			record = &r
		}
		p.log.Debug().Str("job", id).Interface("record", record).Msg("job read")
		p.scheduler.AddJob(j, record, uint64(e.Entry.Revision) < p.fence, now)
	}
	for _, id := range cancelled {
		p.scheduler.Cancel(id, now)
	}
	p.mu.Unlock()
	if !f.applied {
		f.applied, f.records = true, nil
		close(f.ready)
		p.node.pools.set(p.name, p)
		p.log.Info().Dur("took", now.Sub(p.takenAt)).Int("jobs", len(events)).Msg("pool taken over")
	}
	p.triggerPlan()
}

// applyWorkers passes changed registrations of workers to the scheduler and starts to renew the leases of the pool's new workers.
func (p *pool) applyWorkers(ctx context.Context, events []store.Event) {
	now := p.node.Clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range events {
		if e.Deleted {
			p.scheduler.WorkerDeregistered(strings.TrimPrefix(e.Entry.Key, platform.WorkerPrefix), now)
			continue
		}
		w, err := platform.DecodeWorker(e.Entry.Key, e.Entry.Value)
		if err != nil {
			p.log.Warn().Err(err).Msg("registration ignored")
			p.scheduler.WorkerDeregistered(strings.TrimPrefix(e.Entry.Key, platform.WorkerPrefix), now)
			continue
		}
		if w.Pool != p.name {
			p.scheduler.WorkerDeregistered(w.ID, now)
			continue
		}
		p.scheduler.SetWorker(w, now)
		p.machines.registered(w)
		if !p.leased[w.ID] {
			p.leased[w.ID] = true
			p.group.Go(func() error { return p.hold(ctx, w.ID) })
		}
	}
	if !p.registrationsListed {
		p.registrationsListed = true
		p.scheduler.RegistrationsListed()
	}
	if p.scheduler.NeedsRecord() {
		_ = p.recordNow.Offer(struct{}{})
	}
	p.triggerPlan()
}
