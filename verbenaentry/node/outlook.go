package node

import (
	"context"
	"errors"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/store"
	"verbenalanding.example/fleet/workload"
)

// storedAnswer is the answer to methodStored; that of an older version is null.
type storedAnswer struct {
	// Outlook is nil while the pool refuses no jobs.
	Outlook *dispatch.Outlook `json:"outlook,omitempty"`
}

// outlooks holds the last outlook of each pool that its holder told this node.
type outlooks struct {
	mu   sync.Mutex
	last map[string]receivedOutlook
	// returns spreads the times at which refused callers come back, by pool.
	returns map[string]*dispatch.Returns
	// unanswered holds the ids of jobs that this node may have stored without knowing, and when their calls ended.
	unanswered map[string]time.Time
}

const (
	// unansweredKept is how long a write may be carried out after its call has ended, with a margin.
	unansweredKept = time.Minute
	// maxUnanswered bounds the ids that are kept. While there are as many, the store is disturbed, and no job is refused.
	maxUnanswered = 10_000
)

type receivedOutlook struct {
	*dispatch.Outlook
	at time.Time
}

func (o *outlooks) set(pool string, outlook *dispatch.Outlook, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.last == nil {
		o.last, o.returns = map[string]receivedOutlook{}, map[string]*dispatch.Returns{}
	}
	o.last[pool] = receivedOutlook{outlook, now}
}

// decide returns why a job is refused, or nil for a job that is taken: also while no recent outlook of its pool is known.
func (o *outlooks) decide(j *workload.Job, now time.Time) *dispatch.Refusal {
	o.mu.Lock()
	defer o.mu.Unlock()
	last, known := o.last[j.Pool]
	if !known || now.Sub(last.at) > dispatch.OutlookValid {
		return nil
	}
	return last.Decide(j)
}

// returnAfter returns after how long the caller of a refused job should come back.
func (o *outlooks) returnAfter(pool string, r *dispatch.Refusal, now time.Time) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.returns[pool] == nil {
		o.returns[pool] = &dispatch.Returns{}
	}
	return o.returns[pool].After(r, now)
}

// noteUnanswered records that the store has not answered the write of a job, which may still be carried out.
func (o *outlooks) noteUnanswered(id string, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.unanswered == nil {
		o.unanswered = map[string]time.Time{}
	}
	if len(o.unanswered) >= maxUnanswered {
		maps.DeleteFunc(o.unanswered, func(_ string, at time.Time) bool { return now.Sub(at) > unansweredKept })
	}
	if len(o.unanswered) < maxUnanswered {
		o.unanswered[id] = now
	}
}

// perhapsStored reports whether a job may be stored although the store does not show it yet.
func (o *outlooks) perhapsStored(id string, now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	at, noted := o.unanswered[id]
	return (noted && now.Sub(at) <= unansweredKept) || len(o.unanswered) >= maxUnanswered
}

// refuseUseless refuses a job that certainly ends too late to be of use to its caller, and reports whether it has done so. A job whose id may have been accepted by an
// earlier call is stored as any other one: that is known only once the store has answered.
func (n *Node) refuseUseless(ctx context.Context, w http.ResponseWriter, j *workload.Job, log *zerolog.Logger) bool {
	now := n.Clock.Now()
	refusal := n.outlooks.decide(j, now)
	if refusal == nil || !n.Elector.StoreReachable() || n.outlooks.perhapsStored(j.ID, now) {
		return false
	}
	_, err := n.acceptanceOf(ctx, n.storeFor(1), &j.Terms, j.ID, 1)
	if !errors.Is(err, store.ErrNotFound) {
		return false
	}
	n.notifyHolder(notice{pool: j.Pool, method: methodRefused, params: poolItem{Pool: j.Pool, Name: j.ID}, local: func(p *pool) { p.noteRefusal(j.ID) }})
	after := n.outlooks.returnAfter(j.Pool, refusal, now)
	count(n.Registry, "refusals."+string(refusal.Cause))
	if leftOut, ok := n.refusals.Allow(time.Now()); ok {
		log.Info().Int64("linesLeftOut", leftOut).Str("cause", string(refusal.Cause)).Dur("wait", refusal.Wait).Dur("useful", refusal.Useful).
			Dur("retryAfter", after).Msg("job refused: of no use in time")
	}
	w.Header().Set("Retry-After", strconv.Itoa(int(after/time.Second)))
	n.refuse(w, http.StatusTooManyRequests, "the job would end too late to be of use")
	return true
}

// notifyStored notifies a pool's holder of a newly stored job, without waiting; the answer brings the pool's outlook.
func (n *Node) notifyStored(s *storedJob, log *zerolog.Logger) {
	var answer storedAnswer
	n.uncounted.add(s.Pool, int64(len(s.Value)))
	local := func(p *pool) {
		if err := p.addStoredJob(*s); err != nil {
			log.Warn().Err(err).Msg("stored job not passed to the holder's scheduler")
		}
		answer = p.storedAnswer()
	}
	answered := func() {
		n.uncounted.clear(s.Pool)
		n.outlooks.set(s.Pool, answer.Outlook, n.Clock.Now())
	}
	n.notifyHolder(notice{pool: s.Pool, method: methodStored, params: s, result: &answer, local: local, answered: answered, bytes: noticeCopies * int64(len(s.Value))})
}

// noteRefusal records that a node has refused a job of the pool.
func (p *pool) noteRefusal(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.scheduler.NoteRefusal(id, p.node.Clock.Now())
}

func (p *pool) storedAnswer() storedAnswer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return storedAnswer{Outlook: p.scheduler.Outlook()}
}
