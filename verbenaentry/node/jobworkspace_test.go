package node

import (
	"encoding/json"
	"errors"
	"net/http"
	"testing"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/store"
	"verbenalanding.example/fleet/workload"
)

func callerOf(workspace string) caller {
	return caller{workspace: workspace, submitsFor: workspace}
}

// workspaceFixture is a node on a stand-in of the store, with a stored job of the workspace hemline.
type workspaceFixture struct {
	*takeoverFixture
	job workload.Job
}

func newWorkspaceFixture(t *testing.T, workspace string) *workspaceFixture {
	t.Helper()
	f := &workspaceFixture{takeoverFixture: newTakeoverFixture(t), job: movedJob("cutting")}
	n := f.pool.node
	n.Elector.Clock = n.Clock.Now
	f.job.Workspace = workspace
	accept, err := n.acceptJob(f.job)
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := n.Store.Apply(f.ctx, accept); err != nil {
		t.Fatalf("store job: got %v, want none", err)
	}
	return f
}

func (f *workspaceFixture) wantState(t *testing.T, from caller, want error) {
	t.Helper()
	_, _, err := f.pool.node.stateFromStore(f.ctx, &f.job.Terms, f.job.ID, from, directAttempt)
	if !errors.Is(err, want) {
		t.Errorf("state for %q: got %v, want %v", from.workspace, err, want)
	}
}

// Guards against a workspace that learns of another's job from the store, and against the jobs of an older version, or of an anonymous queue, that
// nobody can read.
func TestStoredJobIsShownToItsWorkspaceOnly(t *testing.T) {
	for _, tt := range []struct {
		name, workspace string
		from            caller
		want            error
	}{
		{"own job", "hemline", callerOf("hemline"), nil},
		{"another's job", "hemline", callerOf("seam"), store.ErrNotFound},
		{"another's job without a key", "hemline", caller{}, store.ErrNotFound},
		{"callers without keys", "hemline", anyone, nil},
		{"job without a workspace", "", callerOf("seam"), nil},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := newWorkspaceFixture(t, tt.workspace)
			f.wantState(t, tt.from, tt.want)
			value, err := (&dispatch.Record{State: workload.Running, Workspace: tt.workspace}).Encode(1 << 10)
			if err != nil {
				t.Fatal(err)
			}
			f.write(store.Write{Key: stateKey("cutting", f.job.ID), Value: value})
			f.wantState(t, tt.from, tt.want)
		})
	}
}

// Guards against a holder that shows a job to another workspace, and against a record of its progress that does not name its workspace.
func TestHolderShowsAJobToItsWorkspaceOnly(t *testing.T) {
	f := newWorkspaceFixture(t, "hemline")
	n := f.pool.node
	f.pool.scheduler.AddJob(f.job, nil, false, n.Clock.Now())
	n.pools.set(f.pool.name, f.pool)
	for from, want := range map[caller]bool{callerOf("hemline"): true, callerOf("seam"): false, {}: false, anyone: true} {
		if _, got := n.stateFromHolder(f.ctx, f.pool.name, f.job.ID, from); got != want {
			t.Errorf("job known to %+v: got %v, want %v", from, got, want)
		}
	}
	f.pool.scheduler.Cancel(f.job.ID, n.Clock.Now())
	changes := f.pool.scheduler.Batch().Changes
	if len(changes) != 1 || changes[0].Record.Workspace != "hemline" {
		t.Errorf("records: got %+v, want one of the workspace hemline", changes)
	}
}

// Guards against a job that is cancelled with another workspace's key, or whose existence the answer shows.
func TestJobIsCancelledByItsWorkspaceOnly(t *testing.T) {
	f := newWorkspaceFixture(t, "hemline")
	n := f.pool.node
	for _, tt := range []struct {
		from caller
		want int
	}{{callerOf("seam"), http.StatusGone}, {caller{}, http.StatusGone}, {callerOf("hemline"), http.StatusOK}} {
		_, err := n.Store.Get(f.ctx, cancelKey("cutting", f.job.ID))
		if !errors.Is(err, store.ErrNotFound) {
			t.Errorf("cancellation before the one of %q: got %v, want %v", tt.from.workspace, err, store.ErrNotFound)
		}
		_, status, answered := n.tryCancel(f.ctx, &f.job.Terms, f.job.ID, tt.from, directAttempt)
		if !answered {
			t.Fatal("cancel: got no answer, want one")
		}
		wantStatus(t, "cancel of "+tt.from.workspace, status, tt.want)
	}
	if _, err := n.Store.Get(f.ctx, cancelKey("cutting", f.job.ID)); err != nil {
		t.Errorf("cancellation by the job's workspace: got %v, want it stored", err)
	}
}

// Guards against a caller that is told that its job is stored although the id belongs to a job of another workspace, in the same or another queue,
// and against a mark on that id that ends the other's job.
func TestIDOfAnotherWorkspaceIsRefused(t *testing.T) {
	f := newWorkspaceFixture(t, "hemline")
	n := f.pool.node
	otherQueue := movedJob("cutting")
	otherQueue.Terms.Key = workload.QueueKey("fleet.example", "/other/")
	for _, tt := range []struct {
		name string
		job  workload.Job
		from caller
		want storeOutcome
	}{
		{"same workspace", movedJob("cutting"), callerOf("hemline"), stored},
		{"another workspace", movedJob("cutting"), callerOf("seam"), takenByAnother},
		{"another workspace, another queue", otherQueue, callerOf("seam"), takenByAnother},
		{"no key", movedJob("cutting"), caller{}, takenByAnother},
	} {
		t.Run(tt.name, func(t *testing.T) {
			tt.job.Workspace = tt.from.submitsFor
			if got, created, _ := n.storeJob(f.ctx, tt.job, tt.from); got != tt.want || created != nil {
				t.Errorf("submission: got %s, created %v, want %s", got, created != nil, tt.want)
			}
		})
	}
	_, status, answered := n.tryCancel(f.ctx, &otherQueue.Terms, otherQueue.ID, callerOf("seam"), directAttempt)
	if !answered {
		t.Error("cancel in another queue: got no answer, want one")
	}
	wantStatus(t, "cancel in another queue", status, http.StatusGone)
	f.wantState(t, callerOf("hemline"), nil)
}

// Guards against stored values that change where there are no workspaces: nodes of an older version read them.
func TestValuesWithoutAWorkspaceAreThoseOfBefore(t *testing.T) {
	accepted, err := json.Marshal(acceptance{Pool: "cutting"})
	if err != nil || string(accepted) != `{"pool":"cutting"}` {
		t.Errorf("acceptance: got %s and %v", accepted, err)
	}
	record, err := (&dispatch.Record{State: workload.Queued}).Encode(1 << 10)
	if err != nil || string(record) != `{"state":"queued"}` {
		t.Errorf("record: got %s and %v", record, err)
	}
}
