//go:build knownred

package dispatch_test

import (
	"testing"
	"time"
)

// runKnownGap simulates scenarios of each loss in which the successor's confirmation is not sufficient.
func runKnownGap(t *testing.T, state string, names []string, schedule func(s *scenario)) {
	t.Helper()
	for _, name := range names {
		t.Run(name+"/"+state, func(t *testing.T) {
			s := newScenario(t, "ordered at the last moment")
			s.lossReported = true
			lossByName(name).variants[0](s)
			s.at(afterLoss(-3*time.Second), s.store)
			schedule(s)
			s.run(afterLoss(14 * time.Second))
		})
	}
}

// reachable are the losses after which the lost holder may give orders and was not paused: after a pause it gives none before its duty is
// confirmed.
var reachable = lostButAlive[1:]

// Guards against a start that a lost holder sends to a worker before it learns that the worker restarted: the answer to its last hold is
// lost with the earlier incarnation, and it reaches no other worker that could report its loss.
func TestKnownGapStartForAnEarlierIncarnation(t *testing.T) {
	runKnownGap(t, "restarted", reachable, func(s *scenario) {
		s.at(s.secondBegan(), func() { s.first.answersLost, s.first.unreachable = true, s.spare })
		at := s.secondBegan().Add(250 * time.Millisecond)
		s.at(at, func() { s.restart(s.subject); s.subject.disconnected = true })
		s.at(at.Add(50*time.Millisecond), func() { s.announce(s.first) })
	})
}

// Guards against a run that lasts longer than each holder's leases: a new incarnation accepts the lease end on the earlier incarnation's
// clock, shortened to the longest lease that workers grant. The lost holder reaches only this worker, which the successors do not reach.
func TestKnownGapLeaseEndOfAnEarlierIncarnation(t *testing.T) {
	runKnownGap(t, "restarted", append([]string{"planned"}, reachable...), func(s *scenario) {
		s.at(lossAt, func() { s.subject.disconnected, s.first.unreachable = true, s.spare })
		s.at(s.lostUntil.Add(-300*time.Millisecond), func() { s.restart(s.subject); s.first.answersLost = true })
		s.at(s.lostUntil.Add(-100*time.Millisecond), func() { s.announce(s.first) })
	})
}

// Guards against a start that a holder has prepared before it was paused and sends once it resumes, to a new incarnation of the worker.
func TestKnownGapStartSentAfterAPause(t *testing.T) {
	runKnownGap(t, "restarted", []string{"paused at a renewal"}, func(s *scenario) {
		s.at(afterLoss(-100*time.Millisecond), func() { s.lateStarts = true; s.announce(s.first) })
		restarted := s.secondBegan().Add(takeover + countedLease + time.Second)
		s.at(lossAt, func() {
			s.subject.disconnected = true
			for i := range s.orders {
				s.orders[i].at, s.orders[i].incarnation = restarted.Add(50*time.Millisecond), s.subject.Incarnation+1
			}
		})
		s.at(restarted, func() { s.restart(s.subject) })
	})
}
