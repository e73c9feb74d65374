package upkeep

import (
	"cmp"
	"slices"
	"time"

	"verbenalanding.example/fleet/dispatch"
)

// Candidate is a machine of the pool whose upkeep is still pending.
type Candidate struct {
	Machine string
	Load    dispatch.Load
}

// Input is the state of a wave.
type Input struct {
	Now      time.Time
	Deadline time.Time
	// MaxDown is how many machines of the wave may be in upkeep at once, Down how many are in upkeep now.
	MaxDown int
	Down    int
	// Left is how many machines of all pools are still pending, including those of Candidates.
	Left int
	// Cycle is how long a machine is unavailable for its upkeep.
	Cycle      time.Duration
	Candidates []Candidate
}

// reserve is the fraction of the time to the deadline that is kept for machines that fail or wait.
const reserve = 0.3

// Plan returns the machines to start now: idle ones immediately, busy ones when the time to the deadline is tight, in ascending order of
// the work that they lose.
func Plan(in Input) []string {
	free := in.MaxDown - in.Down
	if free <= 0 || len(in.Candidates) == 0 {
		return nil
	}
	list := byLoss(in.Candidates)
	tight := DeadlineTight(in)
	var choices []string
	longRunning := false
	for _, c := range list {
		if len(choices) >= free {
			break
		}
		if !c.Load.Allowed {
			continue
		}
		if c.Load.LongRunning > 0 {
			// Start one machine with long-running tasks at a time, since their tasks may belong to the same step.
			if longRunning {
				continue
			}
			longRunning = true
		}
		if c.Load.LostTime == 0 || tight {
			choices = append(choices, c.Machine)
		}
	}
	return choices
}

// Drain returns the machines that should get no new work since their upkeep must start soon: those that lose the least work, as many as
// may be in upkeep at once.
func Drain(in Input) []string {
	if !DeadlineNear(in) {
		return nil
	}
	list := byLoss(in.Candidates)
	var drain []string
	for _, c := range list {
		if len(drain) < in.MaxDown-in.Down && c.Load.Worker != "" && c.Load.Reason == "" && !c.Load.Idle {
			drain = append(drain, c.Machine)
		}
	}
	return drain
}

// DeadlineNear reports whether the pending machines need half of the time to the deadline or more.
func DeadlineNear(in Input) bool { return exceeds(in, 2) }

// DeadlineTight reports whether the pending machines need all of the time to the deadline.
func DeadlineTight(in Input) bool { return exceeds(in, 1) }

// exceeds reports whether factor times the upkeep time of the pending machines reaches or exceeds the time to the deadline less the
// reserve.
func exceeds(in Input, factor int) bool {
	rounds := (in.Left + in.MaxDown - 1) / in.MaxDown
	// The machines of a pool must go one after the other if their tasks must not be unavailable together.
	rounds = max(rounds, len(in.Candidates))
	need := time.Duration(factor*rounds) * in.Cycle
	left := in.Deadline.Sub(in.Now)
	return left-time.Duration(reserve*float64(left)) <= need
}

// byLoss returns the candidates in ascending order of the work that they lose.
func byLoss(candidates []Candidate) []Candidate {
	list := slices.Clone(candidates)
	slices.SortStableFunc(list, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(loss(a), loss(b)), cmp.Compare(a.Machine, b.Machine))
	})
	return list
}

// loss is the cost of the work that the upkeep of a machine interrupts.
func loss(c Candidate) time.Duration {
	const longRunningLoss = 2 * time.Second
	return c.Load.LostTime + time.Duration(c.Load.LongRunning)*longRunningLoss
}
