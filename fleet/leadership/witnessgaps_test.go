package leadership_test

import (
	"context"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"verbenalanding.example/fleet/leadership"
	"verbenalanding.example/fleet/store"
)

const witnessKey = "control/witnesses/pool"

// witnessWriteStore is the first holder's access to the store, with a hook for its writes of the witnesses alone.
type witnessWriteStore struct {
	*cutStore
	// write carries out a write of the witnesses without one of the duty's key; nil passes it on.
	write atomic.Pointer[func(ctx context.Context, t store.Transaction) (store.Revision, []store.Entry, error)]
}

func (s *witnessWriteStore) Apply(ctx context.Context, t store.Transaction) (store.Revision, []store.Entry, error) {
	if write := s.write.Load(); write != nil && len(t.Put) == 1 && t.Put[0].Key == witnessKey {
		return (*write)(ctx, t)
	}
	return s.cutStore.Apply(ctx, t)
}

// newWitnessWriteFleet starts a as the first holder, then the other nodes; setup changes a's access to the store before it runs.
func newWitnessWriteFleet(t *testing.T, setup func(*witnessWriteStore), names ...string) (*supersededFleet, *witnessWriteStore) {
	t.Helper()
	n := newNodes(t)
	n.ttl = supersededTTL
	f := &supersededFleet{nodes: n, net: newNetwork(), access: map[string]*cutStore{"a": {memory: n.store}}}
	s := &witnessWriteStore{cutStore: f.access["a"]}
	setup(s)
	f.a = f.build("a", 0)
	f.a.Store = s
	f.a.RequestStatus = f.net.requestStatus("a")
	f.net.nodes["a"] = f.a
	f.run(f.a)
	f.first = await(t, "first holder", n.began)
	for _, name := range names {
		f.join(name, name)
	}
	waitUntil(t, "all nodes are registered", func() bool { return len(f.a.Members()) == len(names)+1 })
	time.Sleep(500 * time.Millisecond)
	return f, s
}

// assertNotConfirmed asserts that a holder does not take its duty for held after its successor began.
func (f *supersededFleet) assertNotConfirmed(t *testing.T, holder *leadership.Elector, fence uint64, began time.Time) {
	t.Helper()
	for end := began.Add(3 * supersededTTL); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if held := holder.HeldAt("pool", fence); held.At.After(holder.Clock().Add(-time.Since(began))) {
			t.Fatalf("superseded holder: got the duty confirmed by the %s %v after its successor began, want no confirmation", held.By, time.Since(began))
		}
	}
}

// Guards against a successor that asks no witness since it takes the record of the last holder, of which its own view does not know, for one
// that a holder of an older version has left.
func TestSuccessorThatMissedTheLastHolderAsksItsWitnesses(t *testing.T) {
	t.Parallel()
	f := newSupersededFleet(t, "b", "c", "d", "e")
	f.cut("e")
	cutAt := time.Now()
	waitUntil(t, "the registration of e is gone", func() bool { return len(f.a.Members()) == 4 })
	f.cut("a")
	second := await(t, "second holder", f.began)
	// The second holder loses its key, and goes on while its witnesses confirm it.
	f.cut("b", "c", "d")
	// A follower lists again after an interruption of 2.7 s.
	time.Sleep(time.Until(cutAt.Add(3500 * time.Millisecond)))
	f.access["e"].cut.Store(false)
	third := await(t, "third holder", f.began)
	began := time.Now()
	if second.node == "a" || third.node != "e" {
		t.Fatalf("holders: got %s and %s, want one of b, c and d, and e", second.node, third.node)
	}
	f.assertNotConfirmed(t, f.nodeOf(second.node), second.fence, began)
}

// Guards against a holder that is confirmed by witnesses that the store does not name: a successor needs no promise when it names none.
func TestHolderWithoutRecordedWitnessesIsNotConfirmed(t *testing.T) {
	t.Parallel()
	t.Run("its first witnesses were not written", func(t *testing.T) {
		t.Parallel()
		f, _ := newWitnessWriteFleet(t, func(s *witnessWriteStore) {
			refuse := func(context.Context, store.Transaction) (store.Revision, []store.Entry, error) {
				return 0, nil, store.ErrRefused
			}
			s.write.Store(&refuse)
		}, "b", "c")
		f.cut("a", "b", "c")
		f.join("e", "e")
		await(t, "successor", f.began)
		f.assertNotConfirmed(t, f.a, f.first.fence, time.Now())
	})
	t.Run("an unanswered write removed the last ones", func(t *testing.T) {
		t.Parallel()
		f, s := newWitnessWriteFleet(t, func(*witnessWriteStore) {}, "b", "c")
		written := make(chan struct{}, 1)
		unanswered := func(ctx context.Context, tx store.Transaction) (store.Revision, []store.Entry, error) {
			if strings.Contains(string(tx.Put[0].Value), `"witnesses":[]`) {
				// The store carries the write out, and answers nothing from then on.
				s.cut.Store(true)
				_, _, _ = s.memory.Apply(ctx, tx)
				written <- struct{}{}
				return 0, nil, store.ErrUnavailable
			}
			return s.cutStore.Apply(ctx, tx)
		}
		s.write.Store(&unanswered)
		f.access["b"].cut.Store(true)
		f.access["c"].cut.Store(true)
		f.expireNode("b")
		f.expireNode("c")
		<-written
		f.cut("a")
		f.join("e", "e")
		await(t, "successor", f.began)
		f.assertNotConfirmed(t, f.a, f.first.fence, time.Now())
	})
}

// requestFailures makes a node's requests to other nodes fail: to the first holder as to an ended process, to the others without an answer.
type requestFailures struct {
	holder, others atomic.Bool
}

type requestStatus = func(context.Context, leadership.Member, leadership.StatusRequest) (leadership.Status, error)

func (r *requestFailures) wrap(request requestStatus) requestStatus {
	return func(ctx context.Context, m leadership.Member, q leadership.StatusRequest) (leadership.Status, error) {
		switch {
		case m.Node == "a" && r.holder.Load():
			return leadership.Status{}, leadership.ErrNoProcess
		case m.Node != "a" && r.others.Load():
			return leadership.Status{}, errPartitioned
		}
		return request(ctx, m, q)
	}
}

// joinFailing starts a node that is no witness, since the duty has four; its requests may be made to fail.
func (f *supersededFleet) joinFailing(name string, access store.Transactor, r *requestFailures) {
	el := f.build(name, 0)
	el.Store = access
	el.RequestStatus = r.wrap(f.net.requestStatus(name))
	f.net.mu.Lock()
	f.net.nodes[name] = el
	f.net.mu.Unlock()
	f.run(el)
	waitUntil(f.t, "the node is registered", func() bool { return len(f.a.Members()) == len(f.access)+1 })
	time.Sleep(500 * time.Millisecond)
}

// Guards against a successor that counts the time since a failed attempt of long ago as time in which no witness has answered.
func TestOldFailedAttemptDoesNotProveThatAllWitnessesAreGone(t *testing.T) {
	t.Parallel()
	f := newSupersededFleet(t, "b", "c", "d", "e")
	var r requestFailures
	f.joinFailing("f", f.store, &r)
	r.others.Store(true)
	r.holder.Store(true)
	time.Sleep(supersededTTL)
	// Attempts that have begun end before the others answer again.
	r.holder.Store(false)
	time.Sleep(supersededTTL)
	r.others.Store(false)
	select {
	case s := <-f.began:
		t.Fatalf("successor during the first partition of f: got %+v, want none", s)
	case <-time.After(6 * supersededTTL):
	}
	// The witnesses answered f all the time. Then it reaches none of them again, while they confirm the holder without the store.
	for _, name := range []string{"a", "b", "c", "d", "e"} {
		f.access[name].cut.Store(true)
	}
	r.others.Store(true)
	r.holder.Store(true)
	select {
	case s := <-f.began:
		began := time.Now()
		t.Errorf("successor: got %+v, want none within %v", s, 3*supersededTTL)
		f.assertNotConfirmed(t, f.a, f.first.fence, began)
	case <-time.After(3 * supersededTTL):
	}
}

// refusedDutyStore refuses writes of the duty's key.
type refusedDutyStore struct{ *memory }

func (s refusedDutyStore) Apply(ctx context.Context, t store.Transaction) (store.Revision, []store.Entry, error) {
	for _, w := range t.Put {
		if w.Key == "control/duty/pool" {
			return 0, nil, store.ErrRefused
		}
	}
	return s.memory.Apply(ctx, t)
}

// Guards against a holder that loses its duty with the next failure of the store, however much later, because of an attempt to take it over
// that the store has refused.
func TestRefusedTakeoverDoesNotEndConfirmations(t *testing.T) {
	t.Parallel()
	f := newSupersededFleet(t, "b", "c", "d", "e")
	var r requestFailures
	f.joinFailing("f", refusedDutyStore{f.store}, &r)
	r.holder.Store(true)
	time.Sleep(supersededTTL)
	r.holder.Store(false)
	// The store answers the holder for much longer than a lease after the refused attempt.
	time.Sleep(2 * supersededTTL)
	f.store.rejectAll()
	time.Sleep(2 * supersededTTL)
	if !f.a.Valid("pool", f.first.fence) && !f.paused("a") {
		t.Errorf("holder without the store, with all witnesses there: got not valid, want valid")
	}
}

// Guards against a former holder that has promised to drop its duty, and begins to hold it all the same since the answer to its write comes
// later: no witness has promised anything, so that they confirm it beside its successor.
func TestPromiseOfAHolderWhoseAcquisitionIsNotAnsweredYet(t *testing.T) {
	t.Parallel()
	n := newNodes(t)
	n.ttl = supersededTTL
	s := &delayedDutyStore{memory: n.store, written: make(chan uint64, 1), release: make(chan struct{})}
	a := n.build("a", 0)
	a.Store = s
	a.RequestStatus = newNetwork().requestStatus("a")
	n.run(a)
	fence := <-s.written
	a.HandleStatusRequest(leadership.StatusRequest{From: "e", Revoke: map[string]uint64{"pool": fence}})
	close(s.release)
	time.Sleep(supersededTTL / 4)
	if a.Valid("pool", fence) {
		t.Errorf("holder that has promised to drop the duty with fence %d: got valid, want not", fence)
	}
}

// delayedDutyStore answers the first write of the duty's key late.
type delayedDutyStore struct {
	*memory
	delayed atomic.Bool
	written chan uint64
	release chan struct{}
}

func (s *delayedDutyStore) Apply(ctx context.Context, t store.Transaction) (store.Revision, []store.Entry, error) {
	revision, current, err := s.memory.Apply(ctx, t)
	if len(t.Put) > 0 && t.Put[0].Key == "control/duty/pool" && err == nil && s.delayed.CompareAndSwap(false, true) {
		s.written <- uint64(revision)
		<-s.release
	}
	return revision, current, err
}

// Guards against a promise that a node gives before its elector runs, and forgets when it does.
func TestPromiseBeforeTheElectorRunsIsKept(t *testing.T) {
	t.Parallel()
	n := newNodes(t)
	el := n.build("b", supersededTTL)
	func() {
		defer func() {
			if r := recover(); r != nil {
				t.Errorf("promise before the elector runs: got panic %v, want none", r)
			}
		}()
		el.HandleStatusRequest(leadership.StatusRequest{From: "e", Revoke: map[string]uint64{"pool": 7}})
	}()
	n.run(el)
	time.Sleep(100 * time.Millisecond)
	status := el.HandleStatusRequest(leadership.StatusRequest{From: "a", Duties: []string{"pool"}, Held: map[string]uint64{"pool": 7}})
	if len(status.Refused) != 1 {
		t.Errorf("confirmation after a promise: got %v refused, want pool", status.Refused)
	}
}

// Guards against a process that takes the answer of a new process of the same name for the end of a witness, which still runs at another address.
func TestWitnessOfTheSameNameAtAnotherAddressMayStillRun(t *testing.T) {
	t.Parallel()
	f := newSupersededFleet(t, "b")
	f.cut("a", "b")
	for _, name := range []string{"a", "b"} {
		f.net.mark(f.net.partitioned, name)
	}
	el := f.build("b", 0)
	el.Self.Session, el.Self.Peer = "b2", netip.MustParseAddrPort("127.0.0.1:9")
	el.RequestStatus = func(context.Context, leadership.Member, leadership.StatusRequest) (leadership.Status, error) {
		return leadership.Status{}, errPartitioned
	}
	f.run(el)
	assertNoSuccessor(t, f.nodes, 2*supersededTTL)
}
