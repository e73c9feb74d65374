package sizing

import (
	"cmp"
	"time"
)

// Settings are the figures of the policy; zero values mean the defaults.
type Settings struct {
	// Utilization is the share of a pool's processors, in hundredths, up to which work is planned.
	Utilization int64
	// LookAhead is how far ahead a growth of the demand is followed: about the time in which a machine arrives.
	LookAhead time.Duration
	// IdleTimeout is how long a machine above the home size stays after the last need for it.
	IdleTimeout time.Duration
	// HomeIdleTimeout is how long a machine of the home size stays.
	HomeIdleTimeout time.Duration
	// RefillAfter is how long a pool must have been below its home size: machines in upkeep come back by themselves.
	RefillAfter time.Duration
	// MaxTake is how many machines are taken in one decision.
	MaxTake int
}

// Default returns s with unset fields filled.
func (s Settings) Default() Settings {
	s.Utilization = cmp.Or(s.Utilization, 90)
	s.LookAhead = cmp.Or(s.LookAhead, time.Second)
	s.IdleTimeout = cmp.Or(s.IdleTimeout, time.Second)
	s.HomeIdleTimeout = cmp.Or(s.HomeIdleTimeout, time.Minute)
	s.RefillAfter = cmp.Or(s.RefillAfter, 3*time.Second)
	s.MaxTake = cmp.Or(s.MaxTake, 64)
	return s
}

// Input is what is known of a pool.
type Input struct {
	Now time.Time
	// Machines are in the pool, Incoming are on their way to it.
	Machines int
	Incoming int
	// Home is the size that the operator gave the pool.
	Home int
	// MachineCPU is the room of one machine; it and the demands are in thousandths of a core.
	MachineCPU int64
	// Demand is what long-running and finite tasks use and what waits that can still be in time.
	Demand int64
	// Spread is the number of machines that long-running steps need because their tasks must not share one.
	Spread int
	// Idle are the workers that run nothing.
	Idle []string
	// Others are the other pools as they told their shortage.
	Others []Shortage
}

// Shortage is what a pool tells the others.
type Shortage struct {
	Pool string
	// Missing is how many machines the pool needs and cannot take from the standby pool.
	Missing int
	// Since is when the shortage was first heard of, Last when the pool was last short.
	Since time.Time
	Last  time.Time
}

// Decision is what to do with a pool's machines.
type Decision struct {
	// Take is how many machines the pool would take from the standby pool, Missing how many of them its work needs now.
	Take    int
	Missing int
	// Refill is how many it would take up to its home size while no pool is short.
	Refill  int
	Release []string
	// Lend holds idle workers for other pools that are short.
	Lend []Loan
}

// Loan is a worker whose machine goes to a pool that is short.
type Loan struct {
	Worker string
	Pool   string
}

const (
	// lendReserve is how many machines a lender keeps beyond its need.
	lendReserve = 1
	// lendStagger is how long a pool waits for each other one that is more likely to be without need for long.
	lendStagger = 250 * time.Millisecond
	// shortageHolds is how long a pool that was short lends nothing.
	shortageHolds = 2 * time.Second
)

// Tracker remembers the need of the last seconds; use one for each pool.
type Tracker struct {
	Settings Settings

	// needed holds when each size was last needed; index 0 is one machine.
	needed []time.Time
	// short is when the pool last needed more than it had.
	short time.Time
	// below is since when the pool has been smaller than its home size; zero while it is not.
	below time.Time
	// demands are those of the last growthWindow, the oldest first.
	demands []demandAt
}

type demandAt struct {
	at     time.Time
	demand int64
}

// growthWindow is the time over which the growth of the demand is measured.
const growthWindow = time.Second

// Decide returns what to do now.
func (t *Tracker) Decide(in Input) Decision {
	s := t.Settings.Default()
	if in.MachineCPU <= 0 {
		return Decision{}
	}
	usable := in.MachineCPU * s.Utilization / 100
	machines := func(demand int64) int { return max(int((demand+usable-1)/usable), in.Spread, 1) }
	need := machines(in.Demand)
	want := machines(in.Demand + t.growth(in, s.LookAhead))
	for len(t.needed) < max(want, in.Machines) {
		// A size that was not looked at before counts as needed until now, so that a new holder gives nothing away at once.
		t.needed = append(t.needed, in.Now)
	}
	for i := range want {
		t.needed[i] = in.Now
	}
	have := in.Machines + in.Incoming
	if have >= in.Home {
		t.below = time.Time{}
	} else if t.below.IsZero() {
		t.below = in.Now
	}
	if need > have {
		t.short = in.Now
	}
	if want > have {
		return Decision{Take: min(want-have, s.MaxTake), Missing: max(0, need-have)}
	}
	d := Decision{Lend: t.lend(in, need)}
	if len(d.Lend) > 0 {
		return d
	}
	d.Release = t.release(in, s)
	if have < in.Home && !anyShort(in.Others) && in.Now.Sub(t.below) >= s.RefillAfter {
		d.Refill = in.Home - have
	}
	return d
}

// growth returns by how much the demand will have grown after a time if it goes on as within the last growthWindow.
func (t *Tracker) growth(in Input, ahead time.Duration) int64 {
	t.demands = append(t.demands, demandAt{in.Now, in.Demand})
	for len(t.demands) > 1 && in.Now.Sub(t.demands[1].at) >= growthWindow {
		t.demands = t.demands[1:]
	}
	first := t.demands[0]
	passed := max(in.Now.Sub(first.at), growthWindow)
	return max(0, int64(float64(in.Demand-first.demand)*float64(ahead)/float64(passed)))
}

// LastShort returns when the pool last needed more machines than it had.
func (t *Tracker) LastShort() time.Time { return t.short }

func anyShort(others []Shortage) bool {
	for _, o := range others {
		if o.Missing > 0 {
			return true
		}
	}
	return false
}

// lend gives idle machines to pools that are short. Demand goes round, so the pool that was short most lately lends first.
func (t *Tracker) lend(in Input, need int) []Loan {
	if in.Now.Sub(t.short) < shortageHolds {
		return nil
	}
	rank := 0
	for _, o := range in.Others {
		if o.Missing == 0 && o.Last.After(t.short) {
			rank++
		}
	}
	spare := min(len(in.Idle), in.Machines-need-lendReserve)
	var loans []Loan
	for _, o := range in.Others {
		if o.Missing == 0 || in.Now.Sub(o.Since) < time.Duration(rank)*lendStagger {
			continue
		}
		for range o.Missing {
			if len(loans) >= spare {
				return loans
			}
			loans = append(loans, Loan{Worker: in.Idle[len(loans)], Pool: o.Pool})
		}
	}
	return loans
}

// release returns idle workers beyond the sizes that were needed lately.
func (t *Tracker) release(in Input, s Settings) []string {
	keep := in.Machines
	for keep > 1 {
		linger := s.IdleTimeout
		if keep <= in.Home {
			linger = s.HomeIdleTimeout
		}
		if in.Now.Sub(t.needed[keep-1]) < linger {
			break
		}
		keep--
	}
	return in.Idle[:min(len(in.Idle), in.Machines-keep)]
}
