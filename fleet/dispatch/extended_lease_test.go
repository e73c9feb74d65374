package dispatch_test

import (
	"testing"
	"time"
)

// Guards against a second start of a task by a holder that gives up an unresponsive worker when its lease should have ended, although that
// worker has reported to the holder's successor, which extended its lease.
func TestHolderDoesNotGiveUpAWorkerThatReportsToItsSuccessor(t *testing.T) {
	s := newScenario(t, "planned, then disconnected from the store")
	s.lossReported = true
	s.at(afterLoss(-3*time.Second), func() { s.store(); s.announce(s.first) })
	s.at(lossAt, func() { s.leave(s.first) })
	began := s.beginAt(afterLoss(20 * time.Millisecond))
	var second *scenarioHolder
	s.at(began, func() {
		second = s.newest
		second.unreachable, second.pool.AwaitConfirmation = s.subject, true
	})
	third := s.beginAt(began.Add(3400 * time.Millisecond))
	s.at(third, func() {
		// The last confirmation of the second holder's duty comes as late as possible.
		second.pool.DutyConfirmed(third)
		second.storeLost = true
		s.newest.unreachable = s.spare
	})
	// The other worker reports to the third holder 0.3 s after the first one.
	s.at(third.Add(300*time.Millisecond), func() { s.newest.unreachable = nil })
	s.at(third.Add(lostOrders), func() { s.end(second) })
	s.run(afterLoss(14 * time.Second))
}
