package node

import (
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/workload"
)

// outlookFixture is a node that has the outlook of a pool in which jobs of the workspace hemline are of no use.
type outlookFixture struct {
	*workspaceFixture
	node *Node
}

func newOutlookFixture(t *testing.T) *outlookFixture {
	t.Helper()
	f := &outlookFixture{workspaceFixture: newWorkspaceFixture(t, "hemline")}
	f.node = f.pool.node
	f.node.Registry = metrics.NewRegistry()
	f.node.Elector.TTL = time.Minute
	f.node.Elector.RecordStoreContact()
	f.node.outlooks.set("cutting", &dispatch.Outlook{
		Cores: 10, Levels: []dispatch.OutlookLevel{{Owed: 1000}}, Beyond: []dispatch.OutlookWorkspace{{Workspace: "hemline"}},
	}, f.node.Clock.Now())
	return f
}

// refuse returns whether a job with an id is refused, and the answer.
func (f *outlookFixture) refuse(id, workspace string) (bool, *httptest.ResponseRecorder) {
	j := movedJob("cutting")
	j.ID, j.Workspace, j.Accepted = id, workspace, f.node.Clock.Now()
	j.Terms.Stretch, j.Terms.TargetDuration = 2, time.Second
	answer, log := httptest.NewRecorder(), zerolog.Nop()
	return f.node.refuseUseless(f.ctx, answer, &j, &log), answer
}

func (f *outlookFixture) wantRefused(t *testing.T, id, workspace string, want bool) *httptest.ResponseRecorder {
	t.Helper()
	got, answer := f.refuse(id, workspace)
	if got != want {
		t.Errorf("job %s of %s: got refused %v, want %v", id, workspace, got, want)
	}
	return answer
}

// Guards against a caller that is told that its job was not run although an earlier call may have stored it, and against refusals by an old outlook.
func TestOnlyJobsThatAreCertainlyNotAcceptedAreRefused(t *testing.T) {
	const fresh = "00000000000000aa"
	t.Run("a job of no use", func(t *testing.T) {
		f := newOutlookFixture(t)
		answer := f.wantRefused(t, fresh, "hemline", true)
		wantStatus(t, "refusal", answer.Code, http.StatusTooManyRequests)
		if after, err := strconv.Atoi(answer.Header().Get("Retry-After")); err != nil || after < 2 {
			t.Errorf("Retry-After: got %q, want the seconds until the job is of use", answer.Header().Get("Retry-After"))
		}
	})
	t.Run("a job that its workspace is owed", func(t *testing.T) {
		newOutlookFixture(t).wantRefused(t, fresh, "seam", false)
	})
	t.Run("an id that was accepted", func(t *testing.T) {
		f := newOutlookFixture(t)
		f.wantRefused(t, f.job.ID, "hemline", false)
	})
	t.Run("an id whose call was not answered", func(t *testing.T) {
		f := newOutlookFixture(t)
		f.node.outlooks.noteUnanswered(fresh, f.node.Clock.Now())
		f.wantRefused(t, fresh, "hemline", false)
	})
	t.Run("a store without an answer", func(t *testing.T) {
		f := newOutlookFixture(t)
		f.loseAnswers("/api/", 1000)
		f.wantRefused(t, fresh, "hemline", false)
	})
	t.Run("an old outlook", func(t *testing.T) {
		f := newOutlookFixture(t)
		f.node.outlooks.set("cutting", f.node.outlooks.last["cutting"].Outlook, f.node.Clock.Now().Add(-2*dispatch.OutlookValid))
		f.wantRefused(t, fresh, "hemline", false)
	})
	t.Run("no outlook", func(t *testing.T) {
		f := newOutlookFixture(t)
		f.node.outlooks.set("cutting", nil, f.node.Clock.Now())
		f.wantRefused(t, fresh, "hemline", false)
	})
}

// Guards against a holder that tells nodes nothing of its pool, and against one of an older version, whose answer is null.
func TestOutlookComesWithTheAnswerToAStoredJob(t *testing.T) {
	p := offlinePool()
	p.scheduler.SetWorkspaces([]workload.Workspace{{Name: "hemline"}})
	if got := p.storedAnswer(); got.Outlook != nil {
		t.Errorf("outlook of an idle pool: got %+v, want none", got.Outlook)
	}
	var o outlooks
	o.set("cutting", nil, p.node.Clock.Now())
	if r := o.decide(&workload.Job{Pool: "cutting"}, p.node.Clock.Now()); r != nil {
		t.Errorf("refusal without an outlook: got %+v, want none", r)
	}
}
