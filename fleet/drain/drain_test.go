package drain

import (
	"context"
	"errors"
	"testing"
	"time"

	"verbenalanding.example/fleet/internal/check"
	"verbenalanding.example/fleet/record"
)

// fakeFleet is a set of entry instances whose statuses a test sets.
type fakeFleet struct {
	members   map[string]record.Entry
	statuses  map[string]Status
	storeDown bool
}

func (f *fakeFleet) tracker() *Tracker {
	return &Tracker{
		Members: func(context.Context) (map[string]record.Entry, error) {
			if f.storeDown {
				return nil, errors.New("store down")
			}
			return f.members, nil
		},
		Query: func(_ context.Context, e record.Entry, _ []string) ([]Status, error) {
			s, ok := f.statuses[e.ID]
			if !ok {
				return nil, errors.New("no answer")
			}
			return []Status{s}, nil
		},
	}
}

// Guards against a drain that is confirmed although a registered entry instance may still use the instance.
func TestConfirmed(t *testing.T) {
	now := time.Unix(0, 0)
	pollTwice := func(tr *Tracker) {
		// The first poll reads the members, the second queries them.
		tr.Poll(context.Background(), now)
		tr.Poll(context.Background(), now)
	}
	setup := func() (*fakeFleet, *Tracker) {
		f := &fakeFleet{
			members:  map[string]record.Entry{"a": {ID: "a"}, "a/live": {ID: "a"}, "b": {ID: "b"}},
			statuses: map[string]Status{"a": {Instance: "i", Applied: 3}, "b": {Instance: "i", Applied: 3}},
		}
		tr := f.tracker()
		tr.Confirmed("i", 3, now)
		return f, tr
	}
	confirmed := func(tr *Tracker) bool {
		ok, _ := tr.Confirmed("i", 3, now)
		return ok
	}
	t.Run("all confirmed", func(t *testing.T) {
		_, tr := setup()
		check.Equal(t, "before the first poll", confirmed(tr), false)
		pollTwice(tr)
		check.Equal(t, "confirmed", confirmed(tr), true)
	})
	t.Run("a registered instance without a lease that does not answer is waited for", func(t *testing.T) {
		f, tr := setup()
		delete(f.statuses, "b")
		pollTwice(tr)
		check.Equal(t, "confirmed", confirmed(tr), false)
	})
	t.Run("an older drain number does not count", func(t *testing.T) {
		f, tr := setup()
		f.statuses["b"] = Status{Instance: "i", Applied: 2}
		pollTwice(tr)
		check.Equal(t, "confirmed", confirmed(tr), false)
	})
	t.Run("requests in flight are waited for", func(t *testing.T) {
		f, tr := setup()
		f.statuses["a"] = Status{Instance: "i", Applied: 3, InFlight: 1}
		pollTwice(tr)
		check.Equal(t, "confirmed", confirmed(tr), false)
	})
	t.Run("an instance that registers during the poll is waited for", func(t *testing.T) {
		f, tr := setup()
		pollTwice(tr)
		f.members["c"] = record.Entry{ID: "c"}
		tr.Poll(context.Background(), now)
		check.Equal(t, "confirmed", confirmed(tr), false)
	})
	t.Run("nothing is confirmed while the store is down", func(t *testing.T) {
		f, tr := setup()
		pollTwice(tr)
		f.storeDown = true
		tr.Poll(context.Background(), now)
		check.Equal(t, "confirmed", confirmed(tr), false)
	})
}
