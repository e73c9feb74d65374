package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"verbenalanding.example/fleet/budget"
	"verbenalanding.example/fleet/interval"
	"verbenalanding.example/fleet/record"
	"verbenalanding.example/fleet/store"
)

// auditInterval is the time between two looks at the instances.
const auditInterval = 20 * time.Millisecond

// auditor checks the budgets from outside while the demonstration runs.
type auditor struct {
	deployment *deployment
	violations int
	worst      map[string]int
}

func newAuditor(d *deployment) *auditor { return &auditor{deployment: d, worst: map[string]int{}} }

// instances reads the instance records.
func (d *deployment) instances(ctx context.Context) ([]record.Instance, error) {
	entries, _, err := store.ListAll(ctx, d.site.Store, record.InstancePrefix)
	if err != nil {
		return nil, err
	}
	var instances []record.Instance
	for _, e := range entries {
		var i record.Instance
		if err := json.Unmarshal(e.Value, &i); err != nil {
			return nil, fmt.Errorf("decode %s: %w", e.Key, err)
		}
		instances = append(instances, i)
	}
	return instances, nil
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

// check counts the instances of each budget that are not in service.
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

// line says how close each budget came to its limit.
func (a *auditor) line() string {
	var names []string
	for name := range a.worst {
		names = append(names, name)
	}
	slices.Sort(names)
	text := ""
	for _, name := range names {
		text += fmt.Sprintf(" %s %d of %d;", name, a.worst[name], a.deployment.set.Budgets[name].MaxUnavailable)
	}
	return text
}
