package node

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"testing"
	"time"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/store"
	"verbenalanding.example/fleet/workload"
	"verbenalanding.example/platform"
	"verbenalanding.example/platform/wire"
)

// movedJob returns a job of a queue that is configured for a pool.
func movedJob(pool string) workload.Job {
	q := workload.Queue{Name: "q-in-" + pool, Key: workload.QueueKey("fleet.example", "/recut/"), Pool: pool}
	return workload.Job{ID: "5c0e7a21d94b36f8", Queue: q.Name, Pool: pool, Terms: q, Steps: []workload.Step{{Tasks: 1}}}
}

// Guards against a job that is accepted in two pools: nodes with different configurations store it, or an unanswered write takes effect after
// the queue has moved and the request was repeated.
func TestJobIsAcceptedInOnePoolOnly(t *testing.T) {
	s := newTakeoverFixture(t)
	n := s.pool.node
	for _, tt := range []struct {
		pool string
		want error
	}{{"cutting", nil}, {"fitting", store.ErrConflict}, {"cutting", store.ErrConflict}} {
		accept, err := n.acceptJob(movedJob(tt.pool))
		if err != nil {
			t.Fatalf("job for %s: got %v, want it to be encoded", tt.pool, err)
		}
		if _, _, err := n.Store.Apply(s.ctx, accept); !errors.Is(err, tt.want) {
			t.Errorf("accept in %s: got %v, want %v", tt.pool, err, tt.want)
		}
	}
	q := movedJob("fitting").Terms
	accepted, err := n.acceptanceOf(s.ctx, n.directAccess(), &q, movedJob("fitting").ID, 1)
	if err != nil || accepted.Pool != "cutting" {
		t.Errorf("pool of the job: got %q and %v, want cutting", accepted.Pool, err)
	}
}

// Guards against ids that stay accepted after their jobs were deleted, and against a delete of more entries than a transaction may have.
func TestExpiredJobsAreDeletedWithTheirAcceptedIDs(t *testing.T) {
	p := offlinePool()
	var deleted []string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var body wire.Transaction
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			t.Errorf("decode transaction: got %v, want none", err)
		}
		if got := len(body.Precondition) + len(body.Puts) + len(body.Delete); got > store.MaxTransaction {
			t.Errorf("entries of a transaction: got %d, want at most %d", got, store.MaxTransaction)
		}
		deleted = append(deleted, body.Delete...)
		_, _ = io.WriteString(w, `{"Revision":9}`)
	}))
	defer server.Close()
	p.node.Store = &platform.Store{Client: platform.NewClient(), Addr: netip.MustParseAddrPort(server.Listener.Addr().String())}
	now := p.node.Clock.Now()
	const count = 20
	for i := range count {
		j := movedJob(p.name)
		j.ID = fmt.Sprintf("%016x", i)
		p.scheduler.AddJob(j, &dispatch.Record{State: workload.Completed, Finished: now}, true, now)
	}
	p.deleteExpired(t.Context(), now.Add(time.Hour))
	for i := range count {
		id := fmt.Sprintf("%016x", i)
		for _, key := range []string{jobKey(p.name, id), stateKey(p.name, id), cancelKey(p.name, id), acceptedKey(movedJob(p.name).Terms.Key, id)} {
			if !slices.Contains(deleted, key) {
				t.Errorf("deleted keys: got none for %s, want it", key)
			}
		}
	}
}
