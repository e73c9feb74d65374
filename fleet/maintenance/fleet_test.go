package maintenance

import (
	"context"
	"testing"
	"time"

	"verbenalanding.example/fleet/internal/check"
	"verbenalanding.example/fleet/platform"
	"verbenalanding.example/fleet/record"
	"verbenalanding.example/fleet/standin"
)

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
