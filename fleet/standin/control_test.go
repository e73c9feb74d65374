package standin

import (
	"context"
	"testing"
	"time"

	"verbenalanding.example/fleet/internal/check"
	"verbenalanding.example/fleet/platform"
)

// Guards against a stand-in that hides faults: a repeated or duplicated command must reboot the instance once, and interrupted requests must
// be counted.
func TestControlCountsRebootsAndInterruptions(t *testing.T) {
	ctx := context.Background()
	now := time.Unix(0, 0)
	c := NewControl(platform.Instance{ID: "a", Status: platform.Live, Healthy: true})
	c.Now = func() time.Time { return now }
	c.RebootTime = time.Minute
	c.SetFaults(ControlFaults{DuplicateCommands: true, LoseAnswers: 1})
	c.SetInFlight("a", 3)
	check.ErrorIs(t, c.Reboot(ctx, "a", "1"), platform.ErrUnavailable)
	check.NoError(t, c.Reboot(ctx, "a", "1"))
	now = now.Add(time.Minute)
	check.True(t, "healthy after the reboot", c.Healthy("a"))
	_, err := c.InFlight(ctx, "a")
	check.NoError(t, err)
	check.True(t, "healthy after the duplicated command", c.Healthy("a"))
	check.Equal(t, "reboots", c.TimesApplied("1"), 1)
	check.Equal(t, "interruptions", c.Interruptions(), []Interruption{{Instance: "a", CommandID: "1", InFlight: 3}})
}

// Guards against an instance list without lag, with which tests would never expose holders to outdated health.
func TestControlListIsDelayedByLag(t *testing.T) {
	now := time.Unix(1000, 0)
	c := NewControl()
	c.Now = func() time.Time { return now }
	c.Add(platform.Instance{ID: "a", Status: platform.Live, Healthy: true})
	c.SetFaults(ControlFaults{Lag: 5 * time.Second})
	now = now.Add(10 * time.Second)
	c.SetHealthy(false, func(platform.Instance) bool { return true })
	listing, err := c.List(context.Background(), 0)
	check.NoError(t, err)
	check.True(t, "listed as healthy", listing.Instances[0].Healthy)
	now = now.Add(5 * time.Second)
	listing, err = c.List(context.Background(), listing.Version)
	check.NoError(t, err)
	check.Equal(t, "changed instances", len(listing.Instances), 1)
	check.True(t, "listed as unhealthy", !listing.Instances[0].Healthy)
}
