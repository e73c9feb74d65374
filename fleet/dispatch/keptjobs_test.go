package dispatch_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/workload"
)

// keptJob returns a job of about 10 kB that is due in a year.
func keptJob(id int) workload.Job {
	return workload.Job{
		ID: fmt.Sprintf("%016x", id), Queue: queue.Name, Pool: queue.Pool, Terms: queue, Accepted: epoch, Spec: strings.Repeat("a", 8<<10),
		Steps: []workload.Step{{Tasks: 1}}, Times: 1, Start: epoch.AddDate(1, 0, 0),
	}
}

func wantLargest(t *testing.T, what string, p *dispatch.Pool, want int64) {
	t.Helper()
	if got := p.LargestJob(); got != want {
		t.Errorf("%s, %d bytes kept: got jobs taken up to %d bytes, want %d", what, p.KeptBytes(), got, want)
	}
}

// Guards against a pool that keeps jobs until its holder has no memory, and against one that stays full once jobs have ended.
func TestFullPoolTakesNoJobs(t *testing.T) {
	const jobs = 100
	example := keptJob(0)
	p := &dispatch.Pool{Name: "cutting", Settings: dispatch.Settings{KeptBytes: jobs * example.Memory()}}
	p.Begin(epoch)
	for id := range jobs {
		switch id {
		case 0, jobs * 3 / 4:
			wantLargest(t, "pool with room", p, map[bool]int64{true: dispatch.AnyJob, false: dispatch.SmallJob}[id == 0])
		case jobs - 1:
			wantLargest(t, "nearly full pool", p, dispatch.SmallJob)
		}
		p.AddJob(keptJob(id), nil, false, epoch)
	}
	wantLargest(t, "full pool", p, 0)
	end := func(from, to int) {
		for id := from; id < to; id++ {
			p.Cancel(keptJob(id).ID, epoch)
		}
		p.BatchRecorded(p.Batch())
	}
	end(0, 1)
	wantLargest(t, "pool after one end", p, 0)
	end(1, 20)
	wantLargest(t, "pool after a fifth has ended", p, dispatch.SmallJob)
	end(20, jobs)
	wantLargest(t, "pool whose jobs have ended", p, dispatch.AnyJob)
	var ids []string
	for id := range jobs {
		ids = append(ids, keptJob(id).ID)
	}
	if got := p.KeptBytes(); got <= 0 || got > jobs*example.Memory()/2 {
		t.Errorf("ended jobs: got %d bytes kept, want some, at most half", got)
	}
	p.RemoveJobs(ids)
	if got := p.KeptBytes(); got != 0 {
		t.Errorf("removed jobs: got %d bytes kept, want 0", got)
	}
}

// Guards against a successor that counts the jobs that have ended as whole ones, or none.
func TestSuccessorCountsWhatItKeeps(t *testing.T) {
	p := &dispatch.Pool{Name: "cutting"}
	p.Begin(epoch)
	p.AddJob(keptJob(1), &dispatch.Record{State: workload.Completed, Finished: epoch}, true, epoch)
	ended := p.KeptBytes()
	p.AddJob(keptJob(2), nil, true, epoch.Add(time.Second))
	p.AddJob(keptJob(2), nil, true, epoch.Add(2*time.Second))
	example := keptJob(2)
	if got, want := p.KeptBytes()-ended, example.Memory(); got != want || ended <= 0 || ended > want/2 {
		t.Errorf("kept: got %d bytes of a job and %d of an ended one, want %d and at most half of that", got, ended, want)
	}
	wantLargest(t, "pool without a limit", p, dispatch.AnyJob)
}
