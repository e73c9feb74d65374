package sizing

import (
	"cmp"
	"time"
)

// Settings configures the policy; zero values select the defaults.
type Settings struct {
	// Utilization is the percentage of a pool's processors up to which work is planned.
	Utilization int64
	// LookAhead is how far ahead the growth of the demand is extrapolated: about the time until a machine arrives.
	LookAhead time.Duration
	// IdleTimeout is how long a machine beyond the home size stays in the pool after it was last needed.
	IdleTimeout time.Duration
	// HomeIdleTimeout is the same for machines within the home size.
	HomeIdleTimeout time.Duration
	// RefillAfter is how long a pool must have been below its home size before it is refilled: machines in upkeep return by themselves.
	RefillAfter time.Duration
	// MaxTake bounds how many machines are taken in one decision.
	MaxTake int
}

// Default returns s with the defaults in unset fields.
func (s Settings) Default() Settings {
	s.Utilization = cmp.Or(s.Utilization, 90)
	s.LookAhead = cmp.Or(s.LookAhead, time.Second)
	s.IdleTimeout = cmp.Or(s.IdleTimeout, time.Second)
	s.HomeIdleTimeout = cmp.Or(s.HomeIdleTimeout, time.Minute)
	s.RefillAfter = cmp.Or(s.RefillAfter, 3*time.Second)
	s.MaxTake = cmp.Or(s.MaxTake, 64)
	return s
}

// Input is the state of a pool.
type Input struct {
	Now time.Time
	// Machines is the number of machines in the pool, Incoming the number that are moving to it.
	Machines int
	Incoming int
	// Home is the size that the operator configured for the pool.
	Home int
	// MachineCPU is the capacity of one machine. It and the demands are in thousandths of a core.
	MachineCPU int64
	// Demand is what long-running and finite tasks use, plus what waiting tasks need that can still meet their target.
	Demand int64
	// Spread is the number of machines that long-running steps need because their tasks must not share a machine.
	Spread int
	// Idle lists the workers that have no runs and may be removed.
	Idle []string
	// Others holds the shortages that the other pools reported.
	Others []Shortage
}

// Shortage is a pool's report to the other pools that it lacks machines.
type Shortage struct {
	Pool string
	// Missing is how many machines the pool needs and cannot take from the standby pool.
	Missing int
	// Since is when the shortage was first reported, Last when the pool was last short of machines.
	Since time.Time
	Last  time.Time
}

// Decision states how many machines a pool takes and which workers it releases or lends.
type Decision struct {
	// Take is how many machines the pool should take from the standby pool, Missing how many of them its work needs now.
	Take    int
	Missing int
	// Refill is how many machines it should take to reach its home size while no pool is short.
	Refill int
	// Release lists idle workers whose machines should return to the standby pool.
	Release []string
	// Lend lists idle workers for other pools that are short of machines.
	Lend []Loan
}

// Loan is an idle worker whose machine moves to a pool that is short.
type Loan struct {
	Worker string
	Pool   string
}

const (
	// lendReserve is how many machines a lending pool keeps beyond its need.
	lendReserve = 1
	// lendStagger is how long a pool delays its loans for each other pool that was short more recently: such a pool should lend first, since
	// it is less likely to need its machines soon.
	lendStagger = 250 * time.Millisecond
	// shortageCooldown is how long a pool that was short lends nothing.
	shortageCooldown = 2 * time.Second
)

// Tracker decides the size of a pool from its recent need; use one for each pool.
type Tracker struct {
	Settings Settings

	// lastNeeded holds when each pool size was last needed; index 0 is a size of one machine.
	lastNeeded []time.Time
	// lastShort is when the pool last needed more machines than it had.
	lastShort time.Time
	// belowHomeSince is when the pool became smaller than its home size; zero while it is not.
	belowHomeSince time.Time
	// demands holds the samples of the last growthWindow, oldest first.
	demands []demandSample
}

type demandSample struct {
	at     time.Time
	demand int64
}

// growthWindow is the time over which the growth of the demand is measured.
const growthWindow = time.Second

// maxMachines bounds the size of a pool: a caller's tasks may need any amount, and the tracker keeps a time for each size.
const maxMachines = 1 << 14

// Decide returns what to do with the pool's machines now.
func (t *Tracker) Decide(in Input) Decision {
	s := t.Settings.Default()
	if in.MachineCPU <= 0 {
		return Decision{}
	}
	usable := max(1, in.MachineCPU*s.Utilization/100)
	machinesFor := func(demand int64) int { return min(max(int((demand+usable-1)/usable), in.Spread, 1), maxMachines) }
	need := machinesFor(in.Demand)
	want := machinesFor(in.Demand + t.growth(in, s.LookAhead))
	for len(t.lastNeeded) < max(want, in.Machines) {
		// A size that was not considered before counts as needed now, so that a new holder releases no machine immediately.
		t.lastNeeded = append(t.lastNeeded, in.Now)
	}
	for i := range want {
		t.lastNeeded[i] = in.Now
	}
	have := in.Machines + in.Incoming
	if have >= in.Home {
		t.belowHomeSince = time.Time{}
	} else if t.belowHomeSince.IsZero() {
		t.belowHomeSince = in.Now
	}
	if need > have {
		t.lastShort = in.Now
	}
	if want > have {
		return Decision{Take: min(want-have, s.MaxTake), Missing: max(0, need-have)}
	}
	d := Decision{Lend: t.lend(in, need)}
	if len(d.Lend) > 0 {
		return d
	}
	d.Release = t.release(in, s)
	if have < in.Home && !anyShort(in.Others) && in.Now.Sub(t.belowHomeSince) >= s.RefillAfter {
		d.Refill = in.Home - have
	}
	return d
}

// growth returns by how much the demand will have grown after the given time if it continues as in the last growthWindow.
func (t *Tracker) growth(in Input, ahead time.Duration) int64 {
	t.demands = append(t.demands, demandSample{in.Now, in.Demand})
	for len(t.demands) > 1 && in.Now.Sub(t.demands[1].at) >= growthWindow {
		t.demands = t.demands[1:]
	}
	first := t.demands[0]
	passed := max(in.Now.Sub(first.at), growthWindow)
	return max(0, int64(float64(in.Demand-first.demand)*float64(ahead)/float64(passed)))
}

// LastShort returns when the pool last needed more machines than it had.
func (t *Tracker) LastShort() time.Time { return t.lastShort }

func anyShort(others []Shortage) bool {
	for _, o := range others {
		if o.Missing > 0 {
			return true
		}
	}
	return false
}

// lend assigns idle machines to pools that are short. Demand moves from pool to pool, so the pool that was short most recently lends
// first.
func (t *Tracker) lend(in Input, need int) []Loan {
	if in.Now.Sub(t.lastShort) < shortageCooldown {
		return nil
	}
	rank := 0
	for _, o := range in.Others {
		if o.Missing == 0 && o.Last.After(t.lastShort) {
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

// release returns idle workers beyond the sizes that were needed recently.
func (t *Tracker) release(in Input, s Settings) []string {
	keep := in.Machines
	for keep > 1 {
		timeout := s.IdleTimeout
		if keep <= in.Home {
			timeout = s.HomeIdleTimeout
		}
		if in.Now.Sub(t.lastNeeded[keep-1]) < timeout {
			break
		}
		keep--
	}
	return in.Idle[:min(len(in.Idle), in.Machines-keep)]
}
