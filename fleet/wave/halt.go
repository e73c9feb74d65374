package wave

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"verbenalanding.example/fleet/budget"
	"verbenalanding.example/fleet/platform"
	"verbenalanding.example/fleet/record"
)

const (
	// firmwareWindow is the number of the last rebooted instances among which the failures of a firmware are counted.
	firmwareWindow = 20
	// firmwareFailures is the number of failures among them, a tenth, with which a wave halts.
	firmwareFailures = 2
)

// soakTime is how long after an instance's return its failure is attributed to the wave. At 29 failures a day among 4,300
// workers, less than one unrelated failure falls into the soak time of a day's reboots.
const soakTime = 30 * time.Minute

// collectFailures adds the members that failed in this round to the failures in the record, each at most once between two
// resumptions.
func (v *view) collectFailures() {
	v.plan.Failures = slices.Clone(v.Record.Failures)
	recorded := map[string]bool{}
	for _, f := range v.plan.Failures {
		if f.At.After(v.Record.Resumed) {
			recorded[f.Instance] = true
		}
	}
	for _, m := range v.Members {
		if m.State != Failed || recorded[m.ID] || !v.stoppedByRound(m) || !m.Since.After(v.Record.Resumed) {
			continue
		}
		if returned := m.Maintained.After(v.Record.Started); returned && m.Since.Sub(m.Maintained) > soakTime {
			continue
		}
		v.plan.Failures = append(v.plan.Failures, record.Failure{Instance: m.ID, Location: m.Location, Firmware: m.Firmware, At: m.Since})
	}
}

// transition returns the event to send to the wave's state chart now, or nil.
func (v *view) transition() *Transition {
	r := v.Record
	switch r.State {
	case Planned:
		if v.windowOpen() {
			return &Transition{Event: "start", Rule: "window", Detail: "the window is open"}
		}
	case Running:
		return v.leaveRunning()
	case Paused:
		if !v.Declared.Paused {
			return &Transition{Event: "resume", Rule: "operator", Detail: "the pause was taken back"}
		}
	case Halted:
		return v.leaveHalted()
	}
	return nil
}

func (v *view) windowOpen() bool {
	if v.Declared.Paused {
		return false
	}
	if allDay(v.Declared) {
		return true
	}
	begin, _ := window(v.Declared, v.Now)
	return !v.Now.Before(begin)
}

func (v *view) leaveRunning() *Transition {
	if v.Declared.Paused {
		return &Transition{Event: "pause", Rule: "operator", Detail: "an operator paused the wave"}
	}
	if rule, detail := v.correlated(); rule != "" {
		return &Transition{Event: "halt", Rule: rule, Detail: detail}
	}
	if v.plan.Remaining == 0 && v.active == 0 {
		return &Transition{Event: "finish", Rule: "done", Detail: fmt.Sprintf("%d instances maintained, %d did not return", len(v.plan.Done), len(v.plan.Failed))}
	}
	return nil
}

func (v *view) leaveHalted() *Transition {
	r := v.Record
	if v.Resume.After(r.Since) {
		return &Transition{Event: "resume", Rule: "operator", Detail: "an operator asked the wave to continue"}
	}
	if after := v.Declared.ResumeAfter; after > 0 && !v.Now.Before(r.Since.Add(after)) {
		return &Transition{Event: "resume", Rule: "resumeAfter", Detail: fmt.Sprintf("halted for %s as declared", after)}
	}
	return nil
}

// correlated returns the rule by which the wave halts because of correlated failures, and its figures, or "".
func (v *view) correlated() (rule, detail string) {
	var recent []record.Failure
	for _, f := range v.plan.Failures {
		if f.At.After(v.Record.Resumed) {
			recent = append(recent, f)
		}
	}
	if rule, detail := sameRack(recent); rule != "" {
		return rule, detail
	}
	if n, of := v.failuresOfLastReboots(recent); n >= firmwareFailures {
		return "sameFirmware", fmt.Sprintf("%d of the last %d instances rebooted with %s failed, among them %s", n, of, Firmware(v.Declared.Name, v.Record.Round), recent[len(recent)-1].Instance)
	}
	if limit := max(1, v.Declared.HaltAfter); len(recent) >= limit {
		return "haltAfter", fmt.Sprintf("%d instances did not return, among them %s; the limit is %d", len(recent), recent[len(recent)-1].Instance, limit)
	}
	return v.lostDomain()
}

// failuresOfLastReboots returns how many of the last instances that were rebooted since the wave resumed failed, and the number of these
// instances.
func (v *view) failuresOfLastReboots(failures []record.Failure) (failed, of int) {
	type outcome struct {
		at     time.Time
		failed bool
	}
	var outcomes []outcome
	for _, m := range v.Members {
		if m.State == InService && m.Maintained.After(v.Record.Started) && m.Maintained.After(v.Record.Resumed) {
			outcomes = append(outcomes, outcome{at: m.Maintained})
		}
	}
	for _, f := range failures {
		outcomes = append(outcomes, outcome{at: f.At, failed: true})
	}
	// Newest first; of outcomes at the same time, a failure counts.
	slices.SortFunc(outcomes, func(a, b outcome) int {
		if byTime := b.at.Compare(a.at); byTime != 0 || a.failed == b.failed {
			return byTime
		}
		if a.failed {
			return -1
		}
		return 1
	})
	outcomes = outcomes[:min(len(outcomes), firmwareWindow)]
	for _, o := range outcomes {
		if o.failed {
			failed++
		}
	}
	return failed, len(outcomes)
}

func sameRack(failures []record.Failure) (rule, detail string) {
	racks := map[platform.Location]int{}
	for _, f := range failures {
		if racks[f.Location]++; racks[f.Location] >= 2 {
			return "sameRack", fmt.Sprintf("%d instances of rack %s in data centre %s did not return", racks[f.Location], f.Location.Rack, f.Location.DataCentre)
		}
	}
	return "", ""
}

// lostDomain finds a rack or data centre of the scope in which at least two and at least half of the instances failed since
// the wave last resumed.
func (v *view) lostDomain() (rule, detail string) {
	type tally struct{ failed, all int }
	tallies := map[budget.Domain]*tally{}
	for _, m := range v.Members {
		if m.State == Retired || !budget.Covers(v.Declared.Scope, v.Services, m.Member) {
			continue
		}
		for _, d := range []budget.Domain{budget.RackOf(m.Member), budget.DataCentreOf(m.Member)} {
			if tallies[d] == nil {
				tallies[d] = &tally{}
			}
			tallies[d].all++
			if m.State == Failed && m.Since.After(v.Record.Resumed) && m.Since.After(v.Record.Started) {
				tallies[d].failed++
			}
		}
	}
	var lost []budget.Domain
	for d, t := range tallies {
		if t.failed >= 2 && t.failed*2 >= t.all {
			lost = append(lost, d)
		}
	}
	if len(lost) == 0 {
		return "", ""
	}
	// The empty rack of a data centre sorts first, so that the largest domain is reported.
	slices.SortFunc(lost, func(a, b budget.Domain) int {
		return cmp.Or(cmp.Compare(a.Rack, b.Rack), cmp.Compare(a.DataCentre, b.DataCentre))
	})
	d := lost[0]
	name := fmt.Sprintf("data centre %s", d.DataCentre)
	if d.Rack != "" {
		name = fmt.Sprintf("rack %s in data centre %s", d.Rack, d.DataCentre)
	}
	return "domainLost", fmt.Sprintf("%d of %d instances of %s failed", tallies[d].failed, tallies[d].all, name)
}
