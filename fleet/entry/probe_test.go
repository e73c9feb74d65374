package entry

import (
	"context"
	"testing"

	"verbenalanding.example/fleet/internal/check"
	"verbenalanding.example/fleet/standin"
)

// Guards against a probe that runs as a request, and against a successful probe of an unresponsive backend server.
func TestProbe(t *testing.T) {
	b := &standin.Backend{Slots: 1}
	check.NoError(t, b.Listen())
	ctx := context.Background()
	check.Background(t, b.Run, context.Canceled)
	check.Equal(t, "healthy", answersProbe(ctx, b.Addr()), true)
	check.Equal(t, "executions", b.Log.Len(), 0)
	b.SetFault(standin.ClosedBefore)
	check.Equal(t, "closing connections", answersProbe(ctx, b.Addr()), false)
	b.SetFault(standin.Hanging)
	check.Equal(t, "hanging", answersProbe(ctx, b.Addr()), false)
}
