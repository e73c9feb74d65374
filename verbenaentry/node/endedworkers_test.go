package node

import (
	"testing"
	"time"

	"verbenalanding.example/fleet/dispatch"
	"verbenalanding.example/fleet/workload"
)

var noon = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

// Guards against a slot of a wave that is freed too early, after which more machines are down than the operator allows: a worker that
// registered before the upkeep, after a move of its machine, was mistaken for the worker that starts after the upkeep.
func TestUpkeepFinishesOnlyAfterItsDuration(t *testing.T) {
	const upkeep = 2 * time.Second
	s := reservedSlot{slot: slot{Machine: "m", Worker: "old"}, orderedAt: noon}
	after := func(d time.Duration) time.Time { return noon.Add(d) }
	for _, c := range []struct {
		name   string
		newest incarnation
		listed time.Time
		state  workload.MachineState
		want   bool
	}{
		{"registration before the upkeep", incarnation{"other", after(300 * time.Millisecond)}, after(0), workload.MachineUp, false},
		{"registration after the upkeep", incarnation{"new", after(upkeep)}, after(0), workload.MachineUp, true},
		{"no new registration", incarnation{"old", after(-time.Minute)}, after(0), workload.MachineUp, false},
		{"listed as up after the upkeep", incarnation{"old", after(-time.Minute)}, after(upkeep), workload.MachineUp, true},
		{"listed as in upkeep", incarnation{"old", after(-time.Minute)}, after(upkeep), workload.MachineState("upkeep"), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := s.finished(after(upkeep+time.Millisecond), upkeep, c.newest, c.listed, true, c.state); got != c.want {
				t.Errorf("upkeep finished: got %v, want %v", got, c.want)
			}
		})
	}
}

// Guards against tasks that wait after a takeover for workers that have ended, and against tasks that are started again while a worker
// that is only disconnected still runs them.
func TestWorkersListedAsEnded(t *testing.T) {
	knownFor := func(d time.Duration, w workload.Worker) dispatch.WorkerIncarnation {
		return dispatch.WorkerIncarnation{Worker: w, Since: noon.Add(-d)}
	}
	w := knownFor(0, workload.Worker{ID: "w", Machine: "m", Incarnation: noon.Add(-time.Minute).UnixMilli()})
	justStarted := knownFor(900*time.Millisecond, workload.Worker{ID: "w", Machine: "m", Incarnation: noon.Add(-time.Second).UnixMilli()})
	clockBehind := knownFor(900*time.Millisecond, workload.Worker{ID: "w", Machine: "m", Incarnation: noon.Add(-4 * time.Second).UnixMilli()})
	clockAhead := knownFor(1100*time.Millisecond, workload.Worker{ID: "w", Machine: "m", Incarnation: noon.Add(3 * time.Second).UnixMilli()})
	running := workload.Machine{ID: "m", State: workload.MachineUp, Worker: "w"}
	runsOther := workload.Machine{ID: "m", State: workload.MachineUp, Worker: "x"}
	for _, c := range []struct {
		name   string
		worker dispatch.WorkerIncarnation
		m      workload.Machine
		listed bool
		want   bool
	}{
		{"its machine runs it", w, running, true, false},
		{"its machine runs another worker", w, runsOther, true, true},
		{"its machine is down", w, workload.Machine{ID: "m", State: workload.MachineState("down"), Worker: "w"}, true, true},
		{"its machine is not listed", w, workload.Machine{}, false, true},
		{"its machine's entry cannot be decoded", w, workload.Machine{ID: "m", State: workload.MachineUnknown}, true, false},
		{"the list may be older than the worker", justStarted, runsOther, true, false},
		{"the worker's clock may be behind", clockBehind, runsOther, true, false},
		{"the worker has been known for longer than the list may lag behind", clockAhead, runsOther, true, true},
		{"its machine is not known", knownFor(0, workload.Worker{ID: "w", Incarnation: w.Incarnation}), workload.Machine{}, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := listedAsEnded(c.worker, c.m, c.listed, noon); got != c.want {
				t.Errorf("listed as ended: got %v, want %v", got, c.want)
			}
		})
	}
}
