//go:build knownred

package dispatch_test

import (
	"testing"
	"time"

	"verbenalanding.example/fleet/workload"
)

// playKnownGap plays a course of each loss in which what the successor has is no proof.
func playKnownGap(t *testing.T, state string, names []string, happen func(s *scene)) {
	t.Helper()
	for _, name := range names {
		t.Run(name+"/"+state, func(t *testing.T) {
			s := newScene(t, "ordered at the last moment")
			lossNamed(name).happen[0](s)
			s.at(afterLoss(-3*time.Second), s.store)
			happen(s)
			s.run(afterLoss(14 * time.Second))
		})
	}
}

// Guards against a lost holder that starts a task on a worker which joined after its successor had begun, and had heard all others.
func TestKnownGapWorkerJoins(t *testing.T) {
	playKnownGap(t, "born again", lostButAlive, func(s *scene) {
		join(s, s.secondBegan().Add(300*time.Millisecond))
		s.at(s.lostUntil.Add(-100*time.Millisecond), func() { s.tell(s.first) })
	})
}

// Guards against a start that a lost holder sends to a worker before it has heard that the worker was born again.
func TestKnownGapStartForAnEarlierLife(t *testing.T) {
	playKnownGap(t, "born again", lostButAlive, func(s *scene) {
		at := s.secondBegan().Add(250 * time.Millisecond)
		s.at(at, func() { s.restart(s.suspect); s.suspect.cut, s.first.deaf = true, true })
		s.at(at.Add(50*time.Millisecond), func() { s.tell(s.first) })
	})
}

// Guards against a run that lasts longer than each holder's leases: a new life takes the lease end of the earlier life's clock, shortened to
// the longest lease that workers grant.
func TestKnownGapLeaseEndOfAnEarlierLife(t *testing.T) {
	playKnownGap(t, "born again", append([]string{"planned"}, lostButAlive...), func(s *scene) {
		s.at(lossAt, func() { s.suspect.cut = true })
		s.at(s.lostUntil.Add(-300*time.Millisecond), func() { s.restart(s.suspect); s.first.deaf = true })
		s.at(s.lostUntil.Add(-100*time.Millisecond), func() { s.tell(s.first) })
	})
}

// Guards against the same in a holder that nobody replaces: it counts the lease that it meant to grant.
func TestKnownGapLeaseEndOfAnEarlierLifeForItsOwnHolder(t *testing.T) {
	s := newScene(t, "no loss")
	s.store()
	s.at(afterLoss(-700*time.Millisecond), func() { s.restart(s.suspect) })
	s.at(afterLoss(-500*time.Millisecond), func() { s.tell(s.first) })
	s.at(afterLoss(-400*time.Millisecond), func() { s.first.cutFrom = s.suspect })
	s.at(lossAt, func() { s.first.pool.Cordon(s.spare.ID, false) })
	s.run(afterLoss(8 * time.Second))
}

// Guards against a start that a holder has prepared before it was frozen, and sends after the thaw to a new life of the worker.
func TestKnownGapStartSentAfterAFreeze(t *testing.T) {
	playKnownGap(t, "born again", []string{"frozen at a renewal"}, func(s *scene) {
		s.at(afterLoss(-100*time.Millisecond), func() { s.late = true; s.tell(s.first) })
		restarted := s.secondBegan().Add(takeover + longestLease + time.Second)
		s.at(lossAt, func() {
			s.suspect.cut = true
			for i := range s.orders {
				s.orders[i].at, s.orders[i].born = restarted.Add(50*time.Millisecond), s.suspect.Born+1
			}
		})
		s.at(restarted, func() { s.restart(s.suspect) })
	})
}

// Guards against a task that a successor starts although its run was done: a worker lists 500 ends at once, and the rest of them once
// these are acknowledged.
func TestKnownGapReportThatListsOnlySomeEnds(t *testing.T) {
	const listed = 500
	b := newBench(t, 2)
	b.takeOver()
	other := oneTask(1000)
	other.Tasks = listed
	b.restored("other", other)
	b.restored("j", oneTask(1000))
	b.addWorker("w0")
	b.addWorker("w1")
	b.pool.Report("w1", workload.Report{Born: 1, Clock: b.clock}, b.now)
	r := workload.Report{Born: 1, Clock: b.clock, Partial: true}
	for i := range listed {
		r.Ended = append(r.Ended, workload.EndedRun{Number: int64(i + 1), Task: task("other", 0, i), Run: 1, How: workload.EndDone})
	}
	b.pool.Report("w0", r, b.now)
	starts, _ := b.orders()
	wantCount(t, "starts before all ends were listed", len(starts), 0)
}

// Guards against a worker that nobody knows: it lives, its registration has lapsed after the last record, and there is no list of machines.
func TestKnownGapNoListOfMachines(t *testing.T) {
	for _, l := range losses {
		if l.tells {
			continue
		}
		t.Run(l.name+"/registration lapsed", func(t *testing.T) {
			s := newScene(t, "started before")
			s.unlisted = true
			l.happen[0](s)
			at := beforeLast(s)
			if s.lostUntil.After(lossAt) {
				at = s.secondBegan().Add(-20 * time.Millisecond)
			}
			lapseRegistration(s, at)
			origins[0].offer(s, workerState{}, l)
			s.run(afterLoss(14 * time.Second))
		})
	}
}
