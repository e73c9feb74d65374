package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// A revocation lasts between minRevocation and maxRevocation: longer than the lease of a holder and, after it, that of a worker.
	minRevocation = 7 * time.Second
	maxRevocation = 10 * time.Second
	// revocationDelay is the time from the rejection of processes to the end of their leases. Answers that were under way have arrived by then,
	// so that the processes do not learn of it.
	revocationDelay = 50 * time.Millisecond
	// maxLossDelay is the longest time from the revocation of a standby's keys until the others lose the store, and maxReturnDelay the longest
	// time from then until the standby reaches it again.
	maxLossDelay   = time.Second
	maxReturnDelay = 3 * time.Second
)

// standbyReturns revokes the keys of a standby. Then all other processes lose the store and the holder of a pool half of the workers, until the
// standby has reached the store again and taken over with the other half. The others, which do not know it, confirm the holder.
func (s *Soak) standbyReturns(random *rand.Rand) fault {
	pool, order, duration := anyPool(random), random.Perm(len(s.processes)), between(random, minRevocation, maxRevocation)
	lossDelay, returnDelay, revoked := between(random, revocationDelay, maxLossDelay), between(random, 0, maxReturnDelay), random.IntN(2) == 0
	splitDelay := between(random, 0, returnDelay+time.Millisecond)
	name := fmt.Sprintf("standby of %s revoked, others lose the store after %v, revoked too: %v, back after %v, workers divided after %v",
		pool, lossDelay, revoked, returnDelay, splitDelay)
	return fault{name: name, duration: duration, alone: true, run: func(ctx context.Context) error {
		_, holder := s.holder(pool)
		if holder == nil {
			return nil
		}
		standby := s.processes[order[0]]
		if standby == holder {
			standby = s.processes[order[1]]
		}
		others := slices.DeleteFunc(slices.Clone(s.processes), func(p *process) bool { return p == standby })
		s.record.note(fmt.Sprintf("standby %s, holder %s", standby.settings.Node, holder.settings.Node), nil)
		defer s.endRevocation()
		if err := loseStore(ctx, true, standby); err != nil {
			return err
		}
		if err := sleep(ctx, lossDelay); err != nil {
			return err
		}
		if err := loseStore(ctx, revoked, others...); err != nil {
			return err
		}
		if err := sleep(ctx, splitDelay); err != nil {
			return err
		}
		s.divideWorkers(holder)
		if err := sleep(ctx, returnDelay-splitDelay); err != nil {
			return err
		}
		standby.gate.SetClosed(false)
		return sleep(ctx, duration)
	}}
}

// loseStore makes the store reject processes; if revoked is true, their leases end soon after.
func loseStore(ctx context.Context, revoked bool, processes ...*process) error {
	for _, p := range processes {
		p.gate.SetClosed(true)
	}
	err := sleep(ctx, revocationDelay)
	if revoked {
		for _, p := range processes {
			p.gate.EndLeases()
		}
	}
	return err
}

// divideWorkers disconnects every second worker from the holder and the other workers from all other processes.
func (s *Soak) divideWorkers(holder *process) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, w := range s.workers {
		for p, workerProxy := range w {
			if (p == holder) == (i%2 == 0) {
				workerProxy.set(silent)
			}
		}
	}
}

// endRevocation ends the disconnections of a revocation.
func (s *Soak) endRevocation() {
	for _, p := range s.processes {
		p.gate.SetClosed(false)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range s.workers {
		for _, workerProxy := range w {
			workerProxy.set(pass)
			workerProxy.resetAll()
		}
	}
}
