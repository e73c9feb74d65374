package node

import (
	"slices"
	"strings"
	"time"

	"verbenalanding.example/fleet/upkeep"
	"verbenalanding.example/fleet/workload"
)

// evacuateDue makes the scheduler move long-running tasks away from machines whose upkeep is due.
func (u *upkeeps) evacuateDue(now time.Time) {
	u.pool.mu.Lock()
	defer u.pool.mu.Unlock()
	u.pool.scheduler.SetUpkeepDue(u.due)
	u.pool.scheduler.Evacuate(now)
}

// input returns the planner's input for a wave, the machines of the pool that may get an order now, and the number of those that may not.
func (u *upkeeps) input(w workload.Wave, now time.Time) (in upkeep.Input, machines map[string]workload.Machine, unavailable int) {
	u.mu.Lock()
	in = upkeep.Input{
		Now: now, Deadline: u.starts[w.ID].at.Add(w.Within), MaxDown: w.MaxDown, Cycle: u.pool.node.Settings.Bounds.Upkeep + lateReturnMargin,
	}
	busy := map[string]bool{}
	for _, s := range u.slotsOf(w.ID) {
		in.Down++
		busy[s.Machine] = true
	}
	machines = map[string]workload.Machine{}
	mt := u.pool.machines
	mt.mu.Lock()
	for _, id := range w.Machines {
		m, ok := mt.get(id)
		if !ok || busy[id] || u.done[w.ID][id] {
			continue
		}
		in.Left++
		if m.Pool != u.pool.name {
			continue
		}
		if m.State == workload.MachineUp && mt.orderable(id, now) {
			machines[id] = m
		} else {
			unavailable++
		}
	}
	mt.mu.Unlock()
	u.mu.Unlock()
	u.pool.mu.Lock()
	defer u.pool.mu.Unlock()
	for id, m := range machines {
		in.Candidates = append(in.Candidates, upkeep.Candidate{Machine: id, Load: u.pool.scheduler.MachineLoad(id, m.Worker, now)})
	}
	slices.SortFunc(in.Candidates, func(a, b upkeep.Candidate) int { return strings.Compare(a.Machine, b.Machine) })
	return in, machines, unavailable
}

// startBlockTime is how long a worker gets no starts after a plan in which its upkeep must begin soon.
const startBlockTime = 3 * waveInterval

// close blocks starts on machines whose upkeep must begin soon.
func (u *upkeeps) close(in upkeep.Input, now time.Time) {
	next := upkeep.Drain(in)
	if len(next) == 0 {
		return
	}
	u.pool.mu.Lock()
	defer u.pool.mu.Unlock()
	for _, c := range in.Candidates {
		if slices.Contains(next, c.Machine) {
			u.pool.scheduler.BlockStartsUntil(c.Load.Worker, now.Add(startBlockTime))
		}
	}
}

// waitLogInterval is how often the reason for waiting machines of a wave is logged.
const waitLogInterval = time.Second

// logWaiting logs why machines of a wave wait.
func (u *upkeeps) logWaiting(w workload.Wave, in upkeep.Input, unavailable int, now time.Time) {
	if now.Sub(u.waitLogged) < waitLogInterval || len(in.Candidates)+unavailable == 0 {
		return
	}
	u.waitLogged = now
	busy, forbidden, reason := 0, 0, ""
	for _, c := range in.Candidates {
		if !c.Load.Allowed {
			forbidden++
			reason = c.Load.Reason
		} else if c.Load.LostTime > 0 {
			busy++
		}
	}
	u.pool.log.Info().Str("wave", w.ID).Int("down", in.Down).Int("left", in.Left).Int("here", len(in.Candidates)+unavailable).Int("busy", busy).
		Int("forbidden", forbidden).Str("reason", reason).Int("moving", unavailable).Dur("timeLeft", in.Deadline.Sub(now)).Msg("machines of the wave are waiting for upkeep")
}
