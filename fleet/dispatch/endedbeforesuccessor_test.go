package dispatch_test

import (
	"testing"
	"time"

	"verbenalanding.example/fleet/workload"
)

// Guards against a superseded holder that starts a task again which has ended as done: its worker reported the end to the successor, which
// noted it, and has then left, moved or restarted. A holder gives orders for up to 2.35 s after the last confirmation of its duty, so that the
// end of a worker, like that of a lease, counts only once the duty is confirmed after it.
func TestEndedWorkerIsGivenUpOnlyOnceTheDutyIsConfirmedAfterwards(t *testing.T) {
	for _, c := range []struct {
		name string
		end  func(b *bench, worker string)
	}{
		{"worker is no longer running on its machine", func(b *bench, worker string) {
			b.pool.IncarnationEnded(workload.Worker{ID: worker, Incarnation: 1}, "no longer running on its machine")
		}},
		{"worker has restarted", func(b *bench, worker string) {
			b.pool.Report(worker, workload.Report{Incarnation: 2, Clock: 10 * time.Millisecond}, b.now)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(t, 2)
			b.pool.AwaitConfirmation = true
			b.advance(priorLeases)
			b.pool.DutyConfirmed(b.now)
			b.addJob("j", oneTask(1000))
			b.plan()
			b.report()
			wantCount(t, "starts", len(b.starts), 1)
			worker := b.workerOf(task("j", 0, 0))
			b.advance(time.Second)
			// The last confirmation of the duty; its successor begins and notes the end of the run.
			b.pool.DutyConfirmed(b.now)
			b.unresponsive[worker] = true
			b.advance(time.Second)
			c.end(b, worker)
			b.advance(time.Second)
			wantCount(t, "starts without a confirmation after the end of the worker", len(b.starts), 1)
			b.pool.DutyConfirmed(b.now)
			b.plan()
			wantCount(t, "starts after it", len(b.starts), 2)
		})
	}
}

// scripted is a source that picks the highest number, unless another one is set.
type scripted struct {
	*testing.T
	choices map[string]int
}

func (s *scripted) pick(name string, low, high int) int {
	if choice, ok := s.choices[name]; ok {
		return min(max(choice, low), high)
	}
	return high
}

// Guards against the same fault in the history that leads to it: the successor notes the end of a run, its worker leaves, for example for an
// upkeep that the successor has ordered, and the superseded holder, which reads only the list of machines, starts the task on a worker that
// has not heard of the successor. Its last confirmation is correct.
func TestSupersededHolderStartsNoDoneTaskOfAWorkerThatHasLeft(t *testing.T) {
	s := &scripted{t, map[string]int{"steps": 1, "tasks": 1, "cpu": 4}}
	m := newModel(s, 2)
	m.addJob()
	m.tick(3)
	first, done, other := m.current, 0, 1
	if len(m.workers[0].runs) == 0 {
		done, other = 1, 0
	}
	w := m.workers[done]
	for _, id := range sortedTasks(w.runs) {
		m.end(w, id, workload.EndDone)
	}
	m.takeOver()
	for began := m.now; m.now.Sub(began) < lostHolderTime; {
		m.advance(100 * time.Millisecond)
		s.choices["reports"] = 1 << done
		m.act(m.current)
		m.record()
		if len(m.acknowledged) > 0 && !w.departed {
			m.depart(w)
		}
		s.choices["reports"] = 1 << other
		m.act(first)
	}
	if !w.departed {
		t.Fatalf("end of the run: got not acknowledged by the successor, want acknowledged")
	}
}
