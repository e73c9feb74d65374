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

// DefaultInterval is the time between two questions to the entry instances while drains are awaited.
const DefaultInterval = 500 * time.Millisecond

// forgetAfter is how long a drain that nobody asks about any more is still polled.
const forgetAfter = 30 * time.Second

// Status is what one entry instance says about one instance.
type Status struct {
	Instance string `json:"instance"`
	// Seen is the highest drain number that the entry instance has seen and acted on.
	Seen     uint64 `json:"seen"`
	InFlight int    `json:"inFlight"`
}

// Tracker asks every registered entry instance about the drains that are awaited.
type Tracker struct {
	// Members reads the records under record.EntryPrefix from the store, by the rest of their key.
	Members func(ctx context.Context) (map[string]record.Entry, error)
	// Query returns the statuses at one entry instance.
	Query func(ctx context.Context, e record.Entry, instances []string) ([]Status, error)
	// Interval is the time between two rounds of questions; DefaultInterval when 0.
	Interval time.Duration

	mu       sync.Mutex
	members  map[string]record.Entry
	awaited  map[string]time.Time
	statuses map[string]map[string]Status
}

// Run asks until the context ends.
func (t *Tracker) Run(ctx context.Context) error {
	if t.Interval == 0 {
		t.Interval = DefaultInterval
	}
	for now := range interval.Each(ctx, t.Interval) {
		t.Poll(ctx, now)
	}
	return nil
}

// Confirmed reports whether every registered entry instance has seen the drain number and has nothing in flight at the
// instance; otherwise it says for whom the drain waits. The first call for an instance starts the questions.
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
	for _, id := range ids(t.members) {
		status, ok := t.statuses[instance][id]
		switch {
		case !ok || status.Seen < number:
			waiting = append(waiting, fmt.Sprintf("entry instance %s has not confirmed drain %d", id, number))
		case status.InFlight > 0:
			waiting = append(waiting, fmt.Sprintf("entry instance %s has %d requests in flight", id, status.InFlight))
		}
	}
	return len(waiting) == 0, strings.Join(waiting, "; ")
}

// Poll asks every registered entry instance once, all at the same time, and then reads who is registered. The order
// matters: an entry instance that registered before the drain was written is in a list that is read after another one
// has seen the drain, and one that registers later reads the instance records after its registration.
func (t *Tracker) Poll(ctx context.Context, now time.Time) {
	instances := t.due(now)
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
				t.note(id, statuses)
			}
			// An entry instance that does not answer keeps its last status, and its drains wait if it had none.
			return nil
		})
	}
	_ = group.Wait()
	all, err := t.Members(ctx)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.members = nil
	// Without a fresh list nothing is confirmed, so no planned stop begins while the store is down.
	if err == nil {
		t.members = record.MembersOf(all).Registered
	}
}

func (t *Tracker) due(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var instances []string
	for instance, asked := range t.awaited {
		if now.Sub(asked) > forgetAfter {
			delete(t.awaited, instance)
			delete(t.statuses, instance)
			continue
		}
		instances = append(instances, instance)
	}
	slices.Sort(instances)
	return instances
}

func (t *Tracker) note(id string, statuses []Status) {
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

func ids(members map[string]record.Entry) []string {
	var all []string
	for id := range members {
		all = append(all, id)
	}
	slices.Sort(all)
	return all
}
