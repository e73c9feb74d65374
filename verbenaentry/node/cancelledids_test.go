package node

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"verbenalanding.example/fleet/monotonic"
	"verbenalanding.example/fleet/store"
)

// cancelUnknown cancels a job that was not accepted, and returns the write of it that was not answered.
func (s *takeoverFixture) cancelUnknown(id string) (late store.Transaction) {
	s.t.Helper()
	n := s.pool.node
	job := movedJob("cutting")
	job.ID = id
	late, err := n.acceptJob(job)
	if err != nil {
		s.t.Fatalf("job: got %v, want it to be encoded", err)
	}
	_, status, answered := n.tryCancel(s.ctx, &job.Terms, job.ID, anyone, directAttempt)
	if !answered {
		s.t.Fatal("cancel: got no answer, want one")
	}
	wantStatus(s.t, "cancel", status, http.StatusGone)
	return late
}

func (s *takeoverFixture) assertLateWrite(late store.Transaction, want error) {
	s.t.Helper()
	if _, _, err := s.pool.node.Store.Apply(s.ctx, late); !errors.Is(err, want) {
		s.t.Errorf("late write: got %v, want %v", err, want)
	}
}

// Guards against a job that runs although its cancel was answered with 410: the mark that refuses its late write was gone with the keys of the node
// that had answered.
func TestCancelledIDOutlivesTheKeysOfTheNodeThatAnswered(t *testing.T) {
	s := newTakeoverFixture(t)
	s.pool.node.Elector.Clock = s.pool.node.Clock.Now
	late := s.cancelUnknown("00000000000000c1")
	s.gate.EndLeases()
	s.assertLateWrite(late, store.ErrConflict)
}

// Guards against marks of cancelled ids that stay in the store for good, and against one that is deleted while a late write may still come.
func TestCancelledIDsAreDeletedOnceNoWriteCanBeLate(t *testing.T) {
	s := newTakeoverFixture(t)
	elapsed := time.Hour
	s.pool.node.Clock = monotonic.From(func() time.Duration { return elapsed })
	s.pool.node.Elector.Clock = s.pool.node.Clock.Now
	first := s.cancelUnknown("00000000000000c1")
	ids := cancelledIDs{pool: s.pool}
	ids.deleteExpired(s.ctx)
	elapsed += cancelledIDAge / 2
	second := s.cancelUnknown("00000000000000c2")
	ids.deleteExpired(s.ctx)
	elapsed += cancelledIDAge / 2
	s.gate.SetClosed(true)
	ids.deleteExpired(s.ctx)
	s.gate.SetClosed(false)
	s.assertLateWrite(first, store.ErrConflict)
	ids.deleteExpired(s.ctx)
	s.assertLateWrite(second, store.ErrConflict)
	page, err := s.pool.node.Store.List(s.ctx, cancelledPrefix("cutting"), "", 0)
	if err != nil || len(page.Entries) != 1 {
		t.Errorf("cancelled ids that are listed: got %d and %v, want 1", len(page.Entries), err)
	}
	s.assertLateWrite(first, nil)
}
