package soak

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"golang.org/x/sync/errgroup"
)

// ways are the proxies through which each process reaches one worker.
type ways map[*process]*proxy

// meetWorker has each process reach a worker through a proxy of its own, so that it can be cut from some of them only.
func (s *Soak) meetWorker(addr netip.AddrPort, group *errgroup.Group) error {
	w := ways{}
	for _, p := range s.processes {
		x, err := newProxy(addr, group)
		if err != nil {
			return err
		}
		w[p] = x
		p.gate.Translate(addr.String(), x.addr.String())
		s.addProxy(x)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.workers = append(s.workers, w)
	return nil
}

// workerWaysFault harms the connections of a worker that began lately: with all processes, with one that holds a duty, or with all others.
func (s *Soak) workerWaysFault(random *rand.Rand, m mode, lasts time.Duration) fault {
	s.mu.Lock()
	lately := s.workers[max(0, len(s.workers)-s.Machines-s.secondMachines()):]
	w := lately[random.IntN(len(lately))]
	s.mu.Unlock()
	kind := random.IntN(4)
	_, holder := s.holder(anyPool(random))
	var proxies []*proxy
	of := "a worker with all"
	for _, p := range s.processes {
		if holder == nil || kind > 1 || (kind == 0) == (p == holder) {
			proxies = append(proxies, w[p])
		}
	}
	if holder != nil && kind == 0 {
		of = "a worker with holder " + holder.settings.Node + " only"
	}
	if holder != nil && kind == 1 {
		of = "a worker with all but holder " + holder.settings.Node
	}
	f := connectionFault(m, lasts, proxies...)
	f.name = of + ": " + f.name
	return f
}
