package demo

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"verbenalanding.example/fleet/budget"
	"verbenalanding.example/fleet/interval"
	"verbenalanding.example/fleet/record"
)

// auditInterval is the interval at which the auditor reads the instance records.
const auditInterval = 20 * time.Millisecond

// auditor checks the disruption budgets against the stored instance records while the demonstration runs.
type auditor struct {
	deployment *deployment
	violations int
	// maxUnavailable holds, by budget, the largest number of instances that were unavailable at a time.
	maxUnavailable map[string]int
}

func newAuditor(d *deployment) *auditor {
	return &auditor{deployment: d, maxUnavailable: map[string]int{}}
}

// instances reads the instance records.
func (d *deployment) instances(ctx context.Context) ([]record.Instance, error) {
	return record.List[record.Instance](ctx, d.site.Store, record.InstancePrefix)
}

func (a *auditor) run(ctx context.Context) error {
	for range interval.Each(ctx, auditInterval) {
		instances, err := a.deployment.instances(ctx)
		if ctx.Err() != nil {
			// The demonstration has ended; a store whose caller has gone gives no answer.
			return nil
		}
		if err != nil {
			return err
		}
		a.check(instances)
	}
	return nil
}

// check counts the instances of each budget that are not in service, and the budgets that are violated.
func (a *auditor) check(instances []record.Instance) {
	set := a.deployment.set
	index := budget.NewIndex(set)
	unavailable := map[string]int{}
	for _, i := range instances {
		if i.State == "inService" {
			continue
		}
		for _, name := range index.Covering(budget.Member{ID: i.ID, Pool: i.Pool, Location: i.Location}) {
			unavailable[name]++
		}
	}
	for name, n := range unavailable {
		a.maxUnavailable[name] = max(a.maxUnavailable[name], n)
		if n > set.Budgets[name].MaxUnavailable {
			a.violations++
		}
	}
}

// summary lists, for each budget, the most instances that were unavailable at a time and the limit.
func (a *auditor) summary() string {
	text := ""
	for _, name := range slices.Sorted(maps.Keys(a.maxUnavailable)) {
		text += fmt.Sprintf(" %s %d of %d;", name, a.maxUnavailable[name], a.deployment.set.Budgets[name].MaxUnavailable)
	}
	return text
}
