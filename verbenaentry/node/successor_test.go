package node

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/leadership"
	"verbenalanding.example/fleet/monotonic"
	"verbenalanding.example/fleet/ring"
	"verbenalanding.example/fleet/store"
	"verbenalanding.example/platform"
	"verbenalanding.example/platform/standin"
	"verbenalanding.example/platform/wire"
)

// succession is a pool whose duty was taken a moment ago, on a stand-in of the store.
type succession struct {
	t    *testing.T
	gate *standin.Gate
	ctx  context.Context
	pool *pool
}

func newSuccession(t *testing.T) *succession {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	group, groupCtx := errgroup.WithContext(ctx)
	t.Cleanup(func() {
		cancel()
		_ = group.Wait()
	})
	p := &standin.Platform{Seed: 1}
	if err := p.Start(groupCtx, group); err != nil {
		t.Fatalf("start stand-in: got %v, want none", err)
	}
	gate, err := p.OpenGate()
	if err != nil {
		t.Fatalf("open gate: got %v, want none", err)
	}
	n := &Node{Clock: monotonic.New(), Elector: &leadership.Elector{}, Store: &platform.Store{Client: platform.NewClient(), Addr: gate.Addr}, StoreTimeout: &storeTimeout{}}
	s := &succession{t: t, gate: gate, ctx: ctx, pool: &pool{node: n, name: "cutting", wake: ring.New[struct{}](1)}}
	s.takeDuty()
	s.pool.core = &dispatch.Pool{Name: "cutting", Epoch: s.pool.fence}
	s.pool.core.Begin(n.Clock.Now())
	s.write(store.Write{Key: s.pool.handoverKey(), Value: []byte(`{"writer":3,"runs":{"w0":[{"job":"j"}]}}`)})
	return s
}

func (s *succession) write(w store.Write) store.Revision {
	s.t.Helper()
	revision, _, err := s.pool.node.Store.Apply(s.ctx, store.Transaction{Put: []store.Write{w}})
	if err != nil {
		s.t.Fatalf("write %s: got %v, want none", w.Key, err)
	}
	return revision
}

// takeDuty has the pool's duty taken anew.
func (s *succession) takeDuty() {
	s.pool.fence = uint64(s.write(store.Write{Key: leadership.Prefix + s.pool.name, Value: []byte("{}")}))
}

// loseAnswers has the answers to the first n calls with a path be lost.
func (s *succession) loseAnswers(path string, n int) {
	s.gate.LoseAnswers(func(r *http.Request) bool {
		if n == 0 || !strings.HasPrefix(r.URL.Path, path) {
			return false
		}
		n--
		return true
	})
}

func (s *succession) wantFollowed(want bool) {
	s.t.Helper()
	// A pool that has taken a handover without open questions can hand over itself; one that has not waits for all workers.
	_, got := s.pool.core.Handover(s.pool.node.Clock.Now())
	if got != want {
		s.t.Errorf("handover believed: got %v, want %v", got, want)
	}
}

func (s *succession) wantGone() {
	s.t.Helper()
	if _, err := s.pool.node.Store.Get(s.ctx, s.pool.handoverKey()); !errors.Is(err, store.ErrNotFound) {
		s.t.Errorf("handover in the store: got %v, want %v", err, store.ErrNotFound)
	}
}

// Guards against a holder that begins while a handover of before is in the store, which a later holder would believe, and against
// one that lets a handover go unused since an answer was lost.
func TestHandoverIsTakenWhenAnswersAreLost(t *testing.T) {
	for _, c := range []struct{ name, path string }{
		{"of the read", wire.PathKey},
		{"of the deletion", wire.PathTransaction},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSuccession(t)
			s.loseAnswers(c.path, 2)
			if err := s.pool.readHandover(s.ctx); err != nil {
				t.Fatalf("read handover: got %v, want none", err)
			}
			s.wantGone()
			s.wantFollowed(true)
		})
	}
}

// Guards against a holder that believes what it has read although another node has taken the duty, and the handover, meanwhile.
func TestHandoverIsNotTakenOnceTheDutyIsLost(t *testing.T) {
	for _, c := range []struct {
		name    string
		deleted bool
	}{
		{"the handover is still there", false},
		{"another holder has taken the handover", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSuccession(t)
			fence := s.pool.fence
			s.takeDuty()
			if c.deleted {
				if err := s.pool.readHandover(s.ctx); err != nil {
					t.Fatalf("read handover: got %v, want none", err)
				}
				s.pool.core = &dispatch.Pool{Name: "cutting"}
				s.pool.core.Begin(s.pool.node.Clock.Now())
			}
			s.pool.fence = fence
			if err := s.pool.readHandover(s.ctx); !errors.Is(err, errLost) {
				t.Errorf("read handover: got %v, want %v", err, errLost)
			}
			s.wantFollowed(false)
		})
	}
}

// Guards against a record that cannot be read and keeps its pool without a holder.
func TestUnreadableRecordsOfBefore(t *testing.T) {
	s := newSuccession(t)
	s.write(store.Write{Key: s.pool.handoverKey(), Value: []byte("{")})
	s.write(store.Write{Key: s.pool.unresponsiveKey(), Value: []byte("{")})
	if err := s.pool.readHandover(s.ctx); err != nil {
		t.Errorf("read handover: got %v, want none", err)
	}
	if err := s.pool.readUnresponsive(s.ctx); err != nil {
		t.Errorf("read record of silent workers: got %v, want none", err)
	}
	s.wantGone()
	s.wantFollowed(false)
}

// Guards against a worker that waits for its record although the store has it: the answer to the write was lost.
func TestUnansweredRecordOfSilentWorkersIsFound(t *testing.T) {
	s := newSuccession(t)
	s.loseAnswers(wire.PathTransaction, 1)
	record := workerRecord{Unresponsive: dispatch.Unresponsive{"w0": nil}}
	s.pool.writeUnresponsive(s.ctx, record)
	before := s.pool.unresponsiveRevision
	s.pool.writeUnresponsive(s.ctx, record)
	entry, err := s.pool.node.Store.Get(s.ctx, s.pool.unresponsiveKey())
	if err != nil {
		t.Fatalf("record: got %v, want one", err)
	}
	if before != 0 || s.pool.unresponsiveRevision != entry.Revision {
		t.Errorf("revisions known: got %d and %d, want 0 and %d", before, s.pool.unresponsiveRevision, entry.Revision)
	}
	fence := s.pool.fence
	s.takeDuty()
	s.pool.fence, s.pool.unresponsiveRevision = fence, 0
	s.pool.writeUnresponsive(s.ctx, record)
	if s.pool.unresponsiveTries == 0 {
		t.Errorf("write after the duty was lost: got it taken for written, want not")
	}
}

// Guards against a holder that waits for ever for a list of records whose answer was lost: its pool is not taken over, and no other
// node takes the duty.
func TestRecordsAreReadWhenAnswersAreLost(t *testing.T) {
	s := newSuccession(t)
	s.pool.revisions = map[string]store.Revision{}
	s.write(store.Write{Key: stateKey(s.pool.name, "j"), Value: []byte("{}")})
	s.loseAnswers(wire.PathRange, 2)
	records, err := s.pool.loadRecords(s.ctx)
	if err != nil {
		t.Fatalf("read records: got %v, want none", err)
	}
	if _, ok := records["j"]; !ok || len(records) != 1 {
		t.Errorf("records: got %v, want one of job j", records)
	}
}
