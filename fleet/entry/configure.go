package entry

import (
	"time"

	"verbenalanding.example/fleet/admission"
	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/routing"
)

// applyChanges applies a changed configuration and view, so that no decision is made by an older one.
func (l *poolLoop) applyChanges(now time.Time) {
	set, revision, ok := l.entry.Configuration.Current()
	v := l.entry.view.Load()
	if v == l.view && (!ok || revision == l.revision) {
		return
	}
	if ok && (revision != l.revision || l.set == nil) {
		l.set, l.revision = set, revision
		l.router.Connections = set.Pools[l.pool].Connections
		l.router.Default()
		l.execute(now, l.admission.Configure(now, admissionConfig(set, l.pool)))
	}
	if v.peers != nil || l.view.peers != nil {
		l.admission.SetPeers(now, v.peers)
	}
	l.router.SetEntries(len(v.peers) + 1)
	l.view = v
	l.router.SetMembers(now, l.routingMembers(v))
	l.updateMembers(now)
	l.appliedGeneration.Store(v.generation)
}

func admissionConfig(set *declaration.Set, pool string) admission.Config {
	var c admission.Config
	for _, s := range set.Services {
		if s.Pool == pool {
			c.Services = append(c.Services, admission.Service{
				Name: s.Name, Class: classOf(s.Class), Share: s.Share, CallerRate: s.Rate,
			})
		}
	}
	for _, t := range set.Teams {
		if t.Rate > 0 {
			c.Teams = append(c.Teams, admission.Team{Key: hashName(t.Name), Rate: t.Rate})
		}
	}
	return c
}

func classOf(c declaration.Class) admission.Class {
	switch c {
	case declaration.Urgent:
		return admission.Urgent
	case declaration.Standard:
		return admission.Standard
	default:
		return admission.Deferrable
	}
}

func (l *poolLoop) routingMembers(v *view) []routing.Member {
	l.targets = make(map[string]*target, len(v.instances[l.pool]))
	members := make([]routing.Member, 0, len(v.instances[l.pool]))
	for _, i := range v.instances[l.pool] {
		state := routing.Draining
		switch {
		case v.leaving[i.ID]:
			state = routing.Leaving
		case i.State == stateInService:
			state = routing.InService
		}
		l.targets[i.ID] = l.entry.target(i)
		members = append(members, routing.Member{
			ID: i.ID, DataCentre: i.Location.DataCentre, Rack: i.Location.Rack, State: state,
		})
	}
	return members
}

// updateMembers passes the usable instances to admission, and each instance's quota of requests to routing.
func (l *poolLoop) updateMembers(now time.Time) {
	slots := 0
	if l.set != nil {
		slots = l.set.Pools[l.pool].Slots
	}
	l.members = l.members[:0]
	for _, i := range l.view.instances[l.pool] {
		serving := i.State == stateInService && !l.view.leaving[i.ID]
		l.members = append(l.members, admission.Member{
			ID: i.ID, Slots: slots, InService: serving, Ejected: serving && !l.router.Usable(i.ID),
		})
	}
	l.execute(now, l.admission.SetMembers(now, l.members))
	l.setQuotas()
}

func (l *poolLoop) setQuotas() {
	for _, m := range l.members {
		l.router.SetQuota(m.ID, l.admission.Quota(m.ID))
	}
}
