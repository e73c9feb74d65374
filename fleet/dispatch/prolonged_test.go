package dispatch_test

import (
	"testing"
	"time"
)

// Guards against a second start of a task by a holder that gives up an unheard worker by the clock, after its own successor has heard
// that worker and prolonged its lease.
func TestUnheardWorkerIsHeardByTheNextHolder(t *testing.T) {
	s := newScene(t, "planned, then cut from the store")
	s.told = true
	s.at(afterLoss(-3*time.Second), func() { s.store(); s.tell(s.first) })
	s.at(lossAt, func() { s.leave(s.first) })
	began := s.beginAt(afterLoss(20 * time.Millisecond))
	var second *sceneHolder
	s.at(began, func() {
		second = s.newest
		second.cutFrom, second.pool.AwaitConfirmation = s.suspect, true
	})
	third := s.beginAt(began.Add(3400 * time.Millisecond))
	s.at(third, func() {
		// The last proof of the second holder's duty is as late as it can be.
		second.pool.DutyConfirmed(third)
		second.apart = true
		s.newest.cutFrom = s.spare
	})
	// The third holder hears the other worker 0.3 s after the first one.
	s.at(third.Add(300*time.Millisecond), func() { s.newest.cutFrom = nil })
	s.at(third.Add(lostOrders), func() { s.end(second) })
	s.run(afterLoss(14 * time.Second))
}
