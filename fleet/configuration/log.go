package configuration

import (
	"cmp"
	"context"
	"encoding/json"
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
	// recentChanges is the number of changes kept in memory to detect conflicts and repeated change ids and to answer
	// peers; at 16,000 changes a day it covers three hours.
	recentChanges = 2000
	// watchWait is the maximum duration of one watch call. A dead connection is closed 3 s later, so that a change still
	// comes into force within 10 s.
	watchWait = 5 * time.Second
	// minBackoff and maxBackoff bound the delay after a failed call. A change must come into force within 10 s after the
	// store is reachable again.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 3 * time.Second
)

// State is a complete configuration with its most recent changes.
type State struct {
	Revision uint64          `json:"revision"`
	Set      declaration.Set `json:"set"`
	Recent   []Change        `json:"recent"`
}

// Pull fetches the changes after a revision from a peer.
type Pull func(ctx context.Context, after uint64) (State, error)

// Log follows the change log in the store, serves the current configuration and accepts changes.
type Log struct {
	Store store.Store
	// Validate checks a whole configuration before a change is accepted.
	Validate func(declaration.Set) error
	// Peers returns the pull functions of the peers, which are called when the store does not answer; nil for no peers.
	Peers func() []Pull
	Now   func() time.Time
	Log   zerolog.Logger
	// OnChange is called with each new state after it came into force, in ascending order of revisions; nil for no call.
	OnChange func(State)

	mu              sync.RWMutex
	state           State
	isReady         bool
	watchedRevision store.Revision

	reportMu         sync.Mutex
	reportedRevision uint64
	// hasReported distinguishes a reported revision 0 from no report.
	hasReported bool
}

// Key returns the key of the change with a number.
func Key(number uint64) string { return fmt.Sprintf("%s%012d", record.ChangePrefix, number) }

// Run follows the change log until the context ends.
func (l *Log) Run(ctx context.Context) error {
	backoff := minBackoff
	isFollowing := false
	for ctx.Err() == nil {
		var err error
		if isFollowing {
			err = l.follow(ctx)
		} else {
			err = l.CatchUp(ctx)
		}
		isFollowing = err == nil
		if isFollowing {
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
	if !l.isReady {
		return declaration.Set{}, 0, ErrNotReady
	}
	return l.state.Set, l.state.Revision, nil
}

// Since returns the changes after a revision, or the whole state if some of them are no longer kept.
func (l *Log) Since(after uint64) (State, error) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if !l.isReady {
		return State{}, ErrNotReady
	}
	missing := l.state.Revision - min(after, l.state.Revision)
	if missing <= uint64(len(l.state.Recent)) {
		first := uint64(len(l.state.Recent)) - missing
		return State{Revision: l.state.Revision, Recent: slices.Clone(l.state.Recent[first:])}, nil
	}
	return l.state, nil
}

// Merge applies the state of a peer if it is newer than the revision in force.
func (l *Log) Merge(s State) {
	l.mu.Lock()
	previous, wasReady := l.state.Revision, l.isReady
	hasApplied := l.applyChanges(s.Recent)
	if !hasApplied && s.Revision > l.state.Revision && !isEmpty(s.Set) {
		l.state = s
	}
	// A peer at revision 0 also makes the log ready, as does an empty change log in the store.
	l.isReady = l.isReady || l.state.Revision == s.Revision
	l.unlockAndReport(previous, wasReady)
}

// CatchUp reads and applies all changes in the store after the revision in force.
func (l *Log) CatchUp(ctx context.Context) error {
	entries, first, revision, err := l.readNew(ctx)
	if err != nil {
		return err
	}
	snapshot := State{}
	if len(entries) > 0 && first < changeNumber(entries[0]) {
		if snapshot, err = l.readSnapshot(ctx); err != nil {
			return err
		}
	}
	l.mu.Lock()
	previous, wasReady := l.state.Revision, l.isReady
	if snapshot.Revision > l.state.Revision {
		l.state = snapshot
	}
	l.applyChanges(decodeChanges(entries, l.Log))
	isBehind := len(entries) > 0 && l.state.Revision < changeNumber(entries[len(entries)-1])
	if !isBehind {
		l.watchedRevision = max(l.watchedRevision, revision)
		l.isReady = true
	}
	l.unlockAndReport(previous, wasReady)
	if isBehind {
		return fmt.Errorf("changes from %d to %d are missing in the store", first, changeNumber(entries[0])-1)
	}
	return nil
}

// PullFromPeers fetches newer changes from the peers and applies them.
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
	// The newest state is merged first, so that a starting process does not serve an older one in between.
	slices.SortFunc(states, func(a, b State) int { return cmp.Compare(b.Revision, a.Revision) })
	for _, s := range states {
		l.Merge(s)
	}
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
	after := l.watchedRevision
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
	previous, wasReady := l.state.Revision, l.isReady
	hasGap := len(changes) > 0 && changes[0].Number > l.state.Revision+1
	if !hasGap {
		l.applyChanges(changes)
		l.watchedRevision = max(l.watchedRevision, batch.Revision)
	}
	l.unlockAndReport(previous, wasReady)
	if hasGap {
		return fmt.Errorf("change %d arrived after revision %d", changes[0].Number, previous)
	}
	return nil
}

// readNew lists the changes in the store after the revision in force. It also returns the expected number of the first of
// them and the store revision of the listing.
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

// applyChanges applies the changes that continue the revision in force without a gap and reports whether there were any. The
// caller holds mu.
func (l *Log) applyChanges(changes []Change) bool {
	hasApplied := false
	for _, c := range changes {
		if c.Number != l.state.Revision+1 {
			continue
		}
		l.state.Set = l.state.Set.Apply(c.Delta)
		l.state.Revision = c.Number
		l.state.Recent = append(l.state.Recent, c)
		hasApplied = true
	}
	if extra := len(l.state.Recent) - recentChanges; extra > 0 {
		l.state.Recent = slices.Clone(l.state.Recent[extra:])
	}
	return hasApplied
}

// unlockAndReport unlocks mu and reports the state if its revision has changed or the log has just become ready.
func (l *Log) unlockAndReport(previous uint64, wasReady bool) {
	state := l.state
	hasChanged := l.isReady && (state.Revision != previous || !wasReady)
	l.mu.Unlock()
	if hasChanged {
		l.report(state)
	}
}

// report calls OnChange in ascending order of revisions, although several goroutines may apply changes at the same time. It
// skips a revision that is not newer than the last one reported.
func (l *Log) report(s State) {
	l.reportMu.Lock()
	defer l.reportMu.Unlock()
	if l.hasReported && s.Revision <= l.reportedRevision {
		return
	}
	l.hasReported, l.reportedRevision = true, s.Revision
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

// changeNumber returns the number in the key of a change, or 0 if the key contains none.
func changeNumber(e store.Entry) uint64 {
	var n uint64
	if _, err := fmt.Sscanf(e.Key, record.ChangePrefix+"%d", &n); err != nil {
		return 0
	}
	return n
}

func isEmpty(s declaration.Set) bool { return declaration.Diff(declaration.Set{}, s).Empty() }
