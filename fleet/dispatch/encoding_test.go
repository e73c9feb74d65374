package dispatch_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/store"
	"verbenalanding.example/fleet/workload"
)

// largestJobTasks is the number of tasks of the largest job that is accepted.
const largestJobTasks = 65_536

// recordOf returns a record of the largest job with an entry for each task.
func recordOf(entry func(index int) dispatch.TaskRecord) *dispatch.Record {
	const steps = 16
	r := &dispatch.Record{State: workload.Queued, Started: true}
	for s := range steps {
		step := dispatch.StepRecord{Step: s}
		for i := range largestJobTasks / steps {
			step.Tasks = append(step.Tasks, entry(i))
		}
		r.Steps = append(r.Steps, step)
	}
	return r
}

// Guards against a job whose record outgrows the largest value of the store: most of its tasks have failed once, or have checkpoints, or
// occurrences of many steps wait for their last one.
func TestRecordOfTheLargestJobFitsIntoAValue(t *testing.T) {
	draw := rand.New(rand.NewPCG(1, 2))
	random := func() int { return draw.IntN(100_000) }
	failed := func(i int) dispatch.TaskRecord {
		return dispatch.TaskRecord{Index: i, FailedRuns: []int{1}, LastRun: 1}
	}
	overdue := &dispatch.Record{State: workload.Queued}
	for n := range largestJobTasks {
		overdue.Steps = append(overdue.Steps, dispatch.StepRecord{Occurrence: n / 24, Step: n % 24, Done: []int{0}})
	}
	for name, r := range map[string]*dispatch.Record{
		"each task has failed once": recordOf(failed),
		"each task has failed twice, in runs with any number": recordOf(func(i int) dispatch.TaskRecord {
			first, last := random(), random()
			return dispatch.TaskRecord{Index: i, FailedRuns: []int{first, last}, LastRun: max(first, last)}
		}),
		"each task has a checkpoint": recordOf(func(i int) dispatch.TaskRecord {
			return dispatch.TaskRecord{Index: i, Checkpoint: fmt.Sprintf("step-%d", i%100)}
		}),
		"many occurrences wait for their last step": overdue,
	} {
		t.Run(name, func(t *testing.T) {
			value, err := r.Encode(store.MaxValueSize)
			if err != nil {
				t.Fatalf("encode: got %v, want none", err)
			}
			t.Logf("%d bytes", len(value))
			got, err := dispatch.DecodeRecord(value)
			if err != nil || !reflect.DeepEqual(&got, r) {
				t.Errorf("decoded record: got another one, or %v", err)
			}
		})
	}
}

// Guards against failures that are forgotten beside checkpoints that are too large to be stored.
func TestCheckpointsAreLeftOutBeforeFailures(t *testing.T) {
	draw := rand.New(rand.NewPCG(3, 4))
	r := recordOf(func(i int) dispatch.TaskRecord {
		task := dispatch.TaskRecord{Index: i, Checkpoint: fmt.Sprintf("%x%x", draw.Uint64(), draw.Uint64())}
		if i%2 == 0 {
			task.FailedRuns, task.LastRun = []int{1}, 1
		}
		return task
	})
	value, err := r.Encode(store.MaxValueSize)
	if err != nil {
		t.Fatalf("encode: got %v, want none", err)
	}
	got, err := dispatch.DecodeRecord(value)
	if err != nil {
		t.Fatalf("decode: got %v, want none", err)
	}
	failures := 0
	for _, s := range got.Steps {
		failures += len(s.Tasks)
	}
	wantCount(t, "tasks with failures", failures, largestJobTasks/2)
	if r.Steps[0].Tasks[0].Checkpoint == "" {
		t.Error("checkpoint of the encoded record: got none, want it unchanged")
	}
	if _, err := r.Encode(store.MaxValueSize / 100); !errors.Is(err, dispatch.ErrRecordTooLarge) {
		t.Errorf("encode into a hundredth: got %v, want %v", err, dispatch.ErrRecordTooLarge)
	}
}

// Guards against a stored record that ends each holder in turn, whatever wrote it.
func TestInvalidRecordsAreRefused(t *testing.T) {
	for _, value := range []string{"", "{", "\x1f", "\x1f\x8b", "\x1f\x8b\x08\x00\x00\x00\x00\x00\x00\x00"} {
		if _, err := dispatch.DecodeRecord([]byte(value)); err == nil {
			t.Errorf("decode %q: got none, want an error", value)
		}
	}
}
