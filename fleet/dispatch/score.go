package dispatch

import (
	"time"

	"verbenalanding.example/fleet/workload"
)

// Weights of a worker's score for a task; a lower score is better.
const (
	scoreSuspect    = 50
	scoreFailures   = 5
	scoreRemoteData = 20
	scoreOtherRack  = 20
	scoreSibling    = 10
	scoreSlow       = 8
	// slowWorker is the learned slowness from which on a worker counts as slow.
	slowWorker     = 1.5
	scoreUpkeepDue = 15
	// freeSiblings is how many tasks of its step may be on a worker before a long-running task prefers another worker.
	freeSiblings = 2
)

func (p *Pool) score(w *worker, t *task, free workload.Resources, now time.Time) float64 {
	// Preferring the fullest worker with enough free capacity leaves the others empty for large tasks and for maintenance.
	score := float64(free.CPU) / float64(max(1, w.Capacity.CPU))
	if t.step.LongRunning {
		// Keeping long-running tasks on few workers leaves the others free to be lent; but with many tasks of one step on a worker, all
		// of them would be lost with it.
		score += scoreSibling * float64(max(0, p.onWorker(t, w)-freeSiblings))
		if w.upkeepDue {
			score += scoreUpkeepDue
		}
	}
	score += w.penalty(now)
	if t.step.DataRack != "" && t.step.DataRack != w.Rack {
		score += scoreRemoteData
	}
	return score
}

// scoreBeside returns the score of a worker for a task the siblings of which run on a rack; empty if it has none that matter.
func (p *Pool) scoreBeside(w *worker, t *task, free workload.Resources, siblings string, now time.Time) float64 {
	score := p.score(w, t, free, now)
	if siblings != "" && siblings != w.Rack {
		score += scoreOtherRack
	}
	return score
}

// penalty is the part of a worker's score that depends on neither the task nor the free capacity.
func (w *worker) penalty(now time.Time) float64 {
	penalty := scoreFailures * w.failures
	if now.Before(w.suspectUntil) {
		penalty += scoreSuspect
	}
	if w.slowness > slowWorker {
		penalty += scoreSlow * w.slowness
	}
	return penalty
}
