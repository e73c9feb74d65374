package dispatch

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// longAgo is the age from which on ages make no difference to the decisions.
const longAgo = 20 * time.Second

func age(now, t time.Time) time.Duration {
	if t.IsZero() {
		return -longAgo
	}
	return min(max(now.Sub(t), -longAgo), longAgo)
}

// Fingerprint describes all of the pool's state on which its safety depends, with times relative to now.
func (p *Pool) Fingerprint(now time.Time) string {
	var b strings.Builder
	fmt.Fprintln(&b, p.Epoch, max(age(p.unsureUntil, now), 0), max(age(p.lostUntil, now), 0), p.heardBefore, p.mayRun != nil, p.mayRun, p.inherited, p.recordedSeals, p.inheritedKnown, p.named, p.obsolete,
		slices.Sorted(maps.Keys(p.absent)), slices.Sorted(maps.Keys(p.living)), p.living != nil, p.listed, age(now, p.provenAt))
	for _, id := range slices.Sorted(maps.Keys(p.quiet)) {
		fmt.Fprintln(&b, "quiet", id, age(now, p.quiet[id]))
	}
	for _, w := range p.ordered() {
		fmt.Fprintln(&b, w.ID, w.Incarnation, age(now, w.missing), w.synced, w.clock-w.clockAt(now), age(now, w.heard), age(now, w.leaseEnd),
			w.processed, w.recorded, w.failures, w.failedJob, age(now, w.suspectUntil), age(now, w.fullUntil), age(now, w.doubted), w.proof,
			w.reborn, w.lapsed, w.sealed, w.partial, w.early, w.withheld, age(now, w.longLease))
		for _, x := range w.sorted() {
			fmt.Fprintln(&b, x.task.id, x.number, x.phase, x.startEnd-w.clock, x.startClock != 0, x.startClock-w.clock, x.stopClock != 0,
				x.stopClock-w.clock, age(now, x.stopSent), x.uncertain, age(now, x.progressAt))
		}
	}
	for _, id := range slices.Sorted(maps.Keys(p.jobs)) {
		j := p.jobs[id]
		fmt.Fprintln(&b, id, j.state, j.started, j.restored, j.recordedVersion == j.version, p.dirty[id] != nil)
		for _, oc := range j.occurrences {
			for _, st := range oc.steps {
				for _, t := range st.tasks {
					fmt.Fprintln(&b, t.done, t.failedRuns, t.lastRun, t.avoid, st.ready)
				}
			}
		}
	}
	return b.String()
}
