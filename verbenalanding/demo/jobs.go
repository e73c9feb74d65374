package demo

import (
	"context"
	"fmt"
	"slices"
	"time"

	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/jobs"
	"verbenalanding.example/fleet/platform"
	"verbenalanding.example/fleet/record"
)

const (
	// jobsPerPool is how many jobs of each class are submitted to each pool.
	jobsPerPool = 4
	// jobTime is how long a job runs.
	jobTime = 2 * time.Second
	// urgentStartLimit is the time within which an urgent job must start.
	urgentStartLimit = 8700 * time.Millisecond
)

// jobCounts counts the jobs by outcome.
type jobCounts struct {
	submitted, succeeded, unknown, other, ranTwice, startedLate int
	slowestStart                                                time.Duration
}

// submitJobs submits jobs of each class to each pool; every second job is neither repeatable nor checkpointed, so that a second start of it
// counts as run twice.
func (d *deployment) submitJobs(ctx context.Context) error {
	d.site.Workers.RunTime = func(string) time.Duration { return jobTime }
	instances, err := d.instances(ctx)
	if err != nil {
		return err
	}
	intake := &jobs.Intake{
		Store:         d.site.Store,
		Configuration: func() (declaration.Set, uint64) { return d.set, 1 },
		Members:       func() []record.Instance { return instances },
	}
	for pool := range d.set.Pools {
		for _, class := range declaration.Classes {
			for i := range jobsPerPool {
				if _, err := intake.Submit(ctx, d.newJob(pool, class, i)); err != nil {
					return fmt.Errorf("submit a job to pool %s: %w", pool, err)
				}
				d.jobs.submitted++
			}
		}
	}
	d.printProgress("%d jobs submitted", d.jobs.submitted)
	return nil
}

func (d *deployment) newJob(pool string, class declaration.Class, i int) record.Job {
	return record.Job{
		ID:       fmt.Sprintf("%s-%s-%d", pool, class, i),
		Team:     d.team(i),
		Pool:     pool,
		Class:    string(class),
		Kind:     "demo",
		Declared: platform.Resources{MilliCores: 2000, MemoryBytes: 4 * gigabyte},
		RunTime:  jobTime, Repeatable: i%2 == 0, Checkpoints: i%2 == 0,
	}
}

// awaitJobs waits until every job has ended and counts the outcomes.
func (d *deployment) awaitJobs(ctx context.Context) error {
	var all []record.Job
	err := await(ctx, "jobs to end", func() (bool, error) {
		var err error
		all, err = record.List[record.Job](ctx, d.site.Store, record.JobPrefix)
		if err != nil {
			return false, err
		}
		return !slices.ContainsFunc(all, func(j record.Job) bool { return j.Finished.IsZero() }), nil
	})
	if err != nil {
		return err
	}
	for _, j := range all {
		d.countJob(j)
	}
	d.printProgress("jobs: %d of %d succeeded, slowest urgent start %.1f s", d.jobs.succeeded, d.jobs.submitted, d.jobs.slowestStart.Seconds())
	return nil
}

func (d *deployment) countJob(j record.Job) {
	switch j.State {
	case "succeeded":
		d.jobs.succeeded++
	case "unknown":
		d.jobs.unknown++
	default:
		d.jobs.other++
	}
	if ranTwice(j, d.site.Workers.Starts(j.ID)) {
		d.jobs.ranTwice++
	}
	if j.Class != string(declaration.Urgent) {
		return
	}
	startDelay := j.Started.Sub(j.Accepted)
	d.jobs.slowestStart = max(d.jobs.slowestStart, startDelay)
	if startDelay > urgentStartLimit {
		d.jobs.startedLate++
	}
}

// ranTwice reports whether a job was started again although it must not be: it is not repeatable and had no checkpoint to go on from.
func ranTwice(j record.Job, starts int) bool { return !j.Repeatable && !j.Checkpoints && starts > 1 }

// awaitWave waits until the wave has finished its round.
func (d *deployment) awaitWave(ctx context.Context) error {
	began := time.Now()
	err := await(ctx, "the wave to finish", func() (bool, error) {
		w, _, err := record.Load[record.Wave](ctx, d.site.Store, record.WavePrefix+d.wave)
		return err == nil && w.State == "finished", nil
	})
	if err != nil {
		return err
	}
	d.printProgress("wave %s finished %.1f s after the flood, %d reboots", d.wave, time.Since(began).Seconds(), d.site.Reboots())
	return nil
}
