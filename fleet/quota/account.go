package quota

import (
	"time"

	"verbenalanding.example/fleet/workload"
)

const (
	// settleTime is how long nothing is granted after a limit has come into force, until all holders have stated what already runs.
	settleTime = time.Second
	// peakWindow is half of the longest time for which the highest need counts, so that a grant is not returned between two tasks.
	peakWindow = 200 * time.Millisecond
	// writePause is the minimum time between two changes of an account other than raises from what is free.
	writePause = 50 * time.Millisecond
	// wantPause is the minimum time between two changes of a want that was registered before.
	wantPause = 200 * time.Millisecond
	// smallestStep divides the limit: in a shortage a grant changes by limit/smallestStep or by all that is missing, which
	// bounds the number of writes.
	smallestStep = 32
)

// Usage is what a pool's runs of a workspace occupy, and what its waiting tasks need.
type Usage struct {
	// Known is what the runs that the holder knows may occupy: ordered, unanswered, present and stopping.
	Known workload.Resources
	// Uncertain is what runs of a former holder may occupy that no worker has reported yet. They fit into the rest of the grant.
	Uncertain workload.Resources
	// Short is the need of the ready tasks that only the grant keeps from starting, Least that of the largest one.
	Short, Least workload.Resources
}

// Allowance is what a pool's runs of a workspace may occupy.
type Allowance struct {
	// Amount bounds what all runs occupy once a task has been started.
	Amount workload.Resources
	// Alone bounds a task that is larger than the limit and starts while nothing else of the workspace runs in any pool.
	Alone workload.Resources
}

// Account is a pool's view of a workspace with a limit. It is not safe for concurrent use.
type Account struct {
	pool string
	// version and limit are those of the holder's configuration.
	version int64
	limit   amounts

	// record is what the store had at revision; known is false before the first answer.
	known    bool
	record   Record
	revision uint64
	readyAt  time.Time
	// bound limits the use while a write that lowers the grant has no known outcome: it may take effect as long as the record has boundRevision.
	bound         amounts
	boundRevision uint64
	// part bounds the use while the sum of the grants exceeds the limit, yield while other pools want more than is free.
	part, yield amounts
	// peaks holds the highest needs of the present and the last window.
	peaks    [2]amounts
	peakFrom time.Time

	writtenAt, wantedAt time.Time
	// lastUsage and lastRevision are those of the last decision; idle is true if only another usage or revision can lead to a change.
	lastUsage    Usage
	lastRevision uint64
	idle         bool
	// allowance is kept while computed is true: the sum over all pools of a record takes too long for each call.
	allowance Allowance
	computed  bool
}

// NewAccount returns the account of a pool.
func NewAccount(pool string) *Account {
	a := &Account{pool: pool}
	a.resetParts()
	a.bound = unbounded()
	return a
}

// unbounded returns amounts that bound nothing.
func unbounded() amounts { return amounts{unlimited, unlimited, unlimited} }

func (a *Account) resetParts() { a.part, a.yield = unbounded(), unbounded() }

// SetLimit applies the limit of a version of the configuration.
func (a *Account) SetLimit(version int64, limit workload.Resources) {
	if version < a.version {
		return
	}
	a.version, a.limit, a.idle, a.computed = version, amountsOf(limit), false, false
	a.updateParts()
}

// Observe applies the record as the store has it; a missing or deleted record has the revision 0. It ignores one that is older than the last.
func (a *Account) Observe(r Record, revision uint64, now time.Time) {
	if a.known && revision != 0 && revision < a.revision {
		return
	}
	if revision != a.boundRevision {
		a.bound = unbounded()
	}
	before, after := amountsOf(a.record.Limit), amountsOf(r.Limit)
	for i := range after {
		if !r.Settled && after[i] > 0 && (!a.known || before[i] == 0) {
			a.readyAt = now.Add(settleTime)
		}
	}
	a.known, a.record, a.revision, a.idle, a.computed = true, r, revision, false, false
	a.updateParts()
}

// Revision returns the revision of the record that was last observed.
func (a *Account) Revision() uint64 { return a.revision }

// Refused reports that the last change was certainly not written; the next one follows at once.
func (a *Account) Refused() { a.writtenAt, a.idle = time.Time{}, false }

// Known reports whether a record, or that there is none, was observed.
func (a *Account) Known() bool { return a.known }

// Share returns what the pool holds and wants as the store has it.
func (a *Account) Share() Share { return a.record.Pools[a.pool] }

// Limit returns the limit in force.
func (a *Account) Limit() workload.Resources { return a.inForce().resources() }

// inForce returns the limit of the newest configuration that the holder or the record has.
func (a *Account) inForce() amounts {
	if a.record.Version > a.version {
		return amountsOf(a.record.Limit)
	}
	return a.limit
}

// Allowance returns what the pool may use now. Nothing is granted before the record was read.
func (a *Account) Allowance() Allowance {
	if !a.computed {
		a.allowance, a.computed = a.newAllowance(), true
	}
	return a.allowance
}

func (a *Account) newAllowance() Allowance {
	limit := a.inForce()
	grant := amountsOf(a.Share().Grant)
	sum := amountsOf(a.record.Granted())
	var amount, alone amounts
	for i := range amount {
		if limit[i] == 0 {
			amount[i], alone[i] = unlimited, unlimited
			continue
		}
		if !a.known {
			continue
		}
		// While the grants exceed the limit, others may still occupy all of theirs.
		left := max(0, limit[i]-(sum[i]-grant[i]))
		amount[i] = min(grant[i], left, a.bound[i], a.part[i], a.yield[i])
		alone[i] = amount[i]
		if sum[i] == grant[i] {
			alone[i] = min(grant[i], a.bound[i])
		}
	}
	return Allowance{amount.resources(), alone.resources()}
}

// updateParts sets the pool's part of a limit into which the grants do not fit, in proportion to the grants. It only shrinks until they fit: the sum
// falls as other pools lower their grants, which would raise the part again.
func (a *Account) updateParts() {
	limit := a.inForce()
	grant, sum := amountsOf(a.Share().Grant), amountsOf(a.record.Granted())
	for i := range limit {
		if limit[i] == 0 || sum[i] <= limit[i] {
			a.part[i] = unlimited
			continue
		}
		a.part[i] = min(a.part[i], partOf(grant[i], limit[i], sum[i]))
	}
}

// notePeak returns the highest need of the last one to two windows.
func (a *Account) notePeak(need amounts, now time.Time) amounts {
	switch since := now.Sub(a.peakFrom); {
	case since >= 2*peakWindow:
		a.peaks, a.peakFrom = [2]amounts{}, now
	case since >= peakWindow:
		a.peaks[1], a.peaks[0], a.peakFrom = a.peaks[0], amounts{}, now
	}
	a.peaks[0] = a.peaks[0].largest(need)
	return a.peaks[0].largest(a.peaks[1])
}
