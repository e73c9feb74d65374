package testfleet_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"verbenalanding.example/fleet/leadership"
	"verbenalanding.example/fleet/store"
	"verbenalanding.example/fleet/workload"
	"verbenalanding.example/platform"
	"verbenalanding.example/platform/standin"
	"verbenalanding.example/verbenaentry/testfleet"
)

// storeWithoutEvent stores a copy of a served job under the id of j. Watches must drop events, so that no holder receives it.
func storeWithoutEvent(t *testing.T, f *testfleet.Fleet, served, j *standin.Job) {
	t.Helper()
	content, ok := f.Platform.Store.Get("job/cutting/" + served.ID)
	var stored workload.Job
	if err := json.Unmarshal(content, &stored); !ok || err != nil {
		t.Fatalf("stored job: got found %v and %v, want found", ok, err)
	}
	stored.ID, stored.Accepted = j.ID, time.Now()
	f.Platform.AddJob(j, testfleet.Attempts)
	f.Platform.Store.Put("job/cutting/"+j.ID, stored)
}

// startAsHolder starts the first task of a job on a worker of the pool cutting with the fence of the pool's holder.
func startAsHolder(ctx context.Context, t *testing.T, f *testfleet.Fleet, j *standin.Job) {
	t.Helper()
	client := platform.NewClient()
	st := &platform.Store{Client: client, Addr: f.Platform.StoreAddr}
	duty, err := st.Get(ctx, leadership.Prefix+"cutting")
	if err != nil {
		t.Fatalf("duty: got %v, want one", err)
	}
	registrations, _, err := store.ListAll(ctx, st, platform.WorkerPrefix)
	if err != nil {
		t.Fatalf("workers: got %v, want a list", err)
	}
	workers := &platform.Workers{Client: client}
	for _, e := range registrations {
		w, err := platform.DecodeWorker(e.Key, e.Value)
		if err != nil || w.Pool != "cutting" {
			continue
		}
		fence := uint64(duty.Revision)
		_, report, err := workers.Hold(ctx, platform.HoldOrder{Worker: w, Fence: fence})
		if err != nil {
			t.Fatalf("hold: got %v, want an answer", err)
		}
		outcome, _, err := workers.Start(ctx, platform.StartOrder{
			Order: platform.Order{Worker: w, Task: workload.TaskID{Job: j.ID}, Run: 1, Fence: fence}, Spec: j.Spec, LeaseEnd: report.Clock + time.Second,
		})
		if outcome != platform.Started {
			t.Fatalf("start: got %s and %v, want %s", outcome, err, platform.Started)
		}
		return
	}
	t.Fatal("workers of cutting: got none, want some")
}

// Guards against a run that no holder adopts, or a task that is started twice, because the store's watch has not delivered the job: the
// holder must read an unknown job from the store when a worker reports a run of it.
func TestJobReportedByAWorkerIsRead(t *testing.T) {
	f, ctx := startFleet(t, 1)
	oneTask := func(n int) *standin.Job {
		j := job(n)
		j.Steps = j.Steps[:1]
		j.Steps[0].Count = 1
		return j
	}
	served := oneTask(1 << 24)
	submit(ctx, t, f, served)
	if err := f.Await(ctx, "cutting", served.ID, "completed"); err != nil {
		t.Fatalf("first job: got %v, want completed", err)
	}
	f.Platform.Store.SetFaults(standin.StoreFaults{DropEvents: true})
	defer f.Platform.Store.SetFaults(standin.StoreFaults{})
	j := oneTask(1<<24 + 1)
	storeWithoutEvent(t, f, served, j)
	startAsHolder(ctx, t, f, j)
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	if err := f.Await(ctx, "cutting", j.ID, "completed"); err != nil {
		t.Errorf("job that no watch delivers: got %v, want completed", err)
	}
	if got := f.Platform.DoneTasks(j.ID); got != 1 {
		t.Errorf("tasks done: got %d, want 1", got)
	}
	assertNoViolations(t, f)
}
