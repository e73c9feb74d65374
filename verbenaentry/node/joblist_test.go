package node

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/store"
	"verbenalanding.example/fleet/workload"
)

// Guards against a list of jobs that takes as much memory as the store keeps of ended ones, and against one that loses what a job's state needs.
func TestEndedJobsOfALargeListAreShort(t *testing.T) {
	f := newFullFixture(t)
	follower := &jobFollower{pool: f.pool, loaded: make(chan struct{}), records: map[string]dispatch.Record{"00000000000000aa": {State: workload.Completed}}}
	close(follower.loaded)
	var events []store.Event
	for _, id := range []string{"00000000000000aa", "00000000000000bb"} {
		job := movedJob("cutting")
		job.ID, job.Workspace, job.Spec = id, "hemline", strings.Repeat("a", largeList)
		job.Steps = slices.Repeat(job.Steps, workload.MaxSteps)
		value, err := json.Marshal(job)
		if err != nil {
			t.Fatal(err)
		}
		events = append(events, store.Event{Entry: store.Entry{Key: jobKey("cutting", id), Value: value}})
	}
	whole := len(events[1].Entry.Value)
	follower.shrink(f.ctx, events)
	if got := len(events[0].Entry.Value); got > endedBytes {
		t.Errorf("ended job: got %d bytes, want at most %d", got, endedBytes)
	}
	if got := len(events[1].Entry.Value); got != whole {
		t.Errorf("job that has not ended: got %d bytes, want %d", got, whole)
	}
	short, err := decodeStoredJob(events[0].Entry.Value)
	if want := movedJob("cutting"); err != nil || short.Workspace != "hemline" || short.Terms.Key != want.Terms.Key {
		t.Errorf("ended job: got %+v and %v, want its workspace and its queue", short, err)
	}
}
