package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/workload"
)

// priorLeases is longer than runs of a lost holder may be present after its successor began: its last order comes 2.5 s later, and the longest
// lease takes up to 6.2 s on the slowest clock.
const priorLeases = 9 * time.Second

var epoch = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)

// bench drives a pool with simulated workers that obey its orders.
type bench struct {
	t    *testing.T
	pool *dispatch.Pool
	now  time.Time
	// clock is the workers' clock.
	clock time.Duration
	// present holds the runs of each worker.
	present      map[string]map[workload.TaskID]int
	ended        map[string][]workload.EndedRun
	numbers      map[string]int64
	starts       []dispatch.Start
	stops        []dispatch.Stop
	paces        []dispatch.Pace
	unresponsive map[string]bool
	// percent is reported for each run if it is set; otherwise runs advance unless they are stalled.
	percent int
	stalled bool
	reports int
	metric  float64
	// advice is how long the tickets of the advice service are valid, which it gives for each worker; 0 if it does not answer.
	advice time.Duration
	// events counts the events by kind where a test sets it.
	events map[string]int
}

var queue = workload.Queue{Name: "recut", Pool: "cutting", MaxAttempts: 2, Stretch: 1.6, TargetDuration: 600 * time.Millisecond}

func newBench(t *testing.T, workers int) *bench {
	t.Helper()
	b := &bench{
		t: t, now: epoch, clock: time.Minute, present: map[string]map[workload.TaskID]int{}, ended: map[string][]workload.EndedRun{},
		numbers: map[string]int64{}, unresponsive: map[string]bool{},
	}
	b.takeOver()
	for i := range workers {
		b.addWorker(fmt.Sprintf("w%d", i))
	}
	b.report()
	return b
}

// takeOver starts a new holder without any state of the previous one.
func (b *bench) takeOver() {
	b.pool = &dispatch.Pool{Name: "cutting", Settings: dispatch.Settings{LargeTask: 0.5, SecondRuns: 1}}
	b.pool.Begin(b.now)
	b.pool.SetQueues([]workload.Queue{queue})
}

func (b *bench) addWorker(id string) {
	if b.present[id] == nil {
		b.present[id] = map[workload.TaskID]int{}
	}
	b.pool.SetWorker(workload.Worker{
		ID: id, Machine: "m-" + id, Pool: "cutting", Rack: "r1", Labels: []string{"a", "r1"},
		Capacity: workload.Resources{CPU: 16000, MemoryMB: 64000}, Incarnation: 1,
	}, b.now)
}

func (b *bench) addJob(id string, steps ...workload.Step) { b.addStoredJob(id, 0, steps...) }

// addStoredJob adds a job that was stored under the holder with a fencing token.
func (b *bench) addStoredJob(id string, fence uint64, steps ...workload.Step) {
	b.pool.AddJob(workload.Job{ID: id, Queue: queue.Name, Pool: "cutting", Terms: queue, Steps: steps, Accepted: b.now, Fence: fence}, nil, false, b.now)
}

// advance simulates a duration in small steps, with a plan and reports in each.
func (b *bench) advance(d time.Duration) {
	const tick = 50 * time.Millisecond
	for end := b.now.Add(d); b.now.Before(end); {
		b.now, b.clock = b.now.Add(tick), b.clock+tick
		b.plan()
		b.report()
	}
}

// reading returns what the workers' answers tell of them.
func (b *bench) reading() workload.ClockReading {
	return workload.ClockReading{Incarnation: 1, Clock: b.clock}
}

func (b *bench) plan() {
	b.clock++
	for _, a := range b.pool.Plan(b.now) {
		switch a := a.(type) {
		case dispatch.Start:
			b.starts = append(b.starts, a)
			if !b.unresponsive[a.Worker.ID] {
				b.present[a.Worker.ID][a.Task] = a.Run
				b.pool.StartAnswered(a, dispatch.Present, b.reading(), b.now)
			} else {
				b.pool.StartAnswered(a, dispatch.Unanswered, workload.ClockReading{}, b.now)
			}
		case dispatch.Stop:
			b.stops = append(b.stops, a)
			if run, ok := b.present[a.Worker.ID][a.Task]; ok && run == a.Run && !b.unresponsive[a.Worker.ID] {
				b.end(a.Worker.ID, a.Task, workload.EndStopped)
			}
		case dispatch.Pace:
			b.paces = append(b.paces, a)
		case dispatch.AdviceRequest:
			b.answerAdvice(a)
		}
	}
}

// answerAdvice answers a request for tickets.
func (b *bench) answerAdvice(r dispatch.AdviceRequest) {
	if b.advice == 0 {
		return
	}
	tickets := map[string]string{}
	for _, id := range r.Workers {
		tickets[id] = "ticket-" + id
	}
	b.pool.AdviceReceived(r, tickets, b.now.Add(b.advice), b.now)
}

// end has a worker list the end of its run of a task.
func (b *bench) end(worker string, task workload.TaskID, how workload.RunEnd) {
	b.t.Helper()
	run, ok := b.present[worker][task]
	if !ok {
		b.t.Fatalf("end of %v on %s: got no run there, want one", task, worker)
	}
	delete(b.present[worker], task)
	b.numbers[worker]++
	b.ended[worker] = append(b.ended[worker], workload.EndedRun{Number: b.numbers[worker], Task: task, Run: run, How: how})
}

func (b *bench) report() {
	b.clock++
	b.reports++
	percent := b.percent
	if percent == 0 && !b.stalled {
		percent = b.reports % 100
	}
	for _, id := range b.pool.WorkerIDs() {
		h := b.pool.NextHold(id, b.now)
		if b.unresponsive[id] {
			continue
		}
		left := b.ended[id][:0]
		for _, e := range b.ended[id] {
			if e.Number > h.Acknowledged {
				left = append(left, e)
			}
		}
		b.ended[id] = left
		r := workload.Report{Incarnation: 1, Clock: b.clock, Ended: left}
		for task, run := range b.present[id] {
			r.Active = append(r.Active, workload.ActiveRun{Task: task, Run: run, Percent: percent, Metric: b.metric})
		}
		b.pool.Report(id, r, b.now)
	}
}

// record writes the unwritten records and returns them by job.
func (b *bench) record() map[string]dispatch.Record {
	batch := b.pool.Batch()
	records := map[string]dispatch.Record{}
	for _, c := range batch.Changes {
		records[c.Job] = c.Record
	}
	b.pool.BatchRecorded(batch)
	return records
}

func (b *bench) workerOf(task workload.TaskID) string {
	for id, runs := range b.present {
		if _, ok := runs[task]; ok {
			return id
		}
	}
	return ""
}

func (b *bench) wantState(id string, want workload.State) {
	b.t.Helper()
	got, _ := b.pool.JobState(id)
	if got != want {
		b.t.Errorf("state of %s: got %q, want %q", id, got, want)
	}
}

func wantCount(t *testing.T, name string, got, want int) {
	t.Helper()
	if got != want {
		t.Errorf("%s: got %d, want %d", name, got, want)
	}
}

func oneTask(cpu int64) workload.Step {
	return workload.Step{Tasks: 1, Need: workload.Resources{CPU: cpu, MemoryMB: 100}, Estimate: time.Second}
}

func task(job string, step, index int) workload.TaskID {
	return workload.TaskID{Job: job, Step: step, Index: index}
}

// Guards against counting a failed run twice: a new holder receives its end again if the record was written but the acknowledgement was
// lost, and the job would fail before its attempts are used up.
func TestFailedEndListedAgainCountsOnce(t *testing.T) {
	b := newBench(t, 2)
	b.addJob("j", oneTask(1000))
	b.plan()
	spec := workload.Job{ID: "j", Queue: queue.Name, Pool: "cutting", Terms: queue, Steps: []workload.Step{oneTask(1000)}, Accepted: b.now}
	b.end(b.workerOf(task("j", 0, 0)), task("j", 0, 0), workload.EndFailed)
	b.report()
	record := b.record()["j"]

	b.takeOver()
	b.pool.AddJob(spec, &record, true, b.now)
	for id := range b.present {
		b.addWorker(id)
	}
	b.report()
	b.wantState("j", workload.Running)
	b.advance(time.Second)
	wantCount(t, "runs present", len(b.present["w0"])+len(b.present["w1"]), 1)
}

// Guards against a second run of a task while the first may still be running on an unresponsive worker.
func TestUnresponsiveWorkerKeepsItsTasksUntilItsLeaseEnds(t *testing.T) {
	b := newBench(t, 2)
	b.stalled = true
	b.addJob("j", oneTask(1000))
	b.plan()
	first := b.workerOf(task("j", 0, 0))
	b.report()
	b.unresponsive[first] = true
	b.advance(3 * time.Second)
	wantCount(t, "starts while the lease lasts", len(b.starts), 1)
	b.advance(4 * time.Second)
	wantCount(t, "starts after the lease", len(b.starts), 2)
	if got := b.starts[1].Run; got <= b.starts[0].Run {
		t.Errorf("second run: got number %d, want more than %d", got, b.starts[0].Run)
	}
}

// Guards against acknowledging an end before its record is in the store: the end would be lost with its holder.
func TestEndsAreAcknowledgedAfterTheirRecord(t *testing.T) {
	b := newBench(t, 1)
	b.addJob("j", oneTask(1000))
	b.plan()
	b.end("w0", task("j", 0, 0), workload.EndDone)
	b.report()
	if got := b.pool.NextHold("w0", b.now).Acknowledged; got != 0 {
		t.Errorf("acknowledged before the record: got %d, want 0", got)
	}
	b.record()
	if got := b.pool.NextHold("w0", b.now).Acknowledged; got != 1 {
		t.Errorf("acknowledged after the record: got %d, want 1", got)
	}
}

// Guards against a start before all tasks of the preceding steps are done.
func TestStepStartsOnceItsPredecessorsAreDone(t *testing.T) {
	b := newBench(t, 2)
	first := oneTask(1000)
	first.Tasks = 2
	second := oneTask(1000)
	second.After = []int{0}
	b.addJob("j", first, second)
	b.plan()
	wantCount(t, "starts of the first step", len(b.starts), 2)
	b.end(b.workerOf(task("j", 0, 0)), task("j", 0, 0), workload.EndDone)
	b.advance(time.Second)
	wantCount(t, "starts with one task left", len(b.starts), 2)
	b.end(b.workerOf(task("j", 0, 1)), task("j", 0, 1), workload.EndDone)
	b.advance(time.Second)
	wantCount(t, "starts of both steps", len(b.starts), 3)
}

// Guards against starts beyond a worker's capacity: a run that is being stopped still counts until its end is listed.
func TestStartsDoNotExceedTheFreeCapacity(t *testing.T) {
	b := newBench(t, 1)
	step := oneTask(6000)
	step.Tasks = 4
	b.addJob("j", step)
	b.plan()
	wantCount(t, "starts", len(b.starts), 2)
	b.end("w0", b.starts[0].Task, workload.EndDone)
	b.advance(100 * time.Millisecond)
	wantCount(t, "starts after an end", len(b.starts), 3)
}

// Guards against a new holder that starts a task of an older job elsewhere while a worker that may run it has not reported.
func TestTakeoverWaitsForUnresponsiveWorkers(t *testing.T) {
	b := newBench(t, 2)
	b.addJob("j", oneTask(1000))
	b.plan()
	spec := workload.Job{ID: "j", Queue: queue.Name, Pool: "cutting", Terms: queue, Steps: []workload.Step{oneTask(1000)}, Accepted: b.now}
	b.unresponsive[b.workerOf(task("j", 0, 0))] = true
	b.takeOver()
	b.pool.AddJob(spec, nil, true, b.now)
	for id := range b.present {
		b.addWorker(id)
	}
	b.starts = nil
	b.advance(8500 * time.Millisecond)
	wantCount(t, "starts while a worker may run the task", len(b.starts), 0)
	b.advance(500 * time.Millisecond)
	wantCount(t, "starts after its lease", len(b.starts), 1)
}

// Guards against runs that continue after their job's caller cancelled it.
func TestCancelledJobIsStopped(t *testing.T) {
	b := newBench(t, 1)
	step := oneTask(1000)
	step.Tasks = 3
	b.addJob("j", step)
	b.plan()
	b.pool.Cancel("j", b.now)
	b.advance(time.Second)
	wantCount(t, "stops", len(b.stops), 3)
	wantCount(t, "runs left", len(b.present["w0"]), 0)
	b.record()
	b.wantState("j", workload.Cancelled)
}

// Guards against more tasks of a step on a worker than its caller allows.
func TestStartsDoNotExceedMaxPerWorker(t *testing.T) {
	b := newBench(t, 2)
	step := oneTask(1000)
	step.Tasks, step.MaxPerWorker = 5, 1
	b.addJob("j", step)
	b.advance(time.Second)
	wantCount(t, "starts", len(b.starts), 2)
}

// Guards against fillers that keep a serving task over its target response time.
func TestFillersAreSlowedBesideAServingTask(t *testing.T) {
	b := newBench(t, 1)
	serving := oneTask(4000)
	serving.LongRunning, serving.TargetTail, serving.Image = true, 100*time.Millisecond, "serve"
	filler := oneTask(4000)
	filler.LongRunning, filler.Fills, filler.Image = true, true, "fill"
	b.addJob("j", serving, filler)
	b.percent, b.metric = 100, 95
	b.advance(2 * time.Second)
	if len(b.paces) == 0 || b.paces[len(b.paces)-1].Percent > 20 {
		t.Errorf("paces next to a serving task near its target: got %v, want the last at most 20", b.paces)
	}
}

// Guards against more starts than allowed attempts: a new holder receives the ends of different workers in any order, and each failed run
// counts.
func TestFailedEndsCountInAnyOrder(t *testing.T) {
	b := newBench(t, 2)
	step := oneTask(1000)
	spec := workload.Job{ID: "j", Queue: queue.Name, Pool: "cutting", Terms: queue, Steps: []workload.Step{step}, Accepted: b.now}
	b.pool.AddJob(spec, nil, true, b.now)
	b.present["w0"][task("j", 0, 0)], b.present["w1"][task("j", 0, 0)] = 2, 1
	b.end("w0", task("j", 0, 0), workload.EndFailed)
	b.end("w1", task("j", 0, 0), workload.EndFailed)
	b.report()
	b.record()
	b.wantState("j", workload.Failed)
}

// Guards against removing a worker when more tasks of a long-running step would become unavailable than its caller allows, and against a
// wave that never ends because tasks without such a bound are protected too.
func TestLoadReportsWhetherAWorkerMayBeRemoved(t *testing.T) {
	b := newBench(t, 2)
	serving := oneTask(1000)
	serving.Tasks, serving.LongRunning, serving.MaxPerWorker, serving.MaxUnavailable = 2, true, 1, 1
	filler := oneTask(1000)
	filler.Tasks, filler.LongRunning, filler.Fills = 4, true, true
	b.addJob("j", serving, filler)
	b.percent = 100
	b.advance(time.Second)
	if !b.pool.WorkerLoad("w0", b.now).Allowed {
		t.Errorf("with all tasks running: got forbidden, want allowed")
	}
	b.end("w1", task("j", 0, 1-indexOn(b, "w0")), workload.EndFailed)
	b.report()
	if b.pool.WorkerLoad("w0", b.now).Allowed {
		t.Errorf("with the other task unavailable: got allowed, want forbidden")
	}
}

// indexOn returns the index of the first step's task on a worker.
func indexOn(b *bench, worker string) int {
	for id := range b.present[worker] {
		if id.Step == 0 {
			return id.Index
		}
	}
	b.t.Fatalf("tasks of the first step on %s: got none, want one", worker)
	return 0
}

// Guards against a job that is reported as completed and runs again: its ends are lost if its worker is removed before they are recorded
// and the holder is lost too.
func TestCompletionIsReportedOnceItIsRecorded(t *testing.T) {
	b := newBench(t, 1)
	b.addJob("j", oneTask(1000))
	b.plan()
	b.end("w0", task("j", 0, 0), workload.EndDone)
	b.report()
	b.wantState("j", workload.Running)
	if b.pool.WorkerLoad("w0", b.now).Idle {
		t.Errorf("worker with an end that is not recorded: got idle, want not")
	}
	if got := b.pool.Demand(b.now).Idle; len(got) != 0 {
		t.Errorf("idle workers: got %v, want none", got)
	}
	b.record()
	b.wantState("j", workload.Completed)
	if !b.pool.WorkerLoad("w0", b.now).Idle {
		t.Errorf("worker whose ends are recorded: got not idle, want idle")
	}
}

// Guards against a machine that can never be maintained because tasks of one step run on it, and against stopping more of them at once
// than may be unavailable.
func TestEvacuateMovesTasksOffAMachineThatIsDueForUpkeep(t *testing.T) {
	b := newBench(t, 1)
	serving := oneTask(1000)
	serving.Tasks, serving.LongRunning, serving.MaxUnavailable = 3, true, 1
	b.addJob("j", serving)
	b.percent = 100
	b.advance(time.Second)
	b.addWorker("w1")
	b.pool.SetUpkeepDue(func(machine string) bool { return machine == "m-w0" })
	b.advance(time.Second)
	if b.pool.WorkerLoad("w0", b.now).Allowed {
		t.Fatalf("with all tasks on the worker: got allowed, want forbidden")
	}
	for left := 2; left >= 0; left-- {
		stops := len(b.stops)
		b.pool.Evacuate(b.now)
		b.pool.Evacuate(b.now)
		b.advance(time.Second)
		wantCount(t, "stops at once", len(b.stops)-stops, 1)
		wantCount(t, "tasks left on the worker", len(b.present["w0"]), left)
	}
	wantCount(t, "tasks on the other worker", len(b.present["w1"]), 3)
	b.record()
	if !b.pool.WorkerLoad("w0", b.now).Idle {
		t.Errorf("worker that was evacuated: got not idle, want idle")
	}
}

// Guards against long-running tasks that are spread so that no worker of an idle pool can be lent.
func TestLongRunningTasksUseFewWorkers(t *testing.T) {
	b := newBench(t, 4)
	serving := oneTask(1000)
	serving.Tasks, serving.LongRunning = 6, true
	b.addJob("j", serving)
	b.advance(time.Second)
	b.record()
	wantCount(t, "idle workers", len(b.pool.Demand(b.now).Idle), 2)
}

// Guards against removing a worker while another task of the step is on an unresponsive worker: that worker's lease still holds, but the
// task is not known to be serving.
func TestTasksOnUnresponsiveWorkersAreUnavailable(t *testing.T) {
	b := newBench(t, 2)
	serving := oneTask(1000)
	serving.Tasks, serving.LongRunning, serving.MaxPerWorker, serving.MaxUnavailable = 2, true, 1, 1
	b.addJob("j", serving)
	b.percent = 100
	b.advance(time.Second)
	b.unresponsive["w1"] = true
	b.advance(2 * time.Second)
	if b.pool.WorkerLoad("w0", b.now).Allowed {
		t.Errorf("with the other worker unresponsive: got allowed, want forbidden")
	}
}
