package dispatch

import (
	"verbenalanding.example/fleet/metering"
	"verbenalanding.example/fleet/workload"
)

// workspace is what the pool knows of a workspace of the configuration.
type workspace struct {
	workload.Workspace
	// meter tells the jobs that the workspace is owed from those beyond.
	meter metering.Meter
}

// SetWorkspaces replaces the workspaces of the configuration. Jobs of a workspace that is not among them, and all jobs without one, have neither a limit
// nor a share.
func (p *Pool) SetWorkspaces(list []workload.Workspace) {
	before := p.workspaces
	p.workspaces = make(map[string]*workspace, len(list))
	p.meanWeight = minWeight
	for _, w := range list {
		p.meanWeight += w.Weight / float64(len(list))
	}
	for _, w := range list {
		if known := before[w.Name]; known != nil {
			known.Workspace, known.meter.Rate = w, w.Weight
			p.workspaces[w.Name] = known
			continue
		}
		p.workspaces[w.Name] = &workspace{Workspace: w, meter: metering.Meter{Rate: w.Weight}}
	}
	p.setLimits()
}

// Workspace returns the workspace of a job; it is empty for a job without one, and for an unknown job.
func (p *Pool) Workspace(id string) string {
	if j := p.jobs[id]; j != nil {
		return j.Workspace
	}
	return ""
}
