package mirror

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"verbenalanding.example/fleet/interval"
	"verbenalanding.example/fleet/store"
)

const (
	// watchWait is the wait of one watch call. A call over a broken connection fails 3 s after that, so a change is still in
	// force within 10 s.
	watchWait = 5 * time.Second
	// minBackoff and maxBackoff bound the delay after a failed call; maxBackoff is short enough for a change to be in force
	// within 10 s after the store is available again.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 3 * time.Second
)

// Mirror is a copy of the records under a prefix, keyed by the part of the key after the prefix.
type Mirror[T any] struct {
	Store  store.Store
	Prefix string
	Log    zerolog.Logger
	// OnChange is called after each change, without any lock held; nil for none.
	OnChange func()

	mu        sync.RWMutex
	records   map[string]T
	revisions map[string]store.Revision
	revision  store.Revision
	// peerRevision is the revision up to which the records of peers were merged; watches continue from revision.
	peerRevision store.Revision
	lastContact  time.Time
}

// Run follows the prefix until the context ends.
func (m *Mirror[T]) Run(ctx context.Context) error {
	backoff := minBackoff
	loaded := false
	for ctx.Err() == nil {
		var err error
		if loaded {
			err = m.follow(ctx)
		} else {
			err = m.load(ctx)
		}
		if err == nil {
			loaded = true
			backoff = minBackoff
			continue
		}
		if errors.Is(err, store.ErrCompacted) {
			loaded = false
			continue
		}
		loaded = loaded && time.Since(m.LastContact()) < store.ReplayLimit
		if ctx.Err() == nil {
			m.Log.Debug().Err(err).Str("prefix", m.Prefix).Msg("list or watch of records failed")
		}
		if !WaitJittered(ctx, backoff) {
			break
		}
		backoff = min(2*backoff, maxBackoff)
	}
	return nil
}

// WaitJittered waits for a random time between d/2 and d, so that processes do not retry in step. It reports false if the
// context ended.
func WaitJittered(ctx context.Context, d time.Duration) bool {
	return interval.Wait(ctx, d/2+rand.N(d/2+1))
}

// All returns a copy of the records.
func (m *Mirror[T]) All() map[string]T {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return maps.Clone(m.records)
}

// Get returns the record with the given name, that is, its key without the prefix, and the revision of its last write.
func (m *Mirror[T]) Get(name string) (T, store.Revision, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	value, ok := m.records[name]
	return value, m.revisions[name], ok
}

// Loaded reports whether the records have been read at least once.
func (m *Mirror[T]) Loaded() bool { return !m.LastContact().IsZero() }

// Revision returns the store's revision up to which the copy is complete.
func (m *Mirror[T]) Revision() store.Revision {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.revision
}

// MergedRevision returns the revision up to which the copy is complete, including records merged from peers.
func (m *Mirror[T]) MergedRevision() store.Revision {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return max(m.revision, m.peerRevision)
}

// LastContact returns when the store last answered.
func (m *Mirror[T]) LastContact() time.Time {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.lastContact
}

// Refresh reads all records again.
func (m *Mirror[T]) Refresh(ctx context.Context) error { return m.load(ctx) }

// WrittenAfter returns the records written after a revision, so that a peer can catch up without the store.
func (m *Mirror[T]) WrittenAfter(after store.Revision) []store.Entry {
	m.mu.RLock()
	defer m.mu.RUnlock()
	var entries []store.Entry
	for name, value := range m.records {
		if m.revisions[name] <= after {
			continue
		}
		encoded, err := json.Marshal(value)
		if err != nil {
			m.Log.Error().Err(err).Str("record", name).Msg("record cannot be encoded")
			continue
		}
		entries = append(entries, store.Entry{Key: m.Prefix + name, Value: encoded, Revision: m.revisions[name]})
	}
	return entries
}

// MergePeerRecords merges the records of a peer, which are complete up to a revision. Loaded, Revision and LastContact do not change,
// since they refer to the store.
func (m *Mirror[T]) MergePeerRecords(entries []store.Entry, revision store.Revision) {
	m.mu.Lock()
	if m.records == nil {
		m.records, m.revisions = map[string]T{}, map[string]store.Revision{}
	}
	for _, e := range entries {
		m.apply(store.Event{Entry: e})
	}
	m.peerRevision = max(m.peerRevision, revision)
	m.mu.Unlock()
	m.notify()
}

func (m *Mirror[T]) load(ctx context.Context) error {
	entries, revision, err := store.ListAll(ctx, m.Store, m.Prefix)
	if err != nil {
		return err
	}
	records := make(map[string]T, len(entries))
	revisions := make(map[string]store.Revision, len(entries))
	for _, e := range entries {
		var value T
		if err := json.Unmarshal(e.Value, &value); err != nil {
			m.Log.Error().Err(err).Str("key", e.Key).Msg("record cannot be decoded")
			continue
		}
		name := strings.TrimPrefix(e.Key, m.Prefix)
		records[name] = value
		revisions[name] = e.Revision
	}
	m.mu.Lock()
	// The watch may have applied newer records while a refresh read older ones, which must not replace them.
	if revision >= m.revision {
		m.records, m.revisions, m.revision = records, revisions, revision
	}
	m.lastContact = time.Now()
	m.mu.Unlock()
	m.notify()
	return nil
}

func (m *Mirror[T]) follow(ctx context.Context) error {
	batch, err := m.Store.Watch(ctx, m.Prefix, m.Revision(), watchWait)
	if err != nil {
		return err
	}
	m.mu.Lock()
	for _, e := range batch.Events {
		m.apply(e)
	}
	m.revision = max(m.revision, batch.Revision)
	m.lastContact = time.Now()
	m.mu.Unlock()
	if len(batch.Events) > 0 {
		m.notify()
	}
	return nil
}

func (m *Mirror[T]) apply(e store.Event) {
	name := strings.TrimPrefix(e.Entry.Key, m.Prefix)
	if e.Entry.Revision <= m.revisions[name] {
		return
	}
	if e.Deleted {
		delete(m.records, name)
		delete(m.revisions, name)
		return
	}
	var value T
	if err := json.Unmarshal(e.Entry.Value, &value); err != nil {
		m.Log.Error().Err(err).Str("key", e.Entry.Key).Msg("record cannot be decoded")
		return
	}
	m.records[name] = value
	m.revisions[name] = e.Entry.Revision
}

func (m *Mirror[T]) notify() {
	if m.OnChange != nil {
		m.OnChange()
	}
}
