package intake_test

import (
	"testing"

	"verbenalanding.example/fleet/intake"
)

func never(*intake.Connection) bool { return false }

func always(*intake.Connection) bool { return true }

func wantRemoved(t *testing.T, what string, got, want *intake.Connection) {
	t.Helper()
	if got != want {
		t.Errorf("%s: got connection %p removed, want %p", what, got, want)
	}
}

// Guards against a crowd of idle connections that keeps newcomers out, and against the end of connections that are in use.
func TestFullTableClosesWhatIsQuietForLongest(t *testing.T) {
	c := &intake.Connections{Limit: 3}
	var n [8]intake.Connection
	for i := range 3 {
		wantRemoved(t, "table with places", c.Add(&n[i], never), nil)
	}
	c.Busy(&n[0])
	c.Quiet(&n[1])
	wantRemoved(t, "full table", c.Add(&n[3], never), &n[2])
	c.Busy(&n[1])
	c.Busy(&n[3])
	wantRemoved(t, "all in use", c.Add(&n[4], never), &n[4])
	wantRemoved(t, "one of them stalled", c.Add(&n[5], always), &n[0])
	c.Quiet(&n[0])
	if got, want := c.Len(), 3; got != want {
		t.Errorf("connections: got %d, want %d", got, want)
	}
	if c.Remove(&n[0]) || !c.Remove(&n[1]) {
		t.Error("removal: got a connection removed twice, or one that stays, want each removed once")
	}
	wantRemoved(t, "place of a removed one", c.Add(&n[6], never), nil)
}
