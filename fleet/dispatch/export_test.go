package dispatch

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"verbenalanding.example/fleet/workload"
)

// longAgo is the age from which on ages make no difference to the decisions.
const longAgo = 20 * time.Second

func age(now, t time.Time) time.Duration {
	if t.IsZero() {
		return -longAgo
	}
	return min(max(now.Sub(t), -longAgo), longAgo)
}

func leasesLeft(leases map[string]time.Time, now time.Time) map[string]time.Duration {
	left := map[string]time.Duration{}
	for worker, until := range leases {
		left[worker] = age(until, now)
	}
	return left
}

// unattributedLeft returns for how long an unknown incarnation may have a run; 0 for an attributed one.
func (p *Pool) unattributedLeft(x *run, now time.Time) time.Duration {
	if x.attributed {
		return 0
	}
	return max(age(p.unattributedEnd(x), now), 0)
}

// Fingerprint describes the state of the pool on which its safety depends, with times relative to now.
func (p *Pool) Fingerprint(now time.Time) string {
	var b strings.Builder
	fmt.Fprintln(&b, p.Epoch, max(age(p.priorLeasesUntil, now), 0), max(age(p.priorOrdersUntil, now), 0), leasesLeft(p.handedOverLeases, now), p.reportedBefore, p.handedOver != nil, p.handedOver, p.inheritedUnresponsive, p.recordedUnresponsive, p.inheritedKnown, p.recordedKnown, p.knownObsolete,
		slices.Sorted(maps.Keys(p.absentJobs)), slices.Sorted(maps.Keys(p.liveWorkers)), p.liveWorkers != nil, p.registrationsListed, age(now, p.confirmedAt))
	for _, id := range slices.Sorted(maps.Keys(p.departed)) {
		fmt.Fprintln(&b, "departed", id, age(now, p.departed[id]))
	}
	for _, w := range p.sortedWorkers() {
		fmt.Fprintln(&b, w.ID, w.Incarnation, age(now, w.missingSince), w.synced, w.clock-w.clockAt(now), age(now, w.reportedAt), age(now, w.leaseEnd),
			w.processed, w.recorded, w.failures, w.failedJob, age(now, w.suspectUntil), age(now, w.fullUntil), age(now, w.unansweredAt), w.confirmation,
			w.restarted, w.lapsed, w.excluded, w.partial, w.unknownTasks, w.withheld, age(now, w.earlierLeaseEnd))
		for _, x := range w.sortedRuns() {
			fmt.Fprintln(&b, x.task.id, x.number, x.phase, x.startLeaseEnd-w.clock, x.startClock != 0, x.startClock-w.clock, x.stopClock != 0,
				x.stopClock-w.clock, age(now, x.stopSent), x.uncertain, x.attributed, p.unattributedLeft(x, now), age(now, x.progressAt))
		}
	}
	for _, id := range slices.Sorted(maps.Keys(p.jobs)) {
		j := p.jobs[id]
		fmt.Fprintln(&b, id, j.state, j.started, j.restored, j.recordedVersion == j.version, p.dirty[id] != nil)
		fmt.Fprintln(&b, j.schedule.next, j.schedule.done)
		for _, oc := range j.schedule.open {
			for _, st := range oc.steps {
				for _, t := range st.tasks {
					fmt.Fprintln(&b, t.done, t.failedRuns, t.lastRun, t.failedOn, st.ready)
				}
			}
		}
	}
	return b.String()
}

// OpenTasks returns the number of tasks that have a state.
func (p *Pool) OpenTasks() int {
	n := 0
	for _, j := range p.jobs {
		for _, oc := range j.schedule.open {
			for s := range oc.steps {
				n += len(oc.steps[s].tasks)
			}
		}
	}
	return n
}

// Add adds a number.
func (r *Ranges) Add(n int) { r.add(n) }

// Contains reports whether a number is in the set.
func (r Ranges) Contains(n int) bool { return r.contains(n) }

// Size returns how many numbers are in the set.
func (r Ranges) Size() int { return r.size() }

// Valid reports whether the set is one of numbers from 0 to total - 1.
func (r Ranges) Valid(total int) bool { return r.valid(total) }

// SetPenalty sets what a worker's score depends on besides its free capacity.
func (p *Pool) SetPenalty(id string, failures, slowness float64, suspectUntil time.Time) {
	w := p.workers[id]
	w.failures, w.slowness, w.suspectUntil = failures, slowness, suspectUntil
}

// PlaceByBoth places the waiting tasks, and returns for each the worker that a plan chooses and the one that a look at each worker gives.
func (p *Pool) PlaceByBoth(now time.Time) (planned, ofAll []string) {
	p.countSuspects(now)
	u := p.currentUncertainty(now)
	p.index = p.newIndex(now)
	defer func() { p.index = nil }()
	for _, c := range p.candidates(u, now) {
		for s := range c.occurrence.steps {
			for _, t := range c.occurrence.steps[s].tasks {
				if !c.occurrence.steps[s].ready || !waiting(t, u) {
					continue
				}
				need := t.step.Reserved()
				planned = append(planned, idOf(p.choose(t, need, now)))
				w := p.chooseOfAll(t, need, now)
				ofAll = append(ofAll, idOf(w))
				if w != nil {
					p.start(t, w, p.nextRun(t), now)
				}
			}
		}
	}
	return planned, ofAll
}

func idOf(w *worker) string {
	if w == nil {
		return "none"
	}
	return w.ID
}

// CheckCounts returns an error if the number of tasks without a run of a step, or the list of stops, does not agree with the tasks and runs.
// Jobs that have ended are not counted any more.
func (p *Pool) CheckCounts() error {
	listed := map[*run]bool{}
	for _, x := range p.stops {
		if listed[x] {
			return fmt.Errorf("run %v is listed twice as one to stop", x.task.id)
		}
		listed[x] = true
	}
	for _, w := range p.workers {
		for _, x := range w.runs {
			if x.phase == stopping && !listed[x] {
				return fmt.Errorf("run %v is to be stopped and is not listed", x.task.id)
			}
		}
	}
	for _, j := range p.active {
		ofJob := 0
		for _, oc := range j.schedule.open {
			for s := range oc.steps {
				want := 0
				for _, t := range oc.steps[s].tasks {
					if !t.done && len(t.runs) == 0 {
						want++
					}
				}
				ofJob += want
				if got := oc.steps[s].withoutRun; got != want {
					return fmt.Errorf("job %s, occurrence %d, step %d: %d tasks without a run counted, want %d", j.ID, oc.number, s, got, want)
				}
			}
		}
		if got := j.schedule.withoutRun; got != ofJob {
			return fmt.Errorf("job %s: %d tasks without a run counted, want %d", j.ID, got, ofJob)
		}
	}
	return nil
}

// SetFailedOn makes the first task of a job one that has failed on a worker.
func (p *Pool) SetFailedOn(job, worker string) {
	t := p.jobs[job].schedule.open[0].steps[0].tasks[0]
	t.failedOn = append(t.failedOn, worker)
}

// MarkDirty has the record of a job written.
func (p *Pool) MarkDirty(id string) { p.markDirty(p.jobs[id]) }

// ReservedWorkers returns the ids of the workers that are reserved for large tasks.
func (p *Pool) ReservedWorkers() []string {
	var ids []string
	for _, r := range p.reservations {
		for _, pl := range r.places {
			ids = append(ids, pl.worker.ID)
		}
	}
	return ids
}

// UsageMismatch compares what each workspace occupies with the sum over its runs on workers; it returns the first difference.
func (p *Pool) UsageMismatch() string {
	sums := map[string]workload.Resources{}
	for _, w := range p.workers {
		for _, x := range w.runs {
			name := x.task.job.Workspace
			sums[name] = sums[name].Plus(x.task.step.Need)
		}
	}
	for name, a := range p.accounts {
		if a.used != sums[name] {
			return fmt.Sprintf("workspace %s: got %+v, want %+v", name, a.used, sums[name])
		}
	}
	return ""
}

// LearnRunTime sets what is learned of the tasks of an image: the ratio of their run time to the declared one, and the run time.
func (p *Pool) LearnRunTime(queue, image string, ratio, spread float64, runTime time.Duration) {
	key := meanKey{queue, image}
	p.means[key] = &runningMean{mean: ratio, samples: minKindSamples, spread: spread}
	p.runTimes[key] = &runningMean{mean: runTime.Seconds(), samples: minKindSamples, spread: maxSpread / 4}
}
