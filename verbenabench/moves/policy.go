package moves

import (
	"math"
	"time"

	"verbenalanding.example/fleet/budget"
	"verbenalanding.example/fleet/move"
)

// policy decides on the moves in each planning step.
type policy interface {
	observe(s move.Sample)
	plan(now time.Time, pools []move.Pool) []move.Move
}

// planned is the fleet's own move planner.
type planned struct{ planner move.Planner }

func (p *planned) observe(s move.Sample) { p.planner.Observe(s) }

func (p *planned) plan(now time.Time, pools []move.Pool) []move.Move {
	var moves []move.Move
	for _, a := range p.planner.Plan(now, pools) {
		if m, ok := a.(move.Move); ok {
			moves = append(moves, m)
		}
	}
	return moves
}

// static is the baseline that leaves every pool at its declared size, which is sized for its peak demand.
type static struct{}

func (static) observe(move.Sample) {}

func (static) plan(time.Time, []move.Pool) []move.Move { return nil }

// threshold is the baseline that adds an instance to a pool above a utilization of 80 % and returns one below 50 %, by the mean utilization
// of the last minute.
type threshold struct {
	recent map[string][]float64
}

func (t *threshold) observe(s move.Sample) {
	list := append(t.recent[s.Pool], s.Slots)
	t.recent[s.Pool] = list[max(0, len(list)-6):]
}

func (t *threshold) plan(_ time.Time, pools []move.Pool) []move.Move {
	var moves []move.Move
	assigned := map[string]bool{}
	for _, p := range pools {
		if p.Declared.Spare || len(t.recent[p.Declared.Name]) == 0 {
			continue
		}
		sum := 0.0
		for _, sample := range t.recent[p.Declared.Name] {
			sum += sample
		}
		size := len(p.Members) + len(p.Incoming)
		utilization := sum / float64(len(t.recent[p.Declared.Name])) / float64(size*slots)
		switch {
		case utilization > 0.8 && size < p.Declared.Maximum:
			if from, id := spareMember(pools, assigned); id != "" {
				assigned[id] = true
				moves = append(moves, move.Move{Instance: id, From: from, To: p.Declared.Name})
			}
		case utilization < 0.5 && size > p.Declared.Minimum && len(p.Members) > 0:
			moves = append(moves, move.Move{Instance: p.Members[0].ID, From: p.Declared.Name, To: smallestSpare(pools)})
		}
	}
	return moves
}

func spareMember(pools []move.Pool, assigned map[string]bool) (pool, id string) {
	for _, p := range pools {
		if !p.Declared.Spare {
			continue
		}
		for _, m := range p.Members[min(len(p.Members), p.Declared.Minimum):] {
			if !assigned[m.ID] {
				return p.Declared.Name, m.ID
			}
		}
	}
	return "", ""
}

func smallestSpare(pools []move.Pool) string {
	name, size := "", math.MaxInt
	for _, p := range pools {
		if p.Declared.Spare && len(p.Members) < size {
			name, size = p.Declared.Name, len(p.Members)
		}
	}
	return name
}

// maxMembersPerRack returns the largest number of members of a pool in one rack, which is how many the loss of a rack can take.
func maxMembersPerRack(p move.Pool) int {
	racks := map[budget.Domain]int{}
	fullest := 0
	for _, m := range p.Members {
		racks[budget.RackOf(m.Member)]++
		fullest = max(fullest, racks[budget.RackOf(m.Member)])
	}
	return fullest
}
