package jobs

import (
	"context"
	"slices"
	"strconv"
	"testing"
	"time"

	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/internal/check"
	"verbenalanding.example/fleet/platform"
	"verbenalanding.example/fleet/record"
	"verbenalanding.example/fleet/standin"
)

// The record of a finished job must carry the configuration revision in its reason.
func TestJobRunsWithReason(t *testing.T) {
	w := newFixture(2)
	w.submit(t, w.job("j", "standard", 1, true))
	w.run(t, 20*time.Second)
	w.expectState(t, "j", succeeded)
	check.Equal(t, "revision in the reason", w.load(t, "j").Reason.ConfigRevision, uint64(1))
}

// Invalid jobs must be refused; the outcome of a submission that the store may have recorded must be reported as unknown.
func TestSubmitRefusesInvalidJobs(t *testing.T) {
	w := newFixture(2)
	cases := map[string]func(*record.Job){
		"negative size": func(j *record.Job) { j.Declared.MilliCores = -1 },
		"overflow":      func(j *record.Job) { j.Declared.MemoryBytes = 1 << 62 },
		"above worker":  func(j *record.Job) { j.Declared.MilliCores = 4001 },
		"above quota":   func(j *record.Job) { j.Team, j.Declared.MemoryBytes = "blue", 8*gib+1 },
		"unknown team":  func(j *record.Job) { j.Team = "green" },
		"unknown class": func(j *record.Job) { j.Class = "soon" },
		"slash in id":   func(j *record.Job) { j.ID = "a/b" },
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			j := w.job("j", "standard", 1, true)
			change(&j)
			_, err := w.intake.Submit(context.Background(), j)
			check.ErrorIs(t, err, ErrRefused)
		})
	}
	t.Run("quota above fleet", func(t *testing.T) {
		w.set.Teams["red"] = declaration.Team{MilliCores: 1 << 40, MemoryBytes: gib}
		_, err := w.intake.Submit(context.Background(), w.job("j", "standard", 1, true))
		check.ErrorIs(t, err, ErrQuota)
	})
	t.Run("store down", func(t *testing.T) {
		w := newFixture(1)
		w.store.SetFaults(standin.StoreFaults{Down: true})
		_, err := w.intake.Submit(context.Background(), w.job("j", "urgent", 1, true))
		check.ErrorIs(t, err, ErrUnknownOutcome)
	})
}

// The record of a job that waits behind others must give the reason, not only that the job was accepted.
func TestReasonOfWaitingJobsIsRecorded(t *testing.T) {
	w := newFixture(1)
	w.runTime["a"] = time.Minute
	for _, id := range []string{"a", "b", "c"} {
		w.submit(t, w.job(id, "deferrable", 4, true))
	}
	w.run(t, 20*time.Second)
	for _, id := range []string{"b", "c"} {
		check.Equal(t, "rule of "+id, w.load(t, id).Reason.Rule, "teamQuota")
	}
}

// A lost answer from the store must neither refuse a recorded job nor record it twice.
func TestSubmitAfterLostAnswer(t *testing.T) {
	w := newFixture(1)
	w.store.SetFaults(standin.StoreFaults{LoseAnswers: 1})
	w.submit(t, w.job("j", "standard", 1, true))
	check.Equal(t, "accepted", len(w.submitted), 1)
	other := w.job("j", "standard", 2, true)
	_, err := w.intake.Submit(context.Background(), other)
	check.ErrorIs(t, err, ErrDuplicate)
}

// A start of a non-repeatable job must not be repeated after a lost answer: if the worker restarts in between, the job runs
// twice.
func TestNonRepeatableStartWithLostAnswerIsNotRepeated(t *testing.T) {
	w := newFixture(1)
	w.workers.SetFaults("w0", standin.WorkerFaults{LoseAnswers: 1})
	w.submit(t, w.job("j", "standard", 1, false))
	w.run(t, 500*time.Millisecond)
	check.Equal(t, "starts", w.workers.Starts("j"), 1)
	w.workers.Reboot("w0")
	w.run(t, 30*time.Second)
	check.Equal(t, "starts", w.workers.Starts("j"), 1)
	w.expectState(t, "j", unknown)
}

// When all workers of a pool are lost, a non-repeatable job must end as unknown and must not run again; a repeatable one must
// run again.
func TestNonRepeatableJobOfLostWorkerIsNotRunAgain(t *testing.T) {
	w := newFixture(4)
	w.submit(t, w.job("once", "standard", 1, false))
	w.submit(t, w.job("often", "standard", 1, true))
	w.run(t, 2*time.Second)
	for _, r := range []string{"r0", "r1"} {
		w.workers.SetRackLost(r, true)
	}
	for _, id := range []string{"w0", "w1", "w2", "w3"} {
		w.members[id].State = "failed"
	}
	w.run(t, 90*time.Second)
	w.workers.SetRackLost("r0", false)
	w.members["w0"].State, w.members["w1"].State = "inService", "inService"
	w.run(t, 30*time.Second)
	w.expectState(t, "once", unknown)
	w.expectState(t, "often", succeeded)
	check.Equal(t, "starts", w.workers.Starts("once"), 1)
}

// Running jobs must survive an outage of the store that is longer than their leases.
func TestStoreOutageKeepsRunningJobs(t *testing.T) {
	w := newFixture(2)
	w.runTime["j"] = 8 * time.Minute
	w.submit(t, w.job("j", "standard", 1, false))
	w.run(t, 2*time.Second)
	w.store.SetFaults(standin.StoreFaults{Down: true})
	w.run(t, 10*time.Minute)
	check.Equal(t, "starts", w.workers.Starts("j"), 1)
	w.store.SetFaults(standin.StoreFaults{})
	w.run(t, 10*time.Second)
	w.expectState(t, "j", succeeded)
}

// A slow store, which takes two thirds of the timeout per call, must not keep jobs from starting.
func TestSlowStoreStillStartsJobs(t *testing.T) {
	w := newFixture(1)
	w.holder.Timing.StoreTimeout = 60 * time.Millisecond
	w.run(t, 2*time.Second)
	w.submit(t, w.job("j", "urgent", 1, true))
	w.store.SetFaults(standin.StoreFaults{Delay: 40 * time.Millisecond})
	w.run(t, 5*time.Second)
	check.Equal(t, "starts", w.workers.Starts("j"), 1)
}

// A paused holder that resumes must change neither records nor tasks.
func TestPausedHolderIsFenced(t *testing.T) {
	w := newFixture(2)
	w.runTime["j"] = time.Minute
	w.submit(t, w.job("j", "standard", 1, false))
	w.run(t, 2*time.Second)
	w.submit(t, w.job("waiting", "standard", 1, true))
	w.takeOver()
	w.run(t, 2*time.Second)
	before := w.load(t, "j")
	w.now = w.now.Add(30 * time.Second)
	err := w.paused[0].Step(context.Background(), w.now)
	check.ErrorIs(t, err, record.ErrFenced)
	check.Equal(t, "record", w.load(t, "j"), before)
	w.run(t, time.Minute)
	w.expectState(t, "j", succeeded)
	check.Equal(t, "starts", w.workers.Starts("j"), 1)
}

// When no job is running, a paused holder can detect the takeover only in the records.
func TestPausedHolderWithWaitingJobsIsFenced(t *testing.T) {
	w := newFixture(1)
	w.members["w0"].State = "draining"
	w.submit(t, w.job("j", "standard", 1, true))
	w.run(t, time.Second)
	w.takeOver()
	w.run(t, time.Second)
	w.members["w0"].State = "inService"
	check.ErrorIs(t, w.paused[0].Step(context.Background(), w.now), record.ErrFenced)
	check.Equal(t, "starts", w.workers.Starts("j"), 0)
}

// While the store is down, a paused holder can detect the takeover only from the answers of the workers.
func TestPausedHolderIsFencedByWorkers(t *testing.T) {
	w := newFixture(1)
	w.runTime["j"] = 5 * time.Minute
	w.submit(t, w.job("j", "standard", 1, false))
	w.run(t, 2*time.Second)
	w.takeOver()
	w.run(t, 2*time.Second)
	w.store.SetFaults(standin.StoreFaults{Down: true})
	w.now = w.now.Add(25 * time.Second)
	check.ErrorIs(t, w.paused[0].Step(context.Background(), w.now), record.ErrFenced)
}

// After a takeover, the records of running jobs must carry the new epoch even while their worker is unresponsive.
func TestTakeoverFencesRunningJobs(t *testing.T) {
	w := newFixture(1)
	w.runTime["j"] = time.Minute
	w.submit(t, w.job("j", "standard", 1, false))
	w.run(t, 2*time.Second)
	w.workers.SetFaults("w0", standin.WorkerFaults{Down: true})
	w.takeOver()
	w.run(t, 250*time.Millisecond)
	check.Equal(t, "epoch", w.load(t, "j").Epoch, record.Epoch(2))
}

// A worker that was listed as failed and returns may still run its tasks; new jobs must not overcommit it.
func TestReturningWorkerIsNotOvercommitted(t *testing.T) {
	for name, repeatable := range map[string]bool{"repeatable": true, "non-repeatable": false} {
		t.Run(name, func(t *testing.T) {
			w := newFixture(1)
			w.runTime["old"] = 3 * time.Minute
			w.submit(t, w.job("old", "standard", 4, repeatable))
			w.run(t, 5*time.Second)
			w.members["w0"].State = "failed"
			next := w.job("new", "standard", 4, true)
			next.Team = "blue"
			w.submit(t, next)
			w.run(t, time.Second)
			w.members["w0"].State = "inService"
			w.run(t, 15*time.Second)
			check.True(t, "stale attempt stopped", !repeatable || !slices.Contains(w.workers.Running("w0"), "old#1"))
			w.run(t, 8*time.Minute)
			check.Equal(t, "overcommitted workers", w.workers.Overcommitted(), nil)
			w.expectState(t, "old", succeeded)
			w.expectState(t, "new", succeeded)
		})
	}
}

// A start that took effect although its answer was lost must not leave an untracked task that overcommits the worker.
func TestUnansweredStartIsNotOvercommitted(t *testing.T) {
	w := newFixture(2)
	w.holder.Workers = lostStops{Workers: w.workers}
	w.runTime["old"] = 50 * time.Second
	w.workers.SetFaults("w0", standin.WorkerFaults{LoseAnswers: 2})
	w.submit(t, w.job("old", "standard", 4, true))
	w.run(t, time.Second)
	w.submit(t, w.job("new", "standard", 4, true))
	w.run(t, 2*time.Minute)
	check.Equal(t, "overcommitted workers", w.workers.Overcommitted(), nil)
	w.expectState(t, "new", succeeded)
}

// An instance that was moved from the pool of another shard may still run tasks of that shard; it must stay closed until they
// end.
func TestForeignTasksKeepWorkerClosed(t *testing.T) {
	w := newFixture(1)
	w.runTime["other"] = 30 * time.Second
	task := platform.Task{ID: "other#1", Epoch: 7, LeaseFor: time.Minute, Reserved: w.members["w0"].Capacity}
	check.NoError(t, w.workers.Start(context.Background(), "w0", task))
	w.now = w.now.Add(5 * time.Second)
	w.submit(t, w.job("j", "standard", 4, true))
	w.run(t, time.Minute)
	check.Equal(t, "overcommitted workers", w.workers.Overcommitted(), nil)
	check.Equal(t, "starts of the other shard's job", w.workers.Starts("other"), 1)
	w.expectState(t, "j", succeeded)
}

// Guards against throttling a job whose start has not been sent yet: it then started with its full reservation and
// overcommitted the worker. Found by rapid with seed 28779332.
func TestJobIsNotThrottledBeforeItsStart(t *testing.T) {
	w := newFixture(1)
	w.run(t, time.Second)
	w.submit(t, w.job("fixed", "standard", 3, false))
	w.holder.Store = &lostPuts{Store: w.store, left: 1}
	w.run(t, 250*time.Millisecond)
	w.submit(t, w.job("urgent", "urgent", 2, true))
	w.run(t, 4*time.Minute)
	check.Equal(t, "overcommitted workers", w.workers.Overcommitted(), nil)
	w.expectState(t, "urgent", succeeded)
	w.expectState(t, "fixed", succeeded)
}

// A worker that is listed but unresponsive must not leave a job in state running for ever.
func TestJobOnUnresponsiveWorkerEndsAsUnknown(t *testing.T) {
	w := newFixture(1)
	w.submit(t, w.job("j", "standard", 1, false))
	w.run(t, time.Second)
	w.workers.SetFaults("w0", standin.WorkerFaults{Down: true})
	w.run(t, 90*time.Second)
	w.expectState(t, "j", unknown)
}

// The former holder abandoned an unanswered start and was replaced before a report showed the task. The next holder must not
// overcommit the worker on which the task may still run. Found by rapid.
func TestTakeoverKeepsFormerWorkerClosed(t *testing.T) {
	w := newFixture(1)
	w.runTime["old"] = 50 * time.Second
	w.run(t, time.Second)
	w.holder.Workers = lostStops{Workers: w.workers}
	w.workers.SetFaults("w0", standin.WorkerFaults{LoseAnswers: 2})
	w.submit(t, w.job("old", "standard", 4, true))
	w.run(t, 750*time.Millisecond)
	check.Equal(t, "former worker", w.load(t, "old").FormerWorkers, []string{"w0"})
	w.takeOver()
	w.run(t, 2*time.Minute)
	check.Equal(t, "overcommitted workers", w.workers.Overcommitted(), nil)
	w.expectState(t, "old", succeeded)
}

// The record must name every worker that may still run an attempt; a record that named only the last of two led to an
// overcommitted worker. Found by rapid with seed 58058369.
func TestTakeoverKeepsEveryFormerWorkerClosed(t *testing.T) {
	w := newFixture(2)
	w.runTime["old"] = 50 * time.Second
	w.run(t, time.Second)
	w.holder.Workers = lostStops{Workers: w.workers}
	for _, id := range []string{"w0", "w1"} {
		w.workers.SetFaults(id, standin.WorkerFaults{LoseAnswers: 2})
	}
	w.submit(t, w.job("old", "standard", 4, true))
	w.run(t, 1250*time.Millisecond)
	check.Equal(t, "former workers", w.load(t, "old").FormerWorkers, []string{"w0", "w1"})
	w.takeOver()
	w.submit(t, w.job("new", "standard", 4, true))
	w.run(t, 3*time.Minute)
	check.Equal(t, "overcommitted workers", w.workers.Overcommitted(), nil)
	w.expectState(t, "old", succeeded)
	w.expectState(t, "new", succeeded)
}

// Urgent jobs must start in time on a full pool, even if checkpoints hang, and the preempted jobs must succeed later.
func TestUrgentPreempts(t *testing.T) {
	for name, faults := range map[string]standin.WorkerFaults{"checkpoint": {}, "hanging checkpoint": {NoCheckpoint: true}} {
		t.Run(name, func(t *testing.T) {
			w := newFixture(2)
			for _, id := range []string{"w0", "w1"} {
				w.workers.SetFaults(id, faults)
			}
			for _, id := range []string{"a", "b"} {
				w.runTime[id] = time.Minute
				w.submit(t, w.job(id, "deferrable", 4, true))
			}
			w.run(t, 3*time.Second)
			u := w.job("u", "urgent", 4, true)
			u.Team = "blue"
			w.submit(t, u)
			submittedAt := w.now
			for w.workers.Starts("u") == 0 && w.now.Sub(submittedAt) < time.Minute {
				w.run(t, 250*time.Millisecond)
			}
			check.True(t, "urgent start within 8.7 s: "+w.now.Sub(submittedAt).String(), w.now.Sub(submittedAt) <= 8700*time.Millisecond)
			w.run(t, 4*time.Minute)
			w.expectState(t, "a", succeeded)
			w.expectState(t, "b", succeeded)
			check.Equal(t, "overcommitted workers", len(w.workers.Overcommitted()), 0)
		})
	}
}

// A mass cancellation must take a single write, and none of the jobs may start afterwards.
func TestMassCancellation(t *testing.T) {
	w := newFixture(1)
	var ids []string
	for i := range 200 {
		j := w.job("j"+string(rune('A'+i/20))+string(rune('a'+i%20)), "deferrable", 4, true)
		w.submit(t, j)
		ids = append(ids, j.ID)
	}
	w.run(t, time.Second)
	puts := w.store.Calls()["put"]
	check.NoError(t, w.intake.Cancel(context.Background(), "a", ids))
	check.Equal(t, "writes to accept the cancellation", w.store.Calls()["put"]-puts, 1)
	w.run(t, 250*time.Millisecond)
	started := 0
	for _, id := range ids {
		started += w.workers.Starts(id)
	}
	w.run(t, 20*time.Second)
	for _, id := range ids {
		w.expectState(t, id, cancelled)
		started -= w.workers.Starts(id)
	}
	check.Equal(t, "starts after the cancellation", started, 0)
}

// A worker on which all jobs fail must be quarantined early, so that few attempts are lost, and released once it works again.
func TestBadWorkerIsQuarantined(t *testing.T) {
	w := newFixture(4)
	w.workers.SetFaults("w0", standin.WorkerFaults{FailAll: true})
	for i := range 60 {
		j := w.job("j"+string(rune('a'+i/10))+string(rune('0'+i%10)), []string{"standard", "deferrable"}[i%2], 1, true)
		w.submit(t, j)
	}
	w.run(t, 3*time.Minute)
	lost := 0
	for id := range w.submitted {
		w.expectState(t, id, succeeded)
		lost += w.load(t, id).Failures
	}
	check.True(t, "few attempts lost to the bad worker: "+strconv.Itoa(lost), lost <= 8)
	w.workers.SetFaults("w0", standin.WorkerFaults{})
	w.run(t, 5*time.Minute)
	for i := range 8 {
		w.submit(t, w.job("p"+string(rune('a'+i)), "standard", 4, true))
		w.run(t, 12*time.Second)
	}
	check.Equal(t, "quarantined", w.holder.tracker.Quarantined("a"), 0)
}
