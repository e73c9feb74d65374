package testfleet_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"verbenalanding.example/fleet/workload"
	"verbenalanding.example/platform/wire"
	"verbenalanding.example/verbenaentry/testfleet"
)

// oversizedJobs are jobs with numbers whose products or sums do not fit into an integer.
func oversizedJobs() map[string]wire.Job {
	step := wire.Step{Count: 4, CPU: 1000, MemMb: 1, EstimateMs: 10}
	withStep := func(change func(*wire.Step)) wire.Job {
		s := step
		change(&s)
		return wire.Job{Spec: "s", Steps: []wire.Step{s}}
	}
	return map[string]wire.Job{
		"times":         {Spec: "s", Steps: []wire.Step{step}, Times: 1 << 62, StartTimeMs: 1, IntervalMs: 1},
		"times by all":  {Spec: "s", Steps: []wire.Step{step, step}, Times: 1 << 61, StartTimeMs: 1, IntervalMs: 1},
		"interval":      {Spec: "s", Steps: []wire.Step{step}, Times: 3, StartTimeMs: 1, IntervalMs: 1 << 62},
		"negative":      {Spec: "s", Steps: []wire.Step{step}, Times: 3, StartTimeMs: 1, IntervalMs: -1},
		"start":         {Spec: "s", Steps: []wire.Step{step}, Times: 3, StartTimeMs: 1 << 62, IntervalMs: 1},
		"cpu":           withStep(func(s *wire.Step) { s.CPU = 1<<63 - 1 }),
		"memory":        withStep(func(s *wire.Step) { s.MemMb = 1<<63 - 1 }),
		"accelerators":  withStep(func(s *wire.Step) { s.GPU = 1<<63 - 1 }),
		"tasks":         withStep(func(s *wire.Step) { s.Count = 1<<63 - 1 }),
		"long estimate": withStep(func(s *wire.Step) { s.EstimateMs = -1e300 }),
	}
}

// Guards against entry instances that end again and again because a caller's job has numbers that are too large: the holder that builds its
// tasks ends, and so does each successor that reads the job from the store.
func TestOversizedJobsAreRefused(t *testing.T) {
	f, ctx := startFleet(t, 3)
	serveJobs(ctx, t, f, 4)
	id := 0xabc0000
	for name, j := range oversizedJobs() {
		id++
		status, body, err := f.Do(ctx, id, http.MethodPost, testfleet.Prefix("cutting")+fmt.Sprintf("%016x", id), j)
		if err != nil || status != http.StatusBadRequest {
			t.Errorf("%s: got status %d, %v (%.100s), want %d", name, status, err, body, http.StatusBadRequest)
		}
	}
	serveJobs(ctx, t, f, 4)
	if ended := f.Ended(); len(ended) > 0 {
		t.Errorf("instances that ended: got %v, want none", ended)
	}
}

// Guards against entry instances that end, or a pool that nobody holds, because of one stored job or record that is invalid.
func TestInvalidStoredJobsAreLeftOut(t *testing.T) {
	f, ctx := startFleet(t, 3)
	serveJobs(ctx, t, f, 4)
	put := func(key string, value any) {
		content, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		f.Platform.Store.PutRaw(key, content)
	}
	const tooMany, noRecord = "00000000abc10001", "00000000abc10002"
	valid := workload.Job{ID: noRecord, Pool: "cutting", Queue: "q-cutting", Accepted: time.Now(), Steps: []workload.Step{{Tasks: 1, Need: workload.Resources{CPU: 1000}}}}
	put("job/cutting/"+tooMany, workload.Job{ID: tooMany, Pool: "cutting", Times: 1 << 62, Steps: []workload.Step{{Tasks: 4}}})
	put("state/cutting/"+noRecord, []int{7})
	put("job/cutting/"+noRecord, valid)
	f.Kill(f.Holder("cutting"))
	serveJobs(ctx, t, f, 4)
	if got := f.Platform.RunsOf(noRecord); got != 0 {
		t.Errorf("runs of the job without a valid record: got %d, want 0, since its tasks may have run", got)
	}
	if ended := f.Ended(); len(ended) != 1 {
		t.Errorf("instances that ended: got %v, want the one that was killed", ended)
	}
}
