//go:build knownred

package dispatch_test

import (
	"testing"
	"time"
)

// Guards against a start that a lost holder sends to a worker before it learns that the worker restarted: the answer to its last hold is
// lost with the earlier incarnation, and it reaches no other worker that could report its loss.
func TestKnownGapStartForAnEarlierIncarnation(t *testing.T) {
	runLosses(t, "restarted", reachable, func(s *scenario) {
		s.at(s.secondBegan(), func() { s.first.answersLost, s.first.unreachable = true, s.spare })
		at := s.secondBegan().Add(250 * time.Millisecond)
		s.at(at, func() { s.restart(s.subject); s.subject.disconnected = true })
		s.at(at.Add(50*time.Millisecond), func() { s.announce(s.first) })
	})
}

// Guards against a start that a holder has prepared before it was paused and sends once it resumes, to a new incarnation of the worker.
func TestKnownGapStartSentAfterAPause(t *testing.T) {
	runLosses(t, "restarted", []string{"paused at a renewal"}, func(s *scenario) {
		s.at(afterLoss(-100*time.Millisecond), func() { s.lateStarts = true; s.announce(s.first) })
		restarted := s.secondBegan().Add(takeover + countedLongestLease + time.Second)
		s.at(lossAt, func() {
			s.subject.disconnected = true
			for i := range s.orders {
				s.orders[i].at, s.orders[i].incarnation = restarted.Add(50*time.Millisecond), s.subject.Incarnation+1
			}
		})
		s.at(restarted, func() { s.restart(s.subject) })
	})
}
