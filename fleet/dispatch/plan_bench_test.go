package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/quota"
	"verbenalanding.example/fleet/workload"
)

// overloaded returns a pool of many full workers, with many waiting jobs.
func overloaded(workers, jobs int) (*dispatch.Pool, time.Time) {
	p := &dispatch.Pool{Name: "cutting"}
	p.Begin(epoch)
	p.SetQueues([]workload.Queue{queue})
	for i := range workers {
		id := fmt.Sprintf("w%03d", i)
		p.SetWorker(workload.Worker{ID: id, Machine: "m-" + id, Pool: "cutting", Rack: "r1", Labels: []string{"a", "r1"}, Capacity: workload.Resources{CPU: 64000, MemoryMB: 128000}, Incarnation: 1}, epoch)
		p.Report(id, workload.Report{Incarnation: 1, Clock: time.Minute}, epoch)
	}
	now := epoch.Add(10 * time.Millisecond)
	addJobs(p, jobs, now, func(int) string { return "" })
	return p, now
}

// addJobs adds jobs of the given workspaces.
func addJobs(p *dispatch.Pool, jobs int, now time.Time, workspace func(i int) string) {
	for i := range jobs {
		var steps []workload.Step
		for s := range 1 + i%3 {
			step := workload.Step{Tasks: 4 + i%12, Need: workload.Resources{CPU: int64(3000 + 137*(i%40)), MemoryMB: 3000}, Estimate: 640 * time.Millisecond, Image: fmt.Sprint(i % 6)}
			if s > 0 {
				step.After = []int{s - 1}
			}
			steps = append(steps, step)
		}
		p.AddJob(workload.Job{ID: fmt.Sprintf("%016x", i), Queue: queue.Name, Pool: "cutting", Terms: queue, Steps: steps, Accepted: now, Workspace: workspace(i)}, nil, false, now)
	}
}

// shared makes the jobs of an overloaded pool those of workspaces.
func shared(workers, jobs, workspaces int) (*dispatch.Pool, time.Time) {
	p, now := overloaded(workers, 0)
	var list []workload.Workspace
	for i := range workspaces {
		list = append(list, workload.Workspace{Name: fmt.Sprint("w", i), Weight: 3})
	}
	p.SetWorkspaces(list)
	addJobs(p, jobs, now, func(i int) string { return fmt.Sprint("w", i%workspaces) })
	return p, now
}

// BenchmarkPlanShared measures a plan where workspaces share an overloaded pool.
func BenchmarkPlanShared(b *testing.B) {
	for _, size := range []struct{ workers, jobs, workspaces int }{{85, 400, 20}, {540, 250, 20}, {540, 250, 200}, {540, 250, 2000}, {4300, 250, 200}, {4300, 250, 2000}} {
		b.Run(fmt.Sprintf("%d workers, %d jobs, %d workspaces", size.workers, size.jobs, size.workspaces), func(b *testing.B) {
			p, now := shared(size.workers, size.jobs, size.workspaces)
			p.Plan(now)
			b.ReportAllocs()
			for b.Loop() {
				p.Plan(now)
			}
		})
	}
}

func BenchmarkPlanOverloaded(b *testing.B) {
	for _, size := range []struct{ workers, jobs int }{{9, 100}, {85, 400}, {85, 1600}, {540, 250}, {1500, 250}, {4300, 250}} {
		b.Run(fmt.Sprintf("%d workers, %d jobs", size.workers, size.jobs), func(b *testing.B) {
			p, now := overloaded(size.workers, size.jobs)
			p.Plan(now)
			b.ReportAllocs()
			for b.Loop() {
				p.Plan(now)
			}
		})
		b.Run(fmt.Sprintf("demand %d workers, %d jobs", size.workers, size.jobs), func(b *testing.B) {
			p, now := overloaded(size.workers, size.jobs)
			p.Plan(now)
			for b.Loop() {
				p.Demand(now)
			}
		})
	}
}

// limitedWorkspaces returns workspaces with limits.
func limitedWorkspaces(n int) (list []workload.Workspace) {
	for i := range n {
		list = append(list, workload.Workspace{Name: fmt.Sprintf("w%d", i), Weight: 1, MaxRunning: workload.Resources{CPU: 1e6, MemoryMB: 1e6}})
	}
	return list
}

// BenchmarkPlanWorkspaces plans for jobs of workspaces with limits, half of which may start nothing more, after the leases of a previous holder.
func BenchmarkPlanWorkspaces(b *testing.B) {
	for _, workers := range []int{540, 4300} {
		for _, workspaces := range []int{0, 20, 200, 2000} {
			p, now := overloaded(workers, 250)
			now = now.Add(2 * priorLeases)
			for _, id := range p.WorkerIDs() {
				p.Report(id, workload.Report{Incarnation: 1, Clock: time.Minute + 2*priorLeases}, now)
			}
			list := limitedWorkspaces(workspaces)
			p.SetWorkspaces(list)
			for i, w := range list {
				amount := w.MaxRunning
				if i%2 == 0 {
					amount = workload.Resources{}
				}
				p.SetAllowance(w.Name, quota.Allowance{Amount: amount, Alone: amount})
			}
			for i := range 250 {
				step := workload.Step{Tasks: 4, Need: workload.Resources{CPU: 3000, MemoryMB: 3000}, Estimate: time.Second}
				job := workload.Job{ID: fmt.Sprintf("j%d", i), Queue: queue.Name, Pool: "cutting", Terms: queue, Steps: []workload.Step{step}, Accepted: now}
				if workspaces > 0 {
					job.Workspace = list[i%workspaces].Name
				} else if i%2 == 0 {
					// As many jobs wait as with workspaces, since no worker is large enough.
					job.Steps[0].Need.CPU = 1e9
				}
				p.AddJob(job, nil, false, now)
			}
			p.Plan(now)
			b.Run(fmt.Sprintf("%d workers, %d workspaces", workers, workspaces), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					p.Plan(now)
				}
			})
			b.Run(fmt.Sprintf("usage, %d workers, %d workspaces", workers, workspaces), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					p.WorkspaceUsage(now)
				}
			})
		}
	}
}
