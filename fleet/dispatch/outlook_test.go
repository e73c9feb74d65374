package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/workload"
)

// newJob returns a job of a second on one core, with an objective of 2.2 s.
func newJob(workspace string) workload.Job {
	return workload.Job{ID: "new", Workspace: workspace, Queue: queue.Name, Pool: "cutting", Terms: queue, Steps: []workload.Step{{
		Tasks: 1, Need: workload.Resources{CPU: 1000}, Estimate: time.Second,
	}}}
}

// Guards against a refusal of a job that could be of use, and against one that is taken although it certainly cannot.
func TestRefusalNeedsCertainty(t *testing.T) {
	outlook := dispatch.Outlook{
		Cores:  100,
		Levels: []dispatch.OutlookLevel{{Priority: 0, InTime: 500, Owed: 700}, {Priority: 1, InTime: 10_000, Owed: 10_000}},
		Beyond: []dispatch.OutlookWorkspace{{Workspace: "hot", Work: 300}, {Workspace: "light", Work: 0}},
	}
	longRunning, scheduled, low, slow := newJob("hot"), newJob("hot"), newJob("a"), newJob("hot")
	longRunning.Steps[0].LongRunning = true
	scheduled.Times = 3
	low.Terms.Priority = 1
	slow.Steps[0].Estimate = time.Minute
	for name, c := range map[string]struct {
		job  workload.Job
		want dispatch.RefusalCause
	}{
		"owed work of 5 s goes first, useful until 6.1 s":       {newJob("a"), ""},
		"all owed work goes first, 7 s":                         {newJob("light"), dispatch.RefusedBeyond},
		"its own work beyond goes first too, 10 s":              {newJob("hot"), dispatch.RefusedBeyond},
		"a job of a minute is of use after 10 s":                {slow, ""},
		"in-time work of its and higher priorities takes 105 s": {low, dispatch.RefusedBacklog},
		"a long-running job is always taken":                    {longRunning, ""},
		"a scheduled job is always taken":                       {scheduled, ""},
		"a job without a workspace is owed and could be of use": {newJob(""), ""},
	} {
		t.Run(name, func(t *testing.T) {
			got := dispatch.RefusalCause("")
			if r := outlook.Decide(&c.job); r != nil {
				got = r.Cause
			}
			if got != c.want {
				t.Errorf("refusal: got %q, want %q", got, c.want)
			}
		})
	}
	t.Run("no outlook", func(t *testing.T) {
		j := newJob("hot")
		if r := (*dispatch.Outlook)(nil).Decide(&j); r != nil {
			t.Errorf("refusal: got %+v, want none", r)
		}
	})
}

// Guards against refusals by a pool without workspaces, by one with room, and against an outlook that grows with the number of workspaces.
func TestOutlookOfAPool(t *testing.T) {
	t.Run("without workspaces", func(t *testing.T) {
		b := newBench(t, 1)
		for i := range 40 {
			b.addOf("a", fmt.Sprint("a", i), 0, fullWorker(time.Second))
		}
		b.plan()
		if o := b.pool.Outlook(); o != nil {
			t.Errorf("outlook: got %+v, want none", o)
		}
	})
	t.Run("with room", func(t *testing.T) {
		b := sharedBench(t, 2, 0)
		b.addOf("a", "a", 0, fullWorker(time.Second))
		b.plan()
		if o := b.pool.Outlook(); o != nil {
			t.Errorf("outlook: got %+v, want none", o)
		}
	})
	t.Run("full", func(t *testing.T) {
		b := sharedBench(t, 1, 0, 100)
		for i := range 12 {
			b.addOf("b", fmt.Sprint("b", i), 0, fullWorker(time.Second))
		}
		b.plan()
		beyond, owed := newJob("a"), newJob("b")
		if r := b.pool.Outlook().Decide(&beyond); r == nil || r.Cause != dispatch.RefusedBeyond || r.Wait < 10*time.Second {
			t.Errorf("refusal of a job beyond: got %+v, want the cause %s and a wait of 11 s", r, dispatch.RefusedBeyond)
		}
		b.pool.SetIncomingCPU(160_000)
		b.advance(300 * time.Millisecond)
		if r := b.pool.Outlook().Decide(&owed); r != nil {
			t.Errorf("refusal with machines on their way: got %+v, want none", r)
		}
	})
	t.Run("of many workspaces", func(t *testing.T) {
		b := newBench(t, 1)
		var list []workload.Workspace
		for i := range 300 {
			list = append(list, workload.Workspace{Name: fmt.Sprint("w", i)})
		}
		b.pool.SetWorkspaces(list)
		for i := range 300 {
			b.addOf(fmt.Sprint("w", i), fmt.Sprint("j", i), 0, fullWorker(time.Second))
		}
		b.plan()
		if got := len(b.pool.Outlook().Beyond); got > 24 {
			t.Errorf("workspaces of the outlook: got %d, want at most 24", got)
		}
	})
}

// Guards against a job whose caller was refused, and returns once it is of no use any more, that takes the room of one that can be in time.
func TestObjectiveOfARefusedJobCountsFromItsFirstCall(t *testing.T) {
	b := occupiedBench(t, 100)
	b.pool.NoteRefusal("returned", b.now)
	b.advance(9 * time.Second)
	b.addOf("a", "returned", 0, fullWorker(time.Second))
	b.addOf("a", "late", 3*time.Second, fullWorker(time.Second))
	b.addOf("a", "first", 0, fullWorker(time.Second))
	b.wantOrder("first", "late", "returned")
}

// Guards against callers that are refused one after the other and return together, or later ones before earlier ones.
func TestRefusedCallersReturnInTurn(t *testing.T) {
	var returns dispatch.Returns
	r := &dispatch.Refusal{Wait: 8 * time.Second, Useful: 5 * time.Second, Each: 100 * time.Millisecond}
	last, at := time.Duration(0), map[time.Duration]int{}
	for i := range 100 {
		now := epoch.Add(time.Duration(i) * time.Millisecond)
		after := returns.After(r, now)
		if after < last || after < 8*time.Second || after > 30*time.Second {
			t.Fatalf("caller %d: got %v after %v, want no earlier than those before, 8 s to 30 s", i, after, last)
		}
		last = after
		at[after]++
	}
	for after, n := range at {
		if n > 12 {
			t.Errorf("callers that return after %v: got %d, want at most the 10 jobs a second that the pool can take", after, n)
		}
	}
	t.Run("a later pause starts anew", func(t *testing.T) {
		if got := returns.After(r, epoch.Add(time.Minute)); got != 8*time.Second {
			t.Errorf("return: got %v, want the 8 s that the pool needs for what waits", got)
		}
	})
}
