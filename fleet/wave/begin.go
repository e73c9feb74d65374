package wave

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"verbenalanding.example/fleet/budget"
)

type candidate struct {
	index int
	// cycles is the number of consecutive stops that each budget of the member still requires, the tightest budget first. If
	// only the tightest counted, all members under a tight budget of the whole fleet would tie, those of small pools included.
	cycles []float64
	// remainingInRack is the number of members still to maintain in the member's rack, under the tightest budget.
	remainingInRack int
}

// notStarted returns why a planned round has not started.
func (v *view) notStarted() Wait {
	if v.Declared.Paused {
		return Wait{Rule: "paused", Detail: "an operator paused the wave before this round started"}
	}
	if wait := v.blocked(); wait != nil {
		return *wait
	}
	return Wait{Rule: "none due", Detail: fmt.Sprintf("%d instances are left in this round", v.plan.Remaining)}
}

// begin chooses the instances to stop; those under the budget that requires the most consecutive stops come first.
func (v *view) begin() {
	if wait := v.blocked(); wait != nil {
		v.plan.Actions = append(v.plan.Actions, *wait)
		return
	}
	width := v.planner.FirstWidth + v.planner.WidthGrowth*v.returned
	waits := map[string]Wait{}
	begun := 0
	for _, c := range v.candidates() {
		if v.active >= width {
			waits["width"] = Wait{Rule: "width", Detail: fmt.Sprintf("%d stopped of at most %d until more have returned", v.active, width)}
			break
		}
		m := v.Members[c.index]
		if wait := v.refusal(c.index); wait != nil {
			waits[wait.Rule] = *wait
			continue
		}
		for _, name := range v.covering[c.index] {
			v.ledgers[name].ReserveUnchecked(m.Member)
		}
		v.servingByPool[m.Pool]--
		v.active++
		begun++
		v.plan.Actions = append(v.plan.Actions, Begin{
			Instance: m.ID,
			Reason:   fmt.Sprintf("wave %s round %d, %d of width %d, %.1f stops in a row left", v.Declared.Name, v.Record.Round, v.active, width, tightest(c.cycles)),
		})
	}
	if begun == 0 {
		v.plan.Actions = append(v.plan.Actions, sortedWaits(waits)...)
	}
}

func tightest(cycles []float64) float64 {
	if len(cycles) == 0 {
		return 0
	}
	return cycles[0]
}

func sortedWaits(waits map[string]Wait) []Action {
	var actions []Action
	for _, w := range waits {
		actions = append(actions, w)
	}
	slices.SortFunc(actions, func(a, b Action) int { return cmp.Compare(a.(Wait).Rule, b.(Wait).Rule) })
	return actions
}

// candidates returns the members still to maintain in the order in which they are tried. Among members under the same
// budgets the one with the slowest reboot comes first, so that concurrent stops end at about the same time.
func (v *view) candidates() []candidate {
	cycles := map[string]float64{}
	for name := range v.remainingByBudget {
		cycles[name] = v.cycles(name)
	}
	list := make([]candidate, 0, len(v.pending))
	for _, i := range v.pending {
		c := candidate{index: i}
		tightest := 0.0
		for _, name := range v.covering[i] {
			c.cycles = append(c.cycles, cycles[name])
			if cycles[name] > tightest {
				tightest = cycles[name]
				c.remainingInRack = v.remainingByRack[name][budget.RackOf(v.Members[i].Member)]
			}
		}
		slices.SortFunc(c.cycles, func(a, b float64) int { return cmp.Compare(b, a) })
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b candidate) int {
		ma, mb := v.Members[a.index], v.Members[b.index]
		return cmp.Or(slices.Compare(b.cycles, a.cycles), cmp.Compare(mb.RebootDuration, ma.RebootDuration), cmp.Compare(b.remainingInRack, a.remainingInRack), cmp.Compare(ma.InFlight, mb.InFlight),
			ma.Maintained.Compare(mb.Maintained), cmp.Compare(ma.ID, mb.ID))
	})
	return list
}

// refusal returns why a member is not stopped now, or nil.
func (v *view) refusal(i int) *Wait {
	m := v.Members[i]
	for _, name := range v.covering[i] {
		if denied := v.ledgers[name].Check(m.Member); denied != nil {
			return &Wait{Rule: "budget." + denied.Rule, Detail: denied.Figures.String()}
		}
	}
	l, ok := v.Loads[m.Pool]
	if !ok || v.late() {
		return nil
	}
	left := float64(v.servingByPool[m.Pool]-1) * l.Slots * v.planner.Utilization
	if need := math.Max(l.Demand, l.Forecast); need > left {
		return &Wait{Rule: "demand", Detail: fmt.Sprintf("pool %s needs %.0f slots, %.0f would be left", m.Pool, need, left)}
	}
	return nil
}
