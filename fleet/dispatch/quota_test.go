package dispatch_test

import (
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/quota"
	"verbenalanding.example/fleet/workload"
)

func cores(n int64) workload.Resources { return workload.Resources{CPU: n * 1000} }

// newQuotaBench returns a bench with a workspace whose limit is wholly granted to the pool.
func newQuotaBench(t *testing.T, workers int, limit int64) *bench {
	t.Helper()
	b := newBench(t, workers)
	b.limit(limit)
	b.allow(limit)
	return b
}

func (b *bench) limit(limit int64) {
	b.pool.SetWorkspaces([]workload.Workspace{{Name: "fitters", Weight: 1, MaxRunning: cores(limit)}, {Name: "free", Weight: 1}})
}

func (b *bench) allow(n int64) {
	b.pool.SetAllowance("fitters", quota.Allowance{Amount: cores(n), Alone: cores(n)})
}

func (b *bench) addJobOf(workspace, id string, steps ...workload.Step) {
	b.pool.AddJob(workload.Job{ID: id, Queue: queue.Name, Pool: "cutting", Terms: queue, Steps: steps, Accepted: b.now, Workspace: workspace}, nil, false, b.now)
}

func tasks(n int, cpu int64) workload.Step {
	step := oneTask(cpu)
	step.Tasks = n
	return step
}

func (b *bench) wantStarts(what string, want int) {
	b.t.Helper()
	b.wantCount("starts "+what, len(b.starts), want)
	if mismatch := b.pool.UsageMismatch(); mismatch != "" {
		b.t.Errorf("usage: %s", mismatch)
	}
}

// Guards against starts beyond a workspace's allowance, and against a limit that holds up jobs without one.
func TestStartsStayWithinTheAllowance(t *testing.T) {
	b := newQuotaBench(t, 2, 100)
	b.allow(5)
	b.addJobOf("fitters", "limited", tasks(10, 2000))
	b.plan()
	b.wantStarts("of the limited job", 2)
	b.addJobOf("free", "a", tasks(3, 1000))
	b.addJobOf("", "b", tasks(3, 1000))
	b.plan()
	b.wantStarts("with those without a limit", 8)
	b.allow(6)
	b.plan()
	b.wantStarts("after a raise", 9)
	u := b.pool.WorkspaceUsage(b.now)["fitters"]
	if u.Known != cores(6).Plus(workload.Resources{MemoryMB: 300}) || u.Short.CPU != 14000 {
		t.Errorf("usage: got %+v, want 6 cores known and 14 short", u)
	}
}

// Guards against a workspace with a limit whose tasks start before its grant is known.
func TestNothingStartsBeforeTheGrantIsKnown(t *testing.T) {
	b := newBench(t, 1)
	b.limit(100)
	b.addJobOf("fitters", "j", oneTask(1000))
	b.plan()
	b.wantStarts("without a grant", 0)
}

// Guards against runs that do not count while they are stopped, or while their start is not answered.
func TestStoppingAndUnansweredRunsCount(t *testing.T) {
	b := newQuotaBench(t, 2, 2)
	b.unresponsive["w0"], b.unresponsive["w1"] = true, true
	b.addJobOf("fitters", "a", tasks(2, 1000))
	b.plan()
	b.wantStarts("that are not answered", 2)
	b.pool.Cancel("a", b.now)
	b.addJobOf("fitters", "b", tasks(2, 1000))
	b.unresponsive["w0"], b.unresponsive["w1"] = false, false
	b.now = b.now.Add(50 * time.Millisecond)
	b.pool.Report("w0", workload.Report{Incarnation: 1, Clock: b.clock}, b.now)
	b.pool.Report("w1", workload.Report{Incarnation: 1, Clock: b.clock}, b.now)
	for _, a := range b.pool.Plan(b.now) {
		if _, started := a.(dispatch.Start); started {
			t.Errorf("actions while both starts may be carried out: got %+v, want no start", a)
		}
	}
	b.advance(3 * time.Second)
	b.wantStarts("once they cannot be carried out", 4)
}

// Guards against a gang that starts although only a part of it fits into the limit, and against one that never starts although it fits.
func TestGangFitsIntoTheAllowanceAsAWhole(t *testing.T) {
	b := newQuotaBench(t, 4, 10)
	gang := tasks(4, 2000)
	gang.Gang = true
	b.allow(7)
	b.addJobOf("fitters", "gang", gang)
	b.plan()
	b.wantStarts("of a gang that does not fit", 0)
	if u := b.pool.WorkspaceUsage(b.now)["fitters"]; u.Least.CPU != 8000 {
		t.Errorf("least amount of use: got %d, want 8000", u.Least.CPU)
	}
	b.allow(8)
	b.plan()
	b.wantStarts("once it fits", 4)
}

// Guards against finite runs that are stopped in favour of a long-running task that its workspace's limit forbids.
func TestNothingIsStoppedForATaskAboveTheLimit(t *testing.T) {
	b := newQuotaBench(t, 1, 4)
	b.addJobOf("free", "finite", tasks(4, 4000))
	b.plan()
	lasting := tasks(1, 8000)
	lasting.LongRunning = true
	b.allow(4)
	b.addJobOf("fitters", "lasting", lasting)
	b.advance(200 * time.Millisecond)
	wantCount(t, "stops", len(b.stops), 0)
	b.limit(8)
	b.allow(8)
	b.advance(200 * time.Millisecond)
	wantCount(t, "stops once the limit admits it", len(b.stops), 2)
}

// Guards against a new holder that starts tasks while workers that have not reported may run as many.
func TestTakeoverCountsUnreportedWorkers(t *testing.T) {
	b := newQuotaBench(t, 2, 16)
	b.addJobOf("fitters", "a", tasks(8, 2000))
	b.plan()
	b.wantStarts("of the first holder", 8)
	silent := "w1"
	before := len(b.present[silent])
	b.takeOver()
	b.limit(16)
	b.allow(16)
	b.unresponsive[silent] = true
	b.addWorker("w0")
	b.addWorker("w1")
	b.report()
	b.addJobOf("fitters", "b", tasks(8, 1000))
	b.starts = nil
	b.advance(time.Second)
	b.wantStarts("while a worker has not reported", 0)
	b.unresponsive[silent] = false
	b.addJobOf("fitters", "a", tasks(8, 2000))
	b.report()
	b.advance(time.Second)
	b.wantStarts("while all runs go on", 0)
	for task := range b.present[silent] {
		b.end(silent, task, workload.EndDone)
	}
	b.advance(time.Second)
	b.wantStarts("after ends", min(8, 2*before))
}

// Guards against a workspace that waits after a planned stop of a holder for workers that run nothing of it, and against runs that a handover names and
// that do not count.
func TestHandoverCountsTheTasksThatItNames(t *testing.T) {
	b := newQuotaBench(t, 3, 16)
	b.addJobOf("fitters", "a", tasks(3, 4000))
	b.plan()
	b.wantStarts("of the first holder", 3)
	b.report()
	b.advance(priorLeases)
	for id, runs := range b.present {
		b.unresponsive[id] = len(runs) > 0
	}
	b.handOver()
	b.limit(16)
	b.allow(16)
	for id := range b.present {
		b.addWorker(id)
	}
	b.report()
	b.addJobOf("fitters", "a", tasks(3, 4000))
	b.addJobOf("fitters", "b", tasks(10, 1000))
	b.starts = nil
	b.plan()
	if u := b.pool.WorkspaceUsage(b.now)["fitters"]; u.Uncertain.CPU != 12000 {
		t.Errorf("uncertain usage: got %+v, want that of 3 tasks", u.Uncertain)
	}
	b.wantStarts("beside the named tasks", 4)
}

// Guards against a workspace that waits for orphaned runs of others, and against its own orphaned runs that do not count.
func TestOrphanedRunsCountForTheirWorkspace(t *testing.T) {
	b := newQuotaBench(t, 2, 16)
	b.addJobOf("free", "other", oneTask(4000))
	b.addJobOf("fitters", "own", oneTask(4000))
	b.pool.Cancel("other", b.now)
	b.pool.Cancel("own", b.now)
	for _, job := range []string{"other", "own"} {
		b.present["w0"][task(job, 0, 0)] = 9
	}
	b.addJobOf("fitters", "next", tasks(16, 1000))
	b.report()
	b.plan()
	if u := b.pool.WorkspaceUsage(b.now)["fitters"]; u.Uncertain.CPU != 4000 {
		t.Errorf("uncertain usage: got %+v, want that of the workspace's own run", u.Uncertain)
	}
	b.wantStarts("beside the orphaned run", 12)
}

// Guards against a large task that waits for good while smaller ones of its workspace take each amount that becomes free.
func TestLargeTaskIsNotOvertakenForLong(t *testing.T) {
	b := newQuotaBench(t, 4, 10)
	b.stalled = false
	b.addJobOf("fitters", "small", tasks(200, 1000))
	b.plan()
	lasting := tasks(1, 8000)
	lasting.LongRunning = true
	b.addJobOf("fitters", "large", lasting)
	for range 60 {
		for id, runs := range b.present {
			for task := range runs {
				if task.Job == "small" {
					b.end(id, task, workload.EndDone)
					break
				}
			}
		}
		b.report()
		b.record()
		b.advance(50 * time.Millisecond)
	}
	if b.workerOf(task("large", 0, 0)) == "" {
		t.Errorf("large task: got none running, want one")
	}
}

// Guards against a job that waits for a larger task of its workspace while operators see another reason.
func TestExplainNamesTheLargerTask(t *testing.T) {
	b := newQuotaBench(t, 4, 10)
	b.addJobOf("fitters", "first", oneTask(4000))
	b.plan()
	lasting := tasks(1, 8000)
	lasting.LongRunning = true
	b.addJobOf("fitters", "large", lasting)
	b.addJobOf("fitters", "small", oneTask(1000))
	b.plan()
	b.addJobOf("fitters", "later", oneTask(1000))
	b.advance(1200 * time.Millisecond)
	b.addJobOf("fitters", "last", oneTask(1000))
	b.plan()
	e, _ := b.pool.Explain("last", b.now)
	if e.Reason != dispatch.WaitQuota || !strings.Contains(e.Basis, "larger task") {
		t.Errorf("explanation: got %q, %q, want %q for a larger task", e.Reason, e.Basis, dispatch.WaitQuota)
	}
}

// Guards against a task larger than its workspace's limit that never runs, and against one that runs beside others.
func TestTaskLargerThanTheLimitStartsAlone(t *testing.T) {
	b := newQuotaBench(t, 2, 4)
	b.addJobOf("fitters", "small", oneTask(1000))
	b.plan()
	b.addJobOf("fitters", "large", oneTask(6000))
	b.pool.SetAllowance("fitters", quota.Allowance{Amount: cores(4), Alone: cores(6)})
	b.plan()
	b.wantStarts("beside another task", 1)
	b.end(b.workerOf(task("small", 0, 0)), task("small", 0, 0), workload.EndDone)
	b.report()
	b.plan()
	b.wantStarts("alone", 2)
	b.addJobOf("fitters", "next", oneTask(1000))
	b.plan()
	b.wantStarts("beside the large task", 2)
}

// Guards against a job that waits for its workspace's limit while operators see another reason, or no figures.
func TestExplainNamesTheLimit(t *testing.T) {
	b := newQuotaBench(t, 2, 20)
	b.allow(3)
	b.addJobOf("fitters", "j", tasks(2, 2000))
	b.plan()
	e, _ := b.pool.Explain("j", b.now)
	if e.Reason != dispatch.WaitQuota {
		t.Errorf("reason: got %q, want %q", e.Reason, dispatch.WaitQuota)
	}
	for _, figure := range []string{"fitters", "20.0 cores", "3.0 cores", "2.0 cores"} {
		if !strings.Contains(e.Basis, figure) {
			t.Errorf("basis: got %q, want it to name %q", e.Basis, figure)
		}
	}
}

// Guards against usage that drifts from the runs that are present, whatever starts, ends, restarts and takeovers do.
func TestUsageOfWorkspacesMatchesTheRuns(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		b := newQuotaBench(t, 3, 12)
		job := 0
		b.pool.AwaitConfirmation = rapid.Bool().Draw(r, "confirmations")
		for range rapid.IntRange(5, 40).Draw(r, "steps") {
			switch rapid.IntRange(0, 7).Draw(r, "action") {
			case 0, 1:
				job++
				b.addJobOf(rapid.SampledFrom([]string{"fitters", "free", ""}).Draw(r, "workspace"), string(rune('a'+job)), tasks(rapid.IntRange(1, 4).Draw(r, "tasks"), rapid.Int64Range(1000, 6000).Draw(r, "cpu")))
			case 2:
				b.pool.Cancel(string(rune('a'+rapid.IntRange(1, max(1, job)).Draw(r, "job"))), b.now)
			case 3:
				b.unresponsive[rapid.SampledFrom([]string{"w0", "w1", "w2"}).Draw(r, "worker")] = rapid.Bool().Draw(r, "unresponsive")
			case 4:
				for id, runs := range b.present {
					for task := range runs {
						b.end(id, task, workload.EndFailed)
						break
					}
				}
				b.report()
			case 5:
				id := rapid.SampledFrom([]string{"w0", "w1", "w2"}).Draw(r, "worker")
				b.present[id], b.ended[id] = map[workload.TaskID]int{}, nil
				b.pool.WorkerEnded(id, "test")
				b.addWorker(id)
			case 6:
				b.limit(rapid.Int64Range(0, 12).Draw(r, "limit"))
			default:
				b.advance(time.Duration(rapid.IntRange(1, 3000).Draw(r, "ms")) * time.Millisecond)
			}
			b.plan()
			if mismatch := b.pool.UsageMismatch(); mismatch != "" {
				r.Fatalf("usage: %s", mismatch)
			}
		}
	})
}
