package placement

import (
	"time"

	"verbenalanding.example/fleet/declaration"
	"verbenalanding.example/fleet/platform"
)

type jobState int

const (
	waiting jobState = iota
	// delayed jobs are in backoff until their NotBefore time.
	delayed
	// pending jobs are assigned to a worker on which preempted jobs still hold the capacity.
	pending
	running
	// evicting jobs are being preempted by a checkpoint or a stop and still hold their reservation.
	evicting
	// inactive jobs are neither queued nor assigned to a worker.
	inactive
)

type job struct {
	Job
	state jobState
	// serial orders jobs with equal due times by the order of submission.
	serial    uint64
	queue     *queue
	due       time.Time
	notBefore time.Time
	need      platform.Resources
	// charged is the amount that counts against the team's quota.
	charged platform.Resources
	worker  *worker
	since   time.Time
	// evictingSince is when the preemption of an evicting job began.
	evictingSince time.Time
	peak          platform.Resources
	excess        platform.Resources
	// percent is the percentage of its CPU that the job may use; below 100 the job is throttled.
	percent int
	// fullMilliCores is the CPU reservation that a throttled job gets back.
	fullMilliCores int64
	// recordedPeak is the last peak that was added to the samples of the kind while the job was running.
	recordedPeak platform.Resources
	aged         bool
	confirmed    bool
	// heldWorker is the worker that is kept free for the job, or nil.
	heldWorker *worker
	// avoid lists workers on which the job failed; they are avoided until avoidUntil.
	avoid       []string
	avoidUntil  time.Time
	stopOrdered bool
	preemptions int
	rule        Rule
}

// nonRepeatable reports whether the job must not be stopped by preemption once it runs.
func (j *job) nonRepeatable() bool { return !j.Repeatable }

func (j *job) urgent() bool { return j.Class == declaration.Urgent }

// releaseHold releases the worker that is kept free for the job, if any.
func (j *job) releaseHold() {
	if j.heldWorker != nil {
		j.heldWorker.heldFor = nil
		j.heldWorker.pool.heldWorkers--
		j.heldWorker = nil
	}
}
