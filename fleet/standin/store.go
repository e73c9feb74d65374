package standin

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"verbenalanding.example/fleet/internal/clock"
	"verbenalanding.example/fleet/interval"
	"verbenalanding.example/fleet/store"
)

// maxEvents is the number of events after which the older half is compacted.
const maxEvents = 1 << 14

// StoreFaults are the faults that a Store can inject.
type StoreFaults struct {
	// Down makes every call fail without effect.
	Down bool
	// LoseAnswers is the number of next writes that take effect but fail with store.ErrUnavailable.
	LoseAnswers int
	// Delay is added to every call.
	Delay time.Duration
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// Store is an in-memory store with compare-and-swap, leases and watches; set the exported fields before use.
type Store struct {
	// Now returns the current time; time.Now when nil.
	Now func() time.Time

	mu            sync.Mutex
	faults        StoreFaults
	revision      store.Revision
	entries       map[string]store.Entry
	leases        map[store.LeaseID]lease
	nextID        store.LeaseID
	events        []store.Event
	compactedUpTo store.Revision
	changed       chan struct{}
	calls         map[string]int
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{
		entries: map[string]store.Entry{},
		leases:  map[store.LeaseID]lease{},
		changed: make(chan struct{}),
		calls:   map[string]int{},
	}
}

// SetFaults replaces the active faults.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wakeWatches()
}

// Calls returns the number of calls by method name.
func (s *Store) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := make(map[string]int, len(s.calls))
	for k, v := range s.calls {
		calls[k] = v
	}
	return calls
}

// ExpireLease ends a lease immediately, as if its holder had not renewed it.
func (s *Store) ExpireLease(id store.LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(id)
}

// Get returns the entry of key.
func (s *Store) Get(ctx context.Context, key string) (store.Entry, error) {
	if err := s.begin(ctx, "get"); err != nil {
		return store.Entry{}, err
	}
	defer s.mu.Unlock()
	e, ok := s.entries[key]
	if !ok {
		return store.Entry{}, store.ErrNotFound
	}
	return e, nil
}

// List returns a page of the entries under prefix, starting at key from.
func (s *Store) List(ctx context.Context, prefix, from string, limit int) (store.Page, error) {
	if err := s.begin(ctx, "list"); err != nil {
		return store.Page{}, err
	}
	defer s.mu.Unlock()
	keys := s.keysUnder(prefix, from)
	page := store.Page{Revision: s.revision}
	for _, k := range keys {
		if len(page.Entries) == limit {
			page.Next = k
			break
		}
		page.Entries = append(page.Entries, s.entries[k])
	}
	return page, nil
}

// Put writes a value if the key has the expected revision.
func (s *Store) Put(ctx context.Context, r store.PutRequest) (store.Revision, error) {
	if err := s.begin(ctx, "put"); err != nil {
		return 0, err
	}
	defer s.mu.Unlock()
	if len(r.Value) > store.MaxValueSize {
		return 0, store.ErrTooLarge
	}
	if _, ok := s.leases[r.Lease]; r.Lease != 0 && !ok {
		return 0, store.ErrLeaseExpired
	}
	if s.entries[r.Key].Revision != r.Expect {
		return 0, store.ErrConflict
	}
	s.revision++
	e := store.Entry{Key: r.Key, Value: append([]byte(nil), r.Value...), Revision: s.revision, Lease: r.Lease}
	s.entries[r.Key] = e
	s.publish(store.Event{Entry: e})
	return e.Revision, s.loseAnswer()
}

// Delete deletes a key if it has the expected revision.
func (s *Store) Delete(ctx context.Context, key string, expect store.Revision) error {
	if err := s.begin(ctx, "delete"); err != nil {
		return err
	}
	defer s.mu.Unlock()
	e, ok := s.entries[key]
	if !ok {
		return store.ErrNotFound
	}
	if e.Revision != expect {
		return store.ErrConflict
	}
	s.remove(key)
	return s.loseAnswer()
}

// Watch returns the events under prefix after a revision. It waits until there are any, or returns none after the given time.
func (s *Store) Watch(ctx context.Context, prefix string, after store.Revision, wait time.Duration) (store.Batch, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	expired := false
	if err := s.begin(ctx, "watch"); err != nil {
		return store.Batch{}, err
	}
	for {
		if s.faults.Down {
			s.mu.Unlock()
			return store.Batch{}, store.ErrUnavailable
		}
		if after < s.compactedUpTo {
			s.mu.Unlock()
			return store.Batch{}, store.ErrCompacted
		}
		batch := store.Batch{Events: s.eventsAfter(prefix, after), Revision: s.revision}
		changed := s.changed
		s.mu.Unlock()
		if len(batch.Events) > 0 || expired {
			return batch, nil
		}
		select {
		case <-ctx.Done():
			return store.Batch{}, ctx.Err()
		case <-timer.C:
			expired = true
		case <-changed:
		}
		s.mu.Lock()
		s.expireLeases()
	}
}

// Grant creates a lease.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (store.LeaseID, error) {
	if err := s.begin(ctx, "grant"); err != nil {
		return 0, err
	}
	defer s.mu.Unlock()
	s.nextID++
	s.leases[s.nextID] = lease{ttl: ttl, expires: s.now().Add(ttl)}
	return s.nextID, s.loseAnswer()
}

// Renew extends a lease by its TTL from now.
func (s *Store) Renew(ctx context.Context, id store.LeaseID) error {
	if err := s.begin(ctx, "renew"); err != nil {
		return err
	}
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		return store.ErrLeaseExpired
	}
	l.expires = s.now().Add(l.ttl)
	s.leases[id] = l
	return s.loseAnswer()
}

// Revoke ends a lease and deletes its keys.
func (s *Store) Revoke(ctx context.Context, id store.LeaseID) error {
	if err := s.begin(ctx, "revoke"); err != nil {
		return err
	}
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok {
		return store.ErrLeaseExpired
	}
	s.endLease(id)
	return s.loseAnswer()
}

// begin applies the faults that take effect before a call. If it returns nil, the mutex is locked.
func (s *Store) begin(ctx context.Context, method string) error {
	s.mu.Lock()
	delay := s.faults.Delay
	s.mu.Unlock()
	if delay > 0 {
		interval.Wait(ctx, delay)
	}
	if ctx.Err() != nil {
		return store.ErrUnavailable
	}
	s.mu.Lock()
	s.calls[method]++
	if s.faults.Down {
		s.mu.Unlock()
		return store.ErrUnavailable
	}
	s.expireLeases()
	return nil
}

// loseAnswer returns store.ErrUnavailable for a write that has taken effect if its answer is to be lost.
func (s *Store) loseAnswer() error {
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		return store.ErrUnavailable
	}
	return nil
}

func (s *Store) now() time.Time { return clock.Now(s.Now) }

func (s *Store) expireLeases() {
	now := s.now()
	for id, l := range s.leases {
		if !now.Before(l.expires) {
			s.endLease(id)
		}
	}
}

func (s *Store) endLease(id store.LeaseID) {
	delete(s.leases, id)
	for _, k := range s.keysUnder("", "") {
		if s.entries[k].Lease == id {
			s.remove(k)
		}
	}
}

func (s *Store) remove(key string) {
	e := s.entries[key]
	delete(s.entries, key)
	s.revision++
	e.Revision = s.revision
	s.publish(store.Event{Entry: e, Deleted: true})
}

func (s *Store) publish(e store.Event) {
	s.events = append(s.events, e)
	if len(s.events) > maxEvents {
		s.compactedUpTo = s.events[maxEvents/2-1].Entry.Revision
		s.events = append([]store.Event(nil), s.events[maxEvents/2:]...)
	}
	s.wakeWatches()
}

func (s *Store) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) eventsAfter(prefix string, after store.Revision) []store.Event {
	start := sort.Search(len(s.events), func(i int) bool { return s.events[i].Entry.Revision > after })
	var events []store.Event
	for _, e := range s.events[start:] {
		if strings.HasPrefix(e.Entry.Key, prefix) {
			events = append(events, e)
		}
	}
	return events
}

func (s *Store) keysUnder(prefix, from string) []string {
	var keys []string
	for k := range s.entries {
		if strings.HasPrefix(k, prefix) && k >= from {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	return keys
}
