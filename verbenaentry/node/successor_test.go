package node

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
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

// takeoverFixture is a pool whose duty has just been taken over from a previous holder that left a handover, on a stand-in of the store.
type takeoverFixture struct {
	t    *testing.T
	gate *standin.Gate
	ctx  context.Context
	pool *pool
}

func newTakeoverFixture(t *testing.T) *takeoverFixture {
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
	n.Registry, n.intake = metrics.NewRegistry(), newClientIntake(platform.Settings{}, Flags{})
	s := &takeoverFixture{t: t, gate: gate, ctx: ctx, pool: &pool{node: n, name: "cutting", planNow: ring.New[struct{}](1)}}
	s.takeDuty()
	s.pool.scheduler = &dispatch.Pool{Name: "cutting", Epoch: s.pool.fence}
	s.pool.scheduler.Begin(n.Clock.Now())
	s.write(store.Write{Key: s.pool.handoverKey(), Value: []byte(`{"writer":3,"runs":{"w0":[{"job":"j"}]}}`)})
	return s
}

func (s *takeoverFixture) write(w store.Write) store.Revision {
	s.t.Helper()
	revision, _, err := s.pool.node.Store.Apply(s.ctx, store.Transaction{Put: []store.Write{w}})
	if err != nil {
		s.t.Fatalf("write %s: got %v, want none", w.Key, err)
	}
	return revision
}

// takeDuty writes the duty's key again, which gives the pool a new fencing token.
func (s *takeoverFixture) takeDuty() {
	s.pool.fence = uint64(s.write(store.Write{Key: leadership.Prefix + s.pool.name, Value: []byte("{}")}))
}

// loseAnswers drops the answers to the first n calls whose path has the given prefix.
func (s *takeoverFixture) loseAnswers(path string, n int) {
	s.gate.LoseAnswers(func(r *http.Request) bool {
		if n == 0 || !strings.HasPrefix(r.URL.Path, path) {
			return false
		}
		n--
		return true
	})
}

func (s *takeoverFixture) wantHandoverApplied(want bool) {
	s.t.Helper()
	// A pool that has applied a complete handover can itself hand over; without one it waits for all workers.
	_, got := s.pool.scheduler.Handover(s.pool.node.Clock.Now())
	if got != want {
		s.t.Errorf("handover applied: got %v, want %v", got, want)
	}
}

func (s *takeoverFixture) wantHandoverDeleted() {
	s.t.Helper()
	if _, err := s.pool.node.Store.Get(s.ctx, s.pool.handoverKey()); !errors.Is(err, store.ErrNotFound) {
		s.t.Errorf("handover in the store: got %v, want %v", err, store.ErrNotFound)
	}
}

// Guards against a handover that is left in the store, where a later holder would apply it, and against one that is not applied, because an
// answer was lost.
func TestHandoverIsAppliedWhenAnswersAreLost(t *testing.T) {
	for _, c := range []struct{ name, path string }{
		{"of the read", wire.PathKey},
		{"of the deletion", wire.PathTransaction},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newTakeoverFixture(t)
			s.loseAnswers(c.path, 2)
			if err := s.pool.readHandover(s.ctx); err != nil {
				t.Fatalf("read handover: got %v, want none", err)
			}
			s.wantHandoverDeleted()
			s.wantHandoverApplied(true)
		})
	}
}

// Guards against a holder that applies a handover although another node has taken over the duty since, and may have applied it.
func TestHandoverIsNotAppliedOnceTheDutyIsLost(t *testing.T) {
	for _, c := range []struct {
		name    string
		deleted bool
	}{
		{"the handover is still there", false},
		{"another holder has applied the handover", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newTakeoverFixture(t)
			fence := s.pool.fence
			s.takeDuty()
			if c.deleted {
				if err := s.pool.readHandover(s.ctx); err != nil {
					t.Fatalf("read handover: got %v, want none", err)
				}
				s.pool.scheduler = &dispatch.Pool{Name: "cutting"}
				s.pool.scheduler.Begin(s.pool.node.Clock.Now())
			}
			s.pool.fence = fence
			if err := s.pool.readHandover(s.ctx); !errors.Is(err, errLost) {
				t.Errorf("read handover: got %v, want %v", err, errLost)
			}
			s.wantHandoverApplied(false)
		})
	}
}

// Guards against a record that cannot be decoded and prevents any takeover of its pool.
func TestUndecodableRecordsDoNotPreventTakeover(t *testing.T) {
	s := newTakeoverFixture(t)
	s.write(store.Write{Key: s.pool.handoverKey(), Value: []byte("{")})
	s.write(store.Write{Key: s.pool.unresponsiveKey(), Value: []byte("{")})
	if err := s.pool.readHandover(s.ctx); err != nil {
		t.Errorf("read handover: got %v, want none", err)
	}
	if err := s.pool.readUnresponsive(s.ctx); err != nil {
		t.Errorf("read record of unresponsive workers: got %v, want none", err)
	}
	s.wantHandoverDeleted()
	s.wantHandoverApplied(false)
}

// Guards against a record of unresponsive workers that counts as not written although the store has it, because the answer to the write was
// lost.
func TestUnansweredWriteOfUnresponsiveWorkersIsDetected(t *testing.T) {
	s := newTakeoverFixture(t)
	s.loseAnswers(wire.PathTransaction, 1)
	record := workerRecord{Unresponsive: dispatch.TasksByWorker{"w0": nil}}
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
		t.Errorf("write after the duty was lost: got treated as written, want not written")
	}
}

// Guards against a holder that waits forever for a list of records whose answer was lost: it never completes the takeover, and no other node
// takes over the duty.
func TestRecordsAreReadWhenAnswersAreLost(t *testing.T) {
	s := newTakeoverFixture(t)
	s.pool.revisions = map[string]store.Revision{}
	s.write(store.Write{Key: stateKey(s.pool.name, "j"), Value: []byte("{}")})
	s.loseAnswers(wire.PathRange, 2)
	records, _, err := s.pool.loadRecords(s.ctx)
	if err != nil {
		t.Fatalf("read records: got %v, want none", err)
	}
	if _, ok := records["j"]; !ok || len(records) != 1 {
		t.Errorf("records: got %v, want one of job j", records)
	}
}
