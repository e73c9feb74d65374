package entry

import (
	"bytes"
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"verbenalanding.example/fleet/claim"
	"verbenalanding.example/fleet/deferred"
	"verbenalanding.example/fleet/internal/check"
	"verbenalanding.example/fleet/standin"
)

// Guards against interrupting a request in flight by a planned stop of the entry instance, and against refusals without a
// true outcome during the stop.
func TestGracefulShutdown(t *testing.T) {
	c := newCluster(t, 1)
	e := c.start(t, nil)
	c.backends[0].PushFaults(standin.Slow)
	var g errgroup.Group
	var slow answer
	g.Go(func() error {
		slow = e.call("sizeMatch", "", "x")
		return nil
	})
	for c.backends[0].InFlight() == 0 {
		time.Sleep(time.Millisecond)
	}
	e.stop()
	for e.phase.Load() != refusing {
		time.Sleep(time.Millisecond)
	}
	a := e.call("sizeMatch", "", "y")
	check.Equal(t, "during the shutdown", a.problem.Reason, reasonLeaving)
	check.NoError(t, g.Wait())
	check.Equal(t, "in flight", slow.outcome, string(claim.Completed))
	<-e.done
	check.Equal(t, "interrupted requests", c.backends[0].Interrupted(), 0)
}

// Guards against a dispatch to a draining instance after its drain was confirmed, and against confirming a drain that the
// pool's loop has not applied yet.
func TestDrainStatus(t *testing.T) {
	// All requests go to the backend server that is drained; the second one joins with the drain.
	c := newCluster(t, 1)
	locked := &lockedConfiguration{}
	e := c.start(t, func(e *Entry) { e.Configuration = locked })
	c.backends[0].SetFault(standin.Slow)
	var g errgroup.Group
	for range 8 {
		g.Go(func() error {
			e.call("sizeMatch", "", "x")
			return nil
		})
	}
	for c.backends[0].InFlight() == 0 {
		time.Sleep(time.Millisecond)
	}
	c.addBackend(t)
	draining := c.instances()
	draining[0].State, draining[0].Drain = "draining", 5
	locked.mu.Lock()
	e.SetInstances(draining)
	time.Sleep(20 * time.Millisecond)
	statusBeforeApply := e.DrainStatus()
	locked.mu.Unlock()
	check.Equal(t, "confirmed before the pool's loop has applied the drain", statusBeforeApply, nil)
	for n := 0; ; n++ {
		check.True(t, "confirmed in time", n < 1000)
		if s := e.DrainStatus(); len(s) == 1 && s[0].Applied == 5 && s[0].InFlight == 0 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	check.Equal(t, "in flight at the instance", c.backends[0].InFlight(), 0)
	check.NoError(t, g.Wait())
	runsBefore := c.backends[0].Runs()
	for range 10 {
		check.Equal(t, "after the drain", e.call("sizeMatch", "", "x").status, 200)
	}
	check.Equal(t, "runs at the drained instance", c.backends[0].Runs(), runsBefore)
}

// Guards against dispatching by an outdated view after a pause of the process or without contact with the store or a peer.
func TestPauseAndViewTimeout(t *testing.T) {
	c := newCluster(t, 1)
	var offset atomic.Int64
	var refreshes, alone atomic.Int64
	failRefresh := atomic.Bool{}
	failRefresh.Store(true)
	e := c.start(t, func(e *Entry) {
		e.Now = func() time.Time { return time.Now().Add(time.Duration(offset.Load())) }
		e.Alone = func() bool { return alone.Load() == 1 }
		e.Refresh = func(context.Context) error {
			refreshes.Add(1)
			if failRefresh.Load() {
				return errNoHolder
			}
			return nil
		}
	})
	check.Equal(t, "before", e.call("sizeMatch", "", "x").status, 200)
	offset.Store(int64(3 * time.Second))
	check.Equal(t, "after a pause", e.call("sizeMatch", "", "x").problem.Reason, reasonPaused)
	for refreshes.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	check.Equal(t, "refresh failed", e.call("sizeMatch", "", "x").problem.Reason, reasonPaused)
	failRefresh.Store(false)
	for e.guard.paused.Load() {
		time.Sleep(time.Millisecond)
	}
	check.Equal(t, "refreshed", e.call("sizeMatch", "", "x").status, 200)
	for range 7 {
		offset.Add(int64(1500 * time.Millisecond))
		time.Sleep(pauseCheckInterval + pauseCheckInterval/2)
	}
	a := e.call("sizeMatch", "", "x")
	check.Equal(t, "view time-out", a.problem.Reason, reasonViewTimeout)
	check.Equal(t, "outcome", a.outcome, outcomeNotRun)
	alone.Store(1)
	check.Equal(t, "only instance", e.call("sizeMatch", "", "x").status, 200)
}

// Guards against deferred work that is acknowledged without a record, runs twice or cannot be looked up.
func TestDeferredOverHTTP(t *testing.T) {
	c := newCluster(t, 1)
	e := c.start(t, nil)
	a := e.call("tonerReorder/deferred", "k", "x")
	check.Equal(t, "status", a.status, http.StatusAccepted)
	check.Equal(t, "repeated", e.call("tonerReorder/deferred", "k", "x").status, http.StatusAccepted)
	check.Equal(t, "other body", e.call("tonerReorder/deferred", "k", "y").problem.Reason, reasonKeyMismatch)
	c.store.SetFaults(standin.StoreFaults{Down: true})
	check.Equal(t, "store down", e.call("tonerReorder/deferred", "l", "x").problem.Reason, reasonStoreDown)
	c.store.SetFaults(standin.StoreFaults{})
	id := deferred.NewID("tonerReorder", "k")
	h := &deferred.Holder{Store: c.store, Shard: deferred.ShardOf(id), Epoch: 1, Executor: e.Entry}
	background(t, h.Run)
	for n := 0; ; n++ {
		check.True(t, "completed in time", n < 500)
		if r, err := deferred.Lookup(context.Background(), c.store, id); err == nil && r.State == deferred.Completed {
			check.True(t, "answer", bytes.HasSuffix(r.Answer, []byte(":x")))
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	check.Equal(t, "executions", c.log.KeyRuns("tonerReorder", "k"), 1)
	check.Equal(t, "sync call with the key", e.call("tonerReorder", "k", "x").problem.Reason, reasonDuplicate)
}
