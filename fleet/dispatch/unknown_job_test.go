package dispatch_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/workload"
)

// wantUnknown checks which jobs are to be read from the store.
func wantUnknown(t *testing.T, b *bench, want ...string) {
	t.Helper()
	if got := b.pool.UnknownJobs(); !slices.Equal(got, want) {
		t.Errorf("jobs to read from the store: got %v, want %v", got, want)
	}
}

// Guards against an end that is acknowledged after some time although its job is not known yet: the task would be started again. Only
// the store's answer that there is no such job permits it.
func TestEndOfAnUnknownJobIsNotAcknowledged(t *testing.T) {
	ended := func(t *testing.T) *bench {
		b := newBench(t, 2)
		b.takeOver()
		b.addWorker("w0")
		b.addWorker("w1")
		b.present["w1"][task("j", 0, 0)] = 5
		b.end("w1", task("j", 0, 0), workload.EndDone)
		for range 200 {
			b.advance(50 * time.Millisecond)
			b.record()
		}
		if len(b.ended["w1"]) == 0 {
			t.Errorf("end of an unknown job: got it acknowledged, want it listed")
		}
		wantUnknown(t, b, "j")
		return b
	}
	t.Run("becomes known", func(t *testing.T) {
		b := ended(t)
		b.addJob("j", oneTask(1000))
		b.plan()
		wantUnknown(t, b)
		b.report()
		b.record()
		b.plan()
		b.report()
		wantCount(t, "ends that are not acknowledged", len(b.ended["w1"]), 0)
		wantCount(t, "starts after the end", len(b.starts), 0)
		b.wantState("j", workload.Completed)
	})
	t.Run("does not exist", func(t *testing.T) {
		b := ended(t)
		b.pool.NoSuchJob("j", b.now)
		wantUnknown(t, b)
		b.report()
		b.record()
		b.report()
		wantCount(t, "ends that are not acknowledged", len(b.ended["w1"]), 0)
		wantUnknown(t, b)
	})
	t.Run("accepted again", func(t *testing.T) {
		b := ended(t)
		b.pool.NoSuchJob("j", b.now)
		b.addJob("j", oneTask(1000))
		b.pool.NoSuchJob("j", b.now)
		b.wantState("j", workload.Queued)
	})
}

// Guards against memory that grows with the number of jobs that do not exist, and against an old answer that is never checked again.
func TestAnswerThatAJobDoesNotExistExpires(t *testing.T) {
	b := newBench(t, 1)
	b.present["w0"][task("j", 0, 0)] = 5
	b.report()
	b.pool.NoSuchJob("j", b.now)
	b.report()
	wantUnknown(t, b)
	b.now, b.clock = b.now.Add(3*time.Minute), b.clock+3*time.Minute
	b.pool.ExpiredJobs(b.now)
	b.report()
	wantUnknown(t, b, "j")
}

// Guards against a job that is started again because its run is listed after the holder removed the job and before it is deleted from the
// store.
func TestExpiredJobIsNotStartedAgain(t *testing.T) {
	b := newBench(t, 1)
	finished := b.now
	record := &dispatch.Record{State: workload.Completed, Finished: finished}
	spec := workload.Job{ID: "j", Queue: queue.Name, Pool: "cutting", Terms: queue, Steps: []workload.Step{oneTask(1000)}, Accepted: finished}
	b.pool.AddJob(spec, record, true, b.now)
	b.now, b.clock = b.now.Add(5*time.Minute), b.clock+5*time.Minute
	expired := b.pool.ExpiredJobs(b.now)
	wantCount(t, "expired jobs", len(expired), 1)
	b.pool.RemoveJobs(expired)
	b.present["w0"][task("j", 0, 0)] = 5
	b.report()
	wantUnknown(t, b, "j")
	b.pool.AddJob(spec, record, true, b.now)
	wantUnknown(t, b)
	b.report()
	starts, stops := b.orders()
	wantCount(t, "starts", len(starts), 0)
	wantCount(t, "stops of the run", len(stops), 1)
	wantCount(t, "expired jobs after that", len(b.pool.ExpiredJobs(b.now)), 1)
}

// store accepts the job.
func (s *scenario) store() {
	s.job = &workload.Job{ID: "j", Queue: queue.Name, Pool: "cutting", Terms: queue, Accepted: s.now, Steps: []workload.Step{
		{Tasks: 1, Need: workload.Resources{CPU: 1000}, Estimate: time.Hour},
	}}
}

func (s *scenario) announce(h *scenarioHolder) {
	h.pool.AddJob(*s.job, nil, false, s.now)
}

// readUnknown has a holder read the job if a worker lists it and the holder does not know it.
func (s *scenario) readUnknown(h *scenarioHolder) {
	if len(h.pool.UnknownJobs()) > 0 && !s.readsFail {
		h.pool.AddJob(*s.job, s.record, false, s.now)
	}
}

// Guards against a task that is started while a run of a lost holder is present, or whose run is never taken over, because the successors'
// watches report its job much later, for each way in which a holder is lost and each state of the worker.
func TestJobOfALostHolderThatBecomesKnownMuchLater(t *testing.T) {
	for _, l := range losses {
		for i, w := range workerStates {
			for _, unread := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%s/unread %v", l.name, w.name, unread), func(t *testing.T) {
					for _, v := range w.variants {
						for _, schedule := range l.variants {
							s := newScenario(t, "known much later")
							s.lateStarts, s.readsFail = w.lateOrders, unread
							schedule(s)
							v.schedule(s, v.beginsAt(s))
							at := s.lostUntil.Add(-100 * time.Millisecond)
							if !l.disconnectedAt.IsZero() {
								at = l.disconnectedAt.Add(-100 * time.Millisecond)
							}
							s.at(at, func() { s.store(); s.announce(s.first) })
							known := afterLoss(14 * time.Second)
							s.at(known, func() { s.announce(s.newest) })
							s.run(laterOf(known.Add(promptLimit), startBy(s, l, confirmationOf(v, l, i), origins[0])))
							s.wantTaskRunByLastHolder()
							s.run(s.now.Add(5 * time.Second))
						}
					}
				})
			}
		}
	}
}
