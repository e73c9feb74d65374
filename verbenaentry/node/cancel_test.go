package node

import (
	"errors"
	"net/http"
	"testing"

	"verbenalanding.example/fleet/store"
)

// directAttempt is an attempt on the node's own way to the store; the first one goes through other nodes, since the node has had no answer yet.
const directAttempt = 2

// Guards against a job that runs although its caller has cancelled it and was told that there is no such job: the write that stores it was not
// answered, and takes effect after the cancel.
func TestLateWriteOfACancelledJobIsRefused(t *testing.T) {
	s := newTakeoverFixture(t)
	n := s.pool.node
	n.Elector.Clock = n.Clock.Now
	job := movedJob("cutting")
	late, err := n.acceptJob(job)
	if err != nil {
		t.Fatalf("job: got %v, want it to be encoded", err)
	}
	cancel := func(want int) {
		t.Helper()
		for attempt := 1; ; attempt++ {
			_, status, answered := n.tryCancel(s.ctx, &job.Terms, job.ID, anyone, attempt)
			if answered {
				wantStatus(t, "cancel", status, want)
				return
			}
			if s.ctx.Err() != nil {
				t.Fatal("cancel: got no answer, want one")
			}
		}
	}
	cancel(http.StatusGone)
	if _, _, err := n.Store.Apply(s.ctx, late); !errors.Is(err, store.ErrConflict) {
		t.Errorf("late write: got %v, want %v", err, store.ErrConflict)
	}
	cancel(http.StatusGone)
	if outcome, created, _ := n.storeJob(s.ctx, job, anyone); outcome != cancelledBefore || created != nil {
		t.Errorf("repeated request: got %s, created %v, want %s", outcome, created != nil, cancelledBefore)
	}
	if state, _, err := n.stateFromStore(s.ctx, &job.Terms, job.ID, anyone, directAttempt); !errors.Is(err, store.ErrNotFound) {
		t.Errorf("state: got %q and %v, want %v", state, err, store.ErrNotFound)
	}
}

// Guards against a cancel that is answered as one of an unknown job when the write that stores the job takes effect between its read and its mark.
func TestCancelOfAJobThatIsStoredMeanwhile(t *testing.T) {
	s := newTakeoverFixture(t)
	n := s.pool.node
	n.Elector.Clock = n.Clock.Now
	job := movedJob("cutting")
	accept, err := n.acceptJob(job)
	if err != nil {
		t.Fatalf("job: got %v, want it to be encoded", err)
	}
	st := n.directAccess()
	if got := n.tryCancelIn(s.ctx, st, "cutting", job.ID, anyone, 1); got != cancelNoJob {
		t.Fatalf("cancel before the job is stored: got outcome %d, want %d", got, cancelNoJob)
	}
	if _, _, err := n.Store.Apply(s.ctx, accept); err != nil {
		t.Fatalf("store job: got %v, want none", err)
	}
	if n.preventAcceptance(s.ctx, st, &job.Terms, job.ID, 1) {
		t.Error("mark of a stored job: got certain, want a conflict")
	}
	runsIn, status, answered := n.tryCancel(s.ctx, &job.Terms, job.ID, anyone, directAttempt)
	if !answered || runsIn != "cutting" {
		t.Fatalf("cancel: got pool %q, answered %v, want cutting", runsIn, answered)
	}
	wantStatus(t, "cancel", status, http.StatusOK)
}

func wantStatus(t *testing.T, what string, got, want int) {
	t.Helper()
	if got != want {
		t.Errorf("%s: got status %d, want %d", what, got, want)
	}
}
