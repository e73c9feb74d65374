package dispatch_test

import (
	"crypto/sha256"
	"encoding/hex"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/workload"
)

// recordPlans has the test write the plans of the present code to plansFile, in place of comparing with it.
var recordPlans = flag.Bool("record-plans", false, "write the file of plans without workspaces")

// plansFile holds a line for each seed: the actions of its plans, as a count and a digest.
const plansFile = "testdata/planswithoutworkspaces.txt"

const (
	drawnSeeds = 12
	drawnPlans = 160
	drawnTick  = 50 * time.Millisecond
)

// drawnPool drives a pool with drawn jobs, ends of runs, losses of workers and cancellations.
type drawnPool struct {
	*rand.Rand
	pool    *dispatch.Pool
	now     time.Time
	queues  []workload.Queue
	workers []*drawnWorker
	jobs    []string
	nextJob int
	digest  strings.Builder
	actions int
	// turns names the workspaces of which jobs are drawn in turn, with an empty name for jobs without one.
	turns []string
	// events counts what the pool has reported.
	events int
	// workspaces hold the drawn jobs, if there are any; beforePlan is called before each plan, unless it is nil.
	workspaces []workload.Workspace
	beforePlan func()
	// listed is a job that is not known and of which a worker lists a run.
	listed string
}

type drawnWorker struct {
	info workload.Worker
	born time.Time
	runs []drawnRun
	ends []workload.EndedRun
	last int64
}

type drawnRun struct {
	workload.ActiveRun
	until time.Time
	how   workload.RunEnd
}

func newDrawnPool(seed uint64) *drawnPool {
	d := &drawnPool{Rand: rand.New(rand.NewPCG(seed, 1)), pool: &dispatch.Pool{Name: "cutting", Epoch: 3}, now: epoch}
	d.pool.Begin(d.now)
	for i, name := range []string{"urgent", "standard", "deferrable"} {
		d.queues = append(d.queues, workload.Queue{
			Name: name, Key: name, Pool: "cutting", Priority: i / 2, MaxAttempts: 3, Stretch: 2 + float64(i), TargetDuration: time.Duration(300+400*i) * time.Millisecond,
		})
	}
	d.pool.SetQueues(d.queues)
	for i := range 4 + d.IntN(20) {
		d.join(i)
	}
	d.pool.RegistrationsListed()
	return d
}

func (d *drawnPool) join(i int) {
	w := &drawnWorker{born: d.now, info: workload.Worker{
		ID: fmt.Sprintf("w%02d", i), Machine: fmt.Sprintf("m%02d", i), Pool: "cutting", Rack: fmt.Sprintf("r%d", i/4), Labels: []string{fmt.Sprintf("kind%d", i%2)},
		Capacity: workload.Resources{CPU: int64(8000 + d.IntN(8000)), MemoryMB: 32000, GPU: int64(i % 2)}, Incarnation: d.now.UnixMilli(),
	}}
	d.workers = append(d.workers, w)
	d.pool.SetWorker(w.info, d.now)
}

// workspaceAt returns the workspace of the job with a number.
func (d *drawnPool) workspaceAt(n int) string {
	if len(d.turns) == 0 {
		return ""
	}
	return d.turns[n%len(d.turns)]
}

func (d *drawnPool) addJob() {
	j := d.newJob()
	d.pool.AddJob(j, nil, d.IntN(10) == 0, d.now)
}

// newJob draws a job: one of several steps, a gang, a schedule, or one whose tasks run until it is cancelled.
func (d *drawnPool) newJob() workload.Job {
	q := d.queues[d.IntN(len(d.queues))]
	j := workload.Job{ID: fmt.Sprintf("%016x", d.nextJob), Queue: q.Name, Pool: "cutting", Terms: q, Accepted: d.now, Workspace: d.workspaceAt(d.nextJob)}
	d.nextJob++
	for s := range 1 + d.IntN(3) {
		step := workload.Step{
			Tasks: 1 + d.IntN(8), Need: workload.Resources{CPU: int64(300 + d.IntN(4000)), MemoryMB: int64(100 + d.IntN(4000))},
			Estimate: time.Duration(100+d.IntN(1500)) * time.Millisecond, Image: fmt.Sprint(d.IntN(5)),
		}
		if s > 0 {
			step.After = []int{s - 1}
		}
		switch d.IntN(12) {
		case 0:
			step.Gang, step.SameRack, step.Tasks = true, d.IntN(2) == 0, min(step.Tasks, 4)
		case 1:
			step.MaxPerWorker = 1
		case 2:
			step.RequiredLabel = "kind1"
		case 3:
			step.DataRack = "r0"
		case 4:
			step.Checkpointing = true
		case 5:
			step.Need.GPU = 1
		}
		j.Steps = append(j.Steps, step)
	}
	switch d.IntN(15) {
	case 0:
		j.Steps = []workload.Step{{Tasks: 4, Need: workload.Resources{CPU: 2000, MemoryMB: 500}, LongRunning: true, MaxUnavailable: 1, MaxPerWorker: 2}}
	case 1:
		j.Times, j.Start, j.Interval = 3, d.now.Add(400*time.Millisecond), 700*time.Millisecond
	}
	if len(d.workspaces) > 0 {
		j.Workspace = d.workspaces[d.IntN(len(d.workspaces))].Name
		if d.IntN(8) == 0 {
			d.pool.NoteRefusal(j.ID, d.now.Add(-time.Duration(d.IntN(4000))*time.Millisecond))
		}
	}
	d.jobs = append(d.jobs, j.ID)
	return j
}

// tick lets a tick pass on all workers, reports them and plans.
func (d *drawnPool) tick() {
	d.now = d.now.Add(drawnTick)
	for range d.IntN(4) {
		d.addJob()
	}
	switch d.IntN(40) {
	case 0:
		d.restart(d.workers[d.IntN(len(d.workers))])
	case 1:
		d.pool.Cancel(d.jobs[d.IntN(len(d.jobs))], d.now)
	case 2:
		w := d.workers[d.IntN(len(d.workers))]
		w.info.Draining = !w.info.Draining
		d.pool.SetWorker(w.info, d.now)
	case 3:
		d.pool.Cordon(d.workers[d.IntN(len(d.workers))].info.ID, d.IntN(2) == 0)
	}
	for _, w := range d.workers {
		w.endRuns(d.now)
		d.report(w)
	}
	if d.beforePlan != nil {
		d.beforePlan()
	}
	actions := d.pool.Plan(d.now)
	d.actions += len(actions)
	for _, a := range actions {
		fmt.Fprintf(&d.digest, "%v %T %+v\n", d.now.Sub(epoch), a, a)
		d.carryOut(a)
	}
	d.pool.BatchRecorded(d.pool.Batch())
	if record, changed := d.pool.UnresponsiveRecord(d.now); changed || d.pool.NeedsRecord() {
		d.pool.UnresponsiveRecorded(record)
	}
}

func (d *drawnPool) restart(w *drawnWorker) {
	w.born, w.runs, w.ends, w.last, w.info.Incarnation = d.now, nil, nil, 0, d.now.UnixMilli()
	d.pool.SetWorker(w.info, d.now)
}

func (w *drawnWorker) endRuns(now time.Time) {
	w.runs = slices.DeleteFunc(w.runs, func(r drawnRun) bool {
		if r.until.IsZero() || now.Before(r.until) {
			return false
		}
		w.last++
		w.ends = append(w.ends, workload.EndedRun{Number: w.last, Task: r.Task, Run: r.Run, How: r.how, Checkpoint: r.Checkpoint})
		return true
	})
}

func (d *drawnPool) report(w *drawnWorker) {
	r := workload.Report{Incarnation: w.info.Incarnation, Clock: d.now.Sub(w.born), Ended: w.ends}
	for _, x := range w.runs {
		r.Active = append(r.Active, x.ActiveRun)
	}
	d.pool.Report(w.info.ID, r, d.now)
	w.ends = nil
}

func (d *drawnPool) carryOut(a dispatch.Action) {
	switch a := a.(type) {
	case dispatch.Start:
		w := d.worker(a.Worker.ID)
		r := drawnRun{ActiveRun: workload.ActiveRun{Task: a.Task, Run: a.Run}, how: workload.EndDone}
		if took := time.Duration(50+d.IntN(2500)) * time.Millisecond; d.IntN(25) > 0 {
			r.until = d.now.Add(took)
		}
		if d.IntN(12) == 0 {
			r.how = workload.EndFailed
		}
		w.runs = append(w.runs, r)
		d.pool.StartAnswered(a, dispatch.Present, workload.ClockReading{Incarnation: w.info.Incarnation, Clock: d.now.Sub(w.born)}, d.now)
	case dispatch.Stop:
		w := d.worker(a.Worker.ID)
		for i := range w.runs {
			if w.runs[i].Task == a.Task && w.runs[i].Run == a.Run {
				w.runs[i].until, w.runs[i].how = d.now, workload.EndStopped
			}
		}
	}
}

func (d *drawnPool) worker(id string) *drawnWorker {
	return d.workers[slices.IndexFunc(d.workers, func(w *drawnWorker) bool { return w.info.ID == id })]
}

// Guards against a pool without workspaces that plans otherwise than before there were workspaces: the file was written by the scheduler of that time
// (commit dfd556b).
func TestPlansWithoutWorkspacesAreUnchanged(t *testing.T) {
	var lines []string
	for seed := range uint64(drawnSeeds) {
		d := newDrawnPool(seed)
		for range drawnPlans {
			d.tick()
		}
		sum := sha256.Sum256([]byte(d.digest.String()))
		lines = append(lines, fmt.Sprintf("seed %d: %d actions, %s", seed, d.actions, hex.EncodeToString(sum[:8])))
	}
	if *recordPlans {
		if err := os.WriteFile(plansFile, []byte(strings.Join(lines, "\n")+"\n"), 0o600); err != nil {
			t.Fatal(err)
		}
		return
	}
	content, err := os.ReadFile(plansFile)
	if err != nil {
		t.Fatalf("recorded plans: got %v, want them to be read", err)
	}
	want := strings.Split(strings.TrimSpace(string(content)), "\n")
	if len(want) != len(lines) {
		t.Fatalf("recorded plans: got %d seeds, want %d", len(want), len(lines))
	}
	for i := range lines {
		if lines[i] != want[i] {
			t.Errorf("plans: got %s, want %s", lines[i], want[i])
		}
	}
}
