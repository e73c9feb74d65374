package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/workload"
)

// waitingPool returns a pool whose workers are full, with waiting jobs of 8 tasks in up to 3 steps; its workspaces share it, if there are any.
func waitingPool(workers, jobs, workspaces int) (*dispatch.Pool, time.Time) {
	p, now := overloaded(workers, 0)
	var list []workload.Workspace
	for i := range workspaces {
		list = append(list, workload.Workspace{Name: fmt.Sprint("w", i), Weight: 3})
	}
	p.SetWorkspaces(list)
	for image := range 6 {
		p.LearnRunTime(queue.Name, fmt.Sprint(image), 1.2, float64(image%2), 700*time.Millisecond)
	}
	next := 0
	addJob := func() {
		i := next
		next++
		var steps []workload.Step
		for s, tasks := range [][]int{{8}, {5, 3}, {3, 3, 2}}[i%3] {
			step := workload.Step{Tasks: tasks, Need: workload.Resources{CPU: int64(3000 + 137*(i%40)), MemoryMB: 3000}, Estimate: 640 * time.Millisecond, Image: fmt.Sprint(i % 6)}
			if s > 0 {
				step.After = []int{s - 1}
			}
			steps = append(steps, step)
		}
		j := workload.Job{ID: fmt.Sprintf("%016x", i), Queue: queue.Name, Pool: "cutting", Terms: queue, Steps: steps, Accepted: now.Add(time.Duration(i) * time.Microsecond)}
		if workspaces > 0 {
			j.Workspace = fmt.Sprint("w", i%workspaces)
		}
		p.AddJob(j, nil, false, now)
	}
	for {
		for range 200 {
			addJob()
		}
		if len(p.Plan(now)) == 0 {
			break
		}
	}
	for range jobs - 200 {
		addJob()
	}
	p.Plan(now)
	return p, now
}

// BenchmarkPlanWaiting measures a plan, and the demand, of a pool without free capacity in which many jobs wait.
func BenchmarkPlanWaiting(b *testing.B) {
	for _, workers := range []int{85, 150, 540} {
		for _, jobs := range []int{400, 1000, 3000} {
			for _, workspaces := range []int{0, 20} {
				size := fmt.Sprintf("%d workers, %d jobs, %d workspaces", workers, jobs, workspaces)
				p, now := waitingPool(workers, jobs, workspaces)
				b.Run(size, func(b *testing.B) {
					b.ReportAllocs()
					for b.Loop() {
						// The waits of the jobs, by cause, grow with each plan.
						now = now.Add(time.Microsecond)
						p.Plan(now)
					}
				})
				b.Run("demand, "+size, func(b *testing.B) {
					b.ReportAllocs()
					for b.Loop() {
						p.Demand(now)
					}
				})
			}
		}
	}
}
