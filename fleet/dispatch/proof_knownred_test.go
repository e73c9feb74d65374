//go:build knownred

package dispatch_test

import (
	"testing"
	"time"
)

// playKnownGap plays a course of each loss in which what the successor has is no proof.
func playKnownGap(t *testing.T, state string, names []string, happen func(s *scene)) {
	t.Helper()
	for _, name := range names {
		t.Run(name+"/"+state, func(t *testing.T) {
			s := newScene(t, "ordered at the last moment")
			s.told = true
			lossNamed(name).happen[0](s)
			s.at(afterLoss(-3*time.Second), s.store)
			happen(s)
			s.run(afterLoss(14 * time.Second))
		})
	}
}

// reachable are the losses after which the lost holder may give orders and did not stand still: after a pause it gives none before its
// duty is proven.
var reachable = lostButAlive[1:]

// Guards against a start that a lost holder sends to a worker before it has heard that the worker was born again: its last hold waits at
// the earlier life, and it reaches no other worker that could tell it of its loss.
func TestKnownGapStartForAnEarlierLife(t *testing.T) {
	playKnownGap(t, "born again", reachable, func(s *scene) {
		s.at(s.secondBegan(), func() { s.first.deaf, s.first.cutFrom = true, s.spare })
		at := s.secondBegan().Add(250 * time.Millisecond)
		s.at(at, func() { s.restart(s.suspect); s.suspect.cut = true })
		s.at(at.Add(50*time.Millisecond), func() { s.tell(s.first) })
	})
}

// Guards against a run that lasts longer than each holder's leases: a new life takes the lease end of the earlier life's clock, shortened to
// the longest lease that workers grant. The lost holder reaches only this worker, which the successors do not reach.
func TestKnownGapLeaseEndOfAnEarlierLife(t *testing.T) {
	playKnownGap(t, "born again", append([]string{"planned"}, reachable...), func(s *scene) {
		s.at(lossAt, func() { s.suspect.cut, s.first.cutFrom = true, s.spare })
		s.at(s.lostUntil.Add(-300*time.Millisecond), func() { s.restart(s.suspect); s.first.deaf = true })
		s.at(s.lostUntil.Add(-100*time.Millisecond), func() { s.tell(s.first) })
	})
}

// Guards against a start that a holder has prepared before it was frozen, and sends after the thaw to a new life of the worker.
func TestKnownGapStartSentAfterAFreeze(t *testing.T) {
	playKnownGap(t, "born again", []string{"frozen at a renewal"}, func(s *scene) {
		s.at(afterLoss(-100*time.Millisecond), func() { s.late = true; s.tell(s.first) })
		restarted := s.secondBegan().Add(takeover + countedLease + time.Second)
		s.at(lossAt, func() {
			s.suspect.cut = true
			for i := range s.orders {
				s.orders[i].at, s.orders[i].born = restarted.Add(50*time.Millisecond), s.suspect.Incarnation+1
			}
		})
		s.at(restarted, func() { s.restart(s.suspect) })
	})
}
