package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/leadership"
	"verbenalanding.example/fleet/store"
	"verbenalanding.example/fleet/workload"
	"verbenalanding.example/platform"
)

// Guards against records that are written again, and a job that is reported as completed late, after an unanswered write that took effect,
// and against a holder that mistakes another holder's records for its own.
func TestConflictRevealsUnansweredWrite(t *testing.T) {
	const fence = 7
	duty := store.Entry{Key: leadership.Prefix + "cutting", Revision: fence}
	put := func(id, value string) store.Write {
		return store.Write{Key: stateKey("cutting", id), Value: []byte(value)}
	}
	entry := func(id, value string, revision store.Revision) store.Entry {
		return store.Entry{Key: stateKey("cutting", id), Value: []byte(value), Revision: revision}
	}
	for _, c := range []struct {
		name    string
		current []store.Entry
		want    error
	}{
		{"all records are stored", []store.Entry{duty, entry("a", "1", 11), entry("b", "2", 11)}, nil},
		{"an older record is stored", []store.Entry{duty, entry("a", "0", 9), entry("b", "2", 11)}, store.ErrConflict},
		{"a record is missing", []store.Entry{duty, entry("a", "1", 11)}, store.ErrConflict},
		{"another holder has the duty", []store.Entry{{Key: duty.Key, Revision: fence + 1}, entry("a", "1", 11), entry("b", "2", 11)}, errLost},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := &pool{name: "cutting", fence: fence, revisions: map[string]store.Revision{"a": 3}}
			err := p.resolveConflict(store.Transaction{Put: []store.Write{put("a", "1"), put("b", "2")}}, c.current)
			if !errors.Is(err, c.want) {
				t.Errorf("conflict: got %v, want %v", err, c.want)
			}
			for _, e := range c.current[1:] {
				id := e.Key[len(stateKey("cutting", "")):]
				if got := p.revisions[id]; got != e.Revision {
					t.Errorf("revision of %s: got %d, want %d", id, got, e.Revision)
				}
			}
		})
	}
}

// Guards against jobs that are reported as completed seconds late while the store loses answers: after one unanswered chunk, all chunks of
// its batch were written again.
func TestWrittenChunksOfABatchAreAcknowledged(t *testing.T) {
	const jobs = 2*recordsPerWrite + 1
	p := offlinePool()
	now := p.node.Clock.Now()
	for i := range jobs {
		id := fmt.Sprintf("job%d", i)
		p.scheduler.AddJob(workload.Job{ID: id, Pool: p.name, Accepted: now, Steps: []workload.Step{{Tasks: 1}}}, nil, false, now)
		p.scheduler.Cancel(id, now)
	}
	chunks := 0
	write := func(context.Context, []dispatch.Change) error {
		if chunks++; chunks == 2 {
			return store.ErrUnavailable
		}
		return nil
	}
	if err := p.writeBatch(context.Background(), p.scheduler.EndedJobs(), write); !errors.Is(err, store.ErrUnavailable) {
		t.Errorf("first pass: got %v, want %v", err, store.ErrUnavailable)
	}
	if got, want := len(p.scheduler.EndedJobs().Changes), jobs-recordsPerWrite; got != want {
		t.Errorf("records left after the first pass: got %d, want %d", got, want)
	}
	if err := p.writeBatch(context.Background(), p.scheduler.EndedJobs(), write); err != nil {
		t.Errorf("second pass: got %v, want none", err)
	}
	if got := len(p.scheduler.EndedJobs().Changes); got != 0 {
		t.Errorf("records left after the second pass: got %d, want 0", got)
	}
}

// Guards against jobs that stay in the store for as long as their holder lives, because it forgot them before a delete that failed.
func TestFailedDeleteOfExpiredJobsIsRepeated(t *testing.T) {
	p := offlinePool()
	calls := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if calls++; calls == 1 {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, `{"Revision":9}`)
	}))
	defer server.Close()
	p.node.Store = &platform.Store{Client: platform.NewClient(), Addr: netip.MustParseAddrPort(server.Listener.Addr().String())}
	now := p.node.Clock.Now()
	job := workload.Job{ID: "a", Pool: p.name, Accepted: now, Steps: []workload.Step{{Tasks: 1}}}
	p.scheduler.AddJob(job, &dispatch.Record{State: workload.Completed, Finished: now}, true, now)
	later := now.Add(time.Hour)
	for _, want := range []int{1, 0} {
		p.deleteExpired(t.Context(), later)
		if got := len(p.scheduler.ExpiredJobs(later)); got != want {
			t.Errorf("expired jobs after %d calls: got %d, want %d", calls, got, want)
		}
	}
}
