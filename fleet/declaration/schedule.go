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
		if w.FinishBefore > 0 && clockDistance(w.From, w.FinishBefore) < window(w) && w.From != w.Until {
			c.refuse(formatTimeOfDay(w.FinishBefore), fmt.Sprintf("a time not before until, %s", formatTimeOfDay(w.Until)), in("finishBefore"))
		}
		if len(c.problems) == before {
			c.checkDuration(name, w)
		}
	})
}

// clockDistance returns the time from one time of day to the next occurrence of the other; equal times are a day apart.
func clockDistance(from, to time.Duration) time.Duration {
	d := (to - from + day) % day
	if d <= 0 {
		return day
	}
	return d
}

// window returns the time per day in which the wave may begin stops.
func window(w Wave) time.Duration { return clockDistance(w.From, w.Until) }

// timeForRound returns the time that the wave's schedule allows for one round.
// Without finishBefore the last stop may begin at the end of a window, so its reboot is added.
func timeForRound(w Wave) time.Duration {
	if w.FinishBefore > 0 {
		return clockDistance(w.From, w.FinishBefore)
	}
	if w.From == w.Until {
		return w.Every
	}
	windows := max(1, w.Every/day)
	return windows*window(w) + w.RebootTime
}

// checkDuration refuses a budget with which a round of the wave takes longer than its schedule allows, even if every reboot
// takes only the declared time.
func (c *checker) checkDuration(name string, w Wave) {
	if hasLocations(w.Scope) {
		return
	}
	shared := map[string]int{}
	for _, pool := range c.set.CoveredPools(w.Scope) {
		for _, budget := range c.budgetsByPool[pool] {
			shared[budget] += c.set.Pools[pool].Instances
		}
	}
	available := timeForRound(w)
	forEach(shared, func(budget string, n int) {
		limit := c.set.Budgets[budget].MaxUnavailable
		if limit < 1 {
			return
		}
		least, _ := multiply(int64(w.RebootTime), int64((n+limit-1)/limit))
		c.require(
			least <= int64(available),
			fmt.Sprintf("budget %s with %d of %d instances at a time, so %s for the reboots of wave %s", budget, limit, n, formatDuration(time.Duration(least)), name),
			fmt.Sprintf("a budget that leaves a round at most its %s", formatDuration(available)),
			fieldRef{Ref{KindBudget, budget}, "maxUnavailable"}, fieldRef{Ref{KindWave, name}, "rebootTime"})
	})
}

func hasLocations(s Scope) bool { return len(s.Regions)+len(s.DataCentres)+len(s.Racks) > 0 }
