package wave

import (
	"fmt"
	"testing"
	"time"

	"verbenalanding.example/fleet/budget"
	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/internal/check"
	"verbenalanding.example/fleet/platform"
	"verbenalanding.example/fleet/record"
)

var start = time.Date(2027, 3, 1, 22, 0, 0, 0, time.UTC)

// runningWave returns the input of a planning step for a wave over n instances in racks of two, an hour after its start.
func runningWave(n int) Input {
	set := declaration.Set{Budgets: map[string]declaration.Budget{"all": {Name: "all", MaxUnavailable: 2}}}
	in := Input{
		Now: start.Add(time.Hour), Declared: declaration.Wave{Name: "w", RebootTime: 4 * time.Minute, HaltAfter: 5},
		Record:  record.Wave{Name: "w", State: Running, Round: 1, Started: start, Resumed: start},
		Budgets: set.Budgets, Index: budget.NewIndex(set),
	}
	for k := range n {
		in.Members = append(in.Members, Member{State: InService, Member: budget.Member{
			ID: fmt.Sprintf("i%d", k), Pool: "p", Location: platform.Location{DataCentre: fmt.Sprint(k % 3), Rack: fmt.Sprint(k / 2)},
		}})
	}
	return in
}

func fail(in *Input, rack func(k int) string, ks ...int) {
	for _, k := range ks {
		m := &in.Members[k]
		m.State, m.Since, m.Wave, m.Round, m.Location.Rack = Failed, in.Now.Add(-time.Minute), "w", 1, rack(k)
	}
}

// transitionOf returns the event and the rule of a plan's transition, or "".
func transitionOf(p Plan) string {
	for _, a := range p.Actions {
		if tr, ok := a.(Transition); ok {
			return tr.Event + " " + tr.Rule
		}
	}
	return ""
}

func countBegun(p Plan) int {
	n := 0
	for _, a := range p.Actions {
		if _, ok := a.(Begin); ok {
			n++
		}
	}
	return n
}

// Guards against a wave that continues after correlated failures, and against one that halts after uncorrelated ones.
func TestCorrelatedFailuresHaltWave(t *testing.T) {
	ownRack := func(k int) string { return fmt.Sprint("r", k) }
	p := &Planner{}
	one := runningWave(30)
	fail(&one, ownRack, 0)
	check.Equal(t, "one failure", transitionOf(p.Plan(one)), "")
	same := runningWave(30)
	fail(&same, func(int) string { return "x" }, 0, 3)
	check.Equal(t, "same rack", transitionOf(p.Plan(same)), "halt sameRack")
	firmware := runningWave(30)
	fail(&firmware, ownRack, 0, 4)
	check.Equal(t, "same firmware", transitionOf(p.Plan(firmware)), "halt sameFirmware")
	for _, tt := range []struct {
		between int
		want    string
	}{{firmwareWindow - 2, "halt sameFirmware"}, {firmwareWindow - 1, ""}} {
		spread := runningWave(40)
		fail(&spread, ownRack, 0, 4)
		spread.Members[0].Since = spread.Now.Add(-50 * time.Minute)
		for k := 6; k < 6+tt.between; k++ {
			spread.Members[k].Maintained = spread.Now.Add(-40 * time.Minute)
		}
		check.Equal(t, fmt.Sprintf("%d returns between two failures", tt.between), transitionOf(p.Plan(spread)), tt.want)
	}
	lost := runningWave(12)
	for k := range 2 {
		lost.Members[k].State, lost.Members[k].Since, lost.Members[k].Location = Failed, lost.Now, lost.Members[0].Location
	}
	check.Equal(t, "lost rack", transitionOf(p.Plan(lost)), "halt domainLost")
	late := runningWave(30)
	fail(&late, ownRack, 0, 4)
	for _, k := range []int{0, 4} {
		late.Members[k].Maintained = late.Members[k].Since.Add(-soakTime - time.Second)
	}
	check.Equal(t, "failures long after the return", transitionOf(p.Plan(late)), "")
}

// Guards against a halted wave that resumes without a declared rule or a later intent of the operator, and against one that
// does not resume on them.
func TestHaltedWaveResumesByRuleOrIntent(t *testing.T) {
	p := &Planner{}
	h := runningWave(6)
	h.Record.State, h.Record.Since = Halted, h.Now.Add(-time.Hour)
	check.Equal(t, "no rule", transitionOf(p.Plan(h)), "")
	h.Resume = h.Record.Since.Add(-time.Second)
	check.Equal(t, "intent from before the halt", transitionOf(p.Plan(h)), "")
	h.Resume = h.Now
	check.Equal(t, "intent", transitionOf(p.Plan(h)), "resume operator")
	h.Resume = time.Time{}
	h.Declared.ResumeAfter = time.Hour
	check.Equal(t, "declared rule", transitionOf(p.Plan(h)), "resume resumeAfter")
}

// Guards against stops that remove slots needed by demand, that end after the window, or that begin while the store is slow.
func TestStopsWaitForDemandWindowAndStore(t *testing.T) {
	p := &Planner{}
	d := runningWave(6)
	d.Loads = map[string]Load{"p": {Slots: 8, Demand: 35}}
	check.Equal(t, "demand", countBegun(p.Plan(d)), 0)
	d.Loads = map[string]Load{"p": {Slots: 8, Demand: 30}}
	check.Equal(t, "less demand", countBegun(p.Plan(d)), 1)
	w := runningWave(6)
	w.Declared.From, w.Declared.Until = 22*time.Hour, 23*time.Hour+3*time.Minute
	check.Equal(t, "3 minutes before the end of the window", countBegun(p.Plan(w)), 0)
	w.Declared.Until = 23*time.Hour + 20*time.Minute
	check.Equal(t, "20 minutes before the end", countBegun(p.Plan(w)), 2)
	s := runningWave(6)
	s.StoreSlow = true
	check.Equal(t, "slow store", countBegun(p.Plan(s)), 0)
}

// Guards against a wave that stops busy instances first, or leaves the budget that requires the most stops to the end.
func TestStopsTightBudgetsAndIdleInstancesFirst(t *testing.T) {
	p := &Planner{}
	o := runningWave(6)
	o.Members[0].InFlight, o.Members[1].InFlight = 3, 1
	o.Budgets = map[string]declaration.Budget{
		"all":   {Name: "all", MaxUnavailable: 2},
		"tight": {Name: "tight", Scope: declaration.Scope{DataCentres: []string{"2"}}, MaxUnavailable: 1},
	}
	o.Index = budget.NewIndex(declaration.Set{Budgets: o.Budgets})
	var order []string
	for _, a := range p.Plan(o).Actions {
		if b, ok := a.(Begin); ok {
			order = append(order, b.Instance)
		}
	}
	check.Equal(t, "order", order, []string{"i2", "i3"})
}

// Guards against a missed deadline that is reported only after it has passed.
func TestPredictsMissedDeadline(t *testing.T) {
	p := &Planner{}
	w := runningWave(40)
	w.Declared.From, w.Declared.Until, w.Declared.Every = 22*time.Hour, 5*time.Hour, 24*time.Hour
	check.Equal(t, "40 instances in 6 hours", p.Plan(w).Late(), "")
	w.Record.Cycles, w.Record.CycleTime = 2, 80*time.Minute
	plan := p.Plan(w)
	check.True(t, "late with reboots of 40 minutes", plan.Late() != "")
	check.Equal(t, "deadline", plan.Deadline, time.Date(2027, 3, 2, 5, 0, 0, 0, time.UTC))
	check.True(t, "latest start before now", plan.LatestStart.Before(w.Now))
}

// Guards against a reboot that counts as done because an outdated list shows a boot count that rose before the command.
func TestOutdatedListDoesNotEndReboot(t *testing.T) {
	now := start
	o := Observation{
		Now: now, AsOf: now.Add(-5 * time.Second), Present: true, RebootTime: time.Minute,
		Listed:   platform.Instance{ID: "a", Status: platform.Live, Healthy: true, BootCount: 2},
		Instance: record.Instance{ID: "a", State: "rebooting", Since: now.Add(-3 * time.Second), Command: "c", CommandAcknowledged: true, BootCountBefore: 1},
	}
	_, stays := Next(o).(Stay)
	check.True(t, "waits for a list after the command", stays)
	o.AsOf = now
	a, _ := Next(o).(Advance)
	check.Equal(t, "event", a.Event, "booted")
}

// Guards against a second reboot that interrupts one that takes ten times the declared time.
func TestSlowRebootIsNotRepeated(t *testing.T) {
	o := Observation{
		Now: start, AsOf: start, Present: true, RebootTime: 4 * time.Minute, Confirmed: true,
		Listed:   platform.Instance{ID: "a", Status: platform.Live, BootCount: 1},
		Instance: record.Instance{ID: "a", State: Failed, Since: start.Add(-28 * time.Minute), Command: "c", CommandAcknowledged: true, BootCountBefore: 1},
	}
	_, stays := Next(o).(Stay)
	check.True(t, "40 minutes after the command", stays)
	o.Now = start.Add(10 * time.Minute)
	a, _ := Next(o).(Advance)
	check.Equal(t, "rule after 50 minutes", a.Rule, "reboot")
}

// Guards against an unacknowledged command that takes effect after its instance serves again: the command must be sent until
// the platform acknowledges it, whatever the list shows.
func TestCommandIsSentUntilAcknowledged(t *testing.T) {
	o := Observation{
		Now: start.Add(time.Hour), AsOf: start.Add(time.Hour), Present: true, RebootTime: time.Minute,
		Listed:   platform.Instance{ID: "a", Status: platform.Live, Healthy: true, BootCount: 2},
		Instance: record.Instance{ID: "a", State: "rebooting", Since: start, Command: "c", BootCountBefore: 1},
	}
	_, sends := Next(o).(Command)
	check.True(t, "sends the command", sends)
}
