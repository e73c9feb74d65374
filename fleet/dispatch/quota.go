package dispatch

import (
	"fmt"
	"time"

	"verbenalanding.example/fleet/quota"
	"verbenalanding.example/fleet/workload"
)

// reserveAfter is how long a task waits for its workspace's grant before smaller tasks of the workspace behind it wait too, which would otherwise take each
// amount that becomes free.
const reserveAfter = time.Second

// setLimits applies the limits of the configuration's workspaces.
func (p *Pool) setLimits() {
	p.limited = p.limited[:0]
	for name, a := range p.accounts {
		if p.workspaces[name] == nil {
			a.limit = workload.Resources{}
		}
	}
	for name, w := range p.workspaces {
		if w.MaxRunning == (workload.Resources{}) {
			if a := p.accounts[name]; a != nil {
				a.limit = workload.Resources{}
			}
			continue
		}
		a := p.account(name)
		a.limit = w.MaxRunning
		p.limited = append(p.limited, a)
	}
}

// SetAllowance sets what the runs of a workspace with a limit may occupy in this pool. Before the first call none of its tasks start.
func (p *Pool) SetAllowance(workspace string, allowance quota.Allowance) {
	if a := p.accounts[workspace]; a != nil {
		a.allowance = allowance
	}
}

// WorkspaceUsage returns what the workspaces with a limit occupy, and what their tasks lacked in the last plan. The map is valid until the next call.
func (p *Pool) WorkspaceUsage(now time.Time) map[string]quota.Usage {
	if len(p.limited) == 0 {
		return nil
	}
	room, counted := workload.Resources{}, false
	if p.usage == nil {
		p.usage = make(map[string]quota.Usage, len(p.limited))
	}
	clear(p.usage)
	for _, a := range p.limited {
		u := quota.Usage{Known: a.used, Uncertain: p.uncertainOf(a), Short: a.short, Least: a.least}
		if u.Short != (workload.Resources{}) {
			if !counted {
				room, counted = p.startableRoom(now), true
			}
			u.Short = atMost(u.Short, largest(room, u.Least))
		}
		p.usage[a.name] = u
	}
	return p.usage
}

// QuotaShort reports whether the last plan left a task waiting for its workspace's grant.
func (p *Pool) QuotaShort() bool {
	for _, a := range p.limited {
		if a.short != (workload.Resources{}) {
			return true
		}
	}
	return false
}

// roomShare divides the pool's capacity: wanted grants exceed the free capacity by 1/roomShare of it, since runs that end free more before the next decision.
const roomShare = 8

// startableRoom returns the capacity for which grants are of use now.
func (p *Pool) startableRoom(now time.Time) workload.Resources {
	var free, capacity workload.Resources
	for _, w := range p.sortedWorkers() {
		if p.usable(w, now) {
			free = free.Plus(largest(w.free(), workload.Resources{}))
			capacity = capacity.Plus(w.Capacity)
		}
	}
	return free.Plus(workload.Resources{CPU: capacity.CPU / roomShare, MemoryMB: capacity.MemoryMB / roomShare, GPU: capacity.GPU / roomShare})
}

func largest(a, b workload.Resources) workload.Resources {
	return workload.Resources{CPU: max(a.CPU, b.CPU), MemoryMB: max(a.MemoryMB, b.MemoryMB), GPU: max(a.GPU, b.GPU)}
}

func atMost(a, b workload.Resources) workload.Resources {
	return workload.Resources{CPU: min(a.CPU, b.CPU), MemoryMB: min(a.MemoryMB, b.MemoryMB), GPU: min(a.GPU, b.GPU)}
}

// beginQuota resets what the last plan noted of limits, and counts what runs may be present that this holder does not know.
func (p *Pool) beginQuota(now time.Time) {
	if len(p.limited) == 0 {
		return
	}
	for _, a := range p.limited {
		a.short, a.least, a.reserved = workload.Resources{}, workload.Resources{}, workload.Resources{}
	}
	p.countUncertain(now)
}

// quotaCheck is the outcome of a check of a start against the limit of its workspace.
type quotaCheck struct {
	allowed bool
	// never is true for a gang that exceeds the limit even if nothing else runs.
	never bool
	// short is the need of the resources of which too little is left.
	short workload.Resources
}

// checkQuota checks the start of a number of equal tasks at once.
func (a *account) checkQuota(need workload.Resources, tasks int64, uncertain workload.Resources) (c quotaCheck) {
	amount, alone := a.allowance.Amount, a.allowance.Alone
	c.short.CPU = c.check(need.CPU, tasks, a.used.CPU+uncertain.CPU, amount.CPU, alone.CPU, a.limit.CPU)
	c.short.MemoryMB = c.check(need.MemoryMB, tasks, a.used.MemoryMB+uncertain.MemoryMB, amount.MemoryMB, alone.MemoryMB, a.limit.MemoryMB)
	c.short.GPU = c.check(need.GPU, tasks, a.used.GPU+uncertain.GPU, amount.GPU, alone.GPU, a.limit.GPU)
	c.allowed = c.short == (workload.Resources{})
	return c
}

// check checks one resource; it returns the need if that does not fit.
func (c *quotaCheck) check(need, tasks, occupied, amount, alone, limit int64) (short int64) {
	all := need * tasks
	switch {
	case limit == 0 || need == 0 || occupied+all <= min(amount, limit):
		return 0
	case all > limit && all-need > limit:
		c.never = true
	case all > limit && occupied == 0 && all <= alone:
		// Only the last task may exceed the limit, and only if nothing else runs.
		return 0
	}
	return need
}

func overlap(a, b workload.Resources) bool {
	return (a.CPU > 0 && b.CPU > 0) || (a.MemoryMB > 0 && b.MemoryMB > 0) || (a.GPU > 0 && b.GPU > 0)
}

// withinQuota reports whether the limit of a task's workspace admits the task, or all of its gang; otherwise it notes what is missing.
func (p *Pool) withinQuota(t *task, now time.Time) bool {
	a := t.job.account
	if a.limit == (workload.Resources{}) {
		return true
	}
	need, tasks := t.step.Need, int64(1)
	if t.step.Gang {
		tasks = int64(len(t.state.tasks))
	}
	c := a.checkQuota(need, tasks, p.uncertainOf(a))
	if c.allowed && !overlap(need, a.reserved) {
		return true
	}
	if c.never {
		return false
	}
	a.short = a.short.Plus(times(need, int64(t.state.withoutRun)))
	a.least = largest(a.least, times(need, tasks))
	if !c.allowed && now.Sub(t.readySince) >= reserveAfter {
		a.reserved = a.reserved.Plus(c.short)
	}
	if !t.job.first.hasOrder() {
		t.job.first.change(CauseQuota, now)
	}
	return false
}

func times(r workload.Resources, n int64) workload.Resources {
	return workload.Resources{CPU: r.CPU * n, MemoryMB: r.MemoryMB * n, GPU: r.GPU * n}
}

// overQuota reports whether a task's workspace runs more than it may, so that a run that is stopped could not start elsewhere.
func (t *task) overQuota() bool {
	a := t.job.account
	return (a.limit.CPU > 0 && a.used.CPU > a.allowance.Amount.CPU) || (a.limit.MemoryMB > 0 && a.used.MemoryMB > a.allowance.Amount.MemoryMB) ||
		(a.limit.GPU > 0 && a.used.GPU > a.allowance.Amount.GPU)
}

// explainQuota says which limit keeps a task from starting; forbidden is false if none does.
func (p *Pool) explainQuota(t *task) (basis string, forbidden bool) {
	a := t.job.account
	if a.limit == (workload.Resources{}) {
		return "", false
	}
	tasks := int64(1)
	if t.step.Gang {
		tasks = int64(len(t.state.tasks))
	}
	c := a.checkQuota(t.step.Need, tasks, p.uncertainOf(a))
	if c.allowed && overlap(t.step.Need, a.reserved) {
		return fmt.Sprintf("a larger task of workspace %s has waited for %v and gets what becomes free of its limit first", a.name, reserveAfter), true
	}
	if c.allowed {
		return "", false
	}
	need := times(t.step.Need, tasks)
	if c.never {
		return fmt.Sprintf("workspace %s may run %s; the gang needs %s at once", a.name, describe(a.limit), describe(need)), true
	}
	return fmt.Sprintf("workspace %s may run %s in all pools; this pool may use %s of it and runs %s; the task needs %s", a.name, describe(a.limit),
		describe(atMost(a.allowance.Amount, a.limit)), describe(a.used), describe(need)), true
}

// describe names the amounts of processors, memory and accelerators.
func describe(r workload.Resources) string {
	return fmt.Sprintf("%.1f cores, %d MB, %d GPUs", float64(r.CPU)/milliPerCore, r.MemoryMB, r.GPU)
}
