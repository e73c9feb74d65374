package maintenance

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"strings"
	"sync"
	"time"

	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/internal/clock"
	"verbenalanding.example/fleet/platform"
	"verbenalanding.example/fleet/record"
	"verbenalanding.example/fleet/store"
	"verbenalanding.example/fleet/wave"
)

// Versioned is a record with its revision in the store.
type Versioned[T any] struct {
	Value    T
	Revision store.Revision
}

// View is an immutable snapshot of the records and of the platform's instance list; the maps are keyed by name or instance
// id.
type View struct {
	Instances map[string]Versioned[record.Instance]
	Budgets   map[string]Versioned[record.Budget]
	Waves     map[string]Versioned[record.Wave]
	Moves     map[string]Versioned[record.Move]
	Listed    map[string]platform.Instance
	// AsOf is the time whose state Listed shows.
	AsOf time.Time
	// Slow reports that the store took longer than slowAfter to answer; all loops that share the snapshot see it.
	Slow bool
	// Version increases with every change of a record or of the platform's list.
	Version uint64
}

// recordCache caches the records under a prefix. A change replaces the map, so that earlier views stay as they are.
type recordCache[T any] struct {
	prefix   string
	entries  map[string]Versioned[T]
	revision store.Revision
	// answeredAt is the time of the last refresh that the store answered.
	answeredAt time.Time
	// changes counts the refreshes that changed an entry.
	changes uint64
}

// refresh reads the changes since the last refresh. It reads all records the first time and after store.ReplayLimit without an answer.
func (m *recordCache[T]) refresh(ctx context.Context, s store.Store, now time.Time) error {
	if m.entries == nil || now.Sub(m.answeredAt) >= store.ReplayLimit {
		return m.reload(ctx, s, now)
	}
	batch, err := s.Watch(ctx, m.prefix, m.revision, 0)
	if errors.Is(err, store.ErrCompacted) {
		return m.reload(ctx, s, now)
	}
	if err != nil {
		return fmt.Errorf("watch %s: %w", m.prefix, err)
	}
	if len(batch.Events) > 0 {
		m.changes++
		entries := maps.Clone(m.entries)
		for _, e := range batch.Events {
			if e.Deleted {
				delete(entries, strings.TrimPrefix(e.Entry.Key, m.prefix))
			} else if err := m.decode(entries, e.Entry); err != nil {
				return err
			}
		}
		m.entries = entries
	}
	m.revision, m.answeredAt = max(m.revision, batch.Revision), now
	return nil
}

func (m *recordCache[T]) reload(ctx context.Context, s store.Store, now time.Time) error {
	list, revision, err := store.ListAll(ctx, s, m.prefix)
	if err != nil {
		return fmt.Errorf("list %s: %w", m.prefix, err)
	}
	entries := make(map[string]Versioned[T], len(list))
	for _, e := range list {
		if err := m.decode(entries, e); err != nil {
			return err
		}
	}
	m.entries, m.revision, m.answeredAt = entries, revision, now
	m.changes++
	return nil
}

func (m *recordCache[T]) decode(entries map[string]Versioned[T], e store.Entry) error {
	var value T
	if err := json.Unmarshal(e.Value, &value); err != nil {
		return fmt.Errorf("decode %s: %w", e.Key, err)
	}
	name := strings.TrimPrefix(e.Key, m.prefix)
	if e.Revision >= entries[name].Revision {
		entries[name] = Versioned[T]{Value: value, Revision: e.Revision}
	}
	return nil
}

// Fleet caches the records of instances, budgets, waves and moves, and the platform's instance list. One Fleet serves all loops
// of a process, so that the number of reads does not grow with the number of duties.
type Fleet struct {
	Store   store.Store
	Control platform.Control
	// MinInterval is the time within which a refresh is not repeated; 0 refreshes each time.
	MinInterval time.Duration
	Now         func() time.Time
	// InFlight returns the requests in flight at an instance; among equal instances, a wave stops the one with fewest first.
	// It may be nil.
	InFlight func(instance string) int

	mu         sync.Mutex
	memberList memberCache
	refreshed  time.Time
	instances  recordCache[record.Instance]
	budgets    recordCache[record.Budget]
	waves      recordCache[record.Wave]
	moves      recordCache[record.Move]
	listed     map[string]platform.Instance
	version    uint64
	asOf       time.Time
	slow       bool
}

// memberCache caches the list of members that all waves of a process use for planning.
type memberCache struct {
	mu       sync.Mutex
	valid    bool
	version  uint64
	revision uint64
	members  []wave.Member
}

// members returns the members of a view in id order. The list is built once for each snapshot and configuration: when each
// of 197 waves built its own, that took most of the time of a planning step. Callers must not change it.
func (f *Fleet) members(view View, set declaration.Set, revision uint64) []wave.Member {
	f.memberList.mu.Lock()
	defer f.memberList.mu.Unlock()
	if !f.memberList.valid || f.memberList.version != view.Version || f.memberList.revision != revision {
		f.memberList.members = members(view, set, f.InFlight)
		f.memberList.valid, f.memberList.version, f.memberList.revision = true, view.Version, revision
	}
	return f.memberList.members
}

// Refresh updates the snapshot and returns it; it fails when the store does not answer. If the platform does not answer,
// its list stays unchanged. A snapshot is reused unless it is older than MinInterval or was read before notBefore; a loop
// passes the end of its last step, since it must see its own writes.
func (f *Fleet) Refresh(ctx context.Context, notBefore time.Time) (View, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	if f.refreshed.After(notBefore) && now.Sub(f.refreshed) < f.MinInterval {
		return f.view(), nil
	}
	if err := f.refreshRecords(ctx); err != nil {
		return View{}, err
	}
	f.slow = f.now().Sub(now) > slowAfter
	if err := f.refreshList(ctx); err != nil {
		return View{}, err
	}
	f.refreshed = now
	return f.view(), nil
}

func (f *Fleet) refreshRecords(ctx context.Context) error {
	f.instances.prefix = record.InstancePrefix
	f.budgets.prefix = record.BudgetPrefix
	f.waves.prefix = record.WavePrefix
	f.moves.prefix = record.MovePrefix
	now := f.now()
	return errors.Join(f.instances.refresh(ctx, f.Store, now), f.budgets.refresh(ctx, f.Store, now),
		f.waves.refresh(ctx, f.Store, now), f.moves.refresh(ctx, f.Store, now))
}

func (f *Fleet) refreshList(ctx context.Context) error {
	listing, err := f.Control.List(ctx, f.version)
	if err != nil {
		if f.listed != nil {
			return nil
		}
		return fmt.Errorf("list instances: %w", err)
	}
	listed := f.listed
	if len(listing.Instances) > 0 || listed == nil {
		listed = maps.Clone(f.listed)
		if listed == nil {
			listed = map[string]platform.Instance{}
		}
	}
	for _, i := range listing.Instances {
		listed[i.ID] = i
	}
	f.listed, f.version, f.asOf = listed, listing.Version, listing.AsOf
	return nil
}

func (f *Fleet) view() View {
	return View{Instances: f.instances.entries, Budgets: f.budgets.entries, Waves: f.waves.entries, Moves: f.moves.entries, Listed: f.listed, AsOf: f.asOf, Slow: f.slow, Version: f.instances.changes + f.budgets.changes + f.waves.changes + f.moves.changes + f.version}
}

// refreshBudget reads one budget again after a conflict.
func (f *Fleet) refreshBudget(ctx context.Context) (map[string]Versioned[record.Budget], error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.budgets.refresh(ctx, f.Store, f.now()); err != nil {
		return nil, err
	}
	return f.budgets.entries, nil
}

func (f *Fleet) now() time.Time { return clock.Now(f.Now) }
