package quota

import (
	"time"

	"verbenalanding.example/fleet/workload"
)

// Reason says why a record changes.
type Reason string

// The reasons of a change; a change with several has the first of them.
const (
	// ReasonLimit means that the configuration has a new limit.
	ReasonLimit Reason = "limit"
	// ReasonDeclared means that runs began before the workspace had a limit.
	ReasonDeclared Reason = "declared"
	// ReasonLowered means that the grants exceed the limit.
	ReasonLowered Reason = "lowered"
	// ReasonReturned means that other pools want what this one does not use, or has beyond its part.
	ReasonReturned Reason = "returned"
	// ReasonRaised means that the pool's runs need more.
	ReasonRaised Reason = "raised"
	// ReasonSettled means that all holders had the time to state what already ran, so that the next holder of a pool need not wait for that.
	ReasonSettled Reason = "settled"
	// ReasonWanted means that the pool needs more than is free, or no longer does.
	ReasonWanted Reason = "wanted"
)

// Change is a record to be written on condition that it has the account's revision.
type Change struct {
	Record Record
	Reason Reason
	// Before is the grant that the pool had.
	Before workload.Resources
}

// decision holds the figures of one decision.
type decision struct {
	limit, grant, sum amounts
	// occupied is what runs may occupy, need what the waiting tasks need with it, recent the highest need of late.
	occupied, need, recent amounts
	least                  amounts
	others                 []otherPool
	// unmet is what other pools want beyond their grants.
	unmet amounts
	// oversized is true for a waiting task that is larger than the limit.
	oversized [resources]bool
	// target is the grant that the pool shall have.
	target amounts
}

// Decide returns the change of the record that the pool needs now. What it gives back counts as given at once.
func (a *Account) Decide(u Usage, now time.Time) (Change, bool) {
	if !a.known || (a.idle && u == a.lastUsage && a.revision == a.lastRevision) {
		return Change{}, false
	}
	a.lastUsage, a.lastRevision, a.computed = u, a.revision, false
	d := a.newDecision(u, now)
	reason := a.setTarget(&d, now)
	own := a.Share()
	next := a.record.clone()
	if a.record.Version == 0 || (a.version > a.record.Version && a.limit != amountsOf(a.record.Limit)) {
		a.noteLimit(&next)
		reason = ReasonLimit
	}
	share := Share{Grant: d.target.resources(), Want: own.Want, Least: own.Least}
	a.setWant(&share, &d, now)
	if reason == "" && share.Grant != own.Grant {
		reason = ReasonReturned
	}
	if reason == "" && (share.Want != own.Want || share.Least != own.Least) {
		reason = ReasonWanted
	}
	if reason == "" && a.settled(now) {
		reason = ReasonSettled
	}
	paused := now.Sub(a.writtenAt) < writePause
	raisedFromFree := reason == ReasonRaised && d.unmet == (amounts{})
	a.idle = reason == "" && u.Short == (workload.Resources{}) && own.Want == (workload.Resources{}) && a.quiet(&d)
	if reason == "" || (paused && !raisedFromFree && reason != ReasonLimit && reason != ReasonDeclared) {
		return Change{}, false
	}
	if reason == ReasonRaised || reason == ReasonSettled {
		next.Settled = true
	}
	if share == (Share{}) {
		delete(next.Pools, a.pool)
	} else {
		next.Pools[a.pool] = share
	}
	if share.Want != own.Want {
		a.wantedAt = now
	}
	a.writtenAt = now
	a.boundUse(&d)
	return Change{Record: next, Reason: reason, Before: own.Grant}, true
}

// quiet reports whether the record asks nothing of the pool: it is settled, no other pool wants more, and the grants fit into the limit.
func (a *Account) quiet(d *decision) bool {
	return a.record.Settled && len(d.wanting()) == 0 && !d.sum.exceeds(d.limit, d.limit)
}

// settled reports whether the record can be marked as settled.
func (a *Account) settled(now time.Time) bool {
	return !a.record.Settled && !now.Before(a.readyAt) && a.record.Version > 0 && a.record.Limit == a.inForce().resources()
}

// noteLimit sets the limit of the configuration in the record. A limit of a resource that had none holds once all holders have stated what runs.
func (a *Account) noteLimit(next *Record) {
	before := amountsOf(next.Limit)
	for i := range before {
		if before[i] == 0 && a.limit[i] > 0 {
			next.Settled = false
		}
	}
	next.Version, next.Limit = a.version, a.limit.resources()
}

// boundUse excludes what a change gives back from use from now on: the write may take effect as long as the record has its present revision.
func (a *Account) boundUse(d *decision) {
	if a.boundRevision != a.revision {
		a.bound, a.boundRevision = unbounded(), a.revision
	}
	stored := amountsOf(a.Share().Grant)
	for i := range d.target {
		if d.target[i] < stored[i] {
			a.bound[i] = min(a.bound[i], d.target[i])
		}
	}
}

// newDecision returns the figures of a decision, before its target is set.
func (a *Account) newDecision(u Usage, now time.Time) decision {
	d := decision{
		limit: a.inForce(), grant: amountsOf(a.Share().Grant), sum: amountsOf(a.record.Granted()), least: amountsOf(u.Least),
		others: a.record.others(a.pool),
	}
	for i, stored := range d.grant {
		// What a write without an answer gives back counts as given back; the next write replaces the record as a whole.
		d.grant[i] = min(stored, a.bound[i])
		d.sum[i] -= stored - d.grant[i]
	}
	known, uncertain := amountsOf(u.Known), amountsOf(u.Uncertain)
	for i := range d.grant {
		d.occupied[i] = known[i] + min(uncertain[i], max(0, d.grant[i]-known[i]))
	}
	d.need = d.occupied.plus(amountsOf(u.Short))
	for i, short := range amountsOf(u.Short) {
		if uncertain[i] == 0 || short == 0 {
			continue
		}
		// Nothing starts before all that may be present fits beside it; where the limit has no room for that, a higher grant is of no use.
		d.need[i] = d.occupied[i]
		if known[i]+uncertain[i]+d.least[i] <= d.limit[i] {
			d.need[i] = known[i] + uncertain[i] + short
		}
	}
	d.recent = a.notePeak(d.need, now)
	for _, c := range d.others {
		for i := range c.want {
			d.unmet[i] += max(0, c.want[i]-c.grant[i])
		}
	}
	for i := range d.least {
		d.oversized[i] = d.limit[i] > 0 && d.least[i] > d.limit[i]
	}
	return d
}

// wanting returns the other pools that want more than they have.
func (d *decision) wanting() []otherPool {
	var list []otherPool
	for _, c := range d.others {
		if c.want.exceeds(c.grant, d.limit) {
			list = append(list, c)
		}
	}
	return list
}

// setTarget decides on the pool's grant, and on its part while others want more.
func (a *Account) setTarget(d *decision, now time.Time) Reason {
	reason := Reason("")
	d.target = d.grant
	a.yield = unbounded()
	for i, limit := range d.limit {
		var r Reason
		switch {
		case limit == 0:
			d.target[i] = 0
		case d.occupied[i] > d.grant[i]:
			d.target[i], r = d.occupied[i], ReasonDeclared
		case d.sum[i] > limit && !(d.oversized[i] && d.sum[i] == d.grant[i]):
			r = a.lower(d, i)
		case d.need[i] > d.grant[i]:
			r = a.raise(d, i, now)
			if r == "" {
				r = a.giveBack(d, i)
			}
		default:
			r = a.giveBack(d, i)
		}
		if reason == "" {
			reason = r
		}
	}
	return reason
}

// lower lowers a grant to the pool's part of a limit into which the grants do not fit.
func (a *Account) lower(d *decision, i int) Reason {
	target := max(d.occupied[i], min(d.grant[i], a.part[i]))
	if target >= d.grant[i] {
		return ""
	}
	d.target[i] = target
	return ReasonLowered
}

// raise raises a grant from what is free, beyond the need if no other pool wants it, so that few writes are needed.
func (a *Account) raise(d *decision, i int, now time.Time) Reason {
	if now.Before(a.readyAt) || amountsOf(a.record.Limit)[i] == 0 {
		return ""
	}
	limit, grant := d.limit[i], d.grant[i]
	if d.oversized[i] && d.sum[i] == grant {
		d.target[i] = max(grant, d.least[i])
		return raisedIf(d.target[i] > grant)
	}
	free := max(0, limit-d.sum[i])
	lacking := d.need[i] - grant
	if left := free - d.unmet[i]; left > 0 {
		d.target[i] = grant + min(left, max(lacking, left/2))
		return ReasonRaised
	}
	target := min(d.need[i], grant+free, max(grant, d.entitled(a.pool, i)))
	if target-grant < min(lacking, max(1, limit/smallestStep)) {
		return ""
	}
	d.target[i] = target
	return raisedIf(target > grant)
}

func raisedIf(raised bool) Reason {
	if raised {
		return ReasonRaised
	}
	return ""
}

// giveBack returns what other pools want: what the pool has not needed of late, and what it has beyond its part of the limit once runs end.
func (a *Account) giveBack(d *decision, i int) Reason {
	limit, grant := d.limit[i], d.grant[i]
	missing := d.unmet[i] - max(0, limit-d.sum[i])
	if missing <= 0 {
		return ""
	}
	entitled := d.entitled(a.pool, i)
	if grant > entitled {
		a.yield[i] = max(entitled, grant-missing)
	}
	keep := max(d.occupied[i], min(d.recent[i], entitled))
	// Half of what is spare goes at once, since a demand that has moved mostly grows further.
	target := max(keep, grant-max(missing, (grant-keep)/2))
	if target >= grant || (grant-target < max(1, limit/smallestStep) && grant-target < missing && target > 0) {
		return ""
	}
	d.target[i] = target
	return ReasonReturned
}

// entitled returns the pool's part of a limit that is short: an equal part, and what equal parts of others do not use. A pool whose largest waiting
// task needs more than an equal part gets that; of several such pools, the one with the first name.
func (d *decision) entitled(pool string, i int) int64 {
	limit, wanting := d.limit[i], 1
	for _, c := range d.others {
		if c.want[i] > c.grant[i] {
			wanting++
		}
	}
	even := limit / int64(wanting)
	large := d.least[i] > even
	left := limit
	first := true
	for _, c := range d.others {
		part := even
		if c.least[i] > even && (!large || c.pool < pool) {
			part = c.least[i]
			first = false
		}
		if c.want[i] > c.grant[i] {
			left -= min(c.want[i], part)
		}
	}
	if large && first {
		left = max(left, d.least[i])
	}
	return max(0, min(left, limit))
}

// setWant sets what the pool wants beyond its grant.
func (a *Account) setWant(share *Share, d *decision, now time.Time) {
	want, least := amounts{}, amounts{}
	if d.recent.exceeds(d.target, d.limit) {
		for i, limit := range d.limit {
			if limit > 0 {
				want[i], least[i] = min(d.recent[i], max(limit, d.least[i])), d.least[i]
			}
		}
	}
	stored := amountsOf(share.Want)
	if (stored == amounts{}) != (want == amounts{}) {
		share.Want, share.Least = want.resources(), least.resources()
		return
	}
	if now.Sub(a.wantedAt) < wantPause {
		return
	}
	// changed divides the larger of two amounts: a want that differs by less is not written.
	const changed = 4
	for i := range want {
		// Others give nothing to a want that the grant covers.
		if (want[i] > d.target[i] && stored[i] <= d.target[i]) || differ(want[i], stored[i], changed) || differ(least[i], amountsOf(share.Least)[i], changed) {
			share.Want, share.Least = want.resources(), least.resources()
			return
		}
	}
}

// differ reports whether two amounts differ by more than the larger one divided by parts.
func differ(a, b, parts int64) bool { return max(a, b)-min(a, b) > max(a, b)/parts }
