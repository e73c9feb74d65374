package wave

import (
	"fmt"
	"time"

	"verbenalanding.example/fleet/declaration"
)

const day = 24 * time.Hour

// window returns the begin and end of the maintenance window that contains t, or else of the next one.
func window(w declaration.Wave, t time.Time) (begin, end time.Time) {
	midnight := t.UTC().Truncate(day)
	length := w.Until - w.From
	if length <= 0 {
		length += day
	}
	for shift := -day; ; shift += day {
		begin = midnight.Add(shift + w.From)
		end = begin.Add(length)
		if end.After(t) {
			return begin, end
		}
	}
}

func allDay(w declaration.Wave) bool { return w.From == w.Until }

// Deadline returns when a round that started at the given time should be finished: at the next time of day that
// finishBefore declares, or else before the next round. The zero time means that there is no deadline.
func Deadline(w declaration.Wave, started time.Time) time.Time {
	if w.FinishBefore > 0 {
		deadline := started.UTC().Truncate(day).Add(w.FinishBefore)
		if !deadline.After(started) {
			deadline = deadline.Add(day)
		}
		return deadline
	}
	if allDay(w) {
		if w.Every <= 0 {
			return time.Time{}
		}
		return started.Add(w.Every)
	}
	_, end := window(w, started)
	for next := end.Add(day); w.Every > day && !next.After(started.Add(w.Every)); next = next.Add(day) {
		end = next
	}
	return end
}

// finishAfter returns when work of the duration need finishes if it continues at t and runs only within windows.
func finishAfter(w declaration.Wave, t time.Time, need time.Duration) time.Time {
	if allDay(w) {
		return t.Add(need)
	}
	// The search ends after 400 windows, more than a year.
	for range 400 {
		begin, end := window(w, t)
		if begin.After(t) {
			t = begin
		}
		if left := end.Sub(t); need <= left {
			return t.Add(need)
		} else if left > 0 {
			need -= left
		}
		t = end
	}
	return t
}

// startBefore returns the latest time to start work of the duration need that runs only within windows and must be finished
// at end.
func startBefore(w declaration.Wave, end time.Time, need time.Duration) time.Time {
	if allDay(w) {
		return end.Add(-need)
	}
	for range 400 {
		begin, _ := window(w, end.Add(-time.Nanosecond))
		if length := end.Sub(begin); need <= length {
			return end.Add(-need)
		} else if length > 0 {
			need -= length
		}
		_, end = window(w, begin.Add(-day))
	}
	return end
}

// Cycle returns the expected duration of one stop: the mean over the finished stops of this round, or else the declared
// reboot time plus StopTime.
func (p *Planner) Cycle(in Input) time.Duration {
	if in.Record.Cycles > 0 {
		return in.Record.CycleTime / time.Duration(in.Record.Cycles)
	}
	return in.Declared.RebootTime + p.StopTime
}

// remainingTime returns the expected duration of the remaining stops of the round if the budgets are fully used.
func (v *view) remainingTime() time.Duration {
	cycles := 0.0
	for name := range v.remainingByBudget {
		cycles = max(cycles, v.cycles(name))
	}
	if cycles == 0 && v.plan.Remaining > 0 {
		cycles = 1
	}
	return time.Duration(cycles * float64(v.planner.Cycle(v.Input)))
}

func (v *view) predict() {
	started := v.Record.Started
	if started.IsZero() || v.Record.State == Planned {
		started = v.Now
	}
	need := v.remainingTime()
	v.plan.Deadline = Deadline(v.Declared, started)
	v.plan.Predicted = finishAfter(v.Declared, v.Now, need)
	if !v.plan.Deadline.IsZero() {
		v.plan.LatestStart = startBefore(v.Declared, v.plan.Deadline, need)
	}
}

// late reports whether the deadline is expected to be missed.
func (v *view) late() bool {
	return !v.plan.Deadline.IsZero() && v.plan.Remaining > 0 && v.plan.Predicted.After(v.plan.Deadline)
}

// Late returns a description of the expected delay if the deadline is expected to be missed, or "".
func (p Plan) Late() string {
	if p.Deadline.IsZero() || p.Remaining == 0 || !p.Predicted.After(p.Deadline) {
		return ""
	}
	return fmt.Sprintf("finish is expected at %s, %s after the deadline %s, with %d instances left",
		p.Predicted.Format(time.RFC3339), p.Predicted.Sub(p.Deadline).Round(time.Second), p.Deadline.Format(time.RFC3339), p.Remaining)
}

// blocked returns why no stop may begin now, or nil.
func (v *view) blocked() *Wait {
	if v.StoreSlow {
		return &Wait{Rule: "store", Detail: "the store does not answer in time, so no planned stop begins"}
	}
	if v.overdue >= 2 && v.overdue*5 >= v.active {
		return &Wait{Rule: "overdue", Detail: fmt.Sprintf("%d of %d reboots take longer than %.1f times the expected %s", v.overdue, v.active, overdueFactor, v.planner.Cycle(v.Input))}
	}
	if allDay(v.Declared) {
		return nil
	}
	begin, end := window(v.Declared, v.Now)
	// The last stops begin one cycle before the end, so that every instance serves again by then.
	last := end.Add(-v.planner.Cycle(v.Input))
	if v.Now.Before(begin) || v.Now.After(last) {
		next, _ := window(v.Declared, end)
		if v.Now.Before(begin) {
			next = begin
		}
		return &Wait{Rule: "window", Detail: fmt.Sprintf("stops begin from %s on", next.Format(time.RFC3339))}
	}
	return nil
}
