package drain

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"verbenalanding.example/fleet/interval"
	"verbenalanding.example/fleet/record"
)

// DefaultInterval is the time between two polls of the entry instances while drains are awaited.
const DefaultInterval = 500 * time.Millisecond

// pollTimeout is how long a drain is still polled after the last call of Confirmed for it.
const pollTimeout = 30 * time.Second

// Status is one entry instance's report about one instance.
type Status struct {
	Instance string `json:"instance"`
	// Applied is the highest drain number that the entry instance has applied.
	Applied  uint64 `json:"seen"`
	InFlight int    `json:"inFlight"`
}

// Tracker polls every registered entry instance for the status of the awaited drains.
type Tracker struct {
	// Members reads the records under record.EntryPrefix from the store, keyed by the rest of their keys.
	Members func(ctx context.Context) (map[string]record.Entry, error)
	// Query returns the statuses at one entry instance.
	Query func(ctx context.Context, e record.Entry, instances []string) ([]Status, error)
	// Interval is the time between two polls; DefaultInterval when 0.
	Interval time.Duration

	mu       sync.Mutex
	members  map[string]record.Entry
	awaited  map[string]time.Time
	statuses map[string]map[string]Status
}

// Run polls until the context ends.
func (t *Tracker) Run(ctx context.Context) error {
	if t.Interval == 0 {
		t.Interval = DefaultInterval
	}
	for now := range interval.Each(ctx, t.Interval) {
		t.Poll(ctx, now)
	}
	return nil
}

// Confirmed reports whether every registered entry instance has applied the drain number and has no request in flight at
// the instance; otherwise it also returns which entry instances the drain waits for. The first call for an instance starts
// the polling.
func (t *Tracker) Confirmed(instance string, number uint64, now time.Time) (bool, string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.awaited == nil {
		t.awaited = map[string]time.Time{}
		t.statuses = map[string]map[string]Status{}
	}
	t.awaited[instance] = now
	if len(t.members) == 0 {
		return false, "the registered entry instances have not been read yet"
	}
	var waiting []string
	for _, id := range sortedIDs(t.members) {
		status, ok := t.statuses[instance][id]
		switch {
		case !ok || status.Applied < number:
			waiting = append(waiting, fmt.Sprintf("entry instance %s has not confirmed drain %d", id, number))
		case status.InFlight > 0:
			waiting = append(waiting, fmt.Sprintf("entry instance %s has %d requests in flight", id, status.InFlight))
		}
	}
	return len(waiting) == 0, strings.Join(waiting, "; ")
}

// Poll queries every registered entry instance once, all concurrently, and then reads which ones are registered. The order
// matters: the members are read after the queried entry instances have applied the drain and therefore include every entry
// instance that registered before the drain was written. One that registers later reads the instance records after its
// registration.
func (t *Tracker) Poll(ctx context.Context, now time.Time) {
	instances := t.awaitedInstances(now)
	if len(instances) == 0 {
		return
	}
	t.mu.Lock()
	members := t.members
	t.mu.Unlock()
	var group errgroup.Group
	for id, e := range members {
		group.Go(func() error {
			statuses, err := t.Query(ctx, e, instances)
			if err == nil {
				t.recordStatuses(id, statuses)
			}
			// An unresponsive entry instance keeps its last status; without one, the drains wait for it.
			return nil
		})
	}
	_ = group.Wait()
	entries, err := t.Members(ctx)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.members = nil
	// Without newly read members no drain is confirmed, so that no planned stop begins while the store is down.
	if err == nil {
		t.members = record.MembersOf(entries).Registered
	}
}

func (t *Tracker) awaitedInstances(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var instances []string
	for instance, lastCall := range t.awaited {
		if now.Sub(lastCall) > pollTimeout {
			delete(t.awaited, instance)
			delete(t.statuses, instance)
			continue
		}
		instances = append(instances, instance)
	}
	slices.Sort(instances)
	return instances
}

func (t *Tracker) recordStatuses(id string, statuses []Status) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range statuses {
		if _, ok := t.awaited[s.Instance]; !ok {
			continue
		}
		if t.statuses[s.Instance] == nil {
			t.statuses[s.Instance] = map[string]Status{}
		}
		t.statuses[s.Instance][id] = s
	}
}

func sortedIDs(members map[string]record.Entry) []string {
	var all []string
	for id := range members {
		all = append(all, id)
	}
	slices.Sort(all)
	return all
}
