package dispatch_test

import (
	"encoding/json"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/workload"
)

// scheduledJob returns a job whose first occurrence is due now.
func (b *bench) scheduledJob(id string, times int, interval time.Duration, steps ...workload.Step) workload.Job {
	return workload.Job{
		ID: id, Queue: queue.Name, Pool: "cutting", Terms: queue, Steps: steps, Accepted: b.now, Times: times, Start: b.now, Interval: interval,
	}
}

// Guards against a holder that exceeds its memory because it keeps a state for each task of each occurrence of jobs that run for a year.
func TestScheduleOfAYearKeepsTheStateOfWhatIsDue(t *testing.T) {
	const jobs, tasks, hoursAYear = 30, 6, 8760
	b := newBench(t, 1)
	for i := range jobs {
		b.pool.AddJob(b.scheduledJob(string(rune('A'+i)), hoursAYear, time.Hour, workload.Step{Tasks: tasks, Need: workload.Resources{CPU: 100}}), nil, false, b.now)
	}
	b.plan()
	if got, want := b.pool.OpenTasks(), jobs*tasks; got > want {
		t.Errorf("tasks with a state: got %d, want at most the %d that are due", got, want)
	}
	e, _ := b.pool.Explain("A", b.now.Add(-time.Second))
	if e.Reason != dispatch.WaitNotDue && e.Reason != dispatch.WaitNone {
		t.Errorf("explanation: got %s, want %s or %s", e.Reason, dispatch.WaitNotDue, dispatch.WaitNone)
	}
}

// Guards against occurrences that come faster than they are done and use all memory of their holder.
func TestOverdueOccurrencesAreOpenedAsOthersEnd(t *testing.T) {
	const tasks, limit = 100, 4096
	b := newBench(t, 1)
	b.pool.AddJob(b.scheduledJob("j", 600, 0, workload.Step{Tasks: tasks, Need: workload.Resources{CPU: 16000}}), nil, false, b.now)
	b.plan()
	if got := b.pool.OpenTasks(); got < limit || got > limit+tasks {
		t.Errorf("tasks with a state: got %d, want %d to %d", got, limit, limit+tasks)
	}
}

// runSchedule simulates until all occurrences of the only job are done, and returns the largest record that was written.
func (b *bench) runSchedule(id string, limit time.Duration) int {
	b.t.Helper()
	largest := 0
	for end := b.now.Add(limit); b.now.Before(end); {
		b.advance(50 * time.Millisecond)
		for worker, runs := range b.present {
			for task := range runs {
				b.end(worker, task, workload.EndDone)
			}
		}
		for _, r := range b.record() {
			content, err := json.Marshal(r)
			if err != nil {
				b.t.Fatalf("record: got %v, want it to be encoded", err)
			}
			largest = max(largest, len(content))
		}
		if state, _ := b.pool.JobState(id); state == workload.Completed {
			return largest
		}
	}
	b.t.Errorf("state of %s: got not completed within %v, want completed", id, limit)
	return largest
}

// Guards against a record that grows with each occurrence until the store refuses it.
func TestRecordOfALongScheduleStaysSmall(t *testing.T) {
	const times, maxRecord = 2600, 4 << 10
	b := newBench(t, 2)
	steps := []workload.Step{{Tasks: 2, Need: workload.Resources{CPU: 100}}, {Tasks: 1, Need: workload.Resources{CPU: 100}, After: []int{0}}}
	b.pool.AddJob(b.scheduledJob("j", times, 20*time.Millisecond, steps...), nil, false, b.now)
	if got := b.runSchedule("j", 2*time.Minute); got > maxRecord {
		t.Errorf("largest record: got %d bytes, want at most %d", got, maxRecord)
	}
}

// Guards against occurrences that run again after a takeover: from a record of this version, and from one of an older version, which lists the
// tasks of each occurrence.
func TestDoneOccurrencesAreNotRepeatedAfterATakeover(t *testing.T) {
	for name, record := range map[string]dispatch.Record{
		"ranges": {State: workload.Queued, Started: true, Done: dispatch.Ranges{{0, 1}, {3, 3}}},
		"lists": {State: workload.Queued, Started: true, Steps: []dispatch.StepRecord{
			{Occurrence: 0, Done: []int{0}}, {Occurrence: 1, Done: []int{0}}, {Occurrence: 3, Done: []int{0}},
		}},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t, 2)
			b.advance(priorLeases)
			b.pool.AddJob(b.scheduledJob("j", 5, 0, oneTask(100)), &record, true, b.now)
			b.plan()
			var started []int
			for _, s := range b.starts {
				started = append(started, s.Task.Occurrence)
			}
			slices.Sort(started)
			if want := []int{2, 4}; !slices.Equal(started, want) {
				t.Errorf("occurrences that start: got %v, want %v", started, want)
			}
		})
	}
}

// Guards against a run that is stopped as one of an unknown task, because its occurrence is not due yet by this holder's clock.
func TestRunOfAnOccurrenceThatIsNotDueIsAdopted(t *testing.T) {
	b := newBench(t, 1)
	b.pool.AddJob(b.scheduledJob("j", 3, time.Minute, oneTask(100)), nil, true, b.now)
	early := workload.TaskID{Job: "j", Occurrence: 1}
	b.present["w0"][early] = 5
	b.report()
	b.plan()
	if len(b.stops) != 0 {
		t.Errorf("stops: got %v, want none", b.stops)
	}
	b.end("w0", early, workload.EndDone)
	b.report()
	if got, want := b.record()["j"].Done, (dispatch.Ranges{{1, 1}}); !slices.Equal(got, want) {
		t.Errorf("occurrences that are done: got %v, want %v", got, want)
	}
}

// Guards against an occurrence that is lost from the set of those that are done, or a record whose set is accepted although it names others.
func TestRangesHoldWhatWasAdded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const total = 40
		var set dispatch.Ranges
		want := map[int]bool{}
		for _, n := range rapid.SliceOf(rapid.IntRange(0, total-1)).Draw(t, "numbers") {
			set.Add(n)
			want[n] = true
		}
		for n := range total {
			if got := set.Contains(n); got != want[n] {
				t.Fatalf("%v contains %d: got %v, want %v", set, n, got, want[n])
			}
		}
		if got := set.Size(); got != len(want) {
			t.Fatalf("size of %v: got %d, want %d", set, got, len(want))
		}
		if !set.Valid(total) {
			t.Fatalf("%v: got invalid, want valid", set)
		}
	})
	for _, invalid := range []dispatch.Ranges{{{-1, 2}}, {{3, 2}}, {{0, 40}}, {{0, 3}, {2, 5}}, {{0, 3}, {4, 5}}} {
		if invalid.Valid(40) {
			t.Errorf("%v: got valid, want invalid", invalid)
		}
	}
}
