package maintenance

import (
	"context"
	"testing"
	"time"

	"verbenalanding.example/fleet/internal/check"
	"verbenalanding.example/fleet/platform"
	"verbenalanding.example/fleet/record"
	"verbenalanding.example/fleet/standin"
	"verbenalanding.example/fleet/store"
)

// slowLink is a store of which a limited number of changes is transferred in the time of a call.
type slowLink struct {
	*standin.Store
	maxChanges int
}

func (s *slowLink) Watch(ctx context.Context, prefix string, after store.Revision, wait time.Duration) (store.Batch, error) {
	batch, err := s.Store.Watch(ctx, prefix, after, wait)
	if len(batch.Events) > s.maxChanges {
		return store.Batch{}, store.ErrUnavailable
	}
	return batch, err
}

// Guards against a process without current records after a time in which it read none, because the answer with all changes since then takes
// longer than a call may.
func TestRefreshAfterALongTime(t *testing.T) {
	ctx := context.Background()
	now := time.Unix(1000, 0)
	s := &slowLink{Store: standin.NewStore(), maxChanges: 10}
	f := &Fleet{Store: s, Control: standin.NewControl(platform.Instance{ID: "a"}), Now: func() time.Time { return now }}
	_, err := f.Refresh(ctx, time.Time{})
	check.NoError(t, err)
	var revision store.Revision
	for boots := range 2 * s.maxChanges {
		revision, err = record.Save(ctx, s.Store, record.InstancePrefix+"a", record.Instance{ID: "a", BootCount: boots}, revision, 0)
		check.NoError(t, err)
	}
	now = now.Add(time.Minute)
	view, err := f.Refresh(ctx, now)
	check.NoError(t, err)
	check.Equal(t, "boots in the snapshot", view.Instances["a"].Value.BootCount, 2*s.maxChanges-1)
}

// Guards against a loop that decides by a snapshot read before its own writes: a pool thus adopted 19 instances instead of 11.
func TestRefreshShowsOwnWrites(t *testing.T) {
	ctx := context.Background()
	now := time.Unix(1000, 0)
	s := standin.NewStore()
	f := &Fleet{
		Store: s, Control: standin.NewControl(platform.Instance{ID: "a"}), MinInterval: time.Minute,
		Now: func() time.Time { return now },
	}
	_, err := f.Refresh(ctx, time.Time{})
	check.NoError(t, err)
	_, err = record.Save(ctx, s, record.InstancePrefix+"a", record.Instance{ID: "a", Pool: "billing"}, 0, 0)
	check.NoError(t, err)
	stepEnd := now.Add(time.Second)
	now = stepEnd.Add(time.Second)
	view, err := f.Refresh(ctx, stepEnd)
	check.NoError(t, err)
	check.Equal(t, "pool", view.Instances["a"].Value.Pool, "billing")
}
