package deferred

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/internal/check"
	"verbenalanding.example/fleet/record"
	"verbenalanding.example/fleet/standin"
	"verbenalanding.example/fleet/store"
)

type executor struct {
	mu   sync.Mutex
	runs map[string]int
	// hang keeps attempts in flight until it is closed or they are cancelled; nil for none.
	hang   chan struct{}
	result Result
}

func (e *executor) Execute(ctx context.Context, w Work, _ int) Result {
	e.mu.Lock()
	e.runs[w.ID]++
	result := e.result
	e.mu.Unlock()
	if e.hang != nil {
		select {
		case <-e.hang:
		case <-ctx.Done():
		}
	}
	return result
}

func (e *executor) count(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

func newExecutor() *executor {
	return &executor{runs: map[string]int{}, result: Result{State: Completed, Status: 200}}
}

func startHolder(t *testing.T, s store.Store, id string, epoch record.Epoch, e Executor, now func() time.Time) context.CancelFunc {
	t.Helper()
	h := &Holder{Store: s, Shard: ShardOf(id), Epoch: epoch, Executor: e, Now: now, SaveTimeout: 100 * time.Millisecond}
	return check.Background(t, h.Run, context.Canceled, ErrFenced)
}

func newWork(n int, repeatable bool) Work {
	id := NewID("tonerReorder", fmt.Sprint(n))
	return Work{
		ID: id, Service: "tonerReorder", Class: declaration.Deferrable, Repeatable: repeatable,
		Deadline: 2 * time.Second, Body: []byte("{}"), BodyDigest: "d",
	}
}

func waitForState(t *testing.T, s store.Store, id string, want State) Record {
	t.Helper()
	var got Record
	for range 500 {
		r, err := Lookup(context.Background(), s, id)
		if got = r; err == nil && r.State == want {
			return r
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("state of %s: got %q, want %q", id, got.State, want)
	return got
}

// Guards against work that is lost or runs twice when the store loses answers and is temporarily down.
func TestRunsOnceThroughStoreFaults(t *testing.T) {
	s, e, w := standin.NewStore(), newExecutor(), newWork(1, false)
	a := &Acceptor{Store: s}
	s.SetFaults(standin.StoreFaults{LoseAnswers: 1})
	check.NoError(t, a.Accept(context.Background(), w))
	startHolder(t, s, w.ID, 1, e, nil)
	s.SetFaults(standin.StoreFaults{LoseAnswers: 2})
	time.Sleep(50 * time.Millisecond)
	s.SetFaults(standin.StoreFaults{Down: true})
	time.Sleep(200 * time.Millisecond)
	s.SetFaults(standin.StoreFaults{LoseAnswers: 2})
	check.Equal(t, "status", waitForState(t, s, w.ID, Completed).Status, 200)
	check.Equal(t, "runs", e.count(w.ID), 1)
}

// Guards against a second run of non-repeatable work whose holder was lost, and against work that stays in the state Running forever.
func TestLostHolderLeadsToUnknown(t *testing.T) {
	for _, repeatable := range []bool{false, true} {
		s, e, w := standin.NewStore(), newExecutor(), newWork(2, repeatable)
		e.hang = make(chan struct{})
		e.result = Result{State: Unknown, Reason: "cut"}
		check.NoError(t, (&Acceptor{Store: s}).Accept(context.Background(), w))
		startHolder(t, s, w.ID, 1, e, nil)
		for e.count(w.ID) == 0 {
			time.Sleep(time.Millisecond)
		}
		nextExecutor := newExecutor()
		startHolder(t, s, w.ID, 2, nextExecutor, func() time.Time { return time.Now().Add(time.Minute) })
		if repeatable {
			waitForState(t, s, w.ID, Completed)
			continue
		}
		check.Equal(t, "reason", waitForState(t, s, w.ID, Unknown).Reason, "holderLost")
		check.Equal(t, "second runs", nextExecutor.count(w.ID), 0)
	}
}

// Guards against a second run of work whose result cannot be recorded until the store is available again.
func TestUnsavedResultIsNotRunAgain(t *testing.T) {
	s, e, w := standin.NewStore(), newExecutor(), newWork(3, false)
	e.hang = make(chan struct{})
	check.NoError(t, (&Acceptor{Store: s}).Accept(context.Background(), w))
	startHolder(t, s, w.ID, 1, e, nil)
	for e.count(w.ID) == 0 {
		time.Sleep(time.Millisecond)
	}
	s.SetFaults(standin.StoreFaults{Down: true})
	close(e.hang)
	time.Sleep(time.Second)
	s.SetFaults(standin.StoreFaults{})
	waitForState(t, s, w.ID, Completed)
	check.Equal(t, "runs", e.count(w.ID), 1)
}

// Guards against work that is recorded although its caller got a refusal, and against an unbounded backlog.
func TestRefusedWorkIsNotRecorded(t *testing.T) {
	s := standin.NewStore()
	a := &Acceptor{Store: s, Limit: Shards}
	s.SetFaults(standin.StoreFaults{Down: true})
	check.ErrorIs(t, a.Accept(context.Background(), newWork(1, true)), ErrStoreDown)
	s.SetFaults(standin.StoreFaults{})
	_, err := Lookup(context.Background(), s, newWork(1, true).ID)
	check.ErrorIs(t, err, ErrNotFound)
	full := 0
	for n := range 100 {
		if errors.Is(a.Accept(context.Background(), newWork(n, true)), ErrFull) {
			full++
		}
	}
	check.Equal(t, "refused as full", full, 100-Shards)
}

// Guards against starvation: work that waits long enough precedes newer urgent work, and a refused service delays no other.
func TestQueueAging(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	q := &Queue{MaxRunning: 1}
	q.Add(Work{ID: "old", Service: "a", Class: declaration.Deferrable, Accepted: now.Add(-2 * time.Minute)}, 0, now)
	q.Add(Work{ID: "urgent", Service: "b", Class: declaration.Urgent, Accepted: now}, 0, now)
	q.Add(Work{ID: "new", Service: "a", Class: declaration.Deferrable, Accepted: now}, 0, now)
	var order []string
	for range 3 {
		id, _, _ := q.Next(now)
		order = append(order, id)
		if len(order) == 1 {
			q.Refused(id, now)
			continue
		}
		q.Done(id)
	}
	check.Equal(t, "order", order, []string{"old", "urgent", ""})
	id, attempt, _ := q.Next(now.Add(time.Second))
	check.Equal(t, "after the back-off", fmt.Sprint(id, attempt), "old2")
}
