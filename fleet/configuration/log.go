package configuration

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/mirror"
	"verbenalanding.example/fleet/record"
	"verbenalanding.example/fleet/store"
)

const (
	// recentChanges is the number of changes kept in memory to detect conflicts and repeated change ids and to serve
	// peers; at 16,000 changes a day it covers three hours.
	recentChanges = 2000
	// watchWait is the wait limit of one watch call. A connection that died without an error is closed 3 s after it, so that
	// a change still comes into force within 10 s.
	watchWait = 5 * time.Second
	// minBackoff and maxBackoff bound the delay after a failed call; a change must come into force within 10 s after
	// the store is reachable again.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 3 * time.Second
)

// State is a complete configuration with the most recent changes that led to it.
type State struct {
	Revision uint64          `json:"revision"`
	Set      declaration.Set `json:"set"`
	Recent   []Change        `json:"recent"`
}

// Pull fetches from a peer the changes after a revision.
type Pull func(ctx context.Context, after uint64) (State, error)

// Log follows the change log in the store, serves the current configuration and accepts changes.
type Log struct {
	Store store.Store
	// Validate checks a whole configuration before a change is accepted.
	Validate func(declaration.Set) error
	// Peers returns the pull functions of the peers that are asked when the store does not answer; nil for none.
	Peers func() []Pull
	Now   func() time.Time
	Log   zerolog.Logger
	// OnChange is called with each new state after it came into force, in ascending order of revisions; nil for none.
	OnChange func(State)

	mu      sync.RWMutex
	state   State
	ready   bool
	watched store.Revision

	reportMu sync.Mutex
	reported uint64
	// hasReported is false until the first call of OnChange, whose revision may be 0.
	hasReported bool
}

// Key returns the key of the change with a number.
func Key(number uint64) string { return fmt.Sprintf("%s%012d", record.ChangePrefix, number) }

// Run follows the change log until the context ends.
func (l *Log) Run(ctx context.Context) error {
	backoff := minBackoff
	following := false
	for ctx.Err() == nil {
		var err error
		if following {
			err = l.follow(ctx)
		} else {
			err = l.CatchUp(ctx)
		}
		following = err == nil
		if following {
			backoff = minBackoff
			continue
		}
		l.PullFromPeers(ctx)
		if !mirror.WaitJittered(ctx, backoff) {
			break
		}
		backoff = min(2*backoff, maxBackoff)
	}
	return nil
}

// Current returns the configuration in force and its revision, or ErrNotReady.
func (l *Log) Current() (declaration.Set, uint64, error) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if !l.ready {
		return declaration.Set{}, 0, ErrNotReady
	}
	return l.state.Set, l.state.Revision, nil
}

// Since returns what a peer at a revision is missing: the later changes, or the whole state if they are no longer kept.
func (l *Log) Since(after uint64) (State, error) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if !l.ready {
		return State{}, ErrNotReady
	}
	missing := l.state.Revision - min(after, l.state.Revision)
	if missing <= uint64(len(l.state.Recent)) {
		first := uint64(len(l.state.Recent)) - missing
		return State{Revision: l.state.Revision, Recent: slices.Clone(l.state.Recent[first:])}, nil
	}
	return l.state, nil
}

// Merge applies the state of a peer if it is newer; an older or equal revision changes nothing.
func (l *Log) Merge(s State) {
	l.mu.Lock()
	before, wasReady := l.state.Revision, l.ready
	applied := l.applyAll(s.Recent)
	if !applied && s.Revision > l.state.Revision && !isEmpty(s.Set) {
		l.state = s
	}
	// A peer at revision 0 makes the log ready as well, like an empty log read from the store.
	l.ready = l.ready || l.state.Revision == s.Revision
	l.finish(before, wasReady)
}

// CatchUp reads and applies all changes in the store after the revision in force.
func (l *Log) CatchUp(ctx context.Context) error {
	entries, from, revision, err := l.readNew(ctx)
	if err != nil {
		return err
	}
	snapshot := State{}
	if len(entries) > 0 && from < changeNumber(entries[0]) {
		if snapshot, err = l.readSnapshot(ctx); err != nil {
			return err
		}
	}
	l.mu.Lock()
	before, wasReady := l.state.Revision, l.ready
	if snapshot.Revision > l.state.Revision {
		l.state = snapshot
	}
	l.applyAll(decodeChanges(entries, l.Log))
	behind := len(entries) > 0 && l.state.Revision < changeNumber(entries[len(entries)-1])
	if !behind {
		l.watched = max(l.watched, revision)
		l.ready = true
	}
	l.finish(before, wasReady)
	if behind {
		return fmt.Errorf("changes from %d to %d are missing in the store", from, changeNumber(entries[0])-1)
	}
	return nil
}

// PullFromPeers asks the peers for newer changes.
func (l *Log) PullFromPeers(ctx context.Context) {
	if l.Peers == nil {
		return
	}
	l.mu.RLock()
	revision := l.state.Revision
	l.mu.RUnlock()
	var states []State
	for _, pull := range l.Peers() {
		state, err := pull(ctx, revision)
		if err != nil {
			l.Log.Debug().Err(err).Msg("peer did not answer a configuration pull")
			continue
		}
		states = append(states, state)
	}
	// The newest state is merged first, so that a starting process never serves an older one.
	slices.SortFunc(states, func(a, b State) int { return cmp.Compare(b.Revision, a.Revision) })
	for _, s := range states {
		l.Merge(s)
	}
}

// Propose writes a change to the log and returns it with its number. For a change id that was accepted before it returns
// the earlier change. The error is a *ConflictError, ErrUnknownOutcome, an error of Validate or an error of the store; in
// the last two cases the change was not applied.
func (l *Log) Propose(ctx context.Context, c Change) (Change, error) {
	var uncertain uint64
	backoff := minBackoff
	for {
		accepted, err := l.propose(ctx, c, &uncertain)
		if err != nil && uncertain != 0 && !errors.Is(err, errRetry) {
			err = fmt.Errorf("%w: %w", ErrUnknownOutcome, err)
		}
		if !errors.Is(err, errRetry) {
			return accepted, err
		}
		if mirror.WaitJittered(ctx, backoff) {
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		if uncertain != 0 {
			return Change{}, fmt.Errorf("change %s: %w", c.ID, ErrUnknownOutcome)
		}
		return Change{}, fmt.Errorf("change %s was not applied: %w", c.ID, ctx.Err())
	}
}

// errRetry is returned by an attempt that has to be repeated.
var errRetry = errors.New("attempt must be repeated")

// propose makes one attempt. A write whose answer was lost is repeated with the same content at the same key, so it is
// accepted at most once and the next attempt finds it by its change id. The parameter uncertain holds the number of
// such a write until its outcome is known.
func (l *Log) propose(ctx context.Context, c Change, uncertain *uint64) (Change, error) {
	if err := l.CatchUp(ctx); err != nil {
		if *uncertain != 0 {
			return Change{}, errRetry
		}
		return Change{}, fmt.Errorf("read the change log: %w", err)
	}
	state := l.copyState()
	if accepted, ok := findChange(state.Recent, c.ID); ok {
		return accepted, nil
	}
	if state.Revision >= *uncertain {
		// Another change has taken the number, so the uncertain write was rejected.
		*uncertain = 0
	}
	if err := conflict(state, c); err != nil {
		return Change{}, err
	}
	if l.Validate != nil {
		if err := l.Validate(state.Set.Apply(c.Delta)); err != nil {
			return Change{}, err
		}
	}
	c.Number = state.Revision + 1
	c.At = l.Now()
	encoded, err := json.Marshal(c)
	if err != nil {
		return Change{}, fmt.Errorf("encode change %s: %w", c.ID, err)
	}
	_, err = l.Store.Put(ctx, store.PutRequest{Key: Key(c.Number), Value: encoded})
	switch {
	case errors.Is(err, store.ErrConflict):
		return Change{}, errRetry
	case errors.Is(err, store.ErrUnavailable):
		*uncertain = c.Number
		return Change{}, errRetry
	case err != nil:
		return Change{}, fmt.Errorf("write change %s: %w", c.ID, err)
	}
	l.Merge(State{Revision: c.Number, Recent: []Change{c}})
	return c, nil
}

func (l *Log) copyState() State {
	l.mu.RLock()
	defer l.mu.RUnlock()
	s := l.state
	s.Recent = slices.Clone(s.Recent)
	return s
}

func (l *Log) follow(ctx context.Context) error {
	l.mu.RLock()
	after := l.watched
	l.mu.RUnlock()
	batch, err := l.Store.Watch(ctx, record.ChangePrefix, after, watchWait)
	if err != nil {
		return err
	}
	var entries []store.Entry
	for _, e := range batch.Events {
		if !e.Deleted {
			entries = append(entries, e.Entry)
		}
	}
	changes := decodeChanges(entries, l.Log)
	l.mu.Lock()
	before, wasReady := l.state.Revision, l.ready
	gap := len(changes) > 0 && changes[0].Number > l.state.Revision+1
	if !gap {
		l.applyAll(changes)
		l.watched = max(l.watched, batch.Revision)
	}
	l.finish(before, wasReady)
	if gap {
		return fmt.Errorf("change %d arrived after revision %d", changes[0].Number, before)
	}
	return nil
}

// readNew lists the changes in the store after the revision in force. It also returns the number that the first of them
// should have and the store's revision of the listing.
func (l *Log) readNew(ctx context.Context) ([]store.Entry, uint64, store.Revision, error) {
	l.mu.RLock()
	first := l.state.Revision + 1
	l.mu.RUnlock()
	const pageLimit = 200
	var entries []store.Entry
	var revision store.Revision
	for from := Key(first); ; {
		page, err := l.Store.List(ctx, record.ChangePrefix, from, pageLimit)
		if err != nil {
			return nil, 0, 0, err
		}
		if revision == 0 {
			revision = page.Revision
		}
		entries = append(entries, page.Entries...)
		if page.Next == "" {
			return entries, first, revision, nil
		}
		from = page.Next
	}
}

// applyAll applies the changes that directly follow the revision in force and reports whether there were any; mu is held.
func (l *Log) applyAll(changes []Change) bool {
	applied := false
	for _, c := range changes {
		if c.Number != l.state.Revision+1 {
			continue
		}
		l.state.Set = l.state.Set.Apply(c.Delta)
		l.state.Revision = c.Number
		l.state.Recent = append(l.state.Recent, c)
		applied = true
	}
	if extra := len(l.state.Recent) - recentChanges; extra > 0 {
		l.state.Recent = slices.Clone(l.state.Recent[extra:])
	}
	return applied
}

// finish releases mu and reports the state if its revision is new or the log has just become ready.
func (l *Log) finish(before uint64, wasReady bool) {
	state := l.state
	changed := l.ready && (state.Revision != before || !wasReady)
	l.mu.Unlock()
	if changed {
		l.report(state)
	}
}

// report calls OnChange in ascending order of revisions, although several goroutines may apply changes at the same time;
// a revision that a newer one has overtaken is skipped.
func (l *Log) report(s State) {
	l.reportMu.Lock()
	defer l.reportMu.Unlock()
	if l.hasReported && s.Revision <= l.reported {
		return
	}
	l.hasReported, l.reported = true, s.Revision
	l.Log.Info().Uint64("revision", s.Revision).Msg("configuration in force")
	if l.OnChange != nil {
		l.OnChange(s)
	}
}

func decodeChanges(entries []store.Entry, log zerolog.Logger) []Change {
	var changes []Change
	for _, e := range entries {
		var c Change
		if err := json.Unmarshal(e.Value, &c); err != nil {
			log.Error().Err(err).Str("key", e.Key).Msg("cannot decode change")
			continue
		}
		changes = append(changes, c)
	}
	return changes
}

// changeNumber returns the number in the key of a change, or 0 if the key has none.
func changeNumber(e store.Entry) uint64 {
	var n uint64
	if _, err := fmt.Sscanf(e.Key, record.ChangePrefix+"%d", &n); err != nil {
		return 0
	}
	return n
}

func findChange(changes []Change, id string) (Change, bool) {
	i := slices.IndexFunc(changes, func(c Change) bool { return c.ID == id })
	if i < 0 {
		return Change{}, false
	}
	return changes[i], true
}

// conflict returns a *ConflictError if an object that the change touches was changed after the change's base revision.
// A base outside the revisions that are kept returns ErrConflict.
func conflict(s State, c Change) error {
	touched := map[declaration.Ref]bool{}
	for _, r := range c.Delta.Refs() {
		touched[r] = true
	}
	oldest := s.Revision - uint64(len(s.Recent))
	if c.Base < oldest {
		return fmt.Errorf("base revision %d is older than the kept changes from %d on: %w", c.Base, oldest, ErrConflict)
	}
	if c.Base > s.Revision {
		return fmt.Errorf("base revision %d is newer than revision %d: %w", c.Base, s.Revision, ErrConflict)
	}
	for _, other := range s.Recent {
		if other.Number <= c.Base {
			continue
		}
		var objects []declaration.Ref
		for _, r := range other.Delta.Refs() {
			if touched[r] {
				objects = append(objects, r)
			}
		}
		if len(objects) > 0 {
			return &ConflictError{Other: other, Objects: objects}
		}
	}
	return nil
}

func isEmpty(s declaration.Set) bool { return declaration.Diff(declaration.Set{}, s).Empty() }
