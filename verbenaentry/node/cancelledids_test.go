package node

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"verbenalanding.example/fleet/monotonic"
	"verbenalanding.example/fleet/store"
	"verbenalanding.example/platform"
	"verbenalanding.example/platform/wire"
)

// cancelUnknown cancels a job that was not accepted, and returns the write of it that was not answered.
func (s *takeoverFixture) cancelUnknown(id string) (late store.Transaction) {
	s.t.Helper()
	n := s.pool.node
	job := movedJob("cutting")
	job.ID = id
	late, err := n.acceptJob(job)
	if err != nil {
		s.t.Fatalf("job: got %v, want it to be encoded", err)
	}
	_, status, answered := n.tryCancel(s.ctx, &job.Terms, job.ID, anyone, directAttempt)
	if !answered {
		s.t.Fatal("cancel: got no answer, want one")
	}
	wantStatus(s.t, "cancel", status, http.StatusGone)
	return late
}

func (s *takeoverFixture) assertLateWrite(late store.Transaction, want error) {
	s.t.Helper()
	if _, _, err := s.pool.node.Store.Apply(s.ctx, late); !errors.Is(err, want) {
		s.t.Errorf("late write: got %v, want %v", err, want)
	}
}

// Guards against a job that runs although its cancel was answered with 410: the mark that refuses its late write was gone with the keys of the node
// that had answered.
func TestCancelledIDOutlivesTheKeysOfTheNodeThatAnswered(t *testing.T) {
	s := newTakeoverFixture(t)
	s.pool.node.Elector.Clock = s.pool.node.Clock.Now
	late := s.cancelUnknown("00000000000000c1")
	s.gate.EndLeases()
	s.assertLateWrite(late, store.ErrConflict)
}

// Guards against marks of cancelled ids that stay in the store for good, and against one that is deleted while a late write may still come.
func TestCancelledIDsAreDeletedOnceNoWriteCanBeLate(t *testing.T) {
	s := newTakeoverFixture(t)
	elapsed := time.Hour
	s.pool.node.Clock = monotonic.From(func() time.Duration { return elapsed })
	s.pool.node.Elector.Clock = s.pool.node.Clock.Now
	first := s.cancelUnknown("00000000000000c1")
	ids := cancelledIDs{pool: s.pool}
	ids.deleteExpired(s.ctx)
	elapsed += cancelledIDAge / 2
	second := s.cancelUnknown("00000000000000c2")
	ids.deleteExpired(s.ctx)
	elapsed += cancelledIDAge / 2
	s.gate.SetClosed(true)
	ids.deleteExpired(s.ctx)
	s.gate.SetClosed(false)
	s.assertLateWrite(first, store.ErrConflict)
	ids.deleteExpired(s.ctx)
	s.assertLateWrite(second, store.ErrConflict)
	page, err := s.pool.node.Store.List(s.ctx, cancelledPrefix("cutting"), "", 0)
	if err != nil || len(page.Entries) != 1 {
		t.Errorf("cancelled ids that are listed: got %d and %v, want 1", len(page.Entries), err)
	}
	s.assertLateWrite(first, nil)
}

// Guards against a holder that keeps something for each id that clients have cancelled without a job.
func TestCancelledIDsTakeNoMemoryEach(t *testing.T) {
	const marks, perPage, mostPerMark = 50_000, 500, 16
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var after int
		if text := r.URL.Query().Get("After"); text != "" {
			if _, err := fmt.Sscanf(text[strings.LastIndexByte(text, '/')+1:], "%x", &after); err != nil {
				t.Errorf("key after which a page begins: got %q, want that of a mark", text)
			}
		}
		page := wire.Items{StoreRevision: marks, HasMore: after+perPage < marks}
		for i := range perPage {
			page.Items = append(page.Items, wire.Item{Key: cancelledKey("cutting", "queue", fmt.Sprintf("%016x", after+i+1)), Value: []byte("{}"), Revision: uint64(after + i + 1)})
		}
		_ = json.NewEncoder(w).Encode(page)
	}))
	defer server.Close()
	n := &Node{Clock: monotonic.New(), Store: &platform.Store{Client: platform.NewClient(), Addr: netip.MustParseAddrPort(server.Listener.Addr().String())}}
	ids := cancelledIDs{pool: &pool{node: n, name: "cutting", log: zerolog.Nop()}}
	ids.deleteExpired(t.Context())
	ids.deleteExpired(t.Context())
	held := heap()
	runtime.KeepAlive(&ids)
	ids = cancelledIDs{pool: ids.pool}
	if got := held - heap(); got > marks*mostPerMark {
		t.Errorf("memory for %d marks: got %d bytes, want at most %d", marks, got, marks*mostPerMark)
	}
	runtime.KeepAlive(&ids)
}

// heap returns the bytes that are in use.
func heap() int64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
