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
	worst      map[string]int
}

func newAuditor(d *deployment) *auditor { return &auditor{deployment: d, worst: map[string]int{}} }

// instances reads the instance records.
func (d *deployment) instances(ctx context.Context) ([]record.Instance, error) {
	return record.List[record.Instance](ctx, d.site.Store, record.InstancePrefix)
}

func (a *auditor) run(ctx context.Context) error {
	for range interval.Each(ctx, auditInterval) {
		instances, err := a.deployment.instances(ctx)
		if err != nil {
			return err
		}
		a.check(instances)
	}
	return nil
}

// check counts the instances of each budget that are not in service and the violated budgets.
func (a *auditor) check(instances []record.Instance) {
	set := a.deployment.set
	index := budget.NewIndex(set)
	down := map[string]int{}
	for _, i := range instances {
		if i.State == "inService" {
			continue
		}
		for _, name := range index.Covering(budget.Member{ID: i.ID, Pool: i.Pool, Location: i.Location}) {
			down[name]++
		}
	}
	for name, n := range down {
		a.worst[name] = max(a.worst[name], n)
		if n > set.Budgets[name].MaxUnavailable {
			a.violations++
		}
	}
}

// summary describes how close each budget came to its limit.
func (a *auditor) summary() string {
	text := ""
	for _, name := range slices.Sorted(maps.Keys(a.worst)) {
		text += fmt.Sprintf(" %s %d of %d;", name, a.worst[name], a.deployment.set.Budgets[name].MaxUnavailable)
	}
	return text
}
