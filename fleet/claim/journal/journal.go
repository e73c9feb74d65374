package journal

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"verbenalanding.example/fleet/claim"
	"verbenalanding.example/fleet/record"
	"verbenalanding.example/fleet/ring"
	"verbenalanding.example/fleet/store"
)

const (
	// queueSize bounds the calls that wait for the shard's goroutine.
	queueSize = 4096
	// callTimeout is longer than the 2 s that a slow store takes to answer.
	callTimeout = 5 * time.Second
	// tickInterval bounds the extra delay of reports and of expiry.
	tickInterval = 250 * time.Millisecond
)

// ErrFenced is returned by Run when a holder with a higher epoch has taken the shard over.
var ErrFenced = fmt.Errorf("claim shard was taken over: %w", record.ErrFenced)

// Holder holds one shard of claims; set the exported fields before Run.
type Holder struct {
	Store store.Store
	// Shard is the number of the shard, from 0 to claim.Shards-1.
	Shard int
	// Epoch is the fencing epoch of the duty.
	Epoch record.Epoch
	// Now returns the current time; time.Now when nil.
	Now func() time.Time
	Log zerolog.Logger
	// Journal holds the limits of the shard; unset fields get their defaults.
	Journal claim.Journal

	once    sync.Once
	calls   *ring.Ring[call]
	stopped chan struct{}
	ready   chan struct{}

	answers  map[uint64]chan claim.Answer
	ticket   uint64
	appends  chan claim.Append
	results  chan claim.Event
	drops    *ring.Ring[uint64]
	revision store.Revision
}

type call struct {
	request *claim.Request
	finish  *claim.Finish
	answer  chan claim.Answer
}

// Default fills unset fields.
func (h *Holder) Default() {
	h.once.Do(func() {
		if h.Now == nil {
			h.Now = time.Now
		}
		h.Journal.Epoch = uint64(h.Epoch)
		h.Journal.Default()
		h.calls = ring.New[call](queueSize)
		h.stopped = make(chan struct{})
		h.ready = make(chan struct{})
		h.answers = map[uint64]chan claim.Answer{}
		h.appends = make(chan claim.Append, 1)
		h.results = make(chan claim.Event, 8)
		h.drops = ring.New[uint64](queueSize)
	})
}

// Claim claims the right to run a request; it answers claim.Refused when ctx ends or the shard is no longer held.
func (h *Holder) Claim(ctx context.Context, r claim.Request) claim.Answer {
	h.Default()
	c := call{request: &r, answer: make(chan claim.Answer, 1)}
	if h.calls.Offer(c) != nil {
		return refused(claim.ReasonQueueFull)
	}
	select {
	case a := <-c.answer:
		return a
	case <-ctx.Done():
		// The claimant does not dispatch the request, so a claim that is still written must not keep the key.
		_ = h.Finish(claim.Finish{Service: r.Service, KeyHash: r.KeyHash, ClaimID: r.ClaimID, Outcome: claim.NotRun})
		return refused(claim.ReasonTimeout)
	case <-h.stopped:
		return refused(claim.ReasonNotHolder)
	}
}

// Finish reports the outcome of a claimed request; it returns an error if the report was not accepted.
func (h *Holder) Finish(f claim.Finish) error {
	h.Default()
	select {
	case <-h.stopped:
		return fmt.Errorf("finish claim in shard %d: %w", h.Shard, ErrFenced)
	default:
	}
	if err := h.calls.Offer(call{finish: &f}); err != nil {
		return fmt.Errorf("finish claim in shard %d: %w", h.Shard, err)
	}
	return nil
}

// Ready is closed once the shard has been taken over and claims are granted.
func (h *Holder) Ready() <-chan struct{} {
	h.Default()
	return h.ready
}

// Run takes the shard over and answers claims until ctx ends or another holder takes over; it may be called only once.
func (h *Holder) Run(ctx context.Context) error {
	h.Default()
	defer close(h.stopped)
	if err := h.takeOver(ctx); err != nil {
		return fmt.Errorf("take over claim shard %d: %w", h.Shard, err)
	}
	close(h.ready)
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return h.runJournal(ctx) })
	g.Go(func() error { return h.runWrites(ctx) })
	return g.Wait()
}

func refused(reason string) claim.Answer {
	return claim.Answer{Decision: claim.Refused, Reason: reason}
}

// runJournal applies events to the journal; only this goroutine accesses the journal's state.
func (h *Holder) runJournal(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		var event claim.Event = claim.Tick{}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case c := <-h.calls.Items():
			event = h.eventOf(c)
		case event = <-h.results:
		case <-ticker.C:
		case <-timer.C:
		}
		now := h.Now()
		h.apply(h.Journal.Step(now, event))
		if _, fenced := event.(claim.Fenced); fenced {
			return ErrFenced
		}
		if due, ok := h.Journal.NextTick(now); ok {
			timer.Reset(max(due.Sub(now), time.Millisecond))
		}
	}
}

func (h *Holder) eventOf(c call) claim.Event {
	if c.finish != nil {
		return claim.Finished{Finish: *c.finish}
	}
	h.ticket++
	h.answers[h.ticket] = c.answer
	return claim.Claim{Request: *c.request, Ticket: h.ticket}
}

func (h *Holder) apply(actions []claim.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case claim.Append:
			h.appends <- a
		case claim.Grant:
			h.reply(a.Ticket, claim.Answer{Decision: claim.Granted})
		case claim.Duplicate:
			h.reply(a.Ticket, claim.Answer{Decision: claim.Duplicated, Outcome: a.Outcome})
		case claim.Mismatch:
			h.reply(a.Ticket, claim.Answer{Decision: claim.Mismatched})
		case claim.Reject:
			h.reply(a.Ticket, refused(a.Reason))
		case claim.Drop:
			// If the ring is full, the next holder deletes the segment.
			_ = h.drops.Offer(a.Number)
		}
	}
}

func (h *Holder) reply(ticket uint64, a claim.Answer) {
	h.answers[ticket] <- a
	delete(h.answers, ticket)
}

// runWrites writes the journal's appends to the store and deletes dropped segments.
func (h *Holder) runWrites(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case a := <-h.appends:
			if err := h.commit(ctx, a); err != nil {
				return err
			}
		case n := <-h.drops.Items():
			h.drop(ctx, n)
		}
	}
}

// maxBackoff bounds the wait before the next attempt of a call.
const maxBackoff = time.Second

func (h *Holder) sendEvent(ctx context.Context, e claim.Event) error {
	select {
	case h.results <- e:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (h *Holder) drop(ctx context.Context, number uint64) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	key := claim.SegmentKey(h.Shard, number)
	e, err := h.Store.Get(callCtx, key)
	if err == nil {
		err = h.Store.Delete(callCtx, key, e.Revision)
	}
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		h.Log.Warn().Err(err).Str("key", key).Msg("expired claim segment was not deleted; the next holder deletes it")
	}
}
