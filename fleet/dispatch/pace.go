package dispatch

import "time"

// Pacing parameters: fillers are slowed before a serving task reaches its target tail latency and sped up again in small steps, since
// the interference changes within seconds.
const (
	tailHigh   = 0.8
	tailLow    = 0.55
	paceDown   = 0.4
	paceUp     = 20
	paceFloor  = 5
	paceWait   = 250 * time.Millisecond
	paceUpWait = time.Second
)

const milliPerSecond = 1000

// adjustPace slows the fillers of a worker whose serving tasks come near their target tail latency, and speeds them up again.
func (p *Pool) adjustPace(w *worker, now time.Time) {
	worst := 0.0
	for _, x := range w.runs {
		if t := x.task.step.TargetTail; t > 0 && x.phase == present {
			worst = max(worst, x.metric/(t.Seconds()*milliPerSecond))
		}
	}
	for _, x := range w.sortedRuns() {
		if !x.task.step.Fills || x.phase != present {
			continue
		}
		percent := x.pace
		switch {
		case worst > 1 && now.Sub(x.pacedAt) >= paceWait:
			percent = 0
		case worst > tailHigh && now.Sub(x.pacedAt) >= paceWait:
			percent = int(float64(x.pace) * paceDown)
			if percent < paceFloor {
				percent = 0
			}
		case worst < tailLow && now.Sub(x.pacedAt) >= paceUpWait:
			percent = min(100, x.pace+paceUp)
		}
		if percent != x.pace {
			x.pace, x.pacedAt = percent, now
			p.actions = append(p.actions, Pace{Worker: w.Worker, Task: x.task.id, Run: x.number, Percent: percent})
		}
	}
}
