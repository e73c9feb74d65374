package node

import (
	"cmp"
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"

	"verbenalanding.example/fleet/quota"
)

const (
	// maxWorkspaceGauges bounds the workspaces of a pool that have gauges: those whose tasks lack the most CPU, then those that use the most.
	maxWorkspaceGauges = 16
	// gaugeInterval is how often the gauges of workspaces are updated.
	gaugeInterval = time.Second
)

// workspaceGauges are the gauges of a pool's workspaces with a limit, in thousandths of a core.
type workspaceGauges struct {
	updatedAt  time.Time
	registered map[string]bool
}

// update sets the gauges. The caller holds the pool's lock.
func (w *workspaceGauges) update(g *grants, usage map[string]quota.Usage, now time.Time) {
	if now.Sub(w.updatedAt) < gaugeInterval {
		return
	}
	w.updatedAt = now
	names := slices.Clone(g.workspaces)
	slices.SortStableFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(usage[b].Short.CPU, usage[a].Short.CPU), cmp.Compare(usage[b].Known.CPU, usage[a].Known.CPU))
	})
	names = names[:min(len(names), maxWorkspaceGauges)]
	current := map[string]bool{}
	for _, name := range names {
		u, label := usage[name], "."+g.pool.name+"/"+name
		for _, v := range []struct {
			family string
			value  int64
		}{
			{"workspaceUsedCores", u.Known.CPU}, {"workspaceGrantedCores", g.accounts[name].Share().Grant.CPU}, {"workspaceShortCores", u.Short.CPU},
		} {
			metrics.GetOrRegisterGauge(v.family+label, g.pool.node.Registry).Update(v.value)
			current[v.family+label] = true
		}
	}
	for name := range w.registered {
		if !current[name] {
			g.pool.node.Registry.Unregister(name)
		}
	}
	w.registered = current
}

// drop unregisters the gauges of a pool that this node no longer holds.
func (w *workspaceGauges) drop(p *pool) {
	for name := range w.registered {
		p.node.Registry.Unregister(name)
	}
}
