package testfleet_test

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"verbenalanding.example/platform/standin"
	"verbenalanding.example/platform/wire"
	"verbenalanding.example/verbenaentry/node"
	"verbenalanding.example/verbenaentry/testfleet"
)

// jobs counts the jobs of all tests, which gives each job a unique id.
var jobs atomic.Int64

// testTimeout bounds each test.
const testTimeout = 30 * time.Second

func startFleet(t *testing.T, nodes int) (*testfleet.Fleet, context.Context) {
	t.Helper()
	return startFleetWithFlags(t, nodes, node.Flags{DutyTTL: 800 * time.Millisecond, WorkerLease: 1500 * time.Millisecond, LogLevel: "info"})
}

func startFleetWithFlags(t *testing.T, nodes int, flags node.Flags) (*testfleet.Fleet, context.Context) {
	t.Helper()
	return startConfigured(t, &testfleet.Fleet{
		Nodes: nodes, Flags: flags,
		Platform: &standin.Platform{
			Seed: 1, Pools: map[string]int{"cutting": 4, "fitting": 4, "spare": 2}, Standby: "spare",
			Capacity: wire.Resources{CPU: 16000, MemMb: 64000}, Tick: 5 * time.Millisecond,
			UpkeepTime: 300 * time.Millisecond, MoveTime: 300 * time.Millisecond,
		},
	})
}

// startConfigured starts the given fleet and closes it when the test ends.
func startConfigured(t *testing.T, f *testfleet.Fleet) (*testfleet.Fleet, context.Context) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	if err := f.Start(ctx); err != nil {
		t.Fatalf("start fleet: got %v, want none", err)
	}
	t.Cleanup(func() {
		if err := f.Close(); err != nil {
			t.Errorf("close fleet: got %v, want none", err)
		}
	})
	return f, ctx
}

func job(n int) *standin.Job {
	return &standin.Job{
		ID: fmt.Sprintf("%016x", n+1), RunTime: 80 * time.Millisecond,
		Job: wire.Job{Spec: "spec", Steps: []wire.Step{
			{Count: 3, CPU: 2000, MemMb: 512, EstimateMs: 80, MaxPerServer: 2},
			{Count: 2, CPU: 4000, MemMb: 512, EstimateMs: 80, After: []int{0}},
		}},
	}
}

// serveJobs submits jobs to both pools and waits until all are reported as completed.
func serveJobs(ctx context.Context, t *testing.T, f *testfleet.Fleet, n int) {
	t.Helper()
	first := int(jobs.Add(int64(n))) - n
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(16)
	for i := range n {
		group.Go(func() error {
			pool := []string{"cutting", "fitting"}[i%2]
			j := job(first + i)
			accepted, err := f.Submit(ctx, pool, j)
			if err != nil || !accepted {
				return fmt.Errorf("submit %s: accepted %v: %w", j.ID, accepted, err)
			}
			return f.Await(ctx, pool, j.ID, "completed")
		})
	}
	if err := group.Wait(); err != nil {
		t.Errorf("serve jobs: got %v, want none", err)
	}
	for i := range n {
		if got := f.Platform.DoneTasks(job(first + i).ID); got != 5 {
			t.Errorf("tasks of %s done: got %d, want 5", job(first+i).ID, got)
		}
	}
}

// submit submits a job to the pool cutting and requires that it is accepted.
func submit(ctx context.Context, t *testing.T, f *testfleet.Fleet, j *standin.Job) {
	t.Helper()
	if accepted, err := f.Submit(ctx, "cutting", j); err != nil || !accepted {
		t.Fatalf("submit: got accepted %v and %v, want accepted", accepted, err)
	}
}

// waitUntil waits until a condition holds or the context ends; the caller checks which of the two it was.
func waitUntil(ctx context.Context, condition func() bool) {
	for !condition() && ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
	}
}

// serveJobsDuring serves jobs while a fault is injected, and checks that the platform detected no violation.
func serveJobsDuring(ctx context.Context, t *testing.T, f *testfleet.Fleet, n int, fault func() error) {
	t.Helper()
	var group errgroup.Group
	group.Go(fault)
	serveJobs(ctx, t, f, n)
	if err := group.Wait(); err != nil {
		t.Errorf("fault: got %v, want none", err)
	}
	assertNoViolations(t, f)
}

func assertNoViolations(t *testing.T, f *testfleet.Fleet) {
	t.Helper()
	for _, v := range f.Platform.Violations() {
		t.Errorf("violation detected by the platform: %s", v)
	}
}

func assertStatus(t *testing.T, request string, got, want int) {
	t.Helper()
	if got != want {
		t.Errorf("%s: got status %d, want %d", request, got, want)
	}
}

// Covers jobs from end to end: they are accepted, placed, run in the order of their steps, recorded, and reported as completed by any node.
func TestJobsAreServed(t *testing.T) {
	f, ctx := startFleet(t, 3)
	serveJobs(ctx, t, f, 30)
	assertNoViolations(t, f)
}

var errNoHolder = errors.New("the pool has no holder")

// injectAtHolder returns a function that injects a fault at the holder of the pool cutting while jobs are running.
func injectAtHolder(f *testfleet.Fleet, fault func(node int) error) func() error {
	return func() error {
		time.Sleep(300 * time.Millisecond)
		i := f.Holder("cutting")
		if i < 0 {
			return errNoHolder
		}
		return fault(i)
	}
}

// Guards against lost jobs and tasks that run twice when the holder of a pool is killed.
func TestHolderIsKilled(t *testing.T) {
	f, ctx := startFleet(t, 3)
	serveJobsDuring(ctx, t, f, 60, injectAtHolder(f, func(i int) error {
		f.Kill(i)
		return nil
	}))
}

// Guards against requests and runs that a graceful stop interrupts: the duty moves to another node and the runs continue.
func TestHolderIsTerminated(t *testing.T) {
	f, ctx := startFleet(t, 3)
	serveJobsDuring(ctx, t, f, 60, injectAtHolder(f, f.Terminate))
}

// Guards against lost jobs, tasks that run twice and wrong responses to callers while writes to the store take effect but their answers are
// lost.
func TestAnswersOfTheStoreAreLost(t *testing.T) {
	f, ctx := startFleet(t, 3)
	f.Platform.Store.SetFaults(standin.StoreFaults{LoseAnswers: 0.3})
	serveJobs(ctx, t, f, 20)
	assertNoViolations(t, f)
}

// Guards against a node that stops following the store's keys when the store compacts its history.
func TestStoreCompactsItsHistory(t *testing.T) {
	f, ctx := startFleet(t, 2)
	serveJobs(ctx, t, f, 4)
	f.Platform.Store.Compact()
	f.Configure()
	serveJobs(ctx, t, f, 10)
	assertNoViolations(t, f)
}

// Covers a wave: each machine is maintained, never more at once than allowed, and the wave is reported to the operator as completed.
func TestWaveIsCompleted(t *testing.T) {
	f, ctx := startFleet(t, 2)
	serveJobs(ctx, t, f, 4)
	machines := f.Platform.Machines()
	f.Platform.RequestWave(7, machines, 20*time.Second, 3)
	serveJobs(ctx, t, f, 20)
	for {
		state, done := f.Platform.WaveState(7)
		if state == "completed" {
			if done != len(machines) {
				t.Errorf("machines maintained: got %d, want %d", done, len(machines))
			}
			break
		}
		if ctx.Err() != nil {
			t.Fatalf("wave: got state %q with %d machines done, want completed", state, done)
		}
		time.Sleep(20 * time.Millisecond)
	}
	assertNoViolations(t, f)
}

// Guards against runs that continue after their job was cancelled.
func TestCancelledJobEnds(t *testing.T) {
	f, ctx := startFleet(t, 2)
	j := job(1 << 20)
	j.RunTime = time.Minute
	submit(ctx, t, f, j)
	waitUntil(ctx, func() bool { return f.Platform.Runs() > 0 })
	status, _, err := f.Do(ctx, 0, http.MethodDelete, testfleet.Prefix("cutting")+j.ID, nil)
	if err != nil {
		t.Fatalf("cancel: got %v, want none", err)
	}
	assertStatus(t, "cancel", status, http.StatusOK)
	if err := f.Await(ctx, "cutting", j.ID, "cancelled"); err != nil {
		t.Errorf("state: got %v, want cancelled", err)
	}
	waitUntil(ctx, func() bool { return f.Platform.Runs() == 0 })
	if got := f.Platform.Runs(); got != 0 {
		t.Errorf("runs left: got %d, want 0", got)
	}
}

// Guards against invalid input that crashes a process, is accepted, or is refused with a wrong status.
func TestInvalidInputIsRefused(t *testing.T) {
	f, ctx := startFleet(t, 1)
	valid := "/cutting/00000000000000aa"
	for _, c := range []struct {
		name, method, path string
		body               any
		want               int
	}{
		{"no such queue", http.MethodPost, "/nowhere/00000000000000aa", job(0).Job, http.StatusNotFound},
		{"id too short", http.MethodPost, "/cutting/aa", job(0).Job, http.StatusBadRequest},
		{"no id", http.MethodPost, "/cutting/", job(0).Job, http.StatusMethodNotAllowed},
		{"not JSON", http.MethodPost, valid, []byte("{"), http.StatusBadRequest},
		{"wrong type", http.MethodPost, valid, []byte(`{"Steps":"many"}`), http.StatusBadRequest},
		{"no steps", http.MethodPost, valid, wire.Job{}, http.StatusBadRequest},
		{"no tasks", http.MethodPost, valid, wire.Job{Steps: []wire.Step{{Count: 0}}}, http.StatusBadRequest},
		{"too many tasks", http.MethodPost, valid, wire.Job{Steps: []wire.Step{{Count: 1 << 30}}}, http.StatusBadRequest},
		{"negative size", http.MethodPost, valid, wire.Job{Steps: []wire.Step{{Count: 1, CPU: -1}}}, http.StatusBadRequest},
		{"step depends on itself", http.MethodPost, valid, wire.Job{Steps: []wire.Step{{Count: 1, After: []int{0}}}}, http.StatusBadRequest},
		{"too large", http.MethodPost, valid, make([]byte, 1<<19), http.StatusRequestEntityTooLarge},
		{"unknown method", http.MethodPut, valid, job(0).Job, http.StatusMethodNotAllowed},
		{"unknown job", http.MethodGet, valid, nil, http.StatusGone},
		{"cancel of an unknown job", http.MethodDelete, valid, nil, http.StatusGone},
	} {
		t.Run(c.name, func(t *testing.T) {
			status, _, err := f.Do(ctx, 0, c.method, c.path, c.body)
			if err != nil {
				t.Fatalf("request: got %v, want an answer", err)
			}
			assertStatus(t, c.method+" "+c.path, status, c.want)
		})
	}
	f.Platform.Store.Put("servers/broken", "no registration")
	serveJobs(ctx, t, f, 4)
}

// Guards against a job that is stored although it was refused while the store rejected calls: a refused job must never run.
func TestRefusedJobNeverRuns(t *testing.T) {
	f, ctx := startFleet(t, 1)
	serveJobs(ctx, t, f, 2)
	f.Platform.Store.SetFaults(standin.StoreFaults{Refuse: true})
	j := job(1 << 21)
	f.Platform.AddJob(j, testfleet.Attempts)
	status, _, err := f.Do(ctx, 0, http.MethodPost, testfleet.Prefix("cutting")+j.ID, j.Job)
	if err != nil {
		t.Fatalf("submit: got %v, want an answer", err)
	}
	assertStatus(t, "submit while the store rejects calls", status, http.StatusServiceUnavailable)
	f.Platform.Store.SetFaults(standin.StoreFaults{})
	time.Sleep(500 * time.Millisecond)
	if got := f.Platform.DoneTasks(j.ID); got != 0 {
		t.Errorf("tasks of a refused job done: got %d, want 0", got)
	}
}

// Guards against tasks that run twice when a worker becomes unresponsive and later answers again.
func TestWorkerIsUnresponsiveForATime(t *testing.T) {
	f, ctx := startFleet(t, 2)
	serveJobsDuring(ctx, t, f, 40, func() error {
		time.Sleep(200 * time.Millisecond)
		f.Platform.SetWorkerFaults("m-cutting-0", standin.WorkerFaults{Unresponsive: true})
		time.Sleep(2500 * time.Millisecond)
		f.Platform.SetWorkerFaults("m-cutting-0", standin.WorkerFaults{})
		return f.Platform.CrashWorker("m-fitting-1")
	})
}

// Guards against tasks that wait until the lease of a worker expires although the platform lists its machine as down.
func TestTasksOfALostMachineRunImmediately(t *testing.T) {
	const lease = 5500 * time.Millisecond
	f, ctx := startFleetWithFlags(t, 2, node.Flags{DutyTTL: 800 * time.Millisecond, WorkerLease: lease, LogLevel: "info"})
	serveJobs(ctx, t, f, 2)
	// A worker counts as ended by the list of machines only once it is older than the list may lag behind.
	time.Sleep(2500 * time.Millisecond)
	j := job(1 << 25)
	j.RunTime = time.Second
	submit(ctx, t, f, j)
	waitUntil(ctx, func() bool { return len(f.Platform.BusyMachines()) > 0 })
	began := time.Now()
	f.Platform.LoseMachine(f.Platform.BusyMachines()[0])
	if err := f.Await(ctx, "cutting", j.ID, "completed"); err != nil {
		t.Errorf("job: got %v, want completed", err)
	}
	if got := time.Since(began); got > lease {
		t.Errorf("time until the job was done: got %v, want less than the worker's lease of %v", got, lease)
	}
	assertNoViolations(t, f)
}

// Guards against runs that are treated as ended because the platform accepts an upkeep order that it has already carried out: their worker
// keeps running.
func TestRepeatedUpkeepEndsNoRuns(t *testing.T) {
	f, ctx := startFleet(t, 2)
	machines := f.Platform.Machines()
	f.Platform.MarkMaintained(7, machines)
	var group errgroup.Group
	for i := range 8 {
		group.Go(func() error {
			j := job(1<<22 + i)
			j.RunTime = 1200 * time.Millisecond
			if accepted, err := f.Submit(ctx, "cutting", j); err != nil || !accepted {
				return fmt.Errorf("submit: accepted %v: %w", accepted, err)
			}
			return f.Await(ctx, "cutting", j.ID, "completed")
		})
	}
	time.Sleep(300 * time.Millisecond)
	// The wave is close to its deadline, so that the upkeep of busy machines is ordered too.
	f.Platform.RequestWave(7, machines, time.Second, 3)
	if err := group.Wait(); err != nil {
		t.Errorf("jobs: got %v, want none", err)
	}
	assertNoViolations(t, f)
}

// Guards against jobs that do not start until a watch of the store delivers them: the watches drop events before the store compacts its
// history.
func TestJobStartsWhileWatchesDropEvents(t *testing.T) {
	f, ctx := startFleet(t, 3)
	serveJobs(ctx, t, f, 4)
	f.Platform.Store.SetFaults(standin.StoreFaults{DropEvents: true})
	defer f.Platform.Store.SetFaults(standin.StoreFaults{})
	const visibleWithin = 3 * time.Second
	for i := range 3 {
		ctx, cancel := context.WithTimeout(ctx, visibleWithin)
		defer cancel()
		j := job(1<<23 + i)
		submit(ctx, t, f, j)
		if err := f.Await(ctx, "cutting", j.ID, "completed"); err != nil {
			t.Fatalf("job %d while watches drop events: got %v, want completed", i, err)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, visibleWithin)
	defer cancel()
	j := job(1<<23 + 3)
	j.RunTime = time.Minute
	submit(ctx, t, f, j)
	if status, _, err := f.Do(ctx, 1, http.MethodDelete, testfleet.Prefix("cutting")+j.ID, nil); err != nil || status != http.StatusOK {
		t.Fatalf("cancel: got %d and %v, want %d", status, err, http.StatusOK)
	}
	if err := f.Await(ctx, "cutting", j.ID, "cancelled"); err != nil {
		t.Errorf("cancelled job while watches drop events: got %v, want cancelled", err)
	}
	assertNoViolations(t, f)
}

// Guards against an instance that refuses callers while the store rejects its calls but serves the other instances.
func TestInstanceRejectedByTheStoreServes(t *testing.T) {
	f, ctx := startFleet(t, 3)
	serveJobs(ctx, t, f, 4)
	rejected := (f.Holder("cutting") + 1) % 3
	f.RejectStoreCalls(rejected, true)
	j := job(1 << 24)
	f.Platform.AddJob(j, testfleet.Attempts)
	path := testfleet.Prefix("cutting") + j.ID
	status, _, err := f.Do(ctx, rejected, http.MethodPost, path, j.Job)
	if err != nil {
		t.Fatalf("submit: got %v, want an answer", err)
	}
	assertStatus(t, "submit at the rejected instance", status, http.StatusOK)
	if err := f.Await(ctx, "cutting", j.ID, "completed"); err != nil {
		t.Errorf("job: got %v, want completed", err)
	}
	if status, _, err = f.Do(ctx, rejected, http.MethodDelete, path, nil); err != nil {
		t.Fatalf("cancel: got %v, want an answer", err)
	}
	assertStatus(t, "cancel at the rejected instance", status, http.StatusOK)
	if status, _, err = f.Do(ctx, rejected, http.MethodGet, testfleet.Prefix("cutting")+"00000000000000ab", nil); err != nil {
		t.Fatalf("state: got %v, want an answer", err)
	}
	assertStatus(t, "state of an unknown job", status, http.StatusGone)
	assertNoViolations(t, f)
}
