package node

import (
	"context"
	"encoding/json"
	"fmt"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/store"
	"verbenalanding.example/fleet/workload"
)

// notificationLimit bounds the concurrent notifications of holders, as clientIntake.notices bounds their bytes. A notification beyond either is skipped,
// and the holder receives the change by its watch.
const notificationLimit = 64

// storedJob notifies a holder of a newly stored job.
type storedJob struct {
	Pool     string          `json:"pool"`
	ID       string          `json:"id"`
	Value    json.RawMessage `json:"value"`
	Revision store.Revision  `json:"revision"`
}

// notice notifies a pool's holder of a change that a request has stored.
type notice struct {
	pool, method string
	// params are those of the call to another node; result receives its answer, unless it is nil.
	params, result any
	// local notifies the holder if it is this node.
	local func(*pool)
	// answered is called once the holder has answered; nil for none.
	answered func()
	// bytes is the memory of the notification; 0 for one that does not count.
	bytes int64
}

// notifyHolder notifies a pool's holder, without waiting. The holder also receives the change by its watch, but not for seconds when the store has
// compacted its history.
func (n *Node) notifyHolder(c notice) {
	if c.answered == nil {
		c.answered = func() {}
	}
	if held := n.pools.get(c.pool); held != nil {
		c.local(held)
		c.answered()
		return
	}
	size := min(c.bytes, n.intake.noticeBytes)
	if !n.intake.notices.TryAcquire(size) {
		return
	}
	if started := n.notifications.TryGo(func() error {
		defer n.intake.notices.Release(size)
		ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
		defer cancel()
		if err := n.callHolder(ctx, c.pool, c.method, c.params, c.result); err != nil {
			n.Log.Debug().Str("pool", c.pool).Err(err).Msg("holder not notified of a stored request")
			return nil
		}
		c.answered()
		return nil
	}); !started {
		n.intake.notices.Release(size)
	}
}

// noticeCopies is the memory of a notification of a stored job as a multiple of that job: the record, its message and the buffer in which that is encoded.
const noticeCopies = 4

// addStoredJob adds a newly stored job. Jobs that were stored before this holder took the duty are in its list of jobs.
func (p *pool) addStoredJob(s storedJob) error {
	if uint64(s.Revision) < p.fence {
		return nil
	}
	j, err := p.decodeJob(s.Value, s.Revision)
	if err != nil {
		return err
	}
	p.update(func(scheduler *dispatch.Pool) { scheduler.AddJob(j, nil, false, p.node.Clock.Now()) })
	return nil
}

// errStoredUnderNewer is returned for a job that was stored under a newer holder, which starts its tasks.
var errStoredUnderNewer = fmt.Errorf("%w: job was stored under a newer holder", ErrNotHolder)

// decodeJob decodes a job that was stored at a revision. A job that was stored under a newer holder ends the duty.
func (p *pool) decodeJob(value []byte, revision store.Revision) (workload.Job, error) {
	j, err := decodeStoredJob(value)
	if err != nil {
		return j, err
	}
	if j.Fence >= uint64(revision) {
		// A fencing token is the revision of a key that was written before; this one is from another writer and says nothing.
		j.Fence = 0
	}
	if j.Fence > p.fence {
		p.markLost()
		return j, errStoredUnderNewer
	}
	return j, nil
}

// cancelJob carries out a stored cancellation request.
func (p *pool) cancelJob(id string) {
	p.update(func(scheduler *dispatch.Pool) { scheduler.Cancel(id, p.node.Clock.Now()) })
}

// decodeStoredJob decodes and checks a job from the store: another version of the program, or another writer, may have stored one that no node
// can hold.
func decodeStoredJob(value []byte) (workload.Job, error) {
	var j workload.Job
	if err := json.Unmarshal(value, &j); err != nil {
		return j, err
	}
	return j, j.Check()
}
