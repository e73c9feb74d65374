package placement

import "verbenalanding.example/fleet/platform"

// team holds a team's quota and the total that its jobs reserve.
type team struct {
	quota Quota
	used  platform.Resources
	// shortage is the largest size of a job that exceeded the granted part since the last call of Shortages.
	shortage platform.Resources
}

func (p *Planner) quotas(teams map[string]Quota) {
	for name, t := range p.teams {
		if _, ok := teams[name]; !ok {
			t.quota = Quota{}
		}
	}
	changed := false
	for name, q := range teams {
		t := p.team(name)
		changed = changed || t.quota != q
		t.quota = q
	}
	if changed {
		for _, po := range p.pools {
			p.touch(po)
		}
	}
}

func (p *Planner) team(name string) *team {
	t := p.teams[name]
	if t == nil {
		t = &team{}
		p.teams[name] = t
	}
	return t
}

// Shortages returns, for each team whose granted part has been too small since the last call, the amount that would have
// sufficed.
func (p *Planner) Shortages() map[string]platform.Resources {
	required := map[string]platform.Resources{}
	for name, t := range p.teams {
		if t.shortage != (platform.Resources{}) {
			required[name] = add(t.used, t.shortage)
			t.shortage = platform.Resources{}
		}
	}
	return required
}

// TeamUse returns the total that the jobs of a team reserve.
func (p *Planner) TeamUse(name string) platform.Resources {
	if t := p.teams[name]; t != nil {
		return t.used
	}
	return platform.Resources{}
}

// quotaUse returns how many eighths of a team's quota are used. Within a class, teams with a lower value go first.
func quotaUse(t *team) int64 {
	if t.quota.Total.MilliCores == 0 {
		return 0
	}
	return t.used.MilliCores * 8 / t.quota.Total.MilliCores
}
