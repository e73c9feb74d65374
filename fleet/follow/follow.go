package follow

import (
	"cmp"
	"context"
	"errors"
	"time"

	"verbenalanding.example/fleet/internal/clock"
	"verbenalanding.example/fleet/interval"
	"verbenalanding.example/fleet/store"
)

const (
	// firstBackoff and maxBackoff bound the delay before a failed call is retried.
	firstBackoff = 30 * time.Millisecond
	maxBackoff   = 400 * time.Millisecond
	// answerMargin is how much later than the end of the wait of a watch its answer may begin; after that, the connection counts as
	// unresponsive and the call fails.
	answerMargin = 700 * time.Millisecond
	// listTimeout is the time within which the answer with a page of the first list has to begin. After an interruption it is relistTimeout:
	// a call that was sent just before the connection works again delays the next one by that time.
	listTimeout   = 2 * time.Second
	relistTimeout = time.Second
	// resumeWait is the wait of the first watch after a failure. It is short because the store reports only at the end of
	// the wait that it has compacted its history.
	resumeWait = 20 * time.Millisecond
	// failureInterval is how often OnStateChange is called while calls keep failing.
	failureInterval = 2 * time.Second
)

// Follower lists the keys under a prefix and then follows their changes.
type Follower struct {
	Store  store.Store
	Prefix string
	// Wait is the maximum wait of a watch at the store, 2 s when 0; it delays the detection of an unresponsive connection.
	Wait time.Duration
	// BatchDelay is the delay after a watch that returned changes; it lets one watch read several frequent changes.
	BatchDelay time.Duration
	// Apply is called with changes, in order. listed is true for the first call, after an interruption and after the store has
	// compacted its history; keys that no longer exist are then passed as deleted.
	Apply func(events []store.Event, listed bool)
	// OnPage, if set, is called after each page of a list with all changes that the list has brought so far. It may replace their values by smaller
	// ones, since a list may be large.
	OnPage func(ctx context.Context, events []store.Event)
	// OnStateChange, if set, is called with an error when calls to the store begin to fail and, while they keep failing, with the
	// latest error each failureInterval; it is called with nil when they succeed again.
	OnStateChange func(err error)
	// OnConfirmed, if set, is called after each answered call with the latest time at which the store can have answered it: all changes up to
	// then have been applied, unless they were too many for one answer. That time is before a suspension of the machine during the call.
	OnConfirmed func(asOf time.Time)
	// Clock returns the current time; nil means time.Now.
	Clock func() time.Time

	revisions     map[string]store.Revision
	watchRevision store.Revision
	listed        bool
	// answeredAt is when the last answered call was sent; watched is true if a watch was sent since the last answered list.
	answeredAt time.Time
	watched    bool
	failing    bool
	// failureReportedAt is when OnStateChange was last called with an error.
	failureReportedAt time.Time
	// interrupted is true if the last watch failed.
	interrupted bool
}

// Load lists the prefix, so that all existing keys are applied when it returns; Run then continues from there.
func (f *Follower) Load(ctx context.Context) error {
	return f.follow(ctx, func() bool { return f.listed })
}

// Run follows the prefix until the context ends.
func (f *Follower) Run(ctx context.Context) error {
	if err := f.follow(ctx, func() bool { return false }); !errors.Is(err, ctx.Err()) {
		return err
	}
	return nil
}

func (f *Follower) follow(ctx context.Context, done func() bool) error {
	f.Wait = cmp.Or(f.Wait, 2*time.Second)
	backoff := firstBackoff
	for ctx.Err() == nil && !done() {
		var err error
		sent := clock.Now(f.Clock)
		if f.listed && !f.listIsShorter(sent) {
			err = f.watch(ctx)
		} else {
			err = f.list(ctx)
			f.listed = f.listed || err == nil
		}
		if errors.Is(err, store.ErrCompacted) {
			f.listed = false
			continue
		}
		if ctx.Err() == nil {
			f.notifyState(err)
		}
		if err == nil {
			backoff = firstBackoff
			f.answeredAt = sent
			f.confirm(sent)
			continue
		}
		interval.Wait(ctx, backoff)
		backoff = min(2*backoff, maxBackoff)
	}
	return ctx.Err()
}

func (f *Follower) notifyState(err error) {
	now := clock.Now(f.Clock)
	changed := (err != nil) != f.failing
	repeated := err != nil && now.Sub(f.failureReportedAt) >= failureInterval
	if f.OnStateChange != nil && (changed || repeated) {
		f.failureReportedAt = now
		f.OnStateChange(err)
	}
	f.failing = err != nil
}

// listIsShorter reports whether the last answered call was sent longer ago than an undisturbed watch takes. The changes since then contain each
// version of a key that is written often, and may take longer to transfer than the time in which as many new ones are written; a list has only
// the newest. After an answered list a watch comes first, so that slow lists do not follow each other.
func (f *Follower) listIsShorter(now time.Time) bool {
	return f.watched && now.Sub(f.answeredAt) > f.Wait+answerMargin+f.BatchDelay
}

// confirm reports the time of the state that the answer to a call has brought.
func (f *Follower) confirm(sent time.Time) {
	if f.OnConfirmed == nil {
		return
	}
	latest := sent
	if f.watched {
		latest = sent.Add(f.Wait)
	}
	if now := clock.Now(f.Clock); now.Before(latest) {
		latest = now
	}
	f.OnConfirmed(latest)
}

func (f *Follower) list(ctx context.Context) error {
	timeout := listTimeout
	if f.revisions != nil {
		timeout = relistTimeout
	}
	revisions := map[string]store.Revision{}
	var events []store.Event
	var revision store.Revision
	from := ""
	for {
		page, err := f.Store.List(store.WithAnswerTimeout(ctx, timeout), f.Prefix, from, 0)
		if err != nil {
			return err
		}
		// Pages are not a snapshot: the watch starts at the first page's revision and returns later changes again.
		if revision == 0 {
			revision = page.Revision
		}
		for _, e := range page.Entries {
			revisions[e.Key] = e.Revision
			if f.revisions[e.Key] != e.Revision {
				events = append(events, store.Event{Entry: e})
			}
		}
		if f.OnPage != nil {
			f.OnPage(ctx, events)
		}
		if page.Next == "" {
			break
		}
		from = page.Next
	}
	for key := range f.revisions {
		if _, ok := revisions[key]; !ok {
			events = append(events, store.Event{Entry: store.Entry{Key: key}, Deleted: true})
		}
	}
	f.revisions, f.watchRevision, f.watched = revisions, revision, false
	f.Apply(events, true)
	return nil
}

func (f *Follower) watch(ctx context.Context) error {
	f.watched = true
	wait := f.Wait
	if f.interrupted {
		wait = resumeWait
	}
	batch, err := f.Store.Watch(store.WithAnswerTimeout(ctx, wait+answerMargin), f.Prefix, f.watchRevision, wait)
	f.interrupted = err != nil
	if err != nil {
		return err
	}
	var events []store.Event
	for _, e := range batch.Events {
		// The list may have returned this change already.
		if !e.Deleted && e.Entry.Revision <= f.revisions[e.Entry.Key] {
			continue
		}
		if e.Deleted {
			delete(f.revisions, e.Entry.Key)
		} else {
			f.revisions[e.Entry.Key] = e.Entry.Revision
		}
		events = append(events, e)
	}
	f.watchRevision = max(f.watchRevision, batch.Revision)
	if len(events) == 0 {
		return nil
	}
	f.Apply(events, false)
	interval.Wait(ctx, f.BatchDelay)
	return nil
}
