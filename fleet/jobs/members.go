package jobs

import (
	"time"

	"verbenalanding.example/fleet/placement"
	"verbenalanding.example/fleet/quarantine"
	"verbenalanding.example/fleet/record"
)

// workerState is the holder's state of a worker, with its latest instance record.
type workerState struct {
	member record.Instance
	listed bool
	// restricted means that the quarantine admits no jobs to the worker, or one probe job at a time if probe is true.
	restricted bool
	probe      bool
	tasks      map[string]*trackedJob
	// detachedAt holds when tasks were detached from the worker; older usage reports still list them.
	detachedAt map[string]time.Time
	// cleared means that a report from clearFrom or later lists only tracked tasks; until then the worker gets no new jobs.
	cleared   bool
	clearFrom time.Time
	// delistedAt is when the worker was last removed from the instance list.
	delistedAt      time.Time
	reportRequested time.Time
	reportPending   bool
	unanswered      int
	backoffUntil    time.Time
}

// updateMembers passes changes of the instance records of this shard's pools to placement and quarantine.
func (h *Holder) updateMembers() {
	list := h.Members()
	if len(list) == 0 {
		// An empty list means that the records have not been read yet.
		return
	}
	present := map[string]bool{}
	for _, m := range list {
		if ShardOf(m.Pool, h.Shards) != h.Shard || !runsTasks(m.State) {
			continue
		}
		present[m.ID] = true
		h.memberUp(m)
	}
	for id, n := range h.workerStates {
		if n.listed && !present[id] {
			n.listed, n.delistedAt = false, h.now
			h.planner.Handle(h.now, placement.WorkerDown{ID: id})
			h.tracker.Handle(h.now, quarantine.WorkerDown{Worker: id})
			h.workerLost(n)
		}
		if !n.listed && len(n.tasks) == 0 && h.now.Sub(n.delistedAt) > time.Minute {
			delete(h.workerStates, id)
		}
	}
}

// runsTasks reports whether an instance in the given state may still run tasks.
func runsTasks(state string) bool {
	switch state {
	case "inService", "draining", "stopping", "checking":
		return true
	}
	return false
}

func (h *Holder) workerState(id string) *workerState {
	n := h.workerStates[id]
	if n == nil {
		n = &workerState{tasks: map[string]*trackedJob{}, detachedAt: map[string]time.Time{}}
		h.workerStates[id] = n
	}
	return n
}

func (h *Holder) memberUp(m record.Instance) {
	n := h.workerState(m.ID)
	if n.listed && n.member.BootCount != m.BootCount {
		h.workerLost(n)
	}
	wasListed := n.listed
	n.member, n.listed = m, true
	if !wasListed {
		h.tracker.Handle(h.now, quarantine.WorkerUp{Worker: m.ID, Pool: m.Pool})
		h.workerRelisted(n)
	}
	if m.State == "draining" {
		h.checkpointTasks(n)
	}
	h.updateWorker(n)
}

// workerRelisted handles a worker that is listed again: the planner adopts the tasks that may still run there, and the worker stays
// closed until its reports show no others.
func (h *Holder) workerRelisted(n *workerState) {
	n.restricted, n.probe, n.cleared = false, false, false
	if !n.delistedAt.IsZero() {
		n.clearFrom = h.now.Add(h.Timing.UsageLag)
	}
	for _, id := range sortedKeys(n.tasks) {
		e := n.tasks[id]
		h.applyPlacement(h.planner.Handle(h.now, cancelEvent(id)))
		h.planner.Handle(h.now, placement.Adopt{
			Job: h.plannerJob(e.job), Worker: n.member.ID, Reserved: e.job.Reserved, Started: e.job.Started,
		})
	}
}

// updateWorker passes a worker's capacity and restrictions to the planner.
func (h *Holder) updateWorker(n *workerState) {
	closed := n.member.State != "inService" || h.cordoned[n.member.Location.Rack] || !n.cleared || (n.restricted && !n.probe) || n.unanswered >= 2
	h.applyPlacement(h.planner.Handle(h.now, placement.WorkerUp{Worker: placement.Worker{
		ID: n.member.ID, Pool: n.member.Pool, Location: n.member.Location, Capacity: n.member.Capacity,
		Closed: closed, Probe: n.probe,
	}}))
}
