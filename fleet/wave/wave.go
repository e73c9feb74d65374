package wave

import (
	"cmp"
	"fmt"
	"math"
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
