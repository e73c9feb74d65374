package demo

import (
	"context"
	"testing"
	"time"

	"verbenalanding.example/fleet/standin"
)

// Guards against a demonstration that fails after all its checks held, because it ended while the auditor read the records.
func TestAuditorEndsDuringARead(t *testing.T) {
	s := standin.NewStore()
	s.SetFaults(standin.StoreFaults{Delay: time.Minute})
	a := newAuditor(&deployment{site: &standin.Site{Store: s}})
	ctx, cancel := context.WithTimeout(context.Background(), 4*auditInterval)
	defer cancel()
	if err := a.run(ctx); err != nil {
		t.Errorf("auditor: got %v, want none", err)
	}
}
