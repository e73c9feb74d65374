package dispatch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/workload"
)

// drawPool returns a pool of workers that differ in all that the choice of a worker depends on.
func drawPool(t *rapid.T) *dispatch.Pool {
	p := &dispatch.Pool{Name: "cutting"}
	p.Begin(epoch)
	p.SetQueues([]workload.Queue{queue})
	for i := range rapid.IntRange(1, 24).Draw(t, "workers") {
		id := fmt.Sprintf("w%02d", i)
		capacity := rapid.SampledFrom([]workload.Resources{{CPU: 8000, MemoryMB: 16000}, {CPU: 16000, MemoryMB: 16000}, {CPU: 16000, MemoryMB: 64000}}).Draw(t, "capacity")
		p.SetWorker(workload.Worker{
			ID: id, Machine: "m-" + id, Pool: p.Name, Rack: rapid.SampledFrom([]string{"r1", "r2", "r3"}).Draw(t, "rack"), Capacity: capacity,
			Labels: rapid.SampledFrom([][]string{nil, {"gpu"}}).Draw(t, "labels"), Incarnation: 1, Draining: rapid.IntRange(0, 9).Draw(t, "draining") == 9,
		}, epoch)
		p.Report(id, workload.Report{Incarnation: 1, Clock: time.Minute}, epoch)
		suspectUntil := rapid.SampledFrom([]time.Time{{}, {}, {}, epoch.Add(time.Minute)}).Draw(t, "suspected")
		p.SetPenalty(id, rapid.SampledFrom([]float64{0, 0, 0, 0.5, 2}).Draw(t, "failures"), rapid.SampledFrom([]float64{1, 1, 1.6, 3}).Draw(t, "slowness"), suspectUntil)
	}
	return p
}

func drawStep(t *rapid.T) workload.Step {
	return workload.Step{
		Tasks: rapid.IntRange(1, 6).Draw(t, "tasks"), Estimate: time.Second,
		Need: workload.Resources{
			CPU: rapid.Int64Range(0, 12).Draw(t, "cpu") * 1000, MemoryMB: rapid.Int64Range(0, 10).Draw(t, "memory") * 2000,
		},
		DataRack: rapid.SampledFrom([]string{"", "", "r1", "r9"}).Draw(t, "data"), RequiredLabel: rapid.SampledFrom([]string{"", "", "gpu"}).Draw(t, "label"),
		MaxPerWorker: rapid.SampledFrom([]int{0, 0, 1, 2}).Draw(t, "spread"),
	}
}

// Guards against a plan that, to be faster, chooses another worker than a look at each of them gives, or finds none where there is one.
func TestPlanChoosesTheBestOfAllWorkers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := drawPool(t)
		now := epoch.Add(10 * time.Millisecond)
		for i := range rapid.IntRange(1, 12).Draw(t, "jobs") {
			p.AddJob(workload.Job{
				ID: fmt.Sprintf("%016x", i), Queue: queue.Name, Pool: p.Name, Terms: queue, Steps: []workload.Step{drawStep(t)}, Accepted: now,
			}, nil, false, now)
			if rapid.IntRange(0, 3).Draw(t, "failed") == 3 {
				p.SetFailedOn(fmt.Sprintf("%016x", i), "w00")
			}
		}
		planned, ofAll := p.PlaceByBoth(now)
		if !slices.Equal(planned, ofAll) {
			t.Fatalf("workers of the waiting tasks: got %v, want %v", planned, ofAll)
		}
		if err := p.CheckCounts(); err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against a plan whose time grows with the number of tasks that become ready at once, and against tasks that are left out for good.
func TestPlanBoundsItsStarts(t *testing.T) {
	const tasks = 1500
	p, now := overloaded(1, 0)
	p.AddJob(workload.Job{
		ID: "0000000000000001", Queue: queue.Name, Pool: p.Name, Terms: queue, Accepted: now, Steps: []workload.Step{{Tasks: tasks, Estimate: time.Second}},
	}, nil, false, now)
	var starts []int
	for range 4 {
		starts = append(starts, len(p.Plan(now)))
	}
	if want := []int{512, 512, 476, 0}; !slices.Equal(starts, want) {
		t.Errorf("starts of the plans for %d tasks: got %v, want %v", tasks, starts, want)
	}
}
