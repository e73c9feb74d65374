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
	switch random.IntN(12) {
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
	case 9:
		machines := s.platform.Machines()
		id := machines[random.IntN(len(machines))]
		return fault{name: "worker crash on " + id, begin: func() {
			if err := s.platform.Crash(id); err != nil {
				s.book.note("crash of "+id+": "+err.Error(), nil)
			}
		}}
	case 10:
		machines := s.platform.Machines()
		id := machines[random.IntN(len(machines))]
		return fault{
			name: "worker silent on " + id, lasts: lasts,
			begin: func() { s.platform.Silence(id, true) }, end: func() { s.platform.Silence(id, false) },
		}
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
	faults := []standin.Faults{{Refuse: true}, {LoseAnswers: 0.3}, {Delay: 200 * time.Millisecond}}
	f := faults[random.IntN(len(faults))]
	return fault{
		name: fmt.Sprintf("store %+v", f), lasts: lasts,
		begin: func() { s.platform.Store.SetFaults(f) }, end: func() { s.platform.Store.SetFaults(standin.Faults{}) },
	}
}
