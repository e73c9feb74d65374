package sizing

import (
	"cmp"
	"time"
)

// Settings are the figures of the policy; zero values mean the defaults.
type Settings struct {
	// Utilization is the share of a pool's processors, in hundredths, up to which work is planned.
	Utilization int64
	// Linger is how long a machine above the home size stays after the last need for it.
	Linger time.Duration
	// HomeLinger is how long a machine of the home size stays.
	HomeLinger time.Duration
	// MaxTake is how many machines are taken in one decision.
	MaxTake int
}

// Default returns s with unset fields filled.
func (s Settings) Default() Settings {
	s.Utilization = cmp.Or(s.Utilization, 90)
	s.Linger = cmp.Or(s.Linger, time.Second)
	s.HomeLinger = cmp.Or(s.HomeLinger, time.Minute)
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
}

// Decision is what to do with a pool's machines.
type Decision struct {
	Take    int
	Release []string
}

// Tracker remembers the need of the last seconds; use one for each pool.
type Tracker struct {
	Settings Settings

	// needed holds when each size was last needed; index 0 is one machine.
	needed []time.Time
}

// Decide returns what to do now.
func (t *Tracker) Decide(in Input) Decision {
	s := t.Settings.Default()
	if in.MachineCPU <= 0 {
		return Decision{}
	}
	usable := in.MachineCPU * s.Utilization / 100
	need := max(int((in.Demand+usable-1)/usable), in.Spread, 1)
	for len(t.needed) < max(need, in.Machines) {
		// A size that was not looked at before counts as needed until now, so that a new holder gives nothing away at once.
		t.needed = append(t.needed, in.Now)
	}
	for i := range need {
		t.needed[i] = in.Now
	}
	if have := in.Machines + in.Incoming; need > have {
		return Decision{Take: min(need-have, s.MaxTake)}
	}
	return Decision{Release: t.release(in, s)}
}

// release returns idle workers beyond the sizes that were needed lately.
func (t *Tracker) release(in Input, s Settings) []string {
	keep := in.Machines
	for keep > 1 {
		linger := s.Linger
		if keep <= in.Home {
			linger = s.HomeLinger
		}
		if in.Now.Sub(t.needed[keep-1]) < linger {
			break
		}
		keep--
	}
	return in.Idle[:min(len(in.Idle), in.Machines-keep)]
}
