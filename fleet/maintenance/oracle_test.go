package maintenance

import (
	"fmt"

	"verbenalanding.example/fleet/budget"
	"verbenalanding.example/fleet/record"
	"verbenalanding.example/fleet/store"
	"verbenalanding.example/fleet/wave"
)

func (f *fleetFuzz) violate(format string, args ...any) {
	if f.violation == "" {
		f.violation = fmt.Sprintf(format, args...)
	}
}

// checkFenced reports a write of an earlier holder after its successor has taken over. An earlier holder may still create a
// key: that succeeds only once, and the successor claims the record.
func (f *fleetFuzz) checkFenced(h *holder, r store.PutRequest) {
	c := f.current[h.duty]
	if c != h && c.tookOver() && r.Expect != 0 {
		f.violate("%s: epoch %d wrote %s although epoch %d has taken over", h.duty, h.epoch, r.Key, c.epoch)
	}
}

// checkCommand reports a command that does not match the instance's record at that time.
func (f *fleetFuzz) checkCommand(h *holder, id, commandID, state string) {
	if f.control.TimesApplied(commandID) > 0 {
		return
	}
	if i := f.records[id]; i.State != state || i.Command != commandID {
		f.violate("%s epoch %d: command %s for an instance in state %s with command %s", h.duty, h.epoch, commandID, i.State, i.Command)
	}
}

// checkInstance checks invariants P1 (budgets) and P2 (one pool) at every write of an instance record.
func (f *fleetFuzz) checkInstance(h *holder, id string, i record.Instance, writesAtStart int) {
	old, existed := f.records[id]
	if existed && old.Pool != i.Pool && (old.State != "draining" || i.State != "moving") {
		f.violate("instance %s went from pool %s to %s in state %s", id, old.Pool, i.Pool, old.State)
	}
	switch {
	case i.State == wave.InService || i.State == wave.Retired:
		f.budgetPool[id] = i.Pool
		delete(f.plannedStops, id)
		delete(f.failedAt, id)
	case i.State == wave.Failed:
		if _, ok := f.failedAt[id]; !ok {
			f.failedAt[id] = f.writes
		}
		delete(f.plannedStops, id)
	case i.State == "draining" && old.State == wave.InService:
		f.plannedStops[id] = true
		f.checkBudgets(h, id, i, writesAtStart)
	}
}

// checkBudgets counts the instances out of service: those in a planned stop, and the failed ones whose record the holder
// could read when its step began.
func (f *fleetFuzz) checkBudgets(h *holder, id string, i record.Instance, writesAtStart int) {
	for name, b := range f.set.Budgets {
		if !budget.Covers(b.Scope, nil, f.memberOf(i)) {
			continue
		}
		stopped, failed := 0, 0
		for other, o := range f.records {
			if other == id {
				o = i
			}
			at, down := f.failedAt[other]
			switch covers := budget.Covers(b.Scope, nil, f.memberOf(o)); {
			case covers && f.plannedStops[other]:
				stopped++
			case covers && down && at <= writesAtStart:
				failed++
			}
		}
		if stopped+failed > b.MaxUnavailable {
			f.violate("%s epoch %d: budget %s: %d stopped and %d failed of at most %d after the stop of %s: %s", h.duty, h.epoch, name, stopped, failed, b.MaxUnavailable, id, f.describe())
		}
	}
}

func (f *fleetFuzz) recordDeleted(key string) {
	if id, ok := cutPrefix(key, record.InstancePrefix); ok {
		delete(f.records, id)
		delete(f.plannedStops, id)
		delete(f.failedAt, id)
	}
}

func (f *fleetFuzz) checkInterruptions() {
	if f.violation != "" {
		f.t.Fatal(f.violation)
	}
	if interruptions := f.control.Interruptions(); len(interruptions) > 0 {
		f.t.Fatalf("interrupted requests: got %+v, want none", interruptions)
	}
}
