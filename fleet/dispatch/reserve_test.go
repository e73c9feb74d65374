package dispatch_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/workload"
)

// crowded returns a bench whose workers each run four tasks of 4 of their 16 cores, that have just begun and declare a second.
func crowded(t *testing.T, workers int) *bench {
	t.Helper()
	b := newBench(t, workers)
	b.events = map[string]int{}
	b.pool.OnEvent = func(e dispatch.Event) { b.events[e.Kind]++ }
	for i := range 4 * workers {
		b.addJob(fmt.Sprintf("running%02d", i), oneTask(4000))
	}
	b.plan()
	b.report()
	return b
}

// endOn ends a number of runs on a worker.
func (b *bench) endOn(worker string, n int) {
	for _, id := range sortedTasks(b.present[worker]) {
		if n--; n < 0 {
			return
		}
		b.end(worker, id, workload.EndDone)
	}
}

func (b *bench) wantJobStarted(id string, want bool) {
	b.t.Helper()
	if got := slices.ContainsFunc(b.starts, func(s dispatch.Start) bool { return s.Task.Job == id }); got != want {
		b.t.Errorf("%s started: got %v, want %v", id, got, want)
	}
}

func longTask(cpu int64) workload.Step {
	s := oneTask(cpu)
	s.Estimate = 5 * time.Second
	return s
}

// Load: two full workers, a large task that waits, and small ones that arrive for each room that becomes free. Guards against a large task that waits for as
// long as small ones arrive, and against room that is kept from tasks that would not delay it.
func TestLargeTaskGetsTheRoomThatBecomesFree(t *testing.T) {
	b := crowded(t, 2)
	b.addJob("large", oneTask(12000))
	b.advance(400 * time.Millisecond)
	wantCount(t, "reservations", b.events["worker reserved"], 1)
	worker := b.pool.ReservedWorkers()[0]
	b.addJob("small", longTask(3900))
	b.addJob("other", longTask(3900))
	b.endOn(worker, 2)
	b.advance(200 * time.Millisecond)
	t.Run("tasks that fit beside it are started", func(*testing.T) {
		b.wantJobStarted("small", true)
		b.wantJobStarted("other", false)
	})
	t.Run("the explanation names the reservation", func(t *testing.T) {
		e, _ := b.pool.Explain("other", b.now)
		if e.Reason != dispatch.WaitReserved {
			t.Errorf("reason: got %s, want %s", e.Reason, dispatch.WaitReserved)
		}
		e, _ = b.pool.Explain("large", b.now)
		if e.Reason != dispatch.WaitNoCapacity || !strings.Contains(e.Basis, worker) {
			t.Errorf("large task: got %s, %q, want %s and %s", e.Reason, e.Basis, dispatch.WaitNoCapacity, worker)
		}
	})
	t.Run("it starts once the room is free", func(t *testing.T) {
		b.endOn(worker, 2)
		b.advance(200 * time.Millisecond)
		b.wantJobStarted("large", true)
		wantCount(t, "reserved workers", len(b.pool.ReservedWorkers()), 0)
	})
}

// Guards against reservations that keep room from what must not wait for a large task, and against tasks that wait although they would have ended by
// the time at which the large one can start.
func TestReservationDoesNotHoldUp(t *testing.T) {
	urgent := queue
	urgent.Name, urgent.Priority = "urgent", -1
	for name, add := range map[string]func(b *bench){
		"a long-running task": func(b *bench) {
			s := longTask(8000)
			s.LongRunning = true
			b.addJob("other", s)
		},
		"a task of a higher priority": func(b *bench) {
			b.pool.SetQueues([]workload.Queue{queue, urgent})
			b.pool.AddJob(workload.Job{ID: "other", Queue: urgent.Name, Pool: "cutting", Terms: urgent, Steps: []workload.Step{longTask(8000)}, Accepted: b.now}, nil, false, b.now)
		},
		"a task that ends before": func(b *bench) {
			s := oneTask(8000)
			s.Estimate = 50 * time.Millisecond
			b.addJob("other", s)
		},
	} {
		t.Run(name, func(t *testing.T) {
			b := crowded(t, 1)
			b.addJob("large", longTask(16000))
			b.advance(400 * time.Millisecond)
			wantCount(t, "reservations", b.events["worker reserved"], 1)
			b.endOn("w0", 2)
			add(b)
			b.plan()
			b.report()
			b.plan()
			b.wantJobStarted("other", true)
		})
	}
}

// Guards against room that is kept free for good: by an estimate that was wrong, for a worker that takes no starts any more, for a task whose job was
// cancelled, or while more waits than the pool can run.
func TestReservationEnds(t *testing.T) {
	reserved := func(t *testing.T) *bench {
		b := crowded(t, 2)
		b.addJob("large", oneTask(16000))
		b.advance(400 * time.Millisecond)
		wantCount(t, "reservations", b.events["worker reserved"], 1)
		return b
	}
	t.Run("the room is not free in time", func(t *testing.T) {
		b := reserved(t)
		worker := b.pool.ReservedWorkers()[0]
		b.endOn(worker, 2)
		b.addJob("small", longTask(8000))
		b.advance(3 * time.Second)
		if b.events["reservation released"] == 0 {
			t.Error("reservations released: got none, want one")
		}
		b.wantJobStarted("small", true)
	})
	t.Run("the worker drains", func(t *testing.T) {
		b := reserved(t)
		worker := b.pool.ReservedWorkers()[0]
		b.pool.SetWorker(workload.Worker{ID: worker, Pool: "cutting", Rack: "r1", Capacity: workload.Resources{CPU: 16000, MemoryMB: 64000}, Incarnation: 1, Draining: true}, b.now)
		b.plan()
		if slices.Contains(b.pool.ReservedWorkers(), worker) {
			t.Errorf("reserved workers: got %v, want them without %s", b.pool.ReservedWorkers(), worker)
		}
	})
	t.Run("its job is cancelled", func(t *testing.T) {
		b := reserved(t)
		b.pool.Cancel("large", b.now)
		b.plan()
		wantCount(t, "reserved workers", len(b.pool.ReservedWorkers()), 0)
	})
	t.Run("none while more waits than half of the pool", func(t *testing.T) {
		b := crowded(t, 2)
		b.addJob("large", oneTask(16000))
		for i := range 8 {
			b.addJob(fmt.Sprintf("small%d", i), longTask(4000))
		}
		b.advance(400 * time.Millisecond)
		wantCount(t, "reservations", b.events["worker reserved"], 0)
	})
	t.Run("none if it is switched off", func(t *testing.T) {
		b := crowded(t, 2)
		b.pool.Settings.LargeTask = dispatch.Never
		b.addJob("large", oneTask(16000))
		b.advance(400 * time.Millisecond)
		wantCount(t, "reservations", b.events["worker reserved"], 0)
	})
}

// Load: a gang of which only one task may run on each worker, and small tasks that arrive for each room that becomes free. Guards against a gang that never
// finds all its places free at the same time.
func TestGangGetsAReservationOnEachWorker(t *testing.T) {
	b := crowded(t, 16)
	b.addJob("gang", workload.Step{Tasks: 2, Need: workload.Resources{CPU: 12000, MemoryMB: 100}, Estimate: time.Second, Gang: true, MaxPerWorker: 1})
	b.advance(400 * time.Millisecond)
	reserved := b.pool.ReservedWorkers()
	wantCount(t, "reserved workers", len(reserved), 2)
	b.endOn(reserved[0], 3)
	b.addJob("small", longTask(8000))
	b.advance(100 * time.Millisecond)
	b.wantJobStarted("small", false)
	b.endOn(reserved[1], 3)
	b.advance(100 * time.Millisecond)
	b.wantJobStarted("gang", true)
}

// Guards against deployments without large tasks that are planned otherwise than before.
func TestPlansWithoutLargeTasksAreTheSame(t *testing.T) {
	for seed := range uint64(8) {
		play := func(large float64) (starts []string) {
			b := newBench(t, 6)
			b.pool.Settings.LargeTask = large
			r := rand.New(rand.NewPCG(seed, 1))
			for i := range 200 {
				s := oneTask(int64(200 + r.IntN(3700)))
				s.Tasks, s.Estimate = 1+r.IntN(8), time.Duration(100+r.IntN(2000))*time.Millisecond
				b.addJob(fmt.Sprintf("j%03d", i), s)
				for _, id := range b.pool.WorkerIDs() {
					b.endOn(id, r.IntN(3))
				}
				b.advance(50 * time.Millisecond)
			}
			for _, s := range b.starts {
				starts = append(starts, fmt.Sprint(s))
			}
			return starts
		}
		got, want := play(0.25), play(dispatch.Never)
		if len(want) < 500 || !slices.Equal(got, want) {
			t.Errorf("seed %d: got %d starts that differ from the %d without reservations, want the same ones", seed, len(got), len(want))
		}
	}
}

// Load: a pool in which more waits than it can run, for longer than any caller waits. Guards against a large task that never starts because the order keeps it
// behind all small ones.
func TestOverdueLargeTaskGetsAReservationWhateverWaits(t *testing.T) {
	b := crowded(t, 2)
	for i := range 12 {
		b.addJob(fmt.Sprintf("first%02d", i), oneTask(3900))
	}
	b.addJob("large", oneTask(16000))
	small := 0
	busy := func(d time.Duration) {
		for end := b.now.Add(d); b.now.Before(end); {
			for range 4 {
				b.addJob(fmt.Sprintf("small%04d", small), oneTask(3900))
				small++
			}
			for _, id := range b.pool.WorkerIDs() {
				b.endOn(id, 1)
			}
			b.advance(200 * time.Millisecond)
		}
	}
	busy(10 * time.Second)
	b.wantJobStarted("large", false)
	wantCount(t, "reservations before it is overdue", b.events["worker reserved"], 0)
	busy(10 * time.Second)
	b.wantJobStarted("large", true)
}
