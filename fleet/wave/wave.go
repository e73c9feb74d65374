package wave

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"verbenalanding.example/fleet/budget"
	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/record"
)

// The states that the planner distinguishes.
const (
	InService = "inService"
	Failed    = "failed"
	Retired   = "retired"

	Planned  = "planned"
	Running  = "running"
	Paused   = "paused"
	Halted   = "halted"
	Finished = "finished"
)

// Member is the part of an instance's state that the planner uses.
type Member struct {
	budget.Member
	State string
	// Since is when the state was entered, Maintained when the last maintenance ended.
	Since      time.Time
	Maintained time.Time
	// Wave and Round name the wave that stopped the member; Firmware names the wave and round of its last reboot.
	Wave     string
	Round    uint64
	Firmware string
	Attempts int
	InFlight int
	Cordoned bool
	// RebootDuration is how long the last reboot took; 0 is unknown.
	RebootDuration time.Duration
}

// Load is the demand on a pool in request slots.
type Load struct {
	// Slots is the number of slots of one instance.
	Slots float64
	// Demand is the smoothed demand now, Forecast the highest expected during one stop.
	Demand   float64
	Forecast float64
}

// Input is the observed state for one planning step.
type Input struct {
	Now      time.Time
	Declared declaration.Wave
	Record   record.Wave
	Services map[string]declaration.Service
	Budgets  map[string]declaration.Budget
	// Index finds the budgets of a member.
	Index *budget.Index
	// Members is the whole fleet, so that stops of other waves and moves count in the budgets.
	Members []Member
	// Loads is the demand by pool; a pool without an entry is not limited by demand.
	Loads map[string]Load
	// Resume is the time of the operator's last request to resume the wave.
	Resume time.Time
	// StoreSlow forbids new stops.
	StoreSlow bool
}

// Action is Begin, Transition or Wait.
type Action interface{ action() }

// Begin requests to reserve and drain an instance.
type Begin struct {
	Instance string
	Reason   string
}

// Transition requests an event of the wave's state chart.
type Transition struct {
	Event  string
	Rule   string
	Detail string
}

// Wait reports why no stop, or not every possible stop, was begun.
type Wait struct {
	Rule   string
	Detail string
}

func (Begin) action()      {}
func (Transition) action() {}
func (Wait) action()       {}

// Plan is the outcome of a planning step.
type Plan struct {
	Actions []Action
	// Done and Failed are instances of the scope that are maintained or that did not return.
	Done   []string
	Failed []string
	// Failures are the failures of this round, including those already in the record.
	Failures []record.Failure
	// Deadline, Predicted and LatestStart are zero when the wave has no deadline.
	Deadline    time.Time
	Predicted   time.Time
	LatestStart time.Time
	// Remaining is the number of instances that are not maintained yet.
	Remaining int
}

// Planner decides what a wave does next; the zero value of a field is replaced by its default.
type Planner struct {
	// FirstWidth is the number of instances stopped at a time before any has returned.
	FirstWidth int
	// WidthGrowth is by how much each returned instance widens the wave.
	WidthGrowth int
	// Utilization is the maximum share of the slots remaining in service that demand may use.
	Utilization float64
	// Attempts is the number of reboots after which a failed instance is not rebooted again and needs the operator.
	Attempts int
	// StopTime is the expected time of drain and check in addition to the reboot.
	StopTime time.Duration
}

// Default fills unset fields.
func (p *Planner) Default() {
	// Bad firmware breaks at most FirstWidth instances before it is detected; 32 is less than 1% of 4,300 workers.
	p.FirstWidth = cmp.Or(p.FirstWidth, 32)
	p.WidthGrowth = cmp.Or(p.WidthGrowth, 8)
	p.Utilization = cmp.Or(p.Utilization, 0.85)
	p.Attempts = cmp.Or(p.Attempts, MaxAttempts)
	p.StopTime = cmp.Or(p.StopTime, 30*time.Second)
}

// view is an input with the values derived from it.
type view struct {
	Input
	planner *Planner
	ledgers map[string]*budget.Ledger
	// covering holds the names of the budgets that cover each member.
	covering [][]string
	// pending holds the indices of the members that are still to be stopped.
	pending           []int
	remainingByRack   map[string]map[budget.Domain]int
	remainingByBudget map[string]int
	active            int
	overdue           int
	returned          int
	servingByPool     map[string]int
	plan              Plan
}

// Plan decides one step of a wave.
func (p *Planner) Plan(in Input) Plan {
	p.Default()
	v := &view{Input: in, planner: p}
	v.observe()
	v.predict()
	if tr := v.transition(); tr != nil {
		v.plan.Actions = append(v.plan.Actions, *tr)
		return v.plan
	}
	switch in.Record.State {
	case Running:
		v.begin()
	case Planned:
		v.plan.Actions = append(v.plan.Actions, v.notStarted())
	}
	return v.plan
}

// observe computes the use of budgets, the instances still to maintain and the failures.
func (v *view) observe() {
	v.ledgers = map[string]*budget.Ledger{}
	for name, b := range v.Budgets {
		v.ledgers[name] = budget.NewLedger(b)
	}
	v.remainingByRack = map[string]map[budget.Domain]int{}
	v.remainingByBudget = map[string]int{}
	v.servingByPool = map[string]int{}
	v.covering = make([][]string, len(v.Members))
	ordered := map[string]bool{}
	for _, id := range v.Record.Active {
		ordered[id] = true
	}
	for i, m := range v.Members {
		if m.State == Retired {
			continue
		}
		v.covering[i] = v.Index.Covering(m.Member)
		v.recordUse(i, ordered[m.ID])
		if budget.Covers(v.Declared.Scope, v.Services, m.Member) {
			v.classify(i, ordered[m.ID])
		}
	}
	v.collectFailures()
}

func (v *view) recordUse(i int, ordered bool) {
	m := v.Members[i]
	if m.State == InService && !ordered {
		v.servingByPool[m.Pool]++
		return
	}
	// A member that is being checked is about to return, so its place in the budgets is given to the next stop in advance.
	// The pool's loop still makes that stop's reservation only after the return.
	if m.State == "checking" && v.stoppedByRound(m) {
		return
	}
	for _, name := range v.covering[i] {
		if m.State == Failed {
			v.ledgers[name].Apply(budget.Down{Member: m.Member})
		} else {
			v.ledgers[name].ReserveUnchecked(m.Member)
		}
	}
}

func (v *view) classify(i int, ordered bool) {
	m := v.Members[i]
	started := v.Record.Started
	switch {
	case m.Maintained.After(started) && !started.IsZero() && m.State == InService:
		v.plan.Done = append(v.plan.Done, m.ID)
		if m.Maintained.After(v.Record.Resumed) {
			v.returned++
		}
		return
	case m.State == Failed && m.Attempts >= v.planner.Attempts:
		v.plan.Failed = append(v.plan.Failed, m.ID)
		return
	case m.State == Failed && v.stoppedByRound(m):
		v.plan.Failed = append(v.plan.Failed, m.ID)
	case m.Cordoned && !ordered && m.State == InService:
		return
	}
	v.plan.Remaining++
	if ordered || (m.State != InService && m.State != Failed) {
		v.active++
	}
	if m.State == "rebooting" && v.stoppedByRound(m) && float64(v.Now.Sub(m.Since)) > overdueFactor*float64(v.planner.Cycle(v.Input)) {
		v.overdue++
	}
	for _, name := range v.covering[i] {
		v.remainingByBudget[name]++
		if v.remainingByRack[name] == nil {
			v.remainingByRack[name] = map[budget.Domain]int{}
		}
		v.remainingByRack[name][budget.RackOf(m.Member)]++
	}
	if m.State == InService && !ordered {
		v.pending = append(v.pending, i)
	}
}

// stoppedByRound reports whether this round of the wave stopped or rebooted the member.
func (v *view) stoppedByRound(m Member) bool {
	return m.Wave == v.Declared.Name && m.Round == v.Record.Round || m.Firmware == Firmware(v.Declared.Name, v.Record.Round)
}

// overdueFactor is the multiple of the expected time after which a reboot counts as overdue. If many are overdue, the wave
// begins no further stops, before any of them counts as failed.
const overdueFactor = 1.5

// Firmware returns the name of the firmware that a round of a wave installs.
func Firmware(wave string, round uint64) string { return fmt.Sprintf("%s/%d", wave, round) }

// cycles returns a lower bound on the number of consecutive stops that a budget requires.
func (v *view) cycles(name string) float64 {
	b := v.Budgets[name]
	if v.remainingByBudget[name] == 0 || b.MaxUnavailable <= 0 {
		return 0
	}
	n := float64(v.remainingByBudget[name]) / float64(b.MaxUnavailable)
	if b.MaxRacks > 0 {
		batches := 0
		for _, k := range v.remainingByRack[name] {
			batches += (k + b.MaxUnavailable - 1) / b.MaxUnavailable
		}
		n = math.Max(n, float64(batches)/float64(b.MaxRacks))
	}
	return n
}

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
