package upkeep

import (
	"cmp"
	"slices"
	"time"

	"verbenalanding.example/fleet/dispatch"
)

// Candidate is a machine of the pool whose upkeep is still to be done.
type Candidate struct {
	Machine string
	Load    dispatch.Load
}

// Input is what is known of a wave.
type Input struct {
	Now      time.Time
	Deadline time.Time
	// MaxDown is how many machines of the wave may be in upkeep at once, Down how many are.
	MaxDown int
	Down    int
	// Left is how many machines of all pools are still to be done, those of Candidates included.
	Left int
	// Cycle is how long a machine is away.
	Cycle      time.Duration
	Candidates []Candidate
}

// spare is the part of the time to the deadline that is kept for machines that fail or wait.
const spare = 0.3

// Plan returns the machines to begin with now: idle ones at once, busy ones when the time that is left demands it, with the
// least to lose first.
func Plan(in Input) []string {
	free := in.MaxDown - in.Down
	if free <= 0 || len(in.Candidates) == 0 {
		return nil
	}
	list := byLoss(in.Candidates)
	pressed := DeadlineTight(in)
	var choices []string
	lasting := false
	for _, c := range list {
		if len(choices) >= free {
			break
		}
		if !c.Load.Allowed {
			continue
		}
		if c.Load.LongRunning > 0 {
			// One machine with long-running tasks at a time, since they may belong to one step.
			if lasting {
				continue
			}
			lasting = true
		}
		if c.Load.LostTime == 0 || pressed {
			choices = append(choices, c.Machine)
		}
	}
	return choices
}

// Drain returns the machines that should get no new work, since their upkeep must begin soon: those with the least to lose, as
// many as may be down.
func Drain(in Input) []string {
	if !DeadlineNear(in) {
		return nil
	}
	list := byLoss(in.Candidates)
	var next []string
	for _, c := range list {
		if len(next) < in.MaxDown-in.Down && c.Load.Worker != "" && c.Load.Reason == "" && !c.Load.Idle {
			next = append(next, c.Machine)
		}
	}
	return next
}

// DeadlineNear reports whether the machines that are left need half of the time that is left.
func DeadlineNear(in Input) bool { return pressed(in, 2) }

// DeadlineTight reports whether the machines that are left need all the time that is left.
func DeadlineTight(in Input) bool { return pressed(in, 1) }

func pressed(in Input, times int) bool {
	rounds := (in.Left + in.MaxDown - 1) / in.MaxDown
	// Machines of one pool follow each other where their tasks must not be away together.
	rounds = max(rounds, len(in.Candidates))
	need := time.Duration(times*rounds) * in.Cycle
	left := in.Deadline.Sub(in.Now)
	return left-time.Duration(spare*float64(left)) <= need
}

// byLoss returns the candidates with the least to lose first.
func byLoss(candidates []Candidate) []Candidate {
	list := slices.Clone(candidates)
	slices.SortStableFunc(list, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(loss(a), loss(b)), cmp.Compare(a.Machine, b.Machine))
	})
	return list
}

// loss orders machines by what their upkeep ends.
func loss(c Candidate) time.Duration {
	const lastingLoss = 2 * time.Second
	return c.Load.LostTime + time.Duration(c.Load.LongRunning)*lastingLoss
}
