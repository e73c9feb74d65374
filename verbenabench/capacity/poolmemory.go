package capacity

import (
	"context"
	"fmt"
	"runtime"
	"time"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/workload"
)

const (
	// targetTasks is a burst of 2,000 jobs of 48 tasks in a pool, targetSchedules a schedule for each hour of a week and team.
	targetTasks     = 96_000
	targetSchedules = 47_040
	// hoursAYear is the number of occurrences of a job that runs each hour for a year.
	hoursAYear = 8760
	jobTasks   = 6
)

// poolMemory measures the memory that the holder of a pool needs for the tasks that are due, and for schedules.
func (c *Capacity) poolMemory(context.Context) ([]Slope, error) {
	due := Slope{
		Quantity: "tasks that are due or running, in memory", Role: "holder of a pool", Per: "task", Unit: "bytes", Target: targetTasks,
		Limit: memoryLimit, Mechanism: "state of open occurrences only",
	}
	schedules := Slope{
		Quantity: "jobs that run each hour for a year, in memory", Role: "holder of a pool", Per: "job", Unit: "bytes", Target: targetSchedules,
		Limit: memoryLimit, Mechanism: "state of open occurrences only",
	}
	for _, tasks := range []int{2_400, 9_600, 38_400} {
		due.Points = append(due.Points, Point{float64(tasks), heapOfJobs(tasks/jobTasks, 0)})
	}
	for _, jobs := range []int{300, 1_200, 4_800} {
		schedules.Points = append(schedules.Points, Point{float64(jobs), heapOfJobs(jobs, hoursAYear)})
	}
	return []Slope{due, schedules}, nil
}

// heapOfJobs returns the memory in bytes of a number of jobs; those with occurrences are due for the first time in an hour.
func heapOfJobs(jobs, occurrences int) float64 {
	pool, bytes, _ := heapOf(func() (*dispatch.Pool, error) {
		now := time.Unix(1_790_000_000, 0)
		p := &dispatch.Pool{Name: "pool"}
		p.Begin(now)
		for n := range jobs {
			p.AddJob(workload.Job{
				ID: fmt.Sprintf("%016x", n), Pool: p.Name, Accepted: now, Times: occurrences, Start: now.Add(time.Hour), Interval: time.Hour,
				Steps: []workload.Step{{Tasks: jobTasks, Need: workload.Resources{CPU: 1000}}},
			}, nil, false, now)
		}
		return p, nil
	})
	runtime.KeepAlive(pool)
	return bytes
}
