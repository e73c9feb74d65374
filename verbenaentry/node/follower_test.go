package node

import (
	"encoding/json"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"verbenalanding.example/fleet/store"
	"verbenalanding.example/fleet/workload"
)

// Guards against a task that is started long after the cancellation of its job was acknowledged: a new holder listed the jobs, waited until
// it had read the previous holder's records from a slow store, and then applied a list from before the cancellation.
func TestJobCancelledDuringTakeoverIsNotStarted(t *testing.T) {
	s := newTakeoverFixture(t)
	j := workload.Job{ID: "00000000000000aa", Steps: []workload.Step{{Tasks: 1}}}
	value, err := json.Marshal(j)
	if err != nil {
		t.Fatal(err)
	}
	s.write(store.Write{Key: jobKey(s.pool.name, j.ID), Value: value})
	entries, _, err := store.ListAll(s.ctx, s.pool.node.Store, jobKey(s.pool.name, ""))
	if err != nil || len(entries) != 1 {
		t.Fatalf("list of jobs: got %d and %v, want 1", len(entries), err)
	}
	f := &jobFollower{pool: s.pool, loaded: make(chan struct{}), ready: make(chan struct{})}
	var group errgroup.Group
	group.Go(func() error {
		f.apply(s.ctx, []store.Event{{Entry: entries[0]}})
		return nil
	})
	s.write(store.Write{Key: cancelKey(s.pool.name, j.ID), Value: []byte("{}")})
	time.Sleep(staleListAge + 100*time.Millisecond)
	close(f.loaded)
	if err := group.Wait(); err != nil {
		t.Fatal(err)
	}
	if got := s.pool.scheduler.EndedJobs().Changes; len(got) != 1 || got[0].Record.State != workload.Cancelled {
		t.Errorf("jobs that ended with the takeover: got %+v, want %s as %s", got, j.ID, workload.Cancelled)
	}
}
