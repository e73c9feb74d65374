package dispatch

import (
	"time"

	"verbenalanding.example/fleet/workload"
)

// Weights of a worker's score for a task; a lower score is better.
const (
	scoreSuspect  = 50
	scoreFailures = 5
	scoreFar      = 20
	scoreSibling  = 10
	scoreSlow     = 8
	scoreDue      = 15
	// freeSiblings is how many tasks of its step may be on a worker before a long-running one prefers another.
	freeSiblings = 2
)

func (p *Pool) score(w *worker, t *task, free workload.Resources, now time.Time) float64 {
	// The fullest worker that has room leaves the others empty for large tasks and for maintenance.
	score := float64(free.CPU) / float64(max(1, w.Capacity.CPU))
	if t.step.LongRunning {
		// Long-running tasks on few workers leave the others free to be lent; many of one step would be lost with one worker.
		score += scoreSibling * float64(max(0, p.onWorker(t, w)-freeSiblings))
		if w.due {
			score += scoreDue
		}
	}
	if now.Before(w.suspectUntil) {
		score += scoreSuspect
	}
	score += scoreFailures * w.failures
	if t.step.DataRack != "" && t.step.DataRack != w.Rack {
		score += scoreFar
	}
	if w.slowness > 1.5 {
		score += scoreSlow * w.slowness
	}
	return score
}
