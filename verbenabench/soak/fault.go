package soak

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"verbenalanding.example/platform/standin"
)

// faultPause is the mean time between two faults, which may overlap.
const faultPause = 500 * time.Millisecond

// fault begins and, after its time, ends; run, where set, plays the time in between.
type fault struct {
	name  string
	begin func()
	end   func()
	run   func(ctx context.Context) error
	lasts time.Duration
}

// injectAll injects faults until their time is over; those that are open then end first.
func (s *Soak) injectAll(ctx context.Context, random *rand.Rand) error {
	group, groupCtx := errgroup.WithContext(ctx)
	for end := time.Now().Add(s.Duration); time.Now().Before(end); {
		for _, f := range s.draw(random) {
			s.book.note(fmt.Sprintf("fault %s for %v", f.name, f.lasts.Round(time.Millisecond)), &s.book.faults)
			if f.begin != nil {
				f.begin()
			}
			group.Go(func() error { return f.play(groupCtx) })
		}
		if err := sleep(ctx, time.Duration(random.ExpFloat64()*float64(faultPause))); err != nil {
			return err
		}
	}
	return group.Wait()
}

// play waits for the end of a fault that has begun.
func (f *fault) play(ctx context.Context) error {
	run := f.run
	if run == nil {
		run = func(ctx context.Context) error { return sleep(ctx, f.lasts) }
	}
	err := run(ctx)
	if f.end != nil {
		f.end()
	}
	return err
}

// draw chooses the faults that begin next: one, or several that harm a take-over together.
func (s *Soak) draw(random *rand.Rand) []fault {
	lasts := time.Duration(200+random.IntN(3300)) * time.Millisecond
	switch random.IntN(31) {
	case 14, 15:
		return s.turnoverFaults(random)
	case 16:
		return []fault{s.stopsInSeries(random)}
	case 17:
		return []fault{s.holdersLost(random, anyPool(random), lasts)}
	case 18, 19:
		p := s.processes[random.IntN(len(s.processes))]
		f := connectionFault(mode(random.IntN(modes)), lasts, slices.Collect(maps.Values(p.peers))...)
		f.name = p.settings.Node + "'s peers: " + f.name
		return []fault{f}
	case 26, 27, 28:
		return []fault{s.pairFault(random, lasts)}
	case 29, 30:
		return s.allKilled(random)
	case 20:
		return []fault{s.registrationsLapse(random, lasts)}
	case 21, 22:
		return s.joinFaults(random)
	case 23, 24, 25:
		return []fault{s.unreadHandover(random)}
	}
	return []fault{s.drawOne(random, lasts)}
}

// drawOne chooses a fault of one part.
func (s *Soak) drawOne(random *rand.Rand, lasts time.Duration) fault {
	p := s.processes[random.IntN(len(s.processes))]
	node := p.settings.Node
	switch random.IntN(14) {
	case 0:
		return fault{name: "kill " + node, begin: func() { p.signal(syscall.SIGKILL) }}
	case 1:
		return fault{name: "terminate " + node, begin: func() { p.signal(syscall.SIGTERM) }}
	case 2, 3:
		return fault{name: "pause " + node, lasts: lasts, begin: func() { p.signal(syscall.SIGSTOP) }, end: func() { p.signal(syscall.SIGCONT) }}
	case 4, 5:
		m := mode(1 + random.IntN(modes-1))
		return fault{name: fmt.Sprintf("store %v for %s", m, node), lasts: lasts, begin: func() { p.store.set(m) }, end: func() { p.store.set(pass) }}
	case 6:
		return s.storeFault(random, lasts)
	case 7:
		return fault{name: "history forgotten", begin: s.platform.Store.Compact}
	case 8:
		return fault{name: "configuration", begin: s.configure}
	case 9, 10, 11:
		return s.workerFault(random, lasts)
	case 12:
		return fault{name: "wave", begin: s.askWave}
	}
	return s.workerWaysFault(random, mode(random.IntN(modes)), lasts)
}

// connectionFault harms the connections of some proxies.
func connectionFault(m mode, lasts time.Duration, proxies ...*proxy) fault {
	if m == pass {
		return fault{name: "connections reset", begin: func() {
			for _, w := range proxies {
				w.resetAll()
			}
		}}
	}
	set := func(m mode) {
		for _, w := range proxies {
			w.set(m)
		}
	}
	return fault{name: fmt.Sprintf("connections %v", m), lasts: lasts, begin: func() { set(m) }, end: func() { set(pass) }}
}

func (s *Soak) storeFault(random *rand.Rand, lasts time.Duration) fault {
	faults := append([]standin.Faults{{Refuse: true}, {Delay: 200 * time.Millisecond}, {DropEvents: true}}, unanswered...)
	return s.storeFails(faults[random.IntN(len(faults))], lasts)
}

// storeFails has the store fail; where such faults overlap, the last one holds until its own end.
func (s *Soak) storeFails(f standin.Faults, lasts time.Duration) fault {
	turn := 0
	return fault{
		name: fmt.Sprintf("store %+v", f), lasts: lasts,
		begin: func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.storeTurn++
			turn = s.storeTurn
			s.platform.Store.SetFaults(f)
		},
		end: func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.storeTurn == turn {
				s.platform.Store.SetFaults(standin.Faults{})
			}
		},
	}
}

// workerFault chooses a fault of one machine's worker.
func (s *Soak) workerFault(random *rand.Rand, lasts time.Duration) fault {
	machines := s.platform.Machines()
	id := machines[random.IntN(len(machines))]
	trouble := func(name string, t standin.WorkerFaults) fault {
		return fault{
			name: name + " on " + id, lasts: lasts,
			begin: func() { s.platform.SetWorkerFaults(id, t) }, end: func() { s.platform.SetWorkerFaults(id, standin.WorkerFaults{}) },
		}
	}
	tell := func(err error) {
		if err != nil {
			s.book.note(id+": "+err.Error(), nil)
		}
	}
	switch random.IntN(6) {
	case 0:
		return fault{name: "worker crash on " + id, begin: func() { tell(s.platform.CrashWorker(id)) }}
	case 1:
		return fault{name: "worker restart on " + id, begin: func() { s.platform.RestartWorker(id) }}
	case 2:
		return fault{
			name: "machine lost: " + id, lasts: lasts,
			begin: func() { s.platform.LoseMachine(id) }, end: func() { tell(s.platform.RecoverMachine(id)) },
		}
	case 3:
		return trouble("late starts", standin.WorkerFaults{StartDelay: time.Duration(400+random.IntN(3000)) * time.Millisecond})
	case 4:
		return trouble("failing worker", standin.WorkerFaults{FailRuns: true})
	}
	return trouble("silent worker", standin.WorkerFaults{Unresponsive: true})
}
