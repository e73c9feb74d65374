package dispatch

import (
	"verbenalanding.example/fleet/quota"
	"verbenalanding.example/fleet/workload"
)

// account is what the jobs of a workspace occupy in the pool, and what they may occupy. All jobs without a workspace share one, which has no limit.
type account struct {
	name string
	// used is what the runs that may be present occupy, with the CPU of fillers; reservedUse is the same without it.
	used, reservedUse workload.Resources
	// agedCPU is the CPU of the runs that were placed because their jobs had waited long.
	agedCPU int64
	// planned is reservedUse and the need of the candidates of the workspace that go first in a plan.
	planned workload.Resources
	// sharedWeight is the workspace's weight as of the last plan that compared shares.
	sharedWeight float64

	limit     workload.Resources
	allowance quota.Allowance
	// short is the need of the ready tasks that only the allowance kept from starting in the last plan, least that of the largest one.
	short, least workload.Resources
	// uncertain is what the tasks of the workspace that this holder only knows from a record or a list may occupy, beside Pool.uncertainRoom.
	uncertain workload.Resources
	// reserved holds the resources for which a task has waited for reserveAfter: no further task of the workspace gets any in the present plan.
	reserved workload.Resources
}

// account returns the account of a workspace.
func (p *Pool) account(workspace string) *account {
	a := p.accounts[workspace]
	if a == nil {
		a = &account{name: workspace}
		if w := p.workspaces[workspace]; w != nil {
			a.limit = w.MaxRunning
		}
		p.accounts[workspace] = a
	}
	return a
}

func (a *account) add(x *run) {
	reserved := x.task.step.Reserved()
	a.used, a.reservedUse = a.used.Plus(x.task.step.Need), a.reservedUse.Plus(reserved)
	if x.aged {
		a.agedCPU += reserved.CPU
	}
}

func (a *account) remove(x *run) {
	reserved := x.task.step.Reserved()
	a.used, a.reservedUse = a.used.Minus(x.task.step.Need), a.reservedUse.Minus(reserved)
	if x.aged {
		a.agedCPU -= reserved.CPU
	}
}

// agedCPU returns the CPU of the runs that were placed because their jobs had waited long.
func (p *Pool) agedCPU() int64 {
	sum := int64(0)
	for _, a := range p.accounts {
		sum += a.agedCPU
	}
	return sum
}
