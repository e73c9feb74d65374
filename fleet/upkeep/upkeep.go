package upkeep

import (
	"cmp"
	"slices"
	"time"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/workload"
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

const (
	// reserve is the fraction of the time to the deadline that is kept for machines that fail or wait.
	reserve = 0.3
	// minRounds is the least number of rounds for which time is kept: an unanswered order is repeated only after a timeout.
	minRounds = 2
	// drainTime is how long the tasks of a worker that gets no more starts usually run on.
	drainTime = 2 * time.Second
)

// Plan returns the machines to start now: idle ones immediately, busy ones when the time to the deadline is tight, in ascending order of
// the work that they lose.
func Plan(in Input) []string {
	free := in.MaxDown - in.Down
	if free <= 0 || len(in.Candidates) == 0 {
		return nil
	}
	var choices []string
	longRunning := false
	for _, c := range byLoss(in.Candidates) {
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
		if c.Load.LostTime == 0 || in.tight(c) {
			choices = append(choices, c.Machine)
		}
	}
	return choices
}

// Drain returns the machines that should get no new work, since their upkeep must begin soon: at most as many as may be down, and no more than
// are needed to finish in time, so that the others go on working.
func Drain(in Input) []string {
	var drain []string
	needed := in.concurrency()
	for _, c := range byLoss(in.Candidates) {
		if len(drain) >= in.MaxDown-in.Down {
			break
		}
		if c.Load.Worker == "" || c.Load.Reason != "" || c.Load.Idle || !in.near(c) {
			continue
		}
		if len(drain) < needed || c.Load.LongRunning > 0 {
			drain = append(drain, c.Machine)
		}
	}
	return drain
}

// concurrency returns how many machines of this pool must be drained or in upkeep at a time for all of them to finish in the time that is left.
func (in Input) concurrency() int {
	left := in.available()
	if left <= 0 {
		return len(in.Candidates)
	}
	work := workload.Scale(in.Cycle+drainTime, float64(len(in.Candidates)))
	return int(min((work-1)/left+1, time.Duration(len(in.Candidates))))
}

// near reports whether half of the time that is left is needed for a machine and those before it.
func (in Input) near(c Candidate) bool { return in.available() <= workload.Scale(in.needed(c), 2) }

// tight reports whether all of the time that is left is needed.
func (in Input) tight(c Candidate) bool { return in.available() <= in.needed(c) }

// needed returns the time that the upkeep of all machines takes.
func (in Input) needed(c Candidate) time.Duration {
	rounds := max(minRounds, (in.Left+in.MaxDown-1)/in.MaxDown)
	if c.Load.LongRunning > 0 {
		// The machines with long-running tasks go one after the other if their tasks must not be unavailable together.
		rounds = max(rounds, in.withLongRunning())
	}
	return workload.Scale(in.Cycle, float64(rounds))
}

func (in Input) withLongRunning() int {
	n := 0
	for _, c := range in.Candidates {
		if c.Load.LongRunning > 0 {
			n++
		}
	}
	return n
}

// available returns the time to the deadline without the reserve.
func (in Input) available() time.Duration {
	left := in.Deadline.Sub(in.Now)
	return left - time.Duration(reserve*float64(left))
}

// byLoss sorts the candidates by the work that their upkeep interrupts.
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
