package budget

import (
	"fmt"

	"verbenalanding.example/fleet/declaration"
)

// Event changes the use of a budget: Reserve, Release, Down or Up.
type Event interface{ event() }

// Reserve requests a reservation to stop a member.
type Reserve struct{ Member Member }

// Release releases a reservation.
type Release struct{ ID string }

// Down reports the unplanned failure of a member.
type Down struct{ Member Member }

// Up reports that a failed member serves again.
type Up struct{ ID string }

func (Reserve) event() {}
func (Release) event() {}
func (Down) event()    {}
func (Up) event()      {}

// Decision is the answer to an event: Granted or Denied.
type Decision interface{ decision() }

// Granted reports that the event is recorded in the ledger.
type Granted struct{ Figures Figures }

// Denied reports that a reservation would exceed the limit that Rule names.
type Denied struct {
	Rule    string
	Figures Figures
}

func (Granted) decision() {}
func (Denied) decision()  {}

// The rules that deny a reservation.
const (
	RuleUnavailable = "maxUnavailable"
	RuleRacks       = "maxRacks"
	RuleDataCentres = "maxDataCentres"
)

// Figures are the use of a budget and its limits.
type Figures struct {
	Budget         string
	Reserved       int
	Down           int
	MaxUnavailable int
	Racks          int
	MaxRacks       int
	DataCentres    int
	MaxDataCentres int
}

// String formats the figures for the detail of a reason.
func (f Figures) String() string {
	s := fmt.Sprintf("budget %s: %d reserved and %d failed of at most %d", f.Budget, f.Reserved, f.Down, f.MaxUnavailable)
	if f.MaxRacks > 0 {
		s += fmt.Sprintf(", %d of %d racks", f.Racks, f.MaxRacks)
	}
	if f.MaxDataCentres > 0 {
		s += fmt.Sprintf(", %d of %d data centres", f.DataCentres, f.MaxDataCentres)
	}
	return s
}

// Ledger records the use of one budget.
type Ledger struct {
	declared        declaration.Budget
	reserved        map[string]Member
	down            map[string]Member
	reservedAndDown int
	racks           map[Domain]int
	dataCentres     map[Domain]int
}

// NewLedger returns a ledger without reservations.
func NewLedger(declared declaration.Budget) *Ledger {
	return &Ledger{
		declared: declared, reserved: map[string]Member{}, down: map[string]Member{},
		racks: map[Domain]int{}, dataCentres: map[Domain]int{},
	}
}

// Apply records an event; only Reserve can be denied.
func (l *Ledger) Apply(e Event) Decision {
	switch e := e.(type) {
	case Reserve:
		if denied := l.Check(e.Member); denied != nil {
			return *denied
		}
		l.ReserveUnchecked(e.Member)
	case Release:
		l.release(e.ID)
	case Down:
		if _, ok := l.down[e.Member.ID]; !ok {
			l.down[e.Member.ID] = e.Member
			l.reservedAndDown += l.count(l.reserved, e.Member.ID)
		}
	case Up:
		if _, ok := l.down[e.ID]; ok {
			delete(l.down, e.ID)
			l.reservedAndDown -= l.count(l.reserved, e.ID)
		}
	}
	return Granted{Figures: l.Figures()}
}

// Check returns why a reservation for the member would be denied, or nil.
func (l *Ledger) Check(m Member) *Denied {
	if _, ok := l.reserved[m.ID]; ok {
		return nil
	}
	// Stopping a member that already failed does not reduce availability further.
	_, failed := l.down[m.ID]
	switch {
	case !failed && l.Used()+1 > l.declared.MaxUnavailable:
		return &Denied{Rule: RuleUnavailable, Figures: l.Figures()}
	case l.exceeds(l.racks, RackOf(m), l.declared.MaxRacks):
		return &Denied{Rule: RuleRacks, Figures: l.Figures()}
	case l.exceeds(l.dataCentres, DataCentreOf(m), l.declared.MaxDataCentres):
		return &Denied{Rule: RuleDataCentres, Figures: l.Figures()}
	}
	return nil
}

// ReserveUnchecked records a reservation that was granted earlier, without a check.
func (l *Ledger) ReserveUnchecked(m Member) {
	if _, ok := l.reserved[m.ID]; ok {
		return
	}
	l.reserved[m.ID] = m
	l.reservedAndDown += l.count(l.down, m.ID)
	l.racks[RackOf(m)]++
	l.dataCentres[DataCentreOf(m)]++
}

// Used returns the number of members that are reserved, failed or both.
func (l *Ledger) Used() int { return len(l.reserved) + len(l.down) - l.reservedAndDown }

// Free returns how many more members MaxUnavailable allows to reserve; it is negative if failures exceed the limit.
func (l *Ledger) Free() int { return l.declared.MaxUnavailable - l.Used() }

// Figures returns the use and the limits.
func (l *Ledger) Figures() Figures {
	return Figures{
		Budget: l.declared.Name, Reserved: len(l.reserved), Down: len(l.down) - l.reservedAndDown, MaxUnavailable: l.declared.MaxUnavailable,
		Racks: len(l.racks), MaxRacks: l.declared.MaxRacks, DataCentres: len(l.dataCentres), MaxDataCentres: l.declared.MaxDataCentres,
	}
}

func (l *Ledger) release(id string) {
	m, ok := l.reserved[id]
	if !ok {
		return
	}
	delete(l.reserved, id)
	l.reservedAndDown -= l.count(l.down, id)
	decrement(l.racks, RackOf(m))
	decrement(l.dataCentres, DataCentreOf(m))
}

// count returns 1 if the members contain the id and 0 otherwise.
func (l *Ledger) count(members map[string]Member, id string) int {
	if _, ok := members[id]; ok {
		return 1
	}
	return 0
}

// exceeds reports whether using a further domain would exceed the limit; 0 sets none.
func (l *Ledger) exceeds(used map[Domain]int, d Domain, limit int) bool {
	return limit > 0 && used[d] == 0 && len(used)+1 > limit
}

func decrement(used map[Domain]int, d Domain) {
	if used[d]--; used[d] == 0 {
		delete(used, d)
	}
}
