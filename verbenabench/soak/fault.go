package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"verbenalanding.example/platform/standin"
)

// faultPause is the mean time between two faults, which may overlap.
const faultPause = 500 * time.Millisecond

// fault begins and, after its time, ends.
type fault struct {
	name  string
	begin func()
	end   func()
	lasts time.Duration
}

// injectAll injects faults until their time is over; those that are open then end first.
func (s *Soak) injectAll(ctx context.Context, random *rand.Rand) error {
	group, groupCtx := errgroup.WithContext(ctx)
	for end := time.Now().Add(s.Duration); time.Now().Before(end); {
		f := s.draw(random)
		s.book.note(fmt.Sprintf("fault %s for %v", f.name, f.lasts.Round(time.Millisecond)), &s.book.faults)
		f.begin()
		group.Go(func() error {
			err := sleep(groupCtx, f.lasts)
			if f.end != nil {
				f.end()
			}
			return err
		})
		if err := sleep(ctx, time.Duration(random.ExpFloat64()*float64(faultPause))); err != nil {
			return err
		}
	}
	return group.Wait()
}

// draw chooses a fault.
func (s *Soak) draw(random *rand.Rand) fault {
	p := s.processes[random.IntN(len(s.processes))]
	lasts := time.Duration(200+random.IntN(3300)) * time.Millisecond
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
		return fault{name: "history forgotten", begin: s.platform.Store.Forget}
	case 8:
		return fault{name: "configuration", begin: s.configure}
	case 9, 10, 11:
		return s.workerFault(random, lasts)
	case 12:
		return fault{name: "wave", begin: s.askWave}
	}
	s.mu.Lock()
	w := s.proxies[random.IntN(len(s.proxies))]
	s.mu.Unlock()
	m := mode(random.IntN(modes))
	if m == pass {
		return fault{name: "connections reset", begin: w.resetAll}
	}
	return fault{name: fmt.Sprintf("connections %v", m), lasts: lasts, begin: func() { w.set(m) }, end: func() { w.set(pass) }}
}

func (s *Soak) storeFault(random *rand.Rand, lasts time.Duration) fault {
	faults := []standin.Faults{{Refuse: true}, {LoseAnswers: 0.3}, {Delay: 200 * time.Millisecond}, {Deaf: true}}
	f := faults[random.IntN(len(faults))]
	return fault{
		name: fmt.Sprintf("store %+v", f), lasts: lasts,
		begin: func() { s.platform.Store.SetFaults(f) }, end: func() { s.platform.Store.SetFaults(standin.Faults{}) },
	}
}

// workerFault chooses a fault of one machine's worker.
func (s *Soak) workerFault(random *rand.Rand, lasts time.Duration) fault {
	machines := s.platform.Machines()
	id := machines[random.IntN(len(machines))]
	trouble := func(name string, t standin.Trouble) fault {
		return fault{
			name: name + " on " + id, lasts: lasts,
			begin: func() { s.platform.SetTrouble(id, t) }, end: func() { s.platform.SetTrouble(id, standin.Trouble{}) },
		}
	}
	tell := func(err error) {
		if err != nil {
			s.book.note(id+": "+err.Error(), nil)
		}
	}
	switch random.IntN(6) {
	case 0:
		return fault{name: "worker crash on " + id, begin: func() { tell(s.platform.Crash(id)) }}
	case 1:
		return fault{name: "worker restart on " + id, begin: func() { s.platform.Restart(id) }}
	case 2:
		return fault{
			name: "machine lost: " + id, lasts: lasts,
			begin: func() { s.platform.Lose(id) }, end: func() { tell(s.platform.Recover(id)) },
		}
	case 3:
		return trouble("late starts", standin.Trouble{Late: time.Duration(400+random.IntN(3000)) * time.Millisecond})
	case 4:
		return trouble("failing worker", standin.Trouble{Failing: true})
	}
	return trouble("silent worker", standin.Trouble{Silent: true})
}
