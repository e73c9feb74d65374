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

	"verbenalanding.example/fleet/leadership"
	"verbenalanding.example/platform/standin"
)

// unanswered are the faults of a store that leaves calls without answer.
var unanswered = []standin.Faults{
	{LoseAnswers: 0.3}, {DelayWrites: 0.5}, {LoseReads: 0.5}, {LoseReads: 0.5, LoseAnswers: 0.2}, {LoseReads: 0.2, LoseAnswers: 0.1, DelayWrites: 0.3},
}

// unread are the faults of a store at which a record can hardly be read, or not be deleted in time.
var unread = []standin.Faults{{LoseReads: 0.8}, {DelayWrites: 0.8}}

const (
	// turnoverTime is longer than a planned stop, so that a process that was stopped is back before the fault ends.
	turnoverTime = 5 * time.Second
	// Planned stops in series are leastStopGap to mostStopGap apart.
	leastStopGap = 300 * time.Millisecond
	mostStopGap  = 900 * time.Millisecond
	// mostPause is longer than a lease, so that a holder that goes on may have lost its duty.
	mostPause = 3500 * time.Millisecond
	// holderEvery is how often the holder of the duty is looked up.
	holderEvery = 10 * time.Millisecond
	// mostHolding is the longest time that a new holder has before it is lost or leaves: two go within one lease of 2.5 s. A holder that reads
	// in vain what was left to it begins its orders after 0.8 s.
	mostHolding = 2400 * time.Millisecond
	// With briefHolding three or more go within one lease.
	briefHolding = 500 * time.Millisecond
	// mostUnregistered is the longest time after which a registration that lapsed while the store was away is back.
	mostUnregistered = 2 * time.Second
	// Up to mostJoins workers join while the duty moves, at most mostJoinGap after each other.
	mostJoins   = 4
	mostJoinGap = 400 * time.Millisecond
	// The connections of up to harmedWorkers workers are harmed when a new holder is lost.
	harmedWorkers = 4
	mostHarm      = 5 * time.Second
	// The store fails at times for leastMoment to mostMoment; a holder tries to read what was left to it within 0.8 s.
	leastMoment = 200 * time.Millisecond
	mostMoment  = time.Second
	// mostCalm is the longest time between two such moments.
	mostCalm = 3 * time.Second
)

// turnoverFaults are planned stops in series while the store leaves calls without answer for moments and new holders are lost
// together with answers of workers: a later holder finds what an earlier one left.
func (s *Soak) turnoverFaults(random *rand.Rand) []fault {
	pool := anyPool(random)
	faults := []fault{s.storeFlaps(random, pool), s.holdersLost(random, pool, turnoverTime)}
	if random.IntN(2) == 0 {
		faults = append(faults, s.stopsInSeries(random))
	}
	return faults
}

// storeFlaps has the store fail for moments, most of which begin as soon as the duty has no holder: what one holder cannot read
// of that left to it another one can.
func (s *Soak) storeFlaps(random *rand.Rand, pool string) fault {
	own := rand.New(rand.NewPCG(random.Uint64(), 1))
	f := unanswered[own.IntN(len(unanswered))]
	return fault{name: fmt.Sprintf("store at times %+v", f), lasts: turnoverTime, run: func(ctx context.Context) error {
		for end := time.Now().Add(turnoverTime); time.Now().Before(end); {
			for calm := time.Now().Add(between(own, leastMoment, mostCalm)); time.Now().Before(calm); {
				if _, p := s.holder(pool); p == nil {
					break
				}
				if err := sleep(ctx, holderEvery); err != nil {
					return err
				}
			}
			moment := s.storeFails(f, between(own, leastMoment, mostMoment))
			moment.begin()
			if err := moment.play(ctx); err != nil {
				return err
			}
		}
		return nil
	}}
}

func between(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Int64N(int64(most-least)))
}

func anyPool(random *rand.Rand) string { return pools[random.IntN(len(pools))] }

// stopsInSeries stops all processes in turn; each is started again once it has ended.
func (s *Soak) stopsInSeries(random *rand.Rand) fault {
	order := random.Perm(len(s.processes))
	gap := between(random, leastStopGap, mostStopGap)
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

// holdersLost kills or pauses the present holder and each new one soon after it took the duty, or has it leave, so that what it hands
// over is read by a holder that is lost in its turn. The connections of some workers are harmed at the same time: the next
// holder hears them late.
func (s *Soak) holdersLost(random *rand.Rand, pool string, lasts time.Duration) fault {
	own := rand.New(rand.NewPCG(random.Uint64(), 0))
	holding := mostHolding
	if own.IntN(2) == 0 {
		holding = briefHolding
	}
	return fault{name: fmt.Sprintf("new holders of %s lost within %v", pool, holding), lasts: lasts, run: func(ctx context.Context) error {
		if _, on := s.hunting.LoadOrStore(pool, true); on {
			return nil
		}
		defer s.hunting.Delete(pool)
		before := ""
		var group errgroup.Group
		for end := time.Now().Add(lasts); time.Now().Before(end); {
			if sleep(ctx, holderEvery) != nil {
				break
			}
			life, p := s.holder(pool)
			if p == nil || life == before {
				continue
			}
			before = life
			if sleep(ctx, between(own, 0, holding)) != nil {
				break
			}
			s.harmWorkers(ctx, own, &group)
			if own.IntN(2) == 0 {
				s.book.note("holder leaves: "+p.settings.Node, nil)
				p.signal(syscall.SIGTERM)
				continue
			}
			pause := time.Duration(0)
			if own.IntN(2) == 0 {
				pause = between(own, 0, mostPause)
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
		delays[i] = between(random, 0, mostUnregistered)
	}
	away := s.storeFails(standin.Faults{Refuse: true}, lasts)
	return fault{name: fmt.Sprintf("store away, registrations lapse %v", machines), lasts: lasts, run: func(ctx context.Context) error {
		away.begin()
		err := sleep(ctx, lasts)
		for _, id := range machines {
			s.platform.ExpireRegistration(id)
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
	gap := between(random, 0, mostJoinGap)
	machines := s.platform.Machines()
	random.Shuffle(len(machines), func(i, j int) { machines[i], machines[j] = machines[j], machines[i] })
	machines = machines[:1+random.IntN(mostJoins)]
	anew := random.IntN(3) == 0
	pool := anyPool(random)
	joins := fault{name: fmt.Sprintf("workers join on %v each %v, their ids kept: %v", machines, gap.Round(time.Millisecond), anew), run: func(ctx context.Context) error {
		if _, p := s.holder(pool); p != nil {
			p.signal(syscall.SIGTERM)
		}
		for _, id := range machines {
			if anew {
				s.platform.RestartWorker(id)
			} else if err := s.platform.CrashWorker(id); err != nil {
				s.book.note(id+": "+err.Error(), nil)
			}
			if err := sleep(ctx, gap); err != nil {
				return err
			}
		}
		return nil
	}}
	return []fault{joins, s.holdersLost(random, pool, turnoverTime)}
}

// harmWorkers harms the connections of some workers for moments.
func (s *Soak) harmWorkers(ctx context.Context, random *rand.Rand, group *errgroup.Group) {
	for range 1 + random.IntN(harmedWorkers) {
		harm := s.workerWaysFault(random, mode(1+random.IntN(modes-1)), between(random, 0, mostHarm))
		s.book.note("fault "+harm.name+" at the loss of a holder", nil)
		harm.begin()
		group.Go(func() error { return harm.play(ctx) })
	}
}

// unreadHandover has the holder leave; the next one is not answered when it reads what was left to it, works, and is lost, so that the
// one after it finds the same.
func (s *Soak) unreadHandover(random *rand.Rand) fault {
	own := rand.New(rand.NewPCG(random.Uint64(), 2))
	pool := anyPool(random)
	return fault{name: "handover of " + pool + " not read", run: func(ctx context.Context) error {
		if _, on := s.hunting.LoadOrStore(pool, true); on {
			return nil
		}
		defer s.hunting.Delete(pool)
		life, p := s.holder(pool)
		if p == nil {
			return nil
		}
		p.signal(syscall.SIGTERM)
		if _, err := s.awaitHolder(ctx, pool, func(now string) bool { return now != life }); err != nil {
			return err
		}
		moment := s.storeFails(unread[own.IntN(len(unread))], 0)
		moment.begin()
		p, err := s.awaitHolder(ctx, pool, func(now string) bool { return now != "" && now != life })
		if err == nil {
			err = sleep(ctx, between(own, 0, mostMoment))
		}
		moment.end()
		if err != nil || p == nil {
			return err
		}
		if err := sleep(ctx, between(own, 0, mostHolding)); err != nil {
			return err
		}
		var group errgroup.Group
		s.harmWorkers(ctx, own, &group)
		pause := time.Duration(0)
		if own.IntN(2) == 0 {
			pause = between(own, 0, mostPause)
		}
		group.Go(func() error { return s.loseHolder(ctx, p, pause) })
		return group.Wait()
	}}
}

// awaitHolder waits until the life of the holder is as wanted, at most for turnoverTime.
func (s *Soak) awaitHolder(ctx context.Context, pool string, wanted func(life string) bool) (*process, error) {
	for end := time.Now().Add(turnoverTime); ; {
		life, p := s.holder(pool)
		if wanted(life) || time.Now().After(end) {
			return p, nil
		}
		if err := sleep(ctx, time.Millisecond); err != nil {
			return nil, err
		}
	}
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

// holder returns the life of the process that holds a pool's duty, by the store; p is nil without one.
func (s *Soak) holder(pool string) (life string, p *process) {
	value, ok := s.platform.Store.Get(leadership.Prefix + pool)
	var m leadership.Member
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
