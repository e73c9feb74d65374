package placement

import (
	"slices"
	"time"

	policy "verbenalanding.example/fleet/placement"
	"verbenalanding.example/fleet/platform"
	"verbenalanding.example/fleet/quarantine"
)

// policyDriver drives the fleet's own planner and quarantine tracker with the same events as the duty loop.
type policyDriver struct {
	planner  *policy.Planner
	tracker  *quarantine.Tracker
	workers  map[string]policy.Worker
	suspects []string
	actions  []policy.Action
	// quarantined holds the workers that were quarantined at least once.
	quarantined map[string]bool
}

func newPolicyDriver(f *fleetModel, now time.Time) *policyDriver {
	d := &policyDriver{
		planner: policy.New(policy.Settings{}), tracker: quarantine.New(quarantine.Settings{}), workers: map[string]policy.Worker{},
		quarantined: map[string]bool{},
	}
	quotas := map[string]policy.Quota{}
	for name, q := range f.teams {
		quotas[name] = policy.Quota{Total: q, Granted: q}
	}
	d.planner.Handle(now, policy.Quotas{Teams: quotas})
	return d
}

func (d *policyDriver) collect(actions []policy.Action) { d.actions = append(d.actions, actions...) }

func (d *policyDriver) workerUp(now time.Time, w policy.Worker) {
	d.workers[w.ID] = w
	d.collect(d.planner.Handle(now, policy.WorkerUp{Worker: w}))
	d.tracker.Handle(now, quarantine.WorkerUp{Worker: w.ID, Pool: w.Pool})
}

func (d *policyDriver) workerDown(now time.Time, id string) {
	delete(d.workers, id)
	d.collect(d.planner.Handle(now, policy.WorkerDown{ID: id}))
	d.tracker.Handle(now, quarantine.WorkerDown{Worker: id})
}

func (d *policyDriver) submit(now time.Time, j *jobModel) {
	d.collect(d.planner.Handle(now, policy.Submit{Job: j.Job}))
}

func (d *policyDriver) confirmed(now time.Time, j *jobModel, worker string) {
	d.collect(d.planner.Handle(now, policy.Confirmed{ID: j.ID}))
	d.applyQuarantine(now, d.tracker.Handle(now, quarantine.Started{Worker: worker, Kind: j.Kind}))
}

func (d *policyDriver) cancel(now time.Time, jobs []*jobModel) {
	ids := make([]string, len(jobs))
	for i, j := range jobs {
		ids[i] = j.ID
	}
	d.collect(d.planner.Handle(now, policy.Cancel{IDs: ids}))
}

func (d *policyDriver) used(now time.Time, j *jobModel, used platform.Resources, asOf time.Time) {
	d.collect(d.planner.Handle(now, policy.Used{ID: j.ID, Used: used, AsOf: asOf}))
}

func (d *policyDriver) ended(now time.Time, n attemptEnd) {
	switch n.outcome {
	case succeeded:
		d.recordResult(now, n, false)
		d.collect(d.planner.Handle(now, policy.Ended{ID: n.job.ID, Succeeded: true}))
	case checkpointed:
		d.collect(d.planner.Handle(now, policy.Requeue{ID: n.job.ID}))
	case failed:
		d.recordResult(now, n, true)
		d.requeueOrEnd(now, n)
	case workerLost:
		d.requeueOrEnd(now, n)
	}
}

func (d *policyDriver) requeueOrEnd(now time.Time, n attemptEnd) {
	if !n.job.Repeatable {
		d.collect(d.planner.Handle(now, policy.Ended{ID: n.job.ID}))
		return
	}
	d.collect(d.planner.Handle(now, policy.Requeue{ID: n.job.ID, NotBefore: now.Add(time.Second), Avoid: n.worker}))
}

func (d *policyDriver) recordResult(now time.Time, n attemptEnd, failed bool) {
	d.applyQuarantine(now, d.tracker.Handle(now, quarantine.Result{Worker: n.worker, Kind: n.job.Kind, Failed: failed}))
}

func (d *policyDriver) applyQuarantine(now time.Time, actions []quarantine.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case quarantine.Quarantine:
			d.quarantined[a.Worker] = true
			d.restrict(now, a.Worker, true, false)
		case quarantine.Caution:
			d.restrict(now, a.Worker, false, true)
		case quarantine.Probe:
			d.restrict(now, a.Worker, false, true)
		case quarantine.Release:
			d.restrict(now, a.Worker, false, false)
		case quarantine.LiftCaution:
			d.restrict(now, a.Worker, false, false)
		case quarantine.Suspect:
			d.suspects = append(d.suspects, a.Kind)
			d.collect(d.planner.Handle(now, policy.Suspects{Kinds: d.suspects}))
		case quarantine.Clear:
			d.suspects = slices.DeleteFunc(d.suspects, func(k string) bool { return k == a.Kind })
			d.collect(d.planner.Handle(now, policy.Suspects{Kinds: d.suspects}))
		}
	}
}

func (d *policyDriver) restrict(now time.Time, id string, closed, probe bool) {
	w, ok := d.workers[id]
	if !ok {
		return
	}
	w.Closed, w.Probe = closed, probe
	d.collect(d.planner.Handle(now, policy.WorkerUp{Worker: w}))
}

func (d *policyDriver) tick(now time.Time) []policy.Action {
	d.applyQuarantine(now, d.tracker.Handle(now, quarantine.Tick{}))
	d.collect(d.planner.Handle(now, policy.Tick{}))
	out := d.actions
	d.actions = nil
	return out
}
