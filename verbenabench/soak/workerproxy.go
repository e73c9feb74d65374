package soak

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"golang.org/x/sync/errgroup"
)

// workerProxies holds for one worker the proxy through which each process reaches it.
type workerProxies map[*process]*proxy

// addWorkerProxies creates a proxy to a worker for each process, so that the worker can be disconnected from some of them only.
func (s *Soak) addWorkerProxies(addr netip.AddrPort, group *errgroup.Group) error {
	w := workerProxies{}
	for _, p := range s.processes {
		workerProxy, err := newProxy(addr, group)
		if err != nil {
			return err
		}
		w[p] = workerProxy
		p.gate.Translate(addr.String(), workerProxy.addr.String())
		s.addProxy(workerProxy)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.workers = append(s.workers, w)
	return nil
}

// workerConnectionFault disturbs the connections of a recently started worker: with all processes, with the holder of a duty, or with all
// other processes.
func (s *Soak) workerConnectionFault(random *rand.Rand, m mode, duration time.Duration) fault {
	s.mu.Lock()
	recent := s.workers[max(0, len(s.workers)-s.Machines-s.secondPoolMachines()):]
	w := recent[random.IntN(len(recent))]
	s.mu.Unlock()
	kind := random.IntN(4)
	_, holder := s.holder(anyPool(random))
	var proxies []*proxy
	description := "a worker with all"
	for _, p := range s.processes {
		if holder == nil || kind > 1 || (kind == 0) == (p == holder) {
			proxies = append(proxies, w[p])
		}
	}
	if holder != nil && kind == 0 {
		description = "a worker with holder " + holder.settings.Node + " only"
	}
	if holder != nil && kind == 1 {
		description = "a worker with all but holder " + holder.settings.Node
	}
	f := connectionFault(m, duration, proxies...)
	f.name = description + ": " + f.name
	return f
}
