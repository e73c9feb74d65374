package soak

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"verbenalanding.example/fleet/tenure"
	"verbenalanding.example/platform/standin"
)

// unanswered are the faults of a store that leaves calls without answer.
var unanswered = []standin.Faults{
	{LoseAnswers: 0.3}, {Late: 0.4}, {LoseReads: 0.3, LoseAnswers: 0.2}, {LoseReads: 0.2, LoseAnswers: 0.1, Late: 0.3},
}

const (
	// turnoverTime is longer than a planned stop, so that a process that was stopped is back before the fault ends.
	turnoverTime = 3500 * time.Millisecond
	// mostStopGap is the longest time between two planned stops in series.
	mostStopGap = 900 * time.Millisecond
	// holderEvery is how often the holder of the duty is looked up.
	holderEvery = 10 * time.Millisecond
	// mostHolding is the longest time that a new holder has before it is lost; it is less than the lease of 2.5 s.
	mostHolding = 1200 * time.Millisecond
	// mostUnregistered is the longest time after which a registration that lapsed while the store was away is back.
	mostUnregistered = 2 * time.Second
	// Up to mostJoins workers join while the duty moves, at most mostJoinGap after each other.
	mostJoins   = 4
	mostJoinGap = 400 * time.Millisecond
	// slowWorkers is how many workers are harmed at a turnover.
	slowWorkers = 2
)

// turnoverFaults are planned stops in series at a store that leaves calls without answer, while new holders are lost and
// some workers are heard late: a later holder finds what an earlier one left.
func (s *Soak) turnoverFaults(random *rand.Rand) []fault {
	faults := []fault{
		s.storeFails(unanswered[random.IntN(len(unanswered))], turnoverTime), s.stopsInSeries(random), s.holdersLost(random, turnoverTime),
	}
	for range slowWorkers {
		faults = append(faults, connectionFault(s.workerProxy(random), mode(1+random.IntN(modes-1)), turnoverTime))
	}
	return faults
}

// workerProxy returns the proxy of a worker that began lately.
func (s *Soak) workerProxy(random *rand.Rand) *proxy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.workers[max(0, len(s.workers)-s.Machines)+random.IntN(min(s.Machines, len(s.workers)))]
}

// stopsInSeries stops all processes in turn; each is started again once it has ended.
func (s *Soak) stopsInSeries(random *rand.Rand) fault {
	order := random.Perm(len(s.processes))
	gap := time.Duration(random.Int64N(int64(mostStopGap)))
	return fault{name: fmt.Sprintf("planned stops %v each %v", order, gap.Round(time.Millisecond)), run: func(ctx context.Context) error {
		for _, i := range order {
			s.processes[i].signal(syscall.SIGTERM)
			if err := sleep(ctx, gap); err != nil {
				return err
			}
		}
		return nil
	}}
}

// holdersLost kills or pauses each holder soon after it took the duty.
func (s *Soak) holdersLost(random *rand.Rand, lasts time.Duration) fault {
	own := rand.New(rand.NewPCG(random.Uint64(), 0))
	return fault{name: "new holders lost", lasts: lasts, run: func(ctx context.Context) error {
		before, _ := s.holder()
		var group errgroup.Group
		for end := time.Now().Add(lasts); time.Now().Before(end); {
			if sleep(ctx, holderEvery) != nil {
				break
			}
			life, p := s.holder()
			if p == nil || life == before {
				continue
			}
			before = life
			if sleep(ctx, time.Duration(own.Int64N(int64(mostHolding)))) != nil {
				break
			}
			pause := time.Duration(0)
			if own.IntN(2) == 0 {
				pause = time.Duration(own.Int64N(int64(turnoverTime)))
			}
			group.Go(func() error { return s.loseHolder(ctx, p, pause) })
		}
		return group.Wait()
	}}
}

// registrationsLapse has registrations of workers end while the store is away; they come back soon after it.
func (s *Soak) registrationsLapse(random *rand.Rand, lasts time.Duration) fault {
	machines := s.platform.Machines()
	random.Shuffle(len(machines), func(i, j int) { machines[i], machines[j] = machines[j], machines[i] })
	machines = machines[:1+random.IntN(len(machines))]
	delays := make([]time.Duration, len(machines))
	for i := range delays {
		delays[i] = time.Duration(random.Int64N(int64(mostUnregistered)))
	}
	away := s.storeFails(standin.Faults{Refuse: true}, lasts)
	return fault{name: fmt.Sprintf("store away, registrations lapse %v", machines), lasts: lasts, run: func(ctx context.Context) error {
		away.begin()
		err := sleep(ctx, lasts)
		for _, id := range machines {
			s.platform.Lapse(id)
		}
		away.end()
		var group errgroup.Group
		for i, id := range machines {
			group.Go(func() error {
				defer s.platform.Register(id)
				return sleep(ctx, delays[i])
			})
		}
		return cmp.Or(group.Wait(), err)
	}}
}

// joinFaults have workers end and join under new ids, or begin anew under theirs, while the duty moves by a planned stop.
func (s *Soak) joinFaults(random *rand.Rand) []fault {
	gap := time.Duration(random.Int64N(int64(mostJoinGap)))
	machines := s.platform.Machines()
	random.Shuffle(len(machines), func(i, j int) { machines[i], machines[j] = machines[j], machines[i] })
	machines = machines[:1+random.IntN(mostJoins)]
	anew := random.IntN(3) == 0
	joins := fault{name: fmt.Sprintf("workers join on %v each %v, their ids kept: %v", machines, gap.Round(time.Millisecond), anew), run: func(ctx context.Context) error {
		if _, p := s.holder(); p != nil {
			p.signal(syscall.SIGTERM)
		}
		for _, id := range machines {
			if anew {
				s.platform.Restart(id)
			} else if err := s.platform.Crash(id); err != nil {
				s.book.note(id+": "+err.Error(), nil)
			}
			if err := sleep(ctx, gap); err != nil {
				return err
			}
		}
		return nil
	}}
	return []fault{joins, s.holdersLost(random, turnoverTime)}
}

// loseHolder pauses a process, for less or more than a lease, or kills it where no time is given.
func (s *Soak) loseHolder(ctx context.Context, p *process, pause time.Duration) error {
	if pause == 0 {
		s.book.note("holder killed: "+p.settings.Node, nil)
		p.signal(syscall.SIGKILL)
		return nil
	}
	s.book.note(fmt.Sprintf("holder paused: %s for %v", p.settings.Node, pause.Round(time.Millisecond)), nil)
	p.signal(syscall.SIGSTOP)
	defer p.signal(syscall.SIGCONT)
	return sleep(ctx, pause)
}

// holder returns the life of the process that holds the pool's duty, by the store; p is nil without one.
func (s *Soak) holder() (life string, p *process) {
	value, ok := s.platform.Store.Get(tenure.Prefix + pool)
	var m tenure.Member
	if !ok || json.Unmarshal(value, &m) != nil {
		return "", nil
	}
	for _, p := range s.processes {
		if p.settings.Node == m.Node {
			return m.Session, p
		}
	}
	return "", nil
}
