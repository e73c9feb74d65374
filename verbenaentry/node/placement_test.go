package node

import (
	"errors"
	"testing"
	"time"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/workload"
)

// Guards against a question that moves the times at which refused callers are asked to return, and against a time other than the next refused caller's.
func TestPlacementDoesNotDelayRefusedCallers(t *testing.T) {
	now := time.Unix(1000, 0)
	r := &dispatch.Refusal{Wait: 3 * time.Second, Each: 2 * time.Second}
	var o outlooks
	o.set("cutting", nil, now)
	for i, want := range []time.Duration{3 * time.Second, 5 * time.Second, 7 * time.Second} {
		for range 3 {
			if got := o.peekReturnAfter("cutting", r, now); got != want {
				t.Errorf("asked before refusal %d: got %v, want %v", i, got, want)
			}
		}
		if got := o.returnAfter("cutting", r, now); got != want {
			t.Errorf("refusal %d: got %v, want %v", i, got, want)
		}
	}
}

// Guards against terms that a call of the same workspace would not have.
func TestTermsOfPlacement(t *testing.T) {
	c := &workload.Configuration{
		Queues:     []workload.Queue{{Name: "q"}, {Name: "open", Anonymous: true}},
		Workspaces: []workload.Workspace{{Name: "seam"}},
	}
	for _, x := range []struct {
		queue, workspace string
		want             error
	}{
		{"q", "seam", nil}, {"open", "", nil}, {"q", "", errWorkspaceMissing}, {"open", "seam", errWorkspaceUnused}, {"q", "none", errUnknownWorkspace}, {"none", "seam", errUnknownQueue},
	} {
		t.Run(x.queue+" "+x.workspace, func(t *testing.T) {
			q, err := termsOf(c, x.queue, x.workspace)
			if !errors.Is(err, x.want) {
				t.Errorf("error: got %v, want %v", err, x.want)
			}
			if err == nil && q.Name != x.queue {
				t.Errorf("queue: got %q, want %q", q.Name, x.queue)
			}
		})
	}
}

// Guards against operators' questions that leave a pool no time to plan.
func TestQuestionsLeaveTimeToPlan(t *testing.T) {
	p := offlinePool()
	j := workload.Job{Queue: "q", Steps: []workload.Step{{Tasks: 1, Need: workload.Resources{CPU: 1}}}}
	for i, want := range []error{nil, errPlacementBusy} {
		if _, err := p.placement(j); !errors.Is(err, want) {
			t.Errorf("question %d: got %v, want %v", i, err, want)
		}
	}
	p.placedAt = p.placedAt.Add(-placementPause)
	if _, err := p.placement(j); err != nil {
		t.Errorf("question after the pause: got %v, want an answer", err)
	}
	if _, err := p.placement(workload.Job{}); !errors.Is(err, workload.ErrInvalidJob) {
		t.Errorf("job without steps: got %v, want %v", err, workload.ErrInvalidJob)
	}
}
