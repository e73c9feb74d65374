package dispatch_test

import (
	"slices"
	"testing"
	"time"
)

// Guards against a task that runs twice because the successors do not know of the worker that runs it: its registration has lapsed, and
// there is no list of machines.
func TestSuccessorWithoutAListOfMachinesKnowsWorkersWhoseRegistrationLapsed(t *testing.T) {
	for _, l := range losses {
		if l.complete {
			continue
		}
		t.Run(l.name+"/registration lapsed", func(t *testing.T) {
			s := newUnlistedScenario(t, "started before")
			s.lossReported = true
			l.variants[0](s)
			at := beforeLastTakeover(s)
			if s.lostUntil.After(lossAt) {
				at = s.secondBegan().Add(-20 * time.Millisecond)
			}
			lapseRegistration(s, at)
			origins[0].offer(s, workerState{}, l)
			s.run(afterLoss(14 * time.Second))
		})
	}
}

// recordingBench returns a bench whose pool records its workers, with one worker and one job.
func recordingBench(t *testing.T) *bench {
	b := newBench(t, 1)
	b.pool.RecordWorkers = true
	b.addWorker("w0")
	b.addJob("j", oneTask(1000))
	b.plan()
	wantCount(t, "starts before a record names the worker", len(b.starts), 0)
	return b
}

func (b *bench) wantRecorded(want ...string) {
	b.t.Helper()
	known, changed := b.pool.KnownWorkers(b.now)
	if !changed || !slices.Equal(known, want) {
		b.t.Errorf("known workers: got %v, changed %v, want %v to be written", known, changed, want)
	}
	b.pool.KnownWorkersRecorded(known)
}

// Guards against a start on a worker that a successor without a list of machines would not know.
func TestNoStartBeforeTheWorkerIsRecorded(t *testing.T) {
	b := recordingBench(t)
	b.wantRecorded("w0")
	b.plan()
	wantCount(t, "starts", len(b.starts), 1)
	if known, changed := b.pool.KnownWorkers(b.now); changed {
		t.Errorf("known workers: got a change to %v, want none", known)
	}
}

// Guards against a start on a worker that comes back while an unanswered write may have removed it from the record.
func TestWorkerThatMayBeOutOfTheRecordIsRecordedAgain(t *testing.T) {
	b := recordingBench(t)
	b.wantRecorded("w0")
	b.pool.WorkerEnded("w0", "no longer running on its machine")
	if known, changed := b.pool.KnownWorkers(b.now); !changed || len(known) > 0 {
		t.Errorf("known workers: got %v, changed %v, want none to be written", known, changed)
	}
	b.pool.WorkerDeregistered("w0", b.now)
	b.addWorker("w0")
	b.report()
	b.plan()
	wantCount(t, "starts before the worker is named again", len(b.starts), 0)
	b.wantRecorded("w0")
	b.plan()
	wantCount(t, "starts once the worker is named", len(b.starts), 1)
}

// Guards against a second successor that does not know of a worker which the first one knew.
func TestKnownWorkersAreRecordedUntilTheirLeasesHaveEnded(t *testing.T) {
	b := newBench(t, 1)
	b.pool.RecordWorkers = true
	b.pool.InheritKnownWorkers([]string{"w9"})
	b.addWorker("w0")
	b.wantRecorded("w0", "w9")
	b.advance(priorLeases)
	b.wantRecorded("w0")
}
