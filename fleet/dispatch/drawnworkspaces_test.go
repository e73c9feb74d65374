package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"verbenalanding.example/fleet/quota"
	"verbenalanding.example/fleet/workload"
)

// newSharedDrawnPool returns a drawn pool that workspaces of different weights share; some have limits.
func newSharedDrawnPool(seed uint64) *drawnPool {
	d := newDrawnPool(seed)
	for i := range 1 + d.IntN(8) {
		w := workload.Workspace{Name: fmt.Sprint("w", i), Weight: float64(d.IntN(4))}
		if d.IntN(3) == 0 {
			w.MaxRunning = workload.Resources{CPU: 40_000, MemoryMB: 60_000}
		}
		d.workspaces = append(d.workspaces, w)
	}
	d.pool.SetWorkspaces(d.workspaces)
	for _, w := range d.workspaces {
		d.pool.SetAllowance(w.Name, quota.Allowance{Amount: w.MaxRunning, Alone: w.MaxRunning})
	}
	return d
}

// addEqualJobs adds two jobs that differ only in the time of their acceptance, the later one first.
func (d *drawnPool) addEqualJobs() {
	j := d.plainJob(fmt.Sprintf("equal%d", d.nextJob))
	d.pool.AddJob(j, nil, false, d.now)
	j.ID, j.Accepted = j.ID+"earlier", j.Accepted.Add(-time.Microsecond)
	d.pool.AddJob(j, nil, false, d.now)
}

// addListedJob adds the job of a run that a worker has listed before, and has a worker list one of the next job.
func (d *drawnPool) addListedJob() {
	if d.listed != "" {
		d.pool.AddJob(d.plainJob(d.listed), nil, false, d.now)
		d.listed = ""
		return
	}
	d.listed = fmt.Sprintf("listed%d", d.nextJob)
	w := d.workers[d.IntN(len(d.workers))]
	w.runs = append(w.runs, drawnRun{ActiveRun: workload.ActiveRun{Task: workload.TaskID{Job: d.listed}, Run: 1}, until: d.now.Add(time.Second), how: workload.EndDone})
}

// plainJob returns a job of one step.
func (d *drawnPool) plainJob(id string) workload.Job {
	q := d.queues[d.IntN(len(d.queues))]
	j := workload.Job{ID: id, Queue: q.Name, Pool: "cutting", Terms: q, Accepted: d.now}
	j.Steps = []workload.Step{{
		Tasks: 1 + d.IntN(2), Need: workload.Resources{CPU: 1000, MemoryMB: 100}, Estimate: 300 * time.Millisecond, Image: fmt.Sprint(d.IntN(5)),
	}}
	if len(d.workspaces) > 0 {
		j.Workspace = d.workspaces[d.IntN(len(d.workspaces))].Name
	}
	return j
}

// Guards against a list of candidates, or sums over it, that differ from those of an implementation without kept values and number keys: the plan would
// place other tasks first.
func TestCandidatesAreThoseOfTheReference(t *testing.T) {
	for name, draw := range map[string]func(uint64) *drawnPool{"without workspaces": newDrawnPool, "with workspaces": newSharedDrawnPool} {
		t.Run(name, func(t *testing.T) {
			most := 0
			for seed := range uint64(drawnSeeds) {
				d := draw(seed)
				d.pool.AwaitWorkerList = seed%2 == 1
				d.beforePlan = func() {
					if d.IntN(4) == 0 {
						d.addEqualJobs()
						d.addListedJob()
					}
					got, want := d.pool.CandidateLists(d.now)
					most = max(most, len(want))
					for i := range max(len(got), len(want)) {
						if i >= len(got) || i >= len(want) || got[i] != want[i] {
							t.Fatalf("seed %d, %v: candidate %d: got %v, want %v", seed, d.now.Sub(epoch), i, got[min(i, len(got)):], want[min(i, len(want)):])
						}
					}
					if got, want := d.pool.WaitingCPU(d.now); got != want {
						t.Fatalf("seed %d, %v: CPU of the waiting tasks: got %d, want %d", seed, d.now.Sub(epoch), got, want)
					}
				}
				for range drawnPlans {
					d.tick()
				}
			}
			const leastWaiting = 50
			if most < leastWaiting {
				t.Errorf("longest list: got %d candidates, want at least %d", most, leastWaiting)
			}
		})
	}
}
