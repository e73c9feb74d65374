package node

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"slices"
	"strings"
	"time"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/interval"
	"verbenalanding.example/fleet/leadership"
	"verbenalanding.example/fleet/store"
)

const (
	// writeInterval is the time over which changes that end no job are batched; ended runs are acknowledged after the write.
	writeInterval = 100 * time.Millisecond
	// writeTimeout is the timeout of a write that is not retried immediately.
	writeTimeout = 800 * time.Millisecond
	// recordsPerWrite is the number of records in a transaction, which also holds a condition for each record and one for the duty.
	recordsPerWrite = (store.MaxTransaction - 2) / 2
	// maxBackoffDoublings is how often the pause between attempts doubles at most.
	maxBackoffDoublings = 4
	// expireInterval is how often expired records are deleted.
	expireInterval = 20 * time.Second
)

var (
	errReleased = leadership.ErrReleased
	errLost     = leadership.ErrLost
)

// write records changes in the store: immediately when a job has ended, otherwise in batches.
func (p *pool) write(ctx context.Context) error {
	lastExpiry := p.takenAt
	p.writeTries = 1
	for triggered := range interval.EachOr(ctx, writeInterval, p.writeNow.Items()) {
		if !p.valid() {
			continue
		}
		changes := p.scheduler.Batch
		if triggered {
			changes = p.scheduler.EndedJobs
		}
		if err := p.writeOnce(ctx, changes); err != nil {
			p.log.Warn().Err(err).Int("tries", p.writeTries).Msg("records not written yet")
			p.writeTries++
			if errors.Is(err, errLost) {
				p.markLost()
				interval.Wait(ctx, writeInterval)
			}
			if !errors.Is(err, store.ErrConflict) {
				interval.Wait(ctx, min(storeRetryPause<<min(p.writeTries, maxBackoffDoublings), writeInterval))
			}
			_ = p.writeNow.Offer(struct{}{})
		} else {
			p.writeTries = 1
		}
		if now := p.node.Clock.Now(); now.Sub(lastExpiry) > expireInterval {
			lastExpiry = now
			p.deleteExpired(ctx, now)
		}
	}
	return nil
}

// writeLast records the remaining changes when the duty is released.
func (p *pool) writeLast(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), writeTimeout)
	defer cancel()
	for ctx.Err() == nil {
		err := p.writeOnce(ctx, p.scheduler.Batch)
		if err == nil || errors.Is(err, errLost) {
			return
		}
		p.log.Warn().Err(err).Int("tries", p.writeTries).Msg("last records not written yet")
		p.writeTries++
		waitRetry(ctx)
	}
}

// writeOnce writes the changes once. A job whose record cannot be stored ends by that, which is written instead.
func (p *pool) writeOnce(ctx context.Context, changes func() dispatch.Batch) error {
	for {
		p.mu.Lock()
		batch := changes()
		p.mu.Unlock()
		err := p.encode(batch)
		if err == nil {
			return p.writeBatch(ctx, batch, p.writeRecords)
		}
		if !errors.Is(err, dispatch.ErrRecordTooLarge) {
			return err
		}
	}
}

// encode encodes the records of a batch. It ends a job whose record is larger than a value of the store, and returns an error for it.
func (p *pool) encode(batch dispatch.Batch) error {
	for i := range batch.Changes {
		c := &batch.Changes[i]
		value, err := c.Record.Encode(p.node.maxValueBytes())
		if err != nil {
			p.refuseRecord(c.Job, err)
			return err
		}
		c.Value = value
	}
	return nil
}

// refuseRecord ends a job whose record the store cannot take.
func (p *pool) refuseRecord(job string, cause error) {
	p.mu.Lock()
	failed := p.scheduler.RefuseRecord(job, p.node.Clock.Now())
	p.mu.Unlock()
	delete(p.refusedWrites, job)
	p.log.Error().Err(cause).Str("job", job).Bool("failed", failed).Msg("record of a job cannot be stored")
}

// writeBatch writes a batch in chunks. Each chunk is acknowledged as soon as it is written: while the store loses answers, almost every
// pass through a large batch has a chunk that fails.
//
// The ended runs of a batch without changes are acknowledged without a confirmation of the duty. That is safe even for a holder that has
// lost its duty: such ends change nothing, because the end of the task or job, or the counted failure, was written while the duty was held.
func (p *pool) writeBatch(ctx context.Context, batch dispatch.Batch, write func(context.Context, []dispatch.Change) error) error {
	var refused error
	for rest := batch.Changes; len(rest) > 0; {
		n := p.chunkSize(rest)
		chunk := rest[:n]
		rest = rest[n:]
		err := p.writeChunk(ctx, chunk, write)
		if errors.Is(err, store.ErrInvalid) {
			refused = err
			continue
		}
		if err != nil {
			return err
		}
	}
	if refused != nil {
		return refused
	}
	p.mu.Lock()
	p.scheduler.BatchRecorded(batch)
	p.mu.Unlock()
	return nil
}

// chunkSize returns how many of the changes go into the next transaction, whose values together are no larger than a single one may be.
func (p *pool) chunkSize(changes []dispatch.Change) int {
	size := 0
	for n, c := range changes {
		size += len(c.Value)
		if n > 0 && (n == recordsPerWrite || size > p.node.maxValueBytes()) {
			return n
		}
	}
	return len(changes)
}

// maxRefusedWrites is how often in a row the store refuses a record as invalid until its job is ended. That takes 2 s or more, in which a store
// that refuses all calls shows so at the renewals of the lease.
const maxRefusedWrites = 20

// writeChunk writes a chunk. One that the store refuses as invalid is written record by record, so that a record that it never accepts holds up
// no others.
func (p *pool) writeChunk(ctx context.Context, chunk []dispatch.Change, write func(context.Context, []dispatch.Change) error) error {
	err := write(ctx, chunk)
	if err == nil {
		p.writeTries = 1
		p.mu.Lock()
		p.scheduler.BatchRecorded(dispatch.Batch{Changes: chunk})
		p.mu.Unlock()
		return nil
	}
	if !errors.Is(err, store.ErrInvalid) {
		return err
	}
	if len(chunk) == 1 {
		job := chunk[0].Job
		if p.refusedWrites[job]++; p.refusedWrites[job] >= maxRefusedWrites && p.node.Elector.StoreReachable() {
			p.refuseRecord(job, err)
		}
		return err
	}
	var refused error
	for i := range chunk {
		err := p.writeChunk(ctx, chunk[i:i+1], write)
		if errors.Is(err, store.ErrInvalid) {
			refused = err
			continue
		}
		if err != nil {
			return err
		}
	}
	return refused
}

// maxValueBytes is the largest value that the store accepts.
func (n *Node) maxValueBytes() int { return cmp.Or(n.Settings.MaxValueBytes, store.MaxValueSize) }

func (p *pool) dutyCondition() store.Condition {
	return store.Condition{Key: leadership.Prefix + p.name, Revision: store.Revision(p.fence)}
}

// writeRecords writes on condition that the duty is still held and that each record has its last known revision, so that a write that
// arrives late has no effect.
func (p *pool) writeRecords(ctx context.Context, changes []dispatch.Change) error {
	t := store.Transaction{If: []store.Condition{p.dutyCondition()}}
	for _, c := range changes {
		key := stateKey(p.name, c.Job)
		t.If = append(t.If, store.Condition{Key: key, Revision: p.revisions[c.Job]})
		t.Put = append(t.Put, store.Write{Key: key, Value: c.Value})
	}
	ctx, cancel := context.WithTimeout(ctx, p.node.StoreTimeout.forAttempt(p.writeTries))
	defer cancel()
	sent := p.node.Clock.Now()
	revision, current, err := p.node.Store.Apply(ctx, t)
	if errors.Is(err, store.ErrConflict) {
		return p.resolveConflict(t, current)
	}
	if err != nil {
		return err
	}
	p.node.Elector.MarkHeld(p.name, p.fence, sent)
	for _, c := range changes {
		p.revisions[c.Job] = revision
		delete(p.refusedWrites, c.Job)
		p.log.Debug().Str("job", c.Job).Str("state", string(c.Record.State)).Uint64("revision", uint64(revision)).Msg("record written")
	}
	return nil
}

// resolveConflict adopts the revisions in the store after a failed condition. An earlier, unanswered write of this holder may have taken
// effect: records that already have the intended value in the store count as written.
func (p *pool) resolveConflict(t store.Transaction, current []store.Entry) error {
	missing := 0
	for _, w := range t.Put {
		e := findEntry(current, w.Key)
		p.revisions[strings.TrimPrefix(w.Key, stateKey(p.name, ""))] = e.Revision
		if !bytes.Equal(e.Value, w.Value) {
			missing++
		}
	}
	if !p.ownsDuty(current) {
		return errLost
	}
	if missing > 0 {
		return store.ErrConflict
	}
	return nil
}

// deleteExpired deletes the jobs whose state need no longer be reported, with their records.
func (p *pool) deleteExpired(ctx context.Context, now time.Time) {
	p.mu.Lock()
	ids := p.scheduler.ExpiredJobs(now)
	p.mu.Unlock()
	const keysPerJob = 4
	const perCall = (store.MaxTransaction - 1) / keysPerJob
	for chunk := range slices.Chunk(ids, perCall) {
		t := store.Transaction{If: []store.Condition{p.dutyCondition()}}
		for _, id := range chunk {
			t.Delete = append(t.Delete, jobKey(p.name, id), stateKey(p.name, id), cancelKey(p.name, id))
			if queue := p.queueKey(id); queue != "" {
				t.Delete = append(t.Delete, acceptedKey(queue, id))
			}
		}
		callCtx, cancel := context.WithTimeout(ctx, writeTimeout)
		_, _, err := p.node.Store.Apply(callCtx, t)
		cancel()
		if err != nil {
			p.log.Warn().Err(err).Int("jobs", len(ids)).Msg("expired jobs and their records not deleted yet")
			return
		}
		p.forgetJobs(chunk)
	}
}

// queueKey returns the key of the queue of a job.
func (p *pool) queueKey(id string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.scheduler.QueueKey(id)
}

// forgetJobs removes jobs that were deleted from the store.
func (p *pool) forgetJobs(ids []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.scheduler.RemoveJobs(ids)
	for _, id := range ids {
		delete(p.revisions, id)
	}
}
