package dispatch_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/workload"
)

// sharedBench returns a bench whose pool is shared by workspaces with the given weights, named a, b and so on.
func sharedBench(t *testing.T, workers int, weights ...float64) *bench {
	t.Helper()
	b := newBench(t, workers)
	b.shareAmong(weights...)
	return b
}

func (b *bench) shareAmong(weights ...float64) {
	var list []workload.Workspace
	for i, weight := range weights {
		list = append(list, workload.Workspace{Name: string(rune('a' + i)), Weight: weight})
	}
	b.pool.SetWorkspaces(list)
}

// fullWorker is a task that leaves no room for another one.
func fullWorker(estimate time.Duration) workload.Step {
	return workload.Step{Tasks: 1, Need: workload.Resources{CPU: 16000, MemoryMB: 1000}, Estimate: estimate}
}

// addOf adds a job of a workspace that was accepted some time ago.
func (b *bench) addOf(workspace, id string, age time.Duration, steps ...workload.Step) {
	b.pool.AddJob(workload.Job{
		ID: id, Workspace: workspace, Queue: queue.Name, Pool: "cutting", Terms: queue, Steps: steps, Accepted: b.now.Add(-age),
	}, nil, false, b.now)
}

// wantOrder checks the order in which jobs wait behind one that occupies the only worker.
func (b *bench) wantOrder(want ...string) {
	b.t.Helper()
	b.plan()
	got := slices.Clone(want)
	before := func(id string) int {
		e, _ := b.pool.Explain(id, b.now)
		return e.JobsBefore
	}
	slices.SortStableFunc(got, func(x, y string) int { return before(x) - before(y) })
	if !slices.Equal(got, want) || before(want[len(want)-1]) != len(want)-1 {
		b.t.Errorf("order of waiting jobs: got %v, want %v", got, want)
	}
}

// occupiedBench returns a shared bench with one worker, which is occupied.
func occupiedBench(t *testing.T, weights ...float64) *bench {
	t.Helper()
	b := sharedBench(t, 1, weights...)
	b.addOf("", "occupies", 0, fullWorker(time.Second))
	b.plan()
	return b
}

// Guards against an order that lets one caller's load wait for what is worth less to its callers.
func TestOrderOfAFullSharedPool(t *testing.T) {
	second := fullWorker(time.Second)
	t.Run("late work waits for work that has time, and useless work for late work", func(t *testing.T) {
		b := occupiedBench(t, 10, 10)
		// The objective is 1.6 times a second and 0.6 s.
		b.addOf("a", "useless", 8*time.Second, second)
		b.addOf("a", "late", 3*time.Second, second)
		b.addOf("b", "inTime", 0, second)
		b.wantOrder("inTime", "late", "useless")
	})
	t.Run("what lies beyond waits for what others are owed, also if that is late", func(t *testing.T) {
		b := occupiedBench(t, 2, 2)
		for i := range 4 {
			b.addOf("a", fmt.Sprint("a", i), 0, second)
		}
		b.addOf("b", "late", 3*time.Second, second)
		b.addOf("b", "inTime", 0, second)
		b.wantOrder("a0", "inTime", "a1", "late", "a2", "a3")
	})
	t.Run("a priority goes before what its workspace is owed", func(t *testing.T) {
		b := occupiedBench(t, 10, 0)
		urgent := queue
		urgent.Name, urgent.Priority = "urgent", -1
		b.pool.SetQueues([]workload.Queue{queue, urgent})
		b.addOf("a", "owed", 0, second)
		b.pool.AddJob(workload.Job{
			ID: "urgent", Workspace: "b", Queue: urgent.Name, Pool: "cutting", Terms: urgent, Steps: []workload.Step{second}, Accepted: b.now,
		}, nil, false, b.now)
		b.wantOrder("urgent", "owed")
	})
	t.Run("jobs without a workspace are owed", func(t *testing.T) {
		b := occupiedBench(t, 0)
		b.addOf("a", "beyond", time.Millisecond, second)
		b.addOf("", "anonymous", 0, second)
		b.addOf("gone", "unknown", 0, second)
		// The worker is occupied by a job without a workspace.
		b.wantOrder("unknown", "anonymous", "beyond")
	})
}

// Guards against a workspace that takes more of a full pool than its weight by what it keeps running, in any resource.
func TestWorkspacesShareByWeight(t *testing.T) {
	for name, c := range map[string]struct {
		weights []float64
		running workload.Resources
		want    string
	}{
		"cores that one has running":        {[]float64{10, 10}, workload.Resources{CPU: 4000}, "b"},
		"memory that one has running":       {[]float64{10, 10}, workload.Resources{CPU: 1, MemoryMB: 30000}, "b"},
		"a third of what its weight allows": {[]float64{90, 10}, workload.Resources{CPU: 300}, "b"},
	} {
		t.Run(name, func(t *testing.T) {
			b := sharedBench(t, 1, c.weights...)
			b.addOf("a", "running", 0, workload.Step{Tasks: 1, Need: c.running, Estimate: time.Second})
			b.plan()
			b.pool.SetWorker(b.workerOfCapacity("w1"), b.now)
			b.present["w1"] = map[workload.TaskID]int{}
			b.addOf("a", "a", 0, fullWorker(time.Second))
			b.addOf("b", "b", 0, fullWorker(time.Second))
			b.report()
			b.starts = nil
			b.plan()
			if len(b.starts) != 1 || b.starts[0].Task.Job != c.want {
				t.Errorf("starts: got %v, want one of %s", b.starts, c.want)
			}
		})
	}
	t.Run("half of the starts go to each", func(t *testing.T) {
		b := sharedBench(t, 4, 100, 100)
		for i := range 8 {
			b.addOf("a", fmt.Sprint("a", i), 0, fullWorker(time.Second))
		}
		for i := range 4 {
			b.addOf("b", fmt.Sprint("b", i), 0, fullWorker(time.Second))
		}
		b.plan()
		b.wantStarted("a", 2)
		b.wantStarted("b", 2)
	})
	t.Run("a weight of three to one", func(t *testing.T) {
		b := sharedBench(t, 8, 300, 100)
		for i := range 8 {
			b.addOf("a", fmt.Sprint("a", i), 0, fullWorker(time.Second))
			b.addOf("b", fmt.Sprint("b", i), 0, fullWorker(time.Second))
		}
		b.plan()
		b.wantStarted("a", 6)
		b.wantStarted("b", 2)
	})
}

func (b *bench) workerOfCapacity(id string) workload.Worker {
	return workload.Worker{ID: id, Machine: "m-" + id, Pool: "cutting", Rack: "r1", Capacity: workload.Resources{CPU: 16000, MemoryMB: 64000}, Incarnation: 1}
}

// wantStarted checks how many of the last plan's starts are of jobs whose id begins with a workspace.
func (b *bench) wantStarted(workspace string, want int) {
	b.t.Helper()
	got := 0
	for _, s := range b.starts {
		if strings.HasPrefix(s.Task.Job, workspace) {
			got++
		}
	}
	if got != want {
		b.t.Errorf("starts of %s: got %d, want %d", workspace, got, want)
	}
}

// Guards against room that stays idle although a workspace beyond what it is owed could use it.
func TestIdleRoomGoesToWhoeverCanUseIt(t *testing.T) {
	b := sharedBench(t, 6, 0, 10)
	for i := range 6 {
		b.addOf("a", fmt.Sprint("a", i), 0, fullWorker(time.Second))
	}
	b.plan()
	b.wantStarted("a", 6)
}

// Guards against a successor that owes a workspace otherwise than the holder that took its jobs: it learns of all stored jobs at once, in another order.
func TestOwedWorkIsTheSameAfterATakeover(t *testing.T) {
	const jobs = 40
	add := func(b *bench, i int) {
		b.addOf("a", fmt.Sprintf("a%02d", i), b.now.Sub(epoch)-time.Duration(i)*50*time.Millisecond, oneTask(100))
	}
	owed := func(b *bench) []bool {
		var list []bool
		for i := range jobs {
			e, _ := b.pool.Explain(fmt.Sprintf("a%02d", i), b.now)
			list = append(list, e.Owed)
		}
		return list
	}
	first := sharedBench(t, 0, 5)
	for i := range jobs {
		first.now = epoch.Add(time.Duration(i) * 50 * time.Millisecond)
		add(first, i)
		first.plan()
	}
	second := sharedBench(t, 0, 5)
	second.now = first.now
	for i := range jobs {
		add(second, jobs-1-i)
	}
	second.plan()
	got, want := owed(second), owed(first)
	if !slices.Equal(got, want) {
		t.Errorf("owed after the takeover: got %v, want %v", got, want)
	}
	if n := len(slices.DeleteFunc(want, func(owed bool) bool { return !owed })); n < 10 || n > 16 {
		t.Errorf("owed of %d jobs within 2 s: got %d, want 10 and those of a second's burst at most", jobs, n)
	}
}

// Guards against work that waits for ever: late work beside an endless stream that has time, and work beyond what its workspace is owed. The bound is 10 s and
// the time that a sixteenth of the pool needs for what has waited longer; here that is one task of a second.
func TestOvertakenWorkBeginsWithinItsBound(t *testing.T) {
	const bound = 10*time.Second + 2*time.Second
	for name, workspace := range map[string]string{"late work": "a", "work beyond": "b"} {
		t.Run(name, func(t *testing.T) {
			b := sharedBench(t, 1, 1000, 0)
			b.addOf(workspace, "overtaken", 20*time.Second, fullWorker(time.Second))
			begun := b.now
			for i := 0; b.now.Sub(begun) < bound; i++ {
				for k := range 2 {
					b.addOf("a", fmt.Sprintf("s%d.%d", i, k), 0, fullWorker(time.Second))
				}
				b.advance(time.Second)
				for task := range b.present["w0"] {
					b.end("w0", task, workload.EndDone)
				}
				b.report()
			}
			for _, s := range b.starts {
				if s.Task.Job == "overtaken" {
					return
				}
			}
			t.Errorf("starts within %v: got %d without the overtaken job, want it among them", bound, len(b.starts))
		})
	}
}

// Guards against old work that takes a pool from the work that has time: it has a sixteenth.
func TestOldWorkKeepsToItsPart(t *testing.T) {
	const workers, old = 16, 40
	b := sharedBench(t, workers, 1000, 1000)
	for i := range old {
		b.addOf("a", fmt.Sprintf("old%02d", i), 20*time.Second, fullWorker(time.Second))
	}
	for i := range workers {
		b.addOf("b", fmt.Sprintf("first%02d", i), 0, fullWorker(time.Minute))
	}
	b.plan()
	b.advance(10 * time.Second)
	for i := range 2 * workers {
		b.addOf("b", fmt.Sprintf("new%02d", i), 0, fullWorker(time.Second))
	}
	for id, runs := range b.present {
		for task := range runs {
			b.end(id, task, workload.EndDone)
		}
	}
	b.report()
	b.starts = nil
	b.plan()
	b.wantStarted("old", 1)
	b.wantStarted("new", workers-1)
}

// Guards against an answer to an operator that does not name what decided: the share, with its figures.
func TestExplanationNamesTheShare(t *testing.T) {
	b := sharedBench(t, 1, 1, 1)
	b.addOf("b", "running", 0, fullWorker(time.Minute))
	for i := range 3 {
		b.addOf("a", fmt.Sprint("a", i), time.Duration(3-i)*time.Millisecond, fullWorker(time.Second))
	}
	b.plan()
	e, _ := b.pool.Explain("a2", b.now)
	if e.Reason != dispatch.WaitShare || e.Owed || e.Workspace != "a" || e.Weight != 1 || e.Basis == "" {
		t.Errorf("explanation of a job beyond: got %+v, want the reason %s with workspace and weight", e, dispatch.WaitShare)
	}
}
