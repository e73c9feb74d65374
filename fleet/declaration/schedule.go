package declaration

import (
	"fmt"
	"time"
)

func (c *checker) checkWaves() {
	forEach(c.set.Waves, func(name string, w Wave) {
		ref := Ref{KindWave, name}
		in := func(field string) fieldRef { return fieldRef{ref, field} }
		before := len(c.problems)
		c.checkScope(ref, w.Scope)
		c.require(w.RebootTime > 0 && w.RebootTime <= day, formatDuration(w.RebootTime), "a duration above 0s and at most 1d", in("rebootTime"))
		c.require(w.Every >= time.Hour, formatDuration(w.Every), "at least 1h", in("every"))
		c.require(w.From < day, formatTimeOfDay(w.From), "a time before 24:00", in("from"))
		if w.FinishBefore > 0 && timeUntil(w.From, w.FinishBefore) < windowLength(w) && w.From != w.Until {
			c.refuse(formatTimeOfDay(w.FinishBefore), fmt.Sprintf("a time not before until, %s", formatTimeOfDay(w.Until)), in("finishBefore"))
		}
		if len(c.problems) == before {
			c.checkRoundDuration(name, w)
		}
	})
}

// timeUntil returns the time from one time of day until the next occurrence of another; it is a day if they are equal.
func timeUntil(from, to time.Duration) time.Duration {
	d := (to - from + day) % day
	if d <= 0 {
		return day
	}
	return d
}

// windowLength returns the time per day during which the wave may begin stops.
func windowLength(w Wave) time.Duration { return timeUntil(w.From, w.Until) }

// timeForRound returns the time that the wave's schedule allows for one round. Without finishBefore the last stop may begin
// at the end of a window, so the time of its reboot is added.
func timeForRound(w Wave) time.Duration {
	if w.FinishBefore > 0 {
		return timeUntil(w.From, w.FinishBefore)
	}
	if w.From == w.Until {
		return w.Every
	}
	windows := max(1, w.Every/day)
	return windows*windowLength(w) + w.RebootTime
}

// checkRoundDuration refuses a budget under which a round of the wave takes longer than its schedule allows even if every
// reboot takes only the declared time.
func (c *checker) checkRoundDuration(name string, w Wave) {
	if hasLocations(w.Scope) {
		return
	}
	coveredInstances := map[string]int{}
	for _, pool := range c.set.CoveredPools(w.Scope) {
		for _, budget := range c.budgetsByPool[pool] {
			coveredInstances[budget] += c.set.Pools[pool].Instances
		}
	}
	available := timeForRound(w)
	forEach(coveredInstances, func(budget string, n int) {
		limit := c.set.Budgets[budget].MaxUnavailable
		if limit < 1 {
			return
		}
		minDuration, _ := multiply(int64(w.RebootTime), int64((n+limit-1)/limit))
		c.require(
			minDuration <= int64(available),
			fmt.Sprintf("budget %s with %d of %d instances at a time, so %s for the reboots of wave %s", budget, limit, n, formatDuration(time.Duration(minDuration)), name),
			fmt.Sprintf("a budget that leaves a round at most its %s", formatDuration(available)),
			fieldRef{Ref{KindBudget, budget}, "maxUnavailable"}, fieldRef{Ref{KindWave, name}, "rebootTime"})
	})
}

func hasLocations(s Scope) bool { return len(s.Regions)+len(s.DataCentres)+len(s.Racks) > 0 }
