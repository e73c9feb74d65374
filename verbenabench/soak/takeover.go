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

// lossyFaults are the store faults in which some calls get no answer.
var lossyFaults = []standin.StoreFaults{
	{LoseAnswers: 0.3}, {DelayWrites: 0.5}, {LoseReads: 0.5}, {LoseReads: 0.5, LoseAnswers: 0.2}, {LoseReads: 0.2, LoseAnswers: 0.1, DelayWrites: 0.3},
}

// handoverFaults are the store faults in which most reads of a handover get no answer, or its deletion is delayed.
var handoverFaults = []standin.StoreFaults{{LoseReads: 0.8}, {DelayWrites: 0.8}}

const (
	// takeoverTime is longer than a planned stop, so that a stopped process restarts before the fault ends.
	takeoverTime = 5 * time.Second
	// The time between planned stops in series is between minStopGap and maxStopGap.
	minStopGap = 300 * time.Millisecond
	maxStopGap = 900 * time.Millisecond
	// maxPause is longer than a lease, so that a resumed holder may have lost its duty.
	maxPause = 3500 * time.Millisecond
	// holderPollInterval is the interval at which the holder of the duty is looked up.
	holderPollInterval = 10 * time.Millisecond
	// maxHoldTime is the longest time before a new holder is lost or stopped, so that two can be lost within one lease of 2.5 s. A holder
	// that fails to read its predecessor's handover starts its orders after 0.8 s.
	maxHoldTime = 2400 * time.Millisecond
	// With shortHoldTime three or more holders are lost within one lease.
	shortHoldTime = 500 * time.Millisecond
	// maxRegistrationGap is the longest time after a store outage until a registration that lapsed during it returns.
	maxRegistrationGap = 2 * time.Second
	// Up to maxJoins workers join during a takeover, at most maxJoinGap after each other.
	maxJoins   = 4
	maxJoinGap = 400 * time.Millisecond
	// The connections of up to maxDisturbedWorkers workers are disturbed when a new holder is lost, each for at most maxConnectionFault.
	maxDisturbedWorkers = 4
	maxConnectionFault  = 5 * time.Second
	// Store outages last between minOutage and maxOutage; a new holder tries for 0.8 s to read its predecessor's handover.
	minOutage = 200 * time.Millisecond
	maxOutage = time.Second
	// maxOutageGap is the longest time between two such outages.
	maxOutageGap = 3 * time.Second
)

// takeoverFaults returns faults that disturb successive takeovers: short outages in which the store leaves calls unanswered, losses of new
// holders together with answers of workers and, in half of the draws, planned stops in series. A later holder must then continue from the
// records that an earlier one left in the store.
func (s *Soak) takeoverFaults(random *rand.Rand) []fault {
	pool := anyPool(random)
	faults := []fault{s.storeOutages(random, pool), s.holdersLost(random, pool, takeoverTime)}
	if random.IntN(2) == 0 {
		faults = append(faults, s.stopsInSeries(random))
	}
	return faults
}

// storeOutages returns a fault with short outages of the store, most of which begin as soon as the duty has no holder. A holder then cannot
// read its predecessor's handover, but a later one can.
func (s *Soak) storeOutages(random *rand.Rand, pool string) fault {
	faultRandom := rand.New(rand.NewPCG(random.Uint64(), 1))
	f := lossyFaults[faultRandom.IntN(len(lossyFaults))]
	return fault{name: fmt.Sprintf("intermittent store fault %+v", f), duration: takeoverTime, run: func(ctx context.Context) error {
		for end := time.Now().Add(takeoverTime); time.Now().Before(end); {
			for gapEnd := time.Now().Add(between(faultRandom, minOutage, maxOutageGap)); time.Now().Before(gapEnd); {
				if _, p := s.holder(pool); p == nil {
					break
				}
				if err := sleep(ctx, holderPollInterval); err != nil {
					return err
				}
			}
			outage := s.newStoreFault(f, between(faultRandom, minOutage, maxOutage))
			outage.begin()
			if err := outage.runToEnd(ctx); err != nil {
				return err
			}
		}
		return nil
	}}
}

func between(random *rand.Rand, lower, upper time.Duration) time.Duration {
	return lower + time.Duration(random.Int64N(int64(upper-lower)))
}

func anyPool(random *rand.Rand) string { return pools[random.IntN(len(pools))] }

// stopsInSeries stops all processes in turn. Each is restarted once it has ended.
func (s *Soak) stopsInSeries(random *rand.Rand) fault {
	order := random.Perm(len(s.processes))
	gap := between(random, minStopGap, maxStopGap)
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

// holdersLost kills, pauses or stops the current holder and each new one soon after it took the duty. After a stop, the handover is read by
// a holder that is lost in turn. The connections of some workers are disturbed at the same time, so that the next holder receives their
// reports late.
func (s *Soak) holdersLost(random *rand.Rand, pool string, duration time.Duration) fault {
	faultRandom := rand.New(rand.NewPCG(random.Uint64(), 0))
	holdTime := maxHoldTime
	if faultRandom.IntN(2) == 0 {
		holdTime = shortHoldTime
	}
	return fault{name: fmt.Sprintf("new holders of %s lost within %v", pool, holdTime), duration: duration, run: func(ctx context.Context) error {
		if _, active := s.losingHolders.LoadOrStore(pool, true); active {
			return nil
		}
		defer s.losingHolders.Delete(pool)
		lastSession := ""
		var group errgroup.Group
		for end := time.Now().Add(duration); time.Now().Before(end); {
			if sleep(ctx, holderPollInterval) != nil {
				break
			}
			session, p := s.holder(pool)
			if p == nil || session == lastSession {
				continue
			}
			lastSession = session
			if sleep(ctx, between(faultRandom, 0, holdTime)) != nil {
				break
			}
			s.disturbWorkers(ctx, faultRandom, &group)
			if faultRandom.IntN(2) == 0 {
				s.record.note("holder stopped: "+p.settings.Node, nil)
				p.signal(syscall.SIGTERM)
				continue
			}
			pause := time.Duration(0)
			if faultRandom.IntN(2) == 0 {
				pause = between(faultRandom, 0, maxPause)
			}
			group.Go(func() error { return s.loseHolder(ctx, p, pause) })
		}
		return group.Wait()
	}}
}

// registrationsLapse expires the registrations of some workers during a store outage. They return soon after it.
func (s *Soak) registrationsLapse(random *rand.Rand, duration time.Duration) fault {
	machines := s.platform.Machines()
	random.Shuffle(len(machines), func(i, j int) { machines[i], machines[j] = machines[j], machines[i] })
	machines = machines[:1+random.IntN(len(machines))]
	delays := make([]time.Duration, len(machines))
	for i := range delays {
		delays[i] = between(random, 0, maxRegistrationGap)
	}
	outage := s.newStoreFault(standin.StoreFaults{Refuse: true}, duration)
	return fault{name: fmt.Sprintf("store down, registrations lapse %v", machines), duration: duration, run: func(ctx context.Context) error {
		outage.begin()
		err := sleep(ctx, duration)
		for _, id := range machines {
			s.platform.ExpireRegistration(id)
		}
		outage.end()
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

// joinFaults returns faults in which workers crash and join under new IDs, or restart under the same IDs, during a takeover after a planned
// stop.
func (s *Soak) joinFaults(random *rand.Rand) []fault {
	gap := between(random, 0, maxJoinGap)
	machines := s.platform.Machines()
	random.Shuffle(len(machines), func(i, j int) { machines[i], machines[j] = machines[j], machines[i] })
	machines = machines[:1+random.IntN(maxJoins)]
	keepIDs := random.IntN(3) == 0
	pool := anyPool(random)
	joins := fault{name: fmt.Sprintf("workers join on %v each %v, same ids: %v", machines, gap.Round(time.Millisecond), keepIDs), run: func(ctx context.Context) error {
		if _, p := s.holder(pool); p != nil {
			p.signal(syscall.SIGTERM)
		}
		for _, id := range machines {
			if keepIDs {
				s.platform.RestartWorker(id)
			} else if err := s.platform.CrashWorker(id); err != nil {
				s.record.note(id+": "+err.Error(), nil)
			}
			if err := sleep(ctx, gap); err != nil {
				return err
			}
		}
		return nil
	}}
	return []fault{joins, s.holdersLost(random, pool, takeoverTime)}
}

// disturbWorkers disturbs the connections of some workers for a short time.
func (s *Soak) disturbWorkers(ctx context.Context, random *rand.Rand, group *errgroup.Group) {
	for range 1 + random.IntN(maxDisturbedWorkers) {
		f := s.workerConnectionFault(random, mode(1+random.IntN(modes-1)), between(random, 0, maxConnectionFault))
		s.record.note("fault "+f.name+" with the loss of a holder", nil)
		f.begin()
		group.Go(func() error { return f.runToEnd(ctx) })
	}
}

// unreadHandover stops the holder. Its successor gets no answer when it reads the handover, works without it, and is lost, so that the next
// holder finds the same handover.
func (s *Soak) unreadHandover(random *rand.Rand) fault {
	faultRandom := rand.New(rand.NewPCG(random.Uint64(), 2))
	pool := anyPool(random)
	return fault{name: "handover of " + pool + " not read", run: func(ctx context.Context) error {
		if _, active := s.losingHolders.LoadOrStore(pool, true); active {
			return nil
		}
		defer s.losingHolders.Delete(pool)
		session, p := s.holder(pool)
		if p == nil {
			return nil
		}
		p.signal(syscall.SIGTERM)
		if _, err := s.awaitHolder(ctx, pool, func(holder string) bool { return holder != session }); err != nil {
			return err
		}
		outage := s.newStoreFault(handoverFaults[faultRandom.IntN(len(handoverFaults))], 0)
		outage.begin()
		p, err := s.awaitHolder(ctx, pool, func(holder string) bool { return holder != "" && holder != session })
		if err == nil {
			err = sleep(ctx, between(faultRandom, 0, maxOutage))
		}
		outage.end()
		if err != nil || p == nil {
			return err
		}
		if err := sleep(ctx, between(faultRandom, 0, maxHoldTime)); err != nil {
			return err
		}
		var group errgroup.Group
		s.disturbWorkers(ctx, faultRandom, &group)
		pause := time.Duration(0)
		if faultRandom.IntN(2) == 0 {
			pause = between(faultRandom, 0, maxPause)
		}
		group.Go(func() error { return s.loseHolder(ctx, p, pause) })
		return group.Wait()
	}}
}

// awaitHolder waits until wanted accepts the session of the holder, for at most takeoverTime.
func (s *Soak) awaitHolder(ctx context.Context, pool string, wanted func(session string) bool) (*process, error) {
	for end := time.Now().Add(takeoverTime); ; {
		session, p := s.holder(pool)
		if wanted(session) || time.Now().After(end) {
			return p, nil
		}
		if err := sleep(ctx, time.Millisecond); err != nil {
			return nil, err
		}
	}
}

// loseHolder pauses a process for the given time, which may be shorter or longer than a lease, or kills it if the time is 0.
func (s *Soak) loseHolder(ctx context.Context, p *process, pause time.Duration) error {
	if pause == 0 {
		s.record.note("holder killed: "+p.settings.Node, nil)
		p.signal(syscall.SIGKILL)
		return nil
	}
	s.record.note(fmt.Sprintf("holder paused: %s for %v", p.settings.Node, pause.Round(time.Millisecond)), nil)
	p.signal(syscall.SIGSTOP)
	defer p.signal(syscall.SIGCONT)
	return sleep(ctx, pause)
}

// holder returns the session and the process of the node that holds a pool's duty according to the store; p is nil if there is none.
func (s *Soak) holder(pool string) (session string, p *process) {
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
