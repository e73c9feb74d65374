package dispatch_test

import (
	"fmt"
	"strings"
	"testing"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/workload"
)

func placed(b *bench, workspace string, steps ...workload.Step) dispatch.Placement {
	return b.pool.Place(workload.Job{Workspace: workspace, Queue: queue.Name, Pool: "cutting", Terms: queue, Steps: steps}, b.now)
}

// Guards against an answer without the reason for which a task would wait, or with that of another rule than the one that holds it up.
func TestPlacementReasons(t *testing.T) {
	label, spread, second := tasks(1, 1000), tasks(5, 100), tasks(2, 1000)
	label.RequiredLabel, spread.MaxPerWorker, second.After = "none", 1, []int{0}
	gang := tasks(40, 16_000)
	gang.Gang = true
	for name, c := range map[string]struct {
		workspace string
		steps     []workload.Step
		want      []dispatch.WaitReason
		starts    int
		basis     string
	}{
		"all start":                        {"", []workload.Step{tasks(2, 1000)}, []dispatch.WaitReason{dispatch.WaitNone}, 2, ""},
		"the next step waits":              {"", []workload.Step{tasks(2, 1000), second}, []dispatch.WaitReason{dispatch.WaitNone, dispatch.WaitEarlierSteps}, 2, "step 1 waits for steps [0]"},
		"a label that no worker has":       {"", []workload.Step{label}, []dispatch.WaitReason{dispatch.WaitLabel}, 0, "workers"},
		"one task a worker":                {"", []workload.Step{spread}, []dispatch.WaitReason{dispatch.WaitSpread}, 2, "workers"},
		"larger than any worker":           {"", []workload.Step{tasks(1, 1<<30)}, []dispatch.WaitReason{dispatch.WaitTooLarge}, 0, "workers"},
		"the limit of the workspace":       {"fitters", []workload.Step{tasks(4, 1000)}, []dispatch.WaitReason{dispatch.WaitQuota}, 3, "may run 3.0 cores"},
		"a gang beyond the workers' room":  {"", []workload.Step{gang}, []dispatch.WaitReason{dispatch.WaitNextPlan}, 0, ""},
		"tasks beyond the workers' room":   {"", []workload.Step{tasks(400, 1000)}, []dispatch.WaitReason{dispatch.WaitNoCapacity}, -1, "core-seconds"},
		"a workspace without a limit here": {"free", []workload.Step{tasks(4, 1000)}, []dispatch.WaitReason{dispatch.WaitNone}, 4, ""},
	} {
		t.Run(name, func(t *testing.T) {
			b := newQuotaBench(t, 2, 3)
			a := placed(b, c.workspace, c.steps...)
			starts, basis := 0, ""
			var reasons []dispatch.WaitReason
			for _, s := range a.Steps {
				starts += len(s.Starts)
				basis = s.Basis
				reasons = append(reasons, s.Reason)
			}
			if c.starts >= 0 {
				b.wantCount("starts", starts, c.starts)
			}
			b.wantCount("steps", len(reasons), len(c.want))
			for i := range c.want {
				if reasons[i] != c.want[i] {
					t.Errorf("reason of step %d: got %q, want %q", i, reasons[i], c.want[i])
				}
			}
			if !strings.Contains(basis, c.basis) {
				t.Errorf("basis: got %q, want %q in it", basis, c.basis)
			}
			b.plan()
			b.wantCount("starts after the question", len(b.starts), 0)
		})
	}
}

// Guards against an answer that leaves out what goes before the job, or that the job would be refused at the call.
func TestPlacementBehindWaitingWork(t *testing.T) {
	b := newQuotaBench(t, 1, 1000)
	for _, id := range []string{"a", "b"} {
		b.addJobOf("free", id, tasks(400, 1000))
	}
	b.plan()
	a := placed(b, "free", tasks(1, 1000))
	// The job that was begun goes first; the other large one has less worth for its work than the small one.
	if a.JobsBefore != 1 || a.WorkBefore != 384 {
		t.Errorf("before the job: got %d jobs and %v core-seconds, want 1 job and 384", a.JobsBefore, a.WorkBefore)
	}
	if a.Refusal == nil || a.Refusal.Cause == "" || a.Refusal.WaitSeconds <= a.Refusal.UsefulSeconds {
		t.Fatalf("refusal: got %+v, want one with a wait that is longer than a start is of use", a.Refusal)
	}
	decided := newJob("free")
	decided.Steps = []workload.Step{tasks(1, 1000)}
	r := b.pool.Outlook().Decide(&decided)
	if got := a.Refusal.Refusal(); r == nil || got.Cause != r.Cause || (got.Wait-r.Wait).Abs() > 1000 || (got.Useful-r.Useful).Abs() > 1000 {
		t.Errorf("refusal: got %+v, want that of a call, %+v", got, r)
	}
}

// BenchmarkPlace measures a question to an overloaded pool, during which the pool does not plan.
func BenchmarkPlace(b *testing.B) {
	for _, size := range []struct{ workers, jobs, workspaces int }{{85, 400, 20}, {540, 250, 200}, {540, 3400, 200}, {4300, 250, 200}} {
		b.Run(fmt.Sprintf("%d workers, %d jobs, %d workspaces", size.workers, size.jobs, size.workspaces), func(b *testing.B) {
			p, now := shared(size.workers, size.jobs, size.workspaces)
			p.Plan(now)
			j := workload.Job{Workspace: "w0", Queue: queue.Name, Pool: "cutting", Terms: queue, Steps: []workload.Step{tasks(8, 1000)}}
			b.ReportAllocs()
			for b.Loop() {
				p.Place(j, now)
			}
		})
	}
}
