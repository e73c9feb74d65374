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

// faultInterval is the mean time between two faults, which may overlap.
const faultInterval = 500 * time.Millisecond

// fault is a fault that begin starts and end ends after its duration. If run is set, it replaces the wait in between.
type fault struct {
	name     string
	begin    func()
	end      func()
	run      func(ctx context.Context) error
	duration time.Duration
	// alone is true for a fault that begins once all others have ended, and during which no other begins.
	alone bool
}

// injectAll injects faults until their time is over, and returns once the active ones have ended. The time of faults that are alone is added.
func (s *Soak) injectAll(ctx context.Context, random *rand.Rand) error {
	// A fault returns an error if the context has ended, or if it has broken a promise.
	var group errgroup.Group
	for end := time.Now().Add(s.Duration); time.Now().Before(end); {
		for _, f := range s.drawFaults(random) {
			if f.alone {
				_ = group.Wait()
				end = end.Add(f.duration)
			}
			s.record.note(fmt.Sprintf("fault %s for %v", f.name, f.duration.Round(time.Millisecond)), &s.record.faults)
			if f.begin != nil {
				f.begin()
			}
			group.Go(func() error { return f.runToEnd(ctx) })
			if f.alone {
				_ = group.Wait()
			}
		}
		if err := sleep(ctx, time.Duration(random.ExpFloat64()*float64(faultInterval))); err != nil {
			return err
		}
	}
	return group.Wait()
}

// runToEnd runs a fault that has begun, and ends it.
func (f *fault) runToEnd(ctx context.Context) error {
	run := f.run
	if run == nil {
		run = func(ctx context.Context) error { return sleep(ctx, f.duration) }
	}
	err := run(ctx)
	if f.end != nil {
		f.end()
	}
	return err
}

// drawFaults chooses the next faults: one, or several that disturb a takeover together.
func (s *Soak) drawFaults(random *rand.Rand) []fault {
	duration := time.Duration(200+random.IntN(3300)) * time.Millisecond
	switch random.IntN(37) {
	case 14, 15:
		return s.takeoverFaults(random)
	case 16:
		return []fault{s.stopsInSeries(random)}
	case 17:
		return []fault{s.holdersLost(random, anyPool(random), duration)}
	case 18, 19:
		p := s.processes[random.IntN(len(s.processes))]
		f := connectionFault(mode(random.IntN(modes)), duration, slices.Collect(maps.Values(p.peerProxies))...)
		f.name = p.settings.Node + "'s peers: " + f.name
		return []fault{f}
	case 26, 27, 28:
		return []fault{s.pairFault(random, duration)}
	case 29, 30:
		return s.allKilled(random)
	case 31, 32:
		return []fault{s.missedConfigurations(random)}
	case 34, 35, 36:
		return []fault{s.crowd(random, duration)}
	case 33:
		return []fault{s.standbyReturns(random)}
	case 20:
		return []fault{s.registrationsLapse(random, duration)}
	case 21, 22:
		return s.joinFaults(random)
	case 23, 24, 25:
		return []fault{s.unreadHandover(random)}
	}
	return []fault{s.drawSingle(random, duration)}
}

// drawSingle chooses a single fault.
func (s *Soak) drawSingle(random *rand.Rand, duration time.Duration) fault {
	p := s.processes[random.IntN(len(s.processes))]
	node := p.settings.Node
	switch random.IntN(14) {
	case 0:
		return fault{name: "kill " + node, begin: func() { p.signal(syscall.SIGKILL) }}
	case 1:
		return fault{name: "terminate " + node, begin: func() { p.signal(syscall.SIGTERM) }}
	case 2, 3:
		return fault{name: "pause " + node, duration: duration, begin: func() { p.signal(syscall.SIGSTOP) }, end: func() { p.signal(syscall.SIGCONT) }}
	case 4, 5:
		m := mode(1 + random.IntN(modes-1))
		return fault{name: fmt.Sprintf("store %v for %s", m, node), duration: duration, begin: func() { p.storeProxy.set(m) }, end: func() { p.storeProxy.set(pass) }}
	case 6:
		return s.drawStoreFault(random, duration)
	case 7:
		return fault{name: "store history compacted", begin: s.platform.Store.Compact}
	case 8:
		return fault{name: "configuration change", begin: s.configure}
	case 9, 10, 11:
		return s.drawWorkerFault(random, duration)
	case 12:
		return fault{name: "wave", begin: s.requestWave}
	}
	return s.workerConnectionFault(random, mode(random.IntN(modes)), duration)
}

// connectionFault resets the connections of some proxies if m is pass, or changes the mode of the proxies.
func connectionFault(m mode, duration time.Duration, proxies ...*proxy) fault {
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
	return fault{name: fmt.Sprintf("connections %v", m), duration: duration, begin: func() { set(m) }, end: func() { set(pass) }}
}

func (s *Soak) drawStoreFault(random *rand.Rand, duration time.Duration) fault {
	faults := append([]standin.StoreFaults{{Refuse: true}, {Delay: 200 * time.Millisecond}, {DropEvents: true}}, lossyFaults...)
	return s.newStoreFault(faults[random.IntN(len(faults))], duration)
}

// newStoreFault returns a fault of the store. If such faults overlap, the one that began last stays in force until its own end.
func (s *Soak) newStoreFault(f standin.StoreFaults, duration time.Duration) fault {
	number := 0
	return fault{
		name: fmt.Sprintf("store %+v", f), duration: duration,
		begin: func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.lastStoreFault++
			number = s.lastStoreFault
			if f.DropEvents {
				s.keys.dropEvents(true)
			}
			s.platform.Store.SetFaults(f)
		},
		end: func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if f.DropEvents {
				s.keys.dropEvents(false)
			}
			if s.lastStoreFault == number {
				s.platform.Store.SetFaults(standin.StoreFaults{})
			}
		},
	}
}

// drawWorkerFault chooses a fault of one machine's worker.
func (s *Soak) drawWorkerFault(random *rand.Rand, duration time.Duration) fault {
	machines := s.platform.Machines()
	id := machines[random.IntN(len(machines))]
	newFault := func(name string, faults standin.WorkerFaults) fault {
		return fault{
			name: name + " on " + id, duration: duration,
			begin: func() { s.platform.SetWorkerFaults(id, faults) }, end: func() { s.platform.SetWorkerFaults(id, standin.WorkerFaults{}) },
		}
	}
	noteError := func(err error) {
		if err != nil {
			s.record.note(id+": "+err.Error(), nil)
		}
	}
	switch random.IntN(6) {
	case 0:
		return fault{name: "worker crash on " + id, begin: func() { noteError(s.platform.CrashWorker(id)) }}
	case 1:
		return fault{name: "worker restart on " + id, begin: func() { s.platform.RestartWorker(id) }}
	case 2:
		return fault{
			name: "machine lost: " + id, duration: duration,
			begin: func() { s.platform.LoseMachine(id) }, end: func() { noteError(s.platform.RecoverMachine(id)) },
		}
	case 3:
		return newFault("delayed starts", standin.WorkerFaults{StartDelay: time.Duration(400+random.IntN(3000)) * time.Millisecond})
	case 4:
		return newFault("failing worker", standin.WorkerFaults{FailRuns: true})
	}
	return newFault("unresponsive worker", standin.WorkerFaults{Unresponsive: true})
}
