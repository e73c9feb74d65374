package dispatch_test

import (
	"slices"
	"testing"
	"time"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/workload"
)

// runLosses simulates a scenario after each of the named losses of the first holder.
func runLosses(t *testing.T, state string, names []string, schedule func(s *scenario)) {
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

// Guards against a run that lasts longer than each holder's leases: a new incarnation accepts the lease end on the earlier incarnation's
// clock, shortened to the longest lease that workers grant. The lost holder reaches only this worker, which the successors do not reach.
func TestLeaseEndOfAnEarlierIncarnation(t *testing.T) {
	runLosses(t, "restarted", append([]string{"planned"}, reachable...), func(s *scenario) {
		s.at(lossAt, func() { s.subject.disconnected, s.first.unreachable = true, s.spare })
		s.at(s.lostUntil.Add(-300*time.Millisecond), func() { s.restart(s.subject); s.first.answersLost = true })
		s.at(s.lostUntil.Add(-100*time.Millisecond), func() { s.announce(s.first) })
	})
}

// Guards against a start that a lost holder sends to a worker before it learns that the worker restarted: the answer to its last hold is
// lost with the earlier incarnation, and it reaches no other worker that could report its loss.
func TestStartForAnEarlierIncarnationOfALostHolder(t *testing.T) {
	runLosses(t, "restarted", reachable, func(s *scenario) {
		s.identified = true
		s.at(s.secondBegan(), func() { s.first.answersLost, s.first.unreachable = true, s.spare })
		at := s.secondBegan().Add(250 * time.Millisecond)
		s.at(at, func() { s.restart(s.subject); s.subject.disconnected = true })
		s.at(at.Add(50*time.Millisecond), func() { s.announce(s.first) })
	})
}

// Guards against a start that a holder has prepared before it was paused and sends once it resumes, to a new incarnation of the worker.
func TestStartSentAfterAPauseToARestartedWorker(t *testing.T) {
	runLosses(t, "restarted", []string{"paused at a renewal"}, func(s *scenario) {
		s.identified = true
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

// startAnswers are the ways in which a new incarnation may answer a start that was meant for the earlier one.
var startAnswers = []struct {
	name string
	set  func(*scenario)
}{
	{"answer names the incarnation", func(*scenario) {}},
	{"answer does not name the incarnation", func(s *scenario) { s.anonymousAnswers = true }},
	{"answer is lost", func(s *scenario) { s.startAnswersLost = true }},
	{"start is carried out late", func(s *scenario) { s.lateStarts = true }},
}

// restartUnnoticed restarts the subject and offers it the task before the first holder learns of the restart. The answers to holds are lost, and
// after the start nothing reaches the worker.
func (s *scenario) restartUnnoticed(at time.Time) {
	s.at(at.Add(-time.Second), s.store)
	s.at(at, func() { s.restart(s.subject); s.first.answersLost = true })
	s.at(at.Add(20*time.Millisecond), func() { s.announce(s.first) })
	s.at(at.Add(100*time.Millisecond), func() { s.first.unreachable, s.subject.disconnected = s.subject, true })
}

// Guards against a second run of a task that a new incarnation of its worker accepted, with a longer lease than its holder granted, before the
// holder or one of its successors learnt of the restart: the worker is disconnected and has not registered again.
func TestRunOnAnUnnoticedIncarnation(t *testing.T) {
	const (
		// longestWait is how long a task may have to wait for such a run.
		longestWait = maxOrderDelay + countedLongestLease + promptLimit
		settled     = longestWait + 2*time.Second
	)
	for _, c := range []struct {
		name string
		// lose ends the holder that sent the start; lastBegan is when its last successor began.
		lose func(s *scenario)
	}{
		{"same holder", func(s *scenario) {
			s.at(afterLoss(100*time.Millisecond), func() {
				s.first.answersLost, s.lateStarts = false, false
				s.first.pool.Cordon(s.spare.ID, false)
			})
			s.lastBegan = lossAt
		}},
		{"planned", func(s *scenario) {
			s.at(afterLoss(150*time.Millisecond), func() { s.leave(s.first) })
			s.beginAt(afterLoss(200 * time.Millisecond))
		}},
		{"planned twice", func(s *scenario) {
			s.at(afterLoss(150*time.Millisecond), func() { s.leave(s.first) })
			s.beginAt(afterLoss(200 * time.Millisecond))
			s.at(afterLoss(2*time.Second), func() { s.leave(s.newest) })
			s.beginAt(afterLoss(2050 * time.Millisecond))
		}},
	} {
		for _, a := range startAnswers {
			t.Run(c.name+"/"+a.name, func(t *testing.T) {
				s := newScenario(t, "unnoticed restart")
				a.set(s)
				s.restartUnnoticed(lossAt)
				c.lose(s)
				s.run(s.lastBegan.Add(longestWait))
				s.wantTaskRunByLastHolder()
				s.run(s.lastBegan.Add(settled))
			})
		}
	}
}

// Guards against a worker whose lease a successor counts too short: a hold of the holder before was meant for the clock of the earlier
// incarnation, and the successor's first task there runs until that lease ends.
func TestSuccessorCountsTheLongestLeaseOfAWorkerThatReports(t *testing.T) {
	s := newScenario(t, "extended by the holder before")
	s.at(afterLoss(-200*time.Millisecond), func() { s.restart(s.subject); s.first.answersLost = true })
	// Only the successor learns of the new registration.
	s.at(lossAt, func() { s.leave(s.first); s.registered[s.subject.ID] = s.subject.Worker })
	began := s.beginAt(afterLoss(20 * time.Millisecond))
	s.at(began, func() { s.newest.unreachable = s.spare; s.store(); s.announce(s.newest) })
	s.at(afterLoss(150*time.Millisecond), func() { s.subject.disconnected, s.newest.unreachable = true, nil })
	s.run(afterLoss(12 * time.Second))
	s.wantTaskRunByLastHolder()
	if !slices.ContainsFunc(s.workers, func(w *scenarioWorker) bool { return w == s.spare && w.run != 0 }) {
		t.Errorf("worker of the task: got no run on %s, want one after the lease of %s", s.spare.ID, s.subject.ID)
	}
}

// Guards against a restarted worker that gets no work, and whose runs are given up and taken over again: a registration that the earlier
// incarnation wrote arrives after the restart was noticed, and the next report shows the restart once more.
func TestLateRegistrationOfAnEarlierIncarnationIsIgnored(t *testing.T) {
	b := newBench(t, 2)
	b.advance(priorLeases)
	events := map[string]int{}
	b.pool.OnEvent = func(e dispatch.Event) { events[e.Kind]++ }
	b.addJob("j", oneTask(16000))
	starts, _ := b.orders()
	wantCount(t, "starts", len(starts), 1)
	s := starts[0]
	report := func(clock time.Duration) {
		b.pool.Report(s.Worker.ID, workload.Report{
			Incarnation: 2, Clock: clock, Active: []workload.ActiveRun{{Task: s.Task, Run: s.Run, Percent: int(clock / time.Millisecond)}},
		}, b.now)
	}
	b.pool.StartAnswered(s, dispatch.Present, workload.ClockReading{Incarnation: 2, Clock: 5 * time.Millisecond}, b.now)
	report(10 * time.Millisecond)
	b.pool.SetWorker(s.Worker, b.now)
	current, _ := b.pool.CurrentIncarnation(s.Worker.ID)
	wantCount(t, "current incarnation", int(current.Incarnation), 2)
	report(20 * time.Millisecond)
	wantCount(t, "restarts", events["worker restarted"], 1)
	wantCount(t, "runs given up", events["run lost"], 0)
}
