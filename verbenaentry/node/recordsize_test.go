package node

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/store"
	"verbenalanding.example/fleet/workload"
	"verbenalanding.example/platform/wire"
)

// failedTasks is the number of tasks of the job in the tests whose record is too large.
const failedTasks = 4000

// newRecordFixture returns a pool with a job of which each task has failed once, in runs with any number, and one whose task is done. The ends wait to
// be acknowledged.
func newRecordFixture(t *testing.T) *incarnationFixture {
	t.Helper()
	p := newIncarnationFixture(t)
	p.pool.revisions, p.pool.refusedWrites = map[string]store.Revision{}, map[string]int{}
	p.pool.writeTries, p.pool.node.Elector.Clock = 1, p.pool.node.Clock.Now
	p.receiveReport(time.Now().Add(-time.Minute), p.worker.Addr)
	now := p.pool.node.Clock.Now()
	terms := workload.Queue{Name: "q", Pool: p.pool.name, MaxAttempts: 3}
	add := func(id string, tasks int) {
		p.pool.scheduler.AddJob(workload.Job{ID: id, Pool: p.pool.name, Terms: terms, Accepted: now, Steps: []workload.Step{{Tasks: tasks}}}, nil, false, now)
	}
	add("large", failedTasks)
	add("small", 1)
	draw := rand.New(rand.NewPCG(5, 6))
	report := workload.Report{Incarnation: p.worker.Incarnation, Clock: 2 * time.Millisecond}
	for i := range failedTasks {
		report.Ended = append(report.Ended, workload.EndedRun{
			Number: int64(i + 1), Task: workload.TaskID{Job: "large", Index: i}, Run: 1 + draw.IntN(1e9), How: workload.EndFailed,
		})
	}
	report.Ended = append(report.Ended, workload.EndedRun{Number: failedTasks + 1, Task: workload.TaskID{Job: "small"}, Run: 1, How: workload.EndDone})
	p.pool.scheduler.Report("w", report, now)
	return p
}

func (p *incarnationFixture) wantJobs(want map[string]workload.State) {
	p.t.Helper()
	for id, state := range want {
		if got, _ := p.pool.scheduler.JobState(id); got != state {
			p.t.Errorf("state of %s: got %s, want %s", id, got, state)
		}
	}
}

func (p *incarnationFixture) wantAcknowledged(want int64) {
	p.t.Helper()
	if got := p.pool.scheduler.NextHold("w", p.pool.node.Clock.Now()).Acknowledged; got != want {
		p.t.Errorf("acknowledged ends: got %d, want %d", got, want)
	}
}

// Guards against a pool whose ends are not acknowledged any more, so that all its jobs stop, because the record of one job is larger than a value of
// the store.
func TestJobWhoseRecordCannotBeStoredEndsAlone(t *testing.T) {
	p := newRecordFixture(t)
	p.pool.node.Settings.MaxValueBytes = 16 << 10
	if err := p.pool.writeOnce(p.ctx, p.pool.scheduler.Batch); err != nil {
		t.Fatalf("write: got %v, want none", err)
	}
	p.wantJobs(map[string]workload.State{"large": workload.Failed, "small": workload.Completed})
	p.wantAcknowledged(failedTasks + 1)
	for _, id := range []string{"large", "small"} {
		if _, err := p.pool.node.Store.Get(p.ctx, stateKey(p.pool.name, id)); err != nil {
			t.Errorf("record of %s: got %v, want it in the store", id, err)
		}
	}
}

// Guards against a job that is ended although its record fits once it is compressed, and against a record that the next holder cannot read.
func TestLargeRecordIsStoredCompressed(t *testing.T) {
	p := newRecordFixture(t)
	p.pool.node.Settings.MaxValueBytes = 64 << 10
	if err := p.pool.writeOnce(p.ctx, p.pool.scheduler.Batch); err != nil {
		t.Fatalf("write: got %v, want none", err)
	}
	p.wantJobs(map[string]workload.State{"large": workload.Running, "small": workload.Completed})
	p.wantAcknowledged(failedTasks + 1)
	records, invalid, err := p.pool.loadRecords(p.ctx)
	if err != nil || len(invalid) > 0 {
		t.Fatalf("read records: got %v, invalid %v, want none", err, invalid)
	}
	if got := len(records["large"].Steps[0].Tasks); got != failedTasks {
		t.Errorf("tasks with failures in the record: got %d, want %d", got, failedTasks)
	}
}

// Guards against one record that the store never accepts, and that holds up the records that are written with it and after it; and against a job that
// is ended because the store refuses all calls for a while.
func TestRecordRefusedAsInvalidHoldsUpNoOther(t *testing.T) {
	refused := fmt.Errorf("%w: %w", store.ErrRefused, store.ErrInvalid)
	for _, c := range []struct {
		name      string
		reachable bool
		want      workload.State
	}{
		{"the store serves other calls", true, workload.Failed},
		{"the store serves no calls", false, workload.Running},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newRecordFixture(t)
			if c.reachable {
				p.reachStore()
			}
			write := func(_ context.Context, changes []dispatch.Change) error {
				for _, change := range changes {
					if change.Job == "large" && !change.Record.State.Terminal() {
						return refused
					}
				}
				return nil
			}
			for try := range maxRefusedWrites {
				p.wantAcknowledged(0)
				if err := p.pool.writeBatch(p.ctx, p.pool.scheduler.Batch(), write); !errors.Is(err, store.ErrInvalid) {
					t.Errorf("write %d: got %v, want %v", try+1, err, store.ErrInvalid)
				}
				p.wantJobs(map[string]workload.State{"small": workload.Completed})
			}
			err := p.pool.writeBatch(p.ctx, p.pool.scheduler.Batch(), write)
			p.wantJobs(map[string]workload.State{"large": c.want})
			if failed := c.want == workload.Failed; failed != (err == nil) {
				t.Errorf("write after the last refusal: got %v, want none only if the job has failed", err)
			}
		})
	}
}

// Guards against a long schedule that is refused as too large for a record, though the record names only the occurrences that have begun.
func TestLongScheduleIsNotTooLarge(t *testing.T) {
	n := newTakeoverFixture(t).pool.node
	n.Settings.MaxValueBytes = 1 << 20
	job := &workload.Job{ID: "5c0e7a21d94b36f8", Times: 525600, Interval: time.Minute, Terms: movedJob("cutting").Terms}
	job.Steps = []workload.Step{{Tasks: 8}}
	if err := n.checkSize(job); err != nil {
		t.Errorf("8 tasks each minute for a year: got %v, want accepted", err)
	}
}

// Guards against a job that is accepted although the store can take neither it nor its record, and against one that is refused with 503 for ever.
func TestJobThatCannotBeStoredIsRefused(t *testing.T) {
	for _, c := range []struct {
		name string
		step wire.Step
		want int
	}{
		{"an image of 20 kB", wire.Step{Count: 1, Image: strings.Repeat("x", 20<<10)}, http.StatusRequestEntityTooLarge},
		{"as many tasks as a record has room for", wire.Step{Count: 16 << 10 / recordTaskBytes}, http.StatusOK},
		{"one task more", wire.Step{Count: 16<<10/recordTaskBytes + 1}, http.StatusRequestEntityTooLarge},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := newTakeoverFixture(t).pool.node
			n.Elector.Clock, n.Settings.MaxValueBytes = n.Clock.Now, 16<<10
			body, err := platformJob(c.step)
			if err != nil {
				t.Fatalf("job: got %v, want none", err)
			}
			request := httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/", body)
			answer := httptest.NewRecorder()
			q := movedJob("cutting").Terms
			if got := n.submit(t.Context(), answer, request, &q, "5c0e7a21d94b36f8", anyone, 1<<20); got != c.want {
				t.Errorf("status: got %d, want %d (%s)", got, c.want, answer.Body)
			}
			if got, want := answer.Header().Get("Content-Type"), "application/problem+json"; c.want != http.StatusOK && got != want {
				t.Errorf("type of the refusal: got %q, want %q", got, want)
			}
		})
	}
}

// platformJob returns the body of a request with a job of one step.
func platformJob(step wire.Step) (io.Reader, error) {
	content, err := json.Marshal(wire.Job{Spec: "s", Steps: []wire.Step{step}})
	return bytes.NewReader(content), err
}

// reachStore makes the store count as reached: the elector's time does not advance from its first answer on.
func (p *incarnationFixture) reachStore() {
	p.pool.node.Elector.Clock = func() time.Time { return time.Time{} }
}
