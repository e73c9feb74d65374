package dispatch

import (
	"iter"
	"slices"
	"time"
)

// Demand describes the machines that a pool's work needs.
type Demand struct {
	// Workers counts the workers that are registered and not draining.
	Workers int
	// MachineCPU is the CPU capacity of the largest worker; it, Used and Waiting are in thousandths of a core.
	MachineCPU int64
	Used       int64
	// Waiting is the CPU that the waiting tasks need which are long-running or can still meet their target time.
	Waiting int64
	// Spread is the largest number of workers over which a long-running step must be spread.
	Spread int
	// Reserved is the number of workers that are reserved for large tasks.
	Reserved int
	// Idle are the workers that run nothing and may be removed, the newest first.
	Idle []string
}

// Demand returns the current demand of the pool.
func (p *Pool) Demand(now time.Time) Demand {
	var d Demand
	var idle []*worker
	for _, w := range p.sortedWorkers() {
		d.Used += w.used.CPU
		if w.Draining || !w.missingSince.IsZero() {
			continue
		}
		d.Workers++
		d.MachineCPU = max(d.MachineCPU, w.Capacity.CPU)
		if w.idle() && w.synced && !w.cordoned {
			idle = append(idle, w)
		}
	}
	slices.SortStableFunc(idle, func(a, b *worker) int { return b.knownSince.Compare(a.knownSince) })
	for _, w := range idle {
		d.Idle = append(d.Idle, w.ID)
	}
	for _, r := range p.reservations {
		d.Reserved += len(r.places)
	}
	d.Waiting = p.waitingCPU(now)
	for _, j := range p.active {
		for s := range j.Steps {
			if step := &j.Steps[s]; step.LongRunning && step.MaxPerWorker > 0 {
				d.Spread = max(d.Spread, (step.Tasks+step.MaxPerWorker-1)/step.MaxPerWorker)
			}
		}
	}
	return d
}

// waitingCPU sums the CPU of the waiting tasks that are long-running or can still meet their target time.
func (p *Pool) waitingCPU(now time.Time) int64 {
	sum := int64(0)
	u := p.currentUncertainty(now)
	list := p.unsortedCandidates(u, now)
	for i := range list {
		c := &list[i]
		if c.use != useInTime {
			continue
		}
		for s := range c.occurrence.steps {
			if st := &c.occurrence.steps[s]; st.ready {
				sum += int64(st.countWaiting(u)) * st.reserved.CPU
			}
		}
	}
	return sum
}

// waitingTasks yields the waiting tasks of the candidate's steps that are ready.
func (c *candidate) waitingTasks(u uncertainty) iter.Seq[*task] {
	return func(yield func(*task) bool) {
		for s := range c.occurrence.steps {
			st := &c.occurrence.steps[s]
			if !st.ready || st.done == len(st.tasks) {
				continue
			}
			for _, t := range st.tasks {
				if waiting(t, u) && !yield(t) {
					return
				}
			}
		}
	}
}

// MachineOf returns the machine of a worker, or an empty string for an unknown worker.
func (p *Pool) MachineOf(id string) string {
	if w := p.workers[id]; w != nil {
		return w.Worker.Machine
	}
	return ""
}
