package node

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/store"
	"verbenalanding.example/fleet/workload"
)

// unknownJobFixture is a pool with a worker that reports a run of the job j, which is unknown to the pool.
type unknownJobFixture struct {
	*takeoverFixture
	// reads counts the reads of the store.
	reads int
}

func newUnknownJobFixture(t *testing.T) *unknownJobFixture {
	t.Helper()
	l := &unknownJobFixture{takeoverFixture: newTakeoverFixture(t)}
	now := l.pool.node.Clock.Now()
	w := workload.Worker{ID: "w", Pool: "cutting", Capacity: workload.Resources{CPU: 1000}, Incarnation: 1}
	l.pool.scheduler.SetWorker(w, now)
	l.pool.scheduler.Report("w", workload.Report{
		Incarnation: 1, Clock: time.Second, Active: []workload.ActiveRun{{Task: workload.TaskID{Job: "j"}, Run: 1}},
	}, now)
	l.onRead(func(string) bool { return false })
	return l
}

// onRead calls lost with the key of each read from the store; lost reports whether the answer is dropped.
func (l *unknownJobFixture) onRead(lost func(key string) bool) {
	l.gate.LoseAnswers(func(r *http.Request) bool {
		if r.Method != http.MethodGet {
			return false
		}
		l.reads++
		return lost(r.URL.Query().Get("Key"))
	})
}

// storeJob stores the job, and its record if there is one.
func (l *unknownJobFixture) storeJob(record *dispatch.Record) {
	l.t.Helper()
	l.storeJSON(jobKey("cutting", "j"), workload.Job{ID: "j", Pool: "cutting", Accepted: l.pool.node.Clock.Now(), Steps: []workload.Step{{Tasks: 1}}})
	if record != nil {
		l.storeJSON(stateKey("cutting", "j"), record)
	}
}

func (l *unknownJobFixture) storeJSON(key string, value any) {
	l.t.Helper()
	content, err := json.Marshal(value)
	if err != nil {
		l.t.Fatalf("encode %s: got %v, want none", key, err)
	}
	l.write(store.Write{Key: key, Value: content})
}

func (l *unknownJobFixture) readJobs() error {
	return l.pool.readUnknown(l.ctx, l.pool.scheduler.UnknownJobs(), 1)
}

// wantJob reads the job once and checks whether it is known to the pool, and its state.
func (l *unknownJobFixture) wantJob(want workload.State, known bool) {
	l.t.Helper()
	if err := l.readJobs(); err != nil {
		l.t.Errorf("find: got %v, want none", err)
	}
	if got := l.pool.scheduler.UnknownJobs(); len(got) != 0 {
		l.t.Errorf("unknown jobs: got %v, want none", got)
	}
	if got := l.pool.jobState("j"); got.Known != known || got.State != want {
		l.t.Errorf("job: got known %v and %q, want %v and %q", got.Known, got.State, known, want)
	}
}

// Guards against a run that is stopped, or an ended run that is acknowledged, although its job is in the store, and against a job that is
// added without the record of its progress.
func TestUnknownJobIsReadFromTheStore(t *testing.T) {
	t.Run("new", func(t *testing.T) {
		l := newUnknownJobFixture(t)
		l.storeJob(nil)
		l.wantJob(workload.Queued, true)
	})
	t.Run("finished", func(t *testing.T) {
		l := newUnknownJobFixture(t)
		l.storeJob(&dispatch.Record{State: workload.Failed, Finished: time.Now()})
		l.wantJob(workload.Failed, true)
	})
	t.Run("cancelled", func(t *testing.T) {
		l := newUnknownJobFixture(t)
		l.storeJob(nil)
		l.storeJSON(cancelKey("cutting", "j"), struct{}{})
		if err := l.readJobs(); err != nil {
			t.Errorf("find: got %v, want none", err)
		}
		changes := l.pool.scheduler.Batch().Changes
		if len(changes) != 1 || changes[0].Record.State != workload.Cancelled {
			t.Errorf("records to write: got %v, want one of a cancelled job", changes)
		}
	})
	t.Run("deleted", func(t *testing.T) {
		l := newUnknownJobFixture(t)
		l.wantJob("", false)
		if l.reads != 1 {
			t.Errorf("reads: got %d, want 1", l.reads)
		}
	})
	t.Run("deleted between reads", func(t *testing.T) {
		l := newUnknownJobFixture(t)
		l.storeJob(&dispatch.Record{State: workload.Completed, Finished: time.Now()})
		deleted := false
		l.onRead(func(key string) bool {
			if strings.HasPrefix(key, "state/") && !deleted {
				deleted = true
				if _, _, err := l.pool.node.Store.Apply(l.ctx, store.Transaction{Delete: []string{key, jobKey("cutting", "j")}}); err != nil {
					t.Errorf("delete: got %v, want none", err)
				}
			}
			return false
		})
		l.wantJob("", false)
	})
	t.Run("cannot be read", func(t *testing.T) {
		l := newUnknownJobFixture(t)
		l.write(store.Write{Key: jobKey("cutting", "j"), Value: []byte("{")})
		l.wantJob("", false)
	})
}

// Guards against an unanswered read that is treated as proof that the job, its record or its cancellation does not exist; the job must be
// read again.
func TestReadOfUnknownJobIsRetried(t *testing.T) {
	for _, key := range []string{"job/", "state/", "job/cutting/j/cancel"} {
		t.Run(key, func(t *testing.T) {
			l := newUnknownJobFixture(t)
			l.storeJob(nil)
			lost := false
			l.onRead(func(read string) bool {
				loseNow := !lost && strings.HasPrefix(read, key)
				lost = lost || loseNow
				return loseNow
			})
			if err := l.readJobs(); err == nil {
				t.Errorf("find without an answer: got none, want an error")
			}
			if got := l.pool.scheduler.UnknownJobs(); len(got) != 1 {
				t.Errorf("unknown jobs: got %v, want j", got)
			}
			l.wantJob(workload.Queued, true)
		})
	}
}
