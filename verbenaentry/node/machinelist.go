package node

import (
	"context"
	"errors"
	"time"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/workload"
	"verbenalanding.example/platform"
)

// listRetryPause is how long after a request for the list of machines that failed the next one is made, where a list is wanted that is younger
// than the present one.
const listRetryPause = time.Second

// refresh requests the platform's list of machines if the current list is older than age. After a failed request the previous list remains,
// with its own age.
func (mt *machineTracker) refresh(ctx context.Context, age time.Duration) {
	now := mt.pool.node.Clock.Now()
	mt.mu.Lock()
	fresh := now.Sub(mt.listedAt) < age || now.Sub(mt.triedAt) < min(age, listRetryPause)
	mt.mu.Unlock()
	if fresh {
		return
	}
	list, err := mt.pool.node.Machines.List(ctx)
	mt.mu.Lock()
	defer mt.mu.Unlock()
	partial := errors.Is(err, platform.ErrPartialList)
	mt.triedAt, mt.listFailed = now, err != nil && !partial
	if err != nil {
		mt.pool.log.Warn().Err(err).Bool("partial", partial).Msg("list of machines not received")
	}
	if mt.listFailed {
		return
	}
	mt.listedAt, mt.listPartial = now, partial
	clear(mt.byID)
	for _, m := range list {
		mt.byID[m.ID] = m
	}
}

// ended returns the workers that have ended according to the list of machines, if it was requested at the given time or later.
func (mt *machineTracker) ended(workers []dispatch.WorkerIncarnation, requested time.Time) []workload.Worker {
	mt.mu.Lock()
	defer mt.mu.Unlock()
	var ended []workload.Worker
	for _, w := range workers {
		if mt.listedStateOf(w, requested) == listedEnded {
			ended = append(ended, w.Worker)
		}
	}
	return ended
}

// listedStateOf returns what the list of machines shows of a worker, if it was requested at the given time or later; the lock must be held.
func (mt *machineTracker) listedStateOf(w dispatch.WorkerIncarnation, requested time.Time) listedState {
	m, listed := mt.byID[w.Machine]
	switch {
	case mt.listFailed || mt.listedAt.Before(requested) || (!listed && mt.listPartial) || m.State == workload.MachineUnknown || mayPostdate(w, mt.listedAt):
		return listedUnknown
	case listedAsEnded(w, m, listed, mt.listedAt):
		return listedEnded
	}
	return listedRunning
}

// listLag is how far the list of machines may lag behind: it shows all orders and registrations that are at least this old.
const listLag = time.Second

// gone returns the machines of a wave that the list of machines shows as gone; the wave was known at a time, and so were its machines. known is
// false without a list.
func (mt *machineTracker) gone(ids []string, knownAt time.Time) (gone map[string]bool, known bool) {
	mt.mu.Lock()
	defer mt.mu.Unlock()
	gone = map[string]bool{}
	if mt.listPartial || mt.listedAt.Before(knownAt.Add(listLag)) {
		return gone, len(mt.byID) > 0
	}
	for _, id := range ids {
		_, listed := mt.byID[id]
		gone[id] = !listed
	}
	return gone, len(mt.byID) > 0
}
