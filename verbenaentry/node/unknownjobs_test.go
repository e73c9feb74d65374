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

// unknownJobFixture is a pool with a worker that reports a run of the job j, which the pool does not know.
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
	l.pool.core.SetWorker(w, now)
	l.pool.core.Report("w", workload.Report{
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

// store stores the job, and its record if there is one.
func (l *unknownJobFixture) store(record *dispatch.Record) {
	l.t.Helper()
	l.encode(jobKey("cutting", "j"), workload.Job{ID: "j", Pool: "cutting", Accepted: l.pool.node.Clock.Now(), Steps: []workload.Step{{Tasks: 1}}})
	if record != nil {
		l.encode(stateKey("cutting", "j"), record)
	}
}

func (l *unknownJobFixture) encode(key string, value any) {
	l.t.Helper()
	content, err := json.Marshal(value)
	if err != nil {
		l.t.Fatalf("encode %s: got %v, want none", key, err)
	}
	l.write(store.Write{Key: key, Value: content})
}

func (l *unknownJobFixture) find() error {
	return l.pool.readUnknown(l.ctx, l.pool.core.UnknownJobs(), 1)
}

// wantFound checks that one read tells whether the job exists, and its state.
func (l *unknownJobFixture) wantFound(want workload.State, known bool) {
	l.t.Helper()
	if err := l.find(); err != nil {
		l.t.Errorf("find: got %v, want none", err)
	}
	if got := l.pool.core.UnknownJobs(); len(got) != 0 {
		l.t.Errorf("unknown jobs: got %v, want none", got)
	}
	if got := l.pool.jobState("j"); got.Known != known || got.State != want {
		l.t.Errorf("job: got known %v and %q, want %v and %q", got.Known, got.State, known, want)
	}
}

// Guards against a run that is stopped, or an ended run that is acknowledged, although the store has the job; and against a job that is
// added without its recorded progress.
func TestListedJobIsReadFromTheStore(t *testing.T) {
	t.Run("new", func(t *testing.T) {
		l := newUnknownJobFixture(t)
		l.store(nil)
		l.wantFound(workload.Queued, true)
	})
	t.Run("finished", func(t *testing.T) {
		l := newUnknownJobFixture(t)
		l.store(&dispatch.Record{State: workload.Failed, Finished: time.Now()})
		l.wantFound(workload.Failed, true)
	})
	t.Run("cancelled", func(t *testing.T) {
		l := newUnknownJobFixture(t)
		l.store(nil)
		l.encode(cancelKey("cutting", "j"), struct{}{})
		if err := l.find(); err != nil {
			t.Errorf("find: got %v, want none", err)
		}
		changes := l.pool.core.Batch().Changes
		if len(changes) != 1 || changes[0].Record.State != workload.Cancelled {
			t.Errorf("records to write: got %v, want one of a cancelled job", changes)
		}
	})
	t.Run("deleted", func(t *testing.T) {
		l := newUnknownJobFixture(t)
		l.wantFound("", false)
		if l.reads != 1 {
			t.Errorf("reads: got %d, want 1", l.reads)
		}
	})
	t.Run("deleted between reads", func(t *testing.T) {
		l := newUnknownJobFixture(t)
		l.store(&dispatch.Record{State: workload.Completed, Finished: time.Now()})
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
		l.wantFound("", false)
	})
	t.Run("cannot be read", func(t *testing.T) {
		l := newUnknownJobFixture(t)
		l.write(store.Write{Key: jobKey("cutting", "j"), Value: []byte("{")})
		l.wantFound("", false)
	})
}

// Guards against a missing answer that is treated as an answer while the store is unreachable or loses answers: the job is read again.
func TestReadOfListedJobIsRetried(t *testing.T) {
	for _, key := range []string{"job/", "state/", "job/cutting/j/cancel"} {
		t.Run(key, func(t *testing.T) {
			l := newUnknownJobFixture(t)
			l.store(nil)
			lost := false
			l.onRead(func(read string) bool {
				lose := !lost && strings.HasPrefix(read, key)
				lost = lost || lose
				return lose
			})
			if err := l.find(); err == nil {
				t.Errorf("find without an answer: got none, want an error")
			}
			if got := l.pool.core.UnknownJobs(); len(got) != 1 {
				t.Errorf("unknown jobs: got %v, want j", got)
			}
			l.wantFound(workload.Queued, true)
		})
	}
}
