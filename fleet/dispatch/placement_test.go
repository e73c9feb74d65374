package dispatch_test

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"verbenalanding.example/fleet/dispatch"
	_ "verbenalanding.example/fleet/internal/check" // sets the fixed seed of rapid
	"verbenalanding.example/fleet/quota"
	"verbenalanding.example/fleet/workload"
)

// placementWorkspaces are the workspaces of a drawn pool: one with a limit that it reaches, and one of a small weight.
var placementWorkspaces = []workload.Workspace{
	{Name: "fitters", Weight: 20, MaxRunning: workload.Resources{CPU: 12_000, MemoryMB: 40_000}}, {Name: "cutters", Weight: 2},
}

// drawPlacementPool drives a pool for a drawn number of ticks, in half of the cases with workspaces.
func drawPlacementPool(t *rapid.T) *drawnPool {
	d := newDrawnPool(rapid.Uint64Range(0, 1<<20).Draw(t, "seed"))
	// A tick may cancel one of the jobs.
	d.addJob()
	d.pool.OnMetered = func(dispatch.Metered) { d.events++ }
	d.pool.OnEvent = func(dispatch.Event) { d.events++ }
	d.pool.AwaitConfirmation = rapid.Bool().Draw(t, "await confirmation")
	if rapid.Bool().Draw(t, "advice") {
		d.queues[1].Advice = &workload.AdviceSettings{Valid: time.Second}
		d.pool.SetQueues(d.queues)
	}
	if rapid.Bool().Draw(t, "workspaces") {
		d.turns = []string{"", "fitters", "cutters"}
		d.pool.SetWorkspaces(placementWorkspaces)
		all := workload.Resources{CPU: 12_000, MemoryMB: 40_000}
		d.pool.SetAllowance("fitters", quota.Allowance{Amount: all, Alone: all})
	}
	if rapid.Bool().Draw(t, "reservations") {
		d.pool.Settings.LargeTask, d.pool.Settings.SecondRuns = 0.25, 1
	}
	for range rapid.IntRange(0, 80).Draw(t, "ticks") {
		d.tick()
	}
	d.now = d.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause ms")) * time.Millisecond)
	return d
}

// drawnSpec draws the job that is asked for.
func (d *drawnPool) drawnSpec() workload.Job {
	before := len(d.jobs)
	j := d.newJob()
	d.jobs = d.jobs[:before]
	return j
}

// Guards against a question that changes the pool: what it plans next, what workspaces occupy and lack, what it has learnt, or what it reports.
func TestPlaceHasNoEffect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		asked := drawPlacementPool(t)
		spec := asked.drawnSpec()
		other := asked.pool.Copy()
		events := asked.events
		for range rapid.IntRange(1, 3).Draw(t, "questions") {
			asked.pool.Place(spec, asked.now)
		}
		same(t, "reported events", asked.events, events)
		after, before := snapshotOf(asked.pool.Copy()), snapshotOf(other)
		same(t, "values of the pool after the questions", len(after), len(before))
		for i := range after {
			same(t, "value after the questions", after[i], before[i])
		}
		for i := range 3 {
			now := asked.now.Add(time.Duration(i) * 700 * time.Millisecond)
			same(t, "usage", fmt.Sprint(asked.pool.WorkspaceUsage(now)), fmt.Sprint(other.WorkspaceUsage(now)))
			same(t, "next plan", fmt.Sprintf("%+v", asked.pool.Plan(now)), fmt.Sprintf("%+v", other.Plan(now)))
			same(t, "demand", fmt.Sprintf("%+v", asked.pool.Demand(now)), fmt.Sprintf("%+v", other.Demand(now)))
		}
	})
}

// Guards against a pool that was asked and then plans otherwise than one with the same history that was not: both are driven apart from each other, so
// that the comparison does not depend on the copy.
func TestAskedPoolPlansLikeAnotherOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed, every := rapid.Uint64Range(0, 1<<20).Draw(t, "seed"), rapid.IntRange(1, 7).Draw(t, "questions every so many ticks")
		asked, other := newDrawnPool(seed), newDrawnPool(seed)
		spec := newDrawnPool(rapid.Uint64Range(0, 1<<20).Draw(t, "seed of the job")).drawnSpec()
		for _, d := range []*drawnPool{asked, other} {
			if seed%2 == 0 {
				d.turns = []string{"", "fitters", "cutters"}
				d.pool.SetWorkspaces(placementWorkspaces)
				d.pool.SetAllowance("fitters", quota.Allowance{Amount: placementWorkspaces[0].MaxRunning, Alone: placementWorkspaces[0].MaxRunning})
			}
		}
		spec.Workspace = asked.workspaceAt(1)
		asked.addJob()
		other.addJob()
		for i := range 80 {
			if i%every == 0 {
				asked.pool.Place(spec, asked.now)
			}
			asked.tick()
			other.tick()
			same(t, "usage", fmt.Sprint(asked.pool.WorkspaceUsage(asked.now)), fmt.Sprint(other.pool.WorkspaceUsage(other.now)))
			same(t, "outlook", outlookText(asked.pool), outlookText(other.pool))
		}
		same(t, "plans", asked.digest.String(), other.digest.String())
	})
}

// outlookText describes an outlook. Its sums of figures of workers and jobs, which have no order, differ in their last digits.
func outlookText(p *dispatch.Pool) string {
	o := p.Outlook()
	if o == nil {
		return ""
	}
	text := fmt.Sprintf("%.6f", o.Cores)
	for _, l := range o.Levels {
		text += fmt.Sprintf(" %d %.6f %.6f", l.Priority, l.InTime, l.Owed)
	}
	for _, w := range o.Beyond {
		text += fmt.Sprintf(" %s %.6f", w.Workspace, w.Work)
	}
	return text
}

// Guards against an answer that is not what the scheduler then does with the job at the same moment.
func TestPlaceAgreesWithTheNextPlan(t *testing.T) {
	started, waited := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		d := drawPlacementPool(t)
		spec := d.drawnSpec()
		answer := d.pool.Place(spec, d.now)
		spec.ID, spec.Accepted, spec.Fence = "placement", d.now, d.pool.Epoch
		d.pool.AddJob(spec, nil, false, d.now)
		var got, want []string
		for _, a := range d.pool.Plan(d.now) {
			if s, ok := a.(dispatch.Start); ok && s.Task.Job == spec.ID {
				want = append(want, fmt.Sprint(s.Task.Occurrence, s.Task.Step, s.Task.Index, s.Worker.ID, s.Worker.Zone, s.Worker.Rack))
			}
		}
		for _, step := range answer.Steps {
			for _, s := range step.Starts {
				got = append(got, fmt.Sprint(step.Occurrence, step.Step, s.Task, s.Worker, s.DataCentre, s.Rack))
			}
			if step.Waiting+len(step.Starts) != step.Tasks {
				t.Fatalf("step %d: got %d starts and %d waiting tasks, want %d in all", step.Step, len(step.Starts), step.Waiting, step.Tasks)
			}
			if step.Waiting > 0 {
				waited++
			}
		}
		started += len(want)
		same(t, "starts", got, want)
		e, known := d.pool.Explain(spec.ID, d.now)
		same(t, "job known", known, true)
		if len(want) == 0 {
			same(t, "reason", answer.Reason, e.Reason)
			same(t, "basis", answer.Basis, e.Basis)
			same(t, "estimated start", answer.EstimatedStart, e.EstimatedStart)
		}
	})
	if started == 0 || waited == 0 {
		t.Errorf("drawn jobs: got %d starts and %d waiting steps, want some of both", started, waited)
	}
}

// Guards against a part of the pool that a later change adds and that the copy shares, so that a question would change it.
func TestCopySharesNothingThatChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := drawPlacementPool(t)
		shared := map[uintptr]string{}
		walk(reflect.ValueOf(d.pool), "pool", shared, nil)
		found := map[uintptr]string{}
		walk(reflect.ValueOf(d.pool.Copy()), "pool", found, nil)
		for address, path := range found {
			if _, both := shared[address]; both {
				t.Fatalf("%s: got memory of the pool, want a copy", path)
			}
		}
	})
}

func same[T any](t *rapid.T, name string, got, want T) {
	t.Helper()
	if !reflect.DeepEqual(got, want) {
		t.Fatalf("%s: got %+v, want %+v", name, got, want)
	}
}

// unchanging names the fields of shared contents, which are only ever replaced.
var unchanging = []string{"Job.Steps", "Job.Terms", "job.queue", "Worker.Labels", "Queue.Advice", "Workspace.Keys", "Pool.OnEvent", "Pool.OnFirstStart", "Pool.OnMetered", "task.step"}

// walk collects the addresses of all memory that a value refers to; with a snapshot it also adds the values without the addresses.
func walk(v reflect.Value, path string, seen map[uintptr]string, snapshot *[]string) {
	switch v.Kind() {
	case reflect.Pointer:
		if v.IsNil() || v.Type() == reflect.TypeFor[*time.Location]() || endedAlone(v) {
			return
		}
		if _, known := seen[v.Pointer()]; known {
			return
		}
		seen[v.Pointer()] = path
		walk(v.Elem(), path, seen, snapshot)
	case reflect.Struct:
		for i := range v.NumField() {
			name := v.Type().Name() + "." + v.Type().Field(i).Name
			if !slices.Contains(unchanging, name) {
				walk(v.Field(i), path+"."+v.Type().Field(i).Name, seen, snapshot)
			}
		}
	case reflect.Map:
		if v.IsNil() {
			return
		}
		seen[v.Pointer()] = path
		keys := v.MapKeys()
		slices.SortFunc(keys, func(a, b reflect.Value) int { return compareText(fmt.Sprint(a), fmt.Sprint(b)) })
		for _, k := range keys {
			note(snapshot, path, k)
			walk(v.MapIndex(k), path+"["+fmt.Sprint(k)+"]", seen, snapshot)
		}
	case reflect.Slice:
		if v.Cap() > 0 && v.Type().Elem().Size() > 0 {
			seen[v.Pointer()] = path
		}
		for i := range v.Len() {
			walk(v.Index(i), fmt.Sprintf("%s[%d]", path, i), seen, snapshot)
		}
	case reflect.Interface:
		walk(v.Elem(), path, seen, snapshot)
	case reflect.Array:
		for i := range v.Len() {
			walk(v.Index(i), path, seen, snapshot)
		}
	case reflect.Invalid:
	default:
		note(snapshot, path, v)
	}
}

func note(snapshot *[]string, path string, v reflect.Value) {
	if snapshot != nil {
		*snapshot = append(*snapshot, fmt.Sprint(path, "=", v))
	}
}

func compareText(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// endedAlone reports whether a value is a job that has ended and has no open occurrence; the copy shares such jobs.
func endedAlone(v reflect.Value) bool {
	if v.Type().Elem().Name() != "job" {
		return false
	}
	state, open := workload.State(v.Elem().FieldByName("state").String()), v.Elem().FieldByName("schedule").FieldByName("open")
	return state.Terminal() && open.IsNil()
}

// snapshotOf returns all values that a pool refers to.
func snapshotOf(p *dispatch.Pool) []string {
	var values []string
	walk(reflect.ValueOf(p), "pool", map[uintptr]string{}, &values)
	return values
}
