package maintenance

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"verbenalanding.example/fleet/budget"
	"verbenalanding.example/fleet/platform"
	"verbenalanding.example/fleet/record"
	"verbenalanding.example/fleet/store"
	"verbenalanding.example/fleet/wave"
)

// casAttempts is the number of attempts to write a budget that other holders change at the same time.
const casAttempts = 4

// updateBudget changes a budget record by compare-and-swap; change reports whether it changed the record.
func (s *step) updateBudget(name string, change func(*record.Budget) (bool, error)) error {
	for attempt := 0; ; attempt++ {
		current := s.Budgets[name]
		b := current.Value
		b.Name = name
		b.Reservations = slices.Clone(b.Reservations)
		b.Holders = maps.Clone(b.Holders)
		if b.Holders == nil {
			b.Holders = map[string]record.Epoch{}
		}
		if b.Holders[s.duty()] > s.Epoch {
			return fmt.Errorf("budget %s: %w", name, record.ErrFenced)
		}
		changed, err := change(&b)
		if err != nil || !changed {
			return err
		}
		b.Holders[s.duty()] = s.Epoch
		b.Epoch = max(b.Epoch, s.Epoch)
		revision, err := record.Save(s.ctx, s.Store, record.BudgetPrefix+name, b, current.Revision, 0)
		if err == nil {
			s.Budgets[name] = Versioned[record.Budget]{Value: b, Revision: revision}
			return nil
		}
		if !errors.Is(err, store.ErrConflict) || attempt+1 == casAttempts {
			return err
		}
		budgets, err := s.Fleet.refreshBudget(s.ctx)
		if err != nil {
			return err
		}
		s.Budgets[name] = budgets[name]
	}
}

// claimBudgets fences earlier holders in every budget that may hold reservations of this duty.
func (s *step) claimBudgets() error {
	names := map[string]bool{}
	for _, id := range s.instanceIDs {
		for _, n := range s.index.Covering(memberOf(s.Instances[id].Value)) {
			names[n] = true
		}
	}
	for n, b := range s.Budgets {
		if _, ok := b.Value.Holders[s.duty()]; ok {
			names[n] = true
		}
	}
	for _, n := range slices.Sorted(maps.Keys(names)) {
		err := s.updateBudget(n, func(b *record.Budget) (bool, error) {
			for k, r := range b.Reservations {
				if r.Holder == s.duty() {
					b.Reservations[k].Epoch = s.Epoch
				}
			}
			return true, nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// ledger returns the use of a budget: its reservations and the covered instances that are out of service without a
// reservation.
func (s *step) ledger(name string, b record.Budget) *budget.Ledger {
	declared := s.set.Budgets[name]
	l := budget.NewLedger(declared)
	reserved := map[string]bool{}
	for _, r := range b.Reservations {
		reserved[r.Instance] = true
		l.ReserveUnchecked(s.member(r.Instance))
	}
	for id, v := range s.Instances {
		if reserved[id] || !s.outOfService(v.Value) {
			continue
		}
		if m := memberOf(v.Value); budget.Covers(declared.Scope, s.set.Services, m) {
			l.Apply(budget.Down{Member: m})
		}
	}
	return l
}

// member returns an instance for the ledger; one without a record counts as in a rack and data centre of its own.
func (s *step) member(id string) budget.Member {
	if v, ok := s.Instances[id]; ok {
		return memberOf(v.Value)
	}
	return budget.Member{ID: id, Location: platform.Location{DataCentre: id, Rack: id}}
}

// outOfService reports whether an instance does not serve according to its record or to the platform's list.
func (s *step) outOfService(i record.Instance) bool {
	if i.State == wave.Retired {
		return false
	}
	listed, ok := s.Listed[i.ID]
	return i.State != wave.InService || !ok || !listed.Healthy || listed.Status == platform.Gone
}

// reserve adds a reservation for an instance to every budget that covers it, in name order, or returns the denial.
func (s *step) reserve(id string) (*budget.Denied, error) {
	m := memberOf(s.Instances[id].Value)
	for _, name := range s.index.Covering(m) {
		var denied *budget.Denied
		err := s.updateBudget(name, func(b *record.Budget) (bool, error) {
			denied = nil
			// A reservation left over from an earlier stop was granted without regard to later failures.
			b.Reservations = slices.DeleteFunc(b.Reservations, func(r record.Reservation) bool { return r.Instance == id })
			if denied = s.ledger(name, *b).Check(m); denied != nil {
				return false, nil
			}
			b.Reservations = append(b.Reservations, record.Reservation{Instance: id, Holder: s.duty(), Epoch: s.Epoch, Since: s.now})
			b.Down = s.unreservedDown(name, *b)
			return true, nil
		})
		if err != nil {
			return nil, err
		}
		if denied != nil {
			return denied, s.releaseInstance(id)
		}
	}
	return nil, nil
}

// unreservedDown lists the covered instances that are out of service without a reservation.
func (s *step) unreservedDown(name string, b record.Budget) []string {
	reserved := map[string]bool{}
	for _, r := range b.Reservations {
		reserved[r.Instance] = true
	}
	var ids []string
	for id, v := range s.Instances {
		if !reserved[id] && s.outOfService(v.Value) && budget.Covers(s.set.Budgets[name].Scope, s.set.Services, memberOf(v.Value)) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// releaseInstance releases the reservations of one instance.
func (s *step) releaseInstance(id string) error {
	return s.releaseWhere(func(r record.Reservation) bool { return r.Instance == id })
}

// release releases the reservations of instances that serve again or have left the fleet.
func (s *step) release() error {
	return s.releaseWhere(func(r record.Reservation) bool {
		v, ok := s.Instances[r.Instance]
		return !ok || v.Value.State == wave.InService || v.Value.State == wave.Retired
	})
}

func (s *step) releaseWhere(match func(record.Reservation) bool) error {
	ownMatch := func(r record.Reservation) bool { return r.Holder == s.duty() && match(r) }
	for _, name := range slices.Sorted(maps.Keys(s.Budgets)) {
		err := s.updateBudget(name, func(b *record.Budget) (bool, error) {
			n := len(b.Reservations)
			b.Reservations = slices.DeleteFunc(b.Reservations, ownMatch)
			return len(b.Reservations) < n, nil
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// overdrawn returns the name of a budget that failures have overdrawn while the instance drains, or "".
func (s *step) overdrawn(i record.Instance) string {
	for _, name := range s.index.Covering(memberOf(i)) {
		if s.ledger(name, s.Budgets[name].Value).Free() < 0 {
			return name
		}
	}
	return ""
}
